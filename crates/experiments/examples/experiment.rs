//! Runs experiments and prints the table; for work on the policy.
//!
//! `experiment [tuning|report|SEED] [PROFILE|all] [DEPLOYMENT|all] [CONTENDERS|all] [JSON-FILE]`
//!
//! Plots go beside the JSON file.

use lagoonlift_experiments::{
    Deployment, ExperimentError, ExperimentPlan, Profile, REPORT_SEEDS, TUNING_SEEDS,
    render_report, render_table, run,
};

fn main() -> Result<(), ExperimentError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize| arguments.get(index).map_or("all", String::as_str);
    let seeds = match (argument(0), argument(0).parse()) {
        (_, Ok(seed)) => vec![seed],
        ("report", _) => REPORT_SEEDS.to_vec(),
        _ => TUNING_SEEDS.to_vec(),
    };
    let mut plan = ExperimentPlan::new(&seeds);
    plan.profiles
        .retain(|profile: &Profile| argument(1) == "all" || profile.as_str() == argument(1));
    plan.deployments
        .retain(|place: &Deployment| argument(2) == "all" || place.as_str() == argument(2));
    plan.contenders
        .retain(|one| argument(3) == "all" || argument(3).split(',').any(|c| c == one.as_str()));
    let result = run(plan)?;
    println!("{}", render_table(&result));
    if let Some(path) = arguments.get(4) {
        std::fs::write(path, result.to_json()?).map_err(serde_json::Error::io)?;
        for plot in render_report(&result)? {
            let plot_path = std::path::Path::new(path).with_file_name(plot.name + ".svg");
            std::fs::write(plot_path, plot.svg).map_err(serde_json::Error::io)?;
        }
    }
    Ok(())
}
