//! Updates of the table from this daemon's attempts and from other daemons' warnings.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::EndpointTable;
use crate::{
    counting::CountGuard,
    endpoint_health::AttemptResult,
    gateway::{
        call::PromptPart,
        policy::endpoint::{
            endpoint_load::RunLoad,
            endpoint_pause::{ProbePermit, RefusalKind},
            failure_rate::FailureRate,
            prompt_cache::part_chain,
            signal_ledger::{EndpointWarning, NumberedStart, WarningKind},
        },
    },
    ids::SharedName,
};

/// Fraction of an endpoint's slots in use from which a refusal is explained by its load: below 1,
/// since reported loads are up to two seconds old.
const BUSY_FRACTION: f64 = 0.5;

/// Permits that a request holds to be sent.
#[derive(Debug, Default)]
pub struct RunPermits {
    /// Permit of a slow start.
    pub probe: Option<ProbePermit>,
    /// Whether it holds a token of the endpoint's limit.
    pub has_token: bool,
    /// Counts the run at the endpoint until it is dropped.
    pub run: Option<CountGuard>,
}

/// An endpoint has begun to fail more often than the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FoundFailing {
    /// Fraction of this daemon's requests of the last seconds that it has failed.
    pub fraction: f64,
}

/// Whether an endpoint is known to have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIntake {
    /// It has run the request.
    Ran,
    /// Not known: the attempt has ended without a response.
    Unknown,
}

impl EndpointTable {
    /// Counts a request that needs an endpoint of a service.
    pub fn count_request(&mut self, service: &SharedName) {
        self.services.entry(service.clone()).or_default().requests += 1;
    }

    /// Records the beginning of an attempt at an endpoint.
    pub fn begin(
        &mut self,
        id: &str,
        parts: &[PromptPart],
        load: RunLoad,
        now: Instant,
    ) -> RunPermits {
        let Some(status) = self.endpoints.get_mut(id) else { return RunPermits::default() };
        if load.uncached_tokens > 0 {
            let counters = self.services.entry(status.record.service.clone()).or_default();
            counters.uncached_tokens += load.uncached_tokens;
        }
        status.own.running += 1;
        status.own.uncached_tokens += load.uncached_tokens;
        status.own.memory_tokens += load.memory_tokens;
        status.cache.remember(&part_chain(parts));
        let has_token = status.limit.as_mut().is_some_and(|limit| limit.try_take(now));
        RunPermits { probe: status.pause.begin(), has_token, run: Some(status.runs.enter()) }
    }

    /// Records that the prompt of an attempt has been prefilled, `taken` after it was sent. `alone`
    /// means that no other prompt was known to wait there when it was sent.
    pub fn prefill_done(&mut self, id: &str, uncached: u64, taken: Duration, alone: bool) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        status.own.uncached_tokens = status.own.uncached_tokens.saturating_sub(uncached);
        if alone {
            self.rates.entry(status.record.service.clone()).or_default().learn(uncached, taken);
        }
    }

    /// Records the end of an attempt that began at `begun`. `load` is the part of its load that is
    /// still counted. Returns whether the endpoint has thereby begun to fail more often than
    /// others.
    pub fn end(
        &mut self,
        id: &str,
        load: RunLoad,
        result: AttemptResult,
        begun: Instant,
        now: Instant,
    ) -> Option<FoundFailing> {
        self.release(id, load);
        match result {
            AttemptResult::Succeeded => self.record_success(id, now),
            AttemptResult::Failed => return self.record_failure(id, begun, now),
            AttemptResult::Neutral => {}
        }
        None
    }

    fn release(&mut self, id: &str, load: RunLoad) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        status.own.running = status.own.running.saturating_sub(1);
        status.own.uncached_tokens =
            status.own.uncached_tokens.saturating_sub(load.uncached_tokens);
        status.own.memory_tokens = status.own.memory_tokens.saturating_sub(load.memory_tokens);
    }

    fn record_success(&mut self, id: &str, now: Instant) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.failures.succeeded(now);
        }
    }

    /// Records that an endpoint has failed a request that began at `begun`. One that fails more
    /// often than others gets requests as after a refusal; otherwise it would look idle and attract
    /// the requests that others would serve.
    pub fn record_failure(
        &mut self,
        id: &str,
        begun: Instant,
        now: Instant,
    ) -> Option<FoundFailing> {
        let status = self.endpoints.get(id)?;
        let others =
            self.of_service(&status.record.service).filter(|other| &*other.record.id != id);
        let others = others.map(|other| other.failures.fraction(now)).collect();
        let status = self.endpoints.get_mut(id)?;
        let was_outlier = status.failures.is_outlier(now);
        status.failures.failed(others, now);
        if !status.failures.is_outlier(now) || status.pause.has_newer_result(begun) {
            return None;
        }
        status.pause.failed(now);
        let start = status.start();
        self.signals.record(EndpointWarning { start, kind: WarningKind::Failed, at: now }, now);
        // Only repeated failures make others pause: a single one may be over before the warning arrives.
        if status.pause.has_failed_repeatedly() {
            let kind = WarningKind::NotServing;
            self.signals.record(EndpointWarning { start, kind, at: now }, now);
        }
        let fraction = status.failures.fraction(now);
        (!was_outlier).then_some(FoundFailing { fraction })
    }

    /// Forgets the failures of all endpoints, because this daemon's own links have failed.
    pub fn forget_failures(&mut self) {
        for status in self.endpoints.values_mut() {
            status.failures = FailureRate::default();
            status.pause.forget_failures();
        }
    }

    /// Records that another start, of this or another endpoint, has responded at this one's
    /// address: this one has ended and is never chosen again.
    pub fn mark_ended(&mut self, id: &str) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.has_ended = true;
        }
    }

    /// Updates the pause of an endpoint with the result of a request.
    pub fn record_intake(
        &mut self,
        id: &str,
        permit: Option<ProbePermit>,
        intake: RequestIntake,
        now: Instant,
    ) {
        let Some(status) = self.endpoints.get_mut(id) else { return };
        match intake {
            RequestIntake::Ran => status.pause.ran(permit, status.record.slots, now),
            RequestIntake::Unknown => status.pause.ended(permit),
        }
    }

    /// Records that an endpoint has refused a request; `backoff` is the back-off that it asks for.
    pub fn record_refusal(&mut self, id: &str, backoff: Option<Duration>, now: Instant) {
        let Some(status) = self.endpoints.get(id) else { return };
        // The refused request is still counted.
        let others = self.load_at(status, now).running.saturating_sub(1);
        // A brittle endpoint should have refused none: it gets a longer pause.
        let is_brittle = self.is_brittle(&status.record.service, now);
        let is_busy =
            !is_brittle && f64::from(others) >= f64::from(status.record.slots) * BUSY_FRACTION;
        let kind = RefusalKind::of(backoff, is_busy);
        let start = status.start();
        if let RefusalKind::BackOff(backoff) = kind {
            self.signals.record_backoff(start, now + backoff, now);
        }
        if kind != RefusalKind::Busy {
            let refusing = EndpointWarning { start, kind: WarningKind::NotServing, at: now };
            self.signals.record(refusing, now);
        }
        if let Some(status) = self.endpoints.get_mut(id) {
            status.pause.refused(kind, now);
        }
    }

    /// Records that an endpoint reports draining in a response. Returns whether that was unknown.
    pub fn record_draining(&mut self, id: &str, now: Instant) -> bool {
        let Some(status) = self.endpoints.get_mut(id) else { return false };
        status.is_draining = true;
        let (start, kind) = (status.start(), WarningKind::Draining);
        self.signals.record(EndpointWarning { start, kind, at: now }, now)
    }

    /// Applies another daemon's warning. Returns the endpoint's id if it is listed and the warning
    /// is new.
    ///
    /// A warning without a start time counts only if the endpoint's start time is not known here
    /// either: the endpoint may have restarted since.
    pub fn receive_warning(
        &mut self,
        warning: EndpointWarning,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SharedName> {
        let NumberedStart { endpoint, born } = warning.start;
        let known = self.endpoints.values_mut().find(|status| status.number == endpoint);
        let known_born = known.as_ref().map_or(0, |status| status.record.born);
        if born == 0 && known_born != 0 || !self.signals.record(warning, now) {
            return None;
        }
        let status = known?;
        // Empty if the listed start is later than the one in the warning.
        let held = self.signals.of(status.start());
        status.is_draining = held.draining_since.is_some();
        if warning.kind == WarningKind::NotServing && held.not_served_at == Some(warning.at) {
            status.pause.not_served_elsewhere(warning.at, rng.random_range(1.0..2.0));
        }
        if warning.kind == WarningKind::Failed && held.failed_at == Some(warning.at) {
            status.pause.failed_elsewhere(warning.at);
        }
        Some(status.record.id.clone())
    }

    /// Begins the trials of endpoints that have failed requests of any daemon, where `is_first` says
    /// that this daemon is the one to send them a request.
    pub fn begin_trials(&mut self, is_first: impl Fn(NumberedStart, u32) -> bool, now: Instant) {
        for status in self.endpoints.values_mut() {
            let Some(trial) = status.pause.next_trial(now) else { continue };
            if is_first(status.start(), trial) {
                status.pause.begin_trial();
            }
        }
    }

    /// Whether other daemons should be informed of a failure without delay.
    pub fn has_urgent_warning(&self, now: Instant) -> bool {
        self.signals.is_urgent(now)
    }

    /// Warnings for the other daemons.
    pub fn warnings(&self, now: Instant) -> Vec<EndpointWarning> {
        self.signals.warnings(now)
    }
}
