//! Chooses the endpoint for an attempt.
//!
//! Each endpoint's expected wait is estimated: the prompt tokens that wait there, of this
//! daemon's requests and of those that others have told of, those of this prompt that it
//! probably does not remember, and how full it is. Requests that share a part of their
//! prompts have a home endpoint, the same at every daemon without a word between them; it
//! is taken to remember the part, so that requests gather there unless it is behind.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::{
    endpoint_load::{LoadSum, ReportedLoads, RunLoad},
    prefill_rate::{DEFAULT_PREFILL_RATE, PrefillRate},
    prompt_cache::{PromptCache, part_chain},
};
use crate::{
    endpoint_health::{AttemptResult, EndpointHealth, HealthState},
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::report_source::ReportSource,
        request::call::PromptPart,
    },
    ids::{SharedName, hash_parts},
};

/// How much a full batch counts, in milliseconds of wait.
const FULL_BATCH_MS: f64 = 80.0;
/// Wait for each request beyond an endpoint's slots, in milliseconds.
const BEYOND_SLOTS_MS: f64 = 60.0;
/// Cost of crossing to another zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 4.0;
/// Cost of each failure in a group, in milliseconds.
const FAILURE_MS: f64 = 400.0;
/// Share of a part that its home is taken to remember.
const AFFINITY_HIT_RATIO: f64 = 0.7;
/// Largest random part of an estimate, in milliseconds.
const NOISE_MS: f64 = 3.0;
/// Other daemons' loads are forgotten after this time.
const LOAD_KEPT: Duration = Duration::from_millis(2_000);
/// What a daemon told of itself is forgotten after this time.
const STATE_KEPT: Duration = Duration::from_secs(20);
/// After an endpoint turned a request away as full, it counts as full for this time.
const FULL_FOR: Duration = Duration::from_millis(60);
/// Requests that an endpoint without an engine may have waiting for each slot.
const PLAIN_QUEUE: f64 = 2.0;

/// What one attempt asks for.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of memory that the run may take.
    pub memory_tokens: u64,
    /// Endpoints that were tried already.
    pub tried: &'a [SharedName],
    /// Memory of one endpoint; none for plain services.
    pub memory_capacity: Option<u64>,
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChoice {
    /// Endpoint.
    pub endpoint: Rc<EndpointRecord>,
    /// Prompt tokens that it has to read.
    pub uncached: u64,
    /// Expected wait for the first token, in milliseconds.
    pub wait_ms: f64,
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq)]
pub enum ChoiceResult {
    /// This one.
    Endpoint(EndpointChoice),
    /// All are full; there may be room after this time.
    Full(Duration),
    /// There is none that is not leaving, failed or tried.
    None,
}

#[derive(Debug)]
struct EndpointStatus {
    record: Rc<EndpointRecord>,
    own: LoadSum,
    health: EndpointHealth,
    memory: PromptCache,
    full_until: Option<Instant>,
    /// Whether another start of an endpoint was met at its address: this one has ended.
    ended: bool,
}

/// What this daemon knows of all endpoints.
#[derive(Debug)]
pub struct EndpointTable {
    zone: SharedName,
    endpoints: BTreeMap<SharedName, EndpointStatus>,
    heard: HashMap<ReportSource, ReportedLoads>,
    sent: BTreeMap<SharedName, u64>,
    rates: HashMap<SharedName, PrefillRate>,
}

/// Number that stands for an endpoint between daemons.
pub fn endpoint_number(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}

impl EndpointTable {
    /// Empty table of a daemon in `zone`.
    pub fn new(zone: SharedName) -> Self {
        Self {
            zone,
            endpoints: BTreeMap::new(),
            heard: HashMap::new(),
            sent: BTreeMap::new(),
            rates: HashMap::new(),
        }
    }

    /// Takes a new list; endpoints that stay keep what is known of them.
    pub fn set_list(&mut self, list: &EndpointList) {
        let mut previous = std::mem::take(&mut self.endpoints);
        for record in &list.endpoints {
            let status = match previous.remove(&record.id) {
                Some(known) => EndpointStatus { record: record.clone(), ..known },
                None => EndpointStatus::new(record.clone()),
            };
            self.endpoints.insert(record.id.clone(), status);
        }
        // NOTE: requests may still run at endpoints that have left the list.
        for (id, mut status) in previous {
            if status.own.running > 0 {
                let gone =
                    EndpointRecord { state: EndpointState::Draining, ..(*status.record).clone() };
                status.record = Rc::new(gone);
                self.endpoints.insert(id, status);
            }
        }
    }

    /// Takes what another daemon has told.
    pub fn hear(&mut self, from: ReportSource, state: ReportedLoads) {
        let now = state.at;
        if let ReportSource::Group { number, .. } = from {
            // NOTE: a new representative tells of the same group: its word takes the other's place.
            self.heard.retain(
                |other, _| !matches!(other, ReportSource::Group { number: group, .. } if *group == number),
            );
        }
        self.heard.insert(from, state);
        self.heard.retain(|_, other| now.saturating_duration_since(other.at) < STATE_KEPT);
    }

    /// Loads of the own group, by the numbers of the endpoints.
    pub fn group_loads(&self, now: Instant) -> HashMap<u64, LoadSum> {
        let mut loads: HashMap<u64, LoadSum> =
            self.own_loads().map(|(id, load)| (endpoint_number(id), load)).collect();
        for (_, state) in self.heard.iter().filter(|(from, _)| from.is_in_own_group()) {
            if now.saturating_duration_since(state.at) > LOAD_KEPT {
                continue;
            }
            for (endpoint, load) in &state.loads {
                loads.entry(*endpoint).or_default().add(load);
            }
        }
        loads
    }

    /// Prompt tokens that the own group has sent to be read, by service.
    pub fn group_sent(&self) -> BTreeMap<SharedName, u64> {
        let mut sent = self.sent.clone();
        for (_, state) in self.heard.iter().filter(|(from, _)| from.is_in_own_group()) {
            for (service, tokens) in &state.sent {
                *sent.entry(service.clone()).or_default() += tokens;
            }
        }
        sent
    }

    /// Prompt tokens that this daemon has sent to be read since it started, by service.
    pub fn own_sent(&self) -> &BTreeMap<SharedName, u64> {
        &self.sent
    }

    /// Prompt tokens that all daemons have sent to be read; sinks when one is forgotten.
    pub fn tokens_sent(&self, service: &str) -> u64 {
        let own = self.sent.get(service).copied().unwrap_or(0);
        let heard = self.heard.values().filter_map(|state| state.sent.get(service));
        own + heard.sum::<u64>()
    }

    /// Prompt tokens that an endpoint of a service reads in a millisecond.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(DEFAULT_PREFILL_RATE, |rate| rate.tokens_per_ms)
    }

    /// This daemon's loads.
    pub fn own_loads(&self) -> impl Iterator<Item = (&SharedName, LoadSum)> {
        let used = self.endpoints.values().filter(|status| status.own.running > 0);
        used.map(|status| (&status.record.id, status.own))
    }

    /// Endpoints of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<EndpointRecord>> {
        self.of_service(service).map(|status| &status.record)
    }

    /// Requests of all daemons at the endpoints of a service, as far as known.
    pub fn service_load(&self, service: &str, now: Instant) -> LoadSum {
        let mut sum = LoadSum::default();
        for status in self.endpoints.values().filter(|status| &*status.record.service == service) {
            sum.add(&self.load_at(status, now));
        }
        sum
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointStatus> {
        self.endpoints.values().filter(move |status| {
            let takes = status.record.state == EndpointState::Ready && !status.ended;
            takes && &*status.record.service == service
        })
    }

    fn load_at(&self, status: &EndpointStatus, now: Instant) -> LoadSum {
        let number = endpoint_number(&status.record.id);
        let mut sum = status.own;
        for heard in self.heard.values() {
            if now.saturating_duration_since(heard.at) > LOAD_KEPT {
                continue;
            }
            if let Some(load) = heard.loads.get(&number) {
                sum.add(load);
            }
        }
        sum
    }

    /// Chooses an endpoint.
    pub fn choose(
        &self,
        query: &ChoiceQuery<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ChoiceResult {
        let candidates: Vec<&EndpointStatus> = self
            .of_service(query.service)
            .filter(|status| !query.tried.contains(&status.record.id))
            .collect();
        let healthy = by_health(&candidates, now);
        let affinity = affinity_endpoint(&healthy, query.parts);
        let chain = part_chain(query.parts);
        let mut best: Option<EndpointChoice> = None;
        let mut full = false;
        for status in healthy {
            let load = self.load_at(status, now);
            if status.is_full(&load, query, now) {
                full = true;
                continue;
            }
            let is_affinity = affinity.as_ref() == Some(&status.record.id);
            let uncached = status.uncached(query, &chain, is_affinity);
            let wait_ms = self.wait(status, &load, uncached) + rng.random_range(0.0..NOISE_MS);
            if best.as_ref().is_none_or(|best| wait_ms < best.wait_ms) {
                best = Some(EndpointChoice { endpoint: status.record.clone(), uncached, wait_ms });
            }
        }
        match best {
            Some(choice) => ChoiceResult::Endpoint(choice),
            None if full => ChoiceResult::Full(FULL_FOR),
            None => ChoiceResult::None,
        }
    }

    fn wait(&self, status: &EndpointStatus, load: &LoadSum, uncached: u64) -> f64 {
        let rate = self.prefill_rate(&status.record.service);
        let slots = f64::from(status.record.slots);
        let running = f64::from(load.running);
        let read = (load.uncached + uncached) as f64 / rate;
        let batch = running / slots * FULL_BATCH_MS;
        let queue = (running + 1.0 - slots).max(0.0) * BEYOND_SLOTS_MS;
        let zone = if status.record.zone == self.zone { 0.0 } else { OTHER_ZONE_MS };
        let failures = f64::from(status.health.failures()) * FAILURE_MS;
        read + batch + queue + zone + failures
    }

    /// An attempt begins at an endpoint.
    pub fn begin(&mut self, id: &str, parts: &[PromptPart], load: RunLoad, now: Instant) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        if load.uncached > 0 {
            *self.sent.entry(status.record.service.clone()).or_default() += load.uncached;
        }
        status.own.running += 1;
        status.own.uncached += load.uncached;
        status.own.memory += load.memory;
        status.memory.remember(&part_chain(parts));
        if status.health.state(now) == HealthState::Probing {
            status.health.begin_probe();
        }
    }

    /// The prompt of an attempt has been read, `taken` after it was sent. `alone` says that
    /// no other prompt was known to wait there when it was sent.
    pub fn prompt_read(&mut self, id: &str, uncached: u64, taken: Duration, alone: bool) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        status.own.uncached = status.own.uncached.saturating_sub(uncached);
        if alone {
            self.rates.entry(status.record.service.clone()).or_default().learn(uncached, taken);
        }
    }

    /// Whether no prompt is known to wait at an endpoint.
    pub fn is_idle(&self, id: &str, now: Instant) -> bool {
        self.endpoints.get(id).is_some_and(|status| self.load_at(status, now).uncached == 0)
    }

    /// An attempt has ended; `load` is what it still counted as.
    pub fn end(&mut self, id: &str, load: RunLoad, result: AttemptResult, now: Instant) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        status.own.running = status.own.running.saturating_sub(1);
        status.own.uncached = status.own.uncached.saturating_sub(load.uncached);
        status.own.memory = status.own.memory.saturating_sub(load.memory);
        status.health.record(result, now);
    }

    /// Another start of an endpoint answers at this one's address: it will never serve again.
    pub fn mark_ended(&mut self, id: &str) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.ended = true;
        }
    }

    /// The endpoint turned a request away because it is full.
    pub fn mark_full(&mut self, id: &str, now: Instant) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.full_until = Some(now + FULL_FOR);
        }
    }
}

impl EndpointStatus {
    fn new(record: Rc<EndpointRecord>) -> Self {
        Self {
            record,
            own: LoadSum::default(),
            health: EndpointHealth::default(),
            memory: PromptCache::default(),
            full_until: None,
            ended: false,
        }
    }

    fn is_full(&self, load: &LoadSum, query: &ChoiceQuery<'_>, now: Instant) -> bool {
        if self.full_until.is_some_and(|until| now < until) {
            return true;
        }
        let slots = f64::from(self.record.slots);
        match query.memory_capacity {
            None => f64::from(load.running) >= slots * (1.0 + PLAIN_QUEUE),
            Some(capacity) => {
                load.running >= self.record.slots
                    || (load.running > 0 && load.memory + query.memory_tokens > capacity)
            }
        }
    }

    fn uncached(&self, query: &ChoiceQuery<'_>, chain: &[(u64, u64)], is_affinity: bool) -> u64 {
        let remembered = self.memory.remembered(chain);
        let shared: u64 = shared_parts(query.parts).iter().map(|part| part.tokens).sum();
        let expected = if is_affinity { (shared as f64 * AFFINITY_HIT_RATIO) as u64 } else { 0 };
        query.prompt_tokens.saturating_sub(remembered.max(expected))
    }
}

/// The parts that other requests may share: all but the request's own.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// The endpoint at which requests with these shared parts gather.
fn affinity_endpoint(candidates: &[&EndpointStatus], parts: &[PromptPart]) -> Option<SharedName> {
    let last = shared_parts(parts).last()?;
    let weight = |status: &&&EndpointStatus| {
        hash_parts(&[&last.id.to_le_bytes(), status.record.id.as_bytes()])
    };
    candidates.iter().max_by_key(weight).map(|status| status.record.id.clone())
}

/// Candidates that are healthy, and one ejected one whose probe is due. If most are
/// ejected, all are taken: then failures say more about the load than about the endpoints.
fn by_health<'a>(candidates: &[&'a EndpointStatus], now: Instant) -> Vec<&'a EndpointStatus> {
    let healthy: Vec<&EndpointStatus> = candidates
        .iter()
        .filter(|status| status.health.state(now) != HealthState::Ejected)
        .copied()
        .collect();
    if healthy.len() * 2 < candidates.len() { candidates.to_vec() } else { healthy }
}
