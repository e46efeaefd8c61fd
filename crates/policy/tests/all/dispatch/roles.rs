//! Roles of engines as a fleet changes.

use crate::dispatch::support::{SERVICE, at_ms, engine, key_of, present, table_of};
use lagoonlift_policy::UpstreamKey;
use lagoonlift_policy::dispatch::{EngineRole, RolePlan, UpstreamTable};

fn decoders(table: &UpstreamTable) -> usize {
    let roles = table.iter().map(|(_, one)| one.record.role);
    roles
        .filter(|role| *role == Some(EngineRole::Decode))
        .count()
}

/// Carries orders out at once until none is left; returns how many there were.
fn carry_out(table: &mut UpstreamTable) -> usize {
    let mut orders = 0;
    while let Some(order) = RolePlan::new().next_order(table, SERVICE, &[]) {
        let upstream = table.get_mut(order.upstream).expect("listed");
        assert_ne!(upstream.record.role, Some(order.role));
        upstream.record.role = Some(order.role);
        orders += 1;
        assert!(orders <= 40, "orders go back and forth");
    }
    orders
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
    let table = table_of(records);
    let first = RolePlan::new().next_order(&table, SERVICE, &[]);
    let busy: Vec<UpstreamKey> = first.iter().map(|order| order.upstream).collect();
    assert_eq!(busy.len(), 1);
    assert_eq!(RolePlan::new().next_order(&table, SERVICE, &busy), None);
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
