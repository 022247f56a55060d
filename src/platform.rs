//! Adapter to the users' platform: the only module that knows the platform's names, formats and calls.
//! It converts them to the gateway's types.
//!
//! - `settings`: the settings file of a daemon.
//! - `store`, `cloud`: calls to the metadata store and to the cloud's API.
//! - `configuration`, `endpoints`, `rollouts`: objects in the store.
//! - `ingress`: heads of requests and responses.
//!
//! This module makes no decisions, never retries, and keeps no state but connections and the store's
//! era. Where a value cannot be converted without loss, the decoder's comment says what is used instead
//! and why.

pub mod cloud;
pub mod configuration;
pub mod endpoints;
pub mod ingress;
pub mod rollouts;
pub mod settings;
pub mod store;
