//! Checks a client's request against the configuration, and spends its quota.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::{
    call::{Call, CallHead},
    refusal::{NO_ENDPOINT_WAIT, Refusal, SpentQuota},
};
use crate::gateway::{
    configuration::{Account, Configuration, Route, Service},
    context::{GatewayContext, Intake},
    policy::quota::QuotaVerdict,
};

/// Longest time that a request is held which names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request that has been checked and admitted.
pub struct Admitted {
    /// The request.
    pub call: Call,
    /// Its route.
    pub route: Rc<Route>,
    /// Service that the route's split gave it.
    pub service: Rc<Service>,
    /// Account, unless the route is public.
    pub account: Option<Rc<Account>>,
    /// When it has to be over.
    pub deadline: Instant,
    /// Whether its run has been counted as used.
    pub counted: Cell<bool>,
}

/// Checks a request and admits it.
pub async fn admit(
    context: &Rc<GatewayContext>,
    head: CallHead,
    body: Incoming,
    received: Instant,
) -> Result<Admitted, Refusal> {
    if context.intake.get() != Intake::Open {
        return Err(Refusal::Leaving);
    }
    let configuration = context.configuration().ok_or(Refusal::NoConfiguration)?;
    let route = configuration.route(&head.host, head.path()).ok_or(Refusal::NoRoute)?.clone();
    let account = find_account(context, &configuration, &route, &head, received)?;
    let held = [head.deadline, route.timeout].into_iter().flatten().min();
    let deadline = received + held.unwrap_or(DEFAULT_DEADLINE);
    let body = read_body(body, configuration.limits.body_bytes, deadline).await?;
    let service =
        pick_service(&configuration, &route).ok_or(Refusal::NoEndpoint(NO_ENDPOINT_WAIT))?;
    let now = Instant::now();
    if let Some(account) = &account {
        spend_quota(context, account, &head, now)?;
    }
    context.note_request(&service.name, now);
    Ok(Admitted {
        call: Call { head, body },
        route,
        service,
        account,
        deadline,
        counted: Cell::new(false),
    })
}

fn find_account(
    context: &GatewayContext,
    configuration: &Configuration,
    route: &Route,
    head: &CallHead,
    now: Instant,
) -> Result<Option<Rc<Account>>, Refusal> {
    if route.public || configuration.accounts.is_empty() {
        return Ok(None);
    }
    if !context.keys_are_fresh(now) {
        return Err(Refusal::NotFresh);
    }
    let key = head.key.as_deref().ok_or(Refusal::UnknownKey)?;
    let account = configuration.account_of(key).ok_or(Refusal::UnknownKey)?;
    Ok(Some(account.clone()))
}

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodyTooLong);
    }
    let collecting = timeout_at(deadline, Limited::new(body, limit).collect());
    match collecting.await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyBroken),
    }
}

fn pick_service(configuration: &Configuration, route: &Route) -> Option<Rc<Service>> {
    let total: u32 = route.services.iter().map(|entry| entry.weight).sum();
    let mut point = rand::rng().random_range(0..total.max(1));
    for entry in &route.services {
        if point < entry.weight {
            return configuration.services.get(&entry.service).cloned();
        }
        point -= entry.weight;
    }
    None
}

/// Units that a request takes of its account's quota.
fn quota_units(account: &Account, head: &CallHead) -> u64 {
    if !account.quota.in_tokens {
        return 1;
    }
    head.tokens.map_or(account.quota.default_tokens, |tokens| tokens.total())
}

fn spend_quota(
    context: &GatewayContext,
    account: &Account,
    head: &CallHead,
    now: Instant,
) -> Result<(), Refusal> {
    if account.quota.rate.is_some() && !context.knows_fleet(now) {
        return Err(Refusal::FleetUnknown);
    }
    let units = quota_units(account, head);
    let sharing = context.sharing(now);
    let mut quotas = context.quotas.borrow_mut();
    match quotas.admit(&account.name, &account.quota, units, sharing, now, &mut rand::rng()) {
        QuotaVerdict::Admitted => Ok(()),
        QuotaVerdict::Refused { retry_after, level } => Err(Refusal::QuotaSpent(SpentQuota {
            account: account.name.clone(),
            units,
            level,
            heard: sharing.heard,
            known: sharing.known,
            retry_after,
        })),
    }
}

/// Gives back what a request took of its quota that has not run.
pub fn give_quota_back(context: &GatewayContext, admitted: &Admitted) {
    if let Some(account) = &admitted.account {
        let units = quota_units(account, &admitted.call.head);
        context.quotas.borrow_mut().give_back(&account.name, units);
    }
}
