//! Calls a few other daemons in every gossip interval, and applies their responses.
//!
//! If a call fails or takes too long, its connection is
//! closed and the failure is counted (`exchange_failures`). The peer table decides when the address
//! is called again.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::{
    codec::{read_message, write_message},
    endpoint_signals::{
        brittle::divide_slots_if_due,
        limits::{apply_lent, divide_if_due, lenders_to_ask},
        warnings::begin_trials,
    },
    incoming::apply_message,
    messages::{GossipMessage, RequestedParts},
    outgoing::{held_versions, own_message},
    peer_connections::CALL_LIMIT,
    rollouts::evaluate_versions,
    streams::tell_active_streams,
};
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        policy::{
            daemon::{
                catch_up::wait_for_store,
                text_fetches::{FetchOutcomes, SentVersions, TextFetches},
            },
            leader::usage_reports::requests_former_usage,
        },
        request::crash_watch::find_crashing_parts,
    },
    wall_clock_ms,
};

/// Name of the service.
pub const NAME: &str = "gossip-caller";
/// Time between two rounds of calls.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of regular calls in an interval: 20 per second.
pub const CALLS_PER_INTERVAL: usize = 2;
/// Time limit for a call that requests a configuration or a list of endpoints. A long text takes
/// far longer beside other transfers than a call without a text.
pub const FETCH_LIMIT: Duration = Duration::from_millis(2_500);

/// Calls other daemons until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    let mut missed = boot_clock::suspended_time();
    let mut ticks = interval(GOSSIP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        missed = log_suspension(&context, missed);
        let now = boot_clock::now();
        context.wall_clock.borrow_mut().compare(wall_clock_ms(), now);
        context.peer_contact.borrow_mut().begin_interval(now);
        context.observe_fleet(now);
        context.crashes.borrow_mut().forget_old(now);
        context.part_crashes.borrow_mut().forget_old(now);
        find_crashing_parts(&context, now);
        context.end_rewrite_period(now);
        divide_if_due(&context, now);
        divide_slots_if_due(&context, now);
        begin_trials(&context, now);
        evaluate_versions(&context, now);
        context.confirm_versions(now);
        tell_active_streams(&context);
        let fetches = start_fetches(&context, now);
        for address in addresses_to_call(&context, &fetches, now) {
            let context = context.clone();
            tokio::task::spawn_local(async move {
                call(&context, address, fetches).await;
            });
        }
        let records = context.crashes.borrow().len() + context.part_crashes.borrow().table().len();
        context.metrics.gauge("crash_records", records as f64);
        context.metrics.gauge("peer_bytes", context.peer_connections.traffic.bytes() as f64);
        context.metrics.gauge(
            "configuration_proof_age_ms",
            context.configuration.borrow().proof_age_ms(now) as f64,
        );
    }
}

/// Logs a suspension of the VM since the last interval. Returns the total suspended time so far.
fn log_suspension(context: &GatewayContext, missed_before: Duration) -> Duration {
    let missed = boot_clock::suspended_time();
    if missed > missed_before {
        let gap_ms = (missed - missed_before).as_millis();
        spdlog::warn!("suspended", kv: { gap_ms = gap_ms as u64 });
        context.metrics.count("suspensions", 1);
    }
    missed
}

/// Picks the peers from which to fetch newer texts, if any have been reported.
fn start_fetches(context: &GatewayContext, now: Instant) -> TextFetches {
    let wait = wait_for_store(context.watches_store(now), context.store_fails(now));
    let held = held_versions(context);
    context.catch_up.borrow_mut().start_fetches(held, wait, now, &mut rand::rng())
}

/// Peers to call in this interval, including those to request texts from.
fn addresses_to_call(
    context: &GatewayContext,
    fetches: &TextFetches,
    now: Instant,
) -> BTreeSet<SocketAddr> {
    let rng = &mut rand::rng();
    let mut addresses: BTreeSet<SocketAddr> =
        context.peers.borrow_mut().next_calls(now, rng).into_iter().collect();
    let is_urgent = context.crashes.borrow().is_urgent(now)
        || context.part_crashes.borrow().is_urgent(now)
        || context.endpoints.borrow().has_urgent_warning(now);
    if is_urgent {
        addresses.extend(context.peers.borrow().urgent_calls(rng));
    }
    addresses.extend(lenders_to_ask(context, now));
    addresses.extend(fetches.addresses());
    addresses
}

async fn call(context: &GatewayContext, address: SocketAddr, fetches: TextFetches) {
    let called_at = boot_clock::now();
    let parts = parts_to_request(context, address, fetches);
    let fetches_configuration = parts.configuration.is_some();
    let fetches_text = fetches_configuration || parts.endpoints.is_some();
    let asks_for_tokens = parts.tokens;
    let limit = if fetches_text { FETCH_LIMIT } else { CALL_LIMIT };
    let called = timeout(limit, swap_messages(context, address, parts)).await;
    let outcomes = match called {
        Ok(Ok(response)) => {
            if asks_for_tokens {
                apply_lent(context, address, &response.lent, boot_clock::now());
            }
            apply_response(context, response, called_at)
        }
        // Counted but not logged: calls to a daemon that has ended fail twice a second.
        Ok(Err(_)) | Err(_) => {
            context.peer_connections.close(address);
            context.peers.borrow_mut().call_failed(address);
            context.metrics.count("exchange_failures", 1);
            FetchOutcomes::FAILED
        }
    };
    if fetches_configuration {
        let name = outcomes.configuration.name();
        context.metrics.count_labelled("configuration_fetches", "outcome", name);
    }
    let mut catch_up = context.catch_up.borrow_mut();
    catch_up.end_fetches(address, fetches, outcomes, boot_clock::now());
}

/// Applies the response to a call made at `called_at`. Returns the results of its fetches.
fn apply_response(
    context: &GatewayContext,
    response: GossipMessage,
    called_at: Instant,
) -> FetchOutcomes {
    let sent = sent_versions(&response);
    let is_starting = response.is_starting;
    apply_message(context, response, Some(called_at));
    if !is_starting {
        context.peer_contact.borrow_mut().receive_response(called_at);
    }
    FetchOutcomes::of_response(sent, held_versions(context))
}

/// Versions of the texts in a response.
fn sent_versions(response: &GossipMessage) -> SentVersions {
    let GossipMessage { configuration, endpoints, endpoint_position, .. } = response;
    SentVersions {
        configuration: configuration.text.as_ref().map(|_| configuration.version),
        endpoints: endpoints.as_ref().map(|_| *endpoint_position),
    }
}

async fn swap_messages(
    context: &GatewayContext,
    address: SocketAddr,
    parts: RequestedParts,
) -> Result<GossipMessage, Error> {
    let connection = context.peer_connections.connect(address).await?;
    let mut request = connection.client.swap_request();
    let mut message = own_message(context, RequestedParts::default());
    message.wants = parts;
    write_message(request.get().init_message(), &message);
    let response = request.send().promise.await?;
    read_message(response.get()?.get_message()?)
}

/// The parts to request from the daemon at `address`.
fn parts_to_request(
    context: &GatewayContext,
    address: SocketAddr,
    fetches: TextFetches,
) -> RequestedParts {
    let fetches_configuration = fetches.configuration == Some(address);
    let fetches_endpoints = fetches.endpoints == Some(address);
    RequestedParts {
        group: context.peers.borrow().neighbours().represented_group(&address).is_some(),
        configuration: fetches_configuration
            .then(|| context.configuration_texts.borrow().request()),
        endpoints: fetches_endpoints.then(|| context.endpoint_texts.borrow().request()),
        usage: requests_former_usage(context.age(boot_clock::now())),
        tokens: context.token_borrower.borrow().is_short(boot_clock::now()),
    }
}
