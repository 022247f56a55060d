//! Admission of new requests on the native path.
//!
//! A request is refused if, checked in this order, the daemon is leaving, the daemon already runs as
//! many requests as its settings allow, the account is not in the table, or the account's quota
//! (`decide::limits`) is used up. The first check that fails gives the reason. A request that is
//! taken over was admitted before and is not checked again.
//!
//! Inputs are this daemon's own state and its current table. A daemon without a table refuses.

use std::{rc::Rc, time::Duration};

use crate::{
    kernel::SendError,
    native::{
        decide::limits::{LimitVerdict, RequestPriority},
        request::{call::ClientCall, outcome::NotRunReason},
        serve::{RETRY_AFTER, context::ServeContext, services::limit_service::LimitMessage},
    },
};

/// Retry-after while this daemon is leaving: another daemon can take the request at once.
const RETRY_ELSEWHERE: Duration = Duration::ZERO;

/// Whether a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It may start, with this priority.
    Admitted(RequestPriority),
    /// It may not start.
    Refused {
        /// Reason of the refusal.
        reason: NotRunReason,
        /// When the client may retry.
        retry_after: Duration,
    },
}

/// Decides whether a new request may start.
pub async fn admit(
    context: &Rc<ServeContext>,
    call: &ClientCall,
) -> Result<AdmissionVerdict, SendError> {
    let refused = |reason, retry_after| Ok(AdmissionVerdict::Refused { reason, retry_after });
    if context.is_leaving() {
        return refused(NotRunReason::Draining, RETRY_ELSEWHERE);
    }
    if context.active.get() >= context.settings.request_limit {
        return refused(NotRunReason::Overloaded, RETRY_AFTER);
    }
    let Some(row) = context.table().account(&call.account) else {
        return refused(NotRunReason::NoTable, RETRY_AFTER);
    };
    let verdict = context.limits.ask(|reply| LimitMessage::Admit {
        account: call.account.clone(),
        weight: row.weight,
        tokens: call.expected_tokens(),
        limit: row.tokens_per_s,
        reply,
    });
    match verdict.await? {
        LimitVerdict::Admitted(priority) => Ok(AdmissionVerdict::Admitted(priority)),
        LimitVerdict::Refused(wait) => refused(NotRunReason::AccountLimit, wait),
    }
}
