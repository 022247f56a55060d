//! Waits that a pause of this process (a frozen VM, a starved core) does not end too early.
//! Used for every call whose late response is still worth having.

use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};

/// A wait that ends this much too late was overtaken by a pause of the process.
const PAUSE_SIGN: Duration = Duration::from_millis(200);
/// What arrived during a pause gets this time to be read after it.
const AFTER_PAUSE: Duration = Duration::from_millis(500);

/// The wait is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitOver;

/// Waits at most `limit` for `future`.
///
/// If the process was paused, the limit has passed when it goes on, but the response may have
/// arrived meanwhile and only wait to be read. The wait is then extended by `AFTER_PAUSE`;
/// without that, work that was done would be reported as unknown.
pub async fn wait_at_most<F: Future>(limit: Duration, future: F) -> Result<F::Output, WaitOver> {
    let deadline = Instant::now() + limit;
    tokio::pin!(future);
    if let Ok(output) = timeout_at(deadline, future.as_mut()).await {
        return Ok(output);
    }
    if deadline.elapsed() < PAUSE_SIGN {
        return Err(WaitOver);
    }
    timeout(AFTER_PAUSE, future).await.map_err(|_| WaitOver)
}
