//! Tasks of the service that call peers. They report results to the service as events.

use super::{
    NAME,
    messages::{ClusterMessage, ItemVersions},
};
use crate::{
    errors::{FailureCause, StepError},
    ids::SharedName,
    kernel::ServiceAddress,
    native::{
        cluster::{
            events::{ClusterEvent, PeerTarget},
            items::ItemKey,
        },
        peer::client::PeerPool,
    },
};

fn report(address: &ServiceAddress<ClusterMessage>, event: ClusterEvent) {
    // A failure to send is ignored: if the service is overloaded, the next probe or exchange
    // reports again; if it has ended, the daemon is stopping.
    let _ = address.send(ClusterMessage::Event(event));
}

/// Greets an address and reports the daemon that answers.
pub async fn greet(pool: PeerPool, address: ServiceAddress<ClusterMessage>, peer: SharedName) {
    match pool.greet(&peer).await {
        Ok(greeted) => {
            report(&address, ClusterEvent::Greeted(greeted.incarnation, greeted.record));
        }
        Err(error) => {
            spdlog::debug!("greeting failed: {}", error, kv: { service = NAME, peer: = peer });
        }
    }
}

fn is_refused(error: &StepError) -> bool {
    matches!(error.cause, FailureCause::Unreachable(_))
}

/// Probes a member and reports the result.
pub async fn probe(pool: PeerPool, address: ServiceAddress<ClusterMessage>, target: PeerTarget) {
    let incarnation = target.incarnation;
    let event = match pool.probe(&target).await {
        Ok(()) => ClusterEvent::ProbeAnswered(incarnation),
        Err(error) if matches!(error.cause, FailureCause::Refused(_)) => {
            ClusterEvent::Replaced(incarnation)
        }
        Err(error) => ClusterEvent::ProbeFailed(incarnation, is_refused(&error)),
    };
    report(&address, event);
}

/// Lets helpers probe a member and reports whether any of them reached it.
pub async fn probe_via(
    pool: PeerPool,
    address: ServiceAddress<ClusterMessage>,
    helpers: Vec<PeerTarget>,
    target: PeerTarget,
) {
    let asked = helpers.iter().map(|helper| pool.probe_via(helper, &target));
    let answers = futures::future::join_all(asked).await;
    let alive = answers.iter().any(|answer| matches!(answer, Ok(true)));
    if alive {
        report(&address, ClusterEvent::ProbeAnswered(target.incarnation));
        return;
    }
    let refused = pool.probe(&target).await.is_err_and(|error| is_refused(&error));
    report(&address, ClusterEvent::HelpersFailed(target.incarnation, refused));
}

/// Exchanges summaries with a member, then fetches the items that are newer there and sends those
/// that are newer here.
pub async fn synchronize(
    pool: PeerPool,
    address: ServiceAddress<ClusterMessage>,
    target: PeerTarget,
    summary: Vec<u64>,
) {
    let Ok((buckets, theirs)) = pool.summary(&target, summary).await else { return };
    if buckets.is_empty() {
        return;
    }
    let own = address.ask(|reply| ClusterMessage::Versions { buckets, reply }).await;
    let Ok(own) = own else { return };
    let wanted = newer_than(&theirs, &own);
    if !wanted.is_empty() {
        let Ok(items) = pool.fetch(&target, wanted).await else { return };
        report(&address, ClusterEvent::Items(Some(target.incarnation), items));
    }
    let surplus: Vec<ItemKey> = newer_than(&own, &theirs).into_iter().map(|(key, _)| key).collect();
    if !surplus.is_empty() {
        let items = address.ask(|reply| ClusterMessage::Fetch { keys: surplus, reply }).await;
        let Ok(items) = items else { return };
        // Items that are lost here are sent again by the next exchange of summaries.
        let _ = pool.push(&target, &items).await;
    }
}

/// Returns the entries of `left` that are newer than in `right` or missing there.
pub fn newer_than(left: &ItemVersions, right: &ItemVersions) -> ItemVersions {
    let known: std::collections::HashMap<&ItemKey, u64> =
        right.iter().map(|(key, version)| (key, *version)).collect();
    let newer =
        left.iter().filter(|(key, version)| known.get(key).is_none_or(|known| known < version));
    newer.cloned().collect()
}
