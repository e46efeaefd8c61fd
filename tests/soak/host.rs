//! A gateway as a process of its own.

use rustix::process::{Pid, Signal, kill_process};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, ExitStatus, Stdio};
use tempfile::NamedTempFile;

/// Where the gateways find what they need.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surroundings {
    pub(crate) store: SocketAddr,
    pub(crate) duties: SocketAddr,
}

/// A gateway that can be killed and started again under the same settings.
pub(crate) struct HostProcess {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    child: Option<Child>,
    settings: NamedTempFile,
}

impl HostProcess {
    /// Writes the settings and starts the process.
    pub(crate) fn start(number: usize, surroundings: Surroundings) -> Self {
        let (callers, readiness, peers) = (free_tcp(), free_tcp(), free_udp());
        let text = format!(
            "[host]\nname = host-{number}\ndata-centre = a\naddress = 127.0.0.1\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\nmetrics =\npeers = {peers}\n\
             [store]\naddress = {}\n[duties]\naddress = {}\nnames = usage_report\n\
             [bounds]\nrevocation = 2000ms\nconfiguration = 2000ms\nshutdown = 6s\n\
             lease = 1500ms\nusage-window = 1s\nusage-due = 4s\n\
             repeat-ratio = 0.2\nrepeat-slack = 30\n",
            surroundings.store, surroundings.duties
        );
        let mut settings = NamedTempFile::new().expect("a file for the settings");
        settings.write_all(text.as_bytes()).expect("room for them");
        let mut host = Self {
            callers,
            readiness,
            child: None,
            settings,
        };
        host.launch();
        host
    }

    /// Starts the process again.
    pub(crate) fn launch(&mut self) {
        let program = env!("CARGO_BIN_EXE_lagoonlift-gateway");
        let child = Command::new(program)
            .arg("--settings")
            .arg(self.settings.path())
            .stdout(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Freezes the process, or lets it go on.
    pub(crate) fn freeze(&self, is_frozen: bool) {
        self.signal(match is_frozen {
            true => Signal::STOP,
            false => Signal::CONT,
        });
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("an ended gateway can be killed too");
            child.wait().expect("the gateway ends");
        }
    }

    /// Asks the process to stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns how the process ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        child.try_wait().expect("the gateway can be asked")
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It may have ended, and then there is nothing to signal.
            if let Err(error) = kill_process(Pid::from_child(child), signal) {
                println!("{signal:?} was not delivered: {error}");
            }
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address")
}
