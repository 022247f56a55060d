//! Part of the soak test with odd entries that another writer creates among those of the endpoints and removes
//! after a while: numbers and nesting beyond what readers hold, and addresses that are none. Whatever a daemon takes
//! an entry for, the endpoint it names serves, and all guarantees have to hold. Further entries have names that no
//! endpoint can have, and stand among the objects of all kinds; the endpoint that they name gets no requests.

use std::{
    collections::BTreeMap,
    ops::Range,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::endpoint_entry,
    odd_names::odd_names,
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
/// Kinds of objects among which entries under odd names stand.
const KINDS: [&str; 4] = ["servers", "config", "rollouts", "gateway-streams"];
/// Distinguishes the random numbers of this part from those of the other faults.
const SEED_OFFSET: u64 = 11_000_000;
const NAME_SEED_OFFSET: u64 = 12_000_000;
/// Characters of a name that are printed.
const MAX_SHOWN: usize = 20;

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
    /// The one that entries under odd names name.
    unused: EndpointStandin,
}

impl OddEntries {
    pub fn start(platform: &Arc<PlatformStandin>) -> Self {
        let start = |service: &&str| {
            let endpoint = EndpointStandin::start(&format!("odd-{service}"), EndpointManner::Serve);
            endpoint.set_label(VERSION);
            endpoint
        };
        let endpoints = SERVICES.iter().map(start).collect();
        let unused = EndpointStandin::start("odd-name", EndpointManner::Serve);
        Self { platform: platform.clone(), endpoints, unused }
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

    /// Writes entries under odd names among the objects of each kind until then, one after the other; the last ones
    /// stay.
    pub fn write_odd_names(&self, until: Instant, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(NAME_SEED_OFFSET + seed);
        let names = odd_names();
        let mut written: BTreeMap<&str, &str> = BTreeMap::new();
        while Instant::now() < until {
            let kind = *KINDS.choose(&mut rng).expect("a kind");
            let name = names.choose(&mut rng).expect("a name").as_str();
            let shown: String = name.chars().take(MAX_SHOWN).collect();
            println!("seed {seed}: an entry of {kind} named {shown:?}");
            self.platform.put(kind, name, endpoint_entry(&self.unused, "ready"));
            let former = written.insert(kind, name);
            if let Some(former) = former.filter(|former| *former != name) {
                self.platform.remove(kind, former);
            }
            thread::sleep(Duration::from_millis(rng.random_range(ENTRY_MS)));
        }
    }

    /// Checks that no entry under an odd name was used.
    pub fn check_odd_names(&self) {
        let seen = self.unused.seen().len();
        assert_eq!(seen, 0, "requests at the endpoint of entries under odd names");
    }
}
