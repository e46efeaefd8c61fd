//! From where the next page of a list is read.
//!
//! A page of a list begins after a name that the reader chooses. Whoever writes an object
//! chooses its name, and what the store shows of it may not be a name at all. The walk
//! therefore
//!
//! * goes on after the last plain name of a page, which any store reads as it is meant, even if
//!   that shows the objects after it again;
//! * goes on after the last name of any kind if there is no plain one, or if a page showed
//!   nothing else;
//! * asks for no place twice, so that a store that shows the same page again and again ends it;
//! * searches for the end of a gap if a page has no name from which to go on, or if the store
//!   rejects the place. What shares its first characters with the gap stays unread, so the list
//!   isn't whole then.

mod gap_search;

use self::gap_search::{GapSearch, SearchStep};
use super::is_plain_name;
use std::collections::HashSet;

/// Largest name, in bytes, after which a page is asked for as it is. Longer ones may not fit
/// into the target of a call.
const MAX_PLACE_BYTES: usize = 1_024;

/// Sorts after all characters that a name can have.
const LAST_CHARACTER: char = char::MAX;

/// Largest number of pages of one list.
const MAX_PAGES: usize = 100_000;

/// Largest number of searches in one list.
const MAX_SEARCHES: usize = 3;

/// The next step of the walk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListStep {
    /// The next page begins after this name, which no object needs to have.
    PageAfter(String),
    /// The list ends. If it isn't whole, objects that exist may be missing.
    End {
        /// Whether all objects were shown.
        is_whole: bool,
    },
}

/// The walk through the pages of one list.
#[derive(Clone, Debug, Default)]
pub struct ListWalk {
    /// Place after which the awaited page begins; empty for the first page.
    place: String,
    asked: HashSet<String>,
    search: Option<GapSearch>,
    searches: usize,
    has_gap: bool,
}

impl ListWalk {
    /// Creates a walk whose first page is the first one of the list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a page: the names of its objects in their order, `None` for an object without a
    /// readable one, and whether the store says that more objects follow.
    pub fn record_page(&mut self, names: &[Option<&str>], is_truncated: bool) -> ListStep {
        if let Some(search) = &mut self.search {
            let place = self.place.as_str();
            let goes_on = names.iter().flatten().any(|name| *name > place);
            let step = search.record(goes_on || !is_truncated);
            return self.follow_search(step);
        }
        if !is_truncated {
            return self.end();
        }
        let plain = names.iter().flatten().rfind(|name| is_plain_name(name));
        let last = names.iter().flatten().next_back();
        let places = plain.into_iter().chain(last).map(|name| place_after(name));
        match places.into_iter().find(|place| !self.asked.contains(place)) {
            Some(place) if self.asked.len() < MAX_PAGES => self.ask(place),
            Some(_) => self.give_up(),
            None => self.begin_search(),
        }
    }

    /// Records that the store rejects the place after which the page should begin.
    pub fn record_rejection(&mut self) -> ListStep {
        match &mut self.search {
            Some(search) => {
                let step = search.stop();
                self.follow_search(step)
            }
            None => self.begin_search(),
        }
    }

    /// Returns whether a store may reject the place after which the awaited page begins. Any
    /// store reads a plain name, so a rejection of one says something else.
    pub fn is_at_rejectable_place(&self) -> bool {
        !self.place.is_empty() && !is_plain_name(&self.place)
    }

    fn begin_search(&mut self) -> ListStep {
        if self.searches == MAX_SEARCHES {
            return self.give_up();
        }
        self.searches += 1;
        self.has_gap = true;
        let search = GapSearch::new(&self.place);
        let step = search.first_step();
        self.search = Some(search);
        self.follow_search(step)
    }

    fn follow_search(&mut self, step: SearchStep) -> ListStep {
        match step {
            SearchStep::Probe(place) => self.ask(place),
            SearchStep::Found(place) => {
                self.search = None;
                self.ask(place)
            }
            SearchStep::Failed => self.give_up(),
        }
    }

    fn ask(&mut self, place: String) -> ListStep {
        self.asked.insert(place.clone());
        self.place.clone_from(&place);
        ListStep::PageAfter(place)
    }

    fn give_up(&mut self) -> ListStep {
        self.has_gap = true;
        self.end()
    }

    fn end(&self) -> ListStep {
        ListStep::End {
            is_whole: !self.has_gap,
        }
    }
}

/// Returns the place after a name. That of a very long name is after all names that begin like
/// it, none of which is plain.
fn place_after(name: &str) -> String {
    match name.len() {
        0..=MAX_PLACE_BYTES => name.to_owned(),
        _ => {
            let start = &name[..name.floor_char_boundary(MAX_PLACE_BYTES)];
            format!("{start}{LAST_CHARACTER}")
        }
    }
}
