//! Part of the soak test with a request, and a part of prompts, that crash the endpoints that run them. These
//! endpoints have their own service; one client sends the crashing request and different ones with the part
//! to random daemons, another one sends harmless requests with other parts to the same endpoints.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::{Value, json};

use crate::{
    crash_fleet::{is_refused, late_arrivals, send_crashing},
    crashing_endpoint::{CRASHING, CRASHING_PART, CrashingEndpoint, CrashingRun},
    gateway_site::{RawAnswer, request_bytes, try_send_raw},
    link_faults::LinkFaults,
    platform_standin::PlatformStandin,
};

const SERVICE: &str = "fragile";
const PATH: &str = "/fragile/page/";
const ENDPOINTS: usize = 8;
/// Parts of harmless prompts; crashing ones have the first one, too.
const HARMLESS_PARTS: &str = "X-Prompt-Prefix: f1:60,50:40,a1:9";
/// Pause between two requests of one client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..250;
/// Arrivals allowed after the time by which all daemons must know of the third crash.
const ALLOWED_ARRIVALS: usize = 3;

/// The endpoints, and wrong answers that their clients got.
pub struct CrashTraffic {
    endpoints: Vec<CrashingEndpoint>,
    /// Answers that refused a harmless request as if it crashed endpoints.
    wrongly_refused: Mutex<Vec<RawAnswer>>,
}

/// Adds the route and the service of these endpoints to a configuration.
pub fn with_fragile_service(mut configuration: Value) -> Value {
    let mut route = configuration["routes"][0].clone();
    for (field, value) in [("name", SERVICE), ("service", SERVICE), ("path-prefix", "/fragile/")] {
        route[field] = json!(value);
    }
    let mut service = configuration["services"][0].clone();
    service["name"] = json!(SERVICE);
    configuration["routes"].as_array_mut().expect("routes").push(route);
    configuration["services"].as_array_mut().expect("services").push(service);
    configuration
}

/// Sends a request that has only a part of its prompt in common with others.
fn send_with_bad_part(address: SocketAddr, number: usize) -> std::io::Result<RawAnswer> {
    let id = format!("part-{number}");
    let parts = format!("X-Prompt-Prefix: f1:60,{CRASHING_PART}:30,{number:x}:9");
    let path = format!("{PATH}{id}/");
    try_send_raw(address, &request_bytes(&path, &id, "key-1", &[&parts], id.as_bytes()))
}

impl CrashTraffic {
    pub fn start(platform: &Arc<PlatformStandin>, faults: &Arc<LinkFaults>) -> Self {
        let is_mended = Arc::default();
        let endpoint = |place: usize| {
            let (name, keeps_id) = (format!("fragile-{place}"), place.is_multiple_of(2));
            let (service, mended) = (SERVICE, &is_mended);
            CrashingEndpoint::start_behind(&name, service, keeps_id, platform, mended, faults)
        };
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        Self { endpoints, wrongly_refused: Mutex::default() }
    }

    /// Sends the crashing request, and requests with the crashing part, to random daemons until then.
    pub fn run_crashing_client(&self, addresses: &[SocketAddr], until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for number in 0.. {
            if Instant::now() >= until {
                return;
            }
            let address = addresses.choose(&mut rng).expect("a daemon");
            // The outcome is checked at the endpoints.
            let _ = match number % 2 {
                0 => send_crashing(*address, PATH, CRASHING, number),
                _ => send_with_bad_part(*address, number),
            };
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }

    /// Sends a harmless request to random daemons until then.
    pub fn run_harmless_client(&self, addresses: &[SocketAddr], until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for number in 0.. {
            if Instant::now() >= until {
                return;
            }
            let address = addresses.choose(&mut rng).expect("a daemon");
            let id = format!("calm-{number}");
            let bytes = request_bytes(PATH, &id, "key-1", &[HARMLESS_PARTS], b"calm");
            // A daemon that is down or frozen may not answer.
            let answer = try_send_raw(*address, &bytes).ok();
            let refused = answer.filter(is_refused);
            self.wrongly_refused.lock().expect("lock").extend(refused);
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }

    pub fn check(&self) {
        let wrongly_refused = self.wrongly_refused.lock().expect("lock");
        assert!(
            wrongly_refused.is_empty(),
            "harmless requests refused as crashing: {wrongly_refused:?}"
        );
        let runs: Vec<CrashingRun> =
            self.endpoints.iter().flat_map(CrashingEndpoint::runs).collect();
        let late = late_arrivals(&runs).into_values().max().unwrap_or(0);
        println!("{} arrivals of requests that crash endpoints, {late} late", runs.len());
        assert!(
            late <= ALLOWED_ARRIVALS,
            "{late} late arrivals of a request that crashes endpoints"
        );
    }
}
