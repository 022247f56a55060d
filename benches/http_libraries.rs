//! Which HTTP library serves callers and reads engines' streams, and what the daemon
//! adds. docs/design/http.md quotes it.
//!
//!     cargo bench --bench http_libraries

#[path = "../tests/integration/harness.rs"]
#[allow(dead_code)]
mod harness;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::{Method, Response};
use serde_json::json;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};
use willowarch::{
    http::{
        client::{HttpClient, OutgoingCall},
        server, stream_body,
    },
    kernel::LifePhase,
};

use harness::{Deployment, Layout, process_usage::cpu_and_rss};

const STREAMS: usize = 500;
const TOKENS: usize = 50;
const STEP: Duration = Duration::from_millis(20);
const ROUNDS: usize = 3;

/// First token and gaps over many streams, in microseconds.
struct StreamTimes {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl StreamTimes {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(600_000_000, 3).expect("constant bounds");
        Self { first: histogram(), gaps: histogram() }
    }

    fn show(&self, what: &str) {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        println!(
            "{what:<44} first p50 {:7.1} p95 {:8.1} ms   gap p50 {:5.1} p99 {:6.1} ms   n {}",
            ms(&self.first, 0.5),
            ms(&self.first, 0.95),
            ms(&self.gaps, 0.5),
            ms(&self.gaps, 0.99),
            self.first.len(),
        );
    }
}

/// Opens `streams` streams at once and reads them to the end.
async fn read_streams(address: SocketAddr, call: OutgoingCall, streams: usize) -> StreamTimes {
    const LIMIT: Duration = Duration::from_secs(120);
    let http = HttpClient::new();
    let mut tasks = JoinSet::new();
    for number in 0..streams {
        let http = http.clone();
        let mut call = call.clone();
        call.peer = address.to_string();
        call.headers.push(("idempotency-key", format!("bench-{number}-{}", rand::random::<u32>())));
        tasks.spawn_local(async move {
            let started_at = Instant::now();
            // NOTE: a connection that is not taken in time is counted as missing below.
            let Ok(response) = http.open(&call, LIMIT).await else {
                return (started_at, Vec::new());
            };
            let mut body = response.into_body();
            let mut times = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                let data = frame.into_data().unwrap_or_default();
                let tokens = data.windows(5).filter(|window| window == b"data:").count();
                times.extend(std::iter::repeat_n(Instant::now(), tokens));
            }
            (started_at, times)
        });
    }
    let mut result = StreamTimes::new();
    while let Some(Ok((started_at, times))) = tasks.join_next().await {
        let Some(first) = times.first() else { continue };
        result.first.saturating_record((*first - started_at).as_micros() as u64);
        // NOTE: the last events (end marks) come together with the last token.
        let tokens = &times[..times.len().min(TOKENS)];
        for pair in tokens.windows(2) {
            result.gaps.saturating_record((pair[1] - pair[0]).as_micros() as u64);
        }
    }
    result
}

/// `tiny_http` with a thread for each stream, chunks written by hand.
fn serve_tiny_http(address: SocketAddr) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let server = Arc::new(tiny_http::Server::http(address).expect("the port is free"));
    let stopped = stop.clone();
    std::thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let Ok(Some(request)) = server.recv_timeout(Duration::from_millis(100)) else {
                continue;
            };
            std::thread::spawn(move || {
                let mut writer = request.into_writer();
                let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                            transfer-encoding: chunked\r\n\r\n";
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                for index in 0..TOKENS {
                    std::thread::sleep(STEP);
                    let event = format!("data: {index}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if writer.write_all(chunk.as_bytes()).and_then(|()| writer.flush()).is_err() {
                        return;
                    }
                }
                let _ = writer.write_all(b"0\r\n\r\n");
                let _ = writer.flush();
            });
        }
    });
    stop
}

/// `hyper` on one runtime thread of its own.
fn serve_hyper(address: SocketAddr) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime.expect("a runtime"), async move {
            let (sender, phase) = watch::channel(LifePhase::Running);
            let sender = Rc::new(sender);
            tokio::task::spawn_local(async move {
                while !stopped.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(100)).await;
                }
                sender.send_replace(LifePhase::Stopping);
            });
            let listener = server::bind(address).await.expect("the port is free");
            server::serve(listener, phase, |_| async {
                let (sender, body) = stream_body(16);
                tokio::task::spawn_local(async move {
                    let mut next_at = Instant::now();
                    for index in 0..TOKENS {
                        next_at += STEP;
                        sleep_until(next_at).await;
                        let event = Bytes::from(format!("data: {index}\n\n"));
                        if sender.send(Ok(event)).await.is_err() {
                            return;
                        }
                    }
                });
                Response::new(body)
            })
            .await;
        });
    });
    stop
}

fn on_runtime<T>(task: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), task)
}

/// Starts a server; the flag stops it.
type ServeFn = fn(SocketAddr) -> Arc<AtomicBool>;

fn compare_servers() {
    println!("== callers' port: {STREAMS} streams opened at once, {TOKENS} tokens at {STEP:?}");
    for round in 0..ROUNDS {
        let port = 7_400 + 2 * round as u16;
        let tiny = SocketAddr::from(([127, 0, 3, 1], port));
        let hyper = SocketAddr::from(([127, 0, 3, 1], port + 1));
        for (name, address, serve) in [
            ("tiny_http, into_writer, a thread a stream", tiny, serve_tiny_http as ServeFn),
            ("hyper, one runtime thread", hyper, serve_hyper as ServeFn),
        ] {
            let stop = serve(address);
            std::thread::sleep(Duration::from_millis(300));
            let call = OutgoingCall::get("read stream", address, "/");
            let times = on_runtime(read_streams(address, call, STREAMS));
            times.show(&format!("round {round}: {name}"));
            stop.store(true, Ordering::Relaxed);
        }
    }
}

/// Readers of engines' streams: `ureq` with a thread for each, against `hyper`.
fn compare_clients() {
    println!("== engines' streams: {STREAMS} read at once");
    let address = SocketAddr::from(([127, 0, 3, 2], 7_500));
    let stop = serve_hyper(address);
    std::thread::sleep(Duration::from_millis(300));
    let before = cpu_and_rss("self");
    let call = OutgoingCall::get("read stream", address, "/");
    on_runtime(read_streams(address, call, STREAMS)).show("hyper, one runtime thread");
    let after = cpu_and_rss("self");
    println!("    CPU with server {:.2} s, RSS {:.0} MB", after.0 - before.0, after.1 / 1_024.0);
    let before = cpu_and_rss("self");
    let threads: Vec<_> =
        (0..STREAMS).map(|_| std::thread::spawn(move || read_with_ureq(address))).collect();
    std::thread::sleep(STEP * TOKENS as u32 / 2);
    let middle = cpu_and_rss("self");
    let mut times = StreamTimes::new();
    for thread in threads {
        let (started_at, tokens) = thread.join().expect("a reader ends");
        let Some(first) = tokens.first() else { continue };
        times.first.saturating_record((*first - started_at).as_micros() as u64);
        for pair in tokens.windows(2) {
            times.gaps.saturating_record((pair[1] - pair[0]).as_micros() as u64);
        }
    }
    times.show("ureq, a thread a stream");
    let after = cpu_and_rss("self");
    println!("    CPU with server {:.2} s, RSS {:.0} MB", after.0 - before.0, middle.1 / 1_024.0);
    stop.store(true, Ordering::Relaxed);
}

fn read_with_ureq(address: SocketAddr) -> (std::time::Instant, Vec<std::time::Instant>) {
    let started_at = std::time::Instant::now();
    let mut tokens = Vec::new();
    let mut answer = ureq::get(format!("http://{address}/")).call().expect("an answer");
    let mut reader = answer.body_mut().as_reader();
    let mut buffer = [0; 256];
    while let Ok(length) = reader.read(&mut buffer) {
        if length == 0 {
            break;
        }
        tokens.push(std::time::Instant::now());
    }
    (started_at, tokens)
}

/// 200 idle connections, and 20 callers that read a byte a second.
fn hold_slow_callers(daemon: SocketAddr, body: &str) -> Arc<AtomicBool> {
    const IDLE: usize = 200;
    const SLOW: usize = 20;
    let stop = Arc::new(AtomicBool::new(false));
    let idle: Vec<TcpStream> =
        (0..IDLE).map(|_| TcpStream::connect(daemon).expect("a connection")).collect();
    for number in 0..SLOW {
        let mut socket = TcpStream::connect(daemon).expect("a connection");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-reader\r\n\
             idempotency-key: slow-{number}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(head.as_bytes()).expect("the request is sent");
        let stopped = stop.clone();
        std::thread::spawn(move || {
            let mut byte = [0; 1];
            while !stopped.load(Ordering::Relaxed) && socket.read(&mut byte).is_ok() {
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let stopped = stop.clone();
    std::thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(100));
        }
        drop(idle);
    });
    stop
}

/// What one daemon adds to the stand-in alone.
fn measure_daemon() {
    println!("== whole path: {STREAMS} streams opened at once, 200 idle and 20 slow callers open");
    let settings = json!({ "request_limit": 2_000 });
    let layout =
        Layout { daemons: 1, engines: 8, plain: 1, step_ms: 20.0, settings, ..Layout::default() };
    let deployment = Deployment::start(layout);
    let set = deployment.control(&["table", "set", "service.model", "concurrency=200"]);
    assert_eq!(set.0, 0, "{}", set.1);
    std::thread::sleep(Duration::from_secs(1));
    let body = json!({
        "model": "model", "prompt": "a few words", "max_tokens": TOKENS, "seed": 7, "stream": true,
    });
    let body = body.to_string();
    let mut call =
        OutgoingCall::get("ask", "x", "/v1/completions").with_json(Method::POST, body.clone());
    call = call.with_header("authorization", "Bearer key-reader");
    let stop = hold_slow_callers(deployment.caller(0), &body);
    for round in 0..ROUNDS {
        // The stand-in alone: the same streams, spread over the same engines.
        let alone = on_runtime(async {
            let each = STREAMS.div_ceil(8);
            let engines = (0..8).map(|index| deployment.endpoint(index));
            let reads = engines.map(|engine| read_streams(engine, call.clone(), each));
            let mut all = StreamTimes::new();
            for times in futures::future::join_all(reads).await {
                all.first.add(&times.first).expect("same bounds");
                all.gaps.add(&times.gaps).expect("same bounds");
            }
            all
        });
        alone.show(&format!("round {round}: engines alone"));
        let daemon = on_runtime(read_streams(deployment.caller(0), call.clone(), STREAMS));
        daemon.show(&format!("round {round}: through the daemon"));
        let added = |quantile, pick: fn(&StreamTimes) -> &Histogram<u64>| {
            let through = pick(&daemon).value_at_quantile(quantile) as f64;
            (through - pick(&alone).value_at_quantile(quantile) as f64) / 1e3
        };
        println!(
            "    added: first-token p95 {:.1} ms, gap p99 {:.1} ms",
            added(0.95, |times| &times.first),
            added(0.99, |times| &times.gaps),
        );
    }
    stop.store(true, Ordering::Relaxed);
}

fn main() {
    compare_servers();
    compare_clients();
    measure_daemon();
}
