//! What the copier is told.

use crate::{ids::RequestName, native::cluster::events::PeerTarget};

/// What the service is told.
#[derive(Debug)]
pub enum CopyMessage {
    /// A request runs here from now on.
    Track(RequestName),
    /// A peer could not apply updates of these requests: it needs them whole, or knows better.
    Refused(PeerTarget, Vec<RequestName>),
    /// A peer did not answer.
    Failed(PeerTarget),
}
