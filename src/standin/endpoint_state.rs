//! State of one endpoint stand-in, shared by its handlers (`endpoint`, `engine`): fault
//! switches, counts, the queue of streams that wait for a slot, and the past loads and cache
//! events, so that they can be reported late.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use super::engine_model::{EngineModel, EngineSpeed};
use crate::native::endpoint::{CacheEvent, LoadReport};

/// Number of past loads kept: more than change within the longest lag of the tests.
const LOAD_HISTORY: usize = 4_096;
/// Number of cache events kept: a reader further behind sees a gap, as with a real engine.
const CACHE_HISTORY: usize = 1_024;

/// Fault switches of an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// The endpoint neither responds nor computes until this is switched off.
    pub frozen: bool,
    /// Factor by which all work takes longer; 0 means 1.
    pub slow: f64,
    /// Refuses each request before starting it.
    pub refuse: bool,
    /// Fails each request after running it.
    pub fail: bool,
    /// Breaks each stream after this many tokens; 0 means never.
    pub cut_after: usize,
    /// Number of next responses that are lost after the request ran.
    pub lose_answers: u32,
    /// Delay of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of the cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Drops every n-th cache event; 0 drops none.
    pub cache_gap: u64,
    /// Duration of a plain call, in milliseconds; 0 means 5.
    pub answer_ms: u64,
}

impl EndpointFaults {
    /// Factor by which all work takes longer.
    pub fn slowdown(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }
}

/// Work that an endpoint has done since it started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkCounts {
    /// Number of runs, by request id.
    pub runs: HashMap<String, u32>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed by resumed streams.
    pub resumed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Number of requests begun.
    pub begun: u64,
}

/// State that the handlers of one endpoint share.
pub(super) struct EndpointState {
    pub(super) model: EngineModel,
    pub(super) faults: EndpointFaults,
    pub(super) counts: WorkCounts,
    /// Streams that wait for a slot, by priority and then by arrival.
    pub(super) waiting: BTreeSet<(u8, u64)>,
    pub(super) arrivals: u64,
    loads: VecDeque<(Instant, LoadReport)>,
    cache_events: VecDeque<(Instant, CacheEvent)>,
    cache_sequence: u64,
    pub(super) highest_epoch: u64,
}

impl EndpointState {
    /// Adds the current load to the past loads.
    pub(super) fn record_load(&mut self) {
        let running = self.model.running() as u32;
        let report = LoadReport { running, waiting: self.waiting.len() as u32 };
        self.loads.push_back((Instant::now(), report));
        if self.loads.len() > LOAD_HISTORY {
            self.loads.pop_front();
        }
    }

    /// Records a change of the prefix cache, unless the fault switch drops it.
    pub(super) fn record_cache(&mut self, stored: Vec<u64>, forgotten: Vec<u64>) {
        self.cache_sequence += 1;
        let gap = self.faults.cache_gap;
        if gap > 0 && self.cache_sequence.is_multiple_of(gap) {
            return;
        }
        let event = CacheEvent { sequence: self.cache_sequence, stored, forgotten };
        self.cache_events.push_back((Instant::now(), event));
        if self.cache_events.len() > CACHE_HISTORY {
            self.cache_events.pop_front();
        }
    }

    /// Load as it was `load_lag_ms` ago.
    pub(super) fn reported_load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.faults.load_lag_ms);
        let seen = self.loads.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        // Without a load that old, the endpoint was still idle at that time.
        seen.map(|(_, report)| *report).unwrap_or_default()
    }

    /// Cache events after a sequence number that are at least `cache_lag_ms` old.
    pub(super) fn visible_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.faults.cache_lag_ms);
        let visible = self
            .cache_events
            .iter()
            .filter(|(since, event)| since.elapsed() >= lag && event.sequence > after);
        visible.map(|(_, event)| event.clone()).collect()
    }
}

/// One endpoint; its clones share the state.
#[derive(Clone)]
pub(super) struct EndpointStandin {
    pub(super) state: Rc<RefCell<EndpointState>>,
    pub(super) thawed: watch::Sender<bool>,
    pub(super) address: SocketAddr,
    pub(super) is_engine: bool,
}

impl EndpointStandin {
    /// Creates an endpoint at `address`: an engine if `speed` is given, else a plain service.
    pub(super) fn new(address: SocketAddr, speed: Option<EngineSpeed>) -> Self {
        let state = EndpointState {
            // A plain service also uses the model of an engine; it never fills the slots.
            model: EngineModel::new(speed.unwrap_or_default()),
            faults: EndpointFaults::default(),
            counts: WorkCounts::default(),
            waiting: BTreeSet::new(),
            arrivals: 0,
            loads: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_sequence: 0,
            highest_epoch: 0,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            thawed: watch::Sender::new(true),
            address,
            is_engine: speed.is_some(),
        }
    }

    /// Waits while the endpoint is frozen.
    pub(super) async fn wait_until_thawed(&self) {
        let mut thawed = self.thawed.subscribe();
        // Can't fail: the sender lives as long as `self`.
        let _ = thawed.wait_for(|thawed| *thawed).await;
    }
}
