//! Encodes and decodes which services are brittle.

use capnp::{Error, struct_list};

use super::values::{check_length, from_ms, read_text, to_ms};
use crate::{exchange_capnp::brittle_service, gateway::gossip::messages::ReportedBrittle};

/// Encodes services into a list of the same length.
pub fn write_brittle(
    mut target: struct_list::Builder<'_, brittle_service::Owned>,
    brittle: &[ReportedBrittle],
) {
    for (index, reported) in brittle.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_service(&*reported.service);
        entry.set_age_ms(to_ms(reported.age));
    }
}

/// Decodes a list of services.
///
/// # Errors
///
/// Fails if the list is too long or a name is malformed.
pub fn read_brittle(
    source: struct_list::Reader<'_, brittle_service::Owned>,
) -> Result<Vec<ReportedBrittle>, Error> {
    check_length(source.len())?;
    let read = |entry: brittle_service::Reader<'_>| {
        let service = read_text(entry.get_service()?)?;
        Ok(ReportedBrittle { service, age: from_ms(entry.get_age_ms()) })
    };
    source.iter().map(read).collect()
}
