//! A run of one request at one endpoint, counted in this daemon's loads until it ends.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::Instant;

use crate::{
    boot_clock,
    endpoint_health::AttemptResult,
    gateway::{
        call::PromptPart,
        configuration::Route,
        context::GatewayContext,
        endpoint::EndpointRecord,
        gossip::endpoint_signals::{
            brittle::apply_response_brittle, limits::apply_response_limit, slot_loans::BorrowedSlot,
        },
        policy::{
            endpoint::{
                endpoint_load::RunLoad,
                endpoint_table::attempt_results::{FoundFailing, RequestIntake, RunPermits},
            },
            rollout::rollout_table::RunTicket,
        },
    },
};

/// Counts a run at its endpoint. Dropping the guard ends the run: as a failure if the endpoint was silent
/// for too long, and otherwise without affecting its health, since the daemon or the client has broken it off.
pub struct RunGuard {
    context: Rc<GatewayContext>,
    endpoint: Rc<EndpointRecord>,
    load: RunLoad,
    begun: Instant,
    /// The probe permit is taken out when the endpoint responds.
    permits: RunPermits,
    /// Whether the request has been sent, or may have been.
    is_sent: bool,
    /// Whether no other prompt was known to be waiting at the endpoint when the run began, so that
    /// the prefill rate can be measured by the time to the first event.
    was_idle: bool,
    /// Whether a failure of the endpoint has been recorded already; then `finish` records no
    /// result.
    has_failed: bool,
    result: AttemptResult,
    /// Whether the endpoint has been silent for too long. If the run ends then, it has failed.
    is_silent: Cell<bool>,
    /// Identifies the run in the counts of roll-outs.
    ticket: RunTicket,
    /// The slot that another daemon has lent for the run.
    borrowed: Option<BorrowedSlot>,
}

impl RunGuard {
    /// Begins a run at an endpoint.
    pub fn begin(
        context: Rc<GatewayContext>,
        endpoint: &Rc<EndpointRecord>,
        route: &Route,
        parts: &[PromptPart],
        load: RunLoad,
    ) -> Self {
        let begun = boot_clock::now();
        let mut endpoints = context.endpoints.borrow_mut();
        let was_idle = endpoints.is_idle(&endpoint.id, begun);
        let permits = endpoints.begin(&endpoint.id, parts, load, begun);
        drop(endpoints);
        let ticket = context.rollouts.borrow_mut().begin_run(
            &endpoint.service,
            &endpoint.version,
            &route.name,
            route.target,
            begun,
        );
        Self {
            context,
            endpoint: endpoint.clone(),
            load,
            begun,
            permits,
            is_sent: false,
            was_idle,
            has_failed: false,
            result: AttemptResult::Neutral,
            is_silent: Cell::new(false),
            ticket,
            borrowed: None,
        }
    }

    /// Keeps a slot that another daemon has lent until the run ends.
    pub fn keep_slot(&mut self, slot: BorrowedSlot) {
        self.borrowed = Some(slot);
    }

    /// Marks the request as sent if it may still be sent; returns whether it may. Since the
    /// endpoint was chosen, it may have announced a drain, a back-off or a lower limit, or a list
    /// may have marked it as leaving.
    pub fn try_mark_sent(&mut self) -> bool {
        let now = boot_clock::now();
        let mut endpoints = self.context.endpoints.borrow_mut();
        if !endpoints.may_be_sent(&self.endpoint, now) {
            return false;
        }
        if !self.permits.has_token {
            self.permits.has_token = endpoints.try_take_token(&self.endpoint.id, now);
        }
        self.is_sent = self.permits.has_token;
        self.is_sent
    }

    /// Sets whether the endpoint has been silent for too long.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.set(is_silent);
    }

    /// Reverts `try_mark_sent`: sending has failed.
    pub fn was_not_sent(&mut self) {
        self.is_sent = false;
    }

    /// Id of the endpoint.
    pub fn endpoint(&self) -> &str {
        &self.endpoint.id
    }

    /// Records that the endpoint refused the request; `backoff` is the time for which it wants no
    /// others.
    pub fn endpoint_refused(&mut self, backoff: Option<Duration>) {
        self.permits.probe = None;
        let mut endpoints = self.context.endpoints.borrow_mut();
        if endpoints.knows_start(&self.endpoint) {
            endpoints.record_refusal(&self.endpoint.id, backoff, boot_clock::now());
        }
    }

    /// Records that the endpoint served the request or the beginning of a stream, unless it has
    /// failed.
    pub fn endpoint_ran(&mut self) {
        if self.has_failed {
            return;
        }
        let now = boot_clock::now();
        self.context.rollouts.borrow_mut().responded(&mut self.ticket, now);
        let permit = self.permits.probe.take();
        let mut endpoints = self.context.endpoints.borrow_mut();
        if endpoints.knows_start(&self.endpoint) {
            endpoints.record_intake(&self.endpoint.id, permit, RequestIntake::Ran, now);
        }
    }

    /// Records that the endpoint ran the request and failed.
    pub fn endpoint_failed(&mut self) {
        self.has_failed = true;
        self.permits.probe = None;
        let mut endpoints = self.context.endpoints.borrow_mut();
        if endpoints.knows_start(&self.endpoint) {
            let found = endpoints.record_failure(&self.endpoint.id, self.begun, boot_clock::now());
            report_failing(&self.context, &self.endpoint, found);
        }
    }

    /// Records that the endpoint is draining.
    pub fn endpoint_drains(&self) {
        let mut endpoints = self.context.endpoints.borrow_mut();
        if !endpoints.knows_start(&self.endpoint) {
            return;
        }
        if endpoints.record_draining(&self.endpoint.id, boot_clock::now()) {
            self.context.metrics.count("endpoints_draining", 1);
            spdlog::info!("endpoint drains", kv: {
                endpoint: = self.endpoint.id, source = "response"
            });
        }
    }

    /// Records the limit announced by the endpoint, in requests per second, or that it has none.
    pub fn endpoint_limits(&self, limit: Option<f64>) {
        if self.context.endpoints.borrow().knows_start(&self.endpoint) {
            apply_response_limit(&self.context, &self.endpoint.id, limit, self.begun);
        }
    }

    /// Records whether the endpoint has said that it is brittle.
    pub fn endpoint_brittle(&self, is_brittle: bool) {
        if self.context.endpoints.borrow().knows_start(&self.endpoint) {
            apply_response_brittle(&self.context, &self.endpoint.id, is_brittle);
        }
    }

    /// Records that the endpoint has ended: another one, or a later start of it, responded at its
    /// address.
    pub fn endpoint_ended(&self) {
        let mut endpoints = self.context.endpoints.borrow_mut();
        if endpoints.knows_start(&self.endpoint) {
            endpoints.mark_ended(&self.endpoint.id);
        }
    }

    /// The endpoint.
    pub fn record(&self) -> &Rc<EndpointRecord> {
        &self.endpoint
    }

    /// When the attempt began.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// Records that the first event has arrived, so the endpoint has processed the prompt.
    pub fn prefill_done(&mut self) {
        let uncached = std::mem::take(&mut self.load.uncached_tokens);
        if uncached > 0 {
            let mut endpoints = self.context.endpoints.borrow_mut();
            if !endpoints.knows_start(&self.endpoint) {
                return;
            }
            endpoints.prefill_done(
                &self.endpoint.id,
                uncached,
                boot_clock::since(self.begun),
                self.was_idle,
            );
        }
    }

    /// Counts the end of the run for its version.
    fn count_version(&mut self) {
        let mut rollouts = self.context.rollouts.borrow_mut();
        match self.result {
            _ if self.has_failed => rollouts.failed(&self.ticket),
            AttemptResult::Failed => rollouts.failed(&self.ticket),
            AttemptResult::Succeeded => rollouts.responded(&mut self.ticket, boot_clock::now()),
            AttemptResult::Neutral => rollouts.abandoned(&self.ticket),
        }
    }

    /// Ends the run with its result for the endpoint's health.
    pub fn finish(mut self, result: AttemptResult) {
        if !self.has_failed {
            self.result = result;
        }
    }
}

/// Logs and counts an endpoint that was found to fail more often than others.
fn report_failing(
    context: &GatewayContext,
    endpoint: &EndpointRecord,
    found: Option<FoundFailing>,
) {
    let Some(FoundFailing { fraction }) = found else { return };
    context.metrics.count("endpoints_found_failing", 1);
    spdlog::warn!("endpoint fails", kv: { endpoint: = endpoint.id, fraction });
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.is_silent.get() && self.result == AttemptResult::Neutral && !self.has_failed {
            self.result = AttemptResult::Failed;
            // Its link may be silent for good, and so are its other connections then.
            self.context.connections.discard_connections(&self.endpoint.id);
        }
        self.count_version();
        let mut endpoints = self.context.endpoints.borrow_mut();
        if !endpoints.knows_start(&self.endpoint) {
            return;
        }
        let now = boot_clock::now();
        if self.permits.has_token && !self.is_sent {
            endpoints.give_back_token(&self.endpoint.id);
        }
        let permit = self.permits.probe.take();
        endpoints.record_intake(&self.endpoint.id, permit, RequestIntake::Unknown, now);
        let found = endpoints.end(&self.endpoint.id, self.load, self.result, self.begun, now);
        report_failing(&self.context, &self.endpoint, found);
    }
}
