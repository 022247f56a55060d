//! Stand-in for an endpoint that ends some responses inside their heads.

use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::SockRef;

use crate::{
    endpoint_standin::{SeenRequest, event, read_request},
    link_faults::{LinkFaults, bind_listener},
};

/// Number of events of a whole stream.
const EVENTS: u64 = 3;
/// Body of a whole response that is not a stream.
const PLAIN_BODY: &str = "the whole body";
/// Path part of requests whose first response is cut.
pub const CUT_MARK: &str = "cut-";
/// Time between the last byte and a reset, so that the daemon gets the bytes first.
const RESET_PAUSE: Duration = Duration::from_millis(3);
/// Interval at which new connections are polled for.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// How the end of a body is marked in the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadKind {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of the connection.
    Close,
    /// By its length, after an informational head.
    Informed,
}

/// How a response ends inside its head.
#[derive(Clone, Copy, Debug)]
pub struct HeadCut {
    /// Bytes that are sent; the head is complete if there are no more.
    pub bytes: usize,
    pub kind: HeadKind,
    /// Whether the connection is reset; otherwise it is closed.
    pub is_reset: bool,
}

struct Shared {
    cut: Mutex<HeadCut>,
    faults: LinkFaults,
    /// Requests whose response has been cut.
    seen: Mutex<HashSet<String>>,
    cut_count: AtomicUsize,
    is_dropped: AtomicBool,
}

/// Several endpoints that cut the first response to each request whose path has `CUT_MARK`.
pub struct HeadCuttingEndpoints {
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl HeadCuttingEndpoints {
    pub fn start(count: usize) -> Self {
        let shared = Arc::new(Shared {
            cut: Mutex::new(HeadCut { bytes: 0, kind: HeadKind::Length, is_reset: false }),
            faults: LinkFaults::default(),
            seen: Mutex::default(),
            cut_count: AtomicUsize::new(0),
            is_dropped: AtomicBool::new(false),
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

    /// Sets how the next responses are cut.
    pub fn set_cut(&self, cut: HeadCut) {
        *self.shared.cut.lock().expect("lock") = cut;
    }

    /// Failures of the links to these endpoints.
    pub fn faults(&self) -> &LinkFaults {
        &self.shared.faults
    }

    /// Number of responses that were cut.
    pub fn cut_count(&self) -> usize {
        self.shared.cut_count.load(Ordering::SeqCst)
    }
}

impl Drop for HeadCuttingEndpoints {
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
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let cut = *self.cut.lock().expect("lock");
            let is_cut = request.line.contains(CUT_MARK)
                && self.seen.lock().expect("lock").insert(request.line.clone());
            let head = head_of(&request, cut.kind);
            if is_cut {
                self.cut_count.fetch_add(1, Ordering::SeqCst);
                end_inside_head(reader.get_mut(), &head, cut);
                return;
            }
            let whole = format!("{head}{}", body_of(&request, cut.kind));
            let is_sent = reader.get_mut().write_all(whole.as_bytes()).is_ok();
            if !is_sent || cut.kind == HeadKind::Close {
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn end_inside_head(out: &mut TcpStream, head: &str, cut: HeadCut) {
    let _ = out.write_all(&head.as_bytes()[..cut.bytes.min(head.len() - 1)]);
    if cut.is_reset {
        thread::sleep(RESET_PAUSE);
        let _ = SockRef::from(&*out).set_linger(Some(Duration::ZERO));
    } else {
        let _ = out.shutdown(Shutdown::Both);
    }
}

fn is_stream(request: &SeenRequest) -> bool {
    request.line.contains(" /stream/")
}

fn pieces(request: &SeenRequest) -> Vec<String> {
    match is_stream(request) {
        true => (1..=EVENTS).map(event).collect(),
        false => vec![PLAIN_BODY.to_owned()],
    }
}

/// Text of a whole body.
pub fn whole_body(is_stream: bool) -> String {
    if is_stream { (1..=EVENTS).map(event).collect() } else { PLAIN_BODY.to_owned() }
}

/// Length of the longest head.
pub fn head_length(kind: HeadKind, id: &str) -> usize {
    head_text(id, "text/event-stream", kind, 1_000).len()
}

fn head_of(request: &SeenRequest, kind: HeadKind) -> String {
    let length: usize = pieces(request).iter().map(String::len).sum();
    let content = if is_stream(request) { "text/event-stream" } else { "text/plain" };
    head_text(request.id(), content, kind, length)
}

fn head_text(id: &str, content: &str, kind: HeadKind, length: usize) -> String {
    let (informed, framing) = match kind {
        HeadKind::Length => ("", format!("Content-Length: {length}\r\n")),
        HeadKind::Informed => (
            "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n",
            format!("Content-Length: {length}\r\n"),
        ),
        HeadKind::Chunks => ("", "Transfer-Encoding: chunked\r\n".to_owned()),
        HeadKind::Close => ("", String::new()),
    };
    format!(
        "{informed}HTTP/1.1 200 OK\r\n{framing}X-Request-Id: {id}\r\nX-Response-Seal: s\r\n\
         Content-Type: {content}\r\n\r\n"
    )
}

fn body_of(request: &SeenRequest, kind: HeadKind) -> String {
    let pieces = pieces(request).into_iter();
    match kind {
        HeadKind::Chunks => {
            let chunks = pieces.map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len()));
            chunks.collect::<String>() + "0\r\n\r\n"
        }
        HeadKind::Length | HeadKind::Close | HeadKind::Informed => pieces.collect(),
    }
}
