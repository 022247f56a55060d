//! The native interface, with its own protocols for clients (with tickets) and endpoints, and its
//! own configuration table.
//!
//! `willowarchd --settings FILE` without `--gateway` runs it, starting at [`daemon`]. It has no
//! request handling in common with the gateway (`crate::gateway`), which runs on the users'
//! platform; where both have a rule for the same purpose, the module here names the gateway's.
//!
//! - [`serve`]: handling of requests, from the client's request to the response
//! - [`request`]: the state of requests and tickets
//! - [`decide`]: decision rules (routing, limits, retries, fleet size), without I/O
//! - [`cluster`]: membership, and the items that are replicated to every daemon
//! - [`peer`]: the protocol between daemons
//! - [`cloud_api`], [`endpoint`], [`headers`]: messages and headers exchanged with the platform,
//!   endpoints and clients
//! - [`options`]: settings and table rows

pub mod cloud_api;
pub mod cluster;
pub mod daemon;
pub mod decide;
pub mod endpoint;
pub mod headers;
pub mod options;
pub mod peer;
pub mod request;
pub mod serve;
