//! Decodes server-sent events chunk by chunk, as engines of the native interface stream them.
//! The gateway passes events on whole and only finds their ends (`gateway::request`).

/// Longest event accepted, in bytes: bounds what a faulty engine can make this process hold.
const EVENT_LIMIT: usize = 256 * 1024;

/// The stream is not well-formed.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the limit.
    #[display("event longer than {EVENT_LIMIT} bytes")]
    TooLong,
    /// An event is not UTF-8.
    #[display("event is not UTF-8")]
    NotText,
}

/// Decoder that keeps what has arrived of the next event.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: Vec<u8>,
    data: String,
}

impl EventDecoder {
    /// Reads the next bytes; returns the data of each event completed by them.
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
        // The other fields (event, id, retry, comments) are not used.
        if let Some(data) = line.strip_prefix("data:") {
            if !self.data.is_empty() {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
}
