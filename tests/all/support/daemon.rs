//! A daemon as a process of its own, ended with the test that started it.

use lagoonlift::daemon::ReadyLine;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, ExitStatus, Stdio};
use tempfile::NamedTempFile;

/// Signals that tests send.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProcessSignal {
    /// Asks for a graceful shutdown.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
}

/// A running daemon. Dropping it kills it.
pub(crate) struct DaemonProcess {
    child: Child,
    ready: ReadyLine,
    _settings: NamedTempFile,
}

/// Returns the path of the entry daemon.
pub(crate) fn entry_program() -> &'static str {
    env!("CARGO_BIN_EXE_lagoonlift-entry")
}

/// Returns the path of the steward daemon.
pub(crate) fn steward_program() -> &'static str {
    env!("CARGO_BIN_EXE_lagoonlift-steward")
}

/// Returns the path of the command line.
pub(crate) fn operator_program() -> &'static str {
    env!("CARGO_BIN_EXE_lagoonlift")
}

impl DaemonProcess {
    /// Starts `program` with these settings and waits for its ready line.
    pub(crate) fn start(program: &str, settings: &str) -> Self {
        let mut file = NamedTempFile::new().expect("a file for the settings");
        file.write_all(settings.as_bytes())
            .expect("room for the settings");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon's program is built");
        let output = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        let result = BufReader::new(output).read_line(&mut line);
        result.expect("the daemon's output can be read");
        let ready = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("`{line}` is no ready line: {error}"));
        Self {
            child,
            ready,
            _settings: file,
        }
    }

    /// Returns the addresses that the daemon listens on.
    pub(crate) fn ready(&self) -> &ReadyLine {
        &self.ready
    }

    /// Returns the address for callers of an entry daemon.
    pub(crate) fn callers_url(&self) -> String {
        let addr = self.ready.callers.expect("only entry daemons have callers");
        format!("http://{addr}")
    }

    /// Returns the address of metrics, readiness and `explain`.
    pub(crate) fn admin_url(&self) -> String {
        format!("http://{}", self.ready.admin)
    }

    /// Sends a signal to this process.
    pub(crate) fn signal(&self, signal: ProcessSignal) {
        let signal = match signal {
            ProcessSignal::Terminate => Signal::TERM,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
        };
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is ours and not reaped");
    }

    /// Returns the exit status if the process has ended.
    pub(crate) fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is ours")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Fails only if it has ended; a frozen process is killed too.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
