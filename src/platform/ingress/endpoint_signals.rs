//! Decodes the signals in an endpoint's responses: that it drains, asks for a back-off, limits the rate of
//! its requests, or is brittle.
//!
//! | header | read on | valid values | other values |
//! |---|---|---|---|
//! | `Server-Leaving` | all responses | `1` | treated as absent |
//! | `Retry-After` | 503, executed or not | seconds, 0 or more, may have a fraction | treated as absent |
//! | `Server-Limit` | all responses | requests a second, 0 or more, may have a fraction | unreadable |
//! | `Server-Brittle` | all responses | any | |
//!
//! A header may be repeated or have several values separated by commas: one `1` is enough, the longest
//! back-off and the lowest limit apply. Dates in `Retry-After` are not supported, since clocks of
//! endpoints are never compared with the daemon's own.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{self, HeaderName},
};

use super::headers::{BRITTLE, DRAINING, LIMIT};
use crate::gateway::request::response_meaning::{EndpointSignals, LimitSignal};

/// Value of `Server-Leaving` that means that the endpoint drains.
const DRAINING_VALUE: &str = "1";

/// Decodes the signals of a response that was sent by the intended endpoint.
pub fn read_signals(status: StatusCode, headers: &HeaderMap) -> EndpointSignals {
    let is_draining = values(headers, &DRAINING).any(|value| value == Some(DRAINING_VALUE));
    let may_back_off = status == StatusCode::SERVICE_UNAVAILABLE;
    let backoff = may_back_off.then(|| read_backoff(headers)).flatten();
    let limit = read_limit(headers);
    let is_draining_unread = !is_draining && headers.contains_key(DRAINING);
    let is_backoff_unread =
        may_back_off && backoff.is_none() && headers.contains_key(header::RETRY_AFTER);
    let is_limit_unread = limit == LimitSignal::Unreadable;
    let is_unreadable = is_draining_unread || is_backoff_unread || is_limit_unread;
    let is_brittle = headers.contains_key(BRITTLE);
    EndpointSignals { is_draining, backoff, limit, is_brittle, is_unreadable }
}

fn read_limit(headers: &HeaderMap) -> LimitSignal {
    let least = values(headers, &LIMIT)
        .filter_map(|value| value?.parse::<f64>().ok())
        .filter(|limit| limit.is_finite() && *limit >= 0.0)
        .min_by(f64::total_cmp);
    match least {
        Some(limit) => LimitSignal::PerSecond(limit),
        None if headers.contains_key(LIMIT) => LimitSignal::Unreadable,
        None => LimitSignal::Absent,
    }
}

fn read_backoff(headers: &HeaderMap) -> Option<Duration> {
    let seconds = values(headers, &header::RETRY_AFTER)
        .filter_map(|value| value?.parse::<f64>().ok())
        // Rejects negative and infinite numbers and NaN.
        .filter_map(|seconds| Duration::try_from_secs_f64(seconds).ok());
    seconds.max()
}

/// Values of a header, trimmed; `None` for each header field that is not ASCII.
fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = Option<&'a str>> {
    let fields = headers.get_all(name).iter();
    fields.flat_map(|field| {
        // The error's details don't matter: a field with other bytes than visible ASCII counts like
        // a value that can't be parsed.
        let text = field.to_str().ok();
        let parts = text.map(|text| text.split(',').map(str::trim));
        let is_unreadable = text.is_none();
        parts.into_iter().flatten().map(Some).chain(is_unreadable.then_some(None))
    })
}
