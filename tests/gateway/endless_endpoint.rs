//! Stand-in for an endpoint that sends bytes without end: in the head of a response, in its body or behind it.
//! It stops when the daemon closes the connection.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::endpoint_standin::{event, read_request};

/// Bytes of a piece at full speed.
const PIECE: usize = 16 * 1024;
/// Bytes of a piece at low speed, and the pause after it.
const SLOW_PIECE: usize = 8;
const SLOW_PAUSE: Duration = Duration::from_millis(50);
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Bytes in place of a head.
    Head,
    /// Lines of a head.
    HeadLines,
    /// Informational heads.
    InformationalHeads,
    /// Chunks of a success.
    Chunks,
    /// The body of a success, with neither a length nor chunks.
    Unframed,
    /// An event, after two that are whole.
    Event,
    /// Comments of a stream, after two events.
    Comments,
    /// The body of a refusal.
    Refusal,
    /// The body of a 421.
    Misdirected,
    /// The body of a 500.
    Failure,
    /// Bytes behind a whole response.
    Behind,
}

/// How fast the bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Full,
    Slow,
}

/// The running stand-in; it ends on drop.
pub struct EndlessEndpoint {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    endless: Endless,
    pace: Pace,
    is_over: AtomicBool,
    requests: AtomicUsize,
    /// Connections on which bytes are being sent.
    open: AtomicUsize,
    /// Bytes sent without end.
    sent: AtomicUsize,
}

impl EndlessEndpoint {
    pub fn start(id: &str, endless: Endless, pace: Pace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            endless,
            pace,
            is_over: AtomicBool::default(),
            requests: AtomicUsize::default(),
            open: AtomicUsize::default(),
            sent: AtomicUsize::default(),
        });
        let running = shared.clone();
        thread::spawn(move || running.run(&listener));
        Self { address, shared }
    }

    /// Requests received.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::SeqCst)
    }

    /// Connections on which bytes are being sent.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Bytes sent without end, on all connections.
    pub fn sent(&self) -> usize {
        self.shared.sent.load(Ordering::SeqCst)
    }
}

impl Drop for EndlessEndpoint {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn run(self: Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("non-blocking listener");
        while !self.is_over.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_POLL_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).expect("blocking connection");
            let shared = self.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                if let Some(request) = read_request(&mut reader) {
                    shared.requests.fetch_add(1, Ordering::SeqCst);
                    shared.open.fetch_add(1, Ordering::SeqCst);
                    // An error means that the daemon has closed the connection.
                    let _ = shared.answer(reader.get_mut(), request.id());
                    shared.open.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
    }

    fn answer(&self, out: &mut TcpStream, id: &str) -> std::io::Result<()> {
        out.write_all(self.endless.begin(&self.id, id).as_bytes())?;
        let piece = self.endless.piece(self.pace);
        while !self.is_over.load(Ordering::SeqCst) {
            out.write_all(&piece)?;
            self.sent.fetch_add(piece.len(), Ordering::SeqCst);
            if self.pace == Pace::Slow {
                thread::sleep(SLOW_PAUSE);
            }
        }
        Ok(())
    }
}

impl Endless {
    /// What comes before the bytes without end, in the response of the endpoint `own` to the request `id`.
    fn begin(self, own: &str, id: &str) -> String {
        let head = |status: &str, fields: &str| {
            let kind = "text/event-stream";
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: seal\r\n\
                 X-Instance-Id: {own}\r\nContent-Type: {kind}\r\n{fields}\r\n"
            )
        };
        let chunked = "Transfer-Encoding: chunked\r\n";
        let events = event(1) + &event(2);
        match self {
            Self::Head | Self::InformationalHeads => String::new(),
            Self::HeadLines => "HTTP/1.1 200 OK\r\n".to_owned(),
            Self::Chunks => head("200 OK", chunked),
            Self::Unframed => head("200 OK", ""),
            Self::Event => head("200 OK", "") + &events + "data: ",
            Self::Comments => head("200 OK", "") + &events,
            Self::Refusal => head(
                "503 Service Unavailable",
                "X-Not-Executed: 1\r\nContent-Length: 1000000000000\r\n",
            ),
            Self::Misdirected => head(
                "421 Misdirected Request",
                "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n",
            ),
            Self::Failure => head("500 Internal Server Error", chunked),
            Self::Behind => head("200 OK", "Content-Length: 2\r\n") + "ok",
        }
    }

    /// The bytes that are repeated.
    fn piece(self, pace: Pace) -> Vec<u8> {
        let unit = match self {
            Self::Head | Self::Unframed | Self::Event | Self::Refusal | Self::Behind => {
                "x".to_owned()
            }
            Self::HeadLines => "X-Field: value\r\n".to_owned(),
            Self::InformationalHeads => "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
            Self::Comments => ": at work\n".to_owned(),
            Self::Chunks | Self::Misdirected | Self::Failure => {
                format!("{SLOW_PIECE:x}\r\n{}\r\n", "x".repeat(SLOW_PIECE))
            }
        };
        let length = if pace == Pace::Slow { SLOW_PIECE } else { PIECE };
        unit.repeat(length.div_ceil(unit.len())).into_bytes()
    }
}

/// Sends bytes without end at full speed until the other side closes the connection.
pub fn send_without_end(out: &mut TcpStream, own: &str, id: &str, endless: Endless) {
    let piece = endless.piece(Pace::Full);
    let mut is_open = out.write_all(endless.begin(own, id).as_bytes()).is_ok();
    while is_open {
        is_open = out.write_all(&piece).is_ok();
    }
}
