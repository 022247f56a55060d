//! The witness's ledger: consent to a ticket is given once, and never after the ticket was sealed.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{LEDGER_LIMIT, TICKET_KEEP, TicketId};
use crate::{ids::IncarnationId, native::request::outcome::FinalResponse};

/// A witness's result for a holder that asks for consent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsentVerdict {
    /// Consent is recorded: the holder may dispatch the request, once.
    Granted,
    /// Refused: the ticket was sealed before, or is too old.
    Sealed,
    /// Refused: consent was given before.
    AlreadyGranted,
}

/// A witness's result for a daemon that seals a ticket because the holder is gone.
#[derive(Clone, Debug, PartialEq)]
pub enum SealVerdict {
    /// The request was not dispatched and never will be.
    NotDispatched,
    /// The holder may have dispatched the request; the witness has no response from it.
    MayHaveRun,
    /// The final response that the holder reported.
    Ended(SettledResponse),
}

/// Final response that a holder reports to the witness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettledResponse {
    /// Digest of the call.
    pub digest: [u8; 32],
    /// The final response.
    #[serde(rename = "answer")]
    pub response: FinalResponse,
}

#[derive(Clone, Debug, PartialEq)]
enum WitnessedState {
    Granted,
    Sealed,
    Settled(SettledResponse),
}

/// Ledger of the tickets for which one incarnation is the witness.
#[derive(Debug, Default)]
pub struct WitnessLedger {
    holders: HashMap<IncarnationId, WitnessedHolder>,
}

#[derive(Debug, Default)]
struct WitnessedHolder {
    /// Tickets up to this sequence number may have been dropped. They get no consent, and sealing
    /// them does not prove that they did not run.
    forgotten_up_to: u64,
    /// By sequence and scope.
    tickets: BTreeMap<(u64, u64), (Instant, WitnessedState)>,
}

impl WitnessLedger {
    /// Gives or refuses consent to dispatch `ticket`.
    pub fn consent(&mut self, ticket: TicketId, now: Instant) -> ConsentVerdict {
        let holder = self.holders.entry(ticket.holder).or_default();
        holder.forget_old(now);
        if ticket.sequence <= holder.forgotten_up_to {
            return ConsentVerdict::Sealed;
        }
        match holder.tickets.get(&(ticket.sequence, ticket.scope)) {
            None => {
                let key = (ticket.sequence, ticket.scope);
                holder.tickets.insert(key, (now, WitnessedState::Granted));
                ConsentVerdict::Granted
            }
            Some((_, WitnessedState::Sealed)) => ConsentVerdict::Sealed,
            Some(_) => ConsentVerdict::AlreadyGranted,
        }
    }

    /// Seals `ticket` unless consent was given before.
    pub fn seal(&mut self, ticket: TicketId, now: Instant) -> SealVerdict {
        let holder = self.holders.entry(ticket.holder).or_default();
        holder.forget_old(now);
        if ticket.sequence <= holder.forgotten_up_to {
            return SealVerdict::MayHaveRun;
        }
        let entry = holder.tickets.entry((ticket.sequence, ticket.scope));
        let (_, state) = entry.or_insert((now, WitnessedState::Sealed));
        match state {
            WitnessedState::Sealed => SealVerdict::NotDispatched,
            WitnessedState::Granted => SealVerdict::MayHaveRun,
            WitnessedState::Settled(response) => SealVerdict::Ended(response.clone()),
        }
    }

    /// Stores the final response that the holder reports.
    pub fn settle(&mut self, ticket: TicketId, response: SettledResponse, now: Instant) {
        let holder = self.holders.entry(ticket.holder).or_default();
        if ticket.sequence > holder.forgotten_up_to {
            let key = (ticket.sequence, ticket.scope);
            holder.tickets.insert(key, (now, WitnessedState::Settled(response)));
        }
    }

    /// Number of tickets in the ledger.
    pub fn ticket_count(&self) -> usize {
        self.holders.values().map(|holder| holder.tickets.len()).sum()
    }
}

impl WitnessedHolder {
    /// Drops the oldest tickets while they are expired or too many.
    fn forget_old(&mut self, now: Instant) {
        loop {
            let over_limit = self.tickets.len() > LEDGER_LIMIT;
            let Some(entry) = self.tickets.first_entry() else { return };
            let (recorded_at, _) = entry.get();
            let expired = now.saturating_duration_since(*recorded_at) > TICKET_KEEP;
            if !expired && !over_limit {
                return;
            }
            let ((sequence, _), _) = entry.remove_entry();
            self.forgotten_up_to = sequence;
        }
    }
}
