//! Sends the warnings and request limits of endpoints to other daemons, and applies those that
//! other daemons report.

pub mod brittle;
pub mod limits;
pub mod slot_loans;
pub mod warnings;

use tokio::time::Instant;

use crate::gateway::context::GatewayContext;

/// Divides among the known daemons what endpoints take from all of them, after a list of endpoints was
/// applied. Nothing may be awaited in between.
pub fn divide_all(context: &GatewayContext, now: Instant) {
    brittle::divide_slots(context, now);
    limits::divide(context, now);
}
