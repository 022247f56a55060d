//! State that the services of one gateway daemon share.
//!
//! Owns the newest configuration and endpoint list, the ledgers of quotas, loads and usage,
//! and the daemon's counters. All tasks run on one thread, so cells suffice; no borrow is held
//! across an await. It holds no rules: its methods pass what it holds to `policy`.

mod store_contents;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    configuration::Configuration,
    configuration_state::ConfigurationState,
    endpoint::EndpointList,
    gossip::{peer_table::PeerTable, text_exchange::TextExchange},
    policy::{
        daemon::{
            catch_up::CatchUpState,
            daemon_count,
            peer_contact::PeerContact,
            readiness::{MAX_CLIENT_CONNECTIONS, Readiness, ReadinessInputs},
            store_watchers::{StoreWatch, WatcherElection, is_store_failing},
        },
        endpoint::{endpoint_starts::lost_entries::EntryMemory, endpoint_table::EndpointTable},
        leader::{
            leader_lease::LeaderLease, usage_counts::UsageCounts, wall_clock::SteadyWallClock,
        },
        request::{
            configuration_doubt::ConfigurationDoubt,
            crash_checks::CrashChecks,
            crash_ledger::CrashLedger,
            key_freshness::KeyFreshness,
            quota::{QuotaLedger, QuotaSharing},
            retry_budget::RetryBudgets,
        },
    },
    request::connection_pool::ConnectionPool,
    settings::GatewaySettings,
};
use crate::{
    counting::OpenCount,
    ids::{IncarnationId, SharedName},
    kernel::{KernelHandle, LifePhase},
    logs::LineBudget,
    metrics::MetricsHandle,
    platform,
    store_position::StoreEra,
};

/// State shared by all tasks of one daemon, which run on one thread.
pub struct GatewayContext {
    /// Settings.
    pub settings: GatewaySettings,
    /// This start of this daemon.
    pub incarnation: IncarnationId,
    /// The store.
    pub store: platform::store::StoreClient,
    /// Newest configuration.
    pub configuration: RefCell<ConfigurationState>,
    /// Endpoints to use: as listed, but for what a store that was restored from a copy lacks.
    pub endpoint_list: RefCell<EndpointList>,
    /// What the store has listed of endpoints, across its eras.
    pub entry_memory: RefCell<EntryMemory>,
    /// Loads and health of the endpoints.
    pub endpoints: RefCell<EndpointTable>,
    /// Quotas of accounts.
    pub quotas: RefCell<QuotaLedger>,
    /// Budgets of retries.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Counts of requests that have run, by account.
    pub usage: RefCell<UsageCounts>,
    /// Other daemons.
    pub peers: RefCell<PeerTable>,
    /// Newer configurations and endpoint lists that other daemons hold.
    pub catch_up: RefCell<CatchUpState>,
    /// Texts of the configuration as stored, for other daemons.
    pub configuration_texts: RefCell<TextExchange>,
    /// Texts of the list of endpoints, for other daemons.
    pub endpoint_texts: RefCell<TextExchange>,
    /// What is known of the leader lease.
    pub lease: RefCell<LeaderLease>,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// Whether this daemon knows what its peers know.
    pub peer_contact: RefCell<PeerContact>,
    /// Requests whose runs have crashed endpoints.
    pub crashes: RefCell<CrashLedger>,
    /// Endpoints at which runs broke, while they are checked.
    pub crash_checks: CrashChecks,
    /// Wall clock for usage windows.
    pub wall_clock: RefCell<SteadyWallClock>,
    /// Counters and histograms.
    pub metrics: MetricsHandle,
    /// The kernel.
    pub kernel: KernelHandle,
    /// Requests in progress.
    pub active: OpenCount,
    /// When a call to the store last failed.
    pub store_failed_at: Cell<Option<Instant>>,
    /// Decides whether this daemon watches the store.
    pub watcher_election: RefCell<WatcherElection>,
    /// Era of the store as last logged.
    pub store_era: Cell<StoreEra>,
    /// What it decided last.
    pub store_watch: Cell<Option<StoreWatch>>,
    /// When the limits that endpoints name were last divided among the daemons.
    pub limits_divided_at: Cell<Option<Instant>>,
    /// Number of the newest report sent to other daemons.
    pub sequence: Cell<u64>,
    /// When this daemon started.
    pub started_at: Instant,
    /// Number of daemons when the lease was last renewed, once that is known.
    pub fleet_size: Cell<Option<usize>>,
    /// Budget of lines in the request log.
    pub request_lines: RefCell<LineBudget>,
    /// Whether requests and connections are accepted.
    pub intake: Cell<Intake>,
    /// Clients' connections that are open.
    pub client_connections: OpenCount,
}

/// Whether a daemon accepts requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Accepts both.
    Open,
    /// Accepts connections and refuses requests.
    Refusing,
    /// Accepts no connections.
    Closed,
}

impl GatewayContext {
    /// Newest configuration, if one is known.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().current.clone()
    }

    /// Whether keys of the configuration may be used.
    pub fn key_freshness(&self, now: Instant) -> KeyFreshness {
        let proof = self.configuration.borrow().proof;
        KeyFreshness::judge(proof, self.settings.bounds.key_freshness, now)
    }

    /// Why the configuration may not be the newest, if there is a reason.
    pub fn configuration_doubt(&self, now: Instant) -> Option<ConfigurationDoubt> {
        let proof = self.configuration.borrow().proof;
        let is_lagging = self.catch_up.borrow().configuration_lag(now).is_some();
        ConfigurationDoubt::judge(proof, is_lagging, self.settings.bounds.apply_limit, now)
    }

    /// Whether a call to the store has failed lately.
    pub fn store_fails(&self, now: Instant) -> bool {
        is_store_failing(self.store_failed_at.get(), now)
    }

    /// Whether this daemon watches the store itself; logs when that changes.
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

    /// Milliseconds since a peer first reported a newer configuration than the one held; -1 if
    /// none did.
    pub fn configuration_lag_ms(&self, now: Instant) -> i64 {
        let lag = self.catch_up.borrow().configuration_lag(now);
        lag.map_or(-1, |lag| lag.as_millis() as i64)
    }

    /// Whether this daemon knows what its peers know.
    pub fn is_up_to_date_with_peers(&self, now: Instant) -> bool {
        let is_lagging = self.catch_up.borrow().configuration_lag(now).is_some();
        let has_configuration = self.configuration.borrow().current.is_some();
        let mut contact = self.peer_contact.borrow_mut();
        contact.observe_lag(is_lagging || !has_configuration, now);
        contact.is_current(now)
    }

    /// How many daemons share quotas and retry budgets.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let met = self.peers.borrow().sharing(now);
        daemon_count::sharing_at_start(met, self.fleet_size.get(), self.age(now))
    }

    /// Whether the number of daemons is known well enough to give out shares of quotas.
    pub fn knows_fleet_size(&self, now: Instant) -> bool {
        daemon_count::is_known(self.fleet_size.get(), self.age(now))
    }

    /// Withdraws one retry from a service's budget, if there is one.
    pub fn try_withdraw_retry(&self, service: &SharedName, now: Instant) -> bool {
        let daemons = self.sharing(now).known;
        self.retry_budgets.borrow_mut().try_withdraw(service, daemons, now)
    }

    /// Whether a request of the service that fails could be retried.
    pub fn has_retry(&self, service: &SharedName, now: Instant) -> bool {
        let daemons = self.sharing(now).known;
        self.retry_budgets.borrow_mut().has_retry(service, daemons, now)
    }

    /// Counts a run for an account, in the usage window of now.
    pub fn record_run(&self, account: &SharedName) {
        let window = self.wall_clock.borrow().window(self.settings.bounds.usage_window);
        self.usage.borrow_mut().count(account, window);
    }

    /// Number of the next report to other daemons.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Whether the daemon is stopping.
    pub fn is_leaving(&self) -> bool {
        *self.kernel.phase().borrow() >= LifePhase::Draining
    }

    /// Whether the daemon takes new connections, and if not, why.
    pub fn readiness(&self, now: Instant) -> Readiness {
        Readiness::decide(ReadinessInputs {
            is_stopping: self.is_leaving(),
            has_endpoint_list: !self.endpoint_list.borrow().position.is_none(),
            has_configuration: self.configuration.borrow().current.is_some(),
            knows_daemon_count: self.knows_fleet_size(now),
            has_peer_contact: self.is_up_to_date_with_peers(now),
            accepts_connections: self.client_connections.get() < MAX_CLIENT_CONNECTIONS,
            keys: self.key_freshness(now),
        })
    }

    /// How long this daemon has been running.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}
