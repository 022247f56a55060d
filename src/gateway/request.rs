//! Handles a client's request from its connection to an endpoint and back.
//!
//! `client_listener` accepts connections, and `dispatch` passes each request through `admission`,
//! `first_response`, which makes each `attempt`, and `relay`. Their rules are in `policy`.

pub mod admission;
pub mod attempt;
pub mod body_drain;
pub mod client_listener;
pub mod connection_pool;
pub mod crash_watch;
pub mod dispatch;
pub mod event_cutter;
pub mod first_response;
pub mod refusal_response;
pub mod relay;
pub mod request_log;
pub mod response_meaning;
pub mod run_guard;
pub mod sized_body;
