//! Claims: the objects that bind a client's own key to a ticket.
//!
//! A claim is written on condition that nobody wrote it before. If the response to the write is
//! lost, reading back tells which ticket the key is bound to.

use std::{rc::Rc, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::HOLDER_RETRY;
use crate::{
    errors::FailureCause,
    ids::{SharedName, hash_parts},
    native::{
        cloud_api::client::WriteCondition,
        request::{
            call::ClientCall,
            outcome::{NotRunReason, UndispatchedCall},
            tickets::{TicketId, TicketUse},
        },
        serve::{RETRY_AFTER, context::ServeContext, services::ticket_service::TicketMessage},
    },
};

/// Kind of the objects that bind a client's key to a ticket.
const CLAIM_KIND: &str = "claims";
/// Tries to settle a claim whose write's response was lost: bounds what one client waits in an
/// outage.
const CLAIM_TRIES: u32 = 4;
/// The n-th read after a lost write comes n times `HOLDER_RETRY`, divided by this, later.
const CLAIM_RETRY_PART: u32 = 4;

/// Value of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClaimRecord {
    ticket: String,
}

/// Name of the claim on a key; keys may hold characters that object names may not.
pub fn claim_name(account: &SharedName, key: &str) -> String {
    let hash = |salt: &[u8]| hash_parts(&[salt, account.as_bytes(), key.as_bytes()]);
    format!("{:016x}{:016x}", hash(b"claim-high"), hash(b"claim-low"))
}

/// Binds a claim to `own`, or finds what it is bound to, with its version. A write
/// whose response was lost is settled by reading back.
pub async fn claim(
    context: &Rc<ServeContext>,
    object: &str,
    own: TicketId,
    condition: WriteCondition,
) -> Result<(TicketId, u64), ()> {
    let record = ClaimRecord { ticket: own.to_string() };
    // This type always serializes.
    let value = serde_json::to_value(&record).unwrap_or_default();
    context.metrics.count("claims", 1);
    match context.platform.write_object(CLAIM_KIND, object, &value, condition).await {
        Ok(receipt) => return Ok((own, receipt.version)),
        // Nothing was sent.
        Err(error) if matches!(error.cause, FailureCause::Unreachable(_)) => return Err(()),
        // A rate limit or an outage means no effect, but a proxy on the way may say so too: only
        // reading back can tell.
        Err(_) => {}
    }
    for retry in 0..CLAIM_TRIES {
        sleep(HOLDER_RETRY * retry / CLAIM_RETRY_PART).await;
        let Ok(entry) = context.platform.read_object(CLAIM_KIND, object).await else { continue };
        let Some(value) = entry.value else { return Err(()) };
        let Ok(found) = serde_json::from_value::<ClaimRecord>(value) else { return Err(()) };
        return found.ticket.parse().map(|ticket| (ticket, entry.version)).map_err(|_| ());
    }
    Err(())
}

/// Spends a ticket that was not used.
pub async fn abandon(context: &Rc<ServeContext>, ticket: TicketId, call: &Arc<ClientCall>) {
    let digest = call.digest();
    let begin = context.tickets.ask(|reply| TicketMessage::Begin { ticket, digest, reply });
    if matches!(begin.await, Ok(TicketUse::Granted)) {
        let undispatched = UndispatchedCall::new(call.clone());
        let response = undispatched.refuse(NotRunReason::ClaimFailed, RETRY_AFTER);
        // If the ledger is overloaded, the ticket stays begun and is never dispatched.
        let _ = context.tickets.send(TicketMessage::End { ticket, response });
    }
}
