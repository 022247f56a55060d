//! Incremental decoder of server-sent events, for the streams of the native interface's engines.
//! The gateway forwards events unchanged and only looks for their ends (`gateway::request`).

/// Longest event accepted, in bytes: bounds the memory that a faulty engine can make this process
/// use.
const EVENT_LIMIT: usize = 256 * 1024;

/// The stream is malformed.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the limit.
    #[display("event longer than {EVENT_LIMIT} bytes")]
    TooLong,
    /// An event is not UTF-8.
    #[display("event is not UTF-8")]
    NotText,
}

/// Decoder that buffers incomplete events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
    data: String,
}

impl EventDecoder {
    /// Bytes that are held of incomplete events.
    pub fn held(&self) -> usize {
        self.buffer.capacity() + self.data.capacity()
    }

    /// Decodes the next bytes; returns the data of each event that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<String>, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut consumed = 0;
        while let Some(length) = self.buffer[consumed..].iter().position(|byte| *byte == b'\n') {
            let line = self.buffer[consumed..consumed + length].to_vec();
            consumed += length + 1;
            let line = std::str::from_utf8(&line).map_err(|_| EventError::NotText)?;
            self.read_line(line.trim_end_matches('\r'), &mut events);
            if self.data.len() > EVENT_LIMIT {
                return Err(EventError::TooLong);
            }
        }
        self.buffer.drain(..consumed);
        if self.buffer.len() > EVENT_LIMIT {
            return Err(EventError::TooLong);
        }
        Ok(events)
    }

    fn read_line(&mut self, line: &str, events: &mut Vec<String>) {
        if line.is_empty() {
            if !self.data.is_empty() {
                events.push(std::mem::take(&mut self.data));
            }
            return;
        }
        // The other fields (event, id, retry) and comments are not used.
        if let Some(data) = line.strip_prefix("data:") {
            if !self.data.is_empty() {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
}
