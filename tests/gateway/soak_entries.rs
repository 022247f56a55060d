//! Part of the soak test with odd entries that another writer creates among those of the endpoints and removes
//! after a while: numbers and nesting beyond what readers hold, and addresses that are none. Whatever a daemon takes
//! an entry for, the endpoint it names serves, and all guarantees have to hold.

use std::{
    ops::Range,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    platform_standin::PlatformStandin,
    soak_brittle, soak_signals,
};

/// Services whose endpoints odd entries stand among; the first one is that of most requests.
const SERVICES: [&str; 3] = ["pool", soak_signals::SERVICE, soak_brittle::SERVICE];
/// Version of the endpoints that the entries name.
const VERSION: &str = "v1";
/// How long an entry stays, and pause before the next one, in milliseconds.
const ENTRY_MS: Range<u64> = 100..2_000;
const PAUSE_MS: Range<u64> = 20..400;
const NESTING_DEPTHS: Range<usize> = 1_000..8_000;
const LONG_NUMBER_DIGITS: usize = 400;
/// Fields that may hold a number beyond what readers hold.
const NUMBER_FIELDS: [&str; 5] = ["slots", "cold-left-ms", "seq", "born", "unknown"];
/// Distinguishes the random numbers of this part from those of the other faults.
const SEED_OFFSET: u64 = 11_000_000;

/// What is odd about an entry.
#[derive(Clone, Copy, Debug)]
enum Oddity {
    Slots(&'static str),
    Port(&'static str),
    Born(&'static str),
    /// An unknown field is nested.
    Nested,
    /// A field holds a number beyond what a float holds.
    HugeNumber,
    /// A field holds a number of `LONG_NUMBER_DIGITS` digits.
    LongNumber,
}

const ODDITIES: [Oddity; 9] = [
    Oddity::Slots("4294967295"),
    Oddity::Slots("0"),
    Oddity::Slots("-3"),
    Oddity::Port("70000"),
    Oddity::Port("-1"),
    Oddity::Born("18446744073709551615"),
    Oddity::Nested,
    Oddity::HugeNumber,
    Oddity::LongNumber,
];

impl Oddity {
    /// The field that it changes, and its JSON text.
    fn field(self, rng: &mut SmallRng) -> (&'static str, String) {
        let number_field = *NUMBER_FIELDS.choose(rng).expect("a field");
        let depth = rng.random_range(NESTING_DEPTHS);
        match self {
            Self::Slots(slots) => ("slots", slots.to_owned()),
            Self::Port(port) => ("address", format!("\"127.0.0.1:{port}\"")),
            Self::Born(born) => ("born", born.to_owned()),
            Self::Nested => ("unknown", "[".repeat(depth) + &"]".repeat(depth)),
            Self::HugeNumber => (number_field, "1e999".to_owned()),
            Self::LongNumber => (number_field, "9".repeat(LONG_NUMBER_DIGITS)),
        }
    }
}

/// The endpoints that the entries name, one for each service.
pub struct OddEntries {
    platform: Arc<PlatformStandin>,
    endpoints: Vec<EndpointStandin>,
}

impl OddEntries {
    pub fn start(platform: &Arc<PlatformStandin>) -> Self {
        let start = |service: &&str| {
            let endpoint = EndpointStandin::start(&format!("odd-{service}"), EndpointManner::Serve);
            endpoint.set_label(VERSION);
            endpoint
        };
        Self { platform: platform.clone(), endpoints: SERVICES.iter().map(start).collect() }
    }

    /// The endpoint that may run requests for the service of most requests.
    pub fn pool_endpoint(&self) -> &EndpointStandin {
        &self.endpoints[0]
    }

    /// JSON text of an entry of a service with this field changed or added.
    fn entry_text(&self, place: usize, (name, value): (&str, String)) -> String {
        let fields = [
            ("service", format!("\"{}\"", SERVICES[place])),
            ("address", format!("\"{}\"", self.endpoints[place].address)),
            ("zone", "\"hall-a\"".to_owned()),
            ("version", format!("\"{VERSION}\"")),
            ("slots", "8".to_owned()),
            ("state", "\"ready\"".to_owned()),
            ("cold-left-ms", "0".to_owned()),
            ("seq", "1".to_owned()),
        ];
        let unchanged = fields.iter().filter(|(field, _)| *field != name);
        let mut texts: Vec<String> =
            unchanged.map(|(field, value)| format!("\"{field}\":{value}")).collect();
        texts.push(format!("\"{name}\":{value}"));
        format!("{{{}}}", texts.join(","))
    }

    /// Writes odd entries until then, each for a while.
    pub fn write_entries(&self, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(SEED_OFFSET + seed);
        while Instant::now() < until {
            let place = rng.random_range(0..SERVICES.len());
            let oddity = *ODDITIES.choose(&mut rng).expect("an oddity");
            let time = Duration::from_millis(rng.random_range(ENTRY_MS));
            let text = self.entry_text(place, oddity.field(&mut rng));
            let id = &self.endpoints[place].id;
            println!("seed {seed}: {oddity:?} in the entry of {id} for {time:?}");
            self.platform.put_text("servers", id, &text);
            thread::sleep(time);
            self.platform.remove("servers", id);
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    }
}
