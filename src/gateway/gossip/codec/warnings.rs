//! Encodes and decodes warnings of endpoints.

use capnp::{Error, struct_list};

use super::values::{check_length, from_ms, to_ms};
use crate::{
    exchange_capnp::endpoint_warning,
    gateway::{
        gossip::messages::ReportedWarning,
        policy::endpoint::signal_ledger::{NumberedStart, WarningKind},
    },
};

/// Encodes warnings into a list of the same length.
pub fn write_warnings(
    mut target: struct_list::Builder<'_, endpoint_warning::Owned>,
    warnings: &[ReportedWarning],
) {
    for (index, warning) in warnings.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_endpoint(warning.start.endpoint);
        entry.set_born(warning.start.born);
        entry.set_age_ms(to_ms(warning.age));
        entry.set_drains(warning.kind == WarningKind::Draining);
        entry.set_failed(warning.kind == WarningKind::Failed);
    }
}

/// Decodes a list of warnings.
///
/// # Errors
///
/// Fails if the list is too long.
pub fn read_warnings(
    source: struct_list::Reader<'_, endpoint_warning::Owned>,
) -> Result<Vec<ReportedWarning>, Error> {
    check_length(source.len())?;
    let read = |entry: endpoint_warning::Reader<'_>| ReportedWarning {
        start: NumberedStart { endpoint: entry.get_endpoint(), born: entry.get_born() },
        kind: match (entry.get_drains(), entry.get_failed()) {
            (true, _) => WarningKind::Draining,
            (false, true) => WarningKind::Failed,
            (false, false) => WarningKind::NotServing,
        },
        age: from_ms(entry.get_age_ms()),
    };
    Ok(source.iter().map(read).collect())
}
