//! Follows a request that another daemon runs.

use std::{rc::Rc, time::Duration};

use futures::future::LocalBoxFuture;

use super::{follow, take_over};
use crate::{
    ids::RequestName,
    native::{
        cluster::events::PeerTarget,
        request::copy::RequestCopy,
        serve::{
            context::ServeContext,
            services::{copies::supersede, store_service::RequestMessage},
        },
    },
};

/// How long one call to a remote holder waits for an update. It returns early once there is an
/// update.
const ATTACH_WAIT: Duration = Duration::from_millis(1_000);

/// Keeps the local copy up to date from the holder; takes the request over if the holder is lost.
pub async fn mirror(context: Rc<ServeContext>, name: RequestName, holder: PeerTarget) {
    let lost = !follow_holder(&context, &name, &holder).await;
    context.mirrors.borrow_mut().remove(&name);
    let still_holder = match read_state(&context, &name).await {
        Some(own) => own.holder.incarnation == holder.incarnation,
        None => return,
    };
    if lost && still_holder {
        // A daemon that is leaving has closed its clients' connections. The clients ask another
        // daemon, which takes over instead.
        if !context.is_leaving() {
            // A refusal ends the request at this daemon; its clients read that from the store.
            let _ = take_over(&context, &name).await;
        }
    } else {
        follow_again(context, name).await;
    }
}

/// State of a request without its tokens.
pub async fn read_state(context: &Rc<ServeContext>, name: &RequestName) -> Option<RequestCopy> {
    let read = context.requests.ask(|reply| RequestMessage::Read {
        name: name.clone(),
        first_token: usize::MAX,
        reply,
    });
    read.await.ok().flatten()
}

/// Follows the current holder of a request, unless the request has ended or this daemon holds it.
/// Boxed because it is recursive through [`follow`].
pub fn follow_again(context: Rc<ServeContext>, name: RequestName) -> LocalBoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(copy) = read_state(&context, &name).await else { return };
        if copy.response.is_none() && copy.holder != context.holder() {
            // A failure leaves the request unchanged, and the next client's request tries again.
            let _ = follow(&context, copy).await;
        }
    })
}

/// Follows the holder until the request has ended or has another holder (`true`), or the holder is
/// lost (`false`).
async fn follow_holder(
    context: &Rc<ServeContext>,
    name: &RequestName,
    holder: &PeerTarget,
) -> bool {
    loop {
        let Some(own) = read_state(context, name).await else { return true };
        if own.response.is_some() || own.holder.incarnation != holder.incarnation {
            return true;
        }
        let attached = context.pool.attach(holder, name, own.first_token, ATTACH_WAIT).await;
        let Ok(Some(update)) = attached else { return false };
        if update.holder.incarnation != holder.incarnation {
            // Another daemon took over from the holder; the copy names it.
            supersede(context, update).await;
            return true;
        }
        if update.takeovers < own.takeovers {
            // The holder does not know yet that the request was taken over from it, so its state is
            // out of date.
            return false;
        }
        let ended = update.response.is_some();
        apply_update(context, update).await;
        if ended {
            return true;
        }
    }
}

/// Applies a peer's update if it is newer than the local state.
pub async fn apply_update(context: &Rc<ServeContext>, update: RequestCopy) {
    let offer = context.requests.ask(|reply| RequestMessage::Offer { copy: update, reply });
    // The verdict does not matter here. An update that an overloaded store does not accept is
    // fetched again by the next read.
    let _ = offer.await;
}
