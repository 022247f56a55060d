//! Choice of endpoints: prompts' prefixes, load, health, and the window of a daemon.

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::{AttemptResult, EndpointHealth, HealthState},
    native::{
        cloud_api::messages::PriceClass,
        decide::{
            limits::RequestPriority,
            prefix::{PrefixCache, prefix_chain},
            routing::{EndpointInfo, RouteChoice, RouteQuery, RouteTable},
            subset::{window, window_size},
        },
    },
};

use super::millis;

fn endpoint(number: usize) -> EndpointInfo {
    EndpointInfo {
        id: format!("vm-{number}").into(),
        address: format!("10.0.0.{number}:1").into(),
        zone: format!("z{}", number % 4).into(),
        class: PriceClass::Reclaimable,
    }
}

fn routes(count: usize, daemons_per_endpoint: f64) -> RouteTable {
    let mut routes = RouteTable::new("z0".into());
    routes.set_endpoints(
        &"model".into(),
        (0..count).map(endpoint).collect(),
        8,
        daemons_per_endpoint,
    );
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
        RouteChoice::Busy | RouteChoice::NoEndpoint => None,
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
    expect_that!(pick(&routes, &[], &["vm-1".into()]), eq(&RouteChoice::NoEndpoint));
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
}
