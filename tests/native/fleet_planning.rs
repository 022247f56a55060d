//! Starting and replacing VMs by the daemon that holds the planner's lease, with real processes.

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cases,
    harness::{Deployment, Layout, eventually, try_get},
};

/// Number of VMs of `service` that the platform lists as live.
fn live_vm_count(deployment: &Deployment, service: &str) -> usize {
    let list = try_get(deployment.platform_address(), "/vms").unwrap_or_default();
    let vms = list["vms"].as_array().cloned().unwrap_or_default();
    vms.iter().filter(|vm| vm["service"] == service && vm["state"] == "live").count()
}

/// Number of endpoints of the model service that a daemon uses.
fn used_endpoint_count(deployment: &Deployment, daemon: usize) -> u64 {
    let status = try_get(deployment.admin(daemon), "/status").unwrap_or_default();
    status["router"]["endpoints"]["model"].as_u64().unwrap_or(0)
}

/// Waits until one of `daemons` has started a VM, and returns it.
fn wait_for_planner(deployment: &Deployment, daemons: &[usize]) -> usize {
    eventually("a daemon has started a VM", || {
        daemons.iter().copied().find(|daemon| deployment.metric(*daemon, "vms_started") > 0.0)
    })
}

/// More VMs are required than held: starts are refused in most availability zones and tried in
/// others. The daemon that plans is killed, or suspended for longer than its lease. Guards against
/// a deployment that starts no more VMs, and against a VM started twice when the first planner
/// resumes.
fn another_daemon_takes_over_planning(suspended: bool) {
    let layout = Layout { daemons: 4, engines: 4, spare: 2, ..Layout::default() };
    let mut deployment = Deployment::start(layout);
    let set = deployment.control(&["table", "set", "service.model", "min_vms=3", "max_vms=3"]);
    expect_that!(set.0, eq(0), "{}", set.1);
    eventually("a third VM is held", || (live_vm_count(&deployment, "model") == 3).then_some(()));
    for daemon in 0..4 {
        eventually("a daemon uses the third VM", || {
            (used_endpoint_count(&deployment, daemon) == 3).then_some(())
        });
    }
    let planner = wait_for_planner(&deployment, &[0, 1, 2, 3]);
    if suspended {
        deployment.daemons[planner].signal("STOP");
    } else {
        deployment.daemons[planner].kill();
    }
    let set = deployment.control(&["table", "set", "service.model", "min_vms=4", "max_vms=4"]);
    expect_that!(set.0, eq(0), "{}", set.1);
    let others: Vec<usize> = (0..4).filter(|daemon| *daemon != planner).collect();
    for _ in 0..2 {
        // Twice the limit: the successor must first see the old lease unchanged for its duration.
        if live_vm_count(&deployment, "model") < 4 {
            let started = std::time::Instant::now();
            while live_vm_count(&deployment, "model") < 4
                && started.elapsed() < crate::harness::WAIT_LIMIT
            {
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        }
    }
    expect_that!(live_vm_count(&deployment, "model"), eq(4));
    wait_for_planner(&deployment, &others);
    if suspended {
        deployment.daemons[planner].signal("CONT");
        std::thread::sleep(std::time::Duration::from_secs(6));
        expect_that!(live_vm_count(&deployment, "model"), eq(4));
    }
}

cases!(another_daemon_takes_over_planning:
    killed_planner_is_succeeded(false),
    planner_suspended_for_longer_than_its_lease_is_succeeded(true),
);

/// Guards against a reclaimed VM that is not replaced during the wave of reclaims, and against two
/// VMs of the same name, as a retry after a lost response could start them.
#[googletest::test]
fn reclaimed_vm_is_replaced_once() {
    let layout = Layout { daemons: 3, engines: 4, spare: 2, ..Layout::default() };
    let deployment = Deployment::start(layout);
    let set = deployment.control(&["table", "set", "service.model", "min_vms=2", "max_vms=2"]);
    expect_that!(set.0, eq(0), "{}", set.1);
    // The platform's response to a write of the planner is lost.
    deployment.set_faults(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let order = json!({ "vm": "vm-0", "seconds": 30.0 });
    crate::harness::post(deployment.platform_address(), "/reclaim", &[], &order.to_string());
    eventually("a VM replaces the reclaimed one", || {
        (live_vm_count(&deployment, "model") == 2).then_some(())
    });
    let names = try_get(deployment.platform_address(), "/vms").unwrap_or_default();
    let names: Vec<String> = names["vms"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|vm| Some(vm["name"].as_str()?.to_owned()))
        .collect();
    let distinct: std::collections::BTreeSet<&String> = names.iter().collect();
    expect_that!(distinct.len(), eq(names.len()));
}
