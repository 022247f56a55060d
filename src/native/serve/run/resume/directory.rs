//! Asks peers who runs a request and which tokens it has.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;

use super::mirror::{apply_update, read_state};
use crate::{
    ids::RequestName,
    native::{
        cluster::events::PeerTarget, request::copy::RequestCopy, serve::context::ServeContext,
    },
};

/// Longest wait for a directory peer before the request continues without it: short compared with
/// the time to a first token.
const OFFER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for a partner of a lost holder to send its copy: twice the wait for a directory peer,
/// since the copy includes tokens.
const RECOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of partners of a lost holder that are asked: one more than the holder sends to, since the
/// members may have changed.
const PARTNERS_ASKED: usize = 3;

/// Reports to the directory peers of a request that this daemon runs it. Returns the peers that
/// stored the entry and, if any of them knows a state that takes precedence, that state.
pub async fn offer_to_directory(
    context: &Rc<ServeContext>,
    copy: &RequestCopy,
) -> (Vec<PeerTarget>, Option<RequestCopy>) {
    let entry = RequestCopy { tokens: Vec::new(), first_token: 0, ..copy.clone() };
    let targets = context.directory_targets(&copy.name);
    let offers =
        targets.iter().map(|target| timeout(OFFER_TIMEOUT, context.pool.offer(target, &entry)));
    let answers = futures::future::join_all(offers).await;
    let mut taken = Vec::new();
    let mut known: Option<RequestCopy> = None;
    for (target, response) in targets.into_iter().zip(answers) {
        match response {
            Ok(Ok(None)) => taken.push(target),
            Ok(Ok(Some(state))) => {
                let has_precedence =
                    known.as_ref().is_none_or(|known| precedence(&state) > precedence(known));
                if has_precedence {
                    known = Some(state);
                }
            }
            // A directory peer that fails is counted; the request goes on without it.
            Ok(Err(_)) | Err(_) => {
                context.metrics.count("copy_offers_failed", 1);
            }
        }
    }
    (taken, known)
}

/// Precedence among states of a request: a complete response first, then the later take-over.
pub fn precedence(copy: &RequestCopy) -> (bool, u32) {
    let answered = copy.response.as_ref().is_some_and(|response| response.is_answered());
    (answered, copy.takeovers)
}

/// Fetches the copies that the partners of a lost holder have, before this daemon takes over.
pub async fn fetch_from_partners(context: &Rc<ServeContext>, name: &RequestName) {
    let Some(own) = read_state(context, name).await else { return };
    let partners = context.partner_targets(own.holder.incarnation, PARTNERS_ASKED);
    let asked = partners.iter().map(|partner| {
        timeout(
            RECOVER_TIMEOUT,
            context.pool.attach(partner, name, own.first_token, Duration::ZERO),
        )
    });
    for response in futures::future::join_all(asked).await {
        if let Ok(Ok(Some(copy))) = response {
            apply_update(context, copy).await;
        }
    }
}
