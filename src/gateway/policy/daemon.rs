//! Decisions of a daemon that do not concern single requests: its readiness, whether it
//! reaches the endpoints and the other daemons, whether it watches the store, which texts it fetches from peers, and the steps of a stop.

pub mod catch_up;
pub mod client_connections;
pub mod daemon_count;
pub mod endpoint_access;
pub mod fleet_contact;
pub mod forwarder_choice;
pub mod held_texts;
pub mod peer_contact;
pub mod readiness;
pub mod stop_times;
pub mod store_watchers;
pub mod text_fetches;
pub mod text_pacing;
