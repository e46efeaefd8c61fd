//! Platform calls and time of operators' commands, against the stand-in.

use crate::report;
use lagoonlift::operators::{
    AcceptOutcome, ConfigurationEditor, KnownUpstreams, key_id, read_questionnaire,
};
use lagoonlift::platform::PlatformClient;
use lagoonlift::types::WorkspaceName;
use lagoonlift_standins::platform::PlatformStandin;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Questionnaires whose acceptance is timed.
const DATA_CENTRE: &str = include_str!("../destapes/dc1.ini");
const WORKSPACE: &str = include_str!("../destapes/property-manager.ini");

/// Time after which a call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::main(flavor = "current_thread")]
pub(crate) async fn measure() -> eyre::Result<()> {
    let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let client = PlatformClient::new(platform.addr(), "operator".to_owned(), CALL_TIMEOUT);
    let editor = ConfigurationEditor::new(client);
    let meter = CallMeter::start(&platform);
    put_in_force(&editor, DATA_CENTRE, &KnownUpstreams::default()).await?;
    meter.report("data centre, proposed and accepted");

    let meter = CallMeter::start(&platform);
    let known = editor.known_upstreams().await?;
    put_in_force(&editor, WORKSPACE, &known).await?;
    meter.report("workspace, proposed and accepted, 1 data centre");

    let workspace = WorkspaceName::new("property-manager")?;
    let meter = CallMeter::start(&platform);
    let (key, _) = editor.create_key(&workspace).await?;
    meter.report("key given");
    let meter = CallMeter::start(&platform);
    editor.revoke_key(&workspace, &key_id(key.digest())).await?;
    meter.report("key withdrawn");
    Ok(())
}

async fn put_in_force(
    editor: &ConfigurationEditor,
    questionnaire: &str,
    known: &KnownUpstreams,
) -> eyre::Result<()> {
    let draft = read_questionnaire(questionnaire, known)?;
    let proposal = editor.propose(draft).await?;
    match editor.accept(&proposal.id).await? {
        AcceptOutcome::InForce(_) => Ok(()),
        other => Err(eyre::eyre!("not in force: {other:?}")),
    }
}

struct CallMeter<'a> {
    platform: &'a PlatformStandin,
    reads: u64,
    writes: u64,
    started: Instant,
}

impl<'a> CallMeter<'a> {
    fn start(platform: &'a PlatformStandin) -> Self {
        let calls = platform.calls();
        Self {
            platform,
            reads: calls.reads,
            writes: calls.writes,
            started: Instant::now(),
        }
    }

    fn report(self, name: &str) {
        let calls = self.platform.calls();
        report(
            &format!("{name}: reads"),
            (calls.reads - self.reads) as f64,
            "calls",
        );
        report(
            &format!("{name}: writes"),
            (calls.writes - self.writes) as f64,
            "calls",
        );
        let time = self.started.elapsed().as_secs_f64() * 1e3;
        report(&format!("{name}: time"), time, "ms");
    }
}
