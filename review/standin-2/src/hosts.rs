//! The system's own program, one process for each machine, as the deploy file starts it.

use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The command of the deploy file, in the repository's root.
const PROGRAM: &str = "target/release/lagoonlift-gateway";

/// One machine.
pub struct Host {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns an address whose port is free for connections and datagrams.
fn free_address(ip: &str) -> SocketAddr {
    loop {
        let socket = UdpSocket::bind((ip, 0)).expect("a free port");
        let address = socket.local_addr().expect("an address");
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Host {
    /// Writes the settings of a machine, as the template of the deploy file does with the
    /// bounds of the sheets, and starts its process.
    pub fn start(number: usize, store: SocketAddr, platform: SocketAddr, folder: &Path) -> Self {
        let ip = format!("127.0.1.{number}");
        let [front, ready, metrics, peers] = [(); 4].map(|()| free_address(&ip));
        let text = format!(
            "[host]\nname = edge-a-{number}\ndata-centre = a\naddress = {ip}\n\
             [listen]\ncallers = {front}\nreadiness = {ready}\nmetrics = {metrics}\n\
             peers = {peers}\n[store]\naddress = {store}\n\
             [duties]\naddress = {platform}\nnames = usage_report\n\
             [bounds]\nrevocation = 5000ms\nconfiguration = 2000ms\nshutdown = 8s\n\
             lease = 3000ms\nrepeat-ratio = 0.2\nrepeat-slack = 58\nrepeat-window = 10s\n\
             usage-window = 5s\nusage-due = 10s\n\
             [upstreams]\nrules = base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform\n\
             [limits]\nmemory-mb = 260\n"
        );
        let settings = folder.join(format!("host-{number}.ini"));
        fs::write(&settings, text).expect("the settings are written");
        let mut host = Self {
            front,
            ready,
            settings,
            log: folder.join(format!("host-{number}.log")),
            child: None,
        };
        host.launch();
        host
    }

    pub fn launch(&mut self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let mut command = Command::new(PROGRAM);
        command
            .env("LAGOONLIFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"));
        // The process ends with this one, also if this one is ended.
        let end_together = || Ok(set_parent_process_death_signal(Some(Signal::KILL))?);
        // SAFETY: between fork and exec, the closure only makes a system call.
        unsafe { command.pre_exec(end_together) };
        let child = command.spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap_or_default();
            child.wait().expect("the process has ended");
        }
    }

    /// Sends a signal.
    #[allow(dead_code, reason = "for cases that stop or freeze a process")]
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            kill_process(Pid::from_child(child), signal).expect("the process runs");
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Waits until the machine is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() >= end {
                return false;
            }
            sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
