//! The balancer's question whether the daemon takes new connections, and the metrics.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::{net::TcpListener, time::Instant};

use super::{context::GatewayContext, state::GatewayState};
use crate::{
    http::{ResponseBody, server, whole_body},
    platform::ingress,
};

/// Name of the readiness service.
pub const READINESS_SERVICE: &str = "readiness";
/// Name of the metrics service.
pub const METRICS_SERVICE: &str = "metrics";

/// Path of the daemon's beliefs on the metrics address.
const STATE_PATH: &str = "/state";

fn answer(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}

/// Answers the balancer until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    let handler = move |request: Request<Incoming>| {
        let ready = context.is_ready(Instant::now());
        let status = match (ingress::is_readiness(request.uri().path()), ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { answer(status, String::new()) }
    };
    server::serve(listener, phase, handler).await;
}

/// Shows the metrics and, at `/state`, what the daemon believes, until it stops.
pub async fn show_metrics(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    let handler = move |request: Request<Incoming>| {
        let text = match request.uri().path() {
            // NOTE: numbers, names and options always encode.
            STATE_PATH => serde_json::to_string(&GatewayState::of(&context)).unwrap_or_default(),
            _ => context.metrics.render(),
        };
        async move { answer(StatusCode::OK, text) }
    };
    server::serve(listener, phase, handler).await;
}
