//! The messages that open a tunnel (schema/exchange.capnp): one in each direction, before the bytes of
//! the endpoint's connection.

use capnp::{Error, message};
use capnp_futures::serialize;
use derive_more::Display;
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    exchange_capnp::{tunnel_request, tunnel_response},
    ids::SharedName,
};

/// Longest message that is accepted, in words of 8 bytes: far longer than the names in it.
const MESSAGE_LIMIT: usize = 1_024;

/// Asks a daemon to open a connection to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelRequest {
    /// Id of the endpoint.
    pub endpoint: SharedName,
    /// Start time of the endpoint; 0 if unknown.
    pub born: u64,
    /// Name of the daemon that opens the tunnel.
    pub daemon: SharedName,
    /// Id of the request for which it is opened.
    pub request: SharedName,
}

/// Result of a tunnel request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TunnelOutcome {
    /// The connection to the endpoint is open; its bytes follow.
    #[display("connected")]
    Connected,
    /// The endpoint's address refuses connections.
    #[display("refused by the endpoint")]
    Refused,
    /// The endpoint could not be reached in time.
    #[display("endpoint not reached")]
    NotReached,
    /// The daemon carries no tunnel to this endpoint now: it is stopping, doesn't know the endpoint,
    /// reaches none itself, or carries too many.
    #[display("not carried")]
    NotCarried,
}

impl TunnelOutcome {
    /// All outcomes, by their number in messages.
    const ALL: [Self; 4] = [Self::Connected, Self::Refused, Self::NotReached, Self::NotCarried];

    fn number(self) -> u8 {
        self as u8
    }

    fn of_number(number: u8) -> Result<Self, Error> {
        let outcome = Self::ALL.get(usize::from(number)).copied();
        outcome.ok_or_else(|| Error::failed(format!("unknown outcome {number} of a tunnel")))
    }
}

fn reader_options() -> message::ReaderOptions {
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_LIMIT));
    options
}

/// Sends a tunnel request.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn send_request(stream: &mut TcpStream, request: &TunnelRequest) -> Result<(), Error> {
    let mut message = message::Builder::new_default();
    let mut target = message.init_root::<tunnel_request::Builder<'_>>();
    target.set_endpoint(&*request.endpoint);
    target.set_born(request.born);
    target.set_daemon(&*request.daemon);
    target.set_request(&*request.request);
    serialize::write_message(stream.compat_write(), &message).await
}

/// Reads a tunnel request.
///
/// # Errors
///
/// Fails if the connection breaks or the message is malformed.
pub async fn read_request(stream: &mut TcpStream) -> Result<TunnelRequest, Error> {
    let message = serialize::read_message(stream.compat(), reader_options()).await?;
    let source = message.get_root::<tunnel_request::Reader<'_>>()?;
    Ok(TunnelRequest {
        endpoint: source.get_endpoint()?.to_str()?.into(),
        born: source.get_born(),
        daemon: source.get_daemon()?.to_str()?.into(),
        request: source.get_request()?.to_str()?.into(),
    })
}

/// Sends the result of a tunnel request.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn send_outcome(stream: &mut TcpStream, outcome: TunnelOutcome) -> Result<(), Error> {
    let mut message = message::Builder::new_default();
    message.init_root::<tunnel_response::Builder<'_>>().set_outcome(outcome.number());
    serialize::write_message(stream.compat_write(), &message).await
}

/// Reads the result of a tunnel request.
///
/// # Errors
///
/// Fails if the connection breaks or the message is malformed.
pub async fn read_outcome(stream: &mut TcpStream) -> Result<TunnelOutcome, Error> {
    let message = serialize::read_message(stream.compat(), reader_options()).await?;
    TunnelOutcome::of_number(message.get_root::<tunnel_response::Reader<'_>>()?.get_outcome())
}
