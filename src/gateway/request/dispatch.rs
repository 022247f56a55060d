//! Handles a client's request from its head to the response: admits it, runs it at an endpoint, and
//! passes the response on or refuses the request.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use hyper::{Request, Response, body::Body};

use super::{
    admission::{self, Admitted, admit},
    attempt::{Attempts, OpenRequest},
    client_listener::{client_body::BodyFault, connection_use::ConnectionUse},
    first_response::first_response,
    refusal_response::refusal_response,
    relay,
    request_log::RequestTrace,
};
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        policy::request::{refusal::Refusal, retry_after},
    },
    http::LocalBody,
    platform::ingress,
};

/// Error that closes the connection of a client whose request did not arrive completely.
const INCOMPLETE_BODY: &str = "request body incomplete";

/// Responds to a client's request; an error closes the connection without a response.
pub async fn respond(
    context: &Rc<GatewayContext>,
    connection: &Rc<ConnectionUse>,
    request: Request<impl Body<Data = Bytes, Error = BodyFault>>,
) -> Result<Response<LocalBody>, std::io::Error> {
    // The HTTP library ignores a Content-Length sent with a chunked body, so the client may have
    // meant the body to end elsewhere. Closing the connection after the response prevents the bytes
    // that follow from being read as another request.
    let close = ingress::is_chunked(request.headers());
    let mut responded = respond_to(context, connection, request).await;
    if let (true, Ok(response)) = (close, &mut responded) {
        ingress::close_after(response.headers_mut());
    }
    responded
}

async fn respond_to(
    context: &Rc<GatewayContext>,
    connection: &Rc<ConnectionUse>,
    request: Request<impl Body<Data = Bytes, Error = BodyFault>>,
) -> Result<Response<LocalBody>, std::io::Error> {
    let received = boot_clock::now();
    let _active = context.active.enter();
    let (parts, body) = request.into_parts();
    let head = match ingress::read_head(parts) {
        Ok(head) => head,
        Err(error) => {
            let refusal = Refusal::BadHead(error);
            RequestTrace::new(context, connection, None).refused(&refusal);
            return Ok(refusal_response(&refusal, None));
        }
    };
    let id = head.id.clone();
    let mut trace = RequestTrace::new(context, connection, Some(id.clone()));
    let admitted = tokio::select! {
        biased;
        admitted = admit(context, head, body, received, &mut trace) => admitted,
        () = connection.gave_way() => Err(Refusal::ConnectionNeeded(retry_after::AT_ONCE)),
    };
    match admitted {
        Err(Refusal::BodyBroken) => {
            trace.refused(&Refusal::BodyBroken);
            Err(std::io::Error::other(INCOMPLETE_BODY))
        }
        Err(refusal) => {
            trace.refused(&refusal);
            Ok(refusal_response(&refusal, Some(&id)))
        }
        Ok(admitted) => Ok(run(context, admitted, trace).await),
    }
}

/// Runs an admitted request: makes attempts until there is a response to pass on.
async fn run(
    context: &Rc<GatewayContext>,
    admitted: Admitted,
    trace: RequestTrace,
) -> Response<LocalBody> {
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts::default();
    attempts.version = admitted.origin.as_ref().map(|origin| origin.start.version.clone());
    let (attempts, trace) = (RefCell::new(attempts), RefCell::new(trace));
    let request = OpenRequest { context, admitted: &admitted, attempts: &attempts, trace: &trace };
    match first_response(request).await {
        Ok(response) => {
            attempts.borrow_mut().has_response = true;
            relay::pass_on(context, admitted, attempts, response, trace)
        }
        Err(refusal) => {
            if refusal.promises_not_run() {
                admission::refund_quota(context, &admitted);
            }
            trace.into_inner().refused(&refusal);
            refusal_response(&refusal, Some(&admitted.call.head.id))
        }
    }
}
