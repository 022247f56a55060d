//! A new version removes accounts or their keys. Daemons read an empty list of accounts like a missing one, and asked
//! for no keys any more: they served requests with removed keys, made-up ones, and none (rule CONFIG).

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{
        Gateway, RawAnswer, configuration, endpoint_entry, kept_request_bytes, send_raw, wait_for,
    },
    platform_standin::PlatformStandin,
};

/// Versions of the configuration: the first one, the one under test, and a later one.
const FIRST: u64 = 3;
const CHANGED: u64 = 4;
const LATER: u64 = 5;

/// Two daemons; the second one learns of versions from the store or from the first.
struct AccountSite {
    platform: PlatformStandin,
    endpoint: EndpointStandin,
    daemons: Vec<Gateway>,
}

impl AccountSite {
    /// Starts daemons that find this configuration.
    fn start(first: Value) -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", first);
        let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
        platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
        let first = Gateway::start("edge-1", &platform, &[]);
        let second = Gateway::start("edge-2", &platform, &[first.peers]);
        let daemons = vec![first, second];
        daemons.iter().for_each(Gateway::wait_ready);
        Self { platform, endpoint, daemons }
    }

    fn put(&self, configuration: Value) {
        let version = configuration["version"].as_u64();
        self.platform.put("config", "main", configuration);
        let is_applied = |daemon: &Gateway| {
            let state = ureq::get(&format!("http://{}/state", daemon.metrics)).call();
            let text = state.expect("state").body_mut().read_to_string().expect("text");
            let state: Value = serde_json::from_str(&text).expect("JSON");
            state["configuration_version"].as_u64() == version
        };
        wait_for("the version at all daemons", || self.daemons.iter().all(is_applied));
    }

    /// Checks the status that each daemon sends for a key, and that the endpoint ran only what was served.
    fn check(&self, key: Option<&str>, status: u16) {
        for daemon in &self.daemons {
            let before = self.endpoint.seen().len();
            expect_that!(ask(daemon, "/plain/", key).status, eq(status), "key {key:?}");
            let runs = self.endpoint.seen().len() - before;
            expect_that!(runs, eq(usize::from(status == 200)), "runs with key {key:?}");
        }
    }

    /// Checks that no request is served, whatever key it carries.
    fn check_all_refused(&self) {
        for key in [Some("key-1"), Some("key-2"), Some("made-up"), Some(""), None] {
            self.check(key, 401);
        }
    }
}

/// Sends a request with this key, or without the header for it.
fn ask(daemon: &Gateway, path: &str, key: Option<&str>) -> RawAnswer {
    let bytes = kept_request_bytes(path, "r", key.unwrap_or_default(), &["Connection: close"], b"");
    let text = String::from_utf8(bytes).expect("text");
    let sent = match key {
        Some(_) => text,
        None => text.replace("Authorization: Token \r\n", ""),
    };
    send_raw(daemon.clients, sent.as_bytes())
}

fn with_accounts(version: u64, accounts: Value) -> Value {
    let mut changed = configuration(version, &[]);
    changed["tenants"] = accounts;
    changed
}

fn account(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api-keys": keys})
}

#[googletest::test]
fn removed_keys_of_the_last_account_are_served() {
    let site = AccountSite::start(configuration(FIRST, &["key-1", "key-2"]));
    site.check(Some("key-1"), 200);
    site.put(with_accounts(CHANGED, json!([])));
    site.check_all_refused();
}

#[googletest::test]
fn daemons_that_start_without_accounts_serve_any_key() {
    let site = AccountSite::start(with_accounts(FIRST, json!([])));
    site.check_all_refused();
}

#[googletest::test]
fn keys_of_removed_and_restored_accounts_are_served_in_between() {
    let site = AccountSite::start(configuration(FIRST, &["key-1"]));
    site.put(with_accounts(CHANGED, json!([])));
    site.check_all_refused();
    site.put(configuration(LATER, &["key-1"]));
    site.check(Some("key-1"), 200);
    site.check(Some("key-2"), 401);
}

#[googletest::test]
fn empty_key_of_an_account_is_not_served() {
    let site = AccountSite::start(with_accounts(FIRST, json!([account("reader", &["", "key-3"])])));
    site.check(Some("key-3"), 200);
    site.check_all_refused();
}

#[googletest::test]
fn keys_of_a_replaced_last_account_are_not_served() {
    let site = AccountSite::start(configuration(FIRST, &["key-1"]));
    site.put(with_accounts(CHANGED, json!([account("other", &["key-3"])])));
    site.check(Some("key-3"), 200);
    site.check_all_refused();
}

#[googletest::test]
fn keys_of_an_account_without_keys_are_not_served() {
    let site = AccountSite::start(configuration(FIRST, &["key-1"]));
    site.put(with_accounts(CHANGED, json!([account("reader", &[])])));
    site.check_all_refused();
}

#[googletest::test]
fn public_routes_need_no_account() {
    let mut public = with_accounts(FIRST, json!([]));
    public["routes"][0]["public"] = json!(true);
    let site = AccountSite::start(public);
    site.check(None, 200);
    site.check(Some("made-up"), 200);
}

#[googletest::test]
fn configurations_that_say_nothing_of_accounts_ask_for_no_keys() {
    let mut without = configuration(FIRST, &[]);
    without.as_object_mut().expect("object").remove("tenants");
    let site = AccountSite::start(without);
    site.check(None, 200);
    site.check(Some("made-up"), 200);
}

/// A configuration that can't be decoded isn't used; the former one stays in force.
#[googletest::test]
fn null_in_place_of_accounts_does_not_open_routes() {
    let site = AccountSite::start(configuration(FIRST, &["key-1"]));
    site.platform.put("config", "main", with_accounts(CHANGED, Value::Null));
    let has_read = |daemon: &Gateway| {
        let log = std::fs::read_to_string(&daemon.log).expect("log");
        log.contains("configuration not decoded")
    };
    wait_for("a daemon that has read it", || site.daemons.iter().any(has_read));
    site.check(Some("key-1"), 200);
    site.check(Some("made-up"), 401);
    site.check(None, 401);
}
