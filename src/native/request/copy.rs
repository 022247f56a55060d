//! State of a request as one daemon hands it to another.

use std::sync::Arc;

use super::{call::ClientCall, outcome::FinalResponse};
use crate::ids::{IncarnationId, RequestName, SharedName};

/// Token of a response.
pub type ResponseToken = Arc<str>;

/// Who runs a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHolder {
    /// Incarnation of the daemon.
    pub incarnation: IncarnationId,
    /// Where its peers reach it.
    pub address: SharedName,
}

/// State of one request, or an update: what is new since an earlier state.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCopy {
    /// Its name.
    pub name: RequestName,
    /// Number of take-overs.
    pub takeovers: u32,
    /// Who runs it.
    pub holder: RequestHolder,
    /// Digest of the call; updates have none.
    pub digest: Option<[u8; 32]>,
    /// The call, where it is known. Peers are not sent it: whoever takes a request over
    /// does so for a client, who brings it.
    pub call: Option<Arc<ClientCall>>,
    /// Index in the response of the first of `tokens`.
    pub first_token: usize,
    /// Tokens from `first_token` on.
    pub tokens: Vec<ResponseToken>,
    /// Final outcome, if it has ended.
    pub response: Option<Arc<FinalResponse>>,
}
