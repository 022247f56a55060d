//! A new connection to an endpoint, and its way.

use std::net::SocketAddr;

use tokio::net::TcpStream;

use super::tunnel_stream::TunnelStream;

/// The way of a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointPath {
    /// Over this daemon's own links.
    Direct,
    /// Through the daemon with this address for tunnels.
    Forwarded(SocketAddr),
}

/// A new connection to an endpoint.
pub enum OpenPath {
    /// Over this daemon's own links.
    Direct(TcpStream),
    /// Through another daemon.
    Tunnel(OpenTunnel),
}

/// An open tunnel.
#[derive(Debug)]
pub struct OpenTunnel {
    /// Its bytes.
    pub stream: TunnelStream,
    /// The daemon that carries it.
    pub forwarder: SocketAddr,
}
