//! Gateways as processes, with the command of the deploy file and its template for settings.

use crate::http;
use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// What the settings of all gateways have in common.
#[derive(Clone)]
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    /// Bounds of `deploy/gateway.ini`, as lines.
    pub bounds: String,
    pub contracts: String,
    pub memory_mb: u64,
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Deployment {
    /// Starts a gateway on the loopback address `ip`, which no other process uses.
    pub fn start(&self, name: &str, zone: &str, ip: &str) -> Gateway {
        let text = format!(
            "[host]\nname = {name}\ndata-centre = {zone}\naddress = {ip}\n\n\
             [listen]\ncallers = {ip}:8405\nreadiness = {ip}:8406\nmetrics = {ip}:7661\n\
             peers = {ip}:7662\n\n[store]\naddress = {}\n\n\
             [duties]\naddress = {}\nnames = usage_report,autoscale\n\n[bounds]\n{}\n\
             [upstreams]\nrules = {}\n\n[limits]\nmemory-mb = {}\n",
            self.store, self.cloud, self.bounds, self.contracts, self.memory_mb
        );
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut gateway = Gateway {
            name: name.to_owned(),
            callers: format!("{ip}:8405").parse().expect("an address"),
            readiness: format!("{ip}:8406").parse().expect("an address"),
            root: self.root.clone(),
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        };
        gateway.launch();
        gateway
    }
}

impl Gateway {
    pub fn launch(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let program = self
            .root
            .join(Path::new("target/release/lagoonlift-gateway"));
        let child = Command::new(program)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LAGOONLIFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the gateway starts");
        record_pid(child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        let host = [("Host", "x".to_owned()), ("Connection", "close".to_owned())];
        let bytes = http::request("GET", "/readyz", &host, b"");
        let answer = http::send(self.readiness, &bytes, Duration::from_secs(1));
        matches!(answer, Ok(Some(response)) if response.status == 200)
    }

    /// Waits until the gateway is ready; returns whether it is.
    pub fn wait_until_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Names a process that was started in the file for the script, which ends it in any case.
fn record_pid(pid: u32) {
    if let Some(file) = std::env::var_os("REVIEW_PIDS") {
        let mut file = File::options()
            .append(true)
            .open(file)
            .expect("the file of the script");
        writeln!(file, "{pid}").expect("the file can be written");
    }
}
