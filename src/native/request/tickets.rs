//! Tickets: the right to dispatch a request that may not be retried.
//!
//! A ticket names one holder (a daemon incarnation), one witness (another incarnation, in a
//! different availability zone) and a sequence number. Only the holder may dispatch the request,
//! once, and only after the witness has recorded its consent. If the holder is gone, the witness
//! seals the ticket. If it had not consented before, the request provably did not run and never
//! will; if it had, the holder may have dispatched the request. Correctness depends neither on
//! timeouts nor on agreement about which daemons are alive.

mod ledger;
mod ticket_id;
mod witness;

use std::time::Duration;

pub use super::tickets::{
    ledger::{TicketLedger, TicketUse},
    ticket_id::{TicketError, TicketId},
    witness::{ConsentVerdict, SealVerdict, SettledResponse, WitnessLedger},
};

/// How long holder and witness keep a ticket: far longer than a client waits for its response.
pub const TICKET_KEEP: Duration = Duration::from_secs(3_600);
/// Most tickets kept in each ledger, which are several hours of tickets at the target load. The
/// oldest are dropped first.
const LEDGER_LIMIT: usize = 200_000;
