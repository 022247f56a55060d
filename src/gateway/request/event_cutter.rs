//! Cuts a stream of server-sent events into whole events, so that a broken stream can be
//! resumed at another endpoint after the last event that was passed on.
//!
//! Events end with a blank line; their bytes are passed on unchanged. Only ids that are
//! numbers are understood.

use bytes::{Bytes, BytesMut};

/// Longest event accepted, in bytes: bounds what one stream holds in memory.
const EVENT_LIMIT: usize = 1024 * 1024;

/// The stream cannot be cut into events.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("event longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Whole events that are passed on together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// Id of the last one, if any had one.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: usize,
}

/// Cutter that keeps what has arrived of the next event.
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    /// Bytes of `pending` that hold no end of an event.
    searched: usize,
}

impl EventCutter {
    /// Adds the next bytes and returns the events that they complete. Events whose id is not
    /// above `skip_to` are left out: the client has them.
    pub fn feed(&mut self, bytes: &[u8], skip_to: Option<u64>) -> Result<EventBatch, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut batch = EventBatch::default();
        let mut kept = BytesMut::new();
        while let Some(length) = self.next_event() {
            let event = self.pending.split_to(length);
            self.searched = 0;
            let id = event_id(&event);
            if id.is_some() && id <= skip_to {
                continue;
            }
            batch.count += 1;
            batch.last_id = id.or(batch.last_id);
            kept.unsplit(event);
        }
        batch.bytes = kept.freeze();
        match self.pending.len() > EVENT_LIMIT {
            true => Err(EventTooLong),
            false => Ok(batch),
        }
    }

    /// Takes what is left when the stream has ended.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }

    /// Length of the first event, up to the blank line that ends it.
    fn next_event(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut place = self.searched;
        while let Some(offset) = bytes[place..].iter().position(|byte| *byte == b'\n') {
            let line_end = place + offset;
            match &bytes[line_end + 1..] {
                [b'\n', ..] => return Some(line_end + 2),
                [b'\r', b'\n', ..] => return Some(line_end + 3),
                [] | [b'\r'] => {
                    self.searched = line_end;
                    return None;
                }
                _ => place = line_end + 1,
            }
        }
        self.searched = place;
        None
    }
}

/// Id of an event, where it has a number for one.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    // An id that is no number is no error: such a stream is passed on, and resumed by its last
    // numbered event.
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
