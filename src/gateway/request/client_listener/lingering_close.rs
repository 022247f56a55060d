//! Lets a client that is still sending a body get the response to it.
//!
//! If the connection were closed with unread bytes, the kernel would reset it, and the client would lose a
//! response that it has not read yet. So the rest of the body is read and discarded for a while.

use std::{future::poll_fn, time::Duration};

use tokio::time::{sleep, timeout};

use super::client_stream::ClientStream;

/// Longest time for which the rest of a body is discarded: a client on a slow link sends a body of ordinary size
/// in it.
const LINGER_LIMIT: Duration = Duration::from_secs(5);
/// The connection is closed once nothing has arrived for this long: several round trips.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Discards what the client sends until it closes its side, falls silent or has sent for too long.
pub async fn discard_rest(stream: &ClientStream) {
    tokio::select! {
        () = discard_until_silent(stream) => {}
        () = sleep(LINGER_LIMIT) => {}
    }
}

async fn discard_until_silent(stream: &ClientStream) {
    let mut is_open = true;
    while is_open {
        let discarding = poll_fn(|task| stream.poll_discard(task));
        is_open = timeout(SILENCE_LIMIT, discarding).await.unwrap_or(false);
    }
}
