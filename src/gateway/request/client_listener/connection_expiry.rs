//! Connections that have been idle, or whose heads have been incomplete, for longer than the configuration allows.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::{client_stream::ClientStream, connection_use::ConnectionUse};
use crate::{
    boot_clock,
    gateway::{configuration::ClientLimits, context::GatewayContext},
    kernel::LifePhase,
};

/// A connection is closed this much later than the configured idle time, so that a request sent at
/// the last moment still arrives before the close: far longer than a round trip.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// A head may be incomplete for this much longer than the configuration says: far longer than a round trip.
const HEAD_MARGIN: Duration = Duration::from_millis(500);
/// Shortest interval between checks of a connection.
const MIN_CHECK: Duration = Duration::from_millis(100);
/// Interval between checks, during a stop, whether the head of a request is complete: short beside a stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Client limits of the newest configuration; the defaults until there is one.
pub fn client_limits(context: &GatewayContext) -> ClientLimits {
    context.configuration().map_or_else(ClientLimits::default, |current| current.limits)
}

/// Waits until the connection has been idle for longer than the newest configuration allows.
pub async fn until_idle_too_long(
    context: &GatewayContext,
    usage: &ConnectionUse,
    stream: &ClientStream,
) {
    loop {
        let idle_timeout = client_limits(context).idle_timeout;
        let close_at = usage.idle_since() + idle_timeout + IDLE_MARGIN;
        let now = boot_clock::now();
        if is_between_requests(usage, stream) && close_at <= now {
            return;
        }
        // A request that runs, or whose head arrives, begins the idle time anew.
        let check_at = if close_at <= now { now + idle_timeout.max(MIN_CHECK) } else { close_at };
        wait_for_change(context, check_at).await;
    }
}

/// Waits until a head has been incomplete for longer than the newest configuration allows. It is found up to once that
/// time later.
pub async fn until_head_late(
    context: &GatewayContext,
    usage: &ConnectionUse,
    stream: &ClientStream,
) {
    loop {
        let head_timeout = client_limits(context).head_timeout;
        let now = boot_clock::now();
        let is_late =
            usage.head_since().is_some_and(|since| since + head_timeout + HEAD_MARGIN <= now);
        if is_late && !stream.has_unread() {
            return;
        }
        wait_for_change(context, now + head_timeout.max(MIN_CHECK)).await;
    }
}

/// Waits until the daemon stops and no request on the connection has begun to arrive.
pub async fn until_idle_at_stop(
    context: &GatewayContext,
    usage: &ConnectionUse,
    stream: &ClientStream,
) {
    let mut phase = context.kernel.phase();
    // Fails only once the kernel has gone, and the daemon with it.
    let _ = phase.wait_for(|phase| *phase >= LifePhase::Draining).await;
    let is_stopping = || *phase.borrow() == LifePhase::Stopping;
    while has_begun_next(usage, stream) && !is_stopping() {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Whether a request has begun to arrive that isn't handled yet.
fn has_begun_next(usage: &ConnectionUse, stream: &ClientStream) -> bool {
    match usage.is_busy() {
        true => usage.has_next(),
        false => usage.head_since().is_some() || stream.has_unread(),
    }
}

/// Whether the connection has no request and nothing of the next one, neither read nor unread.
fn is_between_requests(usage: &ConnectionUse, stream: &ClientStream) -> bool {
    !usage.is_busy() && !has_begun_next(usage, stream)
}

/// Waits until a time, or until the configuration changes.
async fn wait_for_change(context: &GatewayContext, until: Instant) {
    tokio::select! {
        () = sleep_until(boot_clock::timer_at(until)) => {}
        () = context.configuration_changed.notified() => {}
    }
}
