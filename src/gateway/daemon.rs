//! Assembles one gateway daemon: registers its services, starts them, takes it down.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use tokio::time::{Instant, sleep};

use super::{
    choice::ReplicaTable,
    client_edge,
    connections::ConnectionPool,
    context::{ConfigurationState, GatewayContext},
    duties, exchange,
    lease::LeaseView,
    peers::PeerTable,
    quota::QuotaLedger,
    readiness,
    replica::ReplicaList,
    settings::GatewaySettings,
    store_watch,
    usage::UsageCounts,
    wall_clock::SteadyWallClock,
};
use crate::{
    errors::StepError,
    http::server,
    ids::IncarnationId,
    kernel::{KernelExit, KernelHandle, LifePhase, ServiceKernel},
    platform::store::StoreClient,
    serve::metrics::MetricsHandle,
    wall_clock_ms,
};

/// Name of the service that takes the daemon down.
const LEAVER: &str = "leaver";
/// The balancer needs this long to see that the daemon takes no new connections.
const UNLISTED_AFTER: Duration = Duration::from_millis(3_500);
/// Part of the grace time that is left as a margin.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Runs a daemon until it stops. Must run inside a `tokio::task::LocalSet`.
pub async fn run(settings: GatewaySettings) -> Result<KernelExit, StepError> {
    let clients = server::bind(settings.client_address).await?;
    let readiness = server::bind(settings.readiness_address).await?;
    let metrics = server::bind(settings.metrics_address).await?;
    let gate = server::bind(settings.peer_address).await?;
    let mut kernel = ServiceKernel::new();
    let context = Rc::new(assemble(settings, kernel.handle()));
    let (name, zone) = (&context.settings.name, &context.settings.zone);
    spdlog::info!("started", kv: { name:, zone:, incarnation: = context.incarnation });
    kernel.start(readiness::READINESS_SERVICE, readiness::run(readiness, context.clone()));
    kernel.start(readiness::METRICS_SERVICE, readiness::show_metrics(metrics, context.clone()));
    let configuration = store_watch::keep_configuration(context.clone());
    kernel.start(store_watch::CONFIGURATION_SERVICE, configuration);
    kernel.start(store_watch::REPLICA_SERVICE, store_watch::keep_replicas(context.clone()));
    kernel.start(exchange::GATE_SERVICE, exchange::serve(gate, context.clone()));
    kernel.start(exchange::CALLER_SERVICE, exchange::run(context.clone()));
    kernel.start(duties::NAME, duties::run(context.clone()));
    kernel.start(client_edge::NAME, client_edge::run(clients, context.clone()));
    kernel.start(LEAVER, leave_when_told(context.clone()));
    let exit = kernel.run().await;
    spdlog::info!("stopped", kv: { outcome: = exit });
    Ok(exit)
}

fn assemble(settings: GatewaySettings, kernel: KernelHandle) -> GatewayContext {
    let metrics = MetricsHandle::default();
    let now = Instant::now();
    GatewayContext {
        incarnation: IncarnationId::generate(),
        store: StoreClient::new(settings.store_address),
        configuration: RefCell::new(ConfigurationState::default()),
        replica_list: RefCell::new(ReplicaList::default()),
        replicas: RefCell::new(ReplicaTable::new(settings.zone.clone())),
        quotas: RefCell::new(QuotaLedger::default()),
        budgets: RefCell::new(HashMap::new()),
        usage: RefCell::new(UsageCounts::default()),
        peers: RefCell::new(PeerTable::new(settings.peer_address, &settings.seeds)),
        lease: RefCell::new(LeaseView::default()),
        connections: ConnectionPool::new(metrics.clone()),
        wall_clock: RefCell::new(SteadyWallClock::new(wall_clock_ms(), now)),
        metrics,
        kernel,
        active: crate::counting::OpenCount::default(),
        store_failed: Cell::new(None),
        sequence: Cell::new(0),
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
    sleep(UNLISTED_AFTER).await;
    while context.active.get() > 0 && Instant::now() < latest {
        sleep(Duration::from_millis(20)).await;
    }
    spdlog::info!("stopping", kv: { cut_off: = context.active.get() });
    context.kernel.enter(LifePhase::Stopping);
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
