//! The witness's side: consent is given once, or never after a seal.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{LEDGER_LIMIT, TICKET_KEEP, TicketId};
use crate::{ids::IncarnationId, native::request::outcome::FinalResponse};

/// Verdict of a witness on a request for consent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsentVerdict {
    /// Written down: the holder may dispatch, once.
    Granted,
    /// Refused: the ticket was sealed before, or is too old.
    Sealed,
    /// Refused: consent was given before.
    AlreadyGranted,
}

/// Verdict of a witness when somebody finds the holder gone.
#[derive(Clone, Debug, PartialEq)]
pub enum SealVerdict {
    /// Never dispatched, and never will be.
    NotDispatched,
    /// The holder may have dispatched; its response has not arrived here.
    MayHaveRun,
    /// The holder's final response.
    Ended(SettledResponse),
}

/// Final response as the holder reports it to the witness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettledResponse {
    /// Digest of the call it answers.
    pub digest: [u8; 32],
    /// The response.
    #[serde(rename = "answer")]
    pub response: FinalResponse,
}

#[derive(Clone, Debug, PartialEq)]
enum WitnessedState {
    Granted,
    Sealed,
    Settled(SettledResponse),
}

/// What one incarnation has witnessed for others.
#[derive(Debug, Default)]
pub struct WitnessLedger {
    holders: HashMap<IncarnationId, WitnessedHolder>,
}

#[derive(Debug, Default)]
struct WitnessedHolder {
    /// Sequences up to this one may have been dropped: nothing is granted or denied.
    forgotten_up_to: u64,
    /// By sequence and scope.
    tickets: BTreeMap<(u64, u64), (Instant, WitnessedState)>,
}

impl WitnessLedger {
    /// Asks for consent to dispatch `ticket`.
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

    /// Seals `ticket` unless consent was given.
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

    /// Keeps the final response that the holder reports.
    pub fn settle(&mut self, ticket: TicketId, response: SettledResponse, now: Instant) {
        let holder = self.holders.entry(ticket.holder).or_default();
        if ticket.sequence > holder.forgotten_up_to {
            let key = (ticket.sequence, ticket.scope);
            holder.tickets.insert(key, (now, WitnessedState::Settled(response)));
        }
    }

    /// Number of remembered tickets.
    pub fn ticket_count(&self) -> usize {
        self.holders.values().map(|holder| holder.tickets.len()).sum()
    }
}

impl WitnessedHolder {
    fn forget_old(&mut self, now: Instant) {
        loop {
            let over_limit = self.tickets.len() > LEDGER_LIMIT;
            let Some(entry) = self.tickets.first_entry() else { return };
            let (written_at, _) = entry.get();
            let expired = now.saturating_duration_since(*written_at) > TICKET_KEEP;
            if !expired && !over_limit {
                return;
            }
            let ((sequence, _), _) = entry.remove_entry();
            self.forgotten_up_to = sequence;
        }
    }
}
