//! A clock that also counts the time during which the VM was suspended.
//!
//! During a suspension the runtime's clock stops, but the system's boot-time clock continues. `now`
//! is the runtime's time plus all suspended time; ages, leases and deadlines are computed with it.
//! Timers use the runtime's clock, which tests pause and advance; `timer_at` converts a time of
//! this clock for them. A timer that is pending during a suspension fires later by the suspension's
//! length, so code that runs after a timer must check the time again.
//!
//! Without suspensions this clock and the runtime's are equal.

use std::{cell::Cell, sync::OnceLock, time::Duration};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Increases of the clocks' difference up to this are ignored, because the clocks are read one
/// after the other. Far above the time between two readings, far below what matters to a lease.
const TOLERANCE: Duration = Duration::from_millis(50);

thread_local! {
    /// Suspended time that the runtime's clock of this thread did not count.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// Additional suspended time set by tests.
    static SIMULATED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Current time, including suspended time.
pub fn now() -> Instant {
    Instant::now() + suspended_time()
}

/// Converts a time of this clock to the runtime's time, for timers.
pub fn timer_at(at: Instant) -> Instant {
    // Times before the start of the runtime's clock have passed.
    at.checked_sub(suspended_time()).unwrap_or_else(Instant::now)
}

/// Time since `at`, a time of this clock.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Advances this thread's clock as a suspension would; for tests.
pub fn simulate_suspension(duration: Duration) {
    SIMULATED.set(SIMULATED.get() + duration);
}

/// Total suspended time since the process started.
pub fn suspended_time() -> Duration {
    // If a clock cannot be read, suspensions are not detected.
    let measured = measured_difference().unwrap_or_default();
    // Never decreases, so that `now` never goes back.
    if measured > SUSPENDED.get() + TOLERANCE {
        SUSPENDED.set(measured);
    }
    SUSPENDED.get() + SIMULATED.get()
}

/// By how much more the boot-time clock has advanced than the monotonic clock since the first call;
/// `None` if a clock cannot be read.
fn measured_difference() -> Option<Duration> {
    static FIRST: OnceLock<Option<Duration>> = OnceLock::new();
    let ahead = read_ahead()?;
    let first = (*FIRST.get_or_init(|| Some(ahead)))?;
    ahead.checked_sub(first)
}

/// By how much the boot-time clock is ahead of the monotonic clock. The monotonic clock is read
/// last, so that a pause between the readings makes the difference smaller, never larger.
fn read_ahead() -> Option<Duration> {
    let since_boot = Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?);
    let steady = Duration::from(clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?);
    Some(since_boot.saturating_sub(steady))
}
