//! Objects and VMs whose names hold characters with a meaning in URLs: each call names the object that is meant.
//! A service's row may have such a name, and the platform gives VMs their names.

use std::{
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
};

use googletest::prelude::*;
use serde_json::json;
use willowarch::{
    control::calls::ControlClient,
    native::cloud_api::client::{PlatformClient, WriteCondition},
};

/// A name that is read as a query, a fragment, several segments or another name unless it is encoded.
const NAME: &str = "a?b#c/d%41&e+f g";
const ENCODED_NAME: &str = "a%3Fb%23c%2Fd%2541%26e%2Bf%20g";

/// Receives one request. Returns its address and, later, its method and target.
fn receive_request() -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let received = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut bytes = [0; 4_096];
        let length = stream.read(&mut bytes).expect("a request");
        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
        text.rsplit_once(" HTTP/1.1").map(|(line, _)| line.to_owned()).unwrap_or_default()
    });
    (address, received)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(future)
}

/// A test for each call: the call, and the request that it sends.
macro_rules! calls_name_their_object {
    ($($name:ident: $call:expr, $line:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let (address, received) = receive_request();
            let call: fn(SocketAddr) = $call;
            call(address);
            expect_that!(received.join().expect("a request"), eq(&$line));
        }
    )*};
}

calls_name_their_object! {
    read_of_an_object: |address| {
        let _ = block_on(PlatformClient::new(address, address).read_object("plans", NAME));
    }, format!("GET /objects/plans/{ENCODED_NAME}");
    write_of_an_object: |address| {
        let client = PlatformClient::new(address, address);
        let value = json!({});
        let _ = block_on(client.write_object("plans", NAME, &value, WriteCondition::Absent));
    }, format!("PUT /objects/plans/{ENCODED_NAME}");
    release_of_a_vm: |address| {
        let _ = block_on(PlatformClient::new(address, address).release_vm(NAME));
    }, format!("DELETE /vms/{ENCODED_NAME}");
    read_by_the_tool: |address| {
        let _ = ControlClient::default().read(address, "rows", NAME);
    }, format!("GET /objects/rows/{ENCODED_NAME}");
    write_by_the_tool: |address| {
        let _ = ControlClient::default().write(address, "rows", NAME, Some(&json!({})), 1);
    }, format!("PUT /objects/rows/{ENCODED_NAME}");
    removal_by_the_tool: |address| {
        let _ = ControlClient::default().write(address, "rows", "..", None, 1);
    }, "DELETE /objects/rows/%2E%2E".to_owned();
}
