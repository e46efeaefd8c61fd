//! Stand-ins for the cases of the third review: the platform's store, runners and clients around
//! the project's gateways. `standin-3 CASE GATEWAY DIRECTORY RECORD` plays one case; the exit code
//! is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod crashes;
mod hosts;
mod http;
mod keys;
mod leaving;
mod machine;
mod record;
mod repeats;
mod runner;
mod split;
mod store;
mod versions;

use machine::Machine;
use record::Record;
use runner::Fleet;
use serde_json::{Value, json};
use std::env;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use store::{Store, StorePath};

/// Identifier of the part of a prompt that crashes runners.
pub const BAD_PART: &str = "badbad01:";

/// Path of the request that crashes runners.
pub const BAD_PATH: &str = "/desk/report/7";

/// Machines of each case, one in each zone.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What a case plays with.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub has_trouble: bool,
    program: String,
    directory: PathBuf,
}

/// The machines, and their ways to the store.
pub struct Machines {
    pub machines: Vec<Machine>,
    pub paths: Vec<StorePath>,
}

impl World {
    /// Writes the configuration.
    pub fn configure(&self, routes: Value, services: Value) {
        self.configure_tenants(3, routes, services, json!([]));
    }

    /// Writes a configuration with keys.
    pub fn configure_tenants(&self, version: u64, routes: Value, services: Value, tenants: Value) {
        let config = json!({"version": version, "routes": routes, "services": services,
            "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000}});
        self.store.put("config", "main", config);
    }

    /// Starts the machines and waits until they are ready.
    pub fn start_machines(&self, fleets: &[&Fleet]) -> Machines {
        let mut machines = Machines {
            machines: Vec::new(),
            paths: Vec::new(),
        };
        for (number, zone) in ZONES.iter().enumerate() {
            let shows: Vec<_> = fleets.iter().map(|fleet| fleet.show(number)).collect();
            let path = self
                .store
                .serve(move |value| shows.iter().for_each(|show| show(value)));
            let (program, directory) = (&self.program, &self.directory);
            let machine = Machine::start(program, number, zone, path.address, directory);
            machines.machines.push(machine);
            machines.paths.push(path);
        }
        for machine in &machines.machines {
            if !machine.wait_until_ready() {
                self.record.say("a machine isn't ready in time");
                drop(machines);
                exit(2);
            }
        }
        sleep(Duration::from_millis(2_000));
        machines
    }

    /// Ends the case; `is_broken` says whether the rule was broken.
    pub fn end(&self, mut machines: Machines, is_broken: bool) -> ! {
        let mut ended = machines
            .machines
            .iter_mut()
            .map(Machine::has_ended_by_itself);
        let has_ended = ended.any(|ended| ended);
        drop(machines);
        if has_ended {
            self.record.say("a gateway ended by itself");
        }
        self.record.say(if is_broken { "BROKEN" } else { "HELD" });
        exit(i32::from(is_broken))
    }
}

/// Returns a number from 0 to 1 that follows from `seed`.
pub fn unit(seed: u64) -> f64 {
    let mut value = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((value ^ (value >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, program, directory, record] = arguments.as_slice() else {
        eprintln!("Usage: standin-3 CASE GATEWAY DIRECTORY RECORD");
        exit(2);
    };
    let world = World {
        record: Arc::new(Record::new(record)),
        store: Arc::default(),
        has_trouble: env::var("TROUBLE").unwrap_or_default() == ""
            || env::var("TROUBLE").as_deref() == Ok("1"),
        program: program.clone(),
        directory: PathBuf::from(directory),
    };
    match case.as_str() {
        "versions" => versions::play(&world, false),
        "reborn" => versions::play(&world, true),
        "crashes" => crashes::play(&world, false),
        "few" => crashes::play(&world, true),
        "hosts" => hosts::play(&world),
        "keys" => keys::play(&world),
        "leaving" => leaving::play(&world),
        "again" => repeats::play(&world, 1),
        "repeats" => repeats::play(&world, 4),
        "split" => split::play(&world),
        _ => exit(2),
    }
}
