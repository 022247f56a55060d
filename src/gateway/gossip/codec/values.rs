//! Decodes texts, addresses and other values of gossip messages, and checks the lengths of lists.

use std::{net::SocketAddr, time::Duration};

use capnp::Error;

use crate::{
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

/// Maximum number of entries of a list: far more than any fleet needs. Bounds what a faulty peer
/// can make this daemon allocate.
const MAX_LIST_LENGTH: u32 = 65_536;

pub fn read_text(reader: capnp::text::Reader<'_>) -> Result<SharedName, Error> {
    let text = reader.to_str().map_err(|_| Error::failed("malformed text".into()))?;
    Ok(text.into())
}

pub fn read_address(reader: capnp::text::Reader<'_>) -> Result<SocketAddr, Error> {
    let text = reader.to_str().map_err(|_| Error::failed("malformed text".into()))?;
    text.parse().map_err(|_| Error::failed("malformed address".into()))
}

/// A store position. Daemons of the previous release send no era.
pub fn read_position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), revision)
}

pub fn check_length(length: u32) -> Result<(), Error> {
    match length <= MAX_LIST_LENGTH {
        true => Ok(()),
        false => Err(Error::failed("list too long".into())),
    }
}

/// An age in milliseconds, capped at `u32::MAX`.
pub fn to_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// An age from its milliseconds.
pub fn from_ms(age: u32) -> Duration {
    Duration::from_millis(u64::from(age))
}
