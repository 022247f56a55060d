//! The name of a ticket, as clients and peers carry it.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::ids::{IncarnationId, hash_parts};

/// First part of a ticket's text: its form and version.
const PREFIX: &str = "wt1";

/// Name of the right to dispatch one request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("wt1.{holder}.{witness}.{sequence:x}.{scope:x}")]
pub struct TicketId {
    /// Incarnation that alone may dispatch.
    pub holder: IncarnationId,
    /// Incarnation whose consent it needs; the holder itself where it is alone.
    pub witness: IncarnationId,
    /// Running number within the holder.
    pub sequence: u64,
    /// Hash of the client account it was issued to; nobody else can use or seal it.
    pub scope: u64,
}

impl TicketId {
    /// Scope of the tickets of `account`.
    pub fn scope_of(account: &str) -> u64 {
        hash_parts(&[b"ticket-scope", account.as_bytes()])
    }
}

/// The text is not a ticket.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a ticket")]
pub struct TicketError;

impl FromStr for TicketId {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let parts: Vec<&str> = text.split('.').collect();
        let [PREFIX, holder, witness, sequence, scope] = parts.as_slice() else {
            return Err(TicketError);
        };
        let number = |part: &str| u64::from_str_radix(part, 16).map_err(|_| TicketError);
        Ok(Self {
            holder: IncarnationId(number(holder)?),
            witness: IncarnationId(number(witness)?),
            sequence: number(sequence)?,
            scope: number(scope)?,
        })
    }
}
