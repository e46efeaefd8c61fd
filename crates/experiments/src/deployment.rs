//! The two deployments that the experiments are sized for.

use lagoonlift_policy::FleetWeighting;
use lagoonlift_types::{
    DataCentreName, IdentifierError, ModelName, Supply, UpstreamName, UpstreamRole, Urgency,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Data centres of either deployment.
pub(crate) const DATA_CENTRES: usize = 3;
/// Entry hosts of either deployment.
pub(crate) const ENTRY_HOSTS: usize = 6;
/// Relative demand of the workspaces; a few are large.
pub(crate) const WORKSPACE_DEMAND: [f64; 8] = [0.28, 0.24, 0.16, 0.10, 0.07, 0.06, 0.05, 0.04];
/// Weights of the workspaces in fair queueing.
pub(crate) const WORKSPACE_WEIGHTS: [u32; 8] = [6, 5, 4, 3, 2, 2, 2, 2];

/// A deployment of today's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Twelve triage and three dispatch runners; the worst-served workspace
    /// weighs most.
    Destapes,
    /// Fourteen forecast and three alert runners; goodput weighs most.
    SolarWatch,
}

/// One engine of a deployment at the start.
#[derive(Clone, Debug)]
pub(crate) struct EnginePlace {
    pub(crate) name: UpstreamName,
    pub(crate) data_centre: usize,
    pub(crate) model: ModelName,
    pub(crate) role: UpstreamRole,
    pub(crate) supply: Supply,
}

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind {
    pub(crate) urgency: Urgency,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Duration,
    pub(crate) prompt_tokens: (u64, u64),
    pub(crate) output_tokens: (u64, u64),
    pub(crate) max_output_tokens: u64,
    /// Whether it goes to the small pool.
    pub(crate) small_pool: bool,
}

impl RequestKind {
    pub(crate) fn mean_prompt(&self) -> f64 {
        (self.prompt_tokens.0 + self.prompt_tokens.1) as f64 / 2.0
    }

    pub(crate) fn mean_output(&self) -> f64 {
        (self.output_tokens.0 + self.output_tokens.1) as f64 / 2.0
    }
}

/// The kinds of one deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKinds {
    /// Urgent work of the large pool, at a steady rate.
    pub(crate) urgent: RequestKind,
    /// Long prompts, short answers.
    pub(crate) prompt_heavy: RequestKind,
    /// Short prompts, long answers.
    pub(crate) output_heavy: RequestKind,
    /// Work of the small pool that may not be repeated.
    pub(crate) once: RequestKind,
}

impl Deployment {
    /// Returns the name used in tables and files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Destapes => "destapes",
            Self::SolarWatch => "solar-watch",
        }
    }

    /// Returns what the deployment weighs most.
    pub fn weighting(self) -> FleetWeighting {
        match self {
            Self::Destapes => FleetWeighting::WorstServed,
            Self::SolarWatch => FleetWeighting::Goodput,
        }
    }

    pub(crate) fn large_pool(self) -> usize {
        match self {
            Self::Destapes => 12,
            Self::SolarWatch => 14,
        }
    }

    pub(crate) fn models(self) -> Result<[ModelName; 2], IdentifierError> {
        let (large, small) = match self {
            Self::Destapes => ("triage", "dispatch"),
            Self::SolarWatch => ("forecast", "alert"),
        };
        Ok([ModelName::new(large)?, ModelName::new(small)?])
    }

    /// Returns the engines: the large pool half and half by role, with one
    /// cheap engine in each data centre, and a mixed small pool.
    pub(crate) fn engines(self) -> Result<Vec<EnginePlace>, IdentifierError> {
        let [large, small] = self.models()?;
        let mut places = Vec::new();
        for index in 0..self.large_pool() {
            places.push(EnginePlace {
                name: UpstreamName::new(&format!("{large}-{index:02}"))?,
                data_centre: index % DATA_CENTRES,
                model: large.clone(),
                role: match index / DATA_CENTRES % 2 {
                    0 => UpstreamRole::Prefill,
                    _ => UpstreamRole::Decode,
                },
                supply: match index >= self.large_pool() - DATA_CENTRES {
                    true => Supply::Reclaimable,
                    false => Supply::Reserved,
                },
            });
        }
        for index in 0..DATA_CENTRES {
            places.push(EnginePlace {
                name: UpstreamName::new(&format!("{small}-{index:02}"))?,
                data_centre: index,
                model: small.clone(),
                role: UpstreamRole::Mixed,
                supply: Supply::Reserved,
            });
        }
        Ok(places)
    }

    pub(crate) fn kinds(self) -> RequestKinds {
        match self {
            Self::Destapes => RequestKinds {
                urgent: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: true,
                    deadline: Duration::from_secs(15),
                    prompt_tokens: (1_000, 2_400),
                    output_tokens: (60, 200),
                    max_output_tokens: 300,
                    small_pool: false,
                },
                prompt_heavy: RequestKind {
                    urgency: Urgency::Background,
                    idempotent: true,
                    deadline: Duration::from_secs(60),
                    prompt_tokens: (6_000, 18_000),
                    output_tokens: (80, 240),
                    max_output_tokens: 400,
                    small_pool: false,
                },
                output_heavy: RequestKind {
                    urgency: Urgency::Normal,
                    idempotent: true,
                    deadline: Duration::from_secs(45),
                    prompt_tokens: (600, 1_400),
                    output_tokens: (200, 600),
                    max_output_tokens: 800,
                    small_pool: false,
                },
                once: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: false,
                    deadline: Duration::from_secs(12),
                    prompt_tokens: (500, 1_200),
                    output_tokens: (30, 90),
                    max_output_tokens: 120,
                    small_pool: true,
                },
            },
            Self::SolarWatch => RequestKinds {
                urgent: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: true,
                    deadline: Duration::from_secs(12),
                    prompt_tokens: (800, 2_000),
                    output_tokens: (40, 120),
                    max_output_tokens: 200,
                    small_pool: false,
                },
                prompt_heavy: RequestKind {
                    urgency: Urgency::Normal,
                    idempotent: true,
                    deadline: Duration::from_secs(30),
                    prompt_tokens: (12_000, 24_000),
                    output_tokens: (10, 60),
                    max_output_tokens: 100,
                    small_pool: false,
                },
                output_heavy: RequestKind {
                    urgency: Urgency::Background,
                    idempotent: true,
                    deadline: Duration::from_secs(60),
                    prompt_tokens: (500, 1_100),
                    output_tokens: (300, 700),
                    max_output_tokens: 900,
                    small_pool: false,
                },
                once: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: false,
                    deadline: Duration::from_secs(8),
                    prompt_tokens: (400, 800),
                    output_tokens: (40, 100),
                    max_output_tokens: 120,
                    small_pool: true,
                },
            },
        }
    }
}

pub(crate) fn data_centres() -> Result<Vec<DataCentreName>, IdentifierError> {
    let names = (1..=DATA_CENTRES).map(|number| DataCentreName::new(&format!("dc-{number}")));
    names.collect()
}

pub(crate) fn workspaces() -> Result<Vec<WorkspaceName>, IdentifierError> {
    let names = (1..=WORKSPACE_DEMAND.len())
        .map(|number| WorkspaceName::new(&format!("workspace-{number}")));
    names.collect()
}
