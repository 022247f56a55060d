//! Takes one daemon down without losing what it runs.
//!
//! Decides when the daemon stops: as soon as nothing is in progress after a drain or a signal,
//! at the latest after the drain time of its settings; after a reclaim notice of its own VM, a
//! margin before the VM goes. A notice that comes during a drain shortens it.

use std::{rc::Rc, time::Duration};

use futures::future::join_all;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    kernel::LifePhase,
    native::{
        cloud_api::messages::ReclaimNotice,
        cluster::{events::ClusterEvent, service::ClusterMessage},
        serve::{
            context::ServeContext, services::store_service::RequestMessage, timeline::EventKind,
        },
    },
};

/// Name of the service.
pub const NAME: &str = "leaver";
/// Time for the announcement of leaving to reach the peers before the daemon ends: three times what
/// a change takes to reach a large fleet.
const LEAVE_SPREAD_TIME: Duration = Duration::from_millis(500);
/// Part of a notice kept free for handing off: twice the time for the announcement.
const HANDOFF_MARGIN: Duration = Duration::from_millis(1_000);
/// Time between checks whether anything is in progress: short beside the drain time.
const IDLE_CHECK_EVERY: Duration = Duration::from_millis(20);

/// Takes the daemon down: after a drain by operators or a signal, as soon as nothing
/// is in progress; after a notice, before its VM goes.
pub async fn run(
    context: Rc<ServeContext>,
    mut own_notice: watch::Receiver<Option<ReclaimNotice>>,
) {
    let mut phase = context.kernel.phase();
    let deadline = tokio::select! {
        _ = phase.wait_for(|phase| *phase >= LifePhase::Draining) => {
            Instant::now() + context.settings.drain
        }
        deadline = notice_deadline(&mut own_notice) => deadline,
        () = terminated() => Instant::now() + context.settings.drain,
    };
    context.kernel.enter(LifePhase::Draining);
    let address = &context.identity.address;
    context.record_subject_event(
        EventKind::Phase,
        address,
        format!("draining, {} active", context.active.get()),
    );
    // If the cluster service is overloaded, peers notice when their probes fail.
    let _ = context.cluster.send(ClusterMessage::Event(ClusterEvent::Leave));
    let deadline = tokio::select! {
        () = wait_until_idle(&context, deadline) => deadline,
        // A notice may come while a planned stop waits for its requests.
        earlier = notice_deadline(&mut own_notice) => {
            let deadline = deadline.min(earlier);
            wait_until_idle(&context, deadline).await;
            deadline
        }
    };
    hand_off(&context, deadline).await;
    sleep(LEAVE_SPREAD_TIME).await;
    context.record_subject_event(EventKind::Phase, address, "stopping");
    context.kernel.enter(LifePhase::Stopping);
}

async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(error) => {
            spdlog::error!("no signal handler: {}", error, kv: { service = NAME });
            std::future::pending().await
        }
    }
}

async fn notice_deadline(own_notice: &mut watch::Receiver<Option<ReclaimNotice>>) -> Instant {
    let found = own_notice.wait_for(Option::is_some).await;
    let Some(notice) = found.ok().and_then(|notice| notice.clone()) else {
        return std::future::pending().await;
    };
    let left = notice.gone_at_ms.saturating_sub(crate::wall_clock_ms());
    let left = Duration::from_millis(left).saturating_sub(HANDOFF_MARGIN);
    Instant::now() + left
}

async fn wait_until_idle(context: &Rc<ServeContext>, deadline: Instant) {
    let busy = || context.active.get() > 0 || context.clients.get() > 0;
    while busy() && Instant::now() < deadline {
        sleep(IDLE_CHECK_EVERY).await;
    }
}

/// Brings the copies of what still runs up to date. Clients whose connections close
/// then ask any other daemon, which takes over from a copy.
async fn hand_off(context: &Rc<ServeContext>, deadline: Instant) {
    let running = context.requests.ask(|reply| RequestMessage::Running { reply }).await;
    // If the store is overloaded, the copies that partners have must do.
    let running = running.unwrap_or_default();
    if running.is_empty() {
        return;
    }
    let count = running.len();
    context.metrics.count("requests_handed_off", count as u64);
    let detail = format!("handing off {count} requests");
    context.record_subject_event(EventKind::Phase, &context.identity.address, detail);
    let own = context.identity.incarnation;
    let partners = context.partner_targets(own, context.settings.copies);
    let offers = partners.iter().map(|partner| context.pool.append(partner, &running));
    let limit = deadline.saturating_duration_since(Instant::now()).max(LEAVE_SPREAD_TIME);
    // What a partner does not take in time, it has from the copier up to 100 ms before.
    let _ = timeout(limit, join_all(offers)).await;
}
