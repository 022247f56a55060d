//! Which endpoints to use while a store that was restored from a copy lacks what was written since.
//!
//! A list of a new era tells an older truth. Until endpoints have had the time to write their entries
//! again, what this daemon knew before goes before it:
//!
//! | before the loss | in the new era | what holds |
//! |---|---|---|
//! | drained, also if its entry has gone since | ready | it drains, until a later start of it (`signal_ledger`) |
//! | listed as ready | missing | it is used on, until its entry is back or the time is over |
//! | gone | listed | it is not used until the time is over: if it has ended, its entry goes too |
//!
//! Inputs are the lists in the order in which they are applied. A daemon that has started since knows
//! nothing of before; the others tell it which endpoints drain.

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

/// Time for which entries that are gone are remembered: longer than a copy is old.
const GONE_KEPT: Duration = Duration::from_secs(120);

/// An entry that has gone.
#[derive(Clone, Debug)]
struct GoneEntry {
    born: u64,
    drained: bool,
    gone_at: Instant,
}

/// What holds since a store that was restored from a copy was first listed.
#[derive(Debug)]
struct WriteAgainTime {
    ends_at: Instant,
    /// Endpoints that the list lacks.
    missing: BTreeMap<SharedName, Rc<EndpointRecord>>,
    /// Starts that had gone and are listed again, by id.
    back: HashMap<SharedName, u64>,
}

/// Entries of endpoints as the store has listed them, across its eras.
#[derive(Debug)]
pub struct EntryHistory {
    /// Time in which an endpoint writes its entry again, or the store drops it.
    lapse: Duration,
    /// Newest era known.
    era: StoreEra,
    listed: EndpointList,
    gone: HashMap<SharedName, GoneEntry>,
    write_again: Option<WriteAgainTime>,
}

impl EntryHistory {
    /// Memory of a daemon that has read nothing yet; the store drops entries that are not written
    /// for `lapse`.
    pub fn new(lapse: Duration) -> Self {
        Self {
            lapse,
            era: StoreEra::default(),
            listed: EndpointList::default(),
            gone: HashMap::new(),
            write_again: None,
        }
    }

    /// Notes an era of the store. Returns the starts that are known to drain if it is new: the copy
    /// may not say so.
    pub fn begin_era(&mut self, era: StoreEra) -> Vec<NumberedStart> {
        if era <= self.era {
            return Vec::new();
        }
        self.era = era;
        let listed = self.listed.endpoints.iter();
        let listed = listed.filter(|record| record.state == EndpointState::Draining);
        let listed = listed.map(|record| (&record.id, record.born));
        let gone = self.gone.iter().filter(|(_, entry)| entry.drained);
        let gone = gone.map(|(id, entry)| (id, entry.born));
        let start =
            |(id, born): (&SharedName, u64)| NumberedStart { endpoint: endpoint_number(id), born };
        listed.chain(gone).map(start).collect()
    }

    /// Takes a list that is newer than the one before.
    pub fn apply(&mut self, list: EndpointList, now: Instant) {
        let former = std::mem::replace(&mut self.listed, list);
        let is_known = !former.position.is_none();
        let is_new_era = is_known && self.listed.position.era() > former.position.era();
        if is_new_era {
            self.begin_write_again(&former, now);
        }
        self.note_gone(&former, is_new_era, now);
        self.note_written();
    }

    fn begin_write_again(&mut self, former: &EndpointList, now: Instant) {
        let was_missing = self.write_again.take().map_or_else(BTreeMap::new, |time| time.missing);
        let known = former.endpoints.iter().chain(was_missing.values());
        let ready = known.filter(|record| record.state == EndpointState::Ready);
        let missing = ready.map(|record| (record.id.clone(), record.clone())).collect();
        let is_back = |record: &&Rc<EndpointRecord>| {
            self.gone.get(&record.id).is_some_and(|gone| gone.born == record.born && !gone.drained)
        };
        let back = self.listed.endpoints.iter().filter(is_back);
        let back = back.map(|record| (record.id.clone(), record.born)).collect();
        self.write_again = Some(WriteAgainTime { ends_at: now + self.lapse, missing, back });
    }

    /// An entry that a copy lacks has not gone, unless its endpoint drained.
    fn note_gone(&mut self, former: &EndpointList, is_new_era: bool, now: Instant) {
        let listed: HashSet<&SharedName> =
            self.listed.endpoints.iter().map(|record| &record.id).collect();
        let is_recent =
            |entry: &GoneEntry| now.saturating_duration_since(entry.gone_at) < GONE_KEPT;
        self.gone.retain(|id, entry| !listed.contains(id) && is_recent(entry));
        for record in former.endpoints.iter().filter(|record| !listed.contains(&record.id)) {
            let drained = record.state == EndpointState::Draining;
            if drained || !is_new_era {
                let entry = GoneEntry { born: record.born, drained, gone_at: now };
                self.gone.insert(record.id.clone(), entry);
            }
        }
    }

    /// An entry that is listed in the new era counts as the store says from then on.
    fn note_written(&mut self) {
        let Some(time) = &mut self.write_again else { return };
        for record in &self.listed.endpoints {
            time.missing.remove(&record.id);
            if time.back.get(&record.id).is_some_and(|born| *born != record.born) {
                time.back.remove(&record.id);
            }
        }
    }

    /// Whether the time for writing again has just ended, so that other endpoints are to be used.
    pub fn end_rewrite_period(&mut self, now: Instant) -> bool {
        let ended = self.write_again.take_if(|time| now >= time.ends_at);
        ended.is_some_and(|time| !time.missing.is_empty() || !time.back.is_empty())
    }

    /// The endpoints to use now.
    pub fn used(&self) -> EndpointList {
        let Some(time) = &self.write_again else { return self.listed.clone() };
        let is_used = |record: &&Rc<EndpointRecord>| !time.back.contains_key(&record.id);
        let listed = self.listed.endpoints.iter().filter(is_used);
        let mut endpoints: Vec<_> = listed.chain(time.missing.values()).cloned().collect();
        endpoints.sort_by(|one, other| one.id.cmp(&other.id));
        EndpointList { position: self.listed.position, endpoints }
    }
}
