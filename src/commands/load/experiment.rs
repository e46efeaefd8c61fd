//! `lagoonlift load experiment` and `load report`: compare the policy with its
//! baselines.

use super::super::print;
use eyre::{Result, WrapErr};
use lagoonlift_experiments::{
    Contender, Deployment, ExperimentPlan, ExperimentResult, Profile, REPORT_SEEDS, TUNING_SEEDS,
    render_report, render_table,
};
use lexopt::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXPERIMENT_USAGE: &str = "\
Usage: lagoonlift load experiment [OPTIONS]

Runs the policy and its baselines on virtual time and prints a table.

Options:
    --deployment NAME  destapes or solar-watch; may be repeated [default: both]
    --profile NAME     a traffic profile; may be repeated [default: all]
    --contender NAME   a contender; may be repeated [default: all]
    --tuning           use the tuning seeds instead of the reported ones
    --seed N           use this seed; may be repeated
    --threads N        threads to run on [default: 4]
    --json FILE        write the result as JSON
    -h, --help         print this help";

const REPORT_USAGE: &str = "\
Usage: lagoonlift load report RESULT.json... --folder FOLDER

Prints the table of each result and writes its plots as SVG into the folder, one
set for each result, so that runs can be compared.

Options:
    --folder FOLDER  where the plots go
    -h, --help       print this help";

#[derive(Debug)]
struct ExperimentArguments {
    plan: ExperimentPlan,
    json_file: Option<PathBuf>,
}

/// Runs `load experiment`.
pub(crate) fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    let Some(arguments) = parse(parser)? else {
        return Ok(print(EXPERIMENT_USAGE));
    };
    println!("seeds {:?}", arguments.plan.seeds);
    let result = lagoonlift_experiments::run(arguments.plan)?;
    if let Some(file) = arguments.json_file {
        fs::write(&file, result.to_json()?).wrap_err_with(|| file.display().to_string())?;
    }
    Ok(print(&render_table(&result)))
}

/// Runs `load report`.
pub(crate) fn run_report(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let mut files = Vec::new();
    let mut folder = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(print(REPORT_USAGE)),
            Long("folder") => folder = Some(PathBuf::from(parser.value()?)),
            Value(file) => files.push(PathBuf::from(file)),
            other => return Err(other.unexpected().into()),
        }
    }
    let folder = folder.ok_or_else(|| lexopt::Error::from("--folder FOLDER is missing"))?;
    fs::create_dir_all(&folder).wrap_err_with(|| folder.display().to_string())?;
    for file in files {
        write_report(&file, &folder)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn write_report(file: &Path, folder: &Path) -> Result<()> {
    let text = fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let result = ExperimentResult::from_json(&text)?;
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    println!("{}\n{}", file.display(), render_table(&result));
    for plot in render_report(&result)? {
        let path = folder.join(format!("{stem}-{}.svg", plot.name));
        fs::write(&path, plot.svg).wrap_err_with(|| path.display().to_string())?;
        println!("{}", path.display());
    }
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<ExperimentArguments>, lexopt::Error> {
    let mut arguments = ExperimentArguments {
        plan: ExperimentPlan::new(&REPORT_SEEDS),
        json_file: None,
    };
    let (mut deployments, mut profiles, mut contenders) = (Vec::new(), Vec::new(), Vec::new());
    let mut seeds = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("deployment") => {
                deployments.push(parser.value()?.parse_with(find_deployment)?);
            }
            Long("profile") => profiles.push(parser.value()?.parse_with(find_profile)?),
            Long("contender") => {
                contenders.push(parser.value()?.parse_with(find_contender)?);
            }
            Long("tuning") => seeds.extend(TUNING_SEEDS),
            Long("seed") => seeds.push(parser.value()?.parse()?),
            Long("threads") => arguments.plan.threads = parser.value()?.parse()?,
            Long("json") => arguments.json_file = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected()),
        }
    }
    let plan = &mut arguments.plan;
    replace_unless_empty(&mut plan.deployments, deployments);
    replace_unless_empty(&mut plan.profiles, profiles);
    replace_unless_empty(&mut plan.contenders, contenders);
    replace_unless_empty(&mut plan.seeds, seeds);
    Ok(Some(arguments))
}

fn replace_unless_empty<T>(list: &mut Vec<T>, replacement: Vec<T>) {
    if !replacement.is_empty() {
        *list = replacement;
    }
}

fn find_deployment(name: &str) -> Result<Deployment, &'static str> {
    let all = [Deployment::Destapes, Deployment::SolarWatch];
    let found = all
        .into_iter()
        .find(|deployment| deployment.as_str() == name);
    found.ok_or("expected `destapes` or `solar-watch`")
}

fn find_profile(name: &str) -> Result<Profile, String> {
    let found = Profile::ALL
        .into_iter()
        .find(|profile| profile.as_str() == name);
    found.ok_or_else(|| {
        format!(
            "expected one of {}",
            join_names(Profile::ALL.map(Profile::as_str))
        )
    })
}

fn find_contender(name: &str) -> Result<Contender, String> {
    let found = Contender::ALL
        .into_iter()
        .find(|contender| contender.as_str() == name);
    found.ok_or_else(|| {
        format!(
            "expected one of {}",
            join_names(Contender::ALL.map(Contender::as_str))
        )
    })
}

fn join_names<const N: usize>(names: [&str; N]) -> String {
    names.join(", ")
}
