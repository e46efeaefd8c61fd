//! Measures the platform calls and the time of operators' commands, against the
//! platform stand-in.

use crate::report;
use lagoonlift::operators::{
    AcceptOutcome, ConfigurationEditor, KnownUpstreams, key_id, read_questionnaire,
};
use lagoonlift::platform::PlatformClient;
use lagoonlift::types::WorkspaceName;
use lagoonlift_standins::platform::PlatformStandin;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Questionnaire for a data centre whose proposal and acceptance are measured.
const DATA_CENTRE_QUESTIONNAIRE: &str = include_str!("../destapes/dc1.ini");
/// Questionnaire for a workspace whose proposal and acceptance are measured.
const WORKSPACE_QUESTIONNAIRE: &str = include_str!("../destapes/property-manager.ini");

/// Timeout of a platform call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::main(flavor = "current_thread")]
pub(crate) async fn measure() -> eyre::Result<()> {
    let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let client = PlatformClient::new(platform.addr(), "operator".to_owned(), CALL_TIMEOUT);
    let editor = ConfigurationEditor::new(client);
    let meter = CallMeter::start(&platform);
    propose_and_accept(
        &editor,
        DATA_CENTRE_QUESTIONNAIRE,
        &KnownUpstreams::default(),
    )
    .await?;
    meter.report("data centre, proposed and accepted");

    let meter = CallMeter::start(&platform);
    let known = editor.known_upstreams().await?;
    propose_and_accept(&editor, WORKSPACE_QUESTIONNAIRE, &known).await?;
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

/// Proposes a questionnaire's configuration and accepts the proposal.
async fn propose_and_accept(
    editor: &ConfigurationEditor,
    questionnaire: &str,
    known: &KnownUpstreams,
) -> eyre::Result<()> {
    let draft = read_questionnaire(questionnaire, known)?;
    let proposal = editor.propose(draft).await?;
    match editor.accept(&proposal.id).await? {
        AcceptOutcome::InForce(_) => Ok(()),
        other => Err(eyre::eyre!(
            "the proposal didn't come into force: {other:?}"
        )),
    }
}

/// Measures platform calls and time since its start.
struct CallMeter<'a> {
    platform: &'a PlatformStandin,
    reads: u64,
    writes: u64,
    started_at: Instant,
}

impl<'a> CallMeter<'a> {
    fn start(platform: &'a PlatformStandin) -> Self {
        let calls = platform.calls();
        Self {
            platform,
            reads: calls.reads,
            writes: calls.writes,
            started_at: Instant::now(),
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
        let milliseconds = self.started_at.elapsed().as_secs_f64() * 1e3;
        report(&format!("{name}: time"), milliseconds, "ms");
    }
}
