//! What to run, and what came of it.

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

/// Seeds on which the policy's numbers are chosen.
pub const TUNING_SEEDS: [u64; 5] = [901, 902, 903, 904, 905];
/// Seeds that are reported, and on which nothing is chosen.
pub const REPORT_SEEDS: [u64; 12] = [51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62];

/// What to run: every combination of the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExperimentPlan {
    /// Deployments.
    pub deployments: Vec<Deployment>,
    /// Profiles.
    pub profiles: Vec<Profile>,
    /// Contenders.
    pub contenders: Vec<Contender>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Threads to run on.
    pub threads: usize,
}

impl ExperimentPlan {
    /// Creates a plan of everything on `seeds`.
    pub fn new(seeds: &[u64]) -> Self {
        Self {
            deployments: vec![Deployment::Destapes, Deployment::SolarWatch],
            profiles: Profile::ALL.to_vec(),
            contenders: Contender::ALL.to_vec(),
            seeds: seeds.to_vec(),
            threads: 4,
        }
    }

    fn keys(&self) -> Vec<RunKey> {
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

/// One run's outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The deployment.
    pub deployment: Deployment,
    /// The profile.
    pub profile: Profile,
    /// The contender.
    pub contender: Contender,
    /// The seed.
    pub seed: u64,
    /// What was measured.
    pub measures: RunMeasures,
    /// The run over time; kept for the first seed only.
    pub series: Vec<SeriesPoint>,
}

/// All runs of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// What was run.
    pub plan: ExperimentPlan,
    /// The runs, in the plan's order.
    pub runs: Vec<RunResult>,
}

/// A fault in the experiment itself.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A built-in name is malformed.
    #[error("a built-in name is malformed: {0}")]
    Name(#[from] IdentifierError),
    /// A histogram can't be created.
    #[error("a histogram can't be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A result can't be written or read as JSON.
    #[error("the result can't be written or read: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn.
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}

impl ExperimentResult {
    /// Writes the result as JSON.
    ///
    /// # Errors
    ///
    /// Fails when a figure isn't a finite number.
    pub fn to_json(&self) -> Result<String, ExperimentError> {
        Ok(serde_json::to_string(self)?)
    }

    /// Reads a result that [`ExperimentResult::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// Fails when the text is no such result.
    pub fn from_json(text: &str) -> Result<Self, ExperimentError> {
        Ok(serde_json::from_str(text)?)
    }
}

/// Runs a plan. The same plan always gives the same result.
///
/// # Errors
///
/// Fails only when the experiment itself is at fault.
pub fn run(plan: ExperimentPlan) -> Result<ExperimentResult, ExperimentError> {
    let keys = plan.keys();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..plan.threads.max(1) {
            scope.spawn(|| {
                while let Some(key) = keys.get(next.fetch_add(1, Ordering::Relaxed)) {
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
