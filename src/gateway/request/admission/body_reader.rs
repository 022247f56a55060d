//! Reads the body of a client's request into the daemon's memory for bodies.

use std::{pin::pin, rc::Rc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use super::body_store::{BodyStore, BodyWriter, NoBodyMemory};
use crate::{
    boot_clock,
    gateway::{
        call::call_body::CallBody,
        policy::request::{refusal::Refusal, retry_after},
        request::client_listener::client_body::BodyFault,
    },
};

/// What a body may use.
#[derive(Clone, Copy, Debug)]
pub struct BodyTerms {
    /// Largest body, in bytes.
    pub largest: usize,
    /// When the request arrived.
    pub received: Instant,
    /// When it has to be complete.
    pub deadline: Instant,
}

impl From<NoBodyMemory> for Refusal {
    fn from(NoBodyMemory: NoBodyMemory) -> Self {
        Self::NoBodyMemory(retry_after::NO_BODY_MEMORY)
    }
}

impl From<BodyFault> for Refusal {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::BrokenOff => Self::BodyBroken,
            BodyFault::NotValid => Self::BodyNotValid,
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// The body is too long, breaks off, is not complete in time, or there is no memory for it.
pub async fn read_body(
    store: &Rc<BodyStore>,
    body: impl Body<Data = Bytes, Error = BodyFault>,
    terms: BodyTerms,
) -> Result<CallBody, Refusal> {
    if body.size_hint().lower() > terms.largest as u64 {
        return Err(Refusal::BodyTooLong);
    }
    if body.is_end_stream() {
        return Ok(CallBody::default());
    }
    let writer = store.begin(terms.largest, terms.received);
    let copying = timeout_at(boot_clock::timer_at(terms.deadline), copy_to(&writer, body, terms));
    let copied = tokio::select! {
        biased;
        () = writer.gave_way() => return Err(NoBodyMemory.into()),
        copied = copying => copied,
    };
    match copied {
        Ok(copied) => copied?,
        // Timed out.
        Err(_) => return Err(Refusal::BodyLate(retry_after::AT_ONCE)),
    }
    Ok(writer.finish()?)
}

async fn copy_to(
    writer: &BodyWriter,
    body: impl Body<Data = Bytes, Error = BodyFault>,
    terms: BodyTerms,
) -> Result<(), Refusal> {
    let mut body = pin!(body);
    let mut left = terms.largest;
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        // Trailers are not passed on.
        let Ok(bytes) = frame.into_data() else { continue };
        left = left.checked_sub(bytes.len()).ok_or(Refusal::BodyTooLong)?;
        writer.append(&bytes, boot_clock::now())?;
    }
    Ok(())
}
