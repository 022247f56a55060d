//! Guarantees of a deployment, checked with real processes under failures. The heads of the tests
//! name them by number:
//!
//! 1. A stream survives the loss of daemons, endpoints and availability zones.
//! 2. A client that sends a request again with the same key gets the same response, with no token
//!    missing or repeated; the same key of another account is another request.
//! 3. "not run" is reported only for requests that did not run.
//! 4. A request that may not be repeated runs at most once.
//! 5. A VM with a reclaim notice gets no new requests.
//! 6. Planned stops and replacements of daemons break no request.
//! 7. An edit of the table takes effect on all daemons and is never reverted.

mod edits;
mod once;
mod stops;
mod streams;

use std::{net::SocketAddr, sync::mpsc, thread::JoinHandle, time::Duration};

use crate::harness::{Stream, completion, stream};

pub(super) const READER: (&str, &str) = ("authorization", "Bearer key-reader");
pub(super) const PRESS: (&str, &str) = ("authorization", "Bearer key-press");

/// Starts a client in a thread and waits until it has received 10 tokens.
pub(super) fn start_caller(
    daemon: SocketAddr,
    key: &'static str,
    tokens: usize,
) -> JoinHandle<Stream> {
    let (sender, receiver) = mpsc::channel();
    let caller = std::thread::spawn(move || {
        stream(daemon, key, &completion("moon over the mill", tokens), 0, |count| {
            if count == 10 {
                sender.send(()).expect("the test no longer waits for tokens");
            }
        })
    });
    receiver.recv().expect("the stream ended before its tenth token");
    caller
}

/// Resumes a stream at `daemons`, one after another, until it is complete. Each time the client
/// sends the number of its last token, as the protocol requires.
pub(super) fn resume(
    daemons: &[SocketAddr],
    key: &str,
    tokens: usize,
    mut received: Stream,
) -> Stream {
    let body = completion("moon over the mill", tokens);
    for round in 0..100 {
        if received.complete {
            return received;
        }
        let daemon = daemons[round % daemons.len()];
        let more = stream(daemon, key, &body, received.tokens.len(), |_| {});
        received.tokens.extend(more.tokens);
        received.complete = more.complete;
        std::thread::sleep(Duration::from_millis(50));
    }
    received
}

/// How a daemon is lost: its process is killed, or suspended by `SIGSTOP`.
#[derive(Clone, Copy)]
pub(super) enum DaemonFault {
    Kill,
    Suspend,
}
