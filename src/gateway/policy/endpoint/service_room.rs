//! Room of the endpoints of a service.

use std::time::Duration;

use derive_more::Display;

/// Room of a service's endpoints, logged with a request that found none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(
    "{endpoints} endpoints, {running} running of {slots} slots, {backing_off} backing off, \
     {at_limit} at their limits, reports up to {} ms old",
    report_age.as_millis()
)]
pub struct ServiceRoom {
    /// Endpoints that take requests.
    pub endpoints: u32,
    /// Those that have asked for a back-off.
    pub backing_off: u32,
    /// Those whose limit leaves no request for this daemon now.
    pub at_limit: u32,
    /// Requests that they can run at once.
    pub slots: u64,
    /// Requests of all daemons that run there.
    pub running: u64,
    /// Age of the oldest load report in use.
    pub report_age: Duration,
}
