//! Listener for connections from other daemons. A connection begins with a hello (`Gate` in the
//! schema), in which both sides check deployment and protocol version. Only then does the peer
//! get access to the calls in `served_calls`.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};

use super::{codec, is_compatible, overloaded, served_calls::PeerServer};
use crate::{
    http::server,
    ids::IncarnationId,
    native::{
        cluster::{events::ClusterEvent, service::ClusterMessage},
        serve::context::ServeContext,
    },
    peer_capnp::gate,
    rpc_transport::rpc_system,
};

/// Serves peers on `listener` until the daemon stops.
pub async fn serve(listener: TcpListener, context: Rc<ServeContext>) {
    let phase = context.kernel.phase();
    server::accept_each(listener, phase, |stream| {
        tokio::task::spawn_local(serve_connection(stream, context.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, context: Rc<ServeContext>) {
    let traffic = context.pool.traffic().clone();
    let gate: gate::Client = capnp_rpc::new_client(GateServer { context });
    // The error is not needed: a peer that disconnects or sends malformed messages ends only its
    // own connection.
    let _ = rpc_system(stream, Side::Server, Some(gate.client), &traffic).await;
}

struct GateServer {
    context: Rc<ServeContext>,
}

impl gate::Server for GateServer {
    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> Result<(), Error> {
        let hello = params.get()?.get_hello()?;
        let identity = &self.context.identity;
        let deployment = hello.get_deployment()?.to_str().unwrap_or("(not UTF-8)").to_owned();
        if deployment != *identity.deployment {
            self.context.record_refused_peer(&format!("deployment {deployment}"));
            return Err(Error::failed(format!("this is deployment {}", identity.deployment)));
        }
        let version = hello.get_version();
        if !is_compatible(identity.version, version) {
            self.context.record_refused_peer(&format!("protocol version {version}"));
            let message =
                format!("protocol version {version} is unknown; {} here", identity.version);
            return Err(Error::failed(message));
        }
        let incarnation = IncarnationId(hello.get_incarnation());
        let record = codec::read_record(hello)?;
        let event = ClusterEvent::Greeted(incarnation, record);
        self.context.cluster.send(ClusterMessage::Event(event)).map_err(overloaded)?;
        codec::write_hello(results.get().init_hello(), identity);
        let server = PeerServer { from: incarnation, context: self.context.clone() };
        results.get().set_peer(capnp_rpc::new_client(server));
        Ok(())
    }
}
