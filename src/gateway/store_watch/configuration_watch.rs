//! Keeps the configuration up to date, with proofs that it is the newest one.
//!
//! A configuration that can't be decoded is logged, and the former one kept.

use std::rc::Rc;

use bytes::Bytes;
use tokio::time::Instant;

use super::{RetryPauses, wait_until_watcher};
use crate::{
    errors::StepError,
    gateway::{
        configuration_state::ConfigurationSource, context::GatewayContext,
        policy::daemon::store_watchers::watch_wait,
    },
    platform::{
        configuration::{CONFIGURATION_KIND, CONFIGURATION_NAME},
        store::{ObjectChange, StoredObject, WatchResult},
    },
    true_time,
};

/// Name of the service.
pub const NAME: &str = "configuration-watch";

/// The next call about the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    /// Lists, then watches.
    List,
    /// Lists again and again, as long as each list brings a newer configuration.
    ListOften,
    /// Watches from this revision.
    Watch(u64),
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

/// Makes a call; returns the one that follows.
async fn make_call(context: &GatewayContext, call: NextCall) -> Result<NextCall, StepError> {
    match call {
        NextCall::List => Ok(NextCall::Watch(list_configuration(context).await?)),
        NextCall::ListOften => {
            let held = context.configuration.borrow().revision;
            let listed = list_configuration(context).await?;
            let has_newer = context.configuration.borrow().revision > held;
            Ok(if has_newer { NextCall::ListOften } else { NextCall::Watch(listed) })
        }
        NextCall::Watch(revision) => watch_configuration(context, revision).await,
    }
}

/// Lists the configuration; returns the store's revision.
async fn list_configuration(context: &GatewayContext) -> Result<u64, StepError> {
    let asked_at = true_time::now();
    let listing = context.store.list(CONFIGURATION_KIND).await?;
    let object = listing.objects.iter().find(|object| &*object.name == CONFIGURATION_NAME);
    if let Some(object) = object {
        apply_configuration(context, object, asked_at);
    }
    Ok(listing.revision)
}

/// Watches the configuration from `revision`.
async fn watch_configuration(
    context: &GatewayContext,
    revision: u64,
) -> Result<NextCall, StepError> {
    let asked_at = true_time::now();
    let is_single_group = context.peers.borrow().is_single_group();
    let wait = watch_wait(context.settings.bounds.apply_limit, is_single_group);
    match context.store.watch(CONFIGURATION_KIND, revision, wait).await? {
        WatchResult::HistoryGone => Ok(NextCall::List),
        WatchResult::Changes(changes, next) => {
            let written = changes.iter().filter_map(written_configuration);
            let written: Vec<&StoredObject> = written.collect();
            match written.last() {
                Some(object) => apply_configuration(context, object, asked_at),
                None => prove_unchanged(context, asked_at),
            }
            // Each change came whole. If they come faster than the link carries them, a further
            // watch would bring more each time; a list holds only the newest.
            Ok(if written.len() > 1 { NextCall::ListOften } else { NextCall::Watch(next) })
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
    context.apply_configuration(ConfigurationSource::Store, object.revision, text);
    context.prove_configuration(object.revision, Some(asked_at));
}

/// Notes that the store has shown no change up to a moment after `asked_at`.
fn prove_unchanged(context: &GatewayContext, asked_at: Instant) {
    let revision = context.configuration.borrow().revision;
    context.prove_configuration(revision, Some(asked_at));
}
