//! Entries of another writer whose fields have the right types, but values that no endpoint can have. Their
//! endpoint gets no requests; the daemons go on serving with all others, and follow later changes.

use std::{net::SocketAddr, rc::Rc, thread, time::Duration};

use googletest::prelude::*;
use serde_json::json;
use willowarch::gateway::endpoint::{EndpointRecord, VALID_SLOTS};

use crate::{
    choice_inputs::{list, record},
    endpoint_standin::{EndpointManner, EndpointStandin},
    fleet_places::acquire_fleet_slot,
    gateway_site::{
        AMPLE_RETRIES, Gateway, configuration, endpoint_entry, read_metric, request_bytes,
        try_send_raw, wait_for,
    },
    platform_standin::PlatformStandin,
    signal_fleet::former_program,
};

const DAEMONS: usize = 3;
const ENDPOINTS: usize = 4;
/// Requests sent to each daemon, one after the other.
const REQUESTS: usize = 30;
/// Time within which a change of an entry is applied.
const APPLY_LIMIT: Duration = Duration::from_millis(1_500);
/// Slots of an endpoint of which each of two daemons holds some.
const SHARED_SLOTS: u32 = 16;
/// What an endpoint adds to its responses while it is brittle.
const BRITTLE: &str = "Server-Brittle: 2\r\n";

/// When the odd entries are in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OddFrom {
    /// Before the daemons start.
    Start,
    /// While the service isn't brittle yet.
    BeforeBrittle,
    /// While the service is brittle.
    WhileBrittle,
}

/// Daemons, their endpoints, and one whose entries are odd.
struct OddSite {
    platform: PlatformStandin,
    endpoints: Vec<EndpointStandin>,
    odd: EndpointStandin,
    daemons: Vec<Gateway>,
}

impl OddSite {
    /// Starts the endpoints, in this manner, and writes their entries.
    fn without_daemons(manner: EndpointManner) -> Self {
        let platform = PlatformStandin::start_with(4 * DAEMONS);
        platform.put("config", "main", configuration(3, &["key-1"]));
        let start = |place: usize| EndpointStandin::start(&format!("i-{place}"), manner);
        let endpoints: Vec<EndpointStandin> = (0..ENDPOINTS).map(start).collect();
        for endpoint in &endpoints {
            platform.put("servers", &endpoint.id, endpoint_entry(endpoint, "ready"));
        }
        let odd = EndpointStandin::start("i-odd", manner);
        Self { platform, endpoints, odd, daemons: Vec::new() }
    }

    fn start_daemons(&mut self) {
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for place in 0..DAEMONS {
            let name = format!("odd-{place}");
            let daemon = Gateway::start(&name, &self.platform, &seeds);
            seeds.push(daemon.peers);
            self.daemons.push(daemon);
        }
        self.daemons.iter().for_each(Gateway::wait_ready);
    }

    /// Writes this number of entries with these slots.
    fn put_odd_slots(&self, entries: usize, slots: u64) {
        for number in 0..entries {
            let mut entry = endpoint_entry(&self.odd, "ready");
            entry["slots"] = json!(slots);
            self.platform.put("servers", &format!("i-odd-{number}"), entry);
        }
        thread::sleep(APPLY_LIMIT);
    }

    fn become_brittle(&self) {
        self.endpoints.iter().for_each(|endpoint| endpoint.add_header(BRITTLE));
        self.ask_all("brittle");
        thread::sleep(APPLY_LIMIT);
    }

    /// Statuses of the responses to the requests sent to each daemon, until one gets none.
    fn ask_all(&self, name: &str) -> Vec<Vec<u16>> {
        let ask = |daemon: &Gateway| ask_until_silent(daemon.clients, name);
        thread::scope(|scope| {
            let asking: Vec<_> =
                self.daemons.iter().map(|daemon| scope.spawn(move || ask(daemon))).collect();
            asking.into_iter().map(|asking| asking.join().expect("statuses")).collect()
        })
    }

    /// Checks that all requests are answered with this status, and that no daemon has ended.
    fn expect_statuses(&mut self, name: &str, status: u16) {
        expect_that!(self.ask_all(name), each(eq(&vec![status; REQUESTS])), "{name}");
        for daemon in &mut self.daemons {
            expect_that!(daemon.has_ended(), eq(false), "{name}");
        }
    }

    /// Checks that each daemon learns that the endpoints have left the list, and that they are listed again.
    fn expect_changes_are_followed(&self) {
        for endpoint in &self.endpoints {
            self.platform.remove("servers", &endpoint.id);
        }
        self.wait_for_status("refusals while no endpoint is listed", 503);
        for endpoint in &self.endpoints {
            self.platform.put("servers", &endpoint.id, endpoint_entry(endpoint, "ready"));
        }
        self.wait_for_status("requests at the endpoints that are listed again", 200);
    }

    fn wait_for_status(&self, what: &str, status: u16) {
        for daemon in &self.daemons {
            wait_for(what, || ask(daemon.clients, "later") == Some(status));
        }
    }
}

/// Status of the response to a request; none if there is no whole response.
fn ask(daemon: SocketAddr, id: &str) -> Option<u16> {
    let bytes = request_bytes("/plain/", id, "key-1", &[], b"");
    let answer = try_send_raw(daemon, &bytes).ok().filter(|answer| answer.whole);
    answer.map(|answer| answer.status)
}

fn ask_until_silent(daemon: SocketAddr, name: &str) -> Vec<u16> {
    (0..REQUESTS).map_while(|number| ask(daemon, &format!("{name}-{number}"))).collect()
}

fn play(entries: usize, slots: u64, from: OddFrom) {
    let _place = acquire_fleet_slot();
    let mut site = OddSite::without_daemons(EndpointManner::Answer);
    if from == OddFrom::Start {
        site.put_odd_slots(entries, slots);
    }
    site.start_daemons();
    if from == OddFrom::BeforeBrittle {
        site.put_odd_slots(entries, slots);
    }
    site.become_brittle();
    if from == OddFrom::WhileBrittle {
        site.put_odd_slots(entries, slots);
    }
    site.expect_statuses("beside odd entries", 200);
    site.expect_changes_are_followed();
    expect_that!(site.odd.seen().len(), eq(0), "requests at the endpoint whose entries are odd");
}

macro_rules! daemons_stop_serving_beside_odd_slots {
    ($($name:ident: $entries:expr, $slots:expr, $from:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($entries, $slots, $from);
        }
    )*};
}

daemons_stop_serving_beside_odd_slots! {
    odd_slots_stop_daemons_of_a_brittle_service: 1, 4_294_967_295, OddFrom::WhileBrittle;
    several_odd_slots_stop_daemons_of_a_brittle_service: 3, 4_294_967_295, OddFrom::WhileBrittle;
    odd_slots_stop_daemons_once_the_service_is_brittle: 1, 4_294_967_295, OddFrom::BeforeBrittle;
    odd_slots_stop_daemons_that_start: 3, 4_294_967_295, OddFrom::Start;
}

/// The sum of the slots overflowed when a request found no room.
#[googletest::test]
fn several_odd_slots_end_requests_that_find_no_room() {
    let _place = acquire_fleet_slot();
    let mut site = OddSite::without_daemons(EndpointManner::Full);
    site.start_daemons();
    site.put_odd_slots(3, 4_294_967_295);
    site.expect_statuses("at full endpoints", 503);
}

/// A daemon of the last release, if one is named, passes the odd entry on.
#[googletest::test]
fn odd_slots_that_a_peer_passes_on_stop_a_daemon() {
    let _place = acquire_fleet_slot();
    let mut site = OddSite::without_daemons(EndpointManner::Answer);
    for endpoint in &site.endpoints {
        let mut entry = endpoint_entry(endpoint, "ready");
        entry["slots"] = json!(SHARED_SLOTS);
        site.platform.put("servers", &endpoint.id, entry);
    }
    site.put_odd_slots(1, 4_294_967_295);
    let program = former_program().unwrap_or_else(|| env!("CARGO_BIN_EXE_willowarchd").into());
    let bounds = json!({"retry-slack": AMPLE_RETRIES});
    let address = site.platform.address;
    let passing = Gateway::start_program(&program, "odd-former", address, &[], bounds);
    passing.wait_ready();
    let refusing = PlatformStandin::start();
    refusing.set_down(true);
    // Its configuration stays valid without the peer.
    let bounds = json!({"retry-slack": AMPLE_RETRIES, "revoke-ms": 60_000});
    let daemon = Gateway::start_with("odd-new", &refusing, &[passing.peers], bounds);
    daemon.wait_ready();
    let metrics = daemon.metrics;
    site.daemons.push(daemon);
    // A daemon of the last release stops serving once the service is brittle.
    drop(passing);
    site.become_brittle();
    site.expect_statuses("beside an odd entry from a peer", 200);
    expect_that!(site.odd.seen().len(), eq(0), "requests at the endpoint whose entry is odd");
    if former_program().is_some() {
        expect_that!(read_metric(metrics, "foreign_entries_seen"), some(gt(0.0)));
    }
}

/// Lists of peers that don't check the slots.
#[googletest::test]
fn odd_slots_in_a_list_of_a_peer_are_removed_alone() {
    let with_slots = |id: &str, slots| EndpointRecord { slots, ..record(id, 5) };
    let most = *VALID_SLOTS.end();
    let mut received = list(&[
        with_slots("i-0", 0),
        with_slots("i-1", 1),
        with_slots("i-2", most),
        with_slots("i-3", most + 1),
        with_slots("i-4", u32::MAX),
    ]);
    let ids = |records: &[Rc<EndpointRecord>]| -> Vec<String> {
        records.iter().map(|record| record.id.to_string()).collect()
    };
    let removed = received.remove_invalid();
    expect_that!(ids(&removed), elements_are![eq("i-0"), eq("i-3"), eq("i-4")]);
    expect_that!(ids(&received.endpoints), elements_are![eq("i-1"), eq("i-2")]);
}

/// Lists of peers that don't check the ids.
#[googletest::test]
fn odd_ids_in_a_list_of_a_peer_are_removed_alone() {
    let odd = ["", "..", "i 0", "i&0", "i\n0", "i/0", "i%410", "\u{e9}"];
    let records: Vec<EndpointRecord> =
        odd.into_iter().chain(["i-1", "i-2"]).map(|id| record(id, 5)).collect();
    let mut received = list(&records);
    let removed = received.remove_invalid();
    expect_that!(removed.len(), eq(odd.len()));
    let left: Vec<&str> = received.endpoints.iter().map(|record| &*record.id).collect();
    expect_that!(left, elements_are![eq(&"i-1"), eq(&"i-2")]);
}

/// Interval at which an endpoint writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats after which an endpoint whose entry another writer had replaced is used again: those after which the store
/// drops an entry that isn't written, twice.
const HEARTBEATS_UNTIL_USED: usize = 6;
const BORN: u64 = 1_700_000_000_000;

/// Writes an endpoint's own entry, as with each heartbeat.
fn put_own(site: &OddSite, sequence: usize) {
    let mut own = endpoint_entry(&site.endpoints[0], "ready");
    own["born"] = json!(BORN);
    own["seq"] = json!(sequence);
    site.platform.put("servers", &site.endpoints[0].id, own);
}

/// The only endpoint's entry is replaced by one that names another address and a start that is later than all
/// real ones. Each daemon has to use the endpoint again after it has gone on writing its own entry.
fn play_late_start(born: u64) {
    let _place = acquire_fleet_slot();
    let mut site = OddSite::without_daemons(EndpointManner::Answer);
    for endpoint in &site.endpoints[1..] {
        site.platform.remove("servers", &endpoint.id);
    }
    site.odd.set(EndpointManner::Other);
    put_own(&site, 1);
    site.start_daemons();
    site.expect_statuses("before", 200);
    let mut late = endpoint_entry(&site.odd, "ready");
    late["born"] = json!(born);
    site.platform.put("servers", &site.endpoints[0].id, late);
    thread::sleep(APPLY_LIMIT);
    for sequence in 0..HEARTBEATS_UNTIL_USED {
        put_own(&site, 2 + sequence);
        thread::sleep(HEARTBEAT);
    }
    site.expect_statuses("after its own entry", 200);
}

macro_rules! late_starts_leave_the_endpoint_unused {
    ($($name:ident: $born:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play_late_start($born);
        }
    )*};
}

late_starts_leave_the_endpoint_unused! {
    latest_start_of_another_writer_leaves_the_endpoint_unused: u64::MAX;
    start_of_another_writer_in_a_year_leaves_the_endpoint_unused: BORN + 31_536_000_000;
}
