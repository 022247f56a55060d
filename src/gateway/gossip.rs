//! Gossip between daemons: each daemon calls a few others many times a second, and every call
//! carries a message in both directions.
//!
//! `caller` and `listener` exchange messages (defined in `messages`, encoded by `codec`).
//! `outgoing` builds the messages of this daemon, `incoming` applies those of others. `peer_table`
//! holds the other daemons and decides which to call. `groups` limits their number, so that the
//! cost grows only with the square root of the fleet size. `streams` tells single daemons about
//! streams, and asks them.

mod call_schedule;
pub mod caller;
pub mod codec;
mod crash_reports;
pub mod endpoint_signals;
pub mod groups;
mod incoming;
pub mod listener;
pub mod messages;
mod outgoing;
pub mod peer_connections;
pub mod peer_record;
pub mod peer_table;
pub mod report_source;
pub mod rollouts;
pub mod streams;
pub mod text_codec;
pub mod text_exchange;
