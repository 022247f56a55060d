//! Objects of another writer whose names hold characters with a meaning in URLs, or other unusual ones. They stand
//! among the endpoints, the configurations and the roll-outs, in lists of one object a page; the daemons go on
//! serving, and follow later changes.

use std::{collections::BTreeMap, net::SocketAddr, thread, time::Duration};

use googletest::prelude::*;
use serde_json::json;
use willowarch::platform::endpoints;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    fleet_places::acquire_fleet_slot,
    gateway_site::{
        AMPLE_RETRIES, Gateway, configuration, endpoint_entry, read_metric, request_bytes,
        try_send_raw, wait_for,
    },
    platform_standin::PlatformStandin,
};

const DAEMONS: usize = 2;
/// Requests sent to each daemon, one after the other.
const REQUESTS: usize = 20;
/// Time for which a daemon uses a configuration that it can't confirm.
const REVOKE_MS: u64 = 2_000;
/// Length of a name that is longer than any endpoint's id, and than the URLs that all HTTP servers accept.
const LONG_NAME: usize = 7_000;
/// Ids of the endpoints: before and behind the odd names.
const ENDPOINT_IDS: [&str; 2] = ["a-0", "z-0"];
/// Id of an endpoint that is added later.
const ADDED_ID: &str = "z-1";

/// Names that no endpoint, configuration or roll-out has.
pub fn odd_names() -> Vec<String> {
    let infixes = [
        "&",
        "&watch=0",
        "&after-rev=a",
        "+",
        "#",
        "%",
        "%2",
        "%41",
        "%00",
        "%zz",
        "=",
        ";",
        ",",
        ":",
        "@",
        "/",
        "/status",
        "?",
        "?watch=0",
        "\\",
        "!",
        "$",
        "'",
        "(",
        ")",
        "*",
        "[",
        "]",
        "{}",
        "|",
        "^",
        "`",
        "<",
        ">",
        "\"",
        " ",
        "\t",
        "\n",
        "\r",
        "\r\nX-Odd: 1\r\n",
        "\0",
        "\u{7f}",
        "\u{e9}",
        "\u{30d1}",
        "\u{fffd}",
        "\u{1f35e}",
    ];
    let mut names: Vec<String> = infixes.iter().map(|infix| format!("i-0{infix}0")).collect();
    names.extend(
        [" ", "&", "+", "#", "%", "?", "/", ".", "..", "../config/main"].map(str::to_owned),
    );
    names.push("i".repeat(LONG_NAME));
    names.push("\u{1f35e}".repeat(LONG_NAME));
    names
}

/// What happens while the objects are there.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// All daemons are killed and started again.
    Restart,
    /// The store forgets its history, so that everything is listed again.
    LostHistory,
}

struct OddNameSite {
    platform: PlatformStandin,
    endpoints: Vec<EndpointStandin>,
    daemons: Vec<Gateway>,
}

impl OddNameSite {
    fn start() -> Self {
        let platform = PlatformStandin::start_with(8 * DAEMONS);
        platform.set_page_size(1);
        platform.put("config", "main", configuration(3, &["key-1"]));
        let start = |id: &str| EndpointStandin::start(id, EndpointManner::Answer);
        let endpoints: Vec<EndpointStandin> = ENDPOINT_IDS.into_iter().map(start).collect();
        for endpoint in &endpoints {
            platform.put("servers", &endpoint.id, endpoint_entry(endpoint, "ready"));
        }
        let mut site = Self { platform, endpoints, daemons: Vec::new() };
        site.start_daemons();
        site
    }

    fn start_daemons(&mut self) {
        let bounds = json!({
            "retry-slack": AMPLE_RETRIES, "revoke-ms": REVOKE_MS,
            "exposure-share": 0.1, "exposure-slack": 50,
        });
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for place in 0..DAEMONS {
            let name = format!("odd-name-{place}");
            let daemon = Gateway::start_with(&name, &self.platform, &seeds, bounds.clone());
            seeds.push(daemon.peers);
            self.daemons.push(daemon);
        }
        self.daemons.iter().for_each(Gateway::wait_ready);
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Restart => {
                self.daemons.iter_mut().for_each(Gateway::kill);
                self.daemons.iter_mut().for_each(Gateway::start_again);
                self.daemons.iter().for_each(Gateway::wait_ready);
            }
            Event::LostHistory => self.platform.forget_history(),
        }
        // Until then a daemon may use what it has.
        thread::sleep(Duration::from_millis(2 * REVOKE_MS));
    }

    fn expect_served(&mut self) {
        for (place, daemon) in self.daemons.iter().enumerate() {
            let statuses = (0..REQUESTS).map(|number| ask(daemon, &format!("{place}-{number}")));
            let served = statuses.filter(|status| *status == Some(200)).count();
            expect_that!(served, eq(REQUESTS), "requests served by daemon {place}");
        }
        for daemon in &mut self.daemons {
            expect_that!(daemon.has_ended(), eq(false));
        }
    }

    /// Checks that each daemon uses an endpoint that is added, and none that leaves.
    fn expect_changes_are_followed(&self) {
        let added = EndpointStandin::start(ADDED_ID, EndpointManner::Answer);
        self.platform.put("servers", ADDED_ID, endpoint_entry(&added, "ready"));
        for endpoint in &self.endpoints {
            self.platform.remove("servers", &endpoint.id);
        }
        for daemon in &self.daemons {
            let before = added.seen().len();
            wait_for("a request at the endpoint that was added", || {
                ask(daemon, "added");
                added.seen().len() > before
            });
        }
    }

    /// Checks that an order is recorded that is listed behind the odd names.
    fn expect_order_is_recorded(&self) {
        let order = json!({"service": "pool", "target-version": "v2", "duration-s": 60});
        self.platform.put("rollouts", "pool", order);
        wait_for("the state of an order", || {
            self.platform.status("rollouts", "pool").is_some_and(|status| !status.is_null())
        });
    }

    /// Checks that no listing has read a page twice.
    fn expect_listings_advance(&self) {
        let mut counts: BTreeMap<String, BTreeMap<Option<String>, usize>> = BTreeMap::new();
        for call in self.platform.list_calls() {
            *counts.entry(call.kind).or_default().entry(call.after).or_default() += 1;
        }
        for (kind, pages) in counts {
            let listings = pages.get(&None).copied().unwrap_or(0);
            let most = pages.values().max().copied().unwrap_or(0);
            expect_that!(most, le(listings), "reads of a page by {listings} listings of {kind}");
        }
    }
}

/// Status of the response to a request; none if there is no whole response.
fn ask(daemon: &Gateway, id: &str) -> Option<u16> {
    let bytes = request_bytes("/plain/", id, "key-1", &[], b"");
    let answer = try_send_raw(daemon.clients, &bytes).ok().filter(|answer| answer.whole);
    answer.map(|answer| answer.status)
}

fn play(kind: &str, event: Event) {
    let _place = acquire_fleet_slot();
    let mut site = OddNameSite::start();
    for name in odd_names() {
        site.platform.put(kind, &name, json!({"note": "of another writer"}));
    }
    site.play(event);
    site.expect_served();
    site.expect_listings_advance();
    site.expect_changes_are_followed();
    if kind == "rollouts" {
        site.expect_order_is_recorded();
    }
}

/// Entries that an endpoint could have written, but for their names.
#[googletest::test]
fn entries_under_odd_names_get_requests() {
    let _place = acquire_fleet_slot();
    let mut site = OddNameSite::start();
    let odd = EndpointStandin::start("odd", EndpointManner::Answer);
    for name in odd_names() {
        site.platform.put("servers", &name, endpoint_entry(&odd, "ready"));
    }
    site.play(Event::Restart);
    site.expect_served();
    expect_that!(odd.seen().len(), eq(0), "requests at the endpoint that the entries name");
    for daemon in &site.daemons {
        let foreign = read_metric(daemon.metrics, "foreign_entries");
        expect_that!(foreign, some(eq(odd_names().len() as f64)));
    }
}

#[googletest::test]
fn odd_names_are_no_ids_of_endpoints() {
    let entry = json!({"service": "pool", "address": "10.0.0.1:80", "zone": "a", "slots": 4,
        "state": "ready"});
    let is_used = |name: &str| endpoints::decode(name.into(), entry.to_string().as_bytes()).is_ok();
    for name in odd_names() {
        let shown: String = name.chars().take(40).collect();
        expect_that!(is_used(&name), eq(false), "{shown:?}");
    }
    expect_that!(is_used(""), eq(false));
    expect_that!(is_used(&"i".repeat(254)), eq(false));
    let usual = "i".repeat(253);
    for name in ["i-7f3a91c2", "i-0", "0", "edge_1.hall-a~2", "...", &usual] {
        expect_that!(is_used(name), eq(true), "{name}");
    }
}

macro_rules! daemons_stop_serving_beside_odd_names {
    ($($name:ident: $kind:expr, $event:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($kind, $event);
        }
    )*};
}

daemons_stop_serving_beside_odd_names! {
    odd_names_among_endpoints_stop_daemons_that_start: "servers", Event::Restart;
    odd_names_among_endpoints_hide_later_changes: "servers", Event::LostHistory;
    odd_names_among_configurations_stop_daemons_that_start: "config", Event::Restart;
    odd_names_among_configurations_stop_running_daemons: "config", Event::LostHistory;
    odd_names_among_rollouts_stop_daemons_that_start: "rollouts", Event::Restart;
    odd_names_among_rollouts_stop_running_daemons: "rollouts", Event::LostHistory;
}
