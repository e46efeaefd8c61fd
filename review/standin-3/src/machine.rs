//! The project's gateways, one process for each machine.

use crate::http::call;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A gateway process, which ends with this value.
pub struct Machine {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    is_killed: bool,
    program: String,
    number: usize,
    directory: PathBuf,
}

impl Machine {
    /// Starts `program` with the settings that the platform would make of the template. Another
    /// process may take a free port meanwhile; then others are taken.
    pub fn start(
        program: &str,
        number: usize,
        zone: &str,
        store: SocketAddr,
        directory: &Path,
    ) -> Self {
        loop {
            let mut machine = Self::try_start(program, number, zone, store, directory);
            sleep(Duration::from_millis(100));
            if !machine.has_ended_by_itself() {
                return machine;
            }
        }
    }

    fn try_start(
        program: &str,
        number: usize,
        zone: &str,
        store: SocketAddr,
        directory: &Path,
    ) -> Self {
        let (front, ready, metrics) = (free_port(), free_port(), free_port());
        let peers = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
            .unwrap()
            .local_addr()
            .unwrap();
        let text = format!(
            "[host]\nname = edge-{zone}-{number}\ndata-centre = {zone}\naddress = 127.0.0.1\n\
             [listen]\ncallers = {front}\nreadiness = {ready}\nmetrics = {metrics}\npeers = {peers}\n\
             [store]\naddress = {store}\n[duties]\naddress = {store}\nnames = usage_report\n\
             [bounds]\nrevocation = 5000ms\nconfiguration = 2000ms\nshutdown = 8s\nlease = 3000ms\n\
             repeat-ratio = 0.2\nrepeat-slack = 58\nrepeat-window = 10s\nusage-window = 5s\n\
             usage-due = 10s\n[upstreams]\nrules = base,drain,config,cost,retry,recover,split,stream,\
             engine,tenants,leader,platform\n[limits]\nmemory-mb = 260\n"
        );
        let settings = directory.join(format!("machine-{number}.ini"));
        fs::write(&settings, text).expect("the settings can be written");
        let child = launch(program, number, directory);
        let (program, directory) = (program.to_owned(), directory.to_owned());
        Self {
            front,
            ready,
            child,
            is_killed: false,
            program,
            number,
            directory,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.is_killed = true;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, with the same settings.
    pub fn start_again(&mut self) {
        self.is_killed = false;
        self.child = launch(&self.program, self.number, &self.directory);
    }

    /// Waits until the gateway says that it is ready; returns whether it does in time.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let time = Duration::from_secs(1);
            if call(self.ready, "GET", "/readyz", &[], b"", time).status == 200 {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns whether the process has ended and wasn't killed.
    pub fn has_ended_by_itself(&mut self) -> bool {
        !self.is_killed && !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a gateway, and notes its id for the script.
fn launch(program: &str, number: usize, directory: &Path) -> Child {
    let log = directory.join(format!("machine-{number}.log"));
    let log = File::options().create(true).append(true).open(log);
    let child = Command::new(program)
        .env_clear()
        .env(
            "LAGOONLIFT_SETTINGS",
            directory.join(format!("machine-{number}.ini")),
        )
        .stdout(log.expect("the log can be written"))
        .stderr(Stdio::null())
        .spawn()
        .expect("the gateway can be started");
    let pids = directory.join("pids");
    let known = fs::read_to_string(&pids).unwrap_or_default();
    fs::write(&pids, format!("{known}{}\n", child.id())).expect("the ids can be written");
    child
}

fn free_port() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .unwrap()
        .local_addr()
        .unwrap()
}
