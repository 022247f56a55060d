//! Claims: objects that bind a key that a client made up to a ticket.
//!
//! A claim is written on condition that it does not exist yet. If the response to the write is lost,
//! reading the object back shows which ticket the key is bound to.

use std::{rc::Rc, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::HOLDER_RETRY_INTERVAL;
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

/// Kind of claims in the object API.
const CLAIM_KIND: &str = "claims";
/// Most reads of a claim after the response to its write was lost: bounds how long a client waits
/// during an outage.
const CLAIM_READS: u32 = 4;
/// The n-th retry of that read waits n times `HOLDER_RETRY_INTERVAL`, divided by this.
const CLAIM_RETRY_DIVISOR: u32 = 4;

/// Value of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClaimRecord {
    ticket: String,
}

/// Name of the claim on a key: a hash, since keys may contain characters that object names may not.
pub fn claim_name(account: &SharedName, key: &str) -> String {
    let hash = |salt: &[u8]| hash_parts(&[salt, account.as_bytes(), key.as_bytes()]);
    format!("{:016x}{:016x}", hash(b"claim-high"), hash(b"claim-low"))
}

/// Binds a claim to the ticket `own`, and returns the ticket that it is bound to and the claim's
/// version. If the response to the write was lost, reads the claim back.
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
        // A rate limit or an outage reported by the object API means that nothing was written, but
        // a proxy may report the same after a write: only reading back can tell.
        Err(_) => {}
    }
    for retry in 0..CLAIM_READS {
        sleep(HOLDER_RETRY_INTERVAL * retry / CLAIM_RETRY_DIVISOR).await;
        let Ok(entry) = context.platform.read_object(CLAIM_KIND, object).await else { continue };
        let Some(value) = entry.value else { return Err(()) };
        let Ok(found) = serde_json::from_value::<ClaimRecord>(value) else { return Err(()) };
        return found.ticket.parse().map(|ticket| (ticket, entry.version)).map_err(|_| ());
    }
    Err(())
}

/// Uses up a ticket without dispatching its call.
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
