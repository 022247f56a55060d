//! Tickets: the right to dispatch a request that may not be repeated.
//!
//! A ticket names one holder (a daemon incarnation), one witness (another one, in a
//! different availability zone) and a sequence number. Only the holder ever
//! dispatches, once, and only after the witness has written down its consent. If the
//! holder is gone, the witness seals the ticket: if it had not consented, the request
//! provably did not run and never will; if it had, the holder may have dispatched.
//! Nothing here depends on a timeout or on agreement about who is alive.

use std::{
    collections::{BTreeMap, HashMap},
    str::FromStr,
    time::Duration,
};

use derive_more::{Display, Error};
use tokio::time::Instant;

use super::outcome::FinalResponse;
use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, hash_parts};

/// How long holder and witness remember a ticket.
pub const TICKET_KEEP: Duration = Duration::from_secs(3_600);
/// Most tickets remembered; older ones are dropped first.
const LEDGER_LIMIT: usize = 200_000;
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

/// What the holder knows of one of its tickets.
#[derive(Clone, Debug, PartialEq)]
enum HeldState {
    Issued,
    Begun { digest: [u8; 32] },
    Ended { digest: Option<[u8; 32]>, response: FinalResponse },
}

/// Answer to a holder's attempt to use a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketUse {
    /// The caller of this function, and nobody else ever, may go on to dispatch.
    Granted,
    /// The request is under way here.
    InProgress,
    /// It has ended.
    Ended(FinalResponse),
    /// The ticket was used for a different request.
    KeyReused,
    /// The record was dropped, or the ticket was never issued here.
    Forgotten,
}

/// Ledger of the tickets that one incarnation holds.
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
    /// Empty ledger of `incarnation`.
    pub fn new(incarnation: IncarnationId) -> Self {
        Self { incarnation, next_sequence: 1, held: BTreeMap::new() }
    }

    /// Issues a ticket of `scope` whose consent `witness` gives.
    pub fn issue(&mut self, witness: IncarnationId, scope: u64, now: Instant) -> TicketId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let ticket = HeldTicket { scope, issued_at: now, state: HeldState::Issued };
        self.held.insert(sequence, ticket);
        self.forget_old(now);
        TicketId { holder: self.incarnation, witness, sequence, scope }
    }

    /// Uses a ticket for the call of this digest.
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

    /// Ends a ticket; its response is given to whoever asks again.
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

    /// Final response of a ticket that has ended.
    pub fn ended(&self, ticket: TicketId) -> Option<FinalResponse> {
        match &self.held.get(&ticket.sequence)?.state {
            HeldState::Ended { response, .. } => Some(response.clone()),
            HeldState::Issued | HeldState::Begun { .. } => None,
        }
    }

    /// Number of remembered tickets.
    pub fn ticket_count(&self) -> usize {
        self.held.len()
    }

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
