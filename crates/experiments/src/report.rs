//! Renders results as plots.

use crate::contender::Contender;
use crate::plan::{ExperimentError, ExperimentResult, RunResult};
use crate::table::{ContenderSummary, summarise};
use plotters::prelude::*;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// A plot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plot {
    /// File name without the extension.
    pub name: String,
    /// The plot as SVG.
    pub svg: String,
}

/// Draws the plots of a result: for each deployment, the goodput of all
/// contenders by profile; for each profile, the first seed's run over time if
/// the planned contender is part of the result.
///
/// # Errors
///
/// Returns [`ExperimentError::Plot`] if a plot can't be drawn.
pub fn render_report(result: &ExperimentResult) -> Result<Vec<Plot>, ExperimentError> {
    let mut plots = Vec::new();
    for deployment in &result.plan.deployments {
        let summaries: Vec<ContenderSummary> = summarise(result)
            .into_iter()
            .filter(|summary| summary.first_run.deployment == *deployment)
            .collect();
        plots.push(Plot {
            name: format!("{}-goodput", deployment.as_str()),
            svg: goodput_plot(result, &summaries).map_err(ExperimentError::Plot)?,
        });
    }
    for run in result.runs.iter().filter(|run| !run.series.is_empty()) {
        if run.contender == Contender::Planned {
            plots.push(Plot {
                name: format!("{}-{}", run.deployment.as_str(), run.profile.as_str()),
                svg: series_plot(result, run).map_err(ExperimentError::Plot)?,
            });
        }
    }
    Ok(plots)
}

fn color(contender: Contender) -> RGBColor {
    match contender {
        Contender::Planned => RGBColor(0, 90, 160),
        Contender::StaticSplit => RGBColor(200, 120, 0),
        Contender::FollowMix => RGBColor(150, 30, 110),
        Contender::RoundRobin => RGBColor(110, 110, 110),
        Contender::AllMixed => RGBColor(60, 150, 60),
        Contender::Oracle => RGBColor(0, 0, 0),
    }
}

/// Draws a group of bars for each profile. A bar shows a contender's mean
/// goodput, and a line on it the range over the seeds.
fn goodput_plot(
    result: &ExperimentResult,
    summaries: &[ContenderSummary],
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let profiles = &result.plan.profiles;
        let mut chart = ChartBuilder::on(&area)
            .caption("goodput, % of the oracle's", ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..profiles.len() as f64, 0.0..110.0)
            .map_err(|e| e.to_string())?;
        let label = |x: &f64| {
            let profile = profiles.get(x.floor() as usize);
            profile.map_or(String::new(), |profile| profile.as_str().to_owned())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(profiles.len())
            .x_label_formatter(&label)
            .draw()
            .map_err(|e| e.to_string())?;
        let width = 0.8 / result.plan.contenders.len() as f64;
        for (bar_index, contender) in result.plan.contenders.iter().enumerate() {
            let style = color(*contender);
            let bars = summaries
                .iter()
                .filter(|summary| summary.first_run.contender == *contender)
                .filter_map(|summary| {
                    let group = profiles
                        .iter()
                        .position(|p| *p == summary.first_run.profile)?;
                    let left = group as f64 + 0.1 + bar_index as f64 * width;
                    Some((left, summary.goodput_vs_oracle))
                });
            let bars: Vec<_> = bars.collect();
            let boxes = bars.iter().map(|(left, spread)| {
                let corners = [(*left, 0.0), (left + width * 0.9, spread.mean * 100.0)];
                Rectangle::new(corners, style.filled())
            });
            chart
                .draw_series(boxes)
                .map_err(|e| e.to_string())?
                .label(contender.as_str())
                .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], style.filled()));
            let range_lines = bars.iter().map(|(left, spread)| {
                let x = left + width * 0.45;
                let points = vec![(x, spread.min * 100.0), (x, spread.max * 100.0)];
                PathElement::new(points, RED.stroke_width(1))
            });
            chart.draw_series(range_lines).map_err(|e| e.to_string())?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .position(SeriesLabelPosition::LowerRight)
            .draw()
            .map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

/// Draws the share of the work completed by its deadline over the time of
/// arrival, for all contenders, and the number of prefill engines in the planned
/// run.
fn series_plot(result: &ExperimentResult, planned: &RunResult) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let end = planned
            .series
            .last()
            .map_or(1.0, |point| point.seconds as f64);
        let title = format!(
            "{}, {}, seed {}: answered in time, %, by arrival; engines reading prompts x10",
            planned.deployment.as_str(),
            planned.profile.as_str(),
            planned.seed
        );
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 14))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end, 0.0..140.0)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .draw()
            .map_err(|e| e.to_string())?;
        let is_comparable = |run: &&RunResult| {
            (run.deployment, run.profile, run.seed)
                == (planned.deployment, planned.profile, planned.seed)
        };
        for run in result.runs.iter().filter(is_comparable) {
            let style = color(run.contender);
            let points = run.series.iter().map(|point| {
                let share = point.goodput_pieces / point.offered_pieces.max(1e-9);
                (point.seconds as f64, share * 100.0)
            });
            chart
                .draw_series(LineSeries::new(points, style.stroke_width(1)))
                .map_err(|e| e.to_string())?
                .label(run.contender.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 10, y)], style));
        }
        let prefill_engines = planned.series.iter().map(|point| {
            let engine_count = f64::from(point.prefill_engines);
            (point.seconds as f64, engine_count * 10.0)
        });
        chart
            .draw_series(LineSeries::new(prefill_engines, RED.stroke_width(2)))
            .map_err(|e| e.to_string())?
            .label("engines reading prompts")
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 10, y)], RED));
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}
