//! State of one endpoint at this daemon.

pub mod restriction;

use std::rc::Rc;

use derive_more::Display;
use tokio::time::Instant;

use super::{
    endpoint_load::{EndpointLoad, endpoint_number},
    endpoint_pause::EndpointPause,
    failure_rate::FailureRate,
    prompt_cache::PromptCache,
    request_limit::LimitBucket,
    signal_ledger::{ActiveSignals, NumberedStart},
};
use crate::{
    counting::OpenCount,
    gateway::endpoint::{EndpointRecord, EndpointState},
};

/// Requests that may queue for each slot of an endpoint without an engine: they are short, so a
/// queue empties quickly.
const PLAIN_QUEUE_PER_SLOT: f64 = 2.0;

/// How many of an endpoint's slots a daemon may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotBound {
    /// The slots aren't divided: reported loads alone decide.
    Undivided,
    /// This daemon's share of them.
    Divided(SlotShare),
}

impl SlotBound {
    /// Bound at an endpoint whose slots have not been divided yet.
    pub fn before_division(is_brittle: bool) -> Self {
        if is_brittle { Self::Divided(SlotShare::default()) } else { Self::Undivided }
    }

    /// The bound without this daemon's share, until the slots are divided again.
    pub fn without_share(mut self, is_brittle: bool) -> Self {
        match is_brittle {
            true => {
                self.set_share(0);
                self
            }
            false => Self::Undivided,
        }
    }

    /// Sets this daemon's share; what it has lent and borrowed stays.
    pub fn set_share(&mut self, held: u32) {
        let known = match self {
            Self::Divided(share) => *share,
            Self::Undivided => SlotShare::default(),
        };
        *self = Self::Divided(SlotShare { held, ..known });
    }
}

/// A daemon's slots at a brittle endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotShare {
    /// Its share.
    pub held: u32,
    /// Those of its share that other daemons use.
    pub lent: u32,
    /// Those of other daemons' shares that it uses.
    pub borrowed: u32,
}

impl SlotShare {
    /// Requests of the daemon that may run at the endpoint.
    pub fn usable(self) -> u32 {
        self.held.saturating_sub(self.lent) + self.borrowed
    }
}

/// A daemon's use of its share of a brittle endpoint's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{running} of {share} slots used")]
pub struct SlotUse {
    /// Requests of the daemon that run there.
    pub running: u32,
    /// Requests of the daemon that may run there.
    pub share: u32,
}

/// State of one endpoint.
#[derive(Debug)]
pub struct EndpointStatus {
    /// Record in the store's list.
    pub record: Rc<EndpointRecord>,
    /// Number of the endpoint.
    pub number: u64,
    /// Load of this daemon's own requests.
    pub own: EndpointLoad,
    /// Failure rate of this daemon's attempts there.
    pub failures: FailureRate,
    /// Prompt parts that the endpoint probably has cached.
    pub cache: PromptCache,
    /// Whether another start, of this or another endpoint, has responded at its address.
    pub has_ended: bool,
    /// Whether this start has reported in a response that it drains, regardless of the lists.
    pub is_draining: bool,
    /// Pause after refusals and failures.
    pub pause: EndpointPause,
    /// This daemon's share of the endpoint's limit, if it has reported one.
    pub limit: Option<LimitBucket>,
    /// How many of the endpoint's slots this daemon may use.
    pub slot_bound: SlotBound,
    /// Runs of this daemon there, also those that began before this start was listed.
    pub runs: OpenCount,
}

impl EndpointStatus {
    /// State of an endpoint that is new in the list, with the signals that it sent earlier.
    pub fn new(
        record: Rc<EndpointRecord>,
        signals: ActiveSignals,
        slot_bound: SlotBound,
        runs: OpenCount,
    ) -> Self {
        Self {
            number: endpoint_number(&record.id),
            record,
            own: EndpointLoad::default(),
            failures: FailureRate::default(),
            cache: PromptCache::default(),
            has_ended: false,
            is_draining: signals.draining_since.is_some(),
            pause: EndpointPause::with_backoff(signals.backoff_until),
            limit: signals
                .limit
                .and_then(|observation| Some(LimitBucket::new(observation.limit?, observation.at))),
            slot_bound,
            runs,
        }
    }

    /// The start that this state belongs to.
    pub fn start(&self) -> NumberedStart {
        NumberedStart { endpoint: self.number, born: self.record.born }
    }

    /// Whether requests of this daemon may run there, or of others in slots that it has lent.
    pub fn is_in_use(&self) -> bool {
        let is_lent = matches!(self.slot_bound, SlotBound::Divided(share) if share.lent > 0);
        self.own.running > 0 || self.runs.get() > 0 || is_lent
    }

    /// Whether it takes new requests, now or after a pause.
    pub fn is_ready(&self) -> bool {
        self.record.state == EndpointState::Ready && !self.has_ended && !self.is_draining
    }

    /// Whether a request for which it was chosen may be sent now.
    pub fn may_be_sent(&self, now: Instant) -> bool {
        self.is_ready() && !self.pause.is_paused(now)
    }

    /// Whether it is likely to refuse or fail the next request.
    pub fn is_risky(&self, now: Instant) -> bool {
        self.pause.is_risky(now) || self.failures.is_outlier(now)
    }

    /// This daemon's use of its share of the slots; none if they aren't divided.
    pub fn slot_use(&self) -> Option<SlotUse> {
        match self.slot_bound {
            SlotBound::Undivided => None,
            SlotBound::Divided(share) => {
                let running = u32::try_from(self.runs.get()).unwrap_or(u32::MAX);
                Some(SlotUse { running, share: share.usable() })
            }
        }
    }

    /// Whether its limit, if any, lets this daemon send a request now.
    pub fn is_within_limit(&self, now: Instant) -> bool {
        self.limit.is_none_or(|limit| limit.has_token(now))
    }

    /// Whether the endpoint, with this load of all daemons, has no room for a request that may need
    /// `memory_tokens`. `memory_capacity` is none for services without an engine.
    pub fn is_full(
        &self,
        load: &EndpointLoad,
        memory_tokens: u64,
        memory_capacity: Option<u64>,
        now: Instant,
    ) -> bool {
        if !self.pause.takes_request(now) || !self.is_within_limit(now) {
            return true;
        }
        let needs = load.memory_tokens.saturating_add(memory_tokens);
        let lacks_memory =
            memory_capacity.is_some_and(|capacity| load.running > 0 && needs > capacity);
        lacks_memory || self.are_slots_used(load, memory_capacity.is_some())
    }

    /// Whether this daemon may use no further slot. Where the slots are divided its share decides alone:
    /// reported loads are older than many requests.
    fn are_slots_used(&self, load: &EndpointLoad, has_engine: bool) -> bool {
        if let Some(slots) = self.slot_use() {
            return slots.running >= slots.share;
        }
        match has_engine {
            true => load.running >= self.record.slots,
            false => {
                let slots = f64::from(self.record.slots);
                f64::from(load.running) >= slots * (1.0 + PLAIN_QUEUE_PER_SLOT)
            }
        }
    }
}
