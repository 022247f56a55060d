//! Which endpoints of a service one daemon uses: its endpoint window.
//!
//! Endpoints and daemons are both placed on a ring by hash. The daemon at rank `r` of
//! `n` uses a window of consecutive endpoints that starts at the fraction `r / n` of the ring.
//! Every endpoint is therefore used by the same number of daemons, give or take one, and a daemon
//! that joins or leaves moves each window only a little. The rank comes from this daemon's member
//! list; while the lists of two daemons differ, windows overlap unevenly.

use crate::ids::{IncarnationId, hash_parts};

/// Fewest endpoints of a service that a daemon uses, if the service has that many. The daemon
/// polls each of them, so traffic grows in proportion.
pub const WINDOW_MIN: usize = 16;
/// Fewest daemons that use each endpoint, so that each is still used after the loss of two.
const COVERAGE: usize = 3;

/// Position of a name on the ring.
pub fn ring_position(name: &str) -> u64 {
    hash_parts(&[b"ring", name.as_bytes()])
}

/// Position of a daemon on the ring.
pub fn daemon_position(incarnation: IncarnationId) -> u64 {
    hash_parts(&[b"daemon", &incarnation.0.to_le_bytes()])
}

/// Number of endpoints in each daemon's window.
pub fn window_size(daemons: usize, endpoints: usize) -> usize {
    let for_coverage = (endpoints * COVERAGE).div_ceil(daemons.max(1));
    WINDOW_MIN.max(for_coverage).min(endpoints)
}

/// Indexes, in ring order, of the endpoints out of `endpoints` that the daemon at `rank` of
/// `daemons` uses.
pub fn window(rank: usize, daemons: usize, endpoints: usize) -> impl Iterator<Item = usize> {
    let start = (rank * endpoints).checked_div(daemons).unwrap_or(0);
    let size = window_size(daemons, endpoints);
    (start..start + size).map(move |index| index % endpoints)
}
