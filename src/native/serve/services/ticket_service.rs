//! Service that owns the ledgers of the tickets that this daemon holds and of those that it
//! witnesses.

use std::collections::HashMap;

use tokio::{sync::oneshot, time::Instant};

use super::send_reply;
use crate::{
    ids::IncarnationId,
    kernel::ServiceInbox,
    native::request::{
        outcome::FinalResponse,
        tickets::{
            ConsentVerdict, SealVerdict, SettledResponse, TicketId, TicketLedger, TicketUse,
            WitnessLedger,
        },
    },
};

/// Name of the service.
pub const NAME: &str = "tickets";

/// Messages to the service.
#[derive(Debug)]
pub enum TicketMessage {
    /// Issues a ticket.
    Issue {
        /// Daemon whose consent is needed to dispatch.
        witness: IncarnationId,
        /// Scope of the client account.
        scope: u64,
        /// Ticket.
        reply: oneshot::Sender<TicketId>,
    },
    /// Starts to use a ticket that this daemon holds.
    Begin {
        /// Ticket.
        ticket: TicketId,
        /// Digest of the call.
        digest: [u8; 32],
        /// Verdict.
        reply: oneshot::Sender<TicketUse>,
    },
    /// The request of a ticket that this daemon holds has ended.
    End {
        /// Ticket.
        ticket: TicketId,
        /// Outcome.
        response: FinalResponse,
    },
    /// Waits for the end of a request in progress whose ticket this daemon holds.
    Wait {
        /// Ticket.
        ticket: TicketId,
        /// Outcome.
        reply: oneshot::Sender<FinalResponse>,
    },
    /// A holder asks this daemon, the witness, for consent to dispatch.
    Consent {
        /// Ticket.
        ticket: TicketId,
        /// Verdict.
        reply: oneshot::Sender<ConsentVerdict>,
    },
    /// A daemon that cannot reach the holder wants the ticket sealed.
    Seal {
        /// Ticket.
        ticket: TicketId,
        /// Verdict.
        reply: oneshot::Sender<SealVerdict>,
    },
    /// A holder reports the outcome to this daemon, the witness.
    Settle {
        /// Ticket.
        ticket: TicketId,
        /// Outcome.
        settled: SettledResponse,
    },
    /// Counts the tickets.
    Gauge {
        /// Number of tickets held, and of tickets witnessed.
        reply: oneshot::Sender<(usize, usize)>,
    },
}

struct TicketService {
    held: TicketLedger,
    witnessed: WitnessLedger,
    waiting: HashMap<TicketId, Vec<oneshot::Sender<FinalResponse>>>,
}

/// Runs the service of the daemon `own`.
pub async fn run(mut inbox: ServiceInbox<TicketMessage>, own: IncarnationId) {
    let mut service = TicketService {
        held: TicketLedger::new(own),
        witnessed: WitnessLedger::default(),
        waiting: HashMap::new(),
    };
    while let Some(message) = inbox.recv().await {
        service.handle(message, Instant::now());
    }
}

impl TicketService {
    fn handle(&mut self, message: TicketMessage, now: Instant) {
        match message {
            TicketMessage::Issue { witness, scope, reply } => {
                send_reply(reply, self.held.issue(witness, scope, now));
            }
            TicketMessage::Begin { ticket, digest, reply } => {
                send_reply(reply, self.held.begin(ticket, digest));
            }
            TicketMessage::End { ticket, response } => {
                for waiting in self.waiting.remove(&ticket).into_iter().flatten() {
                    send_reply(waiting, response.clone());
                }
                self.held.end(ticket, response);
            }
            TicketMessage::Wait { ticket, reply } => match self.held.ended(ticket) {
                Some(response) => {
                    send_reply(reply, response);
                }
                None => self.waiting.entry(ticket).or_default().push(reply),
            },
            TicketMessage::Consent { ticket, reply } => {
                send_reply(reply, self.witnessed.consent(ticket, now));
            }
            TicketMessage::Seal { ticket, reply } => {
                send_reply(reply, self.witnessed.seal(ticket, now));
            }
            TicketMessage::Settle { ticket, settled } => {
                self.witnessed.settle(ticket, settled, now);
            }
            TicketMessage::Gauge { reply } => {
                send_reply(reply, (self.held.ticket_count(), self.witnessed.ticket_count()));
            }
        }
    }
}
