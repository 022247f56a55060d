//! State that the services of one gateway daemon share.
//!
//! Owns the newest configuration and endpoint list, the state of quotas, loads and usage, and the
//! daemon's counters. All tasks run on one thread, so cells suffice; no borrow is held across an
//! await. It contains no rules: its methods pass the state to functions of `policy`.

mod endpoint_contact;
mod fleet_view;
mod intake;
mod store_contents;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

pub use self::intake::{Intake, IntakeState};
use super::{
    configuration::Configuration,
    configuration_state::ConfigurationState,
    endpoint::EndpointList,
    gossip::{
        peer_connections::PeerConnections, peer_table::PeerTable, streams::state::StreamState,
        text_exchange::TextExchange,
    },
    policy::{
        daemon::{
            catch_up::CatchUpState,
            endpoint_access::EndpointAccess,
            fleet_contact::{ContactMonitor, FleetContact},
            forwarder_choice::ForwarderTable,
            peer_contact::PeerContact,
            readiness::{Readiness, ReadinessInputs},
            store_watchers::{StoreWatch, WatcherElection, is_store_failing},
        },
        endpoint::{
            endpoint_starts::{StartOrder, lost_entries::EntryHistory},
            endpoint_table::{EndpointTable, slot_borrower::SlotBorrower, slot_ring::SlotRing},
            request_limit::token_lending::TokenBorrower,
        },
        leader::{
            leader_lease::LeaderLease, usage_counts::UsageCounts, wall_clock::SteadyWallClock,
        },
        request::{
            configuration_doubt::ConfigurationDoubt,
            crash_checks::CrashChecks,
            crash_ledger::{CrashLedger, part_ledger::PartLedger},
            key_freshness::KeyFreshness,
            quota::QuotaLedger,
            retry_budget::{RetryBudgets, RetryWithdrawal},
        },
        rollout::{rollout_table::RolloutTable, version_history::VersionHistory},
    },
    request::{
        admission::body_store::BodyStore, client_listener::client_connections::ClientConnections,
        connection_pool::ConnectionPool,
    },
    settings::GatewaySettings,
};
use crate::{
    counting::OpenCount,
    ids::{IncarnationId, SharedName},
    kernel::{KernelHandle, LifePhase},
    logs::LineBudget,
    metrics::MetricsHandle,
    platform,
    response_memory::ResponseMemory,
    store_position::StoreEra,
};

/// State shared by all tasks of one daemon, which run on one thread.
pub struct GatewayContext {
    /// Settings of the daemon.
    pub settings: GatewaySettings,
    /// Id of this run of the daemon.
    pub incarnation: IncarnationId,
    /// Client of the metadata store.
    pub store: platform::store::StoreClient,
    /// Newest configuration and when it was last confirmed.
    pub configuration: RefCell<ConfigurationState>,
    /// Endpoints to use: those listed in the store, corrected after the store was restored from a copy.
    pub endpoint_list: RefCell<EndpointList>,
    /// Endpoint entries as the store has listed them, across its eras.
    pub entry_history: RefCell<EntryHistory>,
    /// Which start of each endpoint is used.
    pub start_order: RefCell<StartOrder>,
    /// Daemons that carry tunnels to endpoints for this one.
    pub forwarders: RefCell<ForwarderTable>,
    /// Tunnels that this daemon carries for others.
    pub carried_tunnels: OpenCount,
    /// Rate limit of the log lines about these.
    pub tunnel_lines: RefCell<LineBudget>,
    /// Notified when a connection over this daemon's own links has failed.
    pub access_doubted: Notify,
    /// Notified when another list of endpoints is in use.
    pub endpoints_changed: Notify,
    /// Notified when another configuration has been applied.
    pub configuration_changed: Notify,
    /// Whether this daemon reaches the endpoints over its own links.
    pub endpoint_access: RefCell<EndpointAccess>,
    /// Loads and health of the endpoints.
    pub endpoints: RefCell<EndpointTable>,
    /// Versions of the endpoints of the last minutes.
    pub versions: RefCell<VersionHistory>,
    /// Streams that clients may take up again.
    pub streams: StreamState,
    /// Connections to other daemons for calls.
    pub peer_connections: PeerConnections,
    /// Roll-outs of new versions.
    pub rollouts: RefCell<RolloutTable>,
    /// Quotas of accounts.
    pub quotas: RefCell<QuotaLedger>,
    /// Retry budgets of the services.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Counts of requests that have run, by account.
    pub usage: RefCell<UsageCounts>,
    /// Other daemons.
    pub peers: RefCell<PeerTable>,
    /// Newer configurations and endpoint lists that other daemons hold.
    pub catch_up: RefCell<CatchUpState>,
    /// Stored texts of the configuration, sent to other daemons.
    pub configuration_texts: RefCell<TextExchange>,
    /// Texts of the endpoint list, sent to other daemons.
    pub endpoint_texts: RefCell<TextExchange>,
    /// State of the leader lease as known to this daemon.
    pub lease: RefCell<LeaderLease>,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// Contact with peers; determines whether this daemon is up to date with them.
    pub peer_contact: RefCell<PeerContact>,
    /// Requests that have crashed endpoints.
    pub crashes: RefCell<CrashLedger>,
    /// Parts of prompts whose requests have crashed endpoints.
    pub part_crashes: RefCell<PartLedger>,
    /// Endpoints being checked for a crash because a request at them broke off.
    pub crash_checks: CrashChecks,
    /// Wall clock for usage windows.
    pub wall_clock: RefCell<SteadyWallClock>,
    /// Counters and histograms.
    pub metrics: MetricsHandle,
    /// Handle of the kernel that runs the daemon's services.
    pub kernel: KernelHandle,
    /// Memory of the bodies of requests.
    pub bodies: Rc<BodyStore>,
    /// Memory of what endpoints have sent and what isn't passed on yet.
    pub response_memory: ResponseMemory,
    /// Requests in progress.
    pub active: OpenCount,
    /// When a call to the store last failed.
    pub store_failed_at: Cell<Option<Instant>>,
    /// Decides whether this daemon watches the store.
    pub watcher_election: RefCell<WatcherElection>,
    /// Era of the store as last logged.
    pub store_era: Cell<StoreEra>,
    /// Readiness at the last check of the load balancer, as logged.
    pub logged_readiness: Cell<Option<Readiness>>,
    /// Last decision of `watcher_election`, as logged.
    pub store_watch: Cell<Option<StoreWatch>>,
    /// Decides which daemons are asked for tokens of endpoints' request limits.
    pub token_borrower: RefCell<TokenBorrower>,
    /// When the request limits of endpoints were last divided among the daemons.
    pub limits_divided_at: Cell<Option<Instant>>,
    /// When the slots of brittle endpoints were last divided among the daemons.
    pub slots_divided_at: Cell<Option<Instant>>,
    /// Daemons among which they are divided.
    pub slot_ring: RefCell<SlotRing>,
    /// Decides which daemons are asked for slots.
    pub slot_borrower: RefCell<SlotBorrower>,
    /// Number of the newest report sent to other daemons.
    pub sequence: Cell<u64>,
    /// When this daemon started.
    pub started_at: Instant,
    /// Number of daemons that the leader wrote into the lease, or the number known by gossip if there is no
    /// valid record; none until the lease has been read.
    pub fleet_size: Cell<Option<usize>>,
    /// What was seen of the holder of the lease.
    pub contact_monitor: RefCell<ContactMonitor>,
    /// Contact with the rest of the fleet in the last gossip interval.
    pub fleet_contact: Cell<FleetContact>,
    /// Rate limit of the request log.
    pub request_lines: RefCell<LineBudget>,
    /// Which requests and connections are accepted.
    pub intake: IntakeState,
    /// Open client connections.
    pub client_connections: ClientConnections,
}

impl GatewayContext {
    /// Newest configuration, if one is known.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().current.clone()
    }

    /// Whether the configuration is fresh enough to use its keys.
    pub fn key_freshness(&self, now: Instant) -> KeyFreshness {
        let proof = self.configuration.borrow().proof;
        KeyFreshness::evaluate(proof, self.settings.bounds.key_freshness, now)
    }

    /// Why the configuration may be outdated; none if there is no reason to doubt it.
    pub fn configuration_doubt(&self, now: Instant) -> Option<ConfigurationDoubt> {
        let proof = self.configuration.borrow().proof;
        let is_lagging = self.catch_up.borrow().configuration_lag(now).is_some();
        ConfigurationDoubt::evaluate(proof, is_lagging, self.settings.bounds.apply_limit, now)
    }

    /// Whether a call to the store has failed lately.
    pub fn store_fails(&self, now: Instant) -> bool {
        is_store_failing(self.store_failed_at.get(), now)
    }

    /// Whether this daemon watches the store itself; logs changes of that decision.
    pub fn watches_store(&self, now: Instant) -> bool {
        let proof = self.configuration.borrow().proof;
        let rank = || self.peers.borrow().watcher_rank(now);
        let store_fails = self.store_fails(now);
        let watch = self.watcher_election.borrow_mut().decide(proof, rank, store_fails, now);
        if self.store_watch.replace(Some(watch)) != Some(watch) {
            let proof_age_ms = self.configuration.borrow().proof_age_ms(now);
            spdlog::info!("store watch", kv: { reason: = watch, proof_age_ms });
        }
        watch.watches()
    }

    /// Milliseconds since a peer first reported a newer configuration than the current one; -1 if
    /// none did.
    pub fn configuration_lag_ms(&self, now: Instant) -> i64 {
        let lag = self.catch_up.borrow().configuration_lag(now);
        lag.map_or(-1, |lag| lag.as_millis() as i64)
    }

    /// Whether this daemon is up to date with its peers, or has waited long enough for them.
    pub fn is_up_to_date_with_peers(&self, now: Instant) -> bool {
        let is_lagging = self.catch_up.borrow().configuration_lag(now).is_some();
        let has_configuration = self.configuration.borrow().current.is_some();
        let mut contact = self.peer_contact.borrow_mut();
        contact.observe_lag(is_lagging || !has_configuration, now);
        contact.is_current(now)
    }

    /// How long a request with `time_left` waits until this daemon is up to date with its peers, if it does.
    pub fn wait_for_peers(&self, time_left: Duration, now: Instant) -> Option<Duration> {
        if self.is_up_to_date_with_peers(now) {
            return None;
        }
        self.peer_contact.borrow().request_wait(time_left, now)
    }

    /// Takes one retry from a service's budget if one is left.
    pub fn try_withdraw_retry(&self, service: &SharedName, now: Instant) -> RetryWithdrawal {
        let daemons = self.retrying_daemons(now);
        self.retry_budgets.borrow_mut().try_withdraw(service, daemons, now)
    }

    /// Whether a service's budget has a retry left.
    pub fn has_retry(&self, service: &SharedName, now: Instant) -> bool {
        let daemons = self.retrying_daemons(now);
        self.retry_budgets.borrow_mut().has_retry(service, daemons, now)
    }

    /// Counts a run for an account in the current usage window.
    pub fn record_run(&self, account: &SharedName) {
        let window = self.wall_clock.borrow().window(self.settings.bounds.usage_window);
        self.usage.borrow_mut().count(account, window);
    }

    /// Returns the sequence number for the next report to other daemons.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Whether the daemon is stopping.
    pub fn is_leaving(&self) -> bool {
        *self.kernel.phase().borrow() >= LifePhase::Draining
    }

    /// Whether the daemon is ready for new connections, and if not, why.
    pub fn readiness(&self, now: Instant) -> Readiness {
        Readiness::decide(ReadinessInputs {
            is_stopping: self.is_leaving(),
            has_endpoint_list: !self.endpoint_list.borrow().position.is_none(),
            has_configuration: self.configuration.borrow().current.is_some(),
            knows_daemon_count: self.knows_fleet_size(now),
            has_peer_contact: self.is_up_to_date_with_peers(now),
            accepts_connections: self.client_connections.accepts(),
            keys: self.key_freshness(now),
        })
    }

    /// How long this daemon has been running.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}
