//! Encodes and decodes the request limits of endpoints.

use capnp::{Error, struct_list};

use super::values::{check_length, from_ms, to_ms};
use crate::{
    exchange_capnp::endpoint_limit,
    gateway::{gossip::messages::ReportedLimit, policy::endpoint::signal_ledger::NumberedStart},
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
