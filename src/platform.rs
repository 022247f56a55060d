//! Adapter to the users' platform: the one place that knows its names, formats and calls, and
//! translates them to the gateway's types.
//!
//! - `settings`: the settings file of a daemon.
//! - `store`, `cloud`: calls to the metadata store and to the cloud's API.
//! - `configuration`, `endpoints`: objects in the store.
//! - `ingress`: heads of requests and responses.
//!
//! Nothing here decides, keeps state or retries. Where a value cannot be translated without
//! loss, the decoder's comment says what is used instead and why.

pub mod cloud;
pub mod configuration;
pub mod endpoints;
pub mod ingress;
pub mod settings;
pub mod store;
