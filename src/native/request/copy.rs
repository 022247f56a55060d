//! State of a request as one daemon sends it to another.

use std::sync::Arc;

use super::{call::ClientCall, outcome::FinalResponse};
use crate::ids::{IncarnationId, RequestName, SharedName};

/// One token of a response.
pub type ResponseToken = Arc<str>;

/// The daemon that runs a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHolder {
    /// Incarnation of the daemon.
    pub incarnation: IncarnationId,
    /// Address of its peer listener.
    pub address: SharedName,
}

/// State of one request, or an update with only the changes since an earlier state.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCopy {
    /// Name of the request.
    pub name: RequestName,
    /// How often another daemon has taken the request over.
    pub takeovers: u32,
    /// The daemon that runs it.
    pub holder: RequestHolder,
    /// Digest of the call; `None` in updates.
    pub digest: Option<[u8; 32]>,
    /// The call, if this daemon has it. It is not sent to peers: a daemon takes a request over
    /// when a client sends the call again.
    pub call: Option<Arc<ClientCall>>,
    /// Index of the first of `tokens` within the response.
    pub first_token: usize,
    /// Tokens from `first_token` on.
    pub tokens: Vec<ResponseToken>,
    /// Final outcome, if it has ended.
    pub response: Option<Arc<FinalResponse>>,
}
