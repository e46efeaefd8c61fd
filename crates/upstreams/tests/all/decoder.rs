//! Events come out the same, however the network cut the stream.

use lagoonlift_upstreams::EventDecoder;
use quickcheck::{TestResult, quickcheck};

fn decode<'a>(parts: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let mut decoder = EventDecoder::new();
    let mut events = Vec::new();
    for part in parts {
        decoder.push(part).expect("the test's events are small");
        while let Some(event) = decoder.pop() {
            events.push(String::from_utf8_lossy(&event).into_owned());
        }
    }
    events
}

quickcheck! {
    fn cuts_do_not_matter(texts: Vec<u32>, cut: usize, crlf: bool) -> TestResult {
        if cut == 0 {
            return TestResult::discard();
        }
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: String = texts
            .iter()
            .map(|text| format!(": ping{end}data: {{\"n\":{text}}}{end}{end}"))
            .collect();
        let expected: Vec<String> = texts.iter().map(|text| format!("{{\"n\":{text}}}")).collect();
        let size = cut % 64 + 1;
        TestResult::from_bool(decode(stream.as_bytes().chunks(size)) == expected)
    }
}

#[test]
fn gives_an_endless_event_up() {
    let mut decoder = EventDecoder::new();
    let part = [b'x'; 64 * 1024];
    let pushed = (0..32).map(|_| decoder.push(&part)).find(Result::is_err);
    assert!(pushed.is_some());
}
