//! Holding and releasing VMs, with real processes.

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cases,
    harness::{Deployment, Layout, eventually, try_get},
};

fn listed(deployment: &Deployment, service: &str) -> usize {
    let list = try_get(deployment.platform_address(), "/vms").unwrap_or_default();
    let vms = list["vms"].as_array().cloned().unwrap_or_default();
    vms.iter().filter(|vm| vm["service"] == service && vm["state"] == "live").count()
}

fn used(deployment: &Deployment, daemon: usize) -> u64 {
    let status = try_get(deployment.admin(daemon), "/status").unwrap_or_default();
    status["router"]["endpoints"]["model"].as_u64().unwrap_or(0)
}

fn planner_of(deployment: &Deployment, daemons: &[usize]) -> usize {
    eventually("a daemon plans", || {
        daemons.iter().copied().find(|daemon| deployment.metric(*daemon, "vms_started") > 0.0)
    })
}

/// More VMs are wanted than held: starts are refused in most zones and tried elsewhere.
/// The planner is killed, or frozen over its lease and thawed; another one takes the lease
/// and starts the next VM, once.
fn planner_is_lost_and_its_successor_goes_on(frozen: bool) {
    let layout = Layout { daemons: 4, engines: 4, spare: 2, ..Layout::default() };
    let mut deployment = Deployment::start(layout);
    let set = deployment.control(&["table", "set", "service.model", "min_vms=3", "max_vms=3"]);
    expect_that!(set.0, eq(0), "{}", set.1);
    eventually("a third VM is held", || (listed(&deployment, "model") == 3).then_some(()));
    for daemon in 0..4 {
        eventually("it is used", || (used(&deployment, daemon) == 3).then_some(()));
    }
    let planner = planner_of(&deployment, &[0, 1, 2, 3]);
    if frozen {
        deployment.daemons[planner].signal("STOP");
    } else {
        deployment.daemons[planner].kill();
    }
    let set = deployment.control(&["table", "set", "service.model", "min_vms=4", "max_vms=4"]);
    expect_that!(set.0, eq(0), "{}", set.1);
    let others: Vec<usize> = (0..4).filter(|daemon| *daemon != planner).collect();
    for _ in 0..2 {
        // Two patiences: the old lease has to be seen unchanged first.
        if listed(&deployment, "model") < 4 {
            let started = std::time::Instant::now();
            while listed(&deployment, "model") < 4 && started.elapsed() < crate::harness::WAIT_LIMIT
            {
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        }
    }
    expect_that!(listed(&deployment, "model"), eq(4));
    planner_of(&deployment, &others);
    if frozen {
        deployment.daemons[planner].signal("CONT");
        std::thread::sleep(std::time::Duration::from_secs(6));
        expect_that!(listed(&deployment, "model"), eq(4));
    }
}

cases!(planner_is_lost_and_its_successor_goes_on:
    killed_planner_is_followed(false),
    planner_frozen_over_its_lease_is_followed(true),
);

/// A reclaimed VM is replaced while the wave goes on, and no name is started twice.
#[googletest::test]
fn reclaimed_vm_is_replaced_once() {
    let layout = Layout { daemons: 3, engines: 4, spare: 2, ..Layout::default() };
    let deployment = Deployment::start(layout);
    let set = deployment.control(&["table", "set", "service.model", "min_vms=2", "max_vms=2"]);
    expect_that!(set.0, eq(0), "{}", set.1);
    // The answer of a write of the planner is lost on the way.
    deployment.set_faults(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let order = json!({ "vm": "vm-0", "seconds": 30.0 });
    crate::harness::post(deployment.platform_address(), "/reclaim", &[], &order.to_string());
    eventually("a VM takes its place", || (listed(&deployment, "model") == 2).then_some(()));
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
