//! What this daemon knows of all endpoints: the list, the loads of its own requests and of
//! those that other daemons report, health, cached prompts and prefill rates.
//!
//! The list comes from the store, the rest from the daemon's own attempts and from gossip.
//! Reported loads are left out when they are two seconds old; without reports the daemon
//! balances by its own requests alone. Nothing survives a restart, nor has to.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use rand::Rng;
use tokio::time::Instant;

use super::{
    endpoint_choice::{ChoiceQuery, ChoiceResult, ChoiceSite, choose},
    endpoint_load::{EndpointLoad, ReportedLoads, RunLoad, endpoint_number},
    endpoint_status::EndpointStatus,
    prefill_rate::{DEFAULT_PREFILL_RATE, PrefillRate},
    prompt_cache::part_chain,
    service_room::ServiceRoom,
};
use crate::{
    endpoint_health::{AttemptResult, HealthState},
    gateway::{
        call::PromptPart,
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::report_source::ReportSource,
    },
    ids::SharedName,
};

/// Other daemons' loads no longer count after this time.
/// Basis: chosen, not measured: twenty gossip intervals; loads older than this have changed.
const LOAD_KEPT: Duration = Duration::from_secs(2);
/// Reports of a daemon are forgotten after this time, its totals of tokens sent with them.
/// Basis: chosen, not measured: much longer than `LOAD_KEPT`, since the totals fall when a
/// report is forgotten.
const REPORT_KEPT: Duration = Duration::from_secs(20);

/// What this daemon knows of all endpoints.
#[derive(Debug)]
pub struct EndpointTable {
    zone: SharedName,
    endpoints: BTreeMap<SharedName, EndpointStatus>,
    reports: HashMap<ReportSource, ReportedLoads>,
    sent: BTreeMap<SharedName, u64>,
    rates: HashMap<SharedName, PrefillRate>,
}

impl EndpointTable {
    /// Empty table of a daemon in `zone`.
    pub fn new(zone: SharedName) -> Self {
        Self {
            zone,
            endpoints: BTreeMap::new(),
            reports: HashMap::new(),
            sent: BTreeMap::new(),
            rates: HashMap::new(),
        }
    }

    /// Applies a new list; endpoints that stay keep what is known of them, unless they have started
    /// again.
    pub fn set_list(&mut self, list: &EndpointList) {
        let mut previous = std::mem::take(&mut self.endpoints);
        for record in &list.endpoints {
            let known = previous.remove(&record.id);
            let known = known.filter(|known| known.record.is_same_start(record));
            let mut status = known.unwrap_or_else(|| EndpointStatus::new(record.clone()));
            status.record = record.clone();
            self.endpoints.insert(record.id.clone(), status);
        }
        // Requests may still run at endpoints that have left the list.
        for (id, mut status) in previous {
            if status.own.running > 0 {
                let gone =
                    EndpointRecord { state: EndpointState::Draining, ..(*status.record).clone() };
                status.record = Rc::new(gone);
                self.endpoints.insert(id, status);
            }
        }
    }

    /// Applies another daemon's report.
    pub fn apply_report(&mut self, from: ReportSource, report: ReportedLoads) {
        let now = report.at;
        if let ReportSource::Group { number, .. } = from {
            // A new representative reports the same group: its report replaces the other's.
            let is_same_group = |other: &ReportSource| match other {
                ReportSource::Group { number: group, .. } => *group == number,
                ReportSource::Daemon(_) => false,
            };
            self.reports.retain(|other, _| !is_same_group(other));
        }
        self.reports.insert(from, report);
        self.reports.retain(|_, other| now.saturating_duration_since(other.at) < REPORT_KEPT);
    }

    /// Loads of the own group, by the numbers of the endpoints.
    pub fn group_loads(&self, now: Instant) -> HashMap<u64, EndpointLoad> {
        let mut loads: HashMap<u64, EndpointLoad> =
            self.own_loads().map(|(id, load)| (endpoint_number(id), load)).collect();
        for (_, report) in self.reports.iter().filter(|(from, _)| from.is_in_own_group()) {
            if now.saturating_duration_since(report.at) > LOAD_KEPT {
                continue;
            }
            for (endpoint, load) in &report.loads {
                loads.entry(*endpoint).or_default().add(load);
            }
        }
        loads
    }

    /// Uncached prompt tokens that the own group has sent, by service.
    pub fn group_sent(&self) -> BTreeMap<SharedName, u64> {
        let mut sent = self.sent.clone();
        for (_, report) in self.reports.iter().filter(|(from, _)| from.is_in_own_group()) {
            for (service, tokens) in &report.sent {
                *sent.entry(service.clone()).or_default() += tokens;
            }
        }
        sent
    }

    /// Uncached prompt tokens that this daemon has sent since it started, by service.
    pub fn own_sent(&self) -> &BTreeMap<SharedName, u64> {
        &self.sent
    }

    /// Uncached prompt tokens that all daemons have sent; falls when one is forgotten.
    pub fn tokens_sent(&self, service: &str) -> u64 {
        let own = self.sent.get(service).copied().unwrap_or(0);
        let reported = self.reports.values().filter_map(|report| report.sent.get(service));
        own + reported.sum::<u64>()
    }

    /// Prefill rate of a service's endpoints, in tokens a millisecond.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(DEFAULT_PREFILL_RATE, |rate| rate.tokens_per_ms)
    }

    /// This daemon's loads.
    pub fn own_loads(&self) -> impl Iterator<Item = (&SharedName, EndpointLoad)> {
        let used = self.endpoints.values().filter(|status| status.own.running > 0);
        used.map(|status| (&status.record.id, status.own))
    }

    /// Whether this start of an endpoint is the one that is known here: what ends at an earlier one
    /// says nothing of it.
    pub fn knows_start(&self, endpoint: &EndpointRecord) -> bool {
        let known = self.endpoints.get(&endpoint.id);
        known.is_some_and(|status| status.record.is_same_start(endpoint))
    }

    /// Whether an endpoint has told when it started; once it has, all its entries do.
    pub fn tells_start(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|status| status.record.born != 0)
    }

    /// Whether the list names an endpoint as one that takes requests.
    pub fn is_ready(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|status| status.record.state == EndpointState::Ready)
    }

    /// Endpoints of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<EndpointRecord>> {
        self.of_service(service).map(|status| &status.record)
    }

    /// Requests of all daemons at the endpoints of a service, as far as known.
    pub fn service_load(&self, service: &str, now: Instant) -> EndpointLoad {
        let mut sum = EndpointLoad::default();
        for status in self.endpoints.values().filter(|status| &*status.record.service == service) {
            sum.add(&self.load_at(status, now));
        }
        sum
    }

    /// How much room the endpoints of a service have, as far as known.
    pub fn room(&self, service: &str, now: Instant) -> ServiceRoom {
        let mut room = ServiceRoom::default();
        for status in self.of_service(service) {
            room.endpoints += 1;
            room.slots += status.record.slots;
            room.running += self.load_at(status, now).running;
        }
        let ages = self.reports.values().map(|report| now.saturating_duration_since(report.at));
        room.report_age = ages.filter(|age| *age <= LOAD_KEPT).max().unwrap_or(Duration::ZERO);
        room
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointStatus> {
        self.endpoints.values().filter(move |status| {
            let takes = status.record.state == EndpointState::Ready && !status.has_ended;
            takes && &*status.record.service == service
        })
    }

    fn load_at(&self, status: &EndpointStatus, now: Instant) -> EndpointLoad {
        let number = endpoint_number(&status.record.id);
        let rate = self.prefill_rate(&status.record.service);
        let mut sum = status.own;
        for report in self.reports.values() {
            let report_age = now.saturating_duration_since(report.at);
            if report_age > LOAD_KEPT {
                continue;
            }
            if let Some(load) = report.loads.get(&number) {
                sum.add(&load.after(report_age, rate));
            }
        }
        sum
    }

    /// Chooses an endpoint for an attempt.
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
        let site = ChoiceSite {
            zone: &self.zone,
            prefill_rate: self.prefill_rate(query.service),
            load_of: |status: &EndpointStatus| self.load_at(status, now),
        };
        choose(&candidates, &site, query, now, rng)
    }

    /// An attempt begins at an endpoint.
    pub fn begin(&mut self, id: &str, parts: &[PromptPart], load: RunLoad, now: Instant) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        if load.uncached_tokens > 0 {
            *self.sent.entry(status.record.service.clone()).or_default() += load.uncached_tokens;
        }
        status.own.running += 1;
        status.own.uncached_tokens += load.uncached_tokens;
        status.own.memory_tokens += load.memory_tokens;
        status.cache.remember(&part_chain(parts));
        if status.health.state(now) == HealthState::Probing {
            status.health.begin_probe();
        }
    }

    /// The prompt of an attempt has been read, `taken` after it was sent. `alone` says that
    /// no other prompt was known to wait there when it was sent.
    pub fn prefill_done(&mut self, id: &str, uncached: u64, taken: Duration, alone: bool) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        status.own.uncached_tokens = status.own.uncached_tokens.saturating_sub(uncached);
        if alone {
            self.rates.entry(status.record.service.clone()).or_default().learn(uncached, taken);
        }
    }

    /// Whether no prompt is known to wait at an endpoint.
    pub fn is_idle(&self, id: &str, now: Instant) -> bool {
        self.endpoints.get(id).is_some_and(|status| self.load_at(status, now).uncached_tokens == 0)
    }

    /// An attempt has ended; `load` is the part of its load that was still counted.
    pub fn end(&mut self, id: &str, load: RunLoad, result: AttemptResult, now: Instant) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        status.own.running = status.own.running.saturating_sub(1);
        status.own.uncached_tokens =
            status.own.uncached_tokens.saturating_sub(load.uncached_tokens);
        status.own.memory_tokens = status.own.memory_tokens.saturating_sub(load.memory_tokens);
        status.health.record(result, now);
    }

    /// Another start of an endpoint has responded at this one's address: this one has ended
    /// and is never chosen again.
    pub fn mark_ended(&mut self, id: &str) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.has_ended = true;
        }
    }

    /// The endpoint has refused a request because it is full.
    pub fn mark_full(&mut self, id: &str, now: Instant) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.mark_full(now);
        }
    }
}
