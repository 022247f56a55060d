//! What the services of a gateway daemon share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    configuration::Configuration,
    endpoint::EndpointList,
    gossip::peer_table::PeerTable,
    policy::{
        catch_up::CatchUpState,
        endpoint_table::EndpointTable,
        leader_lease::LeaderLease,
        quota::{QuotaLedger, QuotaSharing},
        retry_budget::RetryBudget,
        usage_counts::UsageCounts,
        wall_clock::SteadyWallClock,
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
};

/// A daemon has met the others after this time.
const MEETING_TIME: Duration = Duration::from_millis(2_500);
/// Daemons that a daemon expects to meet before it has read how many there were.
const EXPECTED_DAEMONS: usize = 10;
/// A daemon that has not learnt within this time how many others there are goes on without.
const FLEET_UNKNOWN_LIMIT: Duration = Duration::from_millis(1_500);
/// A proof that is passed on is younger than this, as long as those who watch reach the store.
const FED_WITHIN: Duration = Duration::from_millis(4_000);
/// The store is doubted for this long after a failure.
const STORE_DOUBTED_FOR: Duration = Duration::from_secs(2);
/// Part of the allowed age of a proof that is left as a margin.
const FRESHNESS_MARGIN: Duration = Duration::from_millis(300);

/// The configuration in force, and how well it is known to be the newest.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    /// The configuration, once one is known.
    pub current: Option<Rc<Configuration>>,
    /// Its revision in the store.
    pub revision: u64,
    /// Its text, as it is passed on to other daemons.
    pub text: Bytes,
    /// When the store was asked that answered with this revision.
    pub proof: Option<Instant>,
}

/// State shared by all tasks of one daemon, which run on one thread.
pub struct GatewayContext {
    /// Settings.
    pub settings: GatewaySettings,
    /// This start of this daemon.
    pub incarnation: IncarnationId,
    /// The store.
    pub store: platform::store::StoreClient,
    /// Configuration in force.
    pub configuration: RefCell<ConfigurationState>,
    /// Endpoints as listed.
    pub endpoint_list: RefCell<EndpointList>,
    /// What is known of the endpoints.
    pub endpoints: RefCell<EndpointTable>,
    /// Quotas of accounts.
    pub quotas: RefCell<QuotaLedger>,
    /// Budgets of repeats, by service.
    pub retry_budgets: RefCell<HashMap<SharedName, RetryBudget>>,
    /// Counts of requests that began to run.
    pub usage: RefCell<UsageCounts>,
    /// Other daemons.
    pub peers: RefCell<PeerTable>,
    /// What others hold that is newer.
    pub catch_up: RefCell<CatchUpState>,
    /// What is known of the lease of the duties.
    pub lease: RefCell<LeaderLease>,
    /// Connections to endpoints.
    pub connections: ConnectionPool,
    /// Wall clock for usage windows.
    pub wall_clock: RefCell<SteadyWallClock>,
    /// Counters and histograms.
    pub metrics: MetricsHandle,
    /// The kernel.
    pub kernel: KernelHandle,
    /// Requests in progress.
    pub active: OpenCount,
    /// When the store last failed to answer.
    pub store_failed: Cell<Option<Instant>>,
    /// Number of the newest state told to others.
    pub sequence: Cell<u64>,
    /// When this daemon started.
    pub started_at: Instant,
    /// Daemons that there were when the lease was last renewed, once that is known.
    pub fleet_size: Cell<Option<usize>>,
    /// Lines about requests that may be written.
    pub request_lines: RefCell<LineBudget>,
    /// Whether requests and connections are taken.
    pub intake: Cell<Intake>,
    /// Clients' connections that are open.
    pub client_connections: OpenCount,
}

/// Whether a daemon takes requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Takes both.
    Open,
    /// Accepts connections, and turns requests away.
    Refusing,
    /// Accepts no connections.
    Closed,
}

impl GatewayContext {
    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().current.clone()
    }

    /// Takes a configuration that was read at `proof` or, without one, passed on. Versions
    /// and revisions only rise.
    pub fn take_configuration(&self, revision: u64, text: &[u8], proof: Option<Instant>) {
        let mut state = self.configuration.borrow_mut();
        if revision > state.revision {
            let decoded = match platform::configuration::decode(text) {
                Ok(decoded) => decoded,
                Err(error) => {
                    spdlog::error!("configuration not understood: {}", error, kv: { revision });
                    return;
                }
            };
            let known = state.current.as_ref().map_or(0, |current| current.version);
            spdlog::info!("configuration", kv: {
                version: = decoded.version, revision, before = known, outcome = "in force"
            });
            state.revision = revision;
            if state.current.is_none() || decoded.version > known {
                state.current = Some(Rc::new(decoded));
                state.text = Bytes::copy_from_slice(text);
            }
        }
        if revision == state.revision && state.proof < proof {
            state.proof = proof;
        }
    }

    /// Whether keys may be used: the configuration was the newest one not long ago.
    pub fn keys_are_fresh(&self, now: Instant) -> bool {
        let Some(longest) = self.settings.bounds.key_freshness else { return true };
        let longest = longest.saturating_sub(FRESHNESS_MARGIN);
        let proof = self.configuration.borrow().proof;
        proof.is_some_and(|proof| now.saturating_duration_since(proof) < longest)
    }

    /// Whether the store has failed to answer lately.
    pub fn store_fails(&self, now: Instant) -> bool {
        let failed = self.store_failed.get();
        failed.is_some_and(|at| now.saturating_duration_since(at) < STORE_DOUBTED_FOR)
    }

    /// Whether this daemon asks the store itself: it is one of those that do so for its group, or
    /// what it hears from them is old.
    pub fn watches_store(&self, now: Instant) -> bool {
        let proof = self.configuration.borrow().proof;
        let is_fed = proof.is_some_and(|at| now.saturating_duration_since(at) < FED_WITHIN);
        !is_fed || self.peers.borrow().is_watcher(now)
    }

    /// Takes a list of endpoints, if it is newer than the one held.
    pub fn take_endpoints(&self, list: EndpointList) -> bool {
        if list.revision <= self.endpoint_list.borrow().revision {
            return false;
        }
        self.endpoints.borrow_mut().set_list(&list);
        *self.endpoint_list.borrow_mut() = list;
        true
    }

    /// How many daemons share quotas and budgets.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let mut sharing = self.peers.borrow().sharing(now);
        let age = now.saturating_duration_since(self.started_at);
        if age < MEETING_TIME {
            sharing.known = sharing.known.max(self.fleet_size.get().unwrap_or(EXPECTED_DAEMONS));
        }
        sharing
    }

    /// Whether the number of daemons is known well enough to give out parts of quotas.
    pub fn knows_fleet(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        self.fleet_size.get().is_some() || age >= FLEET_UNKNOWN_LIMIT
    }

    /// Draws one repeat of a service's budget.
    pub fn try_withdraw_retry(&self, service: &SharedName, now: Instant) -> bool {
        let bounds = &self.settings.bounds;
        let reserve = bounds.retry_reserve / self.sharing(now).known as f64;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let window = bounds.retry_window;
        let budget =
            retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(window));
        budget.try_withdraw(bounds.retry_share, reserve, now)
    }

    /// Counts a client's request for a service.
    pub fn note_request(&self, service: &SharedName, now: Instant) {
        let window = self.settings.bounds.retry_window;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(window))
            .request(now);
    }

    /// Counts a request of an account that began to run now.
    pub fn note_run(&self, account: &SharedName) {
        let window = self.wall_clock.borrow().window(self.settings.bounds.usage_window);
        self.usage.borrow_mut().count(account, window);
    }

    /// Number of the next state to tell.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Whether the daemon is on its way out.
    pub fn is_leaving(&self) -> bool {
        *self.kernel.phase().borrow() >= LifePhase::Draining
    }

    /// Whether the daemon can serve: it takes new connections.
    pub fn is_ready(&self, now: Instant) -> bool {
        let listed = self.endpoint_list.borrow().revision > 0;
        let knows = self.configuration().is_some() && self.knows_fleet(now);
        !self.is_leaving() && listed && knows && self.keys_are_fresh(now)
    }
}
