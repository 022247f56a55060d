//! State of all endpoints at this daemon: the list, the loads of its own requests and those that
//! other daemons report, failures, cached prompts and prefill rates.
//!
//! The list comes from the store, the rest from the daemon's own attempts and from gossip.
//! Without reports the daemon balances by its own requests alone. The state need not survive a
//! restart, and doesn't.

pub mod attempt_results;
pub mod brittle;
pub mod limits;
mod list_changes;
pub mod slot_borrower;
pub mod slot_loans;
pub mod slot_ring;
mod versions;

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use rand::Rng;
use tokio::time::Instant;

use self::{brittle::BrittleState, slot_loans::SlotLoans};
use super::{
    endpoint_choice::{ChoiceContext, ChoiceQuery, ChoiceResult, choose},
    endpoint_load::{EndpointLoad, ReportedLoads, ServiceCounters, endpoint_number},
    endpoint_status::{EndpointStatus, restriction::EndpointRestriction},
    load_reports::LoadReports,
    prefill_rate::{DEFAULT_PREFILL_RATE, PrefillRate},
    request_limit::LimitBucket,
    room_forecast::{EndpointRoom, RoomForecast},
    service_demand::DemandRate,
    service_room::ServiceRoom,
    signal_ledger::{NumberedStart, SignalLedger},
};
use crate::{
    gateway::{
        endpoint::EndpointRecord, gossip::report_source::ReportSource,
        policy::rollout::version_split::VersionFilter,
    },
    ids::SharedName,
};

/// State of all endpoints at this daemon.
#[derive(Debug)]
pub struct EndpointTable {
    zone: SharedName,
    endpoints: BTreeMap<SharedName, EndpointStatus>,
    reports: LoadReports,
    signals: SignalLedger,
    services: BTreeMap<SharedName, ServiceCounters>,
    /// What endpoints say of being brittle, by service.
    brittle: HashMap<SharedName, BrittleState>,
    /// Slots of brittle endpoints that this daemon has lent.
    loans: SlotLoans,
    /// Buckets of limited endpoints that are not listed, and since when.
    unlisted_buckets: HashMap<NumberedStart, (LimitBucket, Instant)>,
    demands: HashMap<SharedName, DemandRate>,
    rates: HashMap<SharedName, PrefillRate>,
}

impl EndpointTable {
    /// Empty table of a daemon in `zone`.
    pub fn new(zone: SharedName) -> Self {
        Self {
            zone,
            endpoints: BTreeMap::new(),
            reports: LoadReports::default(),
            signals: SignalLedger::default(),
            services: BTreeMap::new(),
            brittle: HashMap::new(),
            loans: SlotLoans::default(),
            unlisted_buckets: HashMap::new(),
            demands: HashMap::new(),
            rates: HashMap::new(),
        }
    }

    /// Applies another daemon's report.
    pub fn apply_report(&mut self, from: ReportSource, report: ReportedLoads) {
        self.reports.apply(from, report);
    }

    /// Loads of the own group, by endpoint number.
    pub fn group_loads(&self, now: Instant) -> HashMap<u64, EndpointLoad> {
        let mut loads: HashMap<u64, EndpointLoad> =
            self.own_loads().map(|(id, load)| (endpoint_number(id), load)).collect();
        self.reports.add_group_loads(&mut loads, now);
        loads
    }

    /// Counters of the own group, by service.
    pub fn group_services(&self) -> BTreeMap<SharedName, ServiceCounters> {
        let mut services = self.services.clone();
        self.reports.add_group_services(&mut services);
        services
    }

    /// Counters of this daemon, by service.
    pub fn own_services(&self) -> &BTreeMap<SharedName, ServiceCounters> {
        &self.services
    }

    /// Uncached prompt tokens that all daemons have sent; falls when the reports of a daemon are
    /// dropped.
    pub fn tokens_sent(&self, service: &str) -> u64 {
        let own = self.services.get(service).map_or(0, |counters| counters.uncached_tokens);
        own.saturating_add(self.reports.sent_to(service))
    }

    /// Prefill rate of a service's endpoints, in tokens per millisecond.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.rates.get(service).map_or(DEFAULT_PREFILL_RATE, |rate| rate.tokens_per_ms)
    }

    /// This daemon's loads, by endpoint id.
    pub fn own_loads(&self) -> impl Iterator<Item = (&SharedName, EndpointLoad)> {
        let used = self.endpoints.values().filter(|status| status.own.running > 0);
        used.map(|status| (&status.record.id, status.own))
    }

    /// Whether the table has this start of an endpoint. Results of attempts at an earlier start
    /// don't apply to it.
    pub fn knows_start(&self, endpoint: &EndpointRecord) -> bool {
        let known = self.endpoints.get(&endpoint.id);
        known.is_some_and(|status| status.record.is_same_start(endpoint))
    }

    /// Whether the start time of an endpoint is known; once it has reported it, all its entries do.
    pub fn reports_start(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|status| status.record.born != 0)
    }

    /// Whether an endpoint takes requests, according to the list and to its own responses.
    pub fn is_ready(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(EndpointStatus::is_ready)
    }

    /// Whether a request may be sent to the endpoint that was chosen for it.
    pub fn may_be_sent(&self, endpoint: &EndpointRecord, now: Instant) -> bool {
        let known = self.endpoints.get(&endpoint.id);
        known.is_some_and(|known| known.record.is_same_start(endpoint) && known.may_be_sent(now))
    }

    /// Endpoints of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<EndpointRecord>> {
        self.of_service(service).map(|status| &status.record)
    }

    /// Known load of all daemons at the endpoints of a service.
    pub fn service_load(&self, service: &str, now: Instant) -> EndpointLoad {
        let mut sum = EndpointLoad::default();
        for status in self.endpoints.values().filter(|status| &*status.record.service == service) {
            sum.add(&self.load_at(status, now));
        }
        sum
    }

    /// Known room of the endpoints of a service.
    pub fn room(&self, service: &str, now: Instant) -> ServiceRoom {
        let mut room = ServiceRoom::default();
        for status in self.of_service(service) {
            room.endpoints += 1;
            room.slots += u64::from(status.record.slots);
            room.running += u64::from(self.load_at(status, now).running);
            room.backing_off += u32::from(status.pause.backs_off_until(now).is_some());
            room.at_limit += u32::from(!status.is_within_limit(now));
        }
        room.report_age = self.reports.oldest_age(now);
        room
    }

    /// Endpoints that are sent fewer requests than others, or none, with the reasons.
    pub fn restricted(&self, now: Instant) -> Vec<(&EndpointRecord, Vec<EndpointRestriction>)> {
        let all = self.endpoints.values();
        let restrictions = all.map(|status| (&*status.record, status.restrictions(now)));
        restrictions.filter(|(_, reasons)| !reasons.is_empty()).collect()
    }

    /// Whether any endpoint of a service is likely to refuse or fail the next request.
    pub fn any_risky(&self, service: &str, now: Instant) -> bool {
        self.of_service(service).any(|status| status.is_risky(now))
    }

    /// Estimates when endpoints of a service will have room for a request.
    pub fn forecast(&self, service: &str, now: Instant) -> RoomForecast {
        RoomForecast::of(self.of_service(service).map(|status| self.room_at(status, now)))
    }

    fn room_at(&self, status: &EndpointStatus, now: Instant) -> EndpointRoom {
        if let Some(until) = status.pause.backs_off_until(now) {
            return EndpointRoom::At(until);
        }
        let has_slot = self.load_at(status, now).running < status.record.slots;
        if !(has_slot && status.pause.takes_request(now)) {
            return EndpointRoom::Unknown;
        }
        match status.limit.filter(|limit| !limit.has_token(now)) {
            None => EndpointRoom::Now,
            Some(limit) => limit.next_token(now).map_or(EndpointRoom::Unknown, EndpointRoom::At),
        }
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointStatus> {
        let all = self.endpoints.values();
        all.filter(move |status| status.is_ready() && &*status.record.service == service)
    }

    fn load_at(&self, status: &EndpointStatus, now: Instant) -> EndpointLoad {
        let rate = self.prefill_rate(&status.record.service);
        let mut sum = status.own;
        sum.add(&self.reports.load_at(status.number, rate, now));
        sum
    }

    /// Whether no prompt is known to wait for prefill at an endpoint.
    pub fn is_idle(&self, id: &str, now: Instant) -> bool {
        self.endpoints.get(id).is_some_and(|status| self.load_at(status, now).uncached_tokens == 0)
    }

    /// Chooses an endpoint for an attempt.
    pub fn choose(
        &self,
        query: &ChoiceQuery<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ChoiceResult {
        self.choose_version(query, &VersionFilter::Any, now, rng)
    }

    /// Chooses an endpoint of the versions that `filter` allows for an attempt.
    pub fn choose_version(
        &self,
        query: &ChoiceQuery<'_>,
        filter: &VersionFilter,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ChoiceResult {
        let mut candidates: Vec<&EndpointStatus> = self
            .of_service(query.service)
            .filter(|status| !query.tried.contains(&status.record.id))
            .filter(|status| query.version.is_none_or(|version| *version == *status.record.version))
            .collect();
        self.retain_versions(&mut candidates, query.service, filter);
        let context = ChoiceContext {
            zone: &self.zone,
            prefill_rate: self.prefill_rate(query.service),
            load_of: |status: &EndpointStatus| self.load_at(status, now),
        };
        choose(&candidates, &context, query, now, rng)
    }
}
