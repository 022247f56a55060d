//! Reads from the store which versions of a service are listed now, where this daemon's own list proves nothing.
//!
//! Requests that arrive while the list is being read share the next read.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

use crate::{
    boot_clock,
    errors::{FailureCause, StepError},
    gateway::context::GatewayContext,
    ids::SharedName,
    platform::{
        endpoints::{self, ENDPOINT_KIND},
        store::StoredObject,
    },
};

/// Longest time for which a request waits until the list is read.
const READ_WAIT: Duration = Duration::from_millis(300);

/// Versions of the listed endpoints, by service.
type ListedVersions = HashMap<SharedName, BTreeSet<SharedName>>;

/// A read of the list that has ended.
#[derive(Clone, Debug)]
struct ListRead {
    begun_at: Instant,
    /// None if the store didn't respond.
    versions: Option<ListedVersions>,
}

/// Reads of the list: one at a time, which requests share.
#[derive(Debug, Default)]
pub(super) struct ListReads {
    last: RefCell<Option<ListRead>>,
    /// When the one in progress began.
    reading_since: Cell<Option<Instant>>,
    ended: Notify,
}

/// What the store's list says of a version that would be the only one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ListCheck {
    /// It wasn't read.
    #[display("not read")]
    NotRead,
    /// No other version is listed.
    #[display("confirms it")]
    Confirmed,
    /// Another version is listed.
    #[display("has another version")]
    Contradicted,
    /// The store didn't respond.
    #[display("not available")]
    Unavailable,
}

/// Checks by a list that was read after `since` whether no other version of a service than `version` is listed.
pub(super) async fn check_only_version(
    context: &Rc<GatewayContext>,
    service: &SharedName,
    version: &SharedName,
    since: Instant,
) -> ListCheck {
    let reads = &context.streams.list_reads;
    let read = timeout(READ_WAIT, until_read(context, since)).await;
    let last = reads.last.borrow();
    let listed = last.as_ref().filter(|_| read.is_ok()).and_then(|read| read.versions.as_ref());
    // A service without endpoints has none of the only version either: the list says nothing of it.
    let Some(versions) = listed.and_then(|listed| listed.get(service)) else {
        return ListCheck::Unavailable;
    };
    let has_other = versions.iter().any(|listed| listed != version);
    if has_other { ListCheck::Contradicted } else { ListCheck::Confirmed }
}

/// Waits until a read has ended that began at `since` or later.
async fn until_read(context: &Rc<GatewayContext>, since: Instant) {
    let reads = &context.streams.list_reads;
    loop {
        if reads.last.borrow().as_ref().is_some_and(|read| read.begun_at >= since) {
            return;
        }
        if reads.reading_since.get().is_none() {
            begin_read(context);
        }
        reads.ended.notified().await;
    }
}

/// Reads the list in a task of its own: it goes on although a request no longer waits for it.
fn begin_read(context: &Rc<GatewayContext>) {
    let begun_at = boot_clock::now();
    context.streams.list_reads.reading_since.set(Some(begun_at));
    context.metrics.count("endpoint_list_checks", 1);
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let read = read_versions(&context).await;
        let versions =
            read.inspect_err(|error| spdlog::warn!("endpoint list not checked: {}", error));
        let reads = &context.streams.list_reads;
        *reads.last.borrow_mut() = Some(ListRead { begun_at, versions: versions.ok() });
        reads.reading_since.set(None);
        reads.ended.notify_waiters();
    });
}

/// Versions that the store lists now.
///
/// # Errors
///
/// The store failed, or was restored from a copy since this daemon's list: entries may be missing.
async fn read_versions(context: &GatewayContext) -> Result<ListedVersions, StepError> {
    let mut versions = ListedVersions::new();
    let add_version = |object: StoredObject| {
        // An entry that can't be decoded names no endpoint.
        if let Ok(record) = endpoints::decode(object.name, object.value.as_bytes()) {
            versions.entry(record.service).or_default().insert(record.version);
        }
    };
    let position = context.store.list(ENDPOINT_KIND, add_version).await?;
    let is_complete = position.era() == context.endpoint_list.borrow().position.era()
        && !context.entry_history.borrow().is_rewriting();
    if !is_complete {
        let store = context.settings.store_address.to_string();
        return Err(StepError::new("check endpoint versions", store, FailureCause::FormerEra));
    }
    Ok(versions)
}
