//! Time limits for a whole request, for the head of an attempt's response, and for the next event
//! of a stream.
//!
//! Inputs are the route in the newest configuration and the client's time limit; the defaults below
//! apply if neither is set. An attempt ends before the request's deadline only if another endpoint
//! may be tried afterwards: ending the last attempt early would turn a late response into none.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::configuration::Route;

/// Time limit of a request if neither its client nor its route sets one: bounds how long a request
/// can hold resources.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// An idempotent request is retried elsewhere after this multiple of its route's target: a multiple
/// near 1 would retry every request whenever all endpoints are slow together.
const PLAIN_TARGET_MULTIPLE: f64 = 3.0;
/// A resumable stream is retried elsewhere after this multiple of its route's target: lower than
/// for other requests, since the next endpoint has to process the prompt before its first event.
const STREAM_TARGET_MULTIPLE: f64 = 1.6;
/// A resumable stream is resumed elsewhere if nothing arrives for this multiple of the route's
/// target (first event) or of the allowed gap (later events). After a single gap the stream is only
/// late, and to resume it another endpoint has to process the prompt.
const SILENCE_MULTIPLE: f64 = 2.0;
/// Longest time between events if the route sets no allowed gap: high, since the usual speed of
/// such a stream is not known.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);

/// Deadline of a request that arrived at `received`, from the shorter of the client's and the
/// route's time limits.
pub fn request_deadline(received: Instant, client: Option<Duration>, route: &Route) -> Instant {
    let shortest = [client, route.timeout].into_iter().flatten().min();
    received + shortest.unwrap_or(DEFAULT_TIMEOUT)
}

/// Until when to wait for the head of a response, for an attempt sent at `now` after `sent_before`
/// others. Includes the `expected_wait`, since another endpoint would have to process a long prompt
/// from the beginning.
pub fn attempt_deadline(
    route: &Route,
    sent_before: u32,
    expected_wait: Duration,
    deadline: Instant,
    now: Instant,
) -> Instant {
    let is_last = sent_before + 1 >= route.attempts;
    if is_last || !route.kind.may_run_again() {
        return deadline;
    }
    let multiple =
        if route.kind.is_stream() { STREAM_TARGET_MULTIPLE } else { PLAIN_TARGET_MULTIPLE };
    let timeout = route.target.mul_f64(multiple).saturating_add(expected_wait);
    now.checked_add(timeout).map_or(deadline, |until| until.min(deadline))
}

/// Until when to wait for the next piece of a stream, after `sent` attempts and `events` passed on
/// to the client.
pub fn event_deadline(
    route: &Route,
    sent: u32,
    events: u64,
    deadline: Instant,
    now: Instant,
) -> Instant {
    let is_resumable = route.kind.is_stream() && route.kind.may_run_again();
    if !is_resumable || sent >= route.attempts {
        return deadline;
    }
    let silence = match events {
        0 => route.target.mul_f64(SILENCE_MULTIPLE),
        _ => route.gap_target.map_or(DEFAULT_SILENCE, |gap| gap.mul_f64(SILENCE_MULTIPLE)),
    };
    deadline.min(now + silence)
}
