//! TCP proxy on loopback that keeps what TCP keeps while packets are lost: bytes that were sent are passed
//! on once packets arrive again, unless their sender has reset the connection.

use std::{
    collections::VecDeque,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
};

/// What the link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// Passes them on.
    Open,
    /// Keeps the bytes of connections opened up to this number. Later connections work.
    HoldOpened(usize),
    /// Keeps the bytes of open connections. A connection that is opened meanwhile never passes any on.
    HoldAll,
}

#[derive(Debug)]
struct LinkShare {
    state: LinkState,
    /// Connections opened so far.
    opened: usize,
    /// Bytes of the client that were kept instead of passed on, over all connections.
    kept_bytes: usize,
    ended: bool,
    sockets: Vec<TcpStream>,
}

#[derive(Debug)]
struct SharedLink {
    share: Mutex<LinkShare>,
    changed: Condvar,
}

impl SharedLink {
    fn lock(&self) -> MutexGuard<'_, LinkShare> {
        self.share.lock().expect("lock")
    }

    fn set(&self, state: LinkState) {
        self.lock().state = state;
        self.changed.notify_all();
    }
}

impl LinkShare {
    fn holds(&self, connection: usize) -> bool {
        match self.state {
            LinkState::Open => false,
            LinkState::HoldOpened(last) => connection <= last && !self.ended,
            LinkState::HoldAll => !self.ended,
        }
    }
}

/// The running proxy.
pub struct HeldLink {
    pub address: SocketAddr,
    link: Arc<SharedLink>,
}

impl HeldLink {
    /// Starts a proxy that passes bytes on to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let share = LinkShare {
            state: LinkState::Open,
            opened: 0,
            kept_bytes: 0,
            ended: false,
            sockets: Vec::new(),
        };
        let link = Arc::new(SharedLink { share: Mutex::new(share), changed: Condvar::new() });
        let shared = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.lock().ended {
                    return;
                }
                serve(client, target, &shared);
            }
        });
        Self { address, link }
    }

    /// Keeps all bytes from now on. Connections that are opened meanwhile never pass any on.
    pub fn hold_all(&self) {
        self.link.set(LinkState::HoldAll);
    }

    /// Keeps the bytes of the connections that are open now; later connections work.
    pub fn hold_open_connections(&self) {
        let opened = self.link.lock().opened;
        self.link.set(LinkState::HoldOpened(opened));
    }

    /// Passes on what is kept, in order, and all later bytes.
    pub fn pass_on(&self) {
        self.link.set(LinkState::Open);
    }

    /// Bytes of clients that were kept so far, whatever became of them.
    pub fn kept_bytes(&self) -> usize {
        self.link.lock().kept_bytes
    }
}

impl Drop for HeldLink {
    fn drop(&mut self) {
        let mut share = self.link.lock();
        share.ended = true;
        for socket in share.sockets.drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        drop(share);
        self.link.changed.notify_all();
        // Wakes the thread that accepts connections, so that it ends.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(client: TcpStream, target: SocketAddr, link: &Arc<SharedLink>) {
    let mut share = link.lock();
    share.opened += 1;
    let connection = share.opened;
    let (Ok(held), Ok(client_output)) = (client.try_clone(), client.try_clone()) else { return };
    share.sockets.push(held);
    if share.state == LinkState::HoldAll {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let (Ok(held), Ok(server_output)) = (server.try_clone(), server.try_clone()) else { return };
    share.sockets.push(held);
    drop(share);
    carry(client, server_output, connection, true, link);
    carry(server, client_output, connection, false, link);
}

/// Bytes of one direction of a connection that were not passed on yet.
#[derive(Default)]
struct KeptBytes {
    chunks: VecDeque<Vec<u8>>,
    /// The sender has closed its side behind them.
    closed: bool,
    /// The sender has reset the connection.
    reset: bool,
}

/// Starts threads that carry one direction of a connection.
fn carry(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: usize,
    is_from_client: bool,
    link: &Arc<SharedLink>,
) {
    let kept: Arc<Mutex<KeptBytes>> = Arc::default();
    let (reading, reading_link) = (kept.clone(), link.clone());
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        loop {
            let result = from.read(&mut buffer);
            let mut share = reading_link.lock();
            let mut kept = reading.lock().expect("lock");
            match result {
                Ok(0) => kept.closed = true,
                Ok(length) => {
                    if is_from_client && share.holds(connection) {
                        share.kept_bytes += length;
                    }
                    kept.chunks.push_back(buffer[..length].to_vec());
                }
                Err(_) => {
                    kept.chunks.clear();
                    kept.reset = true;
                }
            }
            let ends = kept.closed || kept.reset;
            drop((kept, share));
            reading_link.changed.notify_all();
            if ends {
                return;
            }
        }
    });
    let link = link.clone();
    thread::spawn(move || {
        while let Some(chunk) = next_chunk(&kept, connection, &link) {
            if to.write_all(&chunk).is_err() {
                return;
            }
        }
        let side = if kept.lock().expect("lock").reset { Shutdown::Both } else { Shutdown::Write };
        let _ = to.shutdown(side);
    });
}

/// Waits until bytes may be passed on; none once the sender's side has ended.
fn next_chunk(kept: &Mutex<KeptBytes>, connection: usize, link: &SharedLink) -> Option<Vec<u8>> {
    let mut share = link.lock();
    loop {
        let mut kept = kept.lock().expect("lock");
        if !share.holds(connection) {
            if let Some(chunk) = kept.chunks.pop_front() {
                return Some(chunk);
            }
            if kept.closed || kept.reset || share.ended {
                return None;
            }
        }
        drop(kept);
        share = link.changed.wait(share).expect("lock");
    }
}
