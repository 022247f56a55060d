//! Service that owns the ledgers of tickets held and tickets witnessed.

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

/// What the service is asked.
#[derive(Debug)]
pub enum TicketMessage {
    /// Issue a ticket.
    Issue {
        /// Whose consent it needs.
        witness: IncarnationId,
        /// Scope of the client account.
        scope: u64,
        /// Ticket.
        reply: oneshot::Sender<TicketId>,
    },
    /// Use a ticket that is held here.
    Begin {
        /// Ticket.
        ticket: TicketId,
        /// Digest of the call.
        digest: [u8; 32],
        /// Verdict.
        reply: oneshot::Sender<TicketUse>,
    },
    /// The request of a ticket held here has ended.
    End {
        /// Ticket.
        ticket: TicketId,
        /// Outcome.
        response: FinalResponse,
    },
    /// Wait for the end of a ticket held here that is in progress.
    Wait {
        /// Ticket.
        ticket: TicketId,
        /// Outcome.
        reply: oneshot::Sender<FinalResponse>,
    },
    /// A holder asks for consent.
    Consent {
        /// Ticket.
        ticket: TicketId,
        /// Verdict.
        reply: oneshot::Sender<ConsentVerdict>,
    },
    /// Somebody cannot reach the holder.
    Seal {
        /// Ticket.
        ticket: TicketId,
        /// Verdict.
        reply: oneshot::Sender<SealVerdict>,
    },
    /// A holder reports the end.
    Settle {
        /// Ticket.
        ticket: TicketId,
        /// Outcome.
        settled: SettledResponse,
    },
    /// Tickets held and witnessed.
    Gauge {
        /// Numbers.
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
