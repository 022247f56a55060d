//! When to send the next requests to an endpoint that has refused one, or that fails more often
//! than others.
//!
//! | event | pause | after the pause |
//! |---|---|---|
//! | refusal with a back-off time | that time | slow start |
//! | refusal by a busy endpoint | short | as before |
//! | refusal by an endpoint that seemed to have room | short, doubled each time | slow start |
//! | failure, if it fails more often than others | the same, unless no other endpoint has room | slow start |
//! | refusal or repeated failure reported by another daemon | none, but a pause of this daemon starts again | slow start |
//! | the same, but the endpoint has just run a request of this daemon | the same | as before |
//! | single failure reported by another daemon | none | as before |
//!
//! Slow start: at first one request at a time is sent; the number doubles with each one that the
//! endpoint has run, until it reaches the endpoint's slots. Without this, an endpoint that refuses
//! or fails requests immediately looks idle and attracts the requests that others would serve.
//!
//! During the slow start after a refusal or failure, requests that could not be retried elsewhere
//! avoid the endpoint for some seconds. They don't after the end of a limit.
//!
//! After a failure or refusal at any daemon, requests that could not be retried elsewhere avoid the endpoint at
//! all daemons, until it has run a request of the daemon or for some seconds. Meanwhile one daemon at a time
//! sends it a request, whatever the request, to find out whether it works again: in a large fleet each
//! daemon has few requests that may be retried, or none.
//!
//! Results of requests that were sent before a pause don't affect the slow start after it.

mod probe_window;
mod refusal_kind;
mod reported_failure;

use std::time::Duration;

use tokio::time::Instant;

pub use self::{probe_window::ProbeCause, refusal_kind::RefusalKind};
use self::{probe_window::ProbeWindow, reported_failure::ReportedFailure};

/// Pause after a refusal without a time, doubled by each consecutive refusal of an endpoint that
/// seemed to have room: a slot may become free and load reports arrive within it.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause: an endpoint that has recovered is used again within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Most doublings: keeps the power of two within 32 bits. The pause reaches `LONGEST_PAUSE`
/// earlier.
const DOUBLING_LIMIT: u32 = 8;
/// Time after a pause, or after another daemon's last report, in which requests that can't be
/// retried elsewhere avoid the endpoint. It is bounded because an endpoint must not be avoided
/// forever if no request can be retried.
const AVOIDED_FOR: Duration = Duration::from_secs(4);
/// Time after a request of this daemon has run at an endpoint in which a report that the endpoint refuses
/// requests begins no slow start: the refusal may be meant for the reporting daemon alone.
const SERVED_RECENTLY: Duration = Duration::from_millis(500);

/// Permit for one request of a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePermit {
    window: u32,
}

/// Pause of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointPause {
    /// Until when it gets no requests.
    until: Option<Instant>,
    /// Until when it gets requests only if no other endpoint has room, because it fails.
    failing_until: Option<Instant>,
    /// End of the back-off that the endpoint asked for.
    backoff_until: Option<Instant>,
    /// Consecutive unexplained refusals and failures, counted once per pause.
    consecutive_failures: u32,
    /// When it last ran a request of this daemon.
    ran_at: Option<Instant>,
    /// When it last refused or failed one.
    not_served_at: Option<Instant>,
    /// Its last failure or refusal at any daemon.
    reported: ReportedFailure,
    /// The slow start; none if requests are not restricted.
    probe: Option<ProbeWindow>,
    /// Number of the newest probe window; permits of earlier ones are void.
    newest_window: u32,
}

impl EndpointPause {
    /// Pause of an endpoint that is new in the list; `until` is the end of its back-off, if known.
    pub fn with_backoff(until: Option<Instant>) -> Self {
        let mut pause = Self { until, backoff_until: until, ..Self::default() };
        if let Some(until) = until {
            pause.begin_probe(ProbeCause::Refused, until);
        }
        pause
    }

    /// Records that the endpoint has refused a request.
    pub fn refused(&mut self, kind: RefusalKind, now: Instant) {
        let span = match kind {
            RefusalKind::BackOff(backoff) => {
                self.backoff_until = self.backoff_until.max(Some(now + backoff));
                backoff
            }
            RefusalKind::Busy => FIRST_PAUSE,
            RefusalKind::Unexplained => self.next_pause(now),
        };
        self.not_served_at = Some(now);
        self.until = self.until.max(Some(now + span));
        if kind != RefusalKind::Busy {
            self.begin_probe(ProbeCause::Refused, now);
        }
    }

    /// Records that the endpoint, which fails more often than others, has failed a request.
    pub fn failed(&mut self, now: Instant) {
        let span = self.next_pause(now);
        self.failed_elsewhere(now);
        self.not_served_at = Some(now);
        self.failing_until = self.failing_until.max(Some(now + span));
        self.begin_probe(ProbeCause::Failed, now);
    }

    /// Records that the endpoint has failed a request of any daemon at `at`.
    pub fn failed_elsewhere(&mut self, at: Instant) {
        self.reported.record(at);
    }

    /// Number of the trial that is due at one of the daemons, once for each trial.
    pub fn next_trial(&mut self, now: Instant) -> Option<u32> {
        self.reported.next_trial(self.ran_at, now)
    }

    /// Lets this daemon make the trial: it sends the endpoint its next request.
    pub fn begin_trial(&mut self) {
        self.reported.is_trial_due = true;
    }

    /// Whether this daemon is to send it the next request.
    pub fn is_trial_due(&self) -> bool {
        self.reported.is_trial_due
    }

    /// Applies another daemon's report that the endpoint refused or failed a request at `at`. If it
    /// also refused requests of this daemon without a known reason, or failed them, the pause here
    /// starts again at `at` and lasts longer by `stretch`, a random factor of each daemon that at
    /// most doubles it. One daemon's request thus shows all others that the endpoint still refuses.
    pub fn not_served_elsewhere(&mut self, at: Instant, stretch: f64) {
        if self.consecutive_failures > 0 {
            let again = Some(at + self.pause_length().mul_f64(stretch));
            match self.probe {
                Some(probe) if probe.is_after_failure() => {
                    self.failing_until = self.failing_until.max(again);
                }
                _ => self.until = self.until.max(again),
            }
        }
        let is_served = self.ran_at.is_some_and(|ran| ran + SERVED_RECENTLY > at);
        match &mut self.probe {
            Some(probe) => probe.risky_until = probe.risky_until.max(at + AVOIDED_FOR),
            None if is_served => self.reported.record(at),
            None => self.begin_probe(ProbeCause::Reported, at),
        }
    }

    /// Forgets that the endpoint has failed requests.
    pub fn forget_failures(&mut self) {
        self.failing_until = None;
        self.reported = ReportedFailure::default();
        self.probe = self.probe.filter(|probe| !probe.is_after_failure());
        self.consecutive_failures = 0;
    }

    fn next_pause(&mut self, now: Instant) -> Duration {
        if !(self.is_paused(now) || self.fails_until(now)) {
            self.consecutive_failures += 1;
        }
        self.pause_length()
    }

    fn pause_length(&self) -> Duration {
        let doublings = self.consecutive_failures.saturating_sub(1).min(DOUBLING_LIMIT);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
    }

    /// Begins a slow start, unless one is under way, because the endpoint's limit has ended.
    pub fn resume_slowly(&mut self, now: Instant) {
        if self.probe.is_none() {
            self.begin_probe(ProbeCause::LimitEnded, now);
        }
    }

    fn begin_probe(&mut self, cause: ProbeCause, now: Instant) {
        let pause_end = self.until.max(self.failing_until).max(Some(now)).unwrap_or(now);
        let risky_until = match cause {
            // It has refused or failed nothing, so any request may be sent first.
            ProbeCause::LimitEnded => now,
            _ => pause_end + AVOIDED_FOR,
        };
        self.newest_window = self.newest_window.wrapping_add(1);
        self.probe = Some(ProbeWindow { allowed: 1, waiting: 0, cause, since: now, risky_until });
    }

    fn fails_until(&self, now: Instant) -> bool {
        self.failing_until.is_some_and(|until| now < until)
    }

    /// Whether it gets requests only if no other endpoint has room, because it fails.
    pub fn is_last_resort(&self, now: Instant) -> bool {
        let is_full = |probe: ProbeWindow| probe.is_after_failure() && !probe.has_room();
        !self.is_trial_due() && (self.fails_until(now) || self.probe.is_some_and(is_full))
    }

    /// Whether it gets no requests now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_for(now).is_some()
    }

    /// Rest of the pause, if it gets no requests now.
    pub fn paused_for(&self, now: Instant) -> Option<Duration> {
        self.until.filter(|until| now < *until).map(|until| until - now)
    }

    /// Cause and beginning of the slow start, if there is one.
    pub fn probe(&self) -> Option<(ProbeCause, Instant)> {
        self.probe.map(|probe| (probe.cause, probe.since))
    }

    /// End of the back-off that the endpoint asked for, if it is not over.
    pub fn backs_off_until(&self, now: Instant) -> Option<Instant> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Whether it may be sent a request.
    pub fn takes_request(&self, now: Instant) -> bool {
        let takes_more = |probe: ProbeWindow| probe.has_room() || probe.is_after_failure();
        self.probe.is_none_or(takes_more) && !self.is_paused(now)
    }

    /// Whether the endpoint has run, refused or failed another request after `begun`. The result of
    /// a request begun then, which may have waited for seconds, is out of date.
    pub fn has_newer_result(&self, begun: Instant) -> bool {
        self.ran_at.max(self.not_served_at).is_some_and(|at| at > begun)
    }

    /// Whether it has refused without a known reason, or failed, again after a pause.
    pub fn has_failed_repeatedly(&self) -> bool {
        self.consecutive_failures > 1
    }

    /// Whether it is likely to refuse or fail the next request.
    pub fn is_risky(&self, now: Instant) -> bool {
        self.probe.is_some_and(|probe| now < probe.risky_until)
            || self.reported.is_recent(self.ran_at, now)
    }

    /// Counts a request that is sent. Returns a permit during a slow start.
    pub fn begin(&mut self) -> Option<ProbePermit> {
        self.reported.is_trial_due = false;
        let probe = self.probe.as_mut()?;
        probe.waiting += 1;
        Some(ProbePermit { window: self.newest_window })
    }

    /// Records that the endpoint, which has `slots` slots, has run a request.
    pub fn ran(&mut self, permit: Option<ProbePermit>, slots: u32, now: Instant) {
        self.ran_at = Some(now);
        let Some(probe) = self.window_of(permit) else { return };
        probe.waiting = probe.waiting.saturating_sub(1);
        probe.allowed = probe.allowed.saturating_mul(2);
        let is_over = probe.allowed >= slots;
        self.consecutive_failures = 0;
        if is_over {
            self.probe = None;
        }
    }

    /// Records that a request has ended and that it is not known whether the endpoint took it.
    pub fn ended(&mut self, permit: Option<ProbePermit>) {
        if let Some(probe) = self.window_of(permit) {
            probe.waiting = probe.waiting.saturating_sub(1);
        }
    }

    fn window_of(&mut self, permit: Option<ProbePermit>) -> Option<&mut ProbeWindow> {
        permit.filter(|permit| permit.window == self.newest_window)?;
        self.probe.as_mut()
    }
}
