//! Orders of endpoints: what the plan asks for and has not been ordered yet.

use std::{collections::BTreeMap, collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{
    gateway::{
        configuration::Service,
        context::GatewayContext,
        endpoint::EndpointState,
        policy::fleet_size::{
            EndpointPlanner, EndpointTargets, PriceClass, ServiceDemand, ZoneHolding,
        },
    },
    ids::SharedName,
    platform::cloud::{CloudOutcome, EndpointOrder},
};

/// Time between looks at the demand.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// An order that was answered is given again if the list still shows another number after
/// the endpoints' start-up time and this.
const SHOWN_AFTER: Duration = Duration::from_millis(2_500);
/// An order for fewer reclaimable endpoints waits until it has been wanted for this long.
const FEWER_RECLAIMABLE_AFTER: Duration = Duration::from_secs(4);
/// An order for fewer others, which are dear, waits until it has been wanted for this long.
const FEWER_ON_DEMAND_AFTER: Duration = Duration::from_millis(500);
/// Weight of the newest look in the smoothed demand.
const SMOOTHING: f64 = 0.3;

type OrderKey = (SharedName, SharedName, PriceClass);

#[derive(Debug)]
struct ServiceFleet {
    planner: EndpointPlanner,
    looked_at: Option<Instant>,
    read_before: u64,
    demand: ServiceDemand,
}

#[derive(Clone, Copy, Debug)]
struct GivenOrder {
    count: u32,
    at: Instant,
    answered: bool,
}

/// Orders of all services at the daemon that holds the lease.
#[derive(Debug, Default)]
pub struct EndpointOrders {
    services: HashMap<SharedName, ServiceFleet>,
    given: BTreeMap<OrderKey, GivenOrder>,
    fewer_since: BTreeMap<OrderKey, Instant>,
    shown_before: BTreeMap<OrderKey, u32>,
    /// What the holder before had found to be needed, by service.
    needs_before: BTreeMap<SharedName, f64>,
}

impl EndpointOrders {
    /// Orders of a new holder; `needs` is what the one before had found to be needed.
    pub fn after(needs: BTreeMap<SharedName, f64>) -> Self {
        Self { needs_before: needs, ..Self::default() }
    }

    /// Endpoints needed, by service.
    pub fn needs(&self) -> BTreeMap<SharedName, f64> {
        let mut needs = self.needs_before.clone();
        for (service, fleet) in &self.services {
            needs.insert(service.clone(), fleet.planner.need());
        }
        needs
    }

    /// Endpoints needed of a service.
    pub fn need(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |fleet| fleet.planner.need())
    }

    /// Orders to give now.
    pub fn due(
        &mut self,
        context: &GatewayContext,
        now: Instant,
    ) -> BTreeMap<OrderKey, EndpointOrder> {
        let mut due = BTreeMap::new();
        let Some(configuration) = context.configuration() else { return due };
        for service in configuration.services.values() {
            if service.fleet.is_some() {
                self.service_orders(context, service, now, &mut due);
            }
        }
        due
    }

    fn service_orders(
        &mut self,
        context: &GatewayContext,
        service: &Service,
        now: Instant,
        due: &mut BTreeMap<OrderKey, EndpointOrder>,
    ) {
        let Some(spec) = &service.fleet else { return };
        let held = holdings(context, service);
        let before = self.needs_before.get(&service.name).copied();
        let fleet = self.services.entry(service.name.clone()).or_insert_with(|| ServiceFleet {
            planner: EndpointPlanner::new(before, now),
            looked_at: None,
            read_before: 0,
            demand: ServiceDemand::default(),
        });
        if !fleet.look(context, service, now) {
            return;
        }
        fleet.planner.find(&held, now);
        if !fleet.planner.is_settled(now) {
            return;
        }
        let targets = fleet.planner.plan(spec, &held);
        let turned_down = fleet.planner.turned_down_zones(now);
        let wait = spec.start_time + SHOWN_AFTER;
        for ((zone, class), wanted) in targets_by_growth(targets, &held) {
            if class == PriceClass::Reclaimable && turned_down.contains(&zone) {
                continue;
            }
            let key = (service.name.clone(), zone.clone(), class);
            let shown = held.get(&zone).map_or(0, |holding| number_of(*holding, class));
            if self.is_due(&key, wanted, shown, wait, now) {
                let reclaimable = class == PriceClass::Reclaimable;
                let service = service.name.clone();
                due.insert(key, EndpointOrder { service, zone, reclaimable, count: wanted });
            }
        }
    }

    fn is_due(
        &mut self,
        key: &OrderKey,
        wanted: u32,
        shown: u32,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let standing = self.given.get(key).filter(|order| order.answered);
        let current = standing.map_or(shown, |order| order.count);
        if wanted < current.max(shown) && wanted <= current {
            let since = *self.fewer_since.entry(key.clone()).or_insert(now);
            let wait = match key.2 {
                PriceClass::Reclaimable => FEWER_RECLAIMABLE_AFTER,
                PriceClass::OnDemand => FEWER_ON_DEMAND_AFTER,
            };
            if now.saturating_duration_since(since) < wait {
                return false;
            }
        } else {
            self.fewer_since.remove(key);
        }
        let before = self.shown_before.insert(key.clone(), shown).unwrap_or(shown);
        if shown < before && shown < wanted {
            // NOTE: some were taken back; asked again at once, the cloud says whether there are
            // others to be had.
            return true;
        }
        match self.given.get(key) {
            None => wanted != shown,
            Some(order) if !order.answered => true,
            Some(order) if order.count != wanted => true,
            Some(order) => shown != wanted && now.saturating_duration_since(order.at) > wait,
        }
    }

    /// The cloud has answered an order, or has not.
    pub fn answered(&mut self, order: &EndpointOrder, answer: Option<CloudOutcome>, now: Instant) {
        let class = match order.reclaimable {
            true => PriceClass::Reclaimable,
            false => PriceClass::OnDemand,
        };
        let key = (order.service.clone(), order.zone.clone(), class);
        let answered = answer.is_some();
        self.given.insert(key.clone(), GivenOrder { count: order.count, at: now, answered });
        if answer == Some(CloudOutcome::NoneToBeHad) {
            self.given.remove(&key);
            if let Some(fleet) = self.services.get_mut(&order.service) {
                fleet.planner.turned_down(&order.zone, now);
            }
        }
    }
}

impl ServiceFleet {
    /// Takes the demand of this moment; whether a look was due.
    fn look(&mut self, context: &GatewayContext, service: &Service, now: Instant) -> bool {
        let elapsed = self.looked_at.map(|at| now.saturating_duration_since(at));
        if elapsed.is_some_and(|elapsed| elapsed < LOOK_EVERY) {
            return false;
        }
        self.looked_at = Some(now);
        let endpoints = context.endpoints.borrow();
        let read = endpoints.tokens_sent(&service.name);
        let running = f64::from(endpoints.service_load(&service.name, now).running);
        let newest = ServiceDemand {
            prefill_rate: match elapsed {
                Some(elapsed) if read >= self.read_before => {
                    (read - self.read_before) as f64 / elapsed.as_secs_f64()
                }
                _ => self.demand.prefill_rate,
            },
            endpoint_read_rate: endpoints.prefill_rate(&service.name) * 1e3,
            running,
            slots: service.engine.as_ref().map_or(1.0, |engine| f64::from(engine.slots)),
        };
        self.read_before = read;
        let smooth = |before: f64, now: f64| before + (now - before) * SMOOTHING;
        self.demand = ServiceDemand {
            prefill_rate: smooth(self.demand.prefill_rate, newest.prefill_rate),
            running: smooth(self.demand.running, newest.running),
            ..newest
        };
        let serving = endpoints.ready(&service.name).count();
        self.planner.observe(&self.demand, serving, now);
        true
    }
}

fn number_of(holding: ZoneHolding, class: PriceClass) -> u32 {
    match class {
        PriceClass::Reclaimable => holding.reclaimable,
        PriceClass::OnDemand => holding.on_demand,
    }
}

/// Targets that ask for more come first, so that nothing is given up before it is replaced.
fn targets_by_growth(
    targets: EndpointTargets,
    held: &BTreeMap<SharedName, ZoneHolding>,
) -> Vec<((SharedName, PriceClass), u32)> {
    let mut list: Vec<_> = targets.into_iter().collect();
    list.sort_by_key(|((zone, class), wanted)| {
        let shown = held.get(zone).map_or(0, |holding| number_of(*holding, *class));
        i64::from(shown) - i64::from(*wanted)
    });
    list
}

/// Endpoints of a service that are not leaving, in every zone where it may run.
fn holdings(context: &GatewayContext, service: &Service) -> BTreeMap<SharedName, ZoneHolding> {
    let mut held = BTreeMap::new();
    if let Some(spec) = &service.fleet {
        for (zone, _) in &spec.zone_prices {
            held.insert(zone.clone(), ZoneHolding::default());
        }
    }
    for record in &context.endpoint_list.borrow().endpoints {
        if record.service != service.name || record.state == EndpointState::Draining {
            continue;
        }
        let holding: &mut ZoneHolding = held.entry(record.zone.clone()).or_default();
        match record.reclaimable {
            true => holding.reclaimable += 1,
            false => holding.on_demand += 1,
        }
    }
    held
}
