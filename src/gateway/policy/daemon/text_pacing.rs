//! Decides whether this daemon may send the text of its configuration to one more peer now.
//!
//! A configuration with many routes takes tens of kilobytes even when it is compressed, and the
//! smallest VMs have links of 10 Mbit/s. A daemon that has just received it is asked for it by all
//! its neighbours at once; sent to all of them together, none would have it before the call's
//! time limit, and all would ask again. What is sent is therefore given the time that it takes
//! on such a link before the next text is sent; a change of a few hundred bytes takes next to
//! none. A peer that gets no text asks another daemon that holds a newer one than its own, so
//! that the number of senders doubles with every transfer.

use std::time::Duration;

use tokio::time::Instant;

/// Rate at which a text is taken to leave this VM, in bytes a second: links of 10 Mbit/s, of which
/// a fifth is left for requests.
const TEXT_BYTES_PER_S: f64 = 1_000_000.0;

/// Spaces the texts that one daemon sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct TextPacer {
    next_at: Option<Instant>,
}

impl TextPacer {
    /// Whether a text of so many bytes may be sent now; notes that it is.
    pub fn try_send(&mut self, bytes: usize, now: Instant) -> bool {
        if self.next_at.is_some_and(|next_at| now < next_at) {
            return false;
        }
        self.next_at = Some(now + Duration::from_secs_f64(bytes as f64 / TEXT_BYTES_PER_S));
        true
    }
}
