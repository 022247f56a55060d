//! Reads from the store which versions of a service are listed now, where this daemon's own list proves nothing.
//!
//! Requests that arrive while the list is being read share the next read.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use tokio::time::{Instant, timeout};

use crate::{
    boot_clock,
    errors::{FailureCause, StepError},
    gateway::context::GatewayContext,
    ids::SharedName,
    platform::endpoints::{self, ENDPOINT_KIND},
};

/// Longest time for reading the list: a request waits for it.
const READ_LIMIT: Duration = Duration::from_millis(300);

/// Versions of the listed endpoints, by service.
type ListedVersions = HashMap<SharedName, BTreeSet<SharedName>>;

/// Result of a read of the list.
#[derive(Clone, Debug)]
pub(super) struct ListRead {
    begun_at: Instant,
    /// None if the store didn't respond.
    versions: Option<ListedVersions>,
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
    context: &GatewayContext,
    service: &SharedName,
    version: &SharedName,
    since: Instant,
) -> ListCheck {
    let mut last = context.streams.list_read.lock().await;
    if last.as_ref().is_none_or(|read| read.begun_at < since) {
        *last = Some(read_list(context).await);
    }
    let Some(listed) = last.as_ref().and_then(|read| read.versions.as_ref()) else {
        return ListCheck::Unavailable;
    };
    let has_other = listed.get(service).is_some_and(|all| all.iter().any(|one| one != version));
    if has_other { ListCheck::Contradicted } else { ListCheck::Confirmed }
}

async fn read_list(context: &GatewayContext) -> ListRead {
    let begun_at = boot_clock::now();
    context.metrics.count("endpoint_list_checks", 1);
    let read = timeout(READ_LIMIT, read_versions(context)).await.unwrap_or_else(|_| {
        let cause = FailureCause::TimedOut(READ_LIMIT.as_millis() as u64);
        let store = context.settings.store_address.to_string();
        Err(StepError::new("check endpoint versions", store, cause))
    });
    let versions = read.inspect_err(|error| spdlog::warn!("endpoint list not checked: {}", error));
    ListRead { begun_at, versions: versions.ok() }
}

async fn read_versions(context: &GatewayContext) -> Result<ListedVersions, StepError> {
    let listing = context.store.list(ENDPOINT_KIND).await?;
    let mut versions = ListedVersions::new();
    for object in listing.objects {
        // An entry that can't be decoded names no endpoint.
        if let Ok(record) = endpoints::decode(object.name, object.value.as_bytes()) {
            versions.entry(record.service).or_default().insert(record.version);
        }
    }
    Ok(versions)
}
