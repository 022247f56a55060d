//! Reads what an endpoint says of itself in its responses: that it drains, asks for a back-off, or
//! takes only so many requests.
//!
//! | header | read on | values | others |
//! |---|---|---|---|
//! | `Server-Leaving` | all responses | `1` | not said |
//! | `Retry-After` | 503, executed or not | seconds from 0 up, with a fraction or without | not said |
//! | `Server-Limit` | all responses | requests a second from 0 up, with a fraction or without | can't be read |
//!
//! A header may stand there several times, or hold several values with commas between them: one `1`
//! is enough, the longest time counts, and the least limit. A date is no number of seconds: the
//! clocks of endpoints aren't compared with the own one.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{self, HeaderName},
};

use super::headers::{DRAINING, LIMIT};
use crate::gateway::request::response_meaning::{EndpointSignals, LimitSignal};

/// Value of `Server-Leaving` by which an endpoint says that it drains.
const DRAINS: &str = "1";

/// Reads the signals of a response that is the endpoint's own.
pub fn read_signals(status: StatusCode, headers: &HeaderMap) -> EndpointSignals {
    let is_draining = values(headers, &DRAINING).any(|value| value == Some(DRAINS));
    let may_back_off = status == StatusCode::SERVICE_UNAVAILABLE;
    let backoff = may_back_off.then(|| read_backoff(headers)).flatten();
    let limit = read_limit(headers);
    let is_draining_unread = !is_draining && headers.contains_key(DRAINING);
    let is_backoff_unread =
        may_back_off && backoff.is_none() && headers.contains_key(header::RETRY_AFTER);
    let is_limit_unread = limit == LimitSignal::Unreadable;
    let is_unreadable = is_draining_unread || is_backoff_unread || is_limit_unread;
    EndpointSignals { is_draining, backoff, limit, is_unreadable }
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
        // Fails on what is negative, infinite or not a number.
        .filter_map(|seconds| Duration::try_from_secs_f64(seconds).ok());
    seconds.max()
}

/// Values of a header, without the spaces around them; none for one that is not ASCII.
fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = Option<&'a str>> {
    let fields = headers.get_all(name).iter();
    fields.flat_map(|field| {
        // Text that is not ASCII is a value that cannot be read.
        let text = field.to_str().ok();
        let parts = text.map(|text| text.split(',').map(str::trim));
        let is_unreadable = text.is_none();
        parts.into_iter().flatten().map(Some).chain(is_unreadable.then_some(None))
    })
}
