//! Messages to the copier.

use crate::{ids::RequestName, native::cluster::events::PeerTarget};

/// Messages to the service.
#[derive(Debug)]
pub enum CopyMessage {
    /// A request runs here from now on.
    Track(RequestName),
    /// A peer could not apply updates of these requests: it needs them whole, or a state that
    /// it knows has precedence.
    Refused(PeerTarget, Vec<RequestName>),
    /// A peer did not answer.
    Failed(PeerTarget),
}
