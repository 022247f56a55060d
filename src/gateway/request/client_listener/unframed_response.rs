//! Writes a response whose body ends with the connection: its endpoint sends neither a length nor
//! chunks, or its client speaks HTTP/1.0 and can't read chunks.
//!
//! The client can't tell a part of such a body from all of it unless the connection is reset. So the
//! socket is set to be reset at its close before the first byte is sent, and set back after the last.
//! The kernel thereby also resets it if this process is killed.
//!
//! The HTTP library would write such a body as a response of HTTP/1.0 and close the connection in any case,
//! so the connection is taken over from it.

use std::{future::poll_fn, io, pin::pin, time::Duration};

use bytes::Bytes;
use hyper::{Response, Version, body::Body, header};
use tokio::{
    io::AsyncWriteExt,
    time::{sleep, timeout},
};

use super::client_stream::ClientStream;
use crate::http::BodyError;

/// Time for the kernel to send the last bytes before a reset, which drops those that are not sent: several
/// round trips.
const RESET_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for the client to close the connection after a body: if it were closed with unread
/// bytes of another request, the kernel would reset it.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Writes the response and ends the connection.
///
/// # Errors
///
/// The body was broken off or couldn't be sent; the connection is reset when the last clone of `stream` is
/// dropped.
pub async fn send<B>(mut stream: ClientStream, response: Response<B>) -> io::Result<()>
where
    B: Body<Data = Bytes, Error = BodyError>,
{
    stream.set_reset_on_close(true)?;
    let head = encode_head(&response);
    stream.write_all(&head).await?;
    stream.flush().await?;
    let mut body = pin!(response.into_body());
    while let Some(frame) = poll_fn(|task| body.as_mut().poll_frame(task)).await {
        let Ok(frame) = frame else {
            sleep(RESET_DELAY).await;
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        // Trailers can't be sent.
        let bytes = frame.into_data().unwrap_or_default();
        stream.write_all(&bytes).await?;
        stream.flush().await?;
    }
    stream.set_reset_on_close(false)?;
    stream.shutdown().await?;
    // A client that keeps its side open has the whole body all the same.
    let _ = timeout(CLOSE_LIMIT, poll_fn(|task| stream.poll_closed(task))).await;
    Ok(())
}

fn encode_head<B>(response: &Response<B>) -> Vec<u8> {
    let version = match response.version() {
        Version::HTTP_10 => "HTTP/1.0",
        _ => "HTTP/1.1",
    };
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or_default();
    let mut head = format!("{version} {} {reason}\r\n", status.as_str()).into_bytes();
    for (name, value) in response.headers() {
        // Set below, whatever the endpoint or the daemon wanted.
        if *name == header::CONNECTION {
            continue;
        }
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"connection: close\r\n\r\n");
    head
}
