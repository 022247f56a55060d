//! Stand-in for endpoints that answer some requests with a response whose head is malformed, or unusual but sound.

use std::{
    collections::{HashMap, HashSet},
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    endpoint_standin::{SeenRequest, event, read_request},
    link_faults::{LinkFaults, bind_listener},
};

/// Number of events of a whole stream.
const EVENTS: u64 = 3;
/// Body of a whole response that is not a stream; as long as the lengths in the heads of the tests say.
pub const PLAIN_BODY: &str = "0123456789012345678901234567890123456789";
/// Path part of requests whose first response has the head that is being tested.
pub const TEST_MARK: &str = "test-";
/// Replaced by the length of the whole body in the head's fields.
const LENGTH_MARK: &str = "LENGTH";
/// Line with the signature of a response.
const SIGNATURE: &str = "X-Response-Seal: s\r\n";
/// Interval at which new connections are polled for.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// How a body is sent, whatever its head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyForm {
    /// As it is.
    Plain,
    /// In chunks.
    Chunks,
    /// In chunks with extensions, and with trailers.
    AdornedChunks,
    /// Not at all.
    Absent,
    /// These bytes.
    Bytes(&'static [u8]),
}

/// A response that is being tested.
#[derive(Clone, Copy, Debug)]
pub struct TestResponse {
    pub status_line: &'static str,
    /// Lines of the head in addition to the usual ones.
    pub fields: &'static [&'static [u8]],
    pub body: BodyForm,
    /// Whether the head has the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint keeps the connection open behind it.
    pub is_kept: bool,
}

struct Shared {
    response: Mutex<Option<TestResponse>>,
    faults: LinkFaults,
    /// Requests that got the response that is being tested.
    tested: Mutex<HashSet<String>>,
    /// Arrivals of each request.
    arrivals: Mutex<HashMap<String, usize>>,
    /// An endpoint that sends the response under test to all requests.
    faulty: Mutex<Option<SocketAddr>>,
    is_dropped: AtomicBool,
}

/// Several endpoints that send the response under test first to each request whose path has `TEST_MARK`, and a
/// whole one after that.
pub struct MalformedEndpoints {
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl MalformedEndpoints {
    pub fn start(count: usize) -> Self {
        let shared = Arc::new(Shared {
            response: Mutex::default(),
            faults: LinkFaults::default(),
            tested: Mutex::default(),
            arrivals: Mutex::default(),
            faulty: Mutex::default(),
            is_dropped: AtomicBool::default(),
        });
        let start = |_| {
            let listener = bind_listener();
            let address = listener.local_addr().expect("address");
            let serving = shared.clone();
            thread::spawn(move || serving.run(&listener));
            address
        };
        Self { addresses: (0..count).map(start).collect(), shared: shared.clone() }
    }

    /// Sets the response that is tested next.
    pub fn set_response(&self, response: TestResponse) {
        *self.shared.response.lock().expect("lock") = Some(response);
    }

    /// Lets the first endpoint send the response under test to all requests.
    pub fn make_first_faulty(&self) {
        *self.shared.faulty.lock().expect("lock") = Some(self.addresses[0]);
    }

    /// Number of requests that got the response under test.
    pub fn tested_count(&self) -> usize {
        self.shared.tested.lock().expect("lock").len()
    }

    /// Failures of the links to these endpoints.
    pub fn faults(&self) -> &LinkFaults {
        &self.shared.faults
    }

    /// Whether the request got the response under test.
    pub fn was_tested(&self, id: &str) -> bool {
        self.shared.tested.lock().expect("lock").contains(id)
    }

    /// How often the request arrived.
    pub fn arrivals(&self, id: &str) -> usize {
        self.shared.arrivals.lock().expect("lock").get(id).copied().unwrap_or_default()
    }
}

impl Drop for MalformedEndpoints {
    fn drop(&mut self) {
        self.shared.is_dropped.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn run(self: Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a non-blocking listener");
        while !self.is_dropped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            stream.set_nonblocking(false).expect("a blocking connection");
            let shared = self.clone();
            thread::spawn(move || {
                if !shared.faults.closes(&stream) {
                    shared.serve(stream);
                }
            });
        }
    }

    fn serve(&self, stream: TcpStream) {
        let own = stream.local_addr().ok();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let id = request.id().to_owned();
            *self.arrivals.lock().expect("lock").entry(id.clone()).or_default() += 1;
            let is_faulty = own.is_some() && own == *self.faulty.lock().expect("lock");
            let is_marked = request.line.contains(TEST_MARK) || is_faulty;
            let is_first = is_marked && self.tested.lock().expect("lock").insert(id);
            let is_tested = is_first || is_faulty;
            let response = *self.response.lock().expect("lock");
            let (bytes, is_kept) = match response.filter(|_| is_tested) {
                Some(response) => (tested_bytes(&request, response), response.is_kept),
                None => (whole_bytes(&request), true),
            };
            let is_sent = reader.get_mut().write_all(&bytes).is_ok();
            if !is_sent || !is_kept {
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn is_stream(request: &SeenRequest) -> bool {
    request.line.contains(" /stream/") || request.line.contains(" /rigid/")
}

fn pieces(is_stream: bool) -> Vec<String> {
    if is_stream { (1..=EVENTS).map(event).collect() } else { vec![PLAIN_BODY.to_owned()] }
}

/// Text of a whole body.
pub fn whole_body(is_stream: bool) -> String {
    pieces(is_stream).concat()
}

fn usual_fields(request: &SeenRequest) -> String {
    let content = if is_stream(request) { "text/event-stream" } else { "text/plain" };
    format!("X-Request-Id: {}\r\nContent-Type: {content}\r\n", request.id())
}

fn whole_bytes(request: &SeenRequest) -> Vec<u8> {
    let body = whole_body(is_stream(request));
    let (length, fields) = (body.len(), usual_fields(request));
    let head = format!("HTTP/1.1 200 OK\r\n{fields}{SIGNATURE}Content-Length: {length}\r\n\r\n");
    (head + &body).into_bytes()
}

fn tested_bytes(request: &SeenRequest, response: TestResponse) -> Vec<u8> {
    let pieces = pieces(is_stream(request));
    let length = pieces.concat().len();
    let mut bytes = format!("{}\r\n{}", response.status_line, usual_fields(request)).into_bytes();
    if response.is_signed {
        bytes.extend_from_slice(SIGNATURE.as_bytes());
    }
    for field in response.fields {
        match std::str::from_utf8(field) {
            Ok(text) => bytes.extend(text.replace(LENGTH_MARK, &length.to_string()).into_bytes()),
            Err(_) => bytes.extend_from_slice(field),
        }
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend(body_bytes(&pieces, response.body));
    bytes
}

fn body_bytes(pieces: &[String], form: BodyForm) -> Vec<u8> {
    let chunks = |extension: &str| -> String {
        let chunk = |piece: &String| format!("{:x}{extension}\r\n{piece}\r\n", piece.len());
        pieces.iter().map(chunk).collect()
    };
    match form {
        BodyForm::Plain => pieces.concat().into_bytes(),
        BodyForm::Chunks => (chunks("") + "0\r\n\r\n").into_bytes(),
        BodyForm::AdornedChunks => {
            (chunks(";name=value") + "0\r\nX-Trailer: 1\r\n\r\n").into_bytes()
        }
        BodyForm::Absent => Vec::new(),
        BodyForm::Bytes(bytes) => bytes.to_vec(),
    }
}
