//! Two listeners: the balancer's readiness check, and metrics with the daemon's state.
//!
//! Whether the daemon is ready is decided in `policy::daemon::readiness`; this module only serves it.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::{net::TcpListener, time::Instant};

use super::{context::GatewayContext, policy::daemon::readiness::Readiness, state::GatewayState};
use crate::{
    http::{ResponseBody, server, whole_body},
    platform::ingress,
};

/// Name of the readiness service.
pub const READINESS_SERVICE: &str = "readiness";
/// Name of the metrics service.
pub const METRICS_SERVICE: &str = "metrics";

/// Path of the daemon's state on the metrics address.
const STATE_PATH: &str = "/state";

fn text_response(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}

/// Serves readiness checks until the daemon stops.
pub async fn serve_readiness(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    let handler = move |request: Request<Incoming>| {
        let ready = context.readiness(Instant::now()) == Readiness::Ready;
        let status = match (ingress::is_readiness(request.uri().path()), ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { text_response(status, String::new()) }
    };
    server::serve(listener, phase, handler).await;
}

/// Serves the metrics and, at `/state`, the daemon's state, until it stops.
pub async fn serve_metrics(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    let handler = move |request: Request<Incoming>| {
        let text = match request.uri().path() {
            STATE_PATH => state_text(&context),
            _ => context.metrics.render(),
        };
        async move { text_response(StatusCode::OK, text) }
    };
    server::serve(listener, phase, handler).await;
}

fn state_text(context: &GatewayContext) -> String {
    serde_json::to_string(&GatewayState::of(context)).unwrap_or_else(|error| {
        // Cannot happen with the types of the state; an empty page would say nothing.
        spdlog::error!("state not encoded: {}", error);
        String::new()
    })
}
