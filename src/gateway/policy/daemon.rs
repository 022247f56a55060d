//! Rules of a daemon beside its requests: ready or not, who asks the store, what is fetched
//! from peers.

pub mod catch_up;
pub mod daemon_count;
pub mod held_texts;
pub mod peer_contact;
pub mod readiness;
pub mod store_watchers;
pub mod text_fetches;
pub mod text_pacing;
