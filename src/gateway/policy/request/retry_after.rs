//! Values of the `Retry-After` header in responses with status 429 or 503.
//!
//! Quotas compute their own value from the bucket's level (`quota`); all others are here. If no
//! endpoint accepted a request, the value is the time until one is expected to have capacity, or a
//! fraction of the route's target if that is not known.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::gateway::policy::endpoint::room_forecast::RoomForecast;

/// No endpoint of the service accepts requests or is reached, or the deadline passed before one was chosen.
/// Earlier retries would load the daemon and find the list of endpoints unchanged.
pub const NO_ENDPOINT: Duration = Duration::from_millis(400);
/// The daemon has no configuration that is known to be current, or doesn't know how many daemons
/// there are. Keeps clients from loading a daemon that is still starting.
pub const DAEMON_STARTING: Duration = Duration::from_millis(500);
/// A newer configuration has been reported and is being fetched. The daemon that gets the retry may
/// receive it later than this one.
pub const FETCHING_CONFIGURATION: Duration = Duration::from_millis(300);
/// The daemon has not had contact with its peers since it started or its process was suspended. It
/// calls two of them every 0.1 s.
pub const AWAITING_PEERS: Duration = Duration::from_millis(200);
/// It isn't known which version began a stream that is taken up. Another daemon may know, and records of
/// other daemons may arrive.
pub const UNKNOWN_STREAM: Duration = Duration::from_millis(200);
/// The daemon is stopping, and the load balancer sends the retry to another one; or some endpoints
/// have capacity but this request was not allowed to try them. Neither case needs a pause.
pub const AT_ONCE: Duration = Duration::from_millis(20);
/// There was no memory for the request's body. Another daemon may have some, and bodies that arrive or whose
/// requests run are gone after about a second.
pub const NO_BODY_MEMORY: Duration = Duration::from_millis(500);
/// Fraction of the route's target after which a client may retry if all endpoints were full: a
/// retry after half the target can still meet it.
const FULL_TARGET_FRACTION: f64 = 0.5;
/// Shortest time over which the retries of clients that wait for backed-off endpoints are spread.
/// An endpoint gets a single request at first, and with 32 slots is fully used after five times its
/// response time.
const MIN_JITTER_RANGE: Duration = Duration::from_millis(500);

/// Retry-after when no endpoint accepted a request. The retries of clients that wait for backed-off
/// endpoints are spread over time, so that they don't all reach the first endpoint that is
/// available.
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
            let jitter_range = last.saturating_duration_since(first).max(MIN_JITTER_RANGE);
            first.saturating_duration_since(now) + jitter_range.mul_f64(rng.random_range(0.0..1.0))
        }
    }
}

/// Retry-after when all endpoints are full. `target` is the route's target time for the first part
/// of a response.
pub fn all_full(target: Duration) -> Duration {
    target.mul_f64(FULL_TARGET_FRACTION)
}
