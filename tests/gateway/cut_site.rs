//! A daemon with one endpoint whose requests in progress outlast a stop, and what its log says of them.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, endpoint_entry, kept_request_bytes, wait_for},
    platform_standin::PlatformStandin,
};

/// Grace time of the daemons in seconds: longer than the time for which a stopping daemon accepts connections.
pub const GRACE_S: f64 = 4.5;
/// Time limit of the routes: requests in progress outlast every stop.
pub const ROUTE_LIMIT_MS: u64 = 25_000;
/// Time after which a daemon that stops has begun to do so.
pub const STOP_PAUSE: Duration = Duration::from_millis(300);

/// A daemon with one endpoint.
pub struct CutSite {
    pub platform: PlatformStandin,
    pub endpoint: EndpointStandin,
    pub gateway: Gateway,
}

impl CutSite {
    pub fn start(manner: EndpointManner, grace_s: f64) -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", slow_configuration(3));
        let endpoint = EndpointStandin::start("i-0", manner);
        platform.put("servers", &endpoint.id, endpoint_entry(&endpoint, "ready"));
        let bounds = json!({"grace-s": grace_s});
        let gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
        gateway.wait_ready();
        Self { platform, endpoint, gateway }
    }

    /// Lets the endpoint serve this many requests at once.
    pub fn give_room(&self, requests: usize) {
        let mut entry = endpoint_entry(&self.endpoint, "ready");
        entry["slots"] = json!(requests);
        let mut configuration = slow_configuration(4);
        configuration["services"][0]["max-conns"] = json!(requests);
        self.platform.put("config", "main", configuration);
        self.platform.put("servers", &self.endpoint.id, entry);
        wait_for("the configuration", || {
            let lines = self.log().into_iter().filter(|line| line["payload"] == "configuration");
            lines.into_iter().any(|line| text_of(&line["kv"]["version"]) == "4")
        });
    }

    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.gateway.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Outcomes of the requests whose id begins like this, in the order of their lines.
    pub fn outcomes(&self, id: &str) -> Vec<String> {
        let lines = self.log().into_iter().filter(|line| line["payload"] == "request");
        let named = lines.filter(|line| text_of(&line["kv"]["id"]).starts_with(id));
        named.map(|line| text_of(&line["kv"]["outcome"])).collect()
    }

    /// Numbers of requests that the lines `stopping` call cut off.
    pub fn cut_off(&self) -> Vec<String> {
        let lines = self.log().into_iter().filter(|line| line["payload"] == "stopping");
        lines.filter_map(|line| line["kv"].get("cut_off").map(text_of)).collect()
    }

    pub fn stop(&mut self) {
        self.gateway.signal("-TERM");
        wait_for("the end of the daemon", || self.gateway.has_ended());
    }
}

/// A value of a log line without quotation marks.
pub fn text_of(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

pub fn slow_configuration(version: u64) -> Value {
    let mut stored = configuration(version, &["key-1"]);
    for route in stored["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = ROUTE_LIMIT_MS.into();
    }
    stored
}

/// Bytes of a request that waits for as long as its route allows.
pub fn patient_request(path: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let bytes = kept_request_bytes(path, id, "key-1", &[], &[]);
    let head = String::from_utf8(bytes).expect("text");
    let limit = format!("X-Deadline-Ms: {ROUTE_LIMIT_MS}");
    let mut head = head.replace("X-Deadline-Ms: 3000", &limit);
    if !body.is_empty() {
        let length = format!("\r\nContent-Length: {}\r\n\r\n", body.len());
        head = head.replace("GET ", "POST ").replace("\r\n\r\n", &length);
    }
    [head.as_bytes(), body].concat()
}

pub fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut client = TcpStream::connect(address).expect("connect");
    client.write_all(bytes).expect("send");
    client
}
