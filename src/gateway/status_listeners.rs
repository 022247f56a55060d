//! HTTP listeners for the load balancer's readiness checks and for metrics and the daemon's state.
//!
//! `policy::daemon::readiness` decides whether the daemon is ready. Operators can also end the quarantine
//! of a request at the metrics address.

use std::rc::Rc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio::net::TcpListener;

use super::{
    call::BadPartId,
    context::GatewayContext,
    policy::{
        daemon::readiness::Readiness,
        request::{body_memory::BodySize, fingerprint::BadFingerprint},
    },
    state::{GatewayState, QUARANTINED_PART},
};
use crate::{
    boot_clock,
    http::{ResponseBody, server, whole_body},
    platform::ingress,
};

/// Name of the readiness service.
pub const READINESS_SERVICE: &str = "readiness";
/// Name of the metrics service.
pub const METRICS_SERVICE: &str = "metrics";

/// Path of the daemon's state on the metrics address.
const STATE_PATH: &str = "/state";
/// Path of what is quarantined on the metrics address, followed by its name.
const QUARANTINE_PATH: &str = "/quarantine/";

fn text_response(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}

/// Serves readiness checks until the daemon stops.
pub async fn serve_readiness(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    let handler = move |request: Request<Incoming>| {
        let ready = check_readiness(&context) == Readiness::Ready;
        let status = match (ingress::is_readiness(request.uri().path()), ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { text_response(status, String::new()) }
    };
    server::serve(listener, phase, handler).await;
}

/// Evaluates the readiness, and logs it when it has changed.
fn check_readiness(context: &GatewayContext) -> Readiness {
    let readiness = context.readiness(boot_clock::now());
    if context.logged_readiness.replace(Some(readiness)) != Some(readiness) {
        spdlog::info!("readiness", kv: { outcome: = readiness });
    }
    readiness
}

/// Serves the metrics and, at `/state`, the daemon's state, until the daemon stops.
pub async fn serve_metrics(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    let handler = move |request: Request<Incoming>| {
        let path = request.uri().path();
        let (status, text) = match path.strip_prefix(QUARANTINE_PATH) {
            Some(fingerprint) if request.method() == Method::DELETE => {
                end_quarantine(&context, fingerprint)
            }
            Some(_) => (StatusCode::METHOD_NOT_ALLOWED, String::new()),
            None if path == STATE_PATH => (StatusCode::OK, state_text(&context)),
            None => (StatusCode::OK, render_metrics(&context)),
        };
        async move { text_response(status, text) }
    };
    server::serve(listener, phase, handler).await;
}

fn render_metrics(context: &GatewayContext) -> String {
    let GatewayContext { metrics, bodies, client_connections, .. } = context;
    metrics.gauge("small_body_bytes", bodies.held(BodySize::Small) as f64);
    metrics.gauge("large_body_bytes", bodies.held(BodySize::Large) as f64);
    metrics.gauge("bodies_given_way", bodies.given_way() as f64);
    metrics.gauge("response_bytes", context.response_memory.held() as f64);
    metrics.gauge("client_connections", client_connections.count() as f64);
    metrics.gauge("client_connections_closed", client_connections.closed_for_others() as f64);
    metrics.render()
}

/// Ends the quarantine of a request, or of a part of prompts, at this daemon, which informs the others by gossip.
fn end_quarantine(context: &GatewayContext, name: &str) -> (StatusCode, String) {
    let now = boot_clock::now();
    let was_quarantined = match name.strip_prefix(QUARANTINED_PART) {
        Some(id) => match id.parse() {
            Ok(part) => context.part_crashes.borrow_mut().clear(part, now),
            Err(BadPartId) => return (StatusCode::BAD_REQUEST, BadPartId.to_string()),
        },
        None => match name.parse() {
            Ok(request) => context.crashes.borrow_mut().clear(request, now),
            Err(BadFingerprint) => return (StatusCode::BAD_REQUEST, BadFingerprint.to_string()),
        },
    };
    if !was_quarantined {
        return (StatusCode::NOT_FOUND, "not quarantined".to_owned());
    }
    spdlog::info!("quarantine ended", kv: { fingerprint: = name, reason = "operator" });
    (StatusCode::OK, "{}".to_owned())
}

fn state_text(context: &GatewayContext) -> String {
    serde_json::to_string(&GatewayState::of(context)).unwrap_or_else(|error| {
        // Cannot happen with the types of the state. Logged, since the empty response does not explain it.
        spdlog::error!("state not encoded: {}", error);
        String::new()
    })
}
