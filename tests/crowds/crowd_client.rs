//! Clients that send what ordinary ones don't, each over a connection and a thread of its own.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
};

use crate::gateway_site::{RawAnswer, WAIT_TIMEOUT, parse_answer};

/// Bytes that a client writes at a time, if its pieces are smaller.
const WRITE_BYTES: usize = 16 * 1024;
/// Longest head or trailer of a client that sends one without end, in bytes: far beyond every limit.
const ENDLESS_BYTES: usize = 4 * 1024 * 1024;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// A body with its length, in pieces of this many bytes, without its last byte.
    Unfinished { length: usize, piece: usize },
    /// Chunks of this size, without the last one.
    UnfinishedChunks { length: usize, chunk: usize },
    /// A whole body with its length.
    Whole { length: usize },
    /// A whole body in chunks of this size.
    WholeChunks { length: usize, chunk: usize },
    /// A body with its length, whose client closes its sending side before the last byte.
    HalfClosed { length: usize },
    /// A body of which `length` is announced and sent.
    Announced { length: usize },
    /// Chunks until there is an answer.
    EndlessChunks { length: usize, chunk: usize },
    /// A body of which `length` is announced, to a route that doesn't exist.
    UnknownRoute { length: usize },
    /// The same, with a key that nobody has.
    UnknownKey { length: usize },
    /// A head of this length that doesn't end.
    UnfinishedHead { length: usize },
    /// Nothing.
    Silent,
    /// Trailers without end.
    EndlessTrailers,
    /// This many requests without reading a response.
    Unread { requests: usize },
}

impl Manner {
    /// Whether the client stops sending once there is an answer.
    fn watches(self) -> bool {
        !matches!(
            self,
            Self::Announced { .. }
                | Self::UnknownRoute { .. }
                | Self::UnknownKey { .. }
                | Self::WholeChunks { .. }
        )
    }
}

/// A client that has sent what it wanted, or as much as the daemon took.
#[derive(Debug)]
pub struct CrowdClient {
    /// Id of its request.
    pub id: String,
    stream: TcpStream,
    received: Vec<u8>,
    /// Whether the client looks for an answer before it has sent everything.
    watches: bool,
    /// Whether the connection broke while the client was sending.
    is_cut: bool,
}

/// Clients whose connections stay open until they are dropped.
#[derive(Debug)]
pub struct Crowd {
    pub clients: Vec<CrowdClient>,
}

impl Crowd {
    /// Starts `count` clients at once and waits until each has sent all that it wants or can.
    pub fn start(address: SocketAddr, name: &str, count: usize, manner: Manner) -> Self {
        let threads: Vec<_> = (0..count)
            .map(|number| {
                let id = format!("{name}-{number}");
                thread::spawn(move || CrowdClient::send(address, id, manner))
            })
            .collect();
        let clients = threads.into_iter().filter_map(|thread| thread.join().expect("a client"));
        Self { clients: clients.collect() }
    }

    /// The answers that have arrived, with the ids of their requests.
    pub fn answers(&mut self) -> Vec<(String, RawAnswer)> {
        let clients = self.clients.iter_mut();
        clients
            .filter_map(|client| {
                client.read_arrived();
                client.answer().map(|answer| (client.id.clone(), answer))
            })
            .collect()
    }

    /// Waits until each client has a whole answer, or its connection has ended.
    pub fn await_answers(&mut self) -> Vec<(String, Option<RawAnswer>)> {
        let clients = self.clients.iter_mut();
        clients.map(|client| (client.id.clone(), client.await_answer())).collect()
    }
}

impl CrowdClient {
    /// `None` if the daemon doesn't accept the connection.
    fn send(address: SocketAddr, id: String, manner: Manner) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
        let watches = manner.watches();
        let mut client = Self { id, stream, received: Vec::new(), watches, is_cut: false };
        client.send_all(manner);
        Some(client)
    }

    fn send_all(&mut self, manner: Manner) {
        match manner {
            Manner::Unfinished { length, piece } => {
                self.send_with_length("/once/", "key-1", length, length - 1, piece);
            }
            Manner::UnfinishedChunks { length, chunk } => {
                self.send_chunks(length, chunk);
            }
            Manner::Whole { length } => {
                self.send_with_length("/once/", "key-1", length, length, WRITE_BYTES);
            }
            Manner::WholeChunks { length, chunk } => {
                let _ = self.send_chunks(length, chunk) && self.write(b"0\r\n\r\n");
            }
            Manner::HalfClosed { length } => {
                self.send_with_length("/once/", "key-1", length, length - 1, WRITE_BYTES);
                let _ = self.stream.shutdown(Shutdown::Write);
            }
            Manner::Announced { length } => {
                self.send_with_length("/once/", "key-1", length, length, WRITE_BYTES);
            }
            Manner::EndlessChunks { length, chunk } => {
                self.send_chunks(length, chunk);
            }
            Manner::UnknownRoute { length } => {
                self.send_with_length("/none/", "key-1", length, length, WRITE_BYTES);
            }
            Manner::UnknownKey { length } => {
                self.send_with_length("/once/", "key-none", length, length, WRITE_BYTES);
            }
            Manner::UnfinishedHead { length } => {
                let mut head = self.head("/once/", "key-1", "");
                head.truncate(head.len() - 2);
                head.push_str("X-Filler: ");
                let filler = length.saturating_sub(head.len());
                head.push_str(&"f".repeat(filler));
                self.write(&head.as_bytes()[..length]);
            }
            Manner::Silent => {}
            Manner::EndlessTrailers => {
                let _ = self.send_chunks(1, 1) && self.write(b"0\r\n");
                let line = format!("X-Trailer: {}\r\n", "t".repeat(100));
                for _ in 0..ENDLESS_BYTES / line.len() {
                    if !self.write(line.as_bytes()) {
                        return;
                    }
                }
            }
            Manner::Unread { requests } => {
                let request = self.head("/plain/", "key-1", "");
                for _ in 0..requests {
                    if !self.write(request.as_bytes()) {
                        return;
                    }
                }
            }
        }
    }

    fn head(&self, path: &str, key: &str, framing: &str) -> String {
        format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {}\r\n\
             X-Deadline-Ms: 60000\r\nAuthorization: Token {key}\r\n{framing}\r\n",
            self.id
        )
    }

    /// Announces `length` bytes and sends `sent` of them.
    fn send_with_length(
        &mut self,
        path: &str,
        key: &str,
        length: usize,
        sent: usize,
        piece: usize,
    ) {
        let head = self.head(path, key, &format!("Content-Length: {length}\r\n"));
        if !self.write(head.as_bytes()) {
            return;
        }
        let bytes = vec![b'b'; piece];
        let mut left = sent;
        while left > 0 && !self.is_answered() && self.write(&bytes[..left.min(piece)]) {
            left -= left.min(piece);
        }
    }

    /// Sends `length` bytes of a body in chunks; whether that was possible.
    fn send_chunks(&mut self, length: usize, chunk: usize) -> bool {
        let head = self.head("/once/", "key-1", "Transfer-Encoding: chunked\r\n");
        if !self.write(head.as_bytes()) {
            return false;
        }
        let one = format!("{chunk:x}\r\n{}\r\n", "b".repeat(chunk));
        let in_write = (WRITE_BYTES / one.len()).clamp(1, length / chunk);
        let bytes = one.repeat(in_write);
        let mut left = length / chunk;
        while left > 0 {
            let sent = left.min(in_write);
            if self.is_answered() || !self.write(&bytes.as_bytes()[..sent * one.len()]) {
                return false;
            }
            left -= sent;
        }
        true
    }

    /// Whether the bytes could be sent.
    fn write(&mut self, bytes: &[u8]) -> bool {
        match self.stream.write_all(bytes) {
            Ok(()) => true,
            Err(error) => {
                let has_hung = error.kind() == std::io::ErrorKind::WouldBlock;
                assert!(!has_hung, "the daemon reads nothing from {}", self.id);
                self.is_cut = true;
                false
            }
        }
    }

    /// Whether an answer has begun to arrive.
    fn is_answered(&mut self) -> bool {
        if !self.watches {
            return false;
        }
        self.read_arrived();
        !self.received.is_empty()
    }

    /// Reads what has arrived, without waiting.
    fn read_arrived(&mut self) {
        self.stream.set_nonblocking(true).expect("socket option");
        let mut buffer = [0; 4_096];
        while let Ok(length @ 1..) = self.stream.read(&mut buffer) {
            self.received.extend_from_slice(&buffer[..length]);
        }
        self.stream.set_nonblocking(false).expect("socket option");
    }

    fn answer(&self) -> Option<RawAnswer> {
        (!self.received.is_empty()).then(|| parse_answer(&self.received))
    }

    /// `None` also if the client was cut off while it was sending: an ordinary one doesn't look for an answer then.
    fn await_answer(&mut self) -> Option<RawAnswer> {
        if self.is_cut {
            return None;
        }
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("timeout");
        let mut buffer = [0; 4_096];
        while !self.answer().is_some_and(|answer| answer.whole) {
            match self.stream.read(&mut buffer) {
                Ok(length @ 1..) => self.received.extend_from_slice(&buffer[..length]),
                Ok(0) | Err(_) => break,
            }
        }
        self.answer()
    }
}
