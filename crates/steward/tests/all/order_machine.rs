//! The order journal, step by step.

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

/// Seen failing with the order closed as soon as the engine says that it ended.
#[test]
fn a_successor_shows_its_fencing_number_before_it_closes_an_order() {
    let fencing = FencingSupport::Checked;
    let mut journal = OrderStateMachine::new(OrderConfig { fencing });
    journal.handle(OrderEvent::LeaseGranted(Epoch(5)));
    let stored = StoredOrder {
        record: open_order(4),
        version: Version(1),
    };
    journal.handle(OrderEvent::ReadCompleted(Ok(Some(stored))));
    journal.handle(OrderEvent::WriteCompleted(Ok(Version(2))));
    journal.handle(OrderEvent::StatusReceived(OrderStatus::Ended(
        OrderResult::Done,
    )));
    let Some(OrderAction::Send(order)) = journal.action() else {
        panic!("expected the order again, got {:?}", journal.action());
    };
    assert_eq!((order.id.as_str(), order.fencing), ("r1", Epoch(5)));

    journal.handle(OrderEvent::SendCompleted(SendOutcome::Accepted));
    journal.handle(OrderEvent::StatusReceived(OrderStatus::Ended(
        OrderResult::Done,
    )));
    let Some(OrderAction::Write { record, .. }) = journal.action() else {
        panic!("expected the end to be written, got {:?}", journal.action());
    };
    assert_eq!(record.result, Some(OrderResult::Done));
}

/// Seen failing with the record read at once.
#[test]
fn an_engine_that_ignores_fencing_is_left_alone_until_the_hand_over() {
    let fencing = FencingSupport::Ignored;
    let mut journal = OrderStateMachine::new(OrderConfig { fencing });
    journal.handle(OrderEvent::LeaseGranted(Epoch(5)));
    assert_eq!(journal.action(), None);
    assert_eq!(journal.availability_override(), None);
    journal.handle(OrderEvent::HandoverComplete);
    assert_eq!(journal.action(), Some(OrderAction::Read));
}
