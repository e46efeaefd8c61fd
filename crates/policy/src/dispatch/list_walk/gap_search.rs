//! The search for the end of a gap: for a place behind objects whose names can't be read.
//!
//! It finds the first characters of the gap's end, one after the other, by whether the page
//! behind all names that begin with them shows more than the gap. It relies on the order of
//! the names' characters.

use super::LAST_CHARACTER;

/// Characters of names among which the search looks, in their order.
const FIRST_CHARACTER: u8 = b' ';
const HIGHEST_CHARACTER: u8 = b'~';

/// Characters that are searched for beyond those that the name before the gap has too.
const MAX_SEARCHED: usize = 3;

/// Largest number of pages that one search reads.
const MAX_PROBES: usize = 48;

/// The next step of a search.
pub(super) enum SearchStep {
    /// The page after this place shows whether the gap goes on there.
    Probe(String),
    /// The list goes on after this place.
    Found(String),
    /// No place behind the gap was found.
    Failed,
}

/// A search for the end of a gap.
#[derive(Clone, Debug)]
pub(super) struct GapSearch {
    /// The name after which the gap begins.
    from: Vec<u8>,
    /// First characters of the end of the gap.
    start: Vec<u8>,
    /// The next character, as far as it is known: the highest one that lies before the end of
    /// the gap, and the lowest one that doesn't.
    before: Option<u8>,
    behind: Option<u8>,
    probed: u8,
    searched: usize,
    probes: usize,
}

impl GapSearch {
    pub(super) fn new(from: &str) -> Self {
        let from = from.as_bytes().to_vec();
        Self {
            probed: from.first().map_or(FIRST_CHARACTER, |first| *first),
            from,
            start: Vec::new(),
            before: None,
            behind: None,
            searched: 0,
            probes: 0,
        }
    }

    pub(super) fn first_step(&self) -> SearchStep {
        match self.probed <= HIGHEST_CHARACTER {
            true => SearchStep::Probe(place_behind(&self.start, Some(self.probed))),
            false => SearchStep::Failed,
        }
    }

    /// Records whether the probed place lies behind the gap.
    pub(super) fn record(&mut self, is_behind: bool) -> SearchStep {
        self.probes += 1;
        match is_behind {
            true => self.behind = Some(self.probed),
            false => self.before = Some(self.probed),
        }
        if self.probes >= MAX_PROBES {
            return self.stop();
        }
        match (self.before, self.behind) {
            (None, Some(lowest)) => self.accept_lowest(lowest),
            (Some(HIGHEST_CHARACTER), None) => self.stop(),
            (Some(_), None) => self.probe(HIGHEST_CHARACTER),
            (Some(before), Some(behind)) if before + 1 < behind => {
                self.probe(before + (behind - before) / 2)
            }
            (Some(_), Some(behind)) => {
                self.searched += 1;
                self.accept(behind)
            }
            (None, None) => self.stop(),
        }
    }

    /// Ends the search with what is known.
    pub(super) fn stop(&self) -> SearchStep {
        match (self.behind, self.start.is_empty()) {
            (None, true) => SearchStep::Failed,
            (behind, _) => SearchStep::Found(place_behind(&self.start, behind)),
        }
    }

    /// Goes on after the lowest character that was possible. It is that of the name before the
    /// gap, or the end of the gap has no other characters.
    fn accept_lowest(&mut self, lowest: u8) -> SearchStep {
        match self.is_along_start() && self.start.len() < self.from.len() {
            true => self.accept(lowest),
            false => self.stop(),
        }
    }

    fn accept(&mut self, character: u8) -> SearchStep {
        if self.searched == MAX_SEARCHED {
            return self.stop();
        }
        self.start.push(character);
        (self.before, self.behind) = (None, None);
        let next = self.from.get(self.start.len()).copied();
        let lowest = next.filter(|_| self.is_along_start());
        match lowest.unwrap_or(FIRST_CHARACTER) {
            lowest if lowest <= HIGHEST_CHARACTER => self.probe(lowest.max(FIRST_CHARACTER)),
            _ => self.stop(),
        }
    }

    fn probe(&mut self, character: u8) -> SearchStep {
        self.probed = character;
        SearchStep::Probe(place_behind(&self.start, Some(character)))
    }

    /// Returns whether the name before the gap begins with the known characters.
    fn is_along_start(&self) -> bool {
        self.from.starts_with(&self.start)
    }
}

/// Returns the place behind all names that begin with these characters.
fn place_behind(start: &[u8], next: Option<u8>) -> String {
    let characters = start.iter().copied().chain(next).map(char::from);
    characters.chain([LAST_CHARACTER]).collect()
}
