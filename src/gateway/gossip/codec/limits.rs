//! Encodes and decodes the request limits of endpoints, and lent tokens of them.

use capnp::{Error, struct_list};

use super::values::{check_length, from_ms, to_ms};
use crate::{
    exchange_capnp::{endpoint_limit, lent_tokens},
    gateway::{
        gossip::messages::{ReportedLimit, SentTokens},
        policy::endpoint::signal_ledger::NumberedStart,
    },
};

/// Encodes limits into a list of the same length.
pub fn write_limits(
    mut target: struct_list::Builder<'_, endpoint_limit::Owned>,
    limits: &[ReportedLimit],
) {
    for (index, reported) in limits.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_endpoint(reported.start.endpoint);
        entry.set_born(reported.start.born);
        entry.set_age_ms(to_ms(reported.age));
        if let Some(limit) = reported.limit {
            entry.set_is_limited(true);
            entry.set_limit(limit);
        }
    }
}

/// Decodes a list of limits.
///
/// # Errors
///
/// Fails if the list is too long or a limit is negative or not finite.
pub fn read_limits(
    source: struct_list::Reader<'_, endpoint_limit::Owned>,
) -> Result<Vec<ReportedLimit>, Error> {
    check_length(source.len())?;
    let read = |entry: endpoint_limit::Reader<'_>| {
        Ok(ReportedLimit {
            start: NumberedStart { endpoint: entry.get_endpoint(), born: entry.get_born() },
            limit: read_limit(&entry)?,
            age: from_ms(entry.get_age_ms()),
        })
    };
    source.iter().map(read).collect()
}

fn read_limit(entry: &endpoint_limit::Reader<'_>) -> Result<Option<f64>, Error> {
    let limit = entry.get_limit();
    match entry.get_is_limited() {
        false => Ok(None),
        true if limit.is_finite() && limit >= 0.0 => Ok(Some(limit)),
        true => Err(Error::failed("limit is no number of requests".into())),
    }
}

/// Encodes lent tokens into a list of the same length.
pub fn write_lent(mut target: struct_list::Builder<'_, lent_tokens::Owned>, lent: &[SentTokens]) {
    for (index, sent) in lent.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_endpoint(sent.start.endpoint);
        entry.set_born(sent.start.born);
        entry.set_tokens(sent.tokens);
    }
}

/// Decodes lent tokens.
///
/// # Errors
///
/// Fails if the list is too long or a number of tokens is negative or not finite.
pub fn read_lent(
    source: struct_list::Reader<'_, lent_tokens::Owned>,
) -> Result<Vec<SentTokens>, Error> {
    check_length(source.len())?;
    let read = |entry: lent_tokens::Reader<'_>| {
        let tokens = entry.get_tokens();
        if !(tokens.is_finite() && tokens >= 0.0) {
            return Err(Error::failed("lent tokens are no number of requests".into()));
        }
        let start = NumberedStart { endpoint: entry.get_endpoint(), born: entry.get_born() };
        Ok(SentTokens { start, tokens })
    };
    source.iter().map(read).collect()
}
