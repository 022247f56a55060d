//! Shuts a daemon down without losing the requests in progress.
//!
//! After a drain command or SIGTERM the daemon stops as soon as nothing is in progress, at the
//! latest after the drain time from the settings. After a reclaim notice for its own VM it stops
//! at the latest a margin before the VM is reclaimed, also if the notice comes during a drain.

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
/// Time for the leave announcement to reach the peers before the daemon ends: three times as long
/// as a change takes to reach a large fleet.
const LEAVE_SPREAD_TIME: Duration = Duration::from_millis(500);
/// Time before the reclaim that is reserved for handing requests off: twice the announcement's
/// time.
const HANDOFF_MARGIN: Duration = Duration::from_millis(1_000);
/// Interval of the checks whether anything is in progress: short compared to the drain time.
const IDLE_CHECK_EVERY: Duration = Duration::from_millis(20);

/// Waits for a drain command, SIGTERM or a reclaim notice, then drains and stops the daemon.
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
    // If the cluster service is overloaded, peers only find out when their probes fail.
    let _ = context.cluster.send(ClusterMessage::Event(ClusterEvent::Leave));
    let deadline = tokio::select! {
        () = wait_until_idle(&context, deadline) => deadline,
        // A reclaim notice may come while a planned stop waits for requests to end.
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
            spdlog::error!("SIGTERM handler not installed: {}", error, kv: { service = NAME });
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

/// Sends the latest state of running requests to the daemons that keep copies. Clients whose
/// connections close then reconnect to any other daemon, which takes the request over from a copy.
async fn hand_off(context: &Rc<ServeContext>, deadline: Instant) {
    let running = context.requests.ask(|reply| RequestMessage::Running { reply }).await;
    // If the store is overloaded, partners only have the copies sent earlier.
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
    // A partner that does not accept this in time still has the copier's last update, which is at
    // most 100 ms old.
    let _ = timeout(limit, join_all(offers)).await;
}
