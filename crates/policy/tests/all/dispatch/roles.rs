//! Tests of role changes while a fleet changes.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, present, table_of};
use lagoonlift_policy::dispatch::{EngineRole, RolePlanner, UpstreamTable};

fn decode_engines(table: &UpstreamTable) -> usize {
    let roles = table.iter().map(|(_, one)| one.record.role);
    roles
        .filter(|role| *role == Some(EngineRole::Decode))
        .count()
}

/// Executes orders immediately until the planner returns none. Returns the number of
/// orders.
fn execute_orders(table: &mut UpstreamTable) -> usize {
    let mut count = 0;
    loop {
        let orders = RolePlanner::new().orders(table, SERVICE, &[]);
        if orders.is_empty() {
            return count;
        }
        for order in orders {
            let upstream = table.get_mut(order.upstream).expect("upstream is listed");
            assert_ne!(upstream.record.role, Some(order.role));
            upstream.record.role = Some(order.role);
            count += 1;
            assert!(count <= 40, "the orders do not converge");
        }
    }
}

#[test]
fn new_fleet_is_given_its_roles_once() {
    let records = (0..24).map(|number| engine(number, EngineRole::Decode));
    let mut table = table_of(records.collect());
    assert!(execute_orders(&mut table) > 0);
    let settled = decode_engines(&table);
    assert!((3..=8).contains(&settled), "{settled} decode engines");
    assert_eq!(execute_orders(&mut table), 0);
}

/// All decode engines are lost. Prefill engines are changed to replace them.
#[test]
fn lost_decode_engines_are_replaced_by_prefill_engines() {
    let records = (0..12).map(|number| engine(number, EngineRole::Prefill));
    let mut table = table_of(records.collect());
    execute_orders(&mut table);
    assert!(decode_engines(&table) >= 3);
}

/// An open order counts as executed.
#[test]
fn no_second_order_while_one_is_open() {
    let mut records: Vec<_> = (0..12)
        .map(|number| engine(number, EngineRole::Prefill))
        .collect();
    records[0].role = Some(EngineRole::Decode);
    records[1].role = Some(EngineRole::Decode);
    let table = table_of(records);
    let open = RolePlanner::new().orders(&table, SERVICE, &[]);
    assert_eq!(open.len(), 1);
    assert_eq!(RolePlanner::new().orders(&table, SERVICE, &open), []);
}

/// Crashed engines stay listed for seconds. Meanwhile, the other decode engines must
/// not be changed to prefill engines.
#[test]
fn dead_decode_engines_are_not_counted() {
    let records = (0..16).map(|number| match number < 10 {
        true => engine(number, EngineRole::Prefill),
        false => engine(number, EngineRole::Decode),
    });
    let mut table = table_of(records.collect());
    assert!(!RolePlanner::new().orders(&table, SERVICE, &[]).is_empty());
    for number in [10, 11, 12] {
        let key = key_of(&table, number);
        let upstream = table.get_mut(key).expect("upstream is listed");
        for _ in 0..6 {
            upstream.record_failure(at_ms(0), true);
        }
    }
    let orders = RolePlanner::new().orders(&table, SERVICE, &[]);
    assert!(orders.iter().all(|order| order.role == EngineRole::Decode));
}

/// Reclaimable engines become prefill engines first, since the loss of a prefill
/// engine costs least.
#[test]
fn reclaimable_engines_become_prefill_engines_first() {
    let mut records: Vec<_> = (0..12)
        .map(|number| engine(number, EngineRole::Decode))
        .collect();
    for record in records.iter_mut().skip(6) {
        record.is_spot = true;
    }
    let mut table = table_of(records);
    execute_orders(&mut table);
    let spot_decode_engines = (6..12).filter(|number| {
        let upstream = table
            .get(key_of(&table, *number))
            .expect("upstream is listed");
        upstream.record.role == Some(EngineRole::Decode)
    });
    assert_eq!(spot_decode_engines.count(), 0);
    table.apply(at_ms(1), present(engine(13, EngineRole::Decode)));
}

/// Decoding short responses takes a small fleet no more than a fifth of its engines, and
/// every decode engine more is missing in a burst of long prompts. Two are left when one
/// is lost.
#[test]
fn small_fleet_keeps_its_engines_for_long_prompts() {
    let records = (0..15).map(|number| engine(number, EngineRole::Decode));
    let mut table = table_of(records.collect());
    execute_orders(&mut table);
    assert_eq!(decode_engines(&table), 3);
}
