//! Versions of endpoints that this daemon has read from the store.

use std::{collections::BTreeSet, rc::Rc};

use crate::{gateway::endpoint::EndpointRecord, ids::SharedName};

/// Versions seen so far, with their services.
#[derive(Clone, Debug, Default)]
pub struct SeenVersions {
    seen: BTreeSet<(SharedName, SharedName)>,
}

impl SeenVersions {
    /// Whether any of the endpoints has a new version of a service that also has, or had, another one.
    pub fn has_new<'a>(&self, records: impl Iterator<Item = &'a Rc<EndpointRecord>>) -> bool {
        let mut all = self.clone();
        all.add(records);
        let new = all.seen.difference(&self.seen);
        let has_others = |(service, _): &&(SharedName, SharedName)| {
            all.seen.iter().filter(|(other, _)| other == service).count() > 1
        };
        new.into_iter().any(|version| has_others(&version))
    }

    /// Adds the versions of the endpoints.
    pub fn add<'a>(&mut self, records: impl Iterator<Item = &'a Rc<EndpointRecord>>) {
        self.seen.extend(records.map(|record| (record.service.clone(), record.version.clone())));
    }
}
