//! Decisions of roll-outs: the operators order a service's traffic onto a new version of its
//! endpoints, and the gateway does so only if that version serves well.
//!
//! - `rollout_order`: the order, its state, and the plan that daemons pass on to each other.
//! - `response_times`: which responses count as slow.
//! - `version_counts`, `version_comparison`: evidence against the new version, and the verdict.
//! - `traffic_plan`: the leader's steps from the first requests to the whole traffic.
//! - `version_split`: at which version one request runs.
//! - `rollout_table`: what this daemon knows of all roll-outs.

pub mod response_times;
pub mod rollout_order;
pub mod rollout_table;
pub mod traffic_plan;
pub mod version_comparison;
pub mod version_counts;
pub mod version_history;
pub mod version_split;
