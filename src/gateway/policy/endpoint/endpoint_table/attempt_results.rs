//! What attempts at endpoints, and other daemons' attempts, add to what is known of them.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::EndpointTable;
use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        call::PromptPart,
        policy::endpoint::{
            endpoint_load::RunLoad,
            endpoint_pause::{ProbePermit, RefusalKind},
            prompt_cache::part_chain,
            signal_ledger::{EndpointWarning, NumberedStart, WarningKind},
        },
    },
    ids::SharedName,
};

/// Fraction of an endpoint's slots from which on a refusal is explained by its load. Reported loads
/// are up to two seconds old.
const BUSY_FRACTION: f64 = 0.5;

/// What a request needed to be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunPermits {
    /// Place of one of the first requests after a pause.
    pub probe: Option<ProbePermit>,
    /// Whether it has a token of the endpoint's limit.
    pub has_token: bool,
}

/// An endpoint is found to fail more often than the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FoundFailing {
    /// Fraction of this daemon's requests of the last seconds that it failed.
    pub fraction: f64,
}

/// Whether an endpoint has taken a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIntake {
    /// It has run it.
    Ran,
    /// Nothing is known: the attempt has ended without a response.
    Unknown,
}

impl EndpointTable {
    /// A request needs an endpoint of a service.
    pub fn count_request(&mut self, service: &SharedName) {
        self.services.entry(service.clone()).or_default().requests += 1;
    }

    /// An attempt begins at an endpoint.
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
        RunPermits { probe: status.pause.begin(), has_token }
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

    /// An attempt that was `begun` then has ended, by which the endpoint may be found to fail more
    /// often than others; `load` is the part of its load that was still counted.
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

    /// An endpoint has failed a request that was `begun` then. One that fails more often than others gets requests as after
    /// a refusal; otherwise it would look idle, and draw those that others serve.
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
        if !status.failures.is_outlier(now) || status.pause.is_later_known(begun) {
            return None;
        }
        status.pause.failed(now);
        // One failure may pass before the warning arrives.
        if status.pause.has_recurred() {
            let (start, kind) = (status.start(), WarningKind::NotServing);
            self.signals.record(EndpointWarning { start, kind, at: now }, now);
        }
        let fraction = status.failures.fraction(now);
        (!was_outlier).then_some(FoundFailing { fraction })
    }

    /// Another start of an endpoint has responded at this one's address: this one has ended
    /// and is never chosen again.
    pub fn mark_ended(&mut self, id: &str) {
        if let Some(status) = self.endpoints.get_mut(id) {
            status.has_ended = true;
        }
    }

    /// What has become of a request in progress at an endpoint, as far as its pause goes by it.
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

    /// An endpoint has refused a request; `backoff` is the time that it asks for.
    pub fn record_refusal(&mut self, id: &str, backoff: Option<Duration>, now: Instant) {
        let Some(status) = self.endpoints.get(id) else { return };
        // The refused request is counted too.
        let others = self.load_at(status, now).running.saturating_sub(1);
        let is_busy = f64::from(others) >= f64::from(status.record.slots) * BUSY_FRACTION;
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

    /// An endpoint has said in a response that it drains; whether that is news.
    pub fn record_draining(&mut self, id: &str, now: Instant) -> bool {
        let Some(status) = self.endpoints.get_mut(id) else { return false };
        status.is_draining = true;
        let (start, kind) = (status.start(), WarningKind::Draining);
        self.signals.record(EndpointWarning { start, kind, at: now }, now)
    }

    /// Another daemon warns of an endpoint; the endpoint's id if it is listed and that is news.
    ///
    /// A warning that names no start counts only where none is known here either: the endpoint may
    /// have started again since.
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
        // Nothing where this start is later than the one that is meant.
        let held = self.signals.of(status.start());
        status.is_draining = held.draining_since.is_some();
        if warning.kind == WarningKind::NotServing && held.not_served_at == Some(warning.at) {
            status.pause.suspect(warning.at, rng.random_range(1.0..2.0));
        }
        Some(status.record.id.clone())
    }

    /// Warnings for the other daemons.
    pub fn warnings(&self, now: Instant) -> Vec<EndpointWarning> {
        self.signals.warnings(now)
    }
}
