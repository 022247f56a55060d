//! Encodes and decodes what daemons tell each other about streams.

use std::time::Duration;

use capnp::Error;

use crate::{
    exchange_capnp::{stream_report, stream_start},
    gateway::policy::request::stream_origin::{OriginReport, StreamKey, StreamStart},
};

/// Writes a report into the answer to another daemon.
pub fn write_report(mut target: stream_report::Builder<'_>, key: StreamKey, report: &OriginReport) {
    if let Some((start, age)) = &report.recorded {
        target.set_has_record(true);
        write_start(target.reborrow().init_start(), key, start);
        target.set_age_ms(u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
    }
    if let Some(version) = &report.only_version {
        target.set_only_version(&**version);
    }
    target.set_has_several(report.has_several);
}

/// Reads a report.
///
/// # Errors
///
/// The message is malformed.
pub fn read_report(source: stream_report::Reader<'_>) -> Result<OriginReport, Error> {
    let recorded = match source.get_has_record() {
        true => {
            let age = Duration::from_millis(u64::from(source.get_age_ms()));
            Some((read_start(source.get_start()?)?, age))
        }
        false => None,
    };
    let only_version = source.get_only_version()?.to_str()?;
    Ok(OriginReport {
        recorded,
        only_version: (!only_version.is_empty()).then(|| only_version.into()),
        has_several: source.get_has_several(),
    })
}

/// Writes where a stream was begun.
pub fn write_start(mut target: stream_start::Builder<'_>, key: StreamKey, start: &StreamStart) {
    target.set_stream(key.0);
    target.set_service(&*start.service);
    target.set_version(&*start.version);
}

/// Reads where a stream was begun.
///
/// # Errors
///
/// The message is malformed.
pub fn read_start(source: stream_start::Reader<'_>) -> Result<StreamStart, Error> {
    Ok(StreamStart {
        service: source.get_service()?.to_str()?.into(),
        version: source.get_version()?.to_str()?.into(),
    })
}
