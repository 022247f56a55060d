//! Splits a stream of server-sent events into complete events, so that a broken stream can be
//! resumed at another endpoint after the last event that was passed on.
//!
//! Lines end with LF, CR LF or CR, and events with a blank line; their bytes are passed on unchanged.
//! Comments between events are passed on too, but are no events. Only numeric ids are recognized.
//!
//! `response_memory` bounds what the incomplete events of all streams hold.

use std::mem;

use bytes::{Bytes, BytesMut};

use crate::response_memory::{HeldBytes, NoResponseMemory, ResponseMemory, charge_sent};

/// Longest accepted event, in bytes, and most comments between two events: bounds the memory of one stream.
pub const EVENT_LIMIT: usize = 1024 * 1024;
/// Bytes that are searched for the ends of events at a time, so that no more are held beside an incomplete event.
const PIECE_BYTES: usize = 4 * 1024;

/// May stand before the first event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// The stream cannot be split into events.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is too long.
    #[display("event longer than {EVENT_LIMIT} bytes")]
    TooLong,
    /// There is no memory for an incomplete event.
    #[display("{_0}")]
    NoMemory(NoResponseMemory),
}

impl From<NoResponseMemory> for EventError {
    fn from(error: NoResponseMemory) -> Self {
        Self::NoMemory(error)
    }
}

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
#[derive(Debug)]
pub struct EventCutter {
    pending: HeldBytes,
    /// Number of bytes of `pending` that have been searched without finding the end of an event.
    searched: usize,
}

impl EventCutter {
    /// Splits a stream that begins.
    pub fn new(memory: &ResponseMemory) -> Self {
        Self { pending: HeldBytes::new(memory), searched: 0 }
    }

    /// Adds the next bytes and returns the events that they complete. Omits events with ids up to
    /// `skip_to`, which the client has received already.
    ///
    /// # Errors
    ///
    /// An event is too long, or there is no memory for it.
    pub fn feed(&mut self, bytes: &[u8], skip_to: Option<u64>) -> Result<EventBatch, EventError> {
        let mut batch = EventBatch::default();
        let mut parts = Vec::new();
        for piece in bytes.chunks(PIECE_BYTES) {
            self.pending.append(piece)?;
            let events = self.take_events(skip_to, &mut batch);
            if !events.is_empty() {
                parts.push(events);
            }
            if self.pending.bytes().len() > EVENT_LIMIT {
                return Err(EventError::TooLong);
            }
        }
        batch.bytes = charge_sent(join(parts), self.pending.memory());
        Ok(batch)
    }

    /// Takes the complete events, and adds their number and the last id to `batch`.
    fn take_events(&mut self, skip_to: Option<u64>, batch: &mut EventBatch) -> BytesMut {
        let mut kept = BytesMut::new();
        let mut has_split = false;
        while let Some(length) = self.first_event_length() {
            let event = self.pending.split_to(length);
            has_split = true;
            self.searched = 0;
            let id = event_id(&event);
            if id.is_some() && id <= skip_to {
                continue;
            }
            batch.count += usize::from(has_field(&event));
            batch.last_id = id.or(batch.last_id);
            kept.unsplit(event);
        }
        if has_split {
            self.pending.settle();
        }
        kept
    }

    /// Whether the stream is inside an event: more than blank lines and whole comments has come after
    /// the last one.
    pub fn is_inside_event(&self) -> bool {
        let pending = self.pending.bytes();
        let is_line_whole = matches!(pending.last(), None | Some(b'\n' | b'\r'));
        !is_line_whole || has_field(pending)
    }

    /// Number of bytes after the last event.
    pub fn rest_length(&self) -> usize {
        self.pending.bytes().len()
    }

    /// Returns what has come after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.take()
    }

    /// Length of the first event, including the blank line that ends it.
    fn first_event_length(&mut self) -> Option<usize> {
        let bytes = self.pending.bytes();
        let mut position = self.searched;
        while let Some(offset) = bytes[position..].iter().position(is_line_end) {
            let line_end = position + offset;
            let next_line = line_end + line_end_length(&bytes[line_end..]);
            match bytes.get(next_line) {
                Some(byte) if is_line_end(byte) => {
                    return Some(next_line + line_end_length(&bytes[next_line..]));
                }
                Some(_) => position = next_line,
                None => {
                    self.searched = line_end;
                    return None;
                }
            }
        }
        self.searched = bytes.len();
        None
    }
}

/// The parts as one, which is copied only if there are several.
fn join(mut parts: Vec<BytesMut>) -> Bytes {
    match &mut parts[..] {
        [only] => mem::take(only).freeze(),
        several => several.concat().into(),
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Length of the line end with which the bytes begin.
fn line_end_length(bytes: &[u8]) -> usize {
    if bytes.starts_with(b"\r\n") { 2 } else { 1 }
}

/// Lines of a part of a stream, without a byte-order mark.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    bytes.split(is_line_end)
}

/// Whether any line is neither blank nor a comment.
fn has_field(event: &[u8]) -> bool {
    lines(event).any(|line| !matches!(line.first(), None | Some(b':')))
}

/// Id of an event, if it has a numeric one.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = lines(event).find_map(|line| line.strip_prefix(b"id:"))?;
    // A non-numeric id is not an error: the stream is passed on, and resumed after its last event
    // with a numeric id.
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
