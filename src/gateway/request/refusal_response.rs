//! Builds the response to a request that the gateway refuses.

use hyper::Response;

use crate::{
    gateway::policy::request::refusal::Refusal,
    http::{LocalBody, whole_body},
    platform::ingress,
};

/// Builds the response to the request `id`; `None` if no id could be read.
pub fn refusal_response(refusal: &Refusal, id: Option<&str>) -> Response<LocalBody> {
    let mut head = ingress::own_response(id, refusal.status(), refusal.retry_after());
    if refusal.ends_body() {
        ingress::close_after(head.headers_mut());
    }
    head.map(|()| Box::pin(whole_body(refusal.to_string())) as LocalBody)
}
