//! The two simulated deployments: engines, workspaces and kinds of requests.

use lagoonlift_policy::FleetWeighting;
use lagoonlift_types::{
    DataCentreName, IdentifierError, ModelName, Supply, UpstreamName, UpstreamRole, Urgency,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Data centres of each deployment.
pub(crate) const DATA_CENTRES: usize = 3;
/// Entry hosts of each deployment.
pub(crate) const ENTRY_HOSTS: usize = 6;
/// Share of the requests that each workspace sends; the two largest send about
/// half of them.
pub(crate) const WORKSPACE_DEMAND: [f64; 8] = [0.28, 0.24, 0.16, 0.10, 0.07, 0.06, 0.05, 0.04];
/// Weight of each workspace in fair queueing.
pub(crate) const WORKSPACE_WEIGHTS: [u32; 8] = [6, 5, 4, 3, 2, 2, 2, 2];

/// A simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Twelve engines for the triage model and three for the dispatch model;
    /// the fleet policy favours the worst-served workspace.
    Destapes,
    /// Fourteen engines for the forecast model and three for the alert model;
    /// the fleet policy favours goodput.
    SolarWatch,
}

/// Name, location, model, role and supply of an engine when it is added.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpec {
    pub(crate) name: UpstreamName,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    pub(crate) model: ModelName,
    pub(crate) role: UpstreamRole,
    pub(crate) supply: Supply,
}

/// Properties of one kind of request; token ranges are inclusive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind {
    pub(crate) urgency: Urgency,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Duration,
    pub(crate) prompt_tokens: (u64, u64),
    pub(crate) output_tokens: (u64, u64),
    pub(crate) max_output_tokens: u64,
    /// Whether requests go to the small pool instead of the large one.
    pub(crate) uses_small_pool: bool,
}

impl RequestKind {
    pub(crate) fn mean_prompt_tokens(&self) -> f64 {
        (self.prompt_tokens.0 + self.prompt_tokens.1) as f64 / 2.0
    }

    pub(crate) fn mean_output_tokens(&self) -> f64 {
        (self.output_tokens.0 + self.output_tokens.1) as f64 / 2.0
    }
}

/// The kinds of requests of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKinds {
    /// Urgent requests to the large pool, at a constant rate.
    pub(crate) urgent: RequestKind,
    /// Requests to the large pool with long prompts and short outputs.
    pub(crate) prompt_heavy: RequestKind,
    /// Requests to the large pool with short prompts and long outputs.
    pub(crate) output_heavy: RequestKind,
    /// Non-idempotent requests to the small pool.
    pub(crate) non_idempotent: RequestKind,
}

impl Deployment {
    /// Returns the name used in tables, plots and result files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Destapes => "destapes",
            Self::SolarWatch => "solar-watch",
        }
    }

    /// Returns the objective that the deployment's fleet policy favours.
    pub fn weighting(self) -> FleetWeighting {
        match self {
            Self::Destapes => FleetWeighting::WorstServed,
            Self::SolarWatch => FleetWeighting::Goodput,
        }
    }

    /// Returns the number of engines in the large pool at the start.
    pub(crate) fn large_pool_size(self) -> usize {
        match self {
            Self::Destapes => 12,
            Self::SolarWatch => 14,
        }
    }

    /// Returns the models of the large and the small pool.
    pub(crate) fn models(self) -> Result<[ModelName; 2], IdentifierError> {
        let (large, small) = match self {
            Self::Destapes => ("triage", "dispatch"),
            Self::SolarWatch => ("forecast", "alert"),
        };
        Ok([ModelName::new(large)?, ModelName::new(small)?])
    }

    /// Returns the engines at the start of a run. The large pool has about as
    /// many prefill as decode engines, one of them reclaimable in each data
    /// centre. The small pool has one mixed engine in each data centre.
    pub(crate) fn initial_engines(self) -> Result<Vec<EngineSpec>, IdentifierError> {
        let [large, small] = self.models()?;
        let mut specs = Vec::new();
        for index in 0..self.large_pool_size() {
            specs.push(EngineSpec {
                name: UpstreamName::new(&format!("{large}-{index:02}"))?,
                data_centre: index % DATA_CENTRES,
                model: large.clone(),
                role: match index / DATA_CENTRES % 2 {
                    0 => UpstreamRole::Prefill,
                    _ => UpstreamRole::Decode,
                },
                supply: match index >= self.large_pool_size() - DATA_CENTRES {
                    true => Supply::Reclaimable,
                    false => Supply::Reserved,
                },
            });
        }
        for index in 0..DATA_CENTRES {
            specs.push(EngineSpec {
                name: UpstreamName::new(&format!("{small}-{index:02}"))?,
                data_centre: index,
                model: small.clone(),
                role: UpstreamRole::Mixed,
                supply: Supply::Reserved,
            });
        }
        Ok(specs)
    }

    pub(crate) fn request_kinds(self) -> RequestKinds {
        match self {
            Self::Destapes => RequestKinds {
                urgent: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: true,
                    deadline: Duration::from_secs(15),
                    prompt_tokens: (1_000, 2_400),
                    output_tokens: (60, 200),
                    max_output_tokens: 300,
                    uses_small_pool: false,
                },
                prompt_heavy: RequestKind {
                    urgency: Urgency::Background,
                    idempotent: true,
                    deadline: Duration::from_secs(60),
                    prompt_tokens: (6_000, 18_000),
                    output_tokens: (80, 240),
                    max_output_tokens: 400,
                    uses_small_pool: false,
                },
                output_heavy: RequestKind {
                    urgency: Urgency::Normal,
                    idempotent: true,
                    deadline: Duration::from_secs(45),
                    prompt_tokens: (600, 1_400),
                    output_tokens: (200, 600),
                    max_output_tokens: 800,
                    uses_small_pool: false,
                },
                non_idempotent: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: false,
                    deadline: Duration::from_secs(12),
                    prompt_tokens: (500, 1_200),
                    output_tokens: (30, 90),
                    max_output_tokens: 120,
                    uses_small_pool: true,
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
                    uses_small_pool: false,
                },
                prompt_heavy: RequestKind {
                    urgency: Urgency::Normal,
                    idempotent: true,
                    deadline: Duration::from_secs(30),
                    prompt_tokens: (12_000, 24_000),
                    output_tokens: (10, 60),
                    max_output_tokens: 100,
                    uses_small_pool: false,
                },
                output_heavy: RequestKind {
                    urgency: Urgency::Background,
                    idempotent: true,
                    deadline: Duration::from_secs(60),
                    prompt_tokens: (500, 1_100),
                    output_tokens: (300, 700),
                    max_output_tokens: 900,
                    uses_small_pool: false,
                },
                non_idempotent: RequestKind {
                    urgency: Urgency::Urgent,
                    idempotent: false,
                    deadline: Duration::from_secs(8),
                    prompt_tokens: (400, 800),
                    output_tokens: (40, 100),
                    max_output_tokens: 120,
                    uses_small_pool: true,
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
