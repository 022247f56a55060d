//! Why an endpoint may have refused a request, which decides how long it gets no others.

use std::time::Duration;

/// Longest back-off that is accepted; a longer one counts as a refusal without a time. Above an
/// hour the unit is more likely wrong, and the endpoint must not be lost because of it.
const LONGEST_BACKOFF: Duration = Duration::from_secs(3_600);

/// Why an endpoint may have refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// It asks for a back-off of this length.
    BackOff(Duration),
    /// It is busy according to the known loads.
    Busy,
    /// It has room according to the known loads.
    Unexplained,
}

impl RefusalKind {
    /// Kind of a refusal with the back-off that it asks for, if any.
    pub fn of(asked: Option<Duration>, is_busy: bool) -> Self {
        match (plausible_backoff(asked), is_busy) {
            (Some(backoff), _) => Self::BackOff(backoff),
            (None, true) => Self::Busy,
            (None, false) => Self::Unexplained,
        }
    }
}

/// The back-off that an endpoint asks for, unless it is implausibly long.
fn plausible_backoff(asked: Option<Duration>) -> Option<Duration> {
    asked.filter(|backoff| *backoff <= LONGEST_BACKOFF)
}
