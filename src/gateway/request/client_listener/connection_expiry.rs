//! Connections that have been idle, or whose heads have been incomplete, for longer than the configuration allows.

use std::time::Duration;

use tokio::time::{sleep, sleep_until};

use super::client_connections::ConnectionUse;
use crate::{
    boot_clock,
    gateway::{configuration::ClientLimits, context::GatewayContext},
};

/// A connection is closed this much later than the configured idle time, so that a request sent at
/// the last moment still arrives before the close: far longer than a round trip.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// A head may be incomplete for this much longer than the configuration says: far longer than a round trip.
const HEAD_MARGIN: Duration = Duration::from_millis(500);
/// Shortest interval between checks for heads that are late.
const MIN_HEAD_CHECK: Duration = Duration::from_millis(100);

/// Client limits of the newest configuration; the defaults until there is one.
pub fn client_limits(context: &GatewayContext) -> ClientLimits {
    context.configuration().map_or_else(ClientLimits::default, |current| current.limits)
}

/// Waits until the connection has been idle for longer than the configuration allows.
pub async fn until_idle_too_long(context: &GatewayContext, usage: &ConnectionUse) {
    loop {
        let idle_timeout = client_limits(context).idle_timeout;
        if usage.is_busy() {
            sleep(idle_timeout).await;
            continue;
        }
        let close_at = usage.idle_since() + idle_timeout + IDLE_MARGIN;
        sleep_until(boot_clock::timer_at(close_at)).await;
        // A request may have begun in the meantime. If the connection were closed after its
        // response, the client's next request would be lost: each time in the test whose first
        // request comes after 100 ms.
        let has_passed = usage.idle_since() + idle_timeout + IDLE_MARGIN <= boot_clock::now();
        if has_passed && !usage.is_busy() {
            return;
        }
    }
}

/// Waits until a head has been incomplete for longer than the configuration allows. It is found up to once that
/// time later.
pub async fn until_head_late(context: &GatewayContext, usage: &ConnectionUse) {
    loop {
        let head_timeout = client_limits(context).head_timeout;
        sleep(head_timeout.max(MIN_HEAD_CHECK)).await;
        let allowed = head_timeout + HEAD_MARGIN;
        if usage.head_since().is_some_and(|since| since + allowed <= boot_clock::now()) {
            return;
        }
    }
}
