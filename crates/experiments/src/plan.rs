//! Experiment plans, their execution and their results.

use crate::baselines::ORACLE_VARIANTS;
use crate::contender::Contender;
use crate::deployment::Deployment;
use crate::driver::{self, RunKey};
use crate::measures::RunMeasures;
use crate::profile::Profile;
use crate::series::SeriesPoint;
use lagoonlift_types::IdentifierError;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use thiserror::Error;

/// Seeds used to tune the policies' constants.
pub const TUNING_SEEDS: [u64; 5] = [901, 902, 903, 904, 905];
/// Seeds of the reported runs; kept apart from [`TUNING_SEEDS`], so that no
/// constant is fitted to the reported figures.
pub const REPORT_SEEDS: [u64; 12] = [51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62];

/// The runs of an experiment: every combination of deployment, profile,
/// contender and seed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExperimentPlan {
    /// Deployments to simulate.
    pub deployments: Vec<Deployment>,
    /// Traffic profiles to simulate.
    pub profiles: Vec<Profile>,
    /// Strategies to compare.
    pub contenders: Vec<Contender>,
    /// Seeds of the traffic and of random losses.
    pub seeds: Vec<u64>,
    /// Number of threads that execute runs in parallel.
    pub threads: usize,
}

impl ExperimentPlan {
    /// Creates a plan of all deployments, profiles and contenders on `seeds`,
    /// with four threads.
    pub fn new(seeds: &[u64]) -> Self {
        Self {
            deployments: vec![Deployment::Destapes, Deployment::SolarWatch],
            profiles: Profile::ALL.to_vec(),
            contenders: Contender::ALL.to_vec(),
            seeds: seeds.to_vec(),
            threads: 4,
        }
    }

    fn run_keys(&self) -> Vec<RunKey> {
        let mut keys = Vec::new();
        for deployment in &self.deployments {
            for profile in &self.profiles {
                for contender in &self.contenders {
                    keys.extend(self.seeds.iter().map(|seed| RunKey {
                        deployment: *deployment,
                        profile: *profile,
                        contender: *contender,
                        seed: *seed,
                        oracle: ORACLE_VARIANTS[0],
                    }));
                }
            }
        }
        keys
    }
}

/// Result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Deployment that was simulated.
    pub deployment: Deployment,
    /// Traffic profile that was simulated.
    pub profile: Profile,
    /// Strategy that was used.
    pub contender: Contender,
    /// Seed of the run.
    pub seed: u64,
    /// Measures over the whole run.
    pub measures: RunMeasures,
    /// Time series of the run; empty except for the plan's first seed.
    pub series: Vec<SeriesPoint>,
}

/// Results of all runs of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The executed plan.
    pub plan: ExperimentPlan,
    /// The runs, sorted by deployment, profile, contender and seed.
    pub runs: Vec<RunResult>,
}

/// An error in the experiment itself, as opposed to a failure that it
/// simulates.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A built-in name isn't a valid identifier.
    #[error("built-in name isn't a valid identifier: {0}")]
    Name(#[from] IdentifierError),
    /// A latency histogram couldn't be created.
    #[error("failed to create a latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A result couldn't be serialized to or parsed from JSON.
    #[error("failed to serialize or parse the result as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot couldn't be drawn.
    #[error("failed to draw a plot: {0}")]
    Plot(String),
}

impl ExperimentResult {
    /// Serializes the result as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ExperimentError::Json`] if serialization fails.
    pub fn to_json(&self) -> Result<String, ExperimentError> {
        Ok(serde_json::to_string(self)?)
    }

    /// Parses a result that [`ExperimentResult::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// Returns [`ExperimentError::Json`] if `text` isn't such a result.
    pub fn from_json(text: &str) -> Result<Self, ExperimentError> {
        Ok(serde_json::from_str(text)?)
    }
}

/// Executes a plan. The same plan always gives the same result.
///
/// # Errors
///
/// Returns an error only if the experiment itself is faulty, for example when a
/// built-in name is invalid.
pub fn run(plan: ExperimentPlan) -> Result<ExperimentResult, ExperimentError> {
    let keys = plan.run_keys();
    let next_key_index = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..plan.threads.max(1) {
            scope.spawn(|| {
                while let Some(key) = keys.get(next_key_index.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = driver::run(*key);
                    let mut results = results.lock().unwrap_or_else(|e| e.into_inner());
                    results.push((*key, outcome));
                }
            });
        }
    });
    let mut runs = Vec::new();
    for (key, outcome) in results.into_inner().unwrap_or_else(|e| e.into_inner()) {
        let (measures, series) = outcome?;
        let keeps_series = plan.seeds.first() == Some(&key.seed);
        runs.push(RunResult {
            deployment: key.deployment,
            profile: key.profile,
            contender: key.contender,
            seed: key.seed,
            measures,
            series: if keeps_series { series } else { Vec::new() },
        });
    }
    runs.sort_by_key(|run| (run.deployment, run.profile, run.contender, run.seed));
    Ok(ExperimentResult { plan, runs })
}
