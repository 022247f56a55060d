//! The id of a ticket, in the form that clients and peers send.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::ids::{IncarnationId, hash_parts};

/// First part of a ticket's text: its format and version.
const PREFIX: &str = "wt1";

/// Id of a ticket, which is the right to dispatch one request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("wt1.{holder}.{witness}.{sequence:x}.{scope:x}")]
pub struct TicketId {
    /// The only incarnation that may dispatch.
    pub holder: IncarnationId,
    /// Incarnation whose consent is needed; the holder itself if there is no other daemon.
    pub witness: IncarnationId,
    /// Sequence number among the holder's tickets.
    pub sequence: u64,
    /// Hash of the client account to which it was issued; no other account can use or seal it.
    pub scope: u64,
}

impl TicketId {
    /// Returns the scope of the tickets of `account`.
    pub fn scope_of(account: &str) -> u64 {
        hash_parts(&[b"ticket-scope", account.as_bytes()])
    }
}

/// Error for a text that is not a ticket.
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
