//! A request in progress as its attempts see it, and whether another attempt may be made.

use std::{cell::RefCell, rc::Rc};

use tokio::time::Instant;

use super::choice::has_another;
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        request::{admission::Admitted, crash_watch, request_log::RequestTrace},
    },
    ids::SharedName,
};

/// State of the attempts at one request.
#[derive(Default)]
pub struct Attempts {
    /// Endpoints that have been tried.
    pub tried: Vec<SharedName>,
    /// Number of attempts that have reached an endpoint or may still reach it.
    pub begun: u32,
    /// Number of attempts that are to begin.
    pub(super) reserved: u32,
    /// Whether the request may have run in an attempt that has ended.
    pub may_have_run: bool,
    /// Whether a response is being passed on to the client.
    pub has_response: bool,
    /// When the last attempt counts as silent if it has not responded until then.
    pub silent_at: Option<Instant>,
    /// Endpoints of these to which no connection could be opened.
    pub(super) unreached: Vec<SharedName>,
    /// Whether this daemon has been found to be partitioned since the first attempt.
    pub(super) knows_partition: bool,
    /// Version at which a stream goes on, once it has begun.
    pub version: Option<SharedName>,
    /// Whether this is the trial of a quarantined request; only one attempt may reach an endpoint.
    pub(super) is_trial: bool,
}

impl Attempts {
    /// Counts an attempt that begins when its future is polled.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Whether another attempt may be made of the number that a route allows.
    fn is_any_left(&self, allowed: u32) -> bool {
        self.begun + self.reserved < allowed
    }
}

/// An admitted request and its attempts, several of which may be in progress at the same time.
#[derive(Clone, Copy)]
pub struct OpenRequest<'a> {
    /// State of the daemon.
    pub context: &'a Rc<GatewayContext>,
    /// The request.
    pub admitted: &'a Admitted,
    /// State of its attempts.
    pub attempts: &'a RefCell<Attempts>,
    /// Its trace.
    pub trace: &'a RefCell<RequestTrace>,
}

impl OpenRequest<'_> {
    /// Whether an attempt that begins now can't be cut by a stop of this daemon. A response that has begun goes on
    /// for as long as possible: it would end now otherwise.
    pub fn ends_before_stop(self) -> bool {
        let Self { context, admitted, attempts, .. } = self;
        attempts.borrow().has_response
            || context.intake.may_pass_on(admitted.deadline, boot_clock::now())
    }

    /// Whether the request may be retried: attempts and time are left, and the service's retry budget
    /// allows it. Withdraws the retry from the budget if so.
    pub fn may_try_again(self) -> bool {
        let Self { context, admitted, .. } = self;
        let now = boot_clock::now();
        let mut trace = self.trace.borrow_mut();
        if !self.attempts.borrow().is_any_left(admitted.route.attempts) {
            trace.not_retried(&"no attempts left");
            return false;
        }
        if now >= admitted.deadline {
            trace.not_retried(&"no time left");
            return false;
        }
        if !self.ends_before_stop() {
            trace.not_retried(&"daemon is leaving");
            return false;
        }
        let withdrawal = context.try_withdraw_retry(&admitted.service.name, now);
        trace.retry_withdrawal(&admitted.service.name, withdrawal);
        withdrawal.is_granted()
    }

    /// The same while a run of the request is in progress: another endpoint also has to have room, and the
    /// request must not be quarantined.
    pub fn may_run_elsewhere(self) -> bool {
        if !self.admitted.route.kind.may_run_again() {
            return false;
        }
        if crash_watch::is_quarantined(self.context, self.admitted) {
            self.trace.borrow_mut().not_retried(&"quarantined");
            return false;
        }
        if !self.context.is_up_to_date_with_peers(boot_clock::now()) {
            self.trace.borrow_mut().not_retried(&"no contact with other daemons yet");
            return false;
        }
        if !has_another(self) {
            self.trace.borrow_mut().not_retried(&"no other endpoint has room");
            return false;
        }
        self.may_try_again()
    }
}
