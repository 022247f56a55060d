//! Keeps the operators' orders of roll-outs up to date.
//!
//! Runs only in deployments whose settings bound the exposure to a bad version, and only at the elected
//! watchers: daemons that stand in for them read the orders when endpoints of a new version appear. An
//! order that can't be decoded is logged; the version that the former one named is not used any longer.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use super::WATCHER_CHECK_INTERVAL;
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{
        context::GatewayContext, gossip::rollouts::log_order,
        policy::daemon::store_watchers::StoreWatch,
    },
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
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call. The watches of the configuration and the endpoints find out when the store
/// is back.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the orders up to date until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    if context.settings.bounds.exposure.is_none() {
        return std::future::pending().await;
    }
    let mut position = None;
    loop {
        if wait_until_elected(&context).await {
            position = None;
        }
        match make_call(&context, position).await {
            Ok(next) => position = next,
            Err(error) => {
                spdlog::warn!("roll-outs not read: {}", error);
                position = None;
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Waits until this daemon is an elected watcher of a store that responds. Returns whether it had to wait.
async fn wait_until_elected(context: &GatewayContext) -> bool {
    let mut has_waited = false;
    while context.store_watch.get() != Some(StoreWatch::Elected)
        || context.store_fails(boot_clock::now())
    {
        has_waited = true;
        sleep(WATCHER_CHECK_INTERVAL).await;
    }
    has_waited
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
    let mut listed: Vec<SharedName> = Vec::new();
    let observe = |object: StoredObject| {
        observe_order(context, &object);
        listed.push(object.name);
    };
    let position = context.store.list(ROLLOUT_KIND, observe).await?;
    let now = boot_clock::now();
    context.rollouts.borrow_mut().retain_listed(&listed, position, now);
    Ok(position)
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
