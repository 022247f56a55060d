//! Responses whose heads can be read in several ways: the client of the native interface's endpoints, of the store and
//! of the cloud reports them as malformed.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use willowarch::{
    errors::FailureCause,
    http::client::{HttpClient, OutgoingCall, WholeResponse},
};

const LIMIT: Duration = Duration::from_secs(5);

/// Answers one request with these bytes, and closes the connection.
fn respond_once(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]);
        // Fails if the client has closed the connection.
        let _ = stream.write_all(bytes);
    });
    address
}

fn fetch(bytes: &'static [u8]) -> std::result::Result<WholeResponse, FailureCause> {
    let call = OutgoingCall::get("read", respond_once(bytes), "/");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let fetched = runtime.expect("runtime").block_on(HttpClient::new().fetch(&call, LIMIT));
    fetched.map_err(|error| error.cause)
}

macro_rules! malformed_responses_are_errors {
    ($($name:ident: $bytes:literal;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(fetch($bytes), err(matches_pattern!(FailureCause::Malformed(_))));
        }
    )*};
}

malformed_responses_are_errors! {
    misspelt_coding: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
    two_codings: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
    length_beside_a_coding:
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
    switched_protocol: b"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\n{}";
    status_beyond_those_of_responses: b"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\n{}";
}

/// Whether the call was carried out is not known.
macro_rules! unreadable_responses_are_unknown {
    ($($name:ident: $bytes:literal;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(fetch($bytes), err(matches_pattern!(FailureCause::Broken(_))));
        }
    )*};
}

unreadable_responses_are_unknown! {
    status_000: b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}";
    status_000_without_a_reason: b"HTTP/1.1 000\r\nContent-Length: 2\r\n\r\n{}";
    status_000_in_chunks: b"HTTP/1.1 000\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
    status_000_behind_an_informational_head:
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}";
    status_of_two_digits: b"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}";
}

macro_rules! sound_responses_are_read {
    ($($name:ident: $bytes:literal;)*) => {$(
        #[googletest::test]
        fn $name() {
            let fetched = fetch($bytes).expect("a response");
            expect_that!((fetched.status.as_u16(), &fetched.body[..]), eq((200, &b"{}"[..])));
        }
    )*};
}

sound_responses_are_read! {
    chunks: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
    repeated_length: b"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n{}";
    end_of_the_connection: b"HTTP/1.1 200 OK\r\n\r\n{}";
}
