//! Assembles one gateway daemon, starts its services and stops them in order.
//!
//! A planned stop begins with SIGTERM. The daemon at once reports that it is not ready and closes idle
//! connections; it still accepts new connections and requests, since the load balancer needs time to
//! notice. Later it passes no request on that the end could cut, refuses new requests, then closes its
//! port, and exits when no request is in progress, at the latest at the end of the grace time. No state
//! has to be saved.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::{
    configuration_state::ConfigurationState,
    context::{GatewayContext, Intake, IntakeState},
    endpoint::EndpointList,
    forwarding::{access_probe, tunnel_server},
    gossip::{
        caller, listener,
        peer_connections::PeerConnections,
        peer_table::PeerTable,
        streams::{log as stream_log, state::StreamState},
        text_exchange::TextExchange,
    },
    leader::leader_tasks,
    policy::{
        daemon::{
            catch_up::CatchUpState, client_connections::connection_limit,
            fleet_contact::FleetContact, peer_contact::PeerContact, stop_times::StopTimes,
            store_watchers::WatcherElection,
        },
        endpoint::{
            endpoint_starts::{StartOrder, lost_entries::EntryHistory},
            endpoint_table::EndpointTable,
            request_limit::token_lending::TokenBorrower,
        },
        leader::{
            leader_lease::LeaderLease, usage_counts::UsageCounts, wall_clock::SteadyWallClock,
        },
        request::{
            body_memory::BodyBounds,
            crash_checks::CrashChecks,
            quota::{QuotaLedger, QuotaTolerance},
            retry_budget::{BudgetTerms, RetryBudgets},
        },
    },
    request::{
        admission::body_store::BodyStore,
        client_listener::{self, client_connections::ClientConnections},
        connection_pool::ConnectionPool,
    },
    settings::{GatewaySettings, ServiceBounds, reload},
    status_listeners,
    store_watch::{configuration_watch, endpoint_watch, rollout_watch},
};
use crate::{
    boot_clock,
    counting::OpenCount,
    errors::StepError,
    http::server,
    ids::IncarnationId,
    kernel::{KernelExit, KernelHandle, LifePhase, ServiceKernel},
    logs::LineBudget,
    metrics::MetricsHandle,
    platform::{settings::SettingsSource, store::StoreClient},
    response_memory::ResponseMemory,
    wall_clock_ms,
};

/// Name of the service that stops the daemon.
const STOPPER: &str = "leaver";
/// Most lines of the request log a second, of each rank; limits the volume of logs under load.
const REQUEST_LINES: u32 = 400;
/// Most log lines a second about tunnels.
const TUNNEL_LINES: u32 = 20;
/// Longest time for which connections of clients are ended: their tasks have nothing to wait for.
const END_LIMIT: Duration = Duration::from_millis(100);
/// Interval between checks whether all of them have ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between checks whether requests are still in progress during a stop: short compared to the
/// grace time.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a daemon with the settings in `source` until it stops. Must run inside a `tokio::task::LocalSet`.
pub async fn run(
    settings: GatewaySettings,
    source: SettingsSource,
) -> Result<KernelExit, StepError> {
    let clients = server::bind(settings.client_address).await?;
    let readiness = server::bind(settings.readiness_address).await?;
    let metrics = server::bind(settings.metrics_address).await?;
    let peer_listener = server::bind(settings.peer_address).await?;
    let tunnel_listener = server::bind(settings.tunnel_address).await?;
    let mut kernel = ServiceKernel::new();
    let context = Rc::new(assemble(settings, kernel.handle(), boot_clock::now()));
    let (name, zone) = (&context.settings.name, &context.settings.zone);
    spdlog::info!("started", kv: { name:, zone:, incarnation: = context.incarnation });
    kernel.start(
        status_listeners::READINESS_SERVICE,
        status_listeners::serve_readiness(readiness, context.clone()),
    );
    kernel.start(
        status_listeners::METRICS_SERVICE,
        status_listeners::serve_metrics(metrics, context.clone()),
    );
    kernel.start(configuration_watch::NAME, configuration_watch::run(context.clone()));
    kernel.start(rollout_watch::NAME, rollout_watch::run(context.clone()));
    kernel.start(endpoint_watch::NAME, endpoint_watch::run(context.clone()));
    kernel.start(listener::NAME, listener::run(peer_listener, context.clone()));
    kernel.start(caller::NAME, caller::run(context.clone()));
    kernel.start(tunnel_server::NAME, tunnel_server::run(tunnel_listener, context.clone()));
    kernel.start(access_probe::NAME, access_probe::run(context.clone()));
    kernel.start(stream_log::NAME, stream_log::run(context.clone()));
    kernel.start(leader_tasks::NAME, leader_tasks::run(context.clone()));
    kernel.start(client_listener::NAME, client_listener::run(clients, context.clone()));
    kernel.start(reload::NAME, reload::run(context.clone(), source));
    kernel.start(STOPPER, stop_on_signal(context.clone()));
    let exit = kernel.run().await;
    end_connections(&context).await;
    spdlog::info!("stopped", kv: { outcome: = exit });
    Ok(exit)
}

/// Ends the connections of clients, so that their requests have their log lines before the daemon's last one.
async fn end_connections(context: &GatewayContext) {
    // Also after a service has failed.
    context.kernel.enter(LifePhase::Stopping);
    let ended = async {
        while context.client_connections.count() > 0 {
            sleep(END_CHECK_INTERVAL).await;
        }
    };
    // Connections that are left end with the process.
    let _ = timeout(END_LIMIT, ended).await;
}

fn assemble(settings: GatewaySettings, kernel: KernelHandle, now: Instant) -> GatewayContext {
    let metrics = MetricsHandle::default();
    GatewayContext {
        incarnation: IncarnationId::generate(),
        store: StoreClient::new(settings.store_address),
        configuration: RefCell::new(ConfigurationState::default()),
        endpoint_list: RefCell::new(EndpointList::default()),
        entry_history: RefCell::new(EntryHistory::new(settings.entry_ttl)),
        start_order: RefCell::new(StartOrder::new(settings.entry_ttl)),
        forwarders: RefCell::default(),
        carried_tunnels: OpenCount::default(),
        tunnel_lines: RefCell::new(LineBudget::new(TUNNEL_LINES, now)),
        access_doubted: Notify::new(),
        endpoints_changed: Notify::new(),
        configuration_changed: Notify::new(),
        endpoint_access: RefCell::default(),
        endpoints: RefCell::new(EndpointTable::new(settings.zone.clone())),
        versions: RefCell::default(),
        streams: StreamState::default(),
        peer_connections: PeerConnections::default(),
        rollouts: RefCell::default(),
        quotas: RefCell::new(empty_quotas(&settings.bounds, now)),
        retry_budgets: RefCell::new(retry_budgets(&settings.bounds, now)),
        usage: RefCell::new(UsageCounts::default()),
        peers: RefCell::new(seeded_peers(&settings)),
        catch_up: RefCell::new(CatchUpState::default()),
        configuration_texts: RefCell::new(TextExchange::default()),
        endpoint_texts: RefCell::new(TextExchange::default()),
        lease: RefCell::new(LeaderLease::default()),
        connections: ConnectionPool::new(metrics.clone()),
        peer_contact: RefCell::new(PeerContact::new(now)),
        crashes: RefCell::default(),
        part_crashes: RefCell::default(),
        crash_checks: CrashChecks::default(),
        wall_clock: RefCell::new(SteadyWallClock::new(wall_clock_ms(), now)),
        metrics,
        kernel,
        bodies: Rc::new(BodyStore::new(BodyBounds::of_vm(settings.vm.memory_bytes))),
        response_memory: ResponseMemory::of_vm(settings.vm.memory_bytes),
        active: OpenCount::default(),
        store_failed_at: Cell::new(None),
        watcher_election: RefCell::new(starting_election(&settings.bounds, now)),
        store_era: Cell::default(),
        logged_readiness: Cell::default(),
        store_watch: Cell::default(),
        token_borrower: RefCell::new(TokenBorrower::default()),
        limits_divided_at: Cell::new(None),
        slots_divided_at: Cell::new(None),
        slot_ring: RefCell::default(),
        slot_borrower: RefCell::default(),
        sequence: Cell::new(0),
        started_at: now,
        fleet_size: Cell::new(None),
        contact_monitor: RefCell::default(),
        fleet_contact: Cell::new(FleetContact::NoHolder),
        request_lines: RefCell::new(LineBudget::new(REQUEST_LINES, now)),
        intake: IntakeState::default(),
        client_connections: ClientConnections::new(connection_limit(settings.vm)),
        settings,
    }
}

fn starting_election(bounds: &ServiceBounds, now: Instant) -> WatcherElection {
    WatcherElection::new(bounds.apply_limit).starting_at(now)
}

fn empty_quotas(bounds: &ServiceBounds, now: Instant) -> QuotaLedger {
    let tolerance = QuotaTolerance { overage: bounds.quota_overage, slack: bounds.quota_slack };
    QuotaLedger::new(tolerance, now)
}

fn retry_budgets(bounds: &ServiceBounds, now: Instant) -> RetryBudgets {
    let total = BudgetTerms {
        window: bounds.retry_window,
        share: bounds.retry_share,
        reserve: bounds.retry_reserve,
    };
    RetryBudgets::new(total, now)
}

/// Peer table that contains only the seeds.
fn seeded_peers(settings: &GatewaySettings) -> PeerTable {
    let GatewaySettings { peer_address, seeds, .. } = settings;
    PeerTable::new(*peer_address, seeds, caller::GOSSIP_INTERVAL, caller::CALLS_PER_INTERVAL)
}

/// Stops the daemon after SIGTERM in the steps that the module documentation describes.
async fn stop_on_signal(context: Rc<GatewayContext>) {
    wait_for_sigterm().await;
    let begun = boot_clock::now();
    let times = StopTimes::new(begun, context.settings.bounds.stop_grace);
    context.intake.set(Intake::Stopping(times));
    context.kernel.enter(LifePhase::Draining);
    spdlog::info!("stopping", kv: { active: = context.active.get() });
    sleep_until(boot_clock::timer_at(times.refuse_at)).await;
    context.intake.set(Intake::Refusing(times));
    sleep_until(boot_clock::timer_at(times.close_at)).await;
    context.intake.set(Intake::Closed(times));
    let is_busy = || {
        let used = [&context.active, &context.carried_tunnels];
        context.client_connections.count() > 0 || used.iter().any(|count| count.get() > 0)
    };
    while is_busy() && boot_clock::now() < times.cut_at {
        sleep(BUSY_CHECK_INTERVAL).await;
    }
    spdlog::info!("stopping", kv: { cut_off: = context.active.get() });
    context.kernel.enter(LifePhase::Stopping);
}

async fn wait_for_sigterm() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        // The handler could not be installed: SIGTERM ends the process at once, without a planned stop.
        Err(_) => std::future::pending().await,
    }
}
