//! The rules of the gateway, a file each: inputs and the time in, a decision out. No I/O.
//!
//! `request`: admitted or refused, how long it may take, retried or ended. `endpoint`: which one.
//! `daemon`: ready or not, who asks the store, what is fetched from peers. `leader`: the lease,
//! usage reports, how many endpoints are ordered and where.

pub mod daemon;
pub mod endpoint;
pub mod leader;
pub mod request;
