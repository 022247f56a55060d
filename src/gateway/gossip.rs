//! Gossip between daemons: each calls a few others many times a second, and every call carries a
//! message in both directions.
//!
//! `caller` and `listener` exchange messages (`messages`, translated by `codec`); `outgoing`
//! collects what this daemon reports, `incoming` applies what others report. `peer_table` knows
//! the other daemons and decides whom to call; `groups` bounds how many that are, so that the
//! cost grows with the square root of the fleet only.

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
pub mod peer_record;
pub mod peer_table;
pub mod report_source;
pub mod text_codec;
pub mod text_exchange;
