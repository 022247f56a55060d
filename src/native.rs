//! The product's native interface: clients with tickets, and endpoints and a table of its own.
//!
//! `willowarchd --settings FILE` without `--gateway` runs it, from [`daemon`]. It shares no
//! code path with the gateway (`crate::gateway`), which serves on the users' platform; where
//! both have a rule for the same question, the head of each module here names the other.
//!
//! - [`serve`]: from a client's request to its response
//! - [`request`]: the state of requests and tickets
//! - [`decide`]: the rules, without I/O
//! - [`cluster`]: membership, and the items that every daemon knows
//! - [`peer`]: the protocol between daemons
//! - [`cloud_api`], [`endpoint`], [`headers`], [`options`]: what is spoken with the platform,
//!   endpoints and clients, and what operators set

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
