//! Decides whether this daemon may send a text (its configuration or list of endpoints) to another
//! peer now.
//!
//! A configuration with many routes takes tens of kilobytes even when compressed, and the smallest
//! VMs have 10 Mbit/s links. All neighbours of a daemon that has just received a configuration
//! request it at once. If the daemon sent it to all of them in parallel, none would receive it
//! within the call's time limit, and all would request it again. After sending a text, the daemon
//! therefore waits for the time that its transfer takes on such a link before it sends the next
//! one; for a change of a few hundred bytes this wait is negligible. A peer that gets no text
//! requests it from another daemon with a newer text than its own, so that the number of senders
//! doubles with every transfer.

use std::time::Duration;

use tokio::time::Instant;

/// Assumed rate at which texts are sent, in bytes per second: four fifths of a 10 Mbit/s link. The
/// rest is left for requests.
const TEXT_BYTES_PER_S: f64 = 1_000_000.0;

/// Paces the transfers of one text to peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TextPacer {
    next_at: Option<Instant>,
}

impl TextPacer {
    /// Returns whether a text of this size may be sent now. If so, the caller has to send it, and
    /// the next one has to wait for its transfer time.
    pub fn try_send(&mut self, bytes: usize, now: Instant) -> bool {
        if self.next_at.is_some_and(|next_at| now < next_at) {
            return false;
        }
        self.next_at = Some(now + Duration::from_secs_f64(bytes as f64 / TEXT_BYTES_PER_S));
        true
    }
}
