//! Decision rules of the gateway, one per file. They take inputs and the time and return a
//! decision, without I/O.
//!
//! - `request`: admission, time limits, retries and the end of a request.
//! - `endpoint`: the choice of an endpoint.
//! - `daemon`: readiness, which daemons read the store, what is fetched from peers.
//! - `leader`: the lease, usage reports, how many endpoints to order and in which zones.
//! - `rollout`: moving a service onto a new version of its endpoints.

pub mod daemon;
pub mod endpoint;
pub mod leader;
pub mod request;
pub mod rollout;
