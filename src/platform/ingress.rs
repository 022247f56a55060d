//! Decodes and encodes heads of requests and responses in the formats of the platform's clients and
//! endpoints.
//!
//! `client_head` decodes a client's request; `endpoint` builds the request of one attempt and, with
//! `endpoint_signals`, decodes the response to it; `own_response` builds the heads of the gateway's own
//! responses. Only this module knows the header names: the gateway uses the types of
//! `gateway::{call, request::response_meaning}`.

mod client_head;
mod endpoint;
mod endpoint_signals;
mod headers;
mod own_response;

pub use client_head::{is_chunked, read_head};
pub use endpoint::{SentRequest, client_response, endpoint_request, health_check, read_response};
pub use own_response::{close_after, is_readiness, own_response, remove_length};
