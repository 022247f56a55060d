//! Which daemons a peer listener accepts: those of its own deployment with the same or an adjacent
//! protocol version.

use googletest::prelude::*;
use serde_json::json;

use crate::harness::{Deployment, Layout};

/// Guards against two deployments that merge into one because a daemon has a seed address of the
/// other deployment.
#[googletest::test]
fn peer_of_another_deployment_is_refused() {
    let mut deployment = Deployment::start(Layout { daemons: 2, ..Layout::default() });
    deployment.layout.settings = json!({ "deployment": "another" });
    let _process = deployment.spawn_daemon(5);
    crate::harness::eventually("the peer of another deployment is refused", || {
        let refused = deployment.metric(0, "peers_refused") + deployment.metric(1, "peers_refused");
        (refused > 0.0).then_some(())
    });
    let status = crate::harness::try_get(deployment.admin(0), "/status").expect("status");
    expect_that!(status["members"].as_array().map(Vec::len), some(eq(2)));
}

/// Connects to daemon 0 as a peer of deployment `name` with protocol `version`.
fn greet(deployment: &Deployment, name: &str, version: u32) -> std::result::Result<(), String> {
    use willowarch::{
        ids::IncarnationId,
        native::peer::{LocalIdentity, client::PeerPool},
    };
    let identity = LocalIdentity {
        deployment: name.into(),
        incarnation: IncarnationId::generate(),
        address: deployment.peer(7).to_string().into(),
        zone: "zone-a".into(),
        version,
    };
    let address = deployment.peer(0).to_string().into();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let greeting = async { PeerPool::new(identity).greet(&address).await };
    let greeted = tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), greeting);
    greeted.map(|_| ()).map_err(|error| error.to_string())
}

/// Guards against rolling upgrades that fail because daemons of adjacent protocol versions refuse
/// each other. Other versions and other deployments are refused with the reason.
#[googletest::test]
fn peer_listener_accepts_adjacent_versions_of_its_own_deployment() {
    use willowarch::native::peer::PROTOCOL_VERSION;
    let deployment =
        Deployment::start(Layout { daemons: 1, engines: 1, plain: 1, ..Layout::default() });
    expect_that!(greet(&deployment, "test", PROTOCOL_VERSION), ok(anything()));
    expect_that!(greet(&deployment, "test", PROTOCOL_VERSION + 1), ok(anything()));
    expect_that!(greet(&deployment, "test", PROTOCOL_VERSION - 1), ok(anything()));
    let unknown = greet(&deployment, "test", PROTOCOL_VERSION + 2);
    expect_that!(unknown, err(contains_substring("protocol version 3 is unknown")));
    let foreign = greet(&deployment, "another", PROTOCOL_VERSION);
    expect_that!(foreign, err(contains_substring("this is deployment test")));
}
