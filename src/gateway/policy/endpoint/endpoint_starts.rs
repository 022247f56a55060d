//! Keeps a new list from replacing the start of an endpoint by an earlier one.
//!
//! An endpoint may restart under its id and then reports a later start time. Entries and lists
//! arrive on several paths, so an entry of an earlier start may arrive after that of a later one;
//! it is ignored. Daemons of the previous release send lists without start times; their entries are
//! treated as entries of the start that is already known.
//!
//! Another writer may write an entry with a later start time than any real one. The store drops an entry that
//! its endpoint has not written for a while (`entry_ttl`). If the lists show the earlier start for that time and never
//! the later one, the earlier one has been written again and is the one that runs: it is used. Clocks are
//! not compared with start times for this.

pub mod lost_entries;

use std::{collections::HashMap, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{endpoint_load::endpoint_number, signal_ledger::NumberedStart};
use crate::{
    gateway::endpoint::{EndpointList, EndpointRecord},
    ids::SharedName,
};

/// An earlier start than the known one, which newer lists show.
#[derive(Clone, Copy, Debug)]
struct EarlierStart {
    born: u64,
    /// When the first list in a row showed it.
    shown_since: Instant,
}

/// Decides which start of each endpoint is used.
#[derive(Debug)]
pub struct StartOrder {
    /// Time after which the store drops an entry that its endpoint has not written again.
    entry_ttl: Duration,
    /// Earlier starts in the newest list, by id.
    earlier: HashMap<SharedName, EarlierStart>,
}

/// A list in which each endpoint's record is that of the start that is used.
#[derive(Debug)]
pub struct OrderedList {
    /// The list.
    pub list: EndpointList,
    /// Later starts that no longer count.
    pub dropped: Vec<NumberedStart>,
}

impl StartOrder {
    /// Order for a store that drops entries that are not written for `entry_ttl`.
    pub fn new(entry_ttl: Duration) -> Self {
        Self { entry_ttl, earlier: HashMap::new() }
    }

    /// Replaces each record of an earlier start in `list` by that of `held`, the current list, unless the earlier
    /// start is the one that runs.
    pub fn apply(
        &mut self,
        mut list: EndpointList,
        held: &EndpointList,
        now: Instant,
    ) -> OrderedList {
        let starts: HashMap<&str, &Rc<EndpointRecord>> =
            held.endpoints.iter().map(|record| (&*record.id, record)).collect();
        let former = std::mem::take(&mut self.earlier);
        let mut dropped = Vec::new();
        for record in &mut list.endpoints {
            let Some(known) = starts.get(&*record.id) else { continue };
            match record.born {
                born if born >= known.born => {}
                0 => *record = Rc::new(EndpointRecord { born: known.born, ..(**record).clone() }),
                born => {
                    let shown = former.get(&record.id).filter(|earlier| earlier.born == born);
                    let shown_since = shown.map_or(now, |earlier| earlier.shown_since);
                    if now.saturating_duration_since(shown_since) >= self.entry_ttl {
                        let endpoint = endpoint_number(&record.id);
                        dropped.push(NumberedStart { endpoint, born: known.born });
                        continue;
                    }
                    self.earlier.insert(record.id.clone(), EarlierStart { born, shown_since });
                    *record = (*known).clone();
                }
            }
        }
        OrderedList { list, dropped }
    }
}
