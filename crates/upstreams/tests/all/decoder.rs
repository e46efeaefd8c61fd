//! Checks that the decoder returns the same events wherever the network splits
//! the stream.

use lagoonlift_upstreams::EventDecoder;
use quickcheck::{TestResult, quickcheck};

fn decode_all<'a>(parts: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let mut decoder = EventDecoder::new();
    let mut events = Vec::new();
    for part in parts {
        decoder
            .push(part)
            .expect("every event is below the maximum size");
        while let Some(event) = decoder.pop() {
            events.push(String::from_utf8_lossy(&event).into_owned());
        }
    }
    events
}

quickcheck! {
    fn decodes_independently_of_splits(numbers: Vec<u32>, split: usize, crlf: bool) -> TestResult {
        if split == 0 {
            return TestResult::discard();
        }
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: String = numbers
            .iter()
            .map(|number| format!(": ping{end}data: {{\"n\":{number}}}{end}{end}"))
            .collect();
        let expected: Vec<String> = numbers.iter().map(|number| format!("{{\"n\":{number}}}")).collect();
        let size = split % 64 + 1;
        TestResult::from_bool(decode_all(stream.as_bytes().chunks(size)) == expected)
    }
}

#[test]
fn rejects_an_oversized_event() {
    let mut decoder = EventDecoder::new();
    let part = [b'x'; 64 * 1024];
    let pushed = (0..32).map(|_| decoder.push(&part)).find(Result::is_err);
    assert!(pushed.is_some());
}
