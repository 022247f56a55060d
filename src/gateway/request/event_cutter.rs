//! Splits a stream of server-sent events into complete events, so that a broken stream can be
//! resumed at another endpoint after the last event that was passed on.
//!
//! Events end with a blank line; their bytes are passed on unchanged. Only numeric ids are
//! recognized.

use bytes::{Bytes, BytesMut};

/// Longest accepted event, in bytes: bounds the memory of one stream.
const EVENT_LIMIT: usize = 1024 * 1024;

/// The stream cannot be split into events.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("event longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Complete events that are passed on together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// Id of the last event that had one.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: usize,
}

/// Splits a stream into events, and buffers the incomplete next event.
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    /// Number of bytes of `pending` that have been searched without finding the end of an event.
    searched: usize,
}

impl EventCutter {
    /// Adds the next bytes and returns the events that they complete. Omits events with ids up to
    /// `skip_to`, which the client has received already.
    pub fn feed(&mut self, bytes: &[u8], skip_to: Option<u64>) -> Result<EventBatch, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut batch = EventBatch::default();
        let mut kept = BytesMut::new();
        while let Some(length) = self.first_event_length() {
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

    /// Returns the incomplete event that is left at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }

    /// Length of the first event, including the blank line that ends it.
    fn first_event_length(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut position = self.searched;
        while let Some(offset) = bytes[position..].iter().position(|byte| *byte == b'\n') {
            let line_end = position + offset;
            match &bytes[line_end + 1..] {
                [b'\n', ..] => return Some(line_end + 2),
                [b'\r', b'\n', ..] => return Some(line_end + 3),
                [] | [b'\r'] => {
                    self.searched = line_end;
                    return None;
                }
                _ => position = line_end + 1,
            }
        }
        self.searched = position;
        None
    }
}

/// Id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    // A non-numeric id is not an error: the stream is passed on, and resumed after its last event
    // with a numeric id.
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
