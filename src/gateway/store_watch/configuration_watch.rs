//! Keeps the configuration up to date and records when it was last confirmed as the newest one.
//!
//! If a configuration can't be decoded, this is logged and the former one stays in use.

use std::rc::Rc;

use bytes::Bytes;
use tokio::time::Instant;

use super::{RetryPauses, wait_until_watcher};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{
        configuration_state::ConfigurationSource, context::GatewayContext,
        policy::daemon::store_watchers::watch_wait,
    },
    platform::{
        configuration::{CONFIGURATION_KIND, CONFIGURATION_NAME},
        store::{ObjectChange, StoredObject, WatchResult},
    },
    store_position::StorePosition,
};

/// Name of the service.
pub const NAME: &str = "configuration-watch";

/// Next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    /// Lists once, then watches.
    List,
    /// Lists repeatedly as long as each list returns a newer configuration.
    ListOften,
    /// Watches from this position.
    Watch(StorePosition),
}

/// Keeps the configuration up to date until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    let mut pauses = RetryPauses::default();
    let mut next = NextCall::List;
    loop {
        if wait_until_watcher(&context).await {
            next = NextCall::List;
        }
        match make_call(&context, next).await {
            Ok(following) => {
                pauses.succeeded(&context);
                next = following;
            }
            Err(error) => {
                next = NextCall::List;
                pauses.failed(&context, &error).await;
            }
        }
    }
}

/// Makes a call and returns the one to make next.
async fn make_call(context: &GatewayContext, call: NextCall) -> Result<NextCall, StepError> {
    match call {
        NextCall::List => Ok(NextCall::Watch(list_configuration(context).await?)),
        NextCall::ListOften => {
            let held = context.configuration.borrow().version();
            let listed = list_configuration(context).await?;
            let has_newer = context.configuration.borrow().version() > held;
            Ok(if has_newer { NextCall::ListOften } else { NextCall::Watch(listed) })
        }
        NextCall::Watch(position) => watch_configuration(context, position).await,
    }
}

/// Lists the configuration; returns the store's position.
async fn list_configuration(context: &GatewayContext) -> Result<StorePosition, StepError> {
    let asked_at = boot_clock::now();
    let apply = |object: StoredObject| {
        if &*object.name == CONFIGURATION_NAME {
            apply_configuration(context, &object, asked_at);
        }
    };
    context.store.list(CONFIGURATION_KIND, apply).await
}

/// Watches the configuration from `position`.
async fn watch_configuration(
    context: &GatewayContext,
    position: StorePosition,
) -> Result<NextCall, StepError> {
    let asked_at = boot_clock::now();
    let wait = watch_wait(context.settings.bounds.apply_limit);
    let untrusted_time_left = context.configuration.borrow().untrusted_time_left(asked_at);
    let wait = untrusted_time_left.map_or(wait, |left| left.min(wait));
    match context.store.watch(CONFIGURATION_KIND, position, wait).await? {
        WatchResult::HistoryGone => Ok(NextCall::List),
        WatchResult::Changes(changes, next) => {
            let written = changes.iter().filter_map(written_configuration);
            let written: Vec<&StoredObject> = written.collect();
            match written.last() {
                Some(object) => apply_configuration(context, object, asked_at),
                None => context.configuration.borrow_mut().confirm_last_read(asked_at),
            }
            // Each change contains the whole configuration. If changes come faster than the link
            // can transfer them, each further watch would return more of them; a list returns
            // only the newest.
            Ok(match written.len() {
                // A list confirms the configuration at once, a watch only after its wait.
                0 | 1 if untrusted_time_left.is_some() => NextCall::List,
                0 | 1 => NextCall::Watch(next),
                _ => NextCall::ListOften,
            })
        }
    }
}

fn written_configuration(change: &ObjectChange) -> Option<&StoredObject> {
    match change {
        ObjectChange::Written(object) if &*object.name == CONFIGURATION_NAME => Some(object),
        ObjectChange::Written(_) | ObjectChange::Gone(_) => None,
    }
}

fn apply_configuration(context: &GatewayContext, object: &StoredObject, asked_at: Instant) {
    let text = Bytes::copy_from_slice(object.value.as_bytes());
    context.apply_configuration(ConfigurationSource::Store, object.position, text);
    context.configuration.borrow_mut().confirm_last_read(asked_at);
}
