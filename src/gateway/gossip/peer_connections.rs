//! Connections that this daemon has opened to others for calls.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    exchange_capnp::exchange,
    rpc_transport::{TrafficCounter, rpc_system},
};

/// Time limit for connecting, and for a call that requests no text: four gossip intervals.
pub const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Most open connections: more than a daemon has neighbours in a fleet of thousands. Calls about streams may go to
/// any daemon.
const MAX_OPEN: usize = 512;

/// An open connection; it is closed when dropped.
pub struct OpenConnection {
    /// Calls the other daemon.
    pub client: exchange::Client,
    task: tokio::task::AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections that this daemon has opened to others.
#[derive(Default)]
pub struct PeerConnections {
    open: RefCell<HashMap<SocketAddr, Rc<OpenConnection>>>,
    /// Bytes sent and received over all of them.
    pub traffic: TrafficCounter,
}

impl PeerConnections {
    /// Returns the connection to a daemon, and opens it if there is none.
    ///
    /// # Errors
    ///
    /// No connection in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Rc<OpenConnection>, Error> {
        if let Some(open) = self.open.borrow().get(&address) {
            return Ok(open.clone());
        }
        let connecting = timeout(CALL_LIMIT, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| Error::failed("no connection in time".into()))??;
        let mut rpc = rpc_system(stream, Side::Client, None, &self.traffic);
        let client = rpc.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(async move {
            // An error also fails the call on this connection, which is counted.
            let _ = rpc.await;
        });
        let open = Rc::new(OpenConnection { client, task: task.abort_handle() });
        self.make_room();
        self.open.borrow_mut().insert(address, open.clone());
        Ok(open)
    }

    /// Closes a connection that is not in use if there are too many.
    fn make_room(&self) {
        let mut open = self.open.borrow_mut();
        if open.len() < MAX_OPEN {
            return;
        }
        let mut all = open.iter();
        let unused = all.find(|(_, connection)| Rc::strong_count(connection) == 1);
        if let Some(address) = unused.map(|(address, _)| *address) {
            open.remove(&address);
        }
    }

    /// Closes the connection to a daemon.
    pub fn close(&self, address: SocketAddr) {
        self.open.borrow_mut().remove(&address);
    }
}
