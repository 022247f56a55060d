//! Messages to the copier.

use crate::{ids::RequestName, native::cluster::events::PeerTarget};

/// Messages to the service.
#[derive(Debug)]
pub enum CopyMessage {
    /// A request has started to run at this daemon.
    Track(RequestName),
    /// A peer could not apply updates of these requests: it needs complete copies, or knows a state
    /// that takes precedence.
    Refused(PeerTarget, Vec<RequestName>),
    /// A peer did not answer.
    Failed(PeerTarget),
}
