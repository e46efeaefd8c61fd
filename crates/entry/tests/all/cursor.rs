//! The cursor delivers every token once and in order, for any sequence of
//! attempts.

use lagoonlift_entry::{CursorStep, TokenCursor};
use quickcheck::quickcheck;

/// Runs attempts that each resume at the cursor, repeat some tokens and stop
/// after a number of tokens; returns the indices that were delivered.
fn deliver(attempts: &[(u8, u8)], gap_at: Option<u64>) -> Vec<u64> {
    let mut cursor = TokenCursor::new();
    let mut delivered = Vec::new();
    for (overlap, length) in attempts {
        cursor.start_attempt();
        let first = cursor.delivered().saturating_sub(u64::from(*overlap));
        for index in (first..first + u64::from(*length)).filter(|index| Some(*index) != gap_at) {
            match cursor.accept(Some(index)) {
                CursorStep::Deliver => delivered.push(index),
                CursorStep::Drop => {}
                CursorStep::Gap => break,
            }
        }
    }
    delivered
}

quickcheck! {
    fn delivers_each_token_once(attempts: Vec<(u8, u8)>) -> bool {
        let delivered = deliver(&attempts, None);
        delivered.iter().copied().eq(0..delivered.len() as u64)
    }

    fn delivers_nothing_after_a_gap(attempts: Vec<(u8, u8)>, gap: u8) -> bool {
        let delivered = deliver(&attempts, Some(u64::from(gap)));
        delivered.iter().all(|index| *index < u64::from(gap))
    }
}

#[test]
fn counts_tokens_without_an_index_from_where_the_attempt_began() {
    let mut cursor = TokenCursor::new();
    cursor.start_attempt();
    assert_eq!(cursor.accept(None), CursorStep::Deliver);
    cursor.start_attempt();
    assert_eq!(cursor.accept(None), CursorStep::Deliver);
    assert_eq!(cursor.delivered(), 2);
}
