//! Which start of an endpoint a new list may name.
//!
//! An endpoint may start again under its id and then tells a later start. Entries and lists travel on
//! several ways, so that word of an earlier start can come after that of a later one: it changes
//! nothing. Daemons of the last release pass lists on without starts; their entries are taken
//! for the start that is known.

pub mod lost_entries;

use std::{collections::HashMap, rc::Rc};

use crate::gateway::endpoint::{EndpointList, EndpointRecord};

/// The new list, with the records of `held` in place of those of earlier starts.
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
