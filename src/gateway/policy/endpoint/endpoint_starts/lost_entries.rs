//! Which endpoints to use after the store was restored from a copy and lacks newer entries.
//!
//! A list of a new era may show an older state. Until endpoints have had time to write their
//! entries again (the rewrite period), the state that this daemon knew before takes precedence:
//!
//! | before the loss | in the new era | effect |
//! |---|---|---|
//! | draining, even if its entry was removed since | ready | it drains, until a later start of it (`signal_ledger`) |
//! | listed as ready | missing | it stays in use until its entry is listed again or the period ends |
//! | removed | listed | it is not used until the period ends: if the endpoint has ended, its entry expires by then |
//!
//! Inputs are the lists in the order in which they are applied. A daemon that started after the
//! loss doesn't know the earlier state; the others report to it which endpoints drain.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        policy::endpoint::{endpoint_load::endpoint_number, signal_ledger::NumberedStart},
    },
    ids::SharedName,
    store_position::StoreEra,
};

/// Time for which removed entries are remembered: longer than the age of a copy.
const REMOVED_KEPT: Duration = Duration::from_secs(120);

/// An entry that was removed from the list.
#[derive(Clone, Debug)]
struct RemovedEntry {
    born: u64,
    drained: bool,
    removed_at: Instant,
}

/// Exceptions to the list after the store was restored from a copy.
#[derive(Debug)]
struct RewritePeriod {
    ends_at: Instant,
    /// Endpoints that are missing in the list.
    missing: BTreeMap<SharedName, Rc<EndpointRecord>>,
    /// Starts that had been removed and are listed again, by id.
    reappeared: HashMap<SharedName, u64>,
}

/// Entries of endpoints that the store lists now and listed before, across its eras.
#[derive(Debug)]
pub struct EntryHistory {
    /// Time after which the store drops an entry that its endpoint has not written again.
    entry_ttl: Duration,
    /// Newest known era.
    era: StoreEra,
    listed: EndpointList,
    removed: HashMap<SharedName, RemovedEntry>,
    rewrite_period: Option<RewritePeriod>,
}

impl EntryHistory {
    /// History of a daemon that has read nothing yet. The store drops entries that are not written
    /// for `entry_ttl`.
    pub fn new(entry_ttl: Duration) -> Self {
        Self {
            entry_ttl,
            era: StoreEra::default(),
            listed: EndpointList::default(),
            removed: HashMap::new(),
            rewrite_period: None,
        }
    }

    /// Records an era of the store. If it is new, returns the starts that are known to drain, since
    /// the copy may show them as ready.
    pub fn begin_era(&mut self, era: StoreEra) -> Vec<NumberedStart> {
        if era <= self.era {
            return Vec::new();
        }
        self.era = era;
        let listed = self.listed.endpoints.iter();
        let listed = listed.filter(|record| record.state == EndpointState::Draining);
        let listed = listed.map(|record| (&record.id, record.born));
        let removed = self.removed.iter().filter(|(_, entry)| entry.drained);
        let removed = removed.map(|(id, entry)| (id, entry.born));
        let start =
            |(id, born): (&SharedName, u64)| NumberedStart { endpoint: endpoint_number(id), born };
        listed.chain(removed).map(start).collect()
    }

    /// Applies a list that is newer than the one before.
    pub fn apply(&mut self, list: EndpointList, now: Instant) {
        let former = std::mem::replace(&mut self.listed, list);
        let is_known = !former.position.is_none();
        let is_new_era = is_known && self.listed.position.era() > former.position.era();
        if is_new_era {
            self.begin_rewrite_period(&former, now);
        }
        self.record_removed(&former, is_new_era, now);
        self.record_rewritten();
    }

    fn begin_rewrite_period(&mut self, former: &EndpointList, now: Instant) {
        let was_missing =
            self.rewrite_period.take().map_or_else(BTreeMap::new, |period| period.missing);
        let known = former.endpoints.iter().chain(was_missing.values());
        let ready = known.filter(|record| record.state == EndpointState::Ready);
        let missing = ready.map(|record| (record.id.clone(), record.clone())).collect();
        let has_reappeared = |record: &&Rc<EndpointRecord>| {
            self.removed
                .get(&record.id)
                .is_some_and(|removed| removed.born == record.born && !removed.drained)
        };
        let reappeared = self.listed.endpoints.iter().filter(has_reappeared);
        let reappeared = reappeared.map(|record| (record.id.clone(), record.born)).collect();
        self.rewrite_period =
            Some(RewritePeriod { ends_at: now + self.entry_ttl, missing, reappeared });
    }

    /// An entry that is missing in a new era was lost, not removed, unless its endpoint drained.
    fn record_removed(&mut self, former: &EndpointList, is_new_era: bool, now: Instant) {
        let listed: HashSet<&SharedName> =
            self.listed.endpoints.iter().map(|record| &record.id).collect();
        let is_kept =
            |entry: &RemovedEntry| now.saturating_duration_since(entry.removed_at) < REMOVED_KEPT;
        self.removed.retain(|id, entry| !listed.contains(id) && is_kept(entry));
        for record in former.endpoints.iter().filter(|record| !listed.contains(&record.id)) {
            let drained = record.state == EndpointState::Draining;
            if drained || !is_new_era {
                let entry = RemovedEntry { born: record.born, drained, removed_at: now };
                self.removed.insert(record.id.clone(), entry);
            }
        }
    }

    /// An entry that was written again in the new era is used as listed from then on.
    fn record_rewritten(&mut self) {
        let Some(period) = &mut self.rewrite_period else { return };
        for record in &self.listed.endpoints {
            period.missing.remove(&record.id);
            if period.reappeared.get(&record.id).is_some_and(|born| *born != record.born) {
                period.reappeared.remove(&record.id);
            }
        }
    }

    /// Whether entries may be missing that the store lost when it was restored from a copy.
    pub fn is_rewriting(&self) -> bool {
        self.rewrite_period.is_some()
    }

    /// Ends the rewrite period if its time is over. Returns whether the endpoints to use change.
    pub fn end_rewrite_period(&mut self, now: Instant) -> bool {
        let ended = self.rewrite_period.take_if(|period| now >= period.ends_at);
        ended.is_some_and(|period| !period.missing.is_empty() || !period.reappeared.is_empty())
    }

    /// Returns the endpoints to use now.
    pub fn used(&self) -> EndpointList {
        let Some(period) = &self.rewrite_period else { return self.listed.clone() };
        let is_used = |record: &&Rc<EndpointRecord>| !period.reappeared.contains_key(&record.id);
        let listed = self.listed.endpoints.iter().filter(is_used);
        let mut endpoints: Vec<_> = listed.chain(period.missing.values()).cloned().collect();
        endpoints.sort_by(|one, other| one.id.cmp(&other.id));
        EndpointList { position: self.listed.position, endpoints }
    }
}
