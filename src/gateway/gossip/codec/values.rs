//! Texts, addresses and lists of gossip messages, checked as they are read.

use std::{net::SocketAddr, time::Duration};

use capnp::Error;

use crate::{
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

/// Longest list that is read, in entries: far above any fleet, and bounds what a broken peer can
/// make us allocate.
const MAX_LIST_LENGTH: u32 = 65_536;

pub fn read_text(reader: capnp::text::Reader<'_>) -> Result<SharedName, Error> {
    let text = reader.to_str().map_err(|_| Error::failed("malformed text".into()))?;
    Ok(text.into())
}

pub fn read_address(reader: capnp::text::Reader<'_>) -> Result<SocketAddr, Error> {
    let text = reader.to_str().map_err(|_| Error::failed("malformed text".into()))?;
    text.parse().map_err(|_| Error::failed("malformed address".into()))
}

/// A position of the store; daemons of the last release name no era.
pub fn read_position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), revision)
}

pub fn check_length(length: u32) -> Result<(), Error> {
    match length <= MAX_LIST_LENGTH {
        true => Ok(()),
        false => Err(Error::failed("list too long".into())),
    }
}

/// Milliseconds of an age; the largest number for what is older.
pub fn to_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// The age of so many milliseconds.
pub fn from_ms(age: u32) -> Duration {
    Duration::from_millis(u64::from(age))
}
