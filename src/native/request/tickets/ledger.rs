//! The holder's ledger, which lets each ticket be used once.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::{LEDGER_LIMIT, TICKET_KEEP, TicketId};
use crate::{ids::IncarnationId, native::request::outcome::FinalResponse};

/// State of a ticket at its holder.
#[derive(Clone, Debug, PartialEq)]
enum HeldState {
    Issued,
    Begun { digest: [u8; 32] },
    Ended { digest: Option<[u8; 32]>, response: FinalResponse },
}

/// Result of [`TicketLedger::begin`].
#[derive(Clone, Debug, PartialEq)]
pub enum TicketUse {
    /// The caller may dispatch the request. This is returned only once for each ticket.
    Granted,
    /// The request is in progress at this daemon.
    InProgress,
    /// The request has ended.
    Ended(FinalResponse),
    /// The ticket was used for a different request before.
    KeyReused,
    /// The ticket's record was dropped, or the ticket was not issued by this daemon.
    Forgotten,
}

/// Ledger of the tickets that one incarnation has issued and holds.
#[derive(Debug)]
pub struct TicketLedger {
    incarnation: IncarnationId,
    next_sequence: u64,
    held: BTreeMap<u64, HeldTicket>,
}

#[derive(Debug)]
struct HeldTicket {
    scope: u64,
    issued_at: Instant,
    state: HeldState,
}

impl TicketLedger {
    /// Creates the empty ledger of `incarnation`.
    pub fn new(incarnation: IncarnationId) -> Self {
        Self { incarnation, next_sequence: 1, held: BTreeMap::new() }
    }

    /// Issues a ticket of `scope` that needs the consent of `witness`.
    pub fn issue(&mut self, witness: IncarnationId, scope: u64, now: Instant) -> TicketId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let ticket = HeldTicket { scope, issued_at: now, state: HeldState::Issued };
        self.held.insert(sequence, ticket);
        self.forget_old(now);
        TicketId { holder: self.incarnation, witness, sequence, scope }
    }

    /// Uses a ticket for the call with this digest.
    pub fn begin(&mut self, ticket: TicketId, digest: [u8; 32]) -> TicketUse {
        let held = self.held.get_mut(&ticket.sequence);
        let Some(held) = held.filter(|held| held.scope == ticket.scope) else {
            return TicketUse::Forgotten;
        };
        let state = &mut held.state;
        match state {
            HeldState::Issued => {
                *state = HeldState::Begun { digest };
                TicketUse::Granted
            }
            HeldState::Begun { digest: other } if *other != digest => TicketUse::KeyReused,
            HeldState::Begun { .. } => TicketUse::InProgress,
            HeldState::Ended { digest: Some(other), .. } if *other != digest => {
                TicketUse::KeyReused
            }
            HeldState::Ended { response, .. } => TicketUse::Ended(response.clone()),
        }
    }

    /// Ends a ticket and keeps the response for later requests with the same ticket.
    pub fn end(&mut self, ticket: TicketId, response: FinalResponse) {
        if let Some(HeldTicket { state, .. }) = self.held.get_mut(&ticket.sequence) {
            let digest = match state {
                HeldState::Begun { digest } => Some(*digest),
                HeldState::Ended { .. } => return,
                HeldState::Issued => None,
            };
            *state = HeldState::Ended { digest, response };
        }
    }

    /// Final response of a ticket, if it has ended.
    pub fn ended(&self, ticket: TicketId) -> Option<FinalResponse> {
        match &self.held.get(&ticket.sequence)?.state {
            HeldState::Ended { response, .. } => Some(response.clone()),
            HeldState::Issued | HeldState::Begun { .. } => None,
        }
    }

    /// Number of tickets in the ledger.
    pub fn ticket_count(&self) -> usize {
        self.held.len()
    }

    /// Drops the oldest tickets while they are expired or too many, up to the first whose request
    /// is in progress.
    fn forget_old(&mut self, now: Instant) {
        loop {
            let over_limit = self.held.len() > LEDGER_LIMIT;
            let Some(entry) = self.held.first_entry() else { return };
            let held = entry.get();
            let expired = now.saturating_duration_since(held.issued_at) > TICKET_KEEP;
            let running = matches!(held.state, HeldState::Begun { .. });
            if running || !(expired || over_limit) {
                return;
            }
            entry.remove();
        }
    }
}
