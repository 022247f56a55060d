//! Settings and table rows: errors name the wrong key, and the shipped examples are valid.

use std::{fs, path::Path};

use googletest::prelude::*;
use serde_json::{Value, json};
use willowarch::{
    native::{
        cloud_api::messages::VmEntry,
        options::{rows::parse_table, settings::DaemonSettings},
    },
    standin::clients::RequestMix,
};

use crate::cases;

fn settings(change: impl FnOnce(&mut Value)) -> std::result::Result<DaemonSettings, Vec<String>> {
    let mut value = json!({
        "deployment": "d", "zone": "z", "caller_address": "127.0.0.1:1",
        "admin_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
        "object_api": "127.0.0.1:4", "cloud_api": "127.0.0.1:4",
    });
    change(&mut value);
    let parsed = DaemonSettings::parse(&value.to_string());
    parsed.map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

/// A wrong value is reported with its key, the value and the allowed values.
fn wrong_setting_is_named(key: &str, value: Value, allowed: &str) {
    let errors =
        settings(|settings| settings[key] = value.clone()).expect_err("wrong values were accepted");
    expect_that!(errors.len(), eq(1), "{errors:?}");
    expect_that!(errors[0], starts_with(format!("{key}: {value}")));
    expect_that!(errors[0], contains_substring(allowed));
}

cases!(wrong_setting_is_named:
    setting_zone_with_space("zone", json!("a b"), "printable"),
    setting_address_without_port("caller_address", json!("127.0.0.1"), "IP address and port"),
    setting_copies_too_many("copies", json!(9), "from 0 to 3"),
    setting_drain_negative("drain_ms", json!(-1), "whole number"),
    setting_seeds_not_a_list("seeds", json!("x"), "a list"),
    setting_level_unknown("log_level", json!("loud"), "info, debug, warn"),
    setting_unknown_key("colour", json!(1), "only the keys"),
);

/// Guards against checks that stop at the first wrong setting.
#[googletest::test]
fn all_wrong_settings_are_reported_at_once() {
    let errors = settings(|settings| {
        settings["zone"] = json!("");
        settings["copies"] = json!("two");
        settings["odd"] = json!(1);
    });
    expect_that!(errors.expect_err("wrong values were accepted").len(), eq(3));
}

fn read(path: &Path) -> Value {
    let text = fs::read_to_string(path).expect("cannot read the example file");
    serde_json::from_str(&text).expect("the example file is not JSON")
}

/// Guards against shipped examples that the current checks refuse.
fn example_is_valid(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
    for number in 1..=8 {
        let path = folder.join(format!("settings/{number}.json"));
        let text = fs::read_to_string(path).expect("cannot read the example file");
        expect_that!(DaemonSettings::parse(&text), ok(anything()));
    }
    expect_that!(parse_table(&read(&folder.join("table.json"))), ok(len(eq(7))));
    let vms: Vec<VmEntry> =
        serde_json::from_value(read(&folder.join("vms.json"))).expect("malformed VM list");
    expect_that!(vms.len(), gt(20));
    let mix: RequestMix =
        serde_json::from_value(read(&folder.join("mix.json"))).expect("malformed request mix");
    expect_that!(mix.entries.len(), ge(3));
}

cases!(example_is_valid:
    example_inkbridge_is_valid("inkbridge"),
    example_bakery_is_valid("bakery"),
);

/// Guards against errors in table rows that do not name the row and the key.
#[googletest::test]
fn row_errors_name_row_and_key() {
    let table = json!([
        { "kind": "account", "name": "a", "api_key": "k", "weight": 0 },
        { "kind": "service", "name": "s", "service_type": "model", "repeatable": false },
        { "kind": "service", "name": "t", "min_vms": 5, "max_vms": 2 },
    ]);
    let errors = parse_table(&table).expect_err("wrong values were accepted");
    let keys: Vec<&str> = errors.iter().map(|error| error.key.as_str()).collect();
    expect_that!(keys, eq(&["rows[0].weight", "rows[1].repeatable", "rows[2].max_vms"]));
}
