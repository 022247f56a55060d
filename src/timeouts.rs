//! Timeouts that do not expire early when this process was paused (a frozen VM, a busy core). Used
//! for calls whose response is still useful when it is late.

use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};

/// If a timeout fires this much too late, the process was paused.
const PAUSE_SIGN: Duration = Duration::from_millis(200);
/// Extension of a wait after a pause, to read what arrived during the pause.
const AFTER_PAUSE: Duration = Duration::from_millis(500);

/// The time limit passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Waits at most `limit` for `future`.
///
/// If the process was paused, the limit may have passed when it continues, although the response
/// arrived in the meantime and only has to be read. The wait is then extended by `AFTER_PAUSE`;
/// otherwise work that was done would be reported as unknown.
pub async fn wait_at_most<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let deadline = Instant::now() + limit;
    tokio::pin!(future);
    if let Ok(output) = timeout_at(deadline, future.as_mut()).await {
        return Ok(output);
    }
    if deadline.elapsed() < PAUSE_SIGN {
        return Err(Elapsed);
    }
    timeout(AFTER_PAUSE, future).await.map_err(|_| Elapsed)
}
