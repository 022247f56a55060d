//! Exchange of news between daemons: each calls a few others in turn, many times a second,
//! and every call carries the news of both sides.
//!
//! What the exchange costs a daemon hardly grows with their number (`groups`); what it tells is
//! as old as a round of turns is long.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use super::{
    codec::{
        ConfigurationSummary, DaemonCounters, DaemonState, GossipMessage, LeaseSummary,
        RequestedParts, read_message, write_message,
    },
    report_source::ReportSource,
};
use crate::{
    exchange_capnp::exchange,
    gateway::{
        context::GatewayContext,
        policy::{
            catch_up::{HeldRevisions, wait_for_store},
            endpoint_choice::endpoint_number,
            endpoint_load::ReportedLoads,
            usage_counts::WindowCounts,
        },
    },
    http::server,
    rpc_transport::{TrafficCounter, rpc_system},
    wall_clock_ms,
};

/// Name of the service that calls other daemons.
pub const CALLER_SERVICE: &str = "exchange";
/// Name of the service that other daemons call.
pub const GATE_SERVICE: &str = "exchange-gate";
/// Time between turns.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Daemons called in a turn.
pub const CALLS_PER_INTERVAL: usize = 2;
/// Longest wait for a connection, and for an answer.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Daemons that one message brings word of.
const WORDS: usize = 8;
/// A daemon that has told fewer states than this has started a few seconds ago.
const RECENT_STATES: u64 = 200;
/// Windows of usage that are told: older ones have been reported.
const WINDOWS_TOLD: usize = 4;

struct OpenConnection {
    client: exchange::Client,
    task: tokio::task::AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// State of the exchange at one daemon.
#[derive(Default)]
struct ExchangeState {
    open: RefCell<HashMap<SocketAddr, Rc<OpenConnection>>>,
    traffic: TrafficCounter,
}

/// Serves other daemons' calls until the daemon stops.
pub async fn serve(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    server::accept_each(listener, phase, |stream| {
        let peer_listener = ExchangeGate { context: context.clone() };
        let peer_listener: exchange::Client = capnp_rpc::new_client(peer_listener);
        tokio::task::spawn_local(async move {
            // NOTE: a peer that breaks off or sends garbage ends only its own connection.
            let counter = TrafficCounter::default();
            let _ = rpc_system(stream, Side::Server, Some(peer_listener.client), &counter).await;
        });
    })
    .await;
}

struct ExchangeGate {
    context: Rc<GatewayContext>,
}

impl exchange::Server for ExchangeGate {
    async fn swap(
        self: Rc<Self>,
        params: exchange::SwapParams,
        mut results: exchange::SwapResults,
    ) -> Result<(), Error> {
        let news = read_message(params.get()?.get_news()?)?;
        let wants = news.wants;
        // NOTE: how long the call took to arrive is not known, so it proves no freshness.
        hear(&self.context, news, None);
        let own = own_message(&self.context, wants);
        write_message(results.get().init_news(), &own);
        Ok(())
    }
}

/// Calls other daemons in turn until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    let state = Rc::new(ExchangeState::default());
    let mut turns = interval(GOSSIP_INTERVAL);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        turns.tick().await;
        let now = Instant::now();
        context.wall_clock.borrow_mut().compare(wall_clock_ms(), now);
        let mut due = context.peers.borrow_mut().due(now, &mut rand::rng());
        let newer_holders = context.catch_up.borrow().newer_holders(held_revisions(&context));
        let extra: Vec<SocketAddr> =
            newer_holders.filter(|address| !due.contains(address)).collect();
        due.extend(extra);
        for address in due {
            let (context, state) = (context.clone(), state.clone());
            tokio::task::spawn_local(async move { call(&context, &state, address).await });
        }
        context.metrics.gauge("peer_bytes", state.traffic.bytes() as f64);
    }
}

async fn call(context: &Rc<GatewayContext>, state: &ExchangeState, address: SocketAddr) {
    let asked = Instant::now();
    match timeout(CALL_LIMIT, swap(context, state, address)).await {
        Ok(Ok(news)) => {
            hear(context, news, Some(asked));
        }
        Ok(Err(_)) | Err(_) => {
            state.open.borrow_mut().remove(&address);
            context.peers.borrow_mut().failed(address);
            context.metrics.count("exchange_failures", 1);
        }
    }
}

async fn swap(
    context: &Rc<GatewayContext>,
    state: &ExchangeState,
    address: SocketAddr,
) -> Result<GossipMessage, Error> {
    let open = state.open.borrow().get(&address).cloned();
    let open = match open {
        Some(open) => open,
        None => {
            let stream = TcpStream::connect(address).await?;
            let mut rpc = rpc_system(stream, Side::Client, None, &state.traffic);
            let client = rpc.bootstrap(Side::Server);
            let task = tokio::task::spawn_local(async move {
                let _ = rpc.await;
            });
            let open = Rc::new(OpenConnection { client, task: task.abort_handle() });
            state.open.borrow_mut().insert(address, open.clone());
            open
        }
    };
    let mut request = open.client.swap_request();
    let mut own = own_message(context, RequestedParts::default());
    own.wants = wants(context, &address);
    write_message(request.get().init_news(), &own);
    let response = request.send().promise.await?;
    read_message(response.get()?.get_news()?)
}

/// What to ask of the daemon at `address`.
fn wants(context: &GatewayContext, address: &SocketAddr) -> RequestedParts {
    let now = Instant::now();
    let wait = wait_for_store(context.watches_store(now), context.store_fails(now));
    let held = held_revisions(context);
    let fetch = context.catch_up.borrow_mut().revisions_to_fetch(*address, held, wait, now);
    let group = context.peers.borrow().neighbours().represented_group(address).is_some();
    RequestedParts { group, configuration: fetch.configuration, endpoints: fetch.endpoints }
}

fn held_revisions(context: &GatewayContext) -> HeldRevisions {
    HeldRevisions {
        configuration: context.configuration.borrow().revision,
        endpoints: context.endpoint_list.borrow().revision,
    }
}

/// This daemon's news, with what the other side wants.
fn own_message(context: &GatewayContext, wants: RequestedParts) -> GossipMessage {
    let now = Instant::now();
    let configuration = context.configuration.borrow();
    let list = context.endpoint_list.borrow();
    let lease = context.lease.borrow();
    let age_ms = |at: Instant| {
        u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
    };
    GossipMessage {
        state: own_state(context),
        known: context.peers.borrow().words(WORDS, now, &mut rand::rng()),
        configuration: ConfigurationSummary {
            revision: configuration.revision,
            text: wants.configuration.then(|| configuration.text.to_vec()),
            proof_age_ms: configuration.proof.map(age_ms),
        },
        endpoint_revision: list.revision,
        endpoints: wants.endpoints.then(|| list.clone()),
        lease: lease.holder.clone().zip(lease.renewed_at).map(|(holder, at)| LeaseSummary {
            fence: lease.fence,
            holder,
            age_ms: age_ms(at),
            daemons: context.fleet_size.get().unwrap_or(0),
        }),
        wants: RequestedParts::default(),
        group: wants.group.then(|| group_sums(context)),
    }
}

fn own_state(context: &GatewayContext) -> DaemonState {
    let settings = &context.settings;
    let sequence = context.next_sequence();
    let quotas = context.quotas.borrow();
    let endpoints = context.endpoints.borrow();
    let counters = DaemonCounters {
        accounts: quotas
            .counters()
            .map(|(account, counters)| (account.clone(), counters))
            .collect(),
        windows: newest_windows(context.usage.borrow().own().clone()),
        sent: endpoints.own_sent().clone(),
        loads: endpoints.own_loads().map(|(id, load)| (endpoint_number(id), load)).collect(),
    };
    DaemonState {
        incarnation: context.incarnation,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address,
        sequence,
        leaving: context.is_leaving(),
        counters,
    }
}

/// Sums over this daemon's group, itself included.
fn group_sums(context: &GatewayContext) -> DaemonCounters {
    let endpoints = context.endpoints.borrow();
    DaemonCounters {
        accounts: context.quotas.borrow().group_counters().collect(),
        windows: newest_windows(context.usage.borrow().group_totals()),
        sent: endpoints.group_sent(),
        loads: endpoints.group_loads(Instant::now()),
    }
}

fn newest_windows(mut windows: BTreeMap<u64, WindowCounts>) -> BTreeMap<u64, WindowCounts> {
    while windows.len() > WINDOWS_TOLD {
        windows.pop_first();
    }
    windows
}

/// Takes a daemon's news; `asked` is when this daemon asked for them, if it did.
fn hear(context: &GatewayContext, news: GossipMessage, asked: Option<Instant>) {
    let now = Instant::now();
    let GossipMessage {
        state,
        known,
        configuration,
        endpoint_revision,
        endpoints,
        lease,
        group,
        ..
    } = news;
    if state.incarnation == context.incarnation {
        return;
    }
    let newer = {
        let mut peers = context.peers.borrow_mut();
        for word in known.iter().take(WORDS) {
            peers.learn(word, now);
        }
        let DaemonState { address, incarnation, sequence, leaving, .. } = state;
        peers.hear(address, incarnation, sequence, leaving, now)
    };
    let recent = state.sequence < RECENT_STATES;
    let (in_own_group, represented_group) = {
        let peers = context.peers.borrow();
        let neighbours = peers.neighbours();
        (neighbours.in_own_group(&state.address), neighbours.represented_group(&state.address))
    };
    if newer && in_own_group {
        let source = ReportSource::Daemon(state.incarnation);
        receive_counters(context, source, state.counters, recent, now);
    }
    if let (Some(group), Some(number)) = (group, represented_group) {
        let representative = state.incarnation;
        receive_counters(
            context,
            ReportSource::Group { number, representative },
            group,
            recent,
            now,
        );
    }
    let told =
        HeldRevisions { configuration: configuration.revision, endpoints: endpoint_revision };
    context.catch_up.borrow_mut().receive(state.address, told, now);
    hear_configuration(context, &configuration, asked);
    if let Some(list) = endpoints {
        let revision = list.revision;
        if context.take_endpoints(list) {
            spdlog::info!("replicas", kv: { revision, source = "peer" });
        }
    }
    if let Some(lease) = lease {
        let age = Duration::from_millis(u64::from(lease.age_ms));
        if context.fleet_size.get().is_none() && lease.daemons > 0 {
            context.fleet_size.set(Some(lease.daemons));
        }
        // NOTE: the word is at least this old; taken for younger it only delays a take-over.
        if let Some(renewed_at) = now.checked_sub(age) {
            context.lease.borrow_mut().observe(lease.fence, &lease.holder, renewed_at);
        }
    }
}

fn receive_counters(
    context: &GatewayContext,
    source: ReportSource,
    counters: DaemonCounters,
    recent: bool,
    now: Instant,
) {
    context.quotas.borrow_mut().receive(source, &counters.accounts, recent, now);
    let mut usage = context.usage.borrow_mut();
    for (window, counts) in counters.windows {
        usage.receive(source, window, counts);
    }
    let heard = ReportedLoads { at: now, loads: counters.loads, sent: counters.sent };
    context.endpoints.borrow_mut().hear(source, heard);
}

fn hear_configuration(
    context: &GatewayContext,
    news: &ConfigurationSummary,
    asked: Option<Instant>,
) {
    let age = news.proof_age_ms.map(|age| Duration::from_millis(u64::from(age)));
    let proof = asked.zip(age).and_then(|(asked, age)| asked.checked_sub(age));
    let known = context.configuration.borrow().revision;
    match &news.text {
        Some(text) => context.take_configuration(news.revision, text, proof),
        None if news.revision == known && known > 0 => {
            context.take_configuration(news.revision, &[], proof);
        }
        None => {}
    }
}
