//! What must always hold, under failure, with real processes.

mod edits;
mod once;
mod stops;
mod streams;

use std::{net::SocketAddr, sync::mpsc, thread::JoinHandle, time::Duration};

use crate::harness::{Stream, completion, stream};

pub(super) const READER: (&str, &str) = ("authorization", "Bearer key-reader");
pub(super) const PRESS: (&str, &str) = ("authorization", "Bearer key-press");

/// Starts a caller in a thread and waits until it has some tokens.
pub(super) fn start_caller(
    daemon: SocketAddr,
    key: &'static str,
    tokens: usize,
) -> JoinHandle<Stream> {
    let (sender, receiver) = mpsc::channel();
    let caller = std::thread::spawn(move || {
        stream(daemon, key, &completion("moon over the mill", tokens), 0, |count| {
            if count == 10 {
                sender.send(()).expect("the test waits");
            }
        })
    });
    receiver.recv().expect("ten tokens arrive");
    caller
}

/// Goes on with a stream at other daemons until it is whole, as the protocol says.
pub(super) fn resume(
    daemons: &[SocketAddr],
    key: &str,
    tokens: usize,
    mut taken: Stream,
) -> Stream {
    let body = completion("moon over the mill", tokens);
    for round in 0..100 {
        if taken.complete {
            return taken;
        }
        let daemon = daemons[round % daemons.len()];
        let more = stream(daemon, key, &body, taken.tokens.len(), |_| {});
        taken.tokens.extend(more.tokens);
        taken.complete = more.complete;
        std::thread::sleep(Duration::from_millis(50));
    }
    taken
}

#[derive(Clone, Copy)]
pub(super) enum DaemonFault {
    Kill,
    Suspend,
}
