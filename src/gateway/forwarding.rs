//! Connections to endpoints through other daemons, for a daemon that doesn't reach endpoints itself.
//!
//! The partitioned daemon opens a tunnel to an endpoint through a daemon that reaches it, and uses it
//! like a connection of its own. The daemon to which the client has connected thus decides everything
//! about its request, as for any other; the forwarder passes bytes on and reads none of them. A tunnel
//! leads from a forwarder to an endpoint only, so that no request takes more than one additional hop.
//!
//! `endpoint_path` chooses between an own connection and a tunnel, `access_probe` finds the end of a
//! partition, `tunnel_opener` and `tunnel_stream` are the partitioned daemon's side of a tunnel,
//! `tunnel_server` the forwarder's. `docs/design/partitioned-daemons.md` gives the reasons.

pub mod access_probe;
pub mod endpoint_path;
pub mod handshake;
pub mod open_path;
pub mod tunnel_opener;
pub mod tunnel_server;
pub mod tunnel_stream;
