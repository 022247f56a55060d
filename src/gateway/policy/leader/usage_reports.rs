//! Decides which window of usage the leader reports to the cloud next.
//!
//! Windows have equal lengths and are numbered from 1970 by the wall clock. A window is reported
//! once, in order, some time after its end, so that all daemons' counts have arrived by gossip. A
//! leader that has just started waits until it has received them, including those of daemons that
//! have ended, which the others pass on to it. If there was no leader for longer than a few
//! windows, the oldest ones are skipped. Without an earlier report, the first one is for the newest
//! complete window, or, if the record of earlier reports was lost, for the window in which the
//! lease was acquired.

use std::{ops::Range, time::Duration};

/// Time between the end of a window and its report: fifteen gossip intervals.
const REPORT_DELAY: Duration = Duration::from_millis(1_500);
/// Number of windows that are still reported: fewer than those whose counts are kept.
const REPORTABLE_WINDOWS: u64 = 3;
/// A daemon that has just started reports no usage for this multiple of the greatest age of other
/// daemons' reports, since only they have the counts of the windows before its start: time for one
/// report of every daemon, and another one.
const REPORT_AGES_TO_WAIT: u32 = 2;
/// Shortest time after its start in which a daemon reports no usage: ten gossip intervals, since it
/// has to find the other daemons first.
const MIN_REPORT_AGE: Duration = Duration::from_secs(1);

/// Times since its start between which a daemon requests the usage that others received before. At
/// the lower bound it knows the members of its group; a fleet of one group has responded by
/// `MIN_REPORT_AGE`, a large fleet by the upper bound.
const FORMER_USAGE_AGES: Range<Duration> = Duration::from_millis(500)..Duration::from_millis(3_500);

/// Number of the window to report at `now_ms` (milliseconds since 1970), if one is due.
/// Windows before `first_window` are skipped.
pub fn due_window(
    last_reported: Option<u64>,
    first_window: u64,
    now_ms: u64,
    length: Duration,
) -> Option<u64> {
    let delay_ms = REPORT_DELAY.as_millis() as u64;
    let length_ms = (length.as_millis() as u64).max(1);
    let current = now_ms.saturating_sub(delay_ms) / length_ms;
    let newest = current.checked_sub(1)?;
    let next = last_reported.map_or(newest, |window| window + 1);
    let window = next.max(newest.saturating_sub(REPORTABLE_WINDOWS - 1)).max(first_window);
    (window <= newest).then_some(window)
}

/// Whether a daemon that has run for `age` has received the counts of all others, if their reports
/// may be `report_age` old.
pub fn has_received_counts(age: Duration, report_age: Duration) -> bool {
    age >= (report_age * REPORT_AGES_TO_WAIT).max(MIN_REPORT_AGE)
}

/// Whether a daemon that has run for `age` requests the usage that others received before its
/// start.
pub fn requests_former_usage(age: Duration) -> bool {
    FORMER_USAGE_AGES.contains(&age)
}
