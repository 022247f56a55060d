//! Choice of endpoints by cached prompt prefix, load and health, and each daemon's window
//! (its subset of the endpoints).

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

/// Guards against prompts that are computed again because a request goes to an engine that
/// does not have their prefix cached.
#[googletest::test]
fn request_goes_to_the_engine_with_its_prefix_cached() {
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
    // Another VM, which is not leaving, now has the same address.
    let mut successor = endpoint(0);
    successor.id = "vm-9".into();
    routes.set_endpoints(&"model".into(), vec![successor], 8, 1.0);
    expect_that!(picked(pick(&routes, &[], &[])), some(eq("vm-9")));
}

#[googletest::test]
fn endpoint_without_free_slots_is_busy() {
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

/// At most half of the endpoints are ejected: if more fail at once, the cause is probably
/// the load and not the endpoints.
#[googletest::test]
fn at_most_half_of_the_endpoints_are_ejected() {
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
    /// Every endpoint is in the window of at least one daemon, and no endpoint is in many more
    /// windows than the mean, for all numbers of daemons and endpoints.
    #[test]
    fn windows_cover_endpoints_evenly(daemons in 1_usize..200, endpoints in 1_usize..400) {
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
        prop_assert!(
            *least >= 1 && *most <= mean + mean / 2 + 2,
            "windows per endpoint: least {least}, most {most}, mean {mean}"
        );
    }

    /// The cache never exceeds its capacity, and finds the chain that was inserted last.
    #[test]
    fn prefix_cache_stays_within_its_capacity(chains in vec(vec(0_u64..500, 1..30), 1..50)) {
        let mut cache = PrefixCache::new(64);
        for chain in chains {
            cache.insert(&chain);
            prop_assert!(cache.block_count() <= 64);
            prop_assert_eq!(cache.overlap(&chain[chain.len() - 1..]), 1);
        }
    }
}
