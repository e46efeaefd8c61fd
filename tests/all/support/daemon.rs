//! Runs a daemon as a separate process that is killed at the end of its test.

use lagoonlift::daemon::ReadyLine;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, ExitStatus, Stdio};
use tempfile::NamedTempFile;

/// Signals that tests send to a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProcessSignal {
    /// Requests a graceful shutdown (SIGTERM).
    Terminate,
    /// Kills the process (SIGKILL).
    Kill,
    /// Suspends the process (SIGSTOP).
    Stop,
    /// Resumes a suspended process (SIGCONT).
    Continue,
}

/// A running daemon. Dropping it kills the process.
pub(crate) struct DaemonProcess {
    child: Child,
    ready: ReadyLine,
    _settings: NamedTempFile,
}

/// Returns the path of the entry daemon's binary.
pub(crate) fn entry_program() -> &'static str {
    env!("CARGO_BIN_EXE_lagoonlift-entry")
}

/// Returns the path of the steward daemon's binary.
pub(crate) fn steward_program() -> &'static str {
    env!("CARGO_BIN_EXE_lagoonlift-steward")
}

/// Returns the path of the operators' command-line binary.
pub(crate) fn operator_program() -> &'static str {
    env!("CARGO_BIN_EXE_lagoonlift")
}

impl DaemonProcess {
    /// Starts `program` with the settings text `settings` and waits until it prints
    /// its ready line.
    pub(crate) fn start(program: &str, settings: &str) -> Self {
        let mut file = NamedTempFile::new().expect("a temporary settings file can be created");
        file.write_all(settings.as_bytes())
            .expect("the settings can be written");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon's binary can be started");
        let output = child.stdout.take().expect("the standard output is piped");
        let mut line = String::new();
        let result = BufReader::new(output).read_line(&mut line);
        result.expect("the daemon's output can be read");
        let ready = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("`{line}` is not a ready line: {error}"));
        Self {
            child,
            ready,
            _settings: file,
        }
    }

    /// Returns the daemon's ready line, which holds the addresses it listens on.
    pub(crate) fn ready(&self) -> &ReadyLine {
        &self.ready
    }

    /// Returns the base URL for callers. Panics if the daemon isn't an entry daemon.
    pub(crate) fn callers_url(&self) -> String {
        let addr = self
            .ready
            .callers
            .expect("only entry daemons listen for callers");
        format!("http://{addr}")
    }

    /// Returns the base URL of metrics, readiness and `explain`.
    pub(crate) fn admin_url(&self) -> String {
        format!("http://{}", self.ready.admin)
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: ProcessSignal) {
        let signal = match signal {
            ProcessSignal::Terminate => Signal::TERM,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
        };
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the child process has not been reaped");
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child
            .try_wait()
            .expect("the child process can be waited for")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Killing fails only if the process has exited. SIGKILL also ends a suspended
        // process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
