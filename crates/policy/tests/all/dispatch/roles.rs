//! Roles of engines as a fleet changes.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, present, table_of};
use lagoonlift_policy::dispatch::{EngineRole, RolePlanner, UpstreamTable};

fn decoders(table: &UpstreamTable) -> usize {
    let roles = table.iter().map(|(_, one)| one.record.role);
    roles
        .filter(|role| *role == Some(EngineRole::Decode))
        .count()
}

/// Carries orders out at once until none is left; returns how many there were.
fn carry_out(table: &mut UpstreamTable) -> usize {
    let mut count = 0;
    loop {
        let orders = RolePlanner::new().orders(table, SERVICE, &[]);
        if orders.is_empty() {
            return count;
        }
        for order in orders {
            let upstream = table.get_mut(order.upstream).expect("listed");
            assert_ne!(upstream.record.role, Some(order.role));
            upstream.record.role = Some(order.role);
            count += 1;
            assert!(count <= 40, "orders go back and forth");
        }
    }
}

#[test]
fn new_fleet_is_given_its_roles_once() {
    let records = (0..24).map(|number| engine(number, EngineRole::Decode));
    let mut table = table_of(records.collect());
    assert!(carry_out(&mut table) > 0);
    let settled = decoders(&table);
    assert!((3..=8).contains(&settled), "{settled} generate");
    assert_eq!(carry_out(&mut table), 0);
}

/// All engines that generate are lost: readers take their place.
#[test]
fn lost_generators_are_replaced_by_readers() {
    let records = (0..12).map(|number| engine(number, EngineRole::Prefill));
    let mut table = table_of(records.collect());
    carry_out(&mut table);
    assert!(decoders(&table) >= 3);
}

/// An order under way counts as carried out.
#[test]
fn no_second_order_while_one_is_under_way() {
    let mut records: Vec<_> = (0..12)
        .map(|number| engine(number, EngineRole::Prefill))
        .collect();
    records[0].role = Some(EngineRole::Decode);
    records[1].role = Some(EngineRole::Decode);
    records[2].role = Some(EngineRole::Decode);
    let table = table_of(records);
    let open = RolePlanner::new().orders(&table, SERVICE, &[]);
    assert_eq!(open.len(), 1);
    assert_eq!(RolePlanner::new().orders(&table, SERVICE, &open), []);
}

/// Engines that crashed are still listed for seconds; the others that generate
/// must not be made readers meanwhile.
#[test]
fn dead_generators_are_not_counted() {
    let records = (0..16).map(|number| match number < 10 {
        true => engine(number, EngineRole::Prefill),
        false => engine(number, EngineRole::Decode),
    });
    let mut table = table_of(records.collect());
    assert!(!RolePlanner::new().orders(&table, SERVICE, &[]).is_empty());
    for number in [10, 11, 12] {
        let key = key_of(&table, number);
        let upstream = table.get_mut(key).expect("listed");
        for _ in 0..6 {
            upstream.record_failure(at_ms(0), true);
        }
    }
    let orders = RolePlanner::new().orders(&table, SERVICE, &[]);
    assert!(orders.iter().all(|order| order.role == EngineRole::Decode));
}

/// Reclaimable engines read, since a reader's loss costs least.
#[test]
fn reclaimable_engines_read_first() {
    let mut records: Vec<_> = (0..12)
        .map(|number| engine(number, EngineRole::Decode))
        .collect();
    for record in records.iter_mut().skip(6) {
        record.is_spot = true;
    }
    let mut table = table_of(records);
    carry_out(&mut table);
    let spot_decoders = (6..12).filter(|number| {
        let upstream = table.get(key_of(&table, *number)).expect("listed");
        upstream.record.role == Some(EngineRole::Decode)
    });
    assert_eq!(spot_decoders.count(), 0);
    table.apply(at_ms(1), present(engine(13, EngineRole::Decode)));
}
