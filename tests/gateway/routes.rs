//! Selection of the route for a request's host and path.

use std::time::Duration;

use googletest::prelude::*;
use willowarch::gateway::configuration::{Configuration, Route, RouteKind, ServiceWeight};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[googletest::test]
fn route_with_the_longest_matching_prefix_of_the_host_is_selected() {
    let mut configuration = Configuration::default();
    for (host, prefix) in [("One", "/"), ("one", "/a/"), ("one", "/a/b/"), ("two", "/a/b/c/")] {
        configuration.add_route(Route {
            name: format!("{host}{prefix}").into(),
            host: host.into(),
            prefix: prefix.into(),
            kind: RouteKind::Once,
            timeout: None,
            target: millis(100),
            gap_target: None,
            priority: 0,
            services: vec![ServiceWeight { service: "pool".into(), weight: 1 }],
            attempts: 1,
            public: true,
        });
    }
    let name = |host, path| configuration.route(host, path).map(|route| route.name.to_string());
    expect_that!(name("one", "/a/b/c/d"), some(eq("one/a/b/")));
    expect_that!(name("ONE", "/a/x"), some(eq("one/a/")));
    expect_that!(name("one", "/ab"), some(eq("One/")));
    expect_that!(name("two", "/a/b/"), none());
    expect_that!(name("three", "/"), none());
}
