//! Checks a configuration for probable mistakes, which the store would accept, before it is written.
//! Used by the operators' tool; the daemon applies any configuration from the store.

use derive_more::Display;

use super::{Configuration, Route, RouteKind};
use crate::ids::SharedName;

/// A probable mistake in a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationProblem {
    /// A route names a service that does not exist.
    #[display("route {route}: service {service} does not exist")]
    UnknownService {
        /// Name of the route.
        route: SharedName,
        /// Name of the service.
        service: SharedName,
    },
    /// A route has no service with a weight above 0.
    #[display("route {_0}: no service has a weight above 0")]
    NoService(SharedName),
    /// A prefix does not begin and end with a slash.
    #[display("route {_0}: path-prefix must begin and end with a slash")]
    MalformedPrefix(SharedName),
    /// Two routes have the same host and prefix.
    #[display("routes {_0} and {_1}: same host and path-prefix")]
    SamePrefix(SharedName, SharedName),
    /// A route whose requests run at most once allows several attempts.
    #[display("route {_0}: attempts above 1 have no effect on non_idempotent routes")]
    IneffectiveAttempts(SharedName),
    /// A service for which no endpoint may be ordered.
    #[display("service {_0}: autoscale.max is 0")]
    EmptyFleet(SharedName),
    /// No request can have a known key.
    #[display("tenants is empty: all keys are refused")]
    NoAccounts,
}

/// Finds all problems of a configuration.
pub fn problems(configuration: &Configuration) -> Vec<ConfigurationProblem> {
    let mut found = Vec::new();
    let mut routes: Vec<&Route> = configuration.routes().map(|route| &**route).collect();
    routes.sort_by(|one, other| (&one.host, &one.prefix).cmp(&(&other.host, &other.prefix)));
    for route in &routes {
        check_route(configuration, route, &mut found);
    }
    for pair in routes.windows(2) {
        if (&pair[0].host, &pair[0].prefix) == (&pair[1].host, &pair[1].prefix) {
            let (one, other) = (pair[0].name.clone(), pair[1].name.clone());
            found.push(ConfigurationProblem::SamePrefix(one, other));
        }
    }
    for service in configuration.services.values() {
        if service.fleet.as_ref().is_some_and(|fleet| fleet.max == 0) {
            found.push(ConfigurationProblem::EmptyFleet(service.name.clone()));
        }
    }
    if configuration.requires_keys && configuration.accounts.is_empty() {
        found.push(ConfigurationProblem::NoAccounts);
    }
    found
}

fn check_route(
    configuration: &Configuration,
    route: &Route,
    found: &mut Vec<ConfigurationProblem>,
) {
    let name = &route.name;
    for entry in &route.services {
        if !configuration.services.contains_key(&entry.service) {
            let (route, service) = (name.clone(), entry.service.clone());
            found.push(ConfigurationProblem::UnknownService { route, service });
        }
    }
    if route.services.iter().all(|entry| entry.weight == 0) {
        found.push(ConfigurationProblem::NoService(name.clone()));
    }
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        found.push(ConfigurationProblem::MalformedPrefix(name.clone()));
    }
    if route.kind == RouteKind::Once && route.attempts > 1 {
        found.push(ConfigurationProblem::IneffectiveAttempts(name.clone()));
    }
}
