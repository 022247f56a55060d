//! Part of the soak test with a release: endpoints of a newer version join one by one, and those of the older one
//! drain, while daemons are suspended. They have their own service, and clients take its streams up at other
//! daemons when they break off.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{
    RngExt, SeedableRng,
    rngs::{SmallRng, StdRng},
};
use serde_json::{Value, json};

use crate::{
    platform_standin::PlatformStandin,
    version_fleet::{ClientTries, StreamClient, VersionEndpoint, VersionOutcome},
};

const SERVICE: &str = "released";
const PATH: &str = "/released/one";
const ENDPOINTS_PER_VERSION: usize = 3;
/// Number of clients of this service.
pub const RELEASE_CLIENTS: u64 = 12;
/// Pause before each step of the release, in milliseconds.
const STEP_MS: Range<u64> = 200..700;
/// How long an endpoint drains before it ends, in milliseconds.
const DRAINING_MS: Range<u64> = 100..1_000;
/// How long a daemon is suspended, and pause before the next one, in milliseconds.
pub const SUSPENDED_MS: Range<u64> = 1_000..3_500;
pub const RUNNING_MS: Range<u64> = 200..1_500;
/// Most streams that may hold events of two versions.
const ALLOWED_MIXED: usize = 2;
/// Distinguishes the random numbers of this part from those of the other faults.
pub const SEED_OFFSET: u64 = 13_000_000;

/// The endpoints, and the streams that clients got.
pub struct ReleaseTraffic {
    platform: Arc<PlatformStandin>,
    endpoints: Mutex<Vec<VersionEndpoint>>,
    outcome: Mutex<VersionOutcome>,
}

/// Adds the route and the service of these endpoints to a configuration.
pub fn with_released_service(mut configuration: Value) -> Value {
    let mut route = configuration["routes"][2].clone();
    for (field, value) in [("name", SERVICE), ("service", SERVICE), ("path-prefix", "/released/")] {
        route[field] = json!(value);
    }
    let mut service = configuration["services"][0].clone();
    service["name"] = json!(SERVICE);
    configuration["routes"].as_array_mut().expect("routes").push(route);
    configuration["services"].as_array_mut().expect("services").push(service);
    configuration
}

impl ReleaseTraffic {
    pub fn start(platform: &Arc<PlatformStandin>) -> Self {
        let traffic = Self {
            platform: platform.clone(),
            endpoints: Mutex::default(),
            outcome: Mutex::default(),
        };
        (0..ENDPOINTS_PER_VERSION).for_each(|place| traffic.add_endpoint("v1", place as u64));
        traffic
    }

    fn add_endpoint(&self, version: &str, seed: u64) {
        let mut endpoints = self.endpoints.lock().expect("lock");
        let id = format!("released-{}", endpoints.len());
        let endpoint = VersionEndpoint::start(&id, version, seed);
        self.write_entry(&endpoint, "ready");
        endpoints.push(endpoint);
    }

    fn write_entry(&self, endpoint: &VersionEndpoint, state: &str) {
        self.platform.put("servers", &endpoint.id, endpoint.entry(SERVICE, state));
    }

    /// Replaces the endpoints of the older version by those of the newer one.
    pub fn run_release(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed);
        for place in 0..ENDPOINTS_PER_VERSION {
            thread::sleep(Duration::from_millis(rng.random_range(STEP_MS)));
            println!("seed {seed}: endpoint of the newer version joins");
            self.add_endpoint("v2", rng.random());
            thread::sleep(Duration::from_millis(rng.random_range(STEP_MS)));
            println!("seed {seed}: endpoint of the older version drains");
            self.drain_endpoint(place, Duration::from_millis(rng.random_range(DRAINING_MS)));
        }
    }

    /// Lets an endpoint drain for this time, then ends it.
    fn drain_endpoint(&self, place: usize, time: Duration) {
        self.write_entry(&self.endpoints.lock().expect("lock")[place], "draining");
        thread::sleep(time);
        let endpoints = self.endpoints.lock().expect("lock");
        self.platform.remove("servers", &endpoints[place].id);
        endpoints[place].end();
    }

    /// Gets one stream after the other until then.
    pub fn run_client(&self, number: u64, addresses: &[SocketAddr], until: Instant, seed: u64) {
        let mut rng = StdRng::seed_from_u64(SEED_OFFSET + seed * 100 + number);
        let (begun, tries) = (Instant::now(), ClientTries::USUAL);
        let streams = StreamClient { addresses, path: PATH, begun, tries };
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let record = streams.get(&format!("{SERVICE}-{number}-{count}"), &mut rng);
            self.outcome.lock().expect("lock").streams.push(record);
        }
    }

    /// Checks that streams hold events of one version, and whole ones each event once.
    pub fn check(&self) {
        let outcome = self.outcome.lock().expect("lock");
        let (taken_up, gone_on) = outcome.taken_up(Duration::ZERO);
        println!(
            "{} streams during a release, {} of the newer version, {} mixed; {gone_on} of {taken_up} taken up go on",
            outcome.streams.len(),
            outcome.streams_of("v2"),
            outcome.mixed(),
        );
        outcome.print_mixed();
        assert!(outcome.mixed() <= ALLOWED_MIXED, "{} streams of two versions", outcome.mixed());
        for stream in outcome.streams.iter().filter(|stream| stream.is_whole) {
            assert_eq!(stream.ids(), (1..=10).collect::<Vec<u64>>(), "event ids of {stream:?}");
        }
    }
}
