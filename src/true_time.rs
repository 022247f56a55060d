//! Time that goes on while the VM is suspended.
//!
//! The runtime's clock stands still then; the clock since boot goes on. `now` is the runtime's time
//! moved forward by all that it has missed: ages, leases and deadlines are judged by it. Timers
//! stay with the runtime's clock, which tests pause and advance; `timer_at` says when one is to
//! fire. A timer that runs during a suspension fires as much later as that takes; what follows is
//! judged anew.
//!
//! Without a suspension both clocks agree, and so do these times and the runtime's.

use std::{cell::Cell, sync::OnceLock, time::Duration};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Differences of the clocks up to this are none: they are read one after the other. Far above the
/// time between two readings, far below what matters to a lease.
const TOLERANCE: Duration = Duration::from_millis(50);

thread_local! {
    /// What the runtime's clock of this thread has missed.
    static MISSED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// What a test lets it miss besides.
    static PRETENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// The time now, suspensions included.
pub fn now() -> Instant {
    Instant::now() + missed()
}

/// When a timer of the runtime has to fire for a time of `now`.
pub fn timer_at(at: Instant) -> Instant {
    // Times from before the runtime's clock began are over.
    at.checked_sub(missed()).unwrap_or_else(Instant::now)
}

/// Time since `at`, a time of `now`.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Lets this thread's time go on as after a suspension; for tests.
pub fn pretend_suspension(duration: Duration) {
    PRETENDED.set(PRETENDED.get() + duration);
}

/// All that the runtime's clock has missed since the process began.
pub fn missed() -> Duration {
    // Where a clock can't be read, no suspension is noticed.
    let measured = measured_difference().unwrap_or_default();
    // It never shrinks: times once given out do not come again.
    if measured > MISSED.get() + TOLERANCE {
        MISSED.set(measured);
    }
    MISSED.get() + PRETENDED.get()
}

/// By how much more the clock since boot has advanced than the steady one since the first call;
/// none where a clock can't be read.
fn measured_difference() -> Option<Duration> {
    static FIRST: OnceLock<Option<Duration>> = OnceLock::new();
    let ahead = read_ahead()?;
    let first = (*FIRST.get_or_init(|| Some(ahead)))?;
    ahead.checked_sub(first)
}

/// By how much the clock since boot is ahead of the steady one. The steady one is read last, so
/// that a pause between the readings makes the difference smaller, never larger.
fn read_ahead() -> Option<Duration> {
    let since_boot = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    let steady = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?);
    Some(since_boot.saturating_sub(steady))
}
