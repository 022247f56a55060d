//! Membership of the daemons, and the items that are spread to all of them.
//!
//! The core does no I/O. It takes events with the current time and returns actions, which the
//! service in [`service`] carries out over the peer protocol. There is no consensus: while two
//! daemons have different views, requests are routed less well, but all guarantees hold.

pub mod averaging;
pub mod core;
pub mod events;
pub mod item_validation;
pub mod items;
pub mod members;
pub mod service;
