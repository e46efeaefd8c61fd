//! Builders of the policies' inputs for tests.

use lagoonlift_policy::{
    DemandReport, EngineFacts, EngineState, RequestFacts, Target, Timestamp, UpstreamFacts,
    WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{
    DataCentreName, ModelName, RequestId, Supply, UpstreamName, UpstreamRole, Urgency,
    WorkspaceName,
};
use std::collections::BTreeSet;
use std::time::Duration;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) fn model(name: &str) -> ModelName {
    ModelName::new(name).expect("test names are well formed")
}

pub(crate) fn data_centre(number: usize) -> DataCentreName {
    DataCentreName::new(&format!("dc-{number}")).expect("test names are well formed")
}

pub(crate) fn at(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

pub(crate) fn workspace(number: usize, weight: u32) -> WorkspaceFacts {
    WorkspaceFacts {
        name: WorkspaceName::new(&format!("workspace-{number}")).expect("well formed"),
        weight,
    }
}

pub(crate) fn upstream(number: usize, role: UpstreamRole) -> UpstreamFacts {
    UpstreamFacts {
        name: UpstreamName::new(&format!("engine-{number}")).expect("well formed"),
        data_centre: data_centre(number % 3),
        models: BTreeSet::from([model("m")]),
        role: Some(role),
        supply: Supply::Reserved,
        accepts_requests: true,
    }
}

pub(crate) fn request(workspace: WorkspaceKey, prompt_tokens: u64) -> RequestFacts {
    RequestFacts {
        request: RequestId::new(),
        workspace,
        urgency: Urgency::Normal,
        target: Target::Model(model("m")),
        prompt_tokens,
        max_output_tokens: 200,
        deadline: at(3_600),
        idempotent: true,
        prefix: None,
    }
}

pub(crate) fn engine(number: usize, role: UpstreamRole) -> EngineFacts {
    EngineFacts {
        name: UpstreamName::new(&format!("engine-{number:02}")).expect("well formed"),
        data_centre: data_centre(number % 3),
        model: model("m"),
        loadable_models: BTreeSet::new(),
        role,
        supply: Supply::Reserved,
        state: EngineState::Serving,
        is_purchased: false,
    }
}

/// Returns the demand of one second that keeps `prefill` engines busy with
/// prefill and `decode` engines busy with decode.
pub(crate) fn demand(name: &str, prefill: f64, decode: f64) -> DemandReport {
    DemandReport {
        model: model(name),
        interval: SECOND,
        prompt_tokens: (prefill * 10_000.0) as u64,
        output_tokens: (decode * 1_400.0) as u64,
        waiting_prompt_tokens: 0,
        waiting_output_tokens: 0,
    }
}
