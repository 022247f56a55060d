//! Assembles one gateway daemon: registers its services, starts them, takes it down.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use tokio::time::{Instant, sleep};

use super::{
    context::{ConfigurationState, GatewayContext, Intake},
    endpoint::EndpointList,
    gossip::{caller, listener, peer_table::PeerTable},
    leader::leader_tasks,
    policy::{
        catch_up::CatchUpState,
        endpoint_choice::EndpointTable,
        leader_lease::LeaderLease,
        quota::{QuotaLedger, QuotaTolerance},
        usage_counts::UsageCounts,
        wall_clock::SteadyWallClock,
    },
    readiness,
    request::{client_listener, connection_pool::ConnectionPool},
    settings::GatewaySettings,
    store_watch,
};
use crate::{
    errors::StepError,
    http::server,
    ids::IncarnationId,
    kernel::{KernelExit, KernelHandle, LifePhase, ServiceKernel},
    logs::{self, LineBudget},
    metrics::MetricsHandle,
    platform::store::StoreClient,
    wall_clock_ms,
};

/// Name of the service that takes the daemon down.
const LEAVER: &str = "leaver";
/// Name of the service that listens for changes of the settings.
const RELOADER: &str = "reloader";
/// Requests that come this long after the signal are turned away: by then the balancer has
/// seen that the daemon takes no new connections, and what runs long might be cut off.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// New connections are accepted for this long after the signal.
const ACCEPT_FOR: Duration = Duration::from_millis(3_500);
/// Lines about requests written in a second at most.
const REQUEST_LINES: u32 = 400;
/// Part of the grace time that is left as a margin.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Runs a daemon until it stops. Must run inside a `tokio::task::LocalSet`.
pub async fn run(settings: GatewaySettings) -> Result<KernelExit, StepError> {
    let clients = server::bind(settings.client_address).await?;
    let readiness = server::bind(settings.readiness_address).await?;
    let metrics = server::bind(settings.metrics_address).await?;
    let peer_listener = server::bind(settings.peer_address).await?;
    let mut kernel = ServiceKernel::new();
    let context = Rc::new(assemble(settings, kernel.handle()));
    let (name, zone) = (&context.settings.name, &context.settings.zone);
    spdlog::info!("started", kv: { name:, zone:, incarnation: = context.incarnation });
    kernel.start(readiness::READINESS_SERVICE, readiness::run(readiness, context.clone()));
    kernel.start(readiness::METRICS_SERVICE, readiness::show_metrics(metrics, context.clone()));
    let configuration = store_watch::keep_configuration(context.clone());
    kernel.start(store_watch::CONFIGURATION_SERVICE, configuration);
    kernel.start(store_watch::ENDPOINT_SERVICE, store_watch::keep_endpoints(context.clone()));
    kernel.start(listener::NAME, listener::run(peer_listener, context.clone()));
    kernel.start(caller::NAME, caller::run(context.clone()));
    kernel.start(leader_tasks::NAME, leader_tasks::run(context.clone()));
    kernel.start(client_listener::NAME, client_listener::run(clients, context.clone()));
    kernel.start(RELOADER, note_reloads(context.clone()));
    kernel.start(LEAVER, leave_when_told(context.clone()));
    let exit = kernel.run().await;
    spdlog::info!("stopped", kv: { outcome: = exit });
    logs::flush();
    Ok(exit)
}

fn assemble(settings: GatewaySettings, kernel: KernelHandle) -> GatewayContext {
    let metrics = MetricsHandle::default();
    let now = Instant::now();
    let tolerance = QuotaTolerance {
        overage: settings.bounds.quota_overage,
        slack: settings.bounds.quota_slack,
    };
    GatewayContext {
        incarnation: IncarnationId::generate(),
        store: StoreClient::new(settings.store_address),
        configuration: RefCell::new(ConfigurationState::default()),
        endpoint_list: RefCell::new(EndpointList::default()),
        endpoints: RefCell::new(EndpointTable::new(settings.zone.clone())),
        quotas: RefCell::new(QuotaLedger::new(tolerance, now)),
        retry_budgets: RefCell::new(HashMap::new()),
        usage: RefCell::new(UsageCounts::default()),
        peers: RefCell::new(PeerTable::new(
            settings.peer_address,
            &settings.seeds,
            caller::GOSSIP_INTERVAL,
            caller::CALLS_PER_INTERVAL,
        )),
        catch_up: RefCell::new(CatchUpState::default()),
        lease: RefCell::new(LeaderLease::default()),
        connections: ConnectionPool::new(metrics.clone()),
        wall_clock: RefCell::new(SteadyWallClock::new(wall_clock_ms(), now)),
        metrics,
        kernel,
        active: crate::counting::OpenCount::default(),
        store_failed: Cell::new(None),
        sequence: Cell::new(0),
        started_at: now,
        fleet_size: Cell::new(None),
        request_lines: RefCell::new(LineBudget::new(REQUEST_LINES, now)),
        intake: Cell::new(Intake::Open),
        client_connections: crate::counting::OpenCount::default(),
        settings,
    }
}

/// Takes the daemon down after a signal: it takes no new connections at once, and ends when
/// nothing is in progress, at the latest within the grace time.
async fn leave_when_told(context: Rc<GatewayContext>) {
    terminated().await;
    let begun = Instant::now();
    context.kernel.enter(LifePhase::Draining);
    spdlog::info!("stopping", kv: { active: = context.active.get() });
    let latest = begun + context.settings.bounds.stop_grace.saturating_sub(GRACE_MARGIN);
    sleep(REFUSE_AFTER).await;
    context.intake.set(Intake::Refusing);
    sleep(ACCEPT_FOR - REFUSE_AFTER).await;
    context.intake.set(Intake::Closed);
    let busy = || context.active.get() + context.client_connections.get() > 0;
    while busy() && Instant::now() < latest {
        sleep(Duration::from_millis(20)).await;
    }
    spdlog::info!("stopping", kv: { cut_off: = context.active.get() });
    context.kernel.enter(LifePhase::Stopping);
}

/// Tells of signals that say that the settings file has changed. Its values hold for the
/// life of the process; a changed file is read at the next start.
async fn note_reloads(context: Rc<GatewayContext>) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut signal) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    while signal.recv().await.is_some() {
        context.metrics.count("reload_signals", 1);
        spdlog::info!("settings", kv: { outcome = "kept until the next start" });
    }
    std::future::pending().await
}

async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}
