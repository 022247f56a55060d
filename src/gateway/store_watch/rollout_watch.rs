//! Keeps the operators' orders of roll-outs up to date.
//!
//! Runs only in deployments whose settings bound the exposure to a bad version. An order that can't
//! be decoded is logged; the version that the former one named is not used any longer.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use super::{RetryPauses, wait_until_watcher};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{context::GatewayContext, gossip::rollouts::log_order},
    ids::SharedName,
    platform::{
        rollouts::{ROLLOUT_KIND, decode_order, decode_state},
        store::{ObjectChange, StoredObject, WatchResult},
    },
    store_position::StorePosition,
};

/// Name of the service.
pub const NAME: &str = "rollout-watch";
/// How long a watch waits for a change. Orders are rare, and endpoints of an unknown version cause a
/// read at once (`endpoint_watch`).
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time after its start in which a daemon doesn't list the orders: until it has heard of its peers, every
/// daemon takes itself for a watcher.
const SETTLING_TIME: Duration = Duration::from_millis(1_200);

/// Keeps the orders up to date until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    if context.settings.bounds.exposure.is_none() {
        return std::future::pending().await;
    }
    sleep(SETTLING_TIME).await;
    let mut pauses = RetryPauses::default();
    let mut position = None;
    loop {
        if wait_until_watcher(&context).await {
            position = None;
        }
        match make_call(&context, position).await {
            Ok(next) => {
                pauses.succeeded(&context);
                position = next;
            }
            Err(error) => {
                position = None;
                pauses.failed(&context, &error).await;
            }
        }
    }
}

/// Watches from `position`, or lists all orders. Returns the position to watch from next.
async fn make_call(
    context: &GatewayContext,
    position: Option<StorePosition>,
) -> Result<Option<StorePosition>, StepError> {
    let Some(position) = position else { return read_all(context).await.map(Some) };
    match context.store.watch(ROLLOUT_KIND, position, WATCH_WAIT).await? {
        WatchResult::HistoryGone => Ok(None),
        WatchResult::Changes(changes, next) => {
            for change in &changes {
                match change {
                    ObjectChange::Written(object) => observe_order(context, object),
                    ObjectChange::Gone(service) => withdraw(context, service, next),
                }
            }
            Ok(Some(next))
        }
    }
}

/// Lists all orders and applies them. Returns the store's position.
///
/// # Errors
///
/// A call failed.
pub async fn read_all(context: &GatewayContext) -> Result<StorePosition, StepError> {
    let listing = context.store.list(ROLLOUT_KIND).await?;
    for object in &listing.objects {
        observe_order(context, object);
    }
    let listed: Vec<SharedName> =
        listing.objects.iter().map(|object| object.name.clone()).collect();
    let now = boot_clock::now();
    context.rollouts.borrow_mut().retain_listed(&listed, listing.position, now);
    Ok(listing.position)
}

/// Applies an order as the store holds it.
pub fn observe_order(context: &GatewayContext, object: &StoredObject) {
    let now = boot_clock::now();
    let order = match decode_order(object) {
        Ok(order) => order,
        Err(error) => {
            spdlog::error!("roll-out not decoded: {}", error, kv: {
                service: = object.name, position: = object.position
            });
            return withdraw(context, &object.name, object.position);
        }
    };
    let service = order.service.clone();
    let mut rollouts = context.rollouts.borrow_mut();
    let is_new = rollouts.observe_order(order, object.position, decode_state(object), now);
    if let Some(known) = rollouts.of_service(&service).filter(|_| is_new) {
        log_order(known, "store");
    }
}

fn withdraw(context: &GatewayContext, service: &str, position: StorePosition) {
    let now = boot_clock::now();
    context.rollouts.borrow_mut().withdraw(service, position, now);
}
