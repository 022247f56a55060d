//! Plain endpoints that send a body without end to many requests at once: the daemon bounds what it holds of them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use googletest::prelude::*;

use crate::harness::{Deployment, Layout, completion, eventually, post};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");
const CLIENTS: usize = 20;
/// Bytes that the endpoint sends on each connection, so that the test needs no more memory than the machine has.
const SENT_BYTES: usize = 32 * 1024 * 1024;
/// Memory of the smallest VM, in kilobytes.
const VM_KB: f64 = 160_000.0;
/// Time for which the endpoint keeps a connection behind what it has sent.
const KEPT: Duration = Duration::from_secs(2);
/// Interval at which the memory is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

fn serve(mut stream: TcpStream) {
    let mut request = [0; 4_096];
    // A request without its end, or none, is answered too.
    let length = stream.read(&mut request).unwrap_or(0);
    let text = String::from_utf8_lossy(&request[..length]).into_owned();
    let lines = text.lines().filter(|line| line.to_ascii_lowercase().starts_with("x-attempt-id"));
    let echoed: String = lines.map(|line| format!("{line}\r\n")).collect();
    let head = format!("HTTP/1.1 200 OK\r\n{echoed}Content-Length: 1000000000000\r\n\r\n");
    let piece = vec![b'x'; 64 * 1024];
    let mut left = SENT_BYTES;
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    while is_open && left > 0 {
        is_open = stream.write_all(&piece).is_ok();
        left -= piece.len();
    }
    if is_open {
        thread::sleep(KEPT);
    }
}

/// Listens in place of an endpoint that was ended.
fn replace_endpoint(address: SocketAddr) {
    let listener = eventually("the endpoint's address", || TcpListener::bind(address).ok());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
}

#[googletest::test]
fn bodies_without_end_of_plain_endpoints_are_bounded() {
    let mut deployment =
        Deployment::start(Layout { daemons: 1, engines: 1, plain: 1, ..Layout::default() });
    deployment.endpoints[1].kill();
    replace_endpoint(deployment.endpoint(1));
    let daemon = deployment.caller(0);
    let is_over = AtomicBool::default();
    let peak_kb = thread::scope(|scope| {
        let sampling = scope.spawn(|| {
            let mut peak_kb = 0.0_f64;
            while !is_over.load(Ordering::SeqCst) {
                peak_kb = peak_kb.max(deployment.daemons[0].cpu_and_rss().1);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak_kb
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(move || post(daemon, "/services/tagging/tags", &[READER], "{}")))
            .collect();
        for client in clients {
            expect_that!(client.join().expect("a client").status, not(eq(200)));
        }
        is_over.store(true, Ordering::SeqCst);
        sampling.join().expect("samples")
    });
    println!("{peak_kb} KB at the peak");
    expect_that!(peak_kb, le(VM_KB));
    let answer = post(daemon, "/v1/completions", &[READER], &completion("after", 4).to_string());
    expect_that!(answer.status, eq(200));
}
