//! Tests of the number of decode engines that the work calls for.

use super::support::{SERVICE, at_ms, engine, key_of, table_of};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{
    DecodeWork, DecodeWorkEstimate, EngineRole, EngineSpec, PeerLoads, RoleLoads, RoleOrder,
    RolePlanner, ServiceDigest, UpstreamTable,
};
use std::collections::HashMap;
use std::time::Duration;

const PASS_MS: u64 = 300;
const CHANGE_MS: u64 = 3_000;
const SLOTS: u32 = 6;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: SLOTS,
        kv_cache_tokens: 1_540_000,
        kv_handle_ttl: Duration::from_secs(5),
        role_change_time: Duration::from_millis(CHANGE_MS),
    }
}

/// Engines that carry out their orders, with the work divided evenly over each role.
struct RoleTrial {
    table: UpstreamTable,
    estimate: DecodeWorkEstimate,
    open: Vec<(RoleOrder, u64)>,
    /// Times of the orders by engine.
    orders: HashMap<UpstreamKey, Vec<u64>>,
}

impl RoleTrial {
    fn new(engines: usize, decode_engines: usize) -> Self {
        let records = (0..engines).map(|number| match number < decode_engines {
            true => engine(number, EngineRole::Decode),
            false => engine(number, EngineRole::Prefill),
        });
        Self {
            table: table_of(records.collect()),
            estimate: DecodeWorkEstimate::new(at_ms(0), DecodeWork::Unknown),
            open: Vec::new(),
            orders: HashMap::new(),
        }
    }

    /// Runs passes with the requests in flight on decode and prefill engines that `load`
    /// returns for each time.
    fn run(&mut self, from_ms: u64, to_ms: u64, load: impl Fn(u64) -> (u32, u32)) {
        for now_ms in (from_ms..to_ms).step_by(PASS_MS as usize) {
            self.finish_orders(now_ms);
            self.set_load(load(now_ms));
            let open: Vec<RoleOrder> = self.open.iter().map(|(order, _)| *order).collect();
            let loads = RoleLoads::new(&self.table, &PeerLoads::new(), SERVICE, &open);
            self.estimate.record(at_ms(now_ms), loads, &spec());
            for order in self.planner().orders(&self.table, SERVICE, &open) {
                self.open.push((order, now_ms + CHANGE_MS));
                self.orders.entry(order.upstream).or_default().push(now_ms);
            }
        }
    }

    fn planner(&self) -> RolePlanner {
        RolePlanner::with_work(match self.estimate.engines() {
            0 => DecodeWork::Unknown,
            engines => DecodeWork::Announced(engines),
        })
    }

    fn finish_orders(&mut self, now_ms: u64) {
        for (order, _) in self.open.extract_if(.., |(_, at)| *at <= now_ms) {
            let upstream = self.table.get_mut(order.upstream).expect("an engine");
            upstream.record.role = Some(order.role);
        }
    }

    fn set_load(&mut self, (decode, prefill): (u32, u32)) {
        for (role, in_flight) in [(EngineRole::Decode, decode), (EngineRole::Prefill, prefill)] {
            let entries = self.table.iter();
            let of_role: Vec<UpstreamKey> = entries
                .filter(|(_, one)| one.record.role == Some(role))
                .map(|(key, _)| key)
                .collect();
            for (position, key) in of_role.iter().enumerate() {
                let (count, rest) = (
                    in_flight / of_role.len() as u32,
                    in_flight % of_role.len() as u32,
                );
                let upstream = self.table.get_mut(*key).expect("an engine");
                upstream.in_flight = count + u32::from((position as u32) < rest);
            }
        }
    }

    fn decode_engines(&self) -> usize {
        let roles = self.table.iter().map(|(_, one)| one.record.role);
        roles
            .filter(|role| *role == Some(EngineRole::Decode))
            .count()
    }

    fn order_count(&self) -> usize {
        self.orders.values().map(Vec::len).sum()
    }

    fn remove(&mut self, number: usize) {
        let key = key_of(&self.table, number);
        let id = self.table.get(key).expect("an engine").record.id.clone();
        self.table.apply(
            at_ms(0),
            lagoonlift_policy::dispatch::ListChange::Removed(id),
        );
    }
}

/// Three decode engines were saturated while the prefill engines had free slots.
#[test]
fn saturated_decode_engines_get_company() {
    let mut trial = RoleTrial::new(15, 3);
    trial.run(0, 900, |_| (30, 20));
    // A few at a time: a tenth of the engines.
    assert_eq!(trial.order_count(), 2);
    trial.run(900, 20_000, |_| (30, 20));
    assert_eq!(trial.decode_engines(), 5);
    assert_eq!(trial.order_count(), 2);
}

/// Prefill engines without free slots keep their role.
#[test]
fn busy_prefill_engines_are_not_changed() {
    let mut trial = RoleTrial::new(15, 3);
    trial.run(0, 20_000, |_| (40, 70));
    assert_eq!(trial.order_count(), 0);
}

/// After a reclaim of half of the engines, most decode engines were changed to prefill
/// engines, and the rest was saturated.
#[test]
fn decode_engines_with_work_keep_their_role_after_a_reclaim() {
    let mut trial = RoleTrial::new(33, 7);
    trial.run(0, 6_000, |_| (36, 40));
    for number in 16..33 {
        trial.remove(number);
    }
    let minimum = RolePlanner::new().orders(&trial.table, SERVICE, &[]);
    assert!(!minimum.is_empty());
    trial.run(6_000, 20_000, |_| (36, 40));
    assert_eq!((trial.order_count(), trial.decode_engines()), (0, 7));
}

/// Engines without work follow the minimum as before.
#[test]
fn idle_decode_engines_are_changed_after_a_reclaim() {
    let mut trial = RoleTrial::new(33, 7);
    trial.run(0, 6_000, |_| (6, 40));
    for number in 16..33 {
        trial.remove(number);
    }
    trial.run(6_000, 12_000, |_| (6, 40));
    assert_eq!(trial.decode_engines(), 4);
}

/// Lost decode engines are replaced at once, up to the number that the work calls for.
#[test]
fn lost_decode_engines_with_work_are_replaced_at_once() {
    let mut trial = RoleTrial::new(24, 5);
    trial.run(0, 6_000, |_| (28, 30));
    trial.remove(0);
    trial.remove(1);
    trial.run(6_000, 6_000 + PASS_MS, |_| (18, 30));
    assert_eq!(trial.open.len(), 2);
}

/// The mix swings by a factor of three every 2.8 s. A role change takes 3 s.
#[test]
fn no_engine_changes_its_role_twice_in_ten_seconds_under_the_swing() {
    for (engines, decode_engines, low) in [(15, 3, 12), (15, 8, 10), (33, 7, 20), (33, 16, 9)] {
        let mut trial = RoleTrial::new(engines, decode_engines);
        trial.run(0, 120_000, |now_ms| match (now_ms / 1_400) % 2 {
            0 => (low, low * 2),
            _ => (low * 3, low),
        });
        for times in trial.orders.values() {
            let is_apart = times.windows(2).all(|pair| pair[1] - pair[0] >= 10_000);
            assert!(is_apart, "{engines} engines: orders at {times:?}");
        }
        assert!(trial.order_count() <= 16, "{} orders", trial.order_count());
    }
}

/// Hosts that don't hold the lease avoided decode engines beyond the minimum, as if they
/// were about to change, because they didn't know the announced number.
#[test]
fn hosts_follow_the_announced_number() {
    let trial = RoleTrial::new(16, 7);
    let mut peers = PeerLoads::new();
    let orders = |peers: &PeerLoads, ms: u64| {
        let work = peers.decode_work(at_ms(ms), SERVICE);
        RolePlanner::with_work(work)
            .orders(&trial.table, SERVICE, &[])
            .len()
    };
    assert_eq!(orders(&peers, 0), 3, "nothing announced");
    peers.record_decode_work(at_ms(0), &[(ServiceDigest::new(SERVICE), 7)]);
    assert_eq!(orders(&peers, 100), 0, "announced");
    assert_eq!(orders(&peers, 60_000), 0, "outdated");
    peers.record_decode_work(at_ms(60_000), &[(ServiceDigest::new(SERVICE), 0)]);
    assert_eq!(
        orders(&peers, 60_100),
        3,
        "no more than the minimum announced"
    );
}

/// A wrong number leaves half of the engines as prefill engines.
#[test]
fn excessive_number_leaves_prefill_engines() {
    let trial = RoleTrial::new(16, 7);
    let planner = RolePlanner::with_work(DecodeWork::Announced(u32::MAX));
    assert_eq!(planner.orders(&trial.table, SERVICE, &[]).len(), 1);
}
