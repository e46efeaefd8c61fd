//! The order journal, step by step.

use lagoonlift_platform::Version;
use lagoonlift_steward::{
    JournalAction, JournalConfig, JournalEvent, OrderJournal, OrderLook, OrderRecord, OrderResult,
    OrderSent, StoredOrder,
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
    let mut journal = OrderJournal::new(JournalConfig { fencing });
    journal.handle(JournalEvent::Granted(Epoch(5)));
    let stored = StoredOrder {
        record: open_order(4),
        version: Version(1),
    };
    journal.handle(JournalEvent::Read(Ok(Some(stored))));
    journal.handle(JournalEvent::Written(Ok(Version(2))));
    journal.handle(JournalEvent::Looked(OrderLook::Ended(OrderResult::Done)));
    let Some(JournalAction::Send(order)) = journal.action() else {
        panic!("expected the order again, got {:?}", journal.action());
    };
    assert_eq!((order.id.as_str(), order.fencing), ("r1", Epoch(5)));

    journal.handle(JournalEvent::Sent(OrderSent::Accepted));
    journal.handle(JournalEvent::Looked(OrderLook::Ended(OrderResult::Done)));
    let Some(JournalAction::Write { record, .. }) = journal.action() else {
        panic!("expected the end to be written, got {:?}", journal.action());
    };
    assert_eq!(record.result, Some(OrderResult::Done));
}

/// Seen failing with the record read at once.
#[test]
fn an_engine_that_ignores_fencing_is_left_alone_until_the_hand_over() {
    let fencing = FencingSupport::Ignored;
    let mut journal = OrderJournal::new(JournalConfig { fencing });
    journal.handle(JournalEvent::Granted(Epoch(5)));
    assert_eq!(journal.action(), None);
    assert_eq!(journal.hold(), None);
    journal.handle(JournalEvent::HandoverComplete);
    assert_eq!(journal.action(), Some(JournalAction::Read));
}
