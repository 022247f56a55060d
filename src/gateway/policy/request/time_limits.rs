//! Time limit of a whole request, and the times after which an attempt without a response, or a stream
//! without a next event, counts as silent.
//!
//! Inputs are the route in the newest configuration and the client's time limit; the defaults below
//! apply if neither is set. A silent run goes on until the request's deadline. If the route, the retry
//! budget and the other endpoints allow it, another endpoint runs the request too, and the first of
//! both that sends something is passed on: to end the silent run earlier would turn a late response into none.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::configuration::Route;

/// Time limit of a request if neither its client nor its route sets one: bounds how long a request
/// can hold resources.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// An idempotent request may be sent to another endpoint after this multiple of its route's target: a multiple
/// near 1 would retry every request whenever all endpoints are slow together.
const PLAIN_TARGET_MULTIPLE: f64 = 3.0;
/// A resumable stream may be sent to another endpoint after this multiple of its route's target: lower than
/// for other requests, since the next endpoint has to process the prompt before its first event.
const STREAM_TARGET_MULTIPLE: f64 = 1.6;
/// A resumable stream may go on elsewhere if nothing arrives for this multiple of the route's
/// target (first event) or of the allowed gap (later events). After a single gap the stream is only
/// late, and to resume it another endpoint has to process the prompt.
const SILENCE_MULTIPLE: f64 = 2.0;
/// Shortest pause between two checks whether another endpoint may run a silent request.
const SHORTEST_CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Longest time between events if the route sets no allowed gap: high, since the usual speed of
/// such a stream is not known.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);

/// Deadline of a request that arrived at `received`, from the shorter of the client's and the
/// route's time limits.
pub fn request_deadline(received: Instant, client: Option<Duration>, route: &Route) -> Instant {
    let shortest = [client, route.timeout].into_iter().flatten().min();
    received + shortest.unwrap_or(DEFAULT_TIMEOUT)
}

/// When an attempt that begins at `now`, after `begun_before` others, counts as silent if the head of
/// its response has not arrived; the deadline if no other endpoint may be tried. Includes the
/// `expected_wait`, since another endpoint would have to process a long prompt from the beginning.
pub fn head_silence(
    route: &Route,
    begun_before: u32,
    expected_wait: Duration,
    deadline: Instant,
    now: Instant,
) -> Instant {
    let is_last = begun_before + 1 >= route.attempts;
    if is_last || !route.kind.may_run_again() {
        return deadline;
    }
    let multiple =
        if route.kind.is_stream() { STREAM_TARGET_MULTIPLE } else { PLAIN_TARGET_MULTIPLE };
    let timeout = route.target.mul_f64(multiple).saturating_add(expected_wait);
    now.checked_add(timeout).map_or(deadline, |until| until.min(deadline))
}

/// When a stream counts as silent if its next event, awaited since `since`, does not arrive; the deadline if no
/// other endpoint may be tried after `begun` attempts. `events` have been passed on to the client.
pub fn event_silence(
    route: &Route,
    begun: u32,
    events: u64,
    deadline: Instant,
    since: Instant,
) -> Instant {
    let is_resumable = route.kind.is_stream() && route.kind.may_run_again();
    if !is_resumable || begun >= route.attempts {
        return deadline;
    }
    let silence = match events {
        0 => route.target.mul_f64(SILENCE_MULTIPLE),
        _ => route.gap_target.map_or(DEFAULT_SILENCE, |gap| gap.mul_f64(SILENCE_MULTIPLE)),
    };
    deadline.min(since + silence)
}

/// Pause between two checks whether another endpoint may run a silent request. It grows with the silence, so
/// that there are few checks however long that lasts.
#[derive(Clone, Copy, Debug)]
pub struct CheckPause {
    begun: Instant,
}

impl CheckPause {
    /// For a silence, or a wait, that began then.
    pub fn new(begun: Instant) -> Self {
        Self { begun }
    }

    /// When to check again after a check at `now`.
    pub fn next(self, now: Instant) -> Instant {
        now + now.saturating_duration_since(self.begun).max(SHORTEST_CHECK_PAUSE)
    }
}
