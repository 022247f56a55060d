//! How long the gateway waits: for a whole request, for the head of an attempt's response,
//! and for the next event of a stream.
//!
//! Inputs are the route of the newest configuration and the time that the client gave; a
//! route or client that names no time gets the defaults below. Attempts are cut short of the
//! request's deadline only where another endpoint may then be tried: cutting the last attempt
//! short would turn a late response into none.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::configuration::Route;

/// Time for a request that has a time limit neither from its client nor from its route: bounds how
/// long a request can hold its resources.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// An idempotent request is retried elsewhere after this multiple of its route's target: a multiple
/// near 1 would retry every request whenever all endpoints are slow together.
const PLAIN_TARGET_MULTIPLE: f64 = 3.0;
/// A resumable stream is retried elsewhere after this multiple of its route's target: lower than
/// for plain requests, since the next endpoint still has to read the prompt before its first event.
const STREAM_TARGET_MULTIPLE: f64 = 1.6;
/// A resumable stream is resumed elsewhere after a silence of this multiple of the route's target
/// for its first event, or of the allowed gap between later ones: after one gap the stream is only
/// late; resuming it costs another endpoint a prompt.
const SILENCE_MULTIPLE: f64 = 2.0;
/// Longest silence between events where the route names no allowed gap: high, since nothing says
/// how fast such a stream is.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);

/// When a request that came at `received` has to be over: the shorter of the client's and the
/// route's time.
pub fn request_deadline(received: Instant, client: Option<Duration>, route: &Route) -> Instant {
    let shortest = [client, route.timeout].into_iter().flatten().min();
    received + shortest.unwrap_or(DEFAULT_TIMEOUT)
}

/// Until when the head of a response is awaited, for an attempt sent at `now` after
/// `sent_before` others. The `expected_wait` is added: another endpoint would have to read a
/// long prompt from its beginning again.
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

/// Until when the next piece of a stream is awaited, after `sent` attempts and `events`
/// passed on.
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
