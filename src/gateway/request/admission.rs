//! Admits a client's request: reads its body and charges its quota, according to
//! `policy::request::admission`, `policy::request::key_freshness` and `policy::request::quota`.

mod body_reader;
pub mod body_store;

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use hyper::body::Body;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use self::body_reader::{BodyTerms, read_body};
use super::{client_listener::client_body::BodyFault, request_log::RequestTrace};
use crate::boot_clock;
use crate::gateway::{
    call::{Call, CallHead, call_body::CallBody},
    configuration::{Account, Configuration, Route, Service},
    context::GatewayContext,
    gossip::streams::{origin_search::find_origin, record_take_up},
    policy::request::{
        admission::{MatchedHead, match_head, quota_units, service_at, total_weight},
        fingerprint::RequestFingerprint,
        quota::QuotaVerdict,
        refusal::{Refusal, SpentQuota},
        retry_after,
        stream_origin::{StreamKey, StreamOrigin},
        time_limits,
    },
};

/// Time that a request has if its client names none, for the decision to wait for peers.
const DEFAULT_TIME: Duration = Duration::from_secs(1);
/// Interval between checks whether peers have responded: short beside the responses of fast routes.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A request that has been checked and admitted.
pub struct Admitted {
    /// The request.
    pub call: Call,
    /// Its route.
    pub route: Rc<Route>,
    /// Service, chosen at random by the route's weights.
    pub service: Rc<Service>,
    /// Version at which a stream that the client takes up goes on.
    pub origin: Option<StreamOrigin>,
    /// Account; `None` for public routes, and if the configuration requires no keys.
    pub account: Option<Rc<Account>>,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether its run has been counted for the account.
    counted: Cell<bool>,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl Admitted {
    /// Counts a run for the account, at most once per request.
    pub fn count_run(&self, context: &GatewayContext) {
        if let Some(account) = &self.account
            && !self.counted.replace(true)
        {
            context.record_run(&account.name);
        }
    }

    /// The request's fingerprint; computed on first use, since it hashes the whole body.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| RequestFingerprint::of(self.account_name(), &self.call))
    }

    /// The part of the fingerprint that doesn't depend on the body.
    pub fn fingerprint_head(&self) -> u64 {
        RequestFingerprint::head_of(self.account_name(), &self.call.head)
    }

    /// Name of the account, if the request has one.
    fn account_name(&self) -> Option<&str> {
        self.account.as_ref().map(|account| &*account.name)
    }
}

/// Checks a request and admits it.
pub async fn admit(
    context: &Rc<GatewayContext>,
    head: CallHead,
    body: impl Body<Data = Bytes, Error = BodyFault>,
    received: Instant,
    trace: &mut RequestTrace,
) -> Result<Admitted, Refusal> {
    if !context.intake.accepts_requests() {
        return Err(Refusal::Leaving);
    }
    wait_for_peers(context, head.deadline, received).await;
    let configuration = context.configuration().ok_or(Refusal::NoConfiguration)?;
    let now = boot_clock::now();
    let keys = context.key_freshness(now);
    let doubt = context.configuration_doubt(now);
    let matched = match_head(&configuration, &head, keys, doubt)?;
    trace.matched(&matched);
    let MatchedHead { route, account } = matched;
    let deadline = time_limits::request_deadline(received, head.deadline, &route);
    let terms = BodyTerms { largest: configuration.limits.body_bytes, received, deadline };
    let body = read_body_before_stop(context, body, terms).await?;
    let origin = find_origin_of(context, &head, &route, account.as_deref(), trace).await?;
    let service = choose_service(&configuration, &route, origin.as_ref())?;
    let now = boot_clock::now();
    if let Some(account) = &account {
        charge_quota(context, account, &head, now)?;
    }
    context.retry_budgets.borrow_mut().record_request(&service.name, now);
    let call = Call { head, body };
    Ok(Admitted {
        call,
        route,
        service,
        origin,
        account,
        deadline,
        counted: Cell::new(false),
        fingerprint: OnceCell::new(),
    })
}

/// Reads a body, unless its request can no longer be passed on since this daemon stops.
async fn read_body_before_stop(
    context: &GatewayContext,
    body: impl Body<Data = Bytes, Error = BodyFault>,
    terms: BodyTerms,
) -> Result<CallBody, Refusal> {
    tokio::select! {
        biased;
        body = read_body(&context.bodies, body, terms) => body,
        () = context.intake.until_too_late(terms.deadline) => Err(Refusal::Leaving),
    }
}

/// Waits until this daemon is up to date with its peers, if that will be soon.
async fn wait_for_peers(context: &GatewayContext, limit: Option<Duration>, received: Instant) {
    let limit = limit.unwrap_or(DEFAULT_TIME);
    loop {
        let now = boot_clock::now();
        let time_left = limit.saturating_sub(now.saturating_duration_since(received));
        let Some(wait) = context.wait_for_peers(time_left, now) else { return };
        sleep(wait.min(CONTACT_CHECK_INTERVAL)).await;
    }
}

fn draw_service(configuration: &Configuration, route: &Route) -> Option<Rc<Service>> {
    let point = rand::rng().random_range(0..total_weight(&route.services).max(1));
    let drawn = service_at(&route.services, point)?;
    configuration.services.get(&drawn.service).cloned()
}

/// Finds out where a stream was begun that the client takes up; none for other requests.
async fn find_origin_of(
    context: &Rc<GatewayContext>,
    head: &CallHead,
    route: &Route,
    account: Option<&Account>,
    trace: &mut RequestTrace,
) -> Result<Option<StreamOrigin>, Refusal> {
    if !route.kind.is_stream() || head.last_event.is_none() {
        return Ok(None);
    }
    let key = StreamKey::of(account.map(|account| &*account.name), head.stream_id());
    let search = find_origin(context, key, route.sole_service()).await;
    trace.taken_up(head.stream_id(), &search);
    record_take_up(context, key, search.origin.as_ref());
    match search.origin {
        Some(origin) => Ok(Some(origin)),
        None => Err(Refusal::UnknownStream(retry_after::UNKNOWN_STREAM)),
    }
}

/// The service that began a stream which is taken up, and one by the route's weights for other requests.
fn choose_service(
    configuration: &Configuration,
    route: &Route,
    origin: Option<&StreamOrigin>,
) -> Result<Rc<Service>, Refusal> {
    let service = match origin {
        Some(origin) => service_of(configuration, route, origin),
        None => draw_service(configuration, route),
    };
    service.ok_or(Refusal::NoEndpoint(retry_after::NO_ENDPOINT))
}

/// The service at which a stream was begun, if its route still leads there.
fn service_of(
    configuration: &Configuration,
    route: &Route,
    origin: &StreamOrigin,
) -> Option<Rc<Service>> {
    let name = &origin.start.service;
    let is_of_route = route.services.iter().any(|service| service.service == *name);
    is_of_route.then(|| configuration.services.get(name).cloned()).flatten()
}

fn charge_quota(
    context: &GatewayContext,
    account: &Account,
    head: &CallHead,
    now: Instant,
) -> Result<(), Refusal> {
    if account.quota.rate.is_some() && !context.knows_fleet_size(now) {
        return Err(Refusal::FleetUnknown);
    }
    let units = quota_units(&account.quota, head.tokens);
    let sharing = context.sharing(now);
    let mut quotas = context.quotas.borrow_mut();
    match quotas.admit(&account.name, &account.quota, units, sharing, now, &mut rand::rng()) {
        QuotaVerdict::Admitted => Ok(()),
        QuotaVerdict::Refused { retry_after, level } => Err(Refusal::QuotaSpent(SpentQuota {
            account: account.name.clone(),
            units,
            level,
            rate: account.quota.rate.unwrap_or(f64::INFINITY),
            heard: sharing.heard,
            known: sharing.known,
            retry_after,
        })),
    }
}

/// Refunds the quota of a request that has not run.
pub fn refund_quota(context: &GatewayContext, admitted: &Admitted) {
    if let Some(account) = &admitted.account {
        let units = quota_units(&account.quota, admitted.call.head.tokens);
        context.quotas.borrow_mut().give_back(&account.name, units);
    }
}
