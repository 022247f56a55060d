//! Edits of the table take effect on all daemons and are never reverted.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::harness::{Deployment, Layout, eventually, post, try_get};

fn row_version(deployment: &Deployment, daemon: usize, row: &str) -> Option<u64> {
    let status = try_get(deployment.admin(daemon), "/status")?;
    let rows = status["rows"].as_array()?.clone();
    rows.iter().find(|entry| entry[0] == row)?[1].as_u64()
}

fn edited_version(output: &(i32, String)) -> u64 {
    let value: Value = serde_json::from_str(&output.1).expect("JSON");
    value["version"].as_u64().expect("a version")
}

/// Promise 7: an edit takes effect on all daemons within seconds even if the platform's response
/// to the write is lost, and a daemon that starts while the platform is down gets it from peers.
#[googletest::test]
fn edit_takes_effect_on_all_daemons_and_survives_restarts() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    deployment.set_faults(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let edit = deployment.control(&["--json", "table", "set", "account.reader", "weight=3"]);
    expect_that!(edit.0, eq(0), "{}", edit.1);
    let version = edited_version(&edit);
    let edited_at = Instant::now();
    for daemon in 0..4 {
        eventually("the edit takes effect", || {
            (row_version(&deployment, daemon, "account.reader") == Some(version)).then_some(())
        });
    }
    expect_that!(edited_at.elapsed(), lt(Duration::from_secs(7)));
    let outage = json!({ "outage": true });
    deployment.set_faults(deployment.platform_address(), outage);
    for daemon in 0..4 {
        deployment.daemons[daemon].kill();
        deployment.daemons[daemon] = deployment.spawn_daemon(daemon);
        deployment.wait_ready(daemon);
        expect_that!(row_version(&deployment, daemon, "account.reader"), some(eq(version)));
    }
}

/// Promise 7: two operators edit the same row. Guards against a lost update: the later edit is
/// refused and its author is shown both rows.
#[googletest::test]
fn concurrent_edits_have_one_winner() {
    let deployment = Deployment::start(Layout::default());
    let sheet = deployment.folder.join("table.csv").display().to_string();
    expect_that!(deployment.control(&["table", "out", &sheet]).0, eq(0));
    let edit = deployment.control(&["table", "set", "account.reader", "weight=5"]);
    expect_that!(edit.0, eq(0), "{}", edit.1);
    let text = std::fs::read_to_string(&sheet).expect("the sheet");
    let changed = text.replace("reader,key-reader,1.0", "reader,key-reader,9.0");
    expect_that!(changed, not(eq(&text)));
    std::fs::write(&sheet, changed).expect("the sheet");
    let late = deployment.control(&["table", "edit", &sheet]);
    expect_that!(late.0, eq(3), "{}", late.1);
    expect_that!(late.1, contains_substring("\"weight\":9.0"));
    expect_that!(late.1, contains_substring("\"weight\":5"));
    // `apply` of an older declaration does not overwrite the edit either.
    let declaration = deployment.folder.join("table.json").display().to_string();
    let applied = deployment.control(&["apply", &declaration]);
    expect_that!(applied.0, eq(3), "{}", applied.1);
    let row = deployment.control(&["table", "get", "account.reader"]);
    expect_that!(row.1, contains_substring("\"weight\":5"));
}

/// Promise 7: four concurrent writes are based on the same version. The object API accepts one;
/// the others fail with a conflict that contains both rows.
#[googletest::test]
fn concurrent_writes_based_on_one_version_have_one_winner() {
    use willowarch::control::table::{EditError, TableClient};
    let deployment = Deployment::prepare(Layout { engines: 1, plain: 1, ..Layout::default() });
    let table = TableClient::new(deployment.platform_address());
    let entry = table.read("account.reader").expect("the row");
    let row = |weight: f64| {
        let mut row = entry.value.clone().expect("a value");
        row["weight"] = json!(weight);
        row
    };
    let writers: Vec<_> = (1..=4)
        .map(|weight| {
            let (table, row) = (table.clone(), row(f64::from(weight) + 1.0));
            let version = entry.version;
            std::thread::spawn(move || table.write(&row, version, &json!({})))
        })
        .collect();
    let results: Vec<_> = writers
        .into_iter()
        .map(|writer| writer.join().expect("the writing thread panicked"))
        .collect();
    expect_that!(results.iter().filter(|result| result.is_ok()).count(), eq(1));
    for result in results.into_iter().filter_map(std::result::Result::err) {
        expect_that!(result, pat!(EditError::Conflict(anything())));
    }
}

/// Promise 7: the platform responds slowly, and after an outage it returns objects as they were
/// before the edits. Guards against daemons that list the objects again and then revert or drop
/// rows.
#[googletest::test]
fn stale_lists_of_a_slow_platform_do_not_revert_rows() {
    let deployment = Deployment::start(Layout::default());
    let created = json!([
        { "kind": "account", "name": "reader", "api_key": "key-reader", "weight": 4.0 },
        { "kind": "account", "name": "press", "api_key": "key-press" },
        { "kind": "account", "name": "kiosks", "api_key": "key-kiosks" },
        { "kind": "service", "name": "model", "service_type": "model" },
        { "kind": "service", "name": "tagging", "service_type": "plain", "repeatable": false },
    ]);
    let file = deployment.folder.join("more.json");
    std::fs::write(&file, created.to_string()).expect("a declaration");
    deployment.set_faults(deployment.platform_address(), json!({ "delay_ms": 300 }));
    let applied = deployment.control(&["apply", &file.display().to_string()]);
    expect_that!(applied.0, eq(0), "{}", applied.1);
    let versions = |daemon| {
        ["account.reader", "account.kiosks"].map(|row| row_version(&deployment, daemon, row))
    };
    let newest = eventually("the rows take effect", || {
        let first = versions(0);
        let everywhere = (0..3).all(|daemon| versions(daemon) == first);
        (everywhere && first[1].is_some()).then_some(first)
    });
    // An outage makes the watchers list the objects again; the lists that they get are stale.
    deployment.set_faults(deployment.platform_address(), json!({ "outage": true }));
    std::thread::sleep(Duration::from_millis(800));
    let stale = json!({ "outage": false, "delay_ms": 0, "stale_reads": 12, "stale_by": 3 });
    deployment.set_faults(deployment.platform_address(), stale);
    eventually("the watchers have read stale lists", || {
        let faults = post(deployment.platform_address(), "/faults", &[], "{}").body;
        (faults["stale_reads"].as_u64() < Some(10)).then_some(())
    });
    std::thread::sleep(Duration::from_secs(2));
    for daemon in 0..3 {
        expect_that!(versions(daemon), eq(newest));
        // The timeline shows that no version was reverted in between either.
        let events = try_get(deployment.admin(daemon), "/timeline?subject=account.reader");
        let events = events.expect("no timeline").as_array().cloned().unwrap_or_default();
        let in_force: Vec<u64> = events
            .iter()
            .filter_map(|event| event["detail"].as_str()?.strip_prefix("version ")?.parse().ok())
            .collect();
        expect_that!(in_force.len(), ge(2));
        expect_true!(in_force.is_sorted(), "{in_force:?}");
    }
}

/// Promise 7: the object API is restored from a backup, so that its versions are lower than those
/// that the daemons hold. Guards against daemons that ignore all later edits as outdated, so that
/// these never take effect.
#[googletest::test]
fn edits_take_effect_after_the_object_api_is_restored_from_a_backup() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let platform = deployment.platform_address();
    let edit = |weight: u32| {
        let weight = format!("weight={weight}");
        let edit = deployment.control(&["--json", "table", "set", "account.reader", &weight]);
        expect_that!(edit.0, eq(0), "{}", edit.1);
        edited_version(&edit)
    };
    let in_force_everywhere = |version: u64| {
        (0..4).all(|daemon| row_version(&deployment, daemon, "account.reader") == Some(version))
    };
    post(platform, "/copy", &[], "");
    let versions: Vec<u64> = (3..12).map(edit).collect();
    let newest = *versions.last().expect("a version");
    eventually("the edits take effect", || in_force_everywhere(newest).then_some(()));
    post(platform, "/restore", &[], "");
    let version = edit(20);
    expect_that!(version, lt(newest));
    eventually("the edit takes effect", || in_force_everywhere(version).then_some(()));
}
