//! Tickets: the right to dispatch a request that may not be retried.
//!
//! A ticket names one holder (a daemon incarnation), one witness (another one, in a
//! different availability zone) and a sequence number. Only the holder ever
//! dispatches, once, and only after the witness has written down its consent. If the
//! holder is gone, the witness seals the ticket: if it had not consented, the request
//! provably did not run and never will; if it had, the holder may have dispatched.
//! Nothing here depends on a timeout or on agreement about who is alive.

mod ledger;
mod ticket_id;
mod witness;

use std::time::Duration;

pub use super::tickets::{
    ledger::{TicketLedger, TicketUse},
    ticket_id::{TicketError, TicketId},
    witness::{ConsentVerdict, SealVerdict, SettledResponse, WitnessLedger},
};

/// How long holder and witness remember a ticket: far longer than a client waits for its response.
pub const TICKET_KEEP: Duration = Duration::from_secs(3_600);
/// Most tickets remembered in each ledger; older ones are dropped first. Several hours of tickets
/// at the target load.
const LEDGER_LIMIT: usize = 200_000;
