//! Single steps of the order state machine.

use lagoonlift_platform::Version;
use lagoonlift_steward::{
    OrderAction, OrderConfig, OrderEvent, OrderRecord, OrderResult, OrderStateMachine, OrderStatus,
    SendOutcome, StoredOrder,
};
use lagoonlift_types::{Epoch, FencingSupport, UpstreamRole};
use lagoonlift_upstreams::EngineChange;

fn open_order(epoch: u64) -> OrderRecord {
    OrderRecord {
        id: "r1".to_owned(),
        epoch: Epoch(epoch),
        change: EngineChange::ChangeRole(UpstreamRole::Decode),
        result: None,
    }
}

/// Fails if a successor records the result that the engine reports without having
/// sent the order itself. The engine wouldn't know its fencing token then.
#[test]
fn a_successor_shows_its_fencing_number_before_it_closes_an_order() {
    let fencing = FencingSupport::Checked;
    let mut machine = OrderStateMachine::new(OrderConfig { fencing });
    machine.handle(OrderEvent::LeaseGranted(Epoch(5)));
    let stored = StoredOrder {
        record: open_order(4),
        version: Version(1),
    };
    machine.handle(OrderEvent::ReadCompleted(Ok(Some(stored))));
    machine.handle(OrderEvent::WriteCompleted(Ok(Version(2))));
    machine.handle(OrderEvent::StatusReceived(OrderStatus::Ended(
        OrderResult::Done,
    )));
    let Some(OrderAction::Send(order)) = machine.action() else {
        panic!(
            "expected the order to be sent again, got {:?}",
            machine.action()
        );
    };
    assert_eq!((order.id.as_str(), order.fencing), ("r1", Epoch(5)));

    machine.handle(OrderEvent::SendCompleted(SendOutcome::Accepted));
    machine.handle(OrderEvent::StatusReceived(OrderStatus::Ended(
        OrderResult::Done,
    )));
    let Some(OrderAction::Write { record, .. }) = machine.action() else {
        panic!(
            "expected the result to be written, got {:?}",
            machine.action()
        );
    };
    assert_eq!(record.result, Some(OrderResult::Done));
}

/// Fails if the record is read before the handover is complete.
#[test]
fn an_engine_that_ignores_fencing_is_left_alone_until_the_hand_over() {
    let fencing = FencingSupport::Ignored;
    let mut machine = OrderStateMachine::new(OrderConfig { fencing });
    machine.handle(OrderEvent::LeaseGranted(Epoch(5)));
    assert_eq!(machine.action(), None);
    assert_eq!(machine.availability_override(), None);
    machine.handle(OrderEvent::HandoverComplete);
    assert_eq!(machine.action(), Some(OrderAction::Read));
}
