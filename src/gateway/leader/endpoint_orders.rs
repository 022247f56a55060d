//! Collects the inputs of `policy::leader::endpoint_orders` and converts its orders to the form of the
//! cloud's API.

use std::{collections::BTreeMap, rc::Rc};

use tokio::time::Instant;

use crate::{
    gateway::{
        configuration::Service,
        context::GatewayContext,
        endpoint::EndpointRecord,
        policy::leader::{
            endpoint_orders::ZoneOrder,
            observed_service::ObservedService,
            zone_plan::{PriceClass, ReclaimRisk, ZoneHolding},
        },
    },
    ids::SharedName,
    platform::cloud::EndpointOrder,
};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// What this daemon knows about a service's endpoints, their load and the current reclaim risk.
pub fn observe_service(
    context: &GatewayContext,
    service: &Service,
    risk: ReclaimRisk,
    now: Instant,
) -> ObservedService {
    let endpoints = context.endpoints.borrow();
    ObservedService {
        held: holdings(context, service),
        risk,
        serving: proven_endpoints(context, service).len(),
        prompt_tokens_sent: endpoints.tokens_sent(&service.name),
        running: f64::from(endpoints.service_load(&service.name, now).running),
        requests_per_s: endpoints.demand(&service.name),
        endpoint_prefill_rate: endpoints.prefill_rate(&service.name) * MS_PER_S,
        slots: service.engine.as_ref().map_or(1.0, |engine| f64::from(engine.slots)),
    }
}

/// Number of ready endpoints of a service in each zone where it may run.
pub fn holdings(context: &GatewayContext, service: &Service) -> BTreeMap<SharedName, ZoneHolding> {
    let mut held = BTreeMap::new();
    if let Some(spec) = &service.fleet {
        for (zone, _) in &spec.zone_prices {
            held.insert(zone.clone(), ZoneHolding::default());
        }
    }
    for record in proven_endpoints(context, service) {
        let holding: &mut ZoneHolding = held.entry(record.zone.clone()).or_default();
        match record.reclaimable {
            true => holding.reclaimable += 1,
            false => holding.on_demand += 1,
        }
    }
    held
}

/// Ready endpoints of a service. Those of a version that is being rolled out don't count: they may have
/// to leave again.
fn proven_endpoints(context: &GatewayContext, service: &Service) -> Vec<Rc<EndpointRecord>> {
    let rollouts = context.rollouts.borrow();
    let unproven = rollouts.unproven_version(&service.name);
    let endpoints = context.endpoints.borrow();
    let ready = endpoints.ready(&service.name);
    ready.filter(|record| Some(&record.version) != unproven).cloned().collect()
}

/// Converts an order for the cloud client.
pub fn cloud_order(order: &ZoneOrder) -> EndpointOrder {
    EndpointOrder {
        service: order.service.clone(),
        zone: order.zone.clone(),
        reclaimable: order.class == PriceClass::Reclaimable,
        count: order.count,
    }
}
