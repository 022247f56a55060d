//! Keeps a new list from replacing the start of an endpoint by an earlier one.
//!
//! An endpoint may restart under its id and then reports a later start time. Entries and lists
//! arrive on several paths, so an entry of an earlier start may arrive after that of a later one;
//! it is ignored. Daemons of the previous release send lists without start times; their entries are
//! treated as entries of the start that is already known.

pub mod lost_entries;

use std::{collections::HashMap, rc::Rc};

use crate::gateway::endpoint::{EndpointList, EndpointRecord};

/// Returns `list` with each record of an earlier start replaced by that of `held`, the current
/// list.
pub fn keep_latest_starts(mut list: EndpointList, held: &EndpointList) -> EndpointList {
    let starts: HashMap<&str, &Rc<EndpointRecord>> =
        held.endpoints.iter().map(|record| (&*record.id, record)).collect();
    for record in &mut list.endpoints {
        let Some(known) = starts.get(&*record.id) else { continue };
        match record.born {
            born if born == known.born => {}
            0 => *record = Rc::new(EndpointRecord { born: known.born, ..(**record).clone() }),
            born if born < known.born => *record = (*known).clone(),
            _ => {}
        }
    }
    list
}
