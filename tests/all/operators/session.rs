//! Runs the operators' command-line program and records the commands and their output.

use crate::support::eventually;
use lagoonlift_standins::platform::PlatformStandin;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Output, Stdio};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::timeout;

/// Time after which a command counts as hung. No command of these sessions takes this
/// long unless it hangs.
const HANG_GUARD: Duration = Duration::from_secs(60);

/// An operator's session with its own platform stand-in.
pub(super) struct OperatorSession {
    platform: PlatformStandin,
    directory: TempDir,
    transcript: String,
    /// Texts that differ from run to run, each with its placeholder.
    replacements: Vec<(String, String)>,
}

impl OperatorSession {
    pub(super) async fn start() -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(listen)
            .await
            .expect("loopback has a free port");
        let directory = TempDir::new().expect("a temporary directory can be created");
        let mut session = Self {
            platform,
            directory,
            transcript: String::new(),
            replacements: Vec::new(),
        };
        session.replace(&session.platform.addr().to_string(), "PLATFORM");
        session.write_settings("");
        session
    }

    pub(super) fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Takes the platform down and waits until it accepts no connection. A connection
    /// that it accepts and then closes would be a different fault.
    pub(super) async fn stop_platform(&self) {
        self.platform.faults().set_down(true);
        let address = self.platform.addr();
        eventually("the platform to be down", || async {
            TcpStream::connect(address).await.is_err().then_some(())
        })
        .await;
    }

    /// Writes the operator's settings file; `hosts` holds the sections `[admin.NAME]`.
    pub(super) fn write_settings(&self, hosts: &str) {
        let address = self.platform.addr();
        let text = format!("[platform]\naddress = {address}\ntoken = operator\n{hosts}");
        fs::write(self.settings(), text).expect("the file can be written");
    }

    /// Replaces `text` by the placeholder `name` in the transcript.
    pub(super) fn replace(&mut self, text: &str, name: &str) {
        self.replacements.push((text.to_owned(), name.to_owned()));
    }

    /// Clears the recorded commands and output.
    pub(super) fn clear_transcript(&mut self) {
        self.transcript.clear();
    }

    /// Returns the recorded commands and output, with placeholders.
    pub(super) fn transcript(&self) -> String {
        let mut transcript = self.transcript.clone();
        for (text, name) in &self.replacements {
            transcript = transcript.replace(text, name);
        }
        transcript
    }

    /// Runs a command, records it, and returns its standard output.
    pub(super) async fn run(&mut self, arguments: &[&str]) -> String {
        let shown = arguments.join(" ");
        self.run_as(arguments, &shown).await
    }

    /// Proposes a questionnaire and returns the proposal's identifier.
    pub(super) async fn propose(&mut self, file: &str) -> String {
        let shown = self.run(&["propose", file]).await;
        parse_proposal_id(&shown)
    }

    /// Proposes a copy of a questionnaire with one change; returns the proposal's
    /// identifier.
    pub(super) async fn propose_with_change(&mut self, file: &str, from: &str, to: &str) -> String {
        let shown = self.propose_copy(file, &[(from, to)]).await;
        parse_proposal_id(&shown)
    }

    /// Proposes a copy of a questionnaire with several changes; returns the proposal's
    /// identifier.
    pub(super) async fn propose_with_changes(
        &mut self,
        file: &str,
        changes: &[(&str, &str)],
    ) -> String {
        let shown = self.propose_copy(file, changes).await;
        parse_proposal_id(&shown)
    }

    /// Runs `explain` until the decisions about a request include its end, which may be
    /// recorded after the caller has received the last byte. Redacts times, the chosen
    /// upstream and its last reported load, which differ from run to run.
    pub(super) async fn explain(&mut self, request: &str) {
        let before = self.transcript.len();
        self.explain_until(request, "ended as").await;
        let explained = redact_decisions(&self.transcript[before..]);
        self.transcript.truncate(before);
        self.transcript.push_str(&explained);
    }

    /// Runs `explain` until the decisions about a subject contain `text`; returns them.
    pub(super) async fn explain_until(&mut self, subject: &str, text: &str) -> String {
        let before = self.transcript.len();
        let explained = timeout(HANG_GUARD, async {
            loop {
                let explained = self.run(&["explain", subject]).await;
                if explained.contains(text) {
                    return explained;
                }
                self.transcript.truncate(before);
            }
        });
        explained
            .await
            .expect("the decision is recorded before the timeout")
    }

    /// Waits with `status --wait` until the accepted revision is in force. Removes the
    /// steward in charge from the record, since it differs from run to run.
    pub(super) async fn wait_for_status(&mut self) {
        let before = self.transcript.len();
        self.run(&["status", "--wait"]).await;
        let lines = self.transcript[before..].lines().map(|line| {
            let shown = line.split(", in charge").next().unwrap_or(line);
            format!("{shown}\n")
        });
        let shown: String = lines.collect();
        self.transcript.truncate(before);
        self.transcript.push_str(&shown);
    }

    /// Appends a line to the transcript.
    pub(super) fn record_line(&mut self, line: &str) {
        self.transcript.push_str(line);
        self.transcript.push('\n');
    }

    /// Proposes a copy of a questionnaire with changes that make it invalid.
    pub(super) async fn propose_invalid(&mut self, file: &str, changes: &[(&str, &str)]) {
        self.propose_copy(file, changes).await;
    }

    async fn propose_copy(&mut self, file: &str, changes: &[(&str, &str)]) -> String {
        let mut text = fs::read_to_string(file).expect("the example can be read");
        for (from, to) in changes {
            assert!(text.contains(from), "{file} doesn't contain {from}");
            text = text.replace(from, to);
        }
        let copy = self.directory.path().join("copy.ini");
        fs::write(&copy, text).expect("the file can be written");
        let copy = copy.to_str().expect("the path is valid UTF-8").to_owned();
        self.replace(&copy, "copy.ini");
        self.run(&["propose", &copy]).await
    }

    async fn run_as(&mut self, arguments: &[&str], shown: &str) -> String {
        let Output {
            status,
            stdout,
            stderr,
        } = self.command(arguments).await;
        let stdout = String::from_utf8(stdout).expect("the output is valid UTF-8");
        let stderr = String::from_utf8(stderr).expect("the output is valid UTF-8");
        self.transcript.push_str(&format!("$ lagoonlift {shown}\n"));
        self.transcript.push_str(&stdout);
        for line in stderr.lines() {
            self.transcript.push_str(&format!("! {line}\n"));
        }
        if !status.success() {
            self.transcript.push_str(&format!("{status}\n"));
        }
        if let ["key", "new", ..] = arguments {
            self.redact_key(stdout.trim(), &stderr);
        }
        stdout
    }

    /// Replaces a new key and its name by placeholders, since both are random.
    fn redact_key(&mut self, key: &str, stderr: &str) {
        self.replace(key, "KEY");
        if let Some(id) = stderr.split_whitespace().nth(1) {
            self.replace(id, "KEY-NAME");
        }
    }

    async fn command(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lagoonlift"));
        command
            .args(arguments)
            .stdin(Stdio::null())
            .kill_on_drop(true);
        if arguments[0] != "questionnaire" {
            command.arg("--settings").arg(self.settings());
        }
        let output = timeout(HANG_GUARD, command.output());
        output
            .await
            .expect("the command ends")
            .expect("the command can be started")
    }

    fn settings(&self) -> PathBuf {
        self.directory.path().join("operator.ini")
    }
}

fn redact_decisions(text: &str) -> String {
    let lines = text.lines().map(|line| {
        let line = line.split(", 0 tokens waiting").next().unwrap_or(line);
        let mut words: Vec<&str> = line.split(' ').collect();
        for i in 0..words.len() {
            match words[i] {
                word if i == 0 && word.ends_with('Z') => words[i] = "TIME",
                "ms" if i > 0 => words[i - 1] = "N",
                "at" if i + 1 < words.len() => words[i + 1] = "UPSTREAM",
                _ => {}
            }
        }
        format!("{}\n", words.join(" "))
    });
    lines.collect()
}

fn parse_proposal_id(shown: &str) -> String {
    let name = shown
        .split_whitespace()
        .nth(1)
        .expect("the output contains the proposal's identifier");
    name.to_owned()
}
