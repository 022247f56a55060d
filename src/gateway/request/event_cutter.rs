//! Splits a stream of server-sent events into complete events, so that a broken stream can be
//! resumed at another endpoint after the last event that was passed on.
//!
//! Lines end with LF, CR LF or CR, and events with a blank line; their bytes are passed on unchanged.
//! Comments between events are passed on too, but are no events. Only numeric ids are recognized.

use bytes::{Bytes, BytesMut};

/// Longest accepted event, in bytes: bounds the memory of one stream.
const EVENT_LIMIT: usize = 1024 * 1024;

/// May stand before the first event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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
            batch.count += usize::from(has_field(&event));
            batch.last_id = id.or(batch.last_id);
            kept.unsplit(event);
        }
        batch.bytes = kept.freeze();
        match self.pending.len() > EVENT_LIMIT {
            true => Err(EventTooLong),
            false => Ok(batch),
        }
    }

    /// Whether the stream is inside an event: more than blank lines and whole comments has come after
    /// the last one.
    pub fn is_inside_event(&self) -> bool {
        let is_line_whole = matches!(self.pending.last(), None | Some(b'\n' | b'\r'));
        !is_line_whole || has_field(&self.pending)
    }

    /// Number of bytes after the last event.
    pub fn rest_length(&self) -> usize {
        self.pending.len()
    }

    /// Returns what has come after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }

    /// Length of the first event, including the blank line that ends it.
    fn first_event_length(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
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
