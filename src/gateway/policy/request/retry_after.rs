//! When a client may retry that got 429 or 503: the times sent in `Retry-After`.
//!
//! Quotas compute their own time, from the bucket's level (`quota`). All other times are
//! here. Where no endpoint has taken a request, the time is that until one will have room, as far
//! as that is known; otherwise a fraction of the route's target.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::gateway::policy::endpoint::room_forecast::RoomForecast;

/// No endpoint of the service takes requests, or the deadline passed before one was chosen: quicker
/// retries would load the daemon and find the same list.
pub const NO_ENDPOINT: Duration = Duration::from_millis(400);
/// The daemon has no configuration that is known to be current, or doesn't know how many others
/// there are: keeps clients from loading a daemon that is still starting.
pub const DAEMON_STARTING: Duration = Duration::from_millis(500);
/// A newer configuration has been reported, and is being fetched: the daemon that is asked next may
/// have it later.
pub const FETCHING_CONFIGURATION: Duration = Duration::from_millis(300);
/// The daemon has not heard its peers since it started or stood still: it calls two of them every
/// 0.1 s.
pub const AWAITING_PEERS: Duration = Duration::from_millis(200);
/// The daemon is stopping, and the balancer sends the retry to another one; or endpoints have room
/// that this request was not allowed to try. Neither has need of a pause.
pub const AT_ONCE: Duration = Duration::from_millis(20);
/// Fraction of the route's target after which a client that found all endpoints full may retry: a
/// retry after half the target can still be in time.
const FULL_TARGET_FRACTION: f64 = 0.5;
/// Time over which clients are spread at least that wait for endpoints that back off: an endpoint
/// is sent one request at first, and with 32 slots is in full use after five times its response
/// time.
const MIN_SPREAD: Duration = Duration::from_millis(500);

/// Time to retry after when no endpoint has taken a request. Clients that wait for endpoints that
/// back off come one after another, not all to the first that is back.
pub fn by_forecast(
    forecast: RoomForecast,
    target: Duration,
    now: Instant,
    rng: &mut impl Rng,
) -> Duration {
    match forecast {
        RoomForecast::Now => AT_ONCE,
        RoomForecast::Unknown => all_full(target),
        RoomForecast::Later { first, last } => {
            let spread = last.saturating_duration_since(first).max(MIN_SPREAD);
            first.saturating_duration_since(now) + spread.mul_f64(rng.random_range(0.0..1.0))
        }
    }
}

/// Time to retry after when all endpoints are full; `target` is the route's target for the
/// first part of a response.
pub fn all_full(target: Duration) -> Duration {
    target.mul_f64(FULL_TARGET_FRACTION)
}
