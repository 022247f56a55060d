//! Which endpoints of a service one daemon uses: its endpoint window.
//!
//! Endpoints and daemons are both placed on a ring by hash. The daemon at rank `r` of
//! `n` takes a window of consecutive endpoints that starts at `r / n` of the ring, so
//! that every endpoint is covered by the same number of daemons (give or take one),
//! and a daemon that comes or goes moves each window only a little. The rank comes from the
//! member list as this daemon knows it; while two lists differ, windows overlap unevenly.

use crate::ids::{IncarnationId, hash_parts};

/// Fewest endpoints of a service that a daemon uses, if there are so many. Each
/// is polled, which costs bytes in proportion.
pub const WINDOW_MIN: usize = 16;
/// Fewest daemons that use each endpoint: two daemons may be lost and each endpoint is still used.
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

/// Indexes of the endpoints that the daemon at `rank` of `daemons` uses, out of
/// `endpoints` in ring order.
pub fn window(rank: usize, daemons: usize, endpoints: usize) -> impl Iterator<Item = usize> {
    let start = (rank * endpoints).checked_div(daemons).unwrap_or(0);
    let size = window_size(daemons, endpoints);
    (start..start + size).map(move |index| index % endpoints)
}
