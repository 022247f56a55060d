//! Heads of requests and responses, as clients and endpoints of the platform write them.
//!
//! `client_head` reads a client's request; `endpoint` writes the request of one attempt and
//! reads the response to it, with `endpoint_signals`; `own_response` writes the heads that the gateway makes itself.
//! Header names stay in here: the gateway sees `gateway::{call, request::response_meaning}`.

mod client_head;
mod endpoint;
mod endpoint_signals;
mod headers;
mod own_response;

pub use client_head::{is_chunked, read_head};
pub use endpoint::{client_response, endpoint_request, read_response};
pub use own_response::{close_after, is_readiness, own_response};
