//! When an endpoint that has refused a request, or fails more often than others, may be sent the
//! next ones.
//!
//! | refusal | pause | afterwards |
//! |---|---|---|
//! | with a time | so long | requests return slowly |
//! | of a busy endpoint | short | as before |
//! | of an endpoint that seemed to have room | short, doubled with each further one | slowly |
//! | a failure, where it fails more often than others | the same, unless no other endpoint has room | slowly |
//! | the same, reported by another daemon | none, or one that has begun here begins anew | slowly |
//!
//! Slowly: one request waits for its response at first, and twice as many after each one that the
//! endpoint has run, until they are as many as its slots. Without this an endpoint that refuses or
//! fails at once looks idle, and draws the requests that others would serve.
//!
//! While requests come slowly after a refusal or failure, those that could not go elsewhere pass the endpoint
//! over for some seconds; after a limit that has ended they need not.
//!
//! Requests that were sent before a pause say nothing of what follows it.

mod probe_window;

use std::time::Duration;

use tokio::time::Instant;

pub use self::probe_window::ProbeCause;
use self::probe_window::ProbeWindow;

/// Pause of an endpoint that names no time, doubled by further refusals in a row where it seemed to
/// have room: within it a slot may come free, and reports of its load come.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause: an endpoint that is back is used again within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Most doublings, which keep the power of two within 32 bits; the pause has reached
/// `LONGEST_PAUSE` before.
const DOUBLING_LIMIT: u32 = 8;
/// Longest back-off that is believed; longer ones count as refusals that name no time.
/// Beyond an hour it is more likely a wrong unit, and an endpoint must not be lost by it.
const LONGEST_BACKOFF: Duration = Duration::from_secs(3_600);

/// Requests that can't go elsewhere pass an endpoint over for so long after its pause, or after
/// another daemon's last report: where no request can, it must not be left out for good.
const RISK_TIME: Duration = Duration::from_secs(4);
/// A report of another daemon that an endpoint refuses is passed over for so long after this daemon
/// had a request run there: the refusal may be meant for the other daemon alone.
const SERVED_LATELY: Duration = Duration::from_millis(500);

/// Why an endpoint may have refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// It wants no requests for so long.
    BackOff(Duration),
    /// By the known loads it is busy.
    Busy,
    /// By the known loads it has room.
    Unexplained,
}

impl RefusalKind {
    /// The kind of a refusal that names a time or none, by an endpoint that is busy or not.
    pub fn of(asked: Option<Duration>, is_busy: bool) -> Self {
        match (plausible_backoff(asked), is_busy) {
            (Some(backoff), _) => Self::BackOff(backoff),
            (None, true) => Self::Busy,
            (None, false) => Self::Unexplained,
        }
    }
}

/// Time for which an endpoint wants no requests, if it is one that is believed.
fn plausible_backoff(asked: Option<Duration>) -> Option<Duration> {
    asked.filter(|backoff| *backoff <= LONGEST_BACKOFF)
}

/// Place of one of the requests that come slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePermit {
    window: u32,
}

/// Pause of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointPause {
    /// Until when it gets no requests.
    until: Option<Instant>,
    /// Until when it gets requests only where no other endpoint has room, since it fails.
    failing_until: Option<Instant>,
    /// Until when the endpoint itself wants none.
    backoff_until: Option<Instant>,
    /// Unexplained refusals and failures in a row, each after a pause.
    setbacks: u32,
    /// When it last ran a request of this daemon.
    ran_at: Option<Instant>,
    /// When it last refused or failed one.
    set_back_at: Option<Instant>,
    /// None while requests need not come slowly.
    probe: Option<ProbeWindow>,
    /// Number of the newest window; permits of earlier ones are void.
    windows: u32,
}

impl EndpointPause {
    /// Pause of an endpoint whose back-off is known.
    pub fn with_backoff(until: Option<Instant>) -> Self {
        let mut pause = Self { until, backoff_until: until, ..Self::default() };
        if let Some(until) = until {
            pause.begin_probe(ProbeCause::Refused, until);
        }
        pause
    }

    /// The endpoint has refused a request.
    pub fn refused(&mut self, kind: RefusalKind, now: Instant) {
        let span = match kind {
            RefusalKind::BackOff(backoff) => {
                self.backoff_until = self.backoff_until.max(Some(now + backoff));
                backoff
            }
            RefusalKind::Busy => FIRST_PAUSE,
            RefusalKind::Unexplained => self.next_pause(now),
        };
        self.set_back_at = Some(now);
        self.until = self.until.max(Some(now + span));
        if kind != RefusalKind::Busy {
            self.begin_probe(ProbeCause::Refused, now);
        }
    }

    /// The endpoint has failed a request, and does so more often than others.
    pub fn failed(&mut self, now: Instant) {
        let span = self.next_pause(now);
        self.set_back_at = Some(now);
        self.failing_until = self.failing_until.max(Some(now + span));
        self.begin_probe(ProbeCause::Failed, now);
    }

    /// Another daemon had a request refused there at `at`. Where this one has found the same, its pause
    /// begins anew with that refusal, and lasts up to `stretch` times as long (1 to 2, drawn by
    /// each daemon for itself): one daemon's request then tells all that the endpoint still
    /// refuses.
    pub fn suspect(&mut self, at: Instant, stretch: f64) {
        if self.setbacks > 0 {
            let again = Some(at + self.usual_pause().mul_f64(stretch));
            match self.probe {
                Some(probe) if probe.is_after_failure() => {
                    self.failing_until = self.failing_until.max(again);
                }
                _ => self.until = self.until.max(again),
            }
        }
        let is_served = self.ran_at.is_some_and(|ran| ran + SERVED_LATELY > at);
        match &mut self.probe {
            Some(probe) => probe.risky_until = probe.risky_until.max(at + RISK_TIME),
            None if is_served => {}
            None => self.begin_probe(ProbeCause::Reported, at),
        }
    }

    fn next_pause(&mut self, now: Instant) -> Duration {
        if !(self.is_paused(now) || self.fails_until(now)) {
            self.setbacks += 1;
        }
        self.usual_pause()
    }

    fn usual_pause(&self) -> Duration {
        let doublings = self.setbacks.saturating_sub(1).min(DOUBLING_LIMIT);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
    }

    /// Requests come slowly from now on: the endpoint has wanted few, and wants as many as before.
    pub fn resume_slowly(&mut self, now: Instant) {
        if self.probe.is_none() {
            self.begin_probe(ProbeCause::LimitEnded, now);
        }
    }

    fn begin_probe(&mut self, cause: ProbeCause, now: Instant) {
        let pause_end = self.until.max(self.failing_until).max(Some(now)).unwrap_or(now);
        let risky_until = match cause {
            // It has refused and failed nothing: any request may be the first.
            ProbeCause::LimitEnded => now,
            _ => pause_end + RISK_TIME,
        };
        self.windows = self.windows.wrapping_add(1);
        self.probe = Some(ProbeWindow { allowed: 1, waiting: 0, cause, since: now, risky_until });
    }

    fn fails_until(&self, now: Instant) -> bool {
        self.failing_until.is_some_and(|until| now < until)
    }

    /// Whether it gets requests only where no other endpoint has room, since it fails.
    pub fn is_last_resort(&self, now: Instant) -> bool {
        let is_full = |probe: ProbeWindow| probe.is_after_failure() && !probe.has_place();
        self.fails_until(now) || self.probe.is_some_and(is_full)
    }

    /// Whether it gets no requests now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_for(now).is_some()
    }

    /// How long it still gets no requests, if it gets none now.
    pub fn paused_for(&self, now: Instant) -> Option<Duration> {
        self.until.filter(|until| now < *until).map(|until| until - now)
    }

    /// Why requests come slowly and since when, if they do.
    pub fn probe(&self) -> Option<(ProbeCause, Instant)> {
        self.probe.map(|probe| (probe.cause, probe.since))
    }

    /// Until when the endpoint itself wants none, if it does now.
    pub fn backs_off_until(&self, now: Instant) -> Option<Instant> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Whether it may be sent a request.
    pub fn takes_request(&self, now: Instant) -> bool {
        let takes_more = |probe: ProbeWindow| probe.has_place() || probe.is_after_failure();
        self.probe.is_none_or(takes_more) && !self.is_paused(now)
    }

    /// Whether something is known of it that is later than the beginning of a request: what becomes of
    /// that request, which may have waited for seconds, says nothing of the endpoint any more.
    pub fn is_later_known(&self, begun: Instant) -> bool {
        self.ran_at.max(self.set_back_at).is_some_and(|at| at > begun)
    }

    /// Whether it has refused for no known reason, or failed, again after a pause.
    pub fn has_recurred(&self) -> bool {
        self.setbacks > 1
    }

    /// Whether it may well refuse or fail the next request.
    pub fn is_risky(&self, now: Instant) -> bool {
        self.probe.is_some_and(|probe| now < probe.risky_until)
    }

    /// A request is sent; a permit if requests come slowly.
    pub fn begin(&mut self) -> Option<ProbePermit> {
        let probe = self.probe.as_mut()?;
        probe.waiting += 1;
        Some(ProbePermit { window: self.windows })
    }

    /// The endpoint, which has so many slots, has run a request.
    pub fn ran(&mut self, permit: Option<ProbePermit>, slots: u32, now: Instant) {
        self.ran_at = Some(now);
        let Some(probe) = self.window_of(permit) else { return };
        probe.waiting = probe.waiting.saturating_sub(1);
        probe.allowed = probe.allowed.saturating_mul(2);
        let is_over = probe.allowed >= slots;
        self.setbacks = 0;
        if is_over {
            self.probe = None;
        }
    }

    /// A request has ended without a word on whether it was taken.
    pub fn ended(&mut self, permit: Option<ProbePermit>) {
        if let Some(probe) = self.window_of(permit) {
            probe.waiting = probe.waiting.saturating_sub(1);
        }
    }

    fn window_of(&mut self, permit: Option<ProbePermit>) -> Option<&mut ProbeWindow> {
        permit.filter(|permit| permit.window == self.windows)?;
        self.probe.as_mut()
    }
}
