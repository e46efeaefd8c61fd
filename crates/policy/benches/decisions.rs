//! Benchmarks of one placement decision and of queue operations.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lagoonlift_policy::{
    AttemptEnd, EntryAction, EntryEvent, EntryPolicy, FairQueue, LoadReport, RequestFacts, Target,
    Timestamp, UpstreamFacts, WaitingRequest, WorkspaceFacts, WorkspaceKey,
};
use lagoonlift_types::{
    DataCentreName, ModelName, RequestId, Supply, UpstreamName, UpstreamRole, Urgency,
    WorkspaceName,
};
use std::collections::BTreeSet;
use std::hint::black_box;

/// Number of models that the upstreams are spread over.
const MODELS: usize = 18;
/// Number of data centres that the upstreams are spread over.
const DATA_CENTRES: usize = 15;

fn model(index: usize) -> ModelName {
    ModelName::new(&format!("model-{index}")).expect("the name is well formed")
}

fn workspaces(policy: &mut EntryPolicy, count: usize) -> Vec<WorkspaceKey> {
    let add = |index| {
        policy.add_workspace(WorkspaceFacts {
            name: WorkspaceName::new(&format!("workspace-{index}")).expect("well formed"),
            weight: 1 + index as u32 % 5,
        })
    };
    (0..count).map(add).collect()
}

fn request(workspace: WorkspaceKey, model: &ModelName) -> RequestFacts {
    RequestFacts {
        request: RequestId::new(),
        workspace,
        urgency: Urgency::Normal,
        target: Target::Model(model.clone()),
        prompt_tokens: 1_500,
        max_output_tokens: 200,
        deadline: Timestamp(60_000_000),
        idempotent: true,
        prefix: None,
    }
}

/// Measures one arrival, its dispatch and its end.
fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for upstreams in [20, 200, 800, 12_000] {
        let mut policy = EntryPolicy::new();
        let workspace_key = workspaces(&mut policy, 1)[0];
        let models = MODELS.min(upstreams / 10);
        for index in 0..upstreams {
            let data_centre = format!("dc-{}", index / models % DATA_CENTRES);
            let key = policy.add_upstream(UpstreamFacts {
                name: UpstreamName::new(&format!("engine-{index}")).expect("well formed"),
                data_centre: DataCentreName::new(&data_centre).expect("well formed"),
                models: BTreeSet::from([model(index % models)]),
                role: Some(UpstreamRole::Mixed),
                supply: Supply::Reserved,
                accepts_requests: true,
            });
            let report = LoadReport {
                prefill_backlog_tokens: index as u64 * 37 % 6_000,
                active_streams: index as u32 * 7 % 60,
                kv_used: 0.5,
            };
            let loaded = EntryEvent::LoadReported {
                upstream: key,
                measured_at: Timestamp(0),
                report,
            };
            policy.handle(Timestamp(0), loaded, &mut Vec::new());
        }
        let target = model(0);
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| {
                let facts = request(workspace_key, &target);
                let now = Timestamp(1_000);
                actions.clear();
                policy.handle(now, EntryEvent::Arrived(facts), &mut actions);
                if let Some(EntryAction::Dispatch {
                    request, upstream, ..
                }) = actions.first().cloned()
                {
                    let end = EntryEvent::Ended {
                        request,
                        upstream,
                        end: AttemptEnd::Completed { output_tokens: 100 },
                    };
                    policy.handle(now, end, &mut actions);
                }
                black_box(actions.len())
            });
        });
    }
    group.finish();
}

/// Measures one push and one start in a queue where every workspace has requests
/// waiting.
fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for count in [8, 260, 2_600] {
        let mut policy = EntryPolicy::new();
        let workspace_keys = workspaces(&mut policy, count);
        let target = model(0);
        let waiting = |workspace_key| WaitingRequest {
            facts: request(workspace_key, &target),
            avoid: Vec::new(),
            cost: 1_600,
            latest_start: Timestamp(50_000_000),
        };
        let mut queue = FairQueue::new();
        for workspace_key in workspace_keys.iter().cycle().take(count * 4) {
            queue.push(waiting(*workspace_key), 1);
        }
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                turn = (turn + 1) % workspace_keys.len();
                queue.push(waiting(workspace_keys[turn]), 1);
                let next = queue.candidates(20_000).next().map(|w| w.facts.request);
                black_box(next.and_then(|request| queue.start(request)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, placement, queue);
criterion_main!(benches);
