//! The pure decisions against naive or exhaustive versions, on the clock of numbers.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::{AttemptResult, EndpointHealth, HealthState},
    ids::RequestName,
    native::{
        cloud_api::messages::{PriceClass, PriceEntry},
        cluster::averaging::{AccountOrder, DemandAveraging, EPOCH_MS},
        decide::{
            fair_queue::{FairQueue, QueueTurn},
            fleet::{
                FleetAction, FleetPlace, FleetPlanner, FleetWeights, HeldVm, ServiceFleet,
                choose_counts, expected_cost,
            },
            limits::{AccountLimiter, LimitVerdict, RequestPriority},
            prefix::{PrefixCache, prefix_chain},
            reclaim::{LeavingStream, ReclaimWay, ReclaimWeights, plan_reclaim},
            retries::RetryBucket,
            routing::{EndpointInfo, RouteChoice, RouteQuery, RouteTable},
            subset::{window, window_size},
        },
    },
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

// Routing

fn endpoint(number: usize) -> EndpointInfo {
    EndpointInfo {
        id: format!("vm-{number}").into(),
        address: format!("10.0.0.{number}:1").into(),
        zone: format!("z{}", number % 4).into(),
        class: PriceClass::Reclaimable,
    }
}

fn routes(count: usize, sharing: f64) -> RouteTable {
    let mut routes = RouteTable::new("z0".into());
    routes.set_endpoints(&"model".into(), (0..count).map(endpoint).collect(), 8, sharing);
    routes
}

fn pick(
    routes: &RouteTable,
    chain: &[u64],
    exclude: &[willowarch::ids::SharedName],
) -> RouteChoice {
    let mut rng = SmallRng::seed_from_u64(5);
    let query = RouteQuery { service: "model", chain, exclude, priority: RequestPriority::Normal };
    routes.pick(query, Instant::now(), &mut rng)
}

fn picked(choice: RouteChoice) -> Option<String> {
    match choice {
        RouteChoice::Endpoint(pick) => Some(pick.id.to_string()),
        RouteChoice::Busy | RouteChoice::Nowhere => None,
    }
}

#[googletest::test]
fn prefix_draws_a_request_to_its_engine() {
    let mut routes = routes(4, 1.0);
    let chain = prefix_chain(&"word ".repeat(400));
    routes.started("model", "vm-2", &chain, Instant::now());
    routes.ended("model", "vm-2", AttemptResult::Succeeded, &chain, Instant::now());
    expect_that!(picked(pick(&routes, &chain, &[])), some(eq("vm-2")));
}

#[googletest::test]
fn leaving_and_excluded_endpoints_are_not_picked() {
    let mut routes = routes(2, 1.0);
    routes.mark_leaving(&"vm-0".into());
    expect_that!(picked(pick(&routes, &[], &[])), some(eq("vm-1")));
    expect_that!(pick(&routes, &[], &["vm-1".into()]), eq(&RouteChoice::Nowhere));
    // The address returns as another VM, which is not leaving.
    let mut returned = endpoint(0);
    returned.id = "vm-9".into();
    routes.set_endpoints(&"model".into(), vec![returned], 8, 1.0);
    expect_that!(picked(pick(&routes, &[], &[])), some(eq("vm-9")));
}

#[googletest::test]
fn full_endpoints_are_busy() {
    let mut routes = routes(1, 1.0);
    for _ in 0..8 {
        routes.started("model", "vm-0", &[], Instant::now());
    }
    expect_that!(pick(&routes, &[], &[]), eq(&RouteChoice::Busy));
}

#[googletest::test]
fn failing_endpoint_is_ejected_and_probed_and_recovers() {
    let now = Instant::now();
    let mut health = EndpointHealth::default();
    for _ in 0..3 {
        health.record(AttemptResult::Failed, now);
    }
    expect_that!(health.state(now), eq(HealthState::Ejected));
    health.record(AttemptResult::Neutral, now);
    expect_that!(health.state(now), eq(HealthState::Ejected));
    let later = now + millis(1_100);
    expect_that!(health.state(later), eq(HealthState::Probing));
    health.begin_probe();
    expect_that!(health.state(later), eq(HealthState::Ejected));
    health.record(AttemptResult::Succeeded, later);
    expect_that!(health.state(later), eq(HealthState::Healthy));
}

/// Not more than half are ejected: all failing at once says more about the load.
#[googletest::test]
fn ejection_has_a_floor() {
    let mut routes = routes(4, 1.0);
    for vm in ["vm-0", "vm-1", "vm-2"] {
        for _ in 0..3 {
            routes.started("model", vm, &[], Instant::now());
            routes.ended("model", vm, AttemptResult::Failed, &[], Instant::now());
        }
    }
    let without_last = pick(&routes, &[], &["vm-3".into()]);
    expect_that!(picked(without_last), some(anything()));
}

proptest! {
    /// Each endpoint is covered evenly, whatever the numbers.
    #[test]
    fn windows_cover_evenly(daemons in 1_usize..200, endpoints in 1_usize..400) {
        let mut covered = vec![0_usize; endpoints];
        for rank in 0..daemons {
            let indexes: Vec<usize> = window(rank, daemons, endpoints).collect();
            prop_assert_eq!(indexes.len(), window_size(daemons, endpoints));
            for index in indexes {
                covered[index] += 1;
            }
        }
        let (least, most) = (covered.iter().min().unwrap(), covered.iter().max().unwrap());
        let mean = window_size(daemons, endpoints) * daemons / endpoints;
        prop_assert!(*least >= 1 && *most <= mean + mean / 2 + 2, "{least} {most} {mean}");
    }

    /// The cache never holds more than it may, and knows what was just inserted.
    #[test]
    fn prefix_cache_is_bounded(chains in vec(vec(0_u64..500, 1..30), 1..50)) {
        let mut cache = PrefixCache::new(64);
        for chain in chains {
            cache.insert(&chain);
            prop_assert!(cache.block_count() <= 64);
            prop_assert_eq!(cache.overlap(&chain[chain.len() - 1..]), 1);
        }
    }

    /// Retries stay a tenth of first attempts, beyond the reserve.
    #[test]
    fn retry_budget_is_a_share(events in vec(any::<bool>(), 1..400)) {
        let mut budget = RetryBucket::default();
        let (mut firsts, mut retries) = (0.0, 0.0);
        for is_first in events {
            if is_first {
                budget.deposit();
                firsts += 1.0;
            } else if budget.try_withdraw() {
                retries += 1.0;
            }
            prop_assert!(retries <= 10.0 + firsts * 0.1 + 1e-6);
        }
    }
}

// Limits

/// Several limiters that exchange averages as the daemons do; returns the tokens a
/// second admitted in the last part of the run.
struct LimitPlay {
    limiters: Vec<AccountLimiter>,
    averagings: Vec<DemandAveraging>,
    order: Rc<AccountOrder>,
    base: Instant,
    now_ms: u64,
    rng: SmallRng,
}

impl LimitPlay {
    fn new(daemons: usize) -> Self {
        Self {
            limiters: (0..daemons).map(|_| AccountLimiter::default()).collect(),
            averagings: (0..daemons).map(|_| DemandAveraging::default()).collect(),
            order: Rc::new(AccountOrder::new(["reader".into(), "press".into()])),
            base: Instant::now(),
            now_ms: EPOCH_MS,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn now(&self) -> Instant {
        self.base + millis(self.now_ms)
    }

    fn exchange(&mut self) {
        use rand::RngExt;
        let (now, daemons) = (self.now(), self.limiters.len());
        for index in 0..daemons {
            let limiter = &mut self.limiters[index];
            let averaging = &mut self.averagings[index];
            if averaging.enter(self.now_ms, &self.order, || limiter.demand(now)) {
                limiter.set_averages(averaging.result().clone(), daemons);
            }
        }
        for from in 0..daemons {
            let to = self.rng.random_range(0..daemons);
            if to != from {
                let sent = self.averagings[from].offer();
                if let Some(theirs) = self.averagings[to].answer(&sent) {
                    self.averagings[from].finish(&sent, &theirs);
                }
            }
        }
    }

    /// Runs for a time; `offered` tells the tokens a second each daemon is asked for.
    fn run(&mut self, length_ms: u64, limit: f64, offered: impl Fn(usize) -> f64) -> f64 {
        const REQUEST: f64 = 10.0;
        let mut owed = vec![0.0; self.limiters.len()];
        let mut admitted = 0.0;
        let until = self.now_ms + length_ms;
        while self.now_ms < until {
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(250) {
                self.exchange();
            }
            let now = self.now();
            for (index, limiter) in self.limiters.iter_mut().enumerate() {
                owed[index] += offered(index) / 100.0;
                while owed[index] >= REQUEST {
                    owed[index] -= REQUEST;
                    let verdict = limiter.admit(&"reader".into(), 1.0, REQUEST, limit, now);
                    if matches!(verdict, LimitVerdict::Admitted(_)) {
                        admitted += REQUEST;
                    }
                }
            }
        }
        admitted / (length_ms as f64 / 1e3)
    }
}

#[googletest::test]
fn limit_holds_over_uneven_daemons() {
    let mut play = LimitPlay::new(8);
    // Half of the load comes to one daemon.
    let offered = |index: usize| if index == 0 { 4_000.0 } else { 4_000.0 / 7.0 };
    play.run(8_000, 1_000.0, offered);
    let rate = play.run(10_000, 1_000.0, offered);
    expect_that!(rate, all!(gt(950.0), lt(1_050.0)));
}

#[googletest::test]
fn limit_edited_in_a_burst_holds_soon() {
    let mut play = LimitPlay::new(8);
    let offered = |index: usize| if index < 2 { 3_000.0 } else { 100.0 };
    play.run(10_000, 1_000.0, offered);
    play.run(4_000, 2_000.0, offered);
    let rate = play.run(10_000, 2_000.0, offered);
    expect_that!(rate, all!(gt(1_900.0), lt(2_100.0)));
}

#[googletest::test]
fn unused_share_is_lent() {
    let mut play = LimitPlay::new(8);
    let offered = |index: usize| if index == 0 { 900.0 } else { 0.0 };
    play.run(8_000, 1_000.0, offered);
    // One daemon gets nearly the whole limit, since the others want nothing.
    expect_that!(play.run(10_000, 1_000.0, offered), gt(870.0));
}

#[googletest::test]
fn refused_caller_is_told_a_time_after_which_there_is_room() {
    let mut limiter = AccountLimiter::default();
    let now = Instant::now();
    let account = "reader".into();
    let wait = loop {
        match limiter.admit(&account, 1.0, 10.0, 100.0, now) {
            LimitVerdict::Admitted(_) => {}
            LimitVerdict::Refused(wait) => break wait,
        }
    };
    let verdict = limiter.admit(&account, 1.0, 10.0, 100.0, now + wait);
    expect_that!(verdict, pat!(LimitVerdict::Admitted(anything())));
}

#[googletest::test]
fn account_over_its_share_waits_for_the_others() {
    let mut limiter = AccountLimiter::default();
    let now = Instant::now();
    let mut ask = |account: &str, weight: f64, tokens: f64| {
        limiter.admit(&account.into(), weight, tokens, 1e9, now)
    };
    let alone = ask("press", 1.0, 500.0);
    expect_that!(alone, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
    let quiet = ask("reader", 1.0, 100.0);
    expect_that!(quiet, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
    let burst = ask("press", 1.0, 500.0);
    expect_that!(burst, eq(LimitVerdict::Admitted(RequestPriority::Low)));
    // The same demand is within the share of an account of more weight.
    let heavy = ask("press", 20.0, 500.0);
    expect_that!(heavy, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
}

// Fair queue

fn turn(account: &str, weight: f64, tokens: f64) -> QueueTurn {
    QueueTurn { account: account.into(), weight, priority: RequestPriority::Normal, tokens }
}

/// An account within its share is not held up by a long request of its own.
#[googletest::test]
fn accounts_within_their_share_go_before_those_over_it() {
    let mut queue = FairQueue::new(100);
    let deadline = Instant::now() + millis(60_000);
    for number in 0..10 {
        let low = QueueTurn { priority: RequestPriority::Low, ..turn("press", 1.0, 10.0) };
        queue.push(&low, deadline, ("press", number));
    }
    queue.push(&turn("reader", 1.0, 5_000.0), deadline, ("reader", 0));
    queue.push(&turn("reader", 1.0, 10.0), deadline, ("reader", 1));
    let first: Vec<_> = std::iter::from_fn(|| queue.pop()).take(2).collect();
    expect_that!(first, eq(&[("reader", 0), ("reader", 1)]));
}

#[googletest::test]
fn burst_of_one_account_does_not_delay_another() {
    let mut queue = FairQueue::new(1_000);
    let deadline = Instant::now() + millis(60_000);
    for number in 0..100 {
        queue.push(&turn("press", 1.0, 100.0), deadline, ("press", number));
    }
    queue.push(&turn("reader", 1.0, 100.0), deadline, ("reader", 0));
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).map(|(name, _)| name).collect();
    let place = order.iter().position(|name| *name == "reader");
    expect_that!(place, some(le(1)));
}

proptest! {
    /// Served tokens follow the weights while all accounts have requests waiting.
    #[test]
    fn fair_queue_follows_weights(weight in 1_u32..6, sizes in vec(1_u32..50, 60)) {
        let mut queue = FairQueue::new(10_000);
        let deadline = Instant::now() + millis(60_000);
        for size in sizes.iter().cycle().take(600) {
            let tokens = f64::from(*size);
            queue.push(&turn("heavy", f64::from(weight), tokens), deadline, (true, tokens));
            queue.push(&turn("light", 1.0, tokens), deadline, (false, tokens));
        }
        let (mut heavy, mut light) = (0.0, 0.0);
        for _ in 0..400 {
            match queue.pop() {
                Some((true, tokens)) => heavy += tokens,
                Some((false, tokens)) => light += tokens,
                None => break,
            }
        }
        let expected = f64::from(weight);
        let slack = 100.0 / (light + 1.0) * expected + 0.1 * expected;
        prop_assert!((heavy / light - expected).abs() <= slack, "{heavy} {light}");
    }
}

// Reclaim

const WEIGHTS: ReclaimWeights =
    ReclaimWeights { recompute: 1.0, delay: 1.0, token_ms: 20.0, prefill_ms: 0.25, move_ms: 0.125 };

fn leaving(number: usize, prompt: usize, produced: usize, remaining: usize) -> LeavingStream {
    LeavingStream {
        name: RequestName::new("reader", format!("k{number}")),
        prompt_tokens: prompt,
        produced,
        remaining,
        cached_elsewhere: 0,
    }
}

/// Cost of a plan by the rules, or `None` if it does not fit into the notice.
fn plan_cost(streams: &[LeavingStream], ways: &[ReclaimWay], notice_ms: f64) -> Option<f64> {
    let usable_ms = notice_ms * 0.85;
    let mut link_ms = 0.0;
    let mut cost = 0.0;
    for (stream, way) in streams.iter().zip(ways) {
        let context = (stream.prompt_tokens + stream.produced - stream.cached_elsewhere) as f64;
        match way {
            ReclaimWay::Finish if stream.remaining as f64 * WEIGHTS.token_ms <= usable_ms => {}
            ReclaimWay::Finish => return None,
            ReclaimWay::Move => {
                link_ms += context * WEIGHTS.move_ms;
                cost += context * WEIGHTS.move_ms * WEIGHTS.delay;
            }
            ReclaimWay::Resume => {
                cost += context * (WEIGHTS.recompute + WEIGHTS.prefill_ms * WEIGHTS.delay);
            }
        }
    }
    (link_ms <= usable_ms).then_some(cost)
}

fn best_cost(streams: &[LeavingStream], notice_ms: f64) -> f64 {
    const WAYS: [ReclaimWay; 3] = [ReclaimWay::Finish, ReclaimWay::Move, ReclaimWay::Resume];
    let plans = 3_usize.pow(streams.len() as u32);
    let costs = (0..plans).filter_map(|mut plan| {
        let ways: Vec<ReclaimWay> = streams
            .iter()
            .map(|_| {
                let way = WAYS[plan % 3];
                plan /= 3;
                way
            })
            .collect();
        plan_cost(streams, &ways, notice_ms)
    });
    costs.fold(f64::INFINITY, f64::min)
}

proptest! {
    /// Against all plans there are: close to the best, and never worse than resuming all.
    #[test]
    fn reclaim_plan_is_near_the_best(
        shapes in vec((50_usize..3_000, 0_usize..500, 1_usize..400), 1..7),
        notice_ms in 200.0_f64..3_000.0,
    ) {
        let streams: Vec<LeavingStream> = shapes
            .iter()
            .enumerate()
            .map(|(number, (prompt, produced, remaining))| {
                leaving(number, *prompt, *produced, *remaining)
            })
            .collect();
        let ways: Vec<ReclaimWay> =
            plan_reclaim(&streams, notice_ms, &WEIGHTS).into_iter().map(|(_, way)| way).collect();
        let cost = plan_cost(&streams, &ways, notice_ms).expect("the plan fits the notice");
        let resume_all = plan_cost(&streams, &vec![ReclaimWay::Resume; ways.len()], notice_ms);
        prop_assert!(cost <= resume_all.expect("resuming always fits"));
        // Filling the link by density may leave a gap as large as one stream.
        let largest = streams.iter().map(|stream| stream.prompt_tokens + stream.produced).max();
        let gap = largest.unwrap_or(0) as f64 * (WEIGHTS.recompute + WEIGHTS.prefill_ms);
        prop_assert!(cost <= best_cost(&streams, notice_ms) + gap);
    }
}

// Fleet

fn prices(on_demand: f64, reclaimable: [f64; 2]) -> Vec<PriceEntry> {
    let entry = |zone: &str, class, per_hour| PriceEntry { zone: zone.into(), class, per_hour };
    vec![
        entry("a", PriceClass::OnDemand, on_demand),
        entry("a", PriceClass::Reclaimable, reclaimable[0]),
        entry("b", PriceClass::OnDemand, on_demand),
        entry("b", PriceClass::Reclaimable, reclaimable[1]),
    ]
}

fn fleet_weights(shortage: f64, zone_loss: f64, reclaim: f64) -> FleetWeights {
    FleetWeights { shortage, zone_loss, replace_hours: 1.0, reclaim }
}

fn count_of(counts: &BTreeMap<FleetPlace, usize>, class: PriceClass) -> usize {
    counts.iter().filter(|(place, _)| place.class == class).map(|(_, count)| *count).sum()
}

proptest! {
    /// Adding the best VM one by one, against all fleets there are.
    #[test]
    fn fleet_choice_is_near_the_best(
        need in 0.5_f64..4.0,
        first in 0.1_f64..0.9,
        second in 0.1_f64..0.9,
        zone_loss in 0.0_f64..0.2,
        shortage in 2.0_f64..30.0,
        reclaim in 0.0_f64..3.0,
    ) {
        let prices = prices(1.0, [first, second]);
        let weights = fleet_weights(shortage, zone_loss, reclaim);
        let chosen = choose_counts(need, &prices, &HashMap::new(), &weights, 100);
        let cost = expected_cost(need, &chosen, &prices, &weights);
        let mut best = f64::INFINITY;
        for code in 0..6_usize.pow(4) {
            let mut code = code;
            let mut counts = BTreeMap::new();
            for price in &prices {
                let place = FleetPlace { zone: price.zone.clone(), class: price.class };
                counts.insert(place, code % 6);
                code /= 6;
            }
            best = best.min(expected_cost(need, &counts, &prices, &weights));
        }
        prop_assert!(cost <= best * 1.02 + 1e-9, "{cost} {best} {chosen:?}");
    }
}

/// The weights are settings, and they change the decision: where recomputed tokens weigh
/// much, VMs that stay are worth their price; where cost weighs more, they are not.
#[googletest::test]
fn recompute_weight_changes_the_fleet() {
    let prices = prices(1.0, [0.3, 0.3]);
    let held = HashMap::new();
    let light = choose_counts(6.0, &prices, &held, &fleet_weights(20.0, 0.05, 0.5), 100);
    let heavy = choose_counts(6.0, &prices, &held, &fleet_weights(20.0, 0.05, 30.0), 100);
    expect_that!(count_of(&light, PriceClass::OnDemand), eq(0));
    expect_that!(count_of(&heavy, PriceClass::Reclaimable), eq(0));
    expect_that!(count_of(&heavy, PriceClass::OnDemand), ge(6));
}

#[googletest::test]
fn small_change_of_price_moves_nothing() {
    let weights = fleet_weights(20.0, 0.05, 0.5);
    let before = choose_counts(6.0, &prices(1.0, [0.30, 0.31]), &HashMap::new(), &weights, 100);
    let held: HashMap<FleetPlace, usize> = before.clone().into_iter().collect();
    let after = choose_counts(6.0, &prices(1.0, [0.31, 0.30]), &held, &weights, 100);
    expect_that!(after, eq(&before));
}

fn held_vm(number: usize, zone: &str, leaving: bool) -> HeldVm {
    let place = FleetPlace { zone: zone.into(), class: PriceClass::Reclaimable };
    HeldVm { id: format!("vm-{number}").into(), name: format!("n{number}").into(), place, leaving }
}

fn service_fleet(need: f64, held: Vec<HeldVm>) -> ServiceFleet {
    ServiceFleet {
        service: "model".into(),
        required: need,
        bounds: (0, 100),
        held,
        pending: Vec::new(),
        weights: fleet_weights(20.0, 0.02, 0.5),
    }
}

/// In a wave nothing is released, and refused starts are tried in other places.
#[googletest::test]
fn wave_holds_capacity_and_tries_other_places() {
    let mut planner = FleetPlanner::default();
    let prices = prices(1.0, [0.3, 0.3]);
    let now = Instant::now();
    let held = vec![held_vm(0, "a", true), held_vm(1, "b", false)];
    let actions = planner.decide(&service_fleet(3.0, held), &prices, now);
    let places: Vec<FleetPlace> = actions
        .iter()
        .filter_map(|action| match action {
            FleetAction::Start { place, .. } => Some(place.clone()),
            FleetAction::Release { .. } => None,
        })
        .collect();
    expect_that!(places.len(), ge(2));
    for place in &places {
        planner.refused(place, now);
    }
    let again = planner.decide(&service_fleet(3.0, vec![held_vm(1, "b", false)]), &prices, now);
    for action in &again {
        let FleetAction::Start { place, .. } = action else { continue };
        expect_false!(places.contains(place));
    }
    // Demand falls at once: what is held stays, for the wave and for some time after.
    let quiet = service_fleet(0.1, (1..6).map(|number| held_vm(number, "b", false)).collect());
    expect_that!(planner.decide(&quiet, &prices, now + millis(400_000)), is_empty());
    planner.decide(&quiet, &prices, now + millis(700_000));
    let released = planner.decide(&quiet, &prices, now + millis(1_100_000));
    expect_that!(released, elements_are![pat!(FleetAction::Release { id: anything() })]);
}

/// Two planners that do not know of each other ask for the same names, so that the cloud
/// starts each VM once.
#[googletest::test]
fn two_planners_choose_the_same_names() {
    let prices = prices(1.0, [0.3, 0.4]);
    let now = Instant::now();
    let view = || service_fleet(5.0, vec![held_vm(1, "b", false)]);
    let first = FleetPlanner::default().decide(&view(), &prices, now);
    let second = FleetPlanner::default().decide(&view(), &prices, now);
    expect_that!(first.len(), ge(3));
    expect_that!(second, eq(&first));
}
