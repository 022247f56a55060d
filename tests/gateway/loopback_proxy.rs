//! TCP proxy on loopback that injects network faults between processes: it can stop forwarding, close
//! connections or limit the bandwidth. It can also stop forwarding on the open connections for good
//! while new ones work.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::link_faults::LinkFaults;

/// Interval at which a copying thread checks the state of its link.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does with bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards bytes.
    Open,
    /// Keeps connections open and forwards nothing.
    Silent,
    /// Closes all connections, also new ones.
    Closed,
    /// Forwards this number of bytes per second in total over all connections and both directions.
    Limited(u32),
}

/// State shared by the threads of a proxy.
#[derive(Debug)]
struct ProxyLink {
    state: Mutex<LinkState>,
    /// Number of calls of `silence_open`. A connection that was opened at a lower number forwards
    /// nothing.
    silences: AtomicU64,
    ended: AtomicBool,
    /// Until when a link of limited bandwidth is occupied by bytes already accepted.
    busy_until: Mutex<Instant>,
}

impl ProxyLink {
    fn state(&self) -> LinkState {
        *self.state.lock().expect("lock")
    }

    /// State for a connection that was opened when `silences` was `opened_after`.
    fn state_for(&self, opened_after: u64) -> LinkState {
        match self.silences.load(Ordering::SeqCst) > opened_after {
            true => LinkState::Silent,
            false => self.state(),
        }
    }

    /// Delays bytes that were read just as the link went silent, until it forwards again or is closed.
    fn wait_while_silent(&self, opened_after: u64) {
        while self.state_for(opened_after) == LinkState::Silent && !self.is_closed() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits as long as the link takes to transfer this number of bytes.
    fn wait_for_bandwidth(&self, bytes: usize) {
        let LinkState::Limited(bytes_per_s) = self.state() else { return };
        let time = Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s));
        let mut busy_until = self.busy_until.lock().expect("lock");
        *busy_until = (*busy_until).max(Instant::now()) + time;
        let until = *busy_until;
        drop(busy_until);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn is_closed(&self) -> bool {
        self.state() == LinkState::Closed || self.ended.load(Ordering::SeqCst)
    }
}

/// The running proxy.
pub struct LoopbackProxy {
    pub address: SocketAddr,
    link: Arc<ProxyLink>,
}

impl LoopbackProxy {
    /// Starts a proxy that forwards to `target`.
    pub fn start(target: SocketAddr) -> Self {
        Self::start_behind(target, Arc::default())
    }

    /// The same, with links to daemons that can fail.
    pub fn start_behind(target: SocketAddr, faults: Arc<LinkFaults>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let link = Arc::new(ProxyLink {
            state: Mutex::new(LinkState::Open),
            silences: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            busy_until: Mutex::new(Instant::now()),
        });
        let proxy = Self { address, link: link.clone() };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if link.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (link, faults) = (link.clone(), faults.clone());
                thread::spawn(move || forward(client, target, &link, &faults));
            }
        });
        proxy
    }

    pub fn set(&self, state: LinkState) {
        *self.link.state.lock().expect("lock") = state;
    }

    /// Stops forwarding on all open connections without closing them; new connections work.
    pub fn silence_open(&self) {
        self.link.silences.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for LoopbackProxy {
    fn drop(&mut self) {
        self.link.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, so that it ends; it may have ended already.
        let _ = TcpStream::connect(self.address);
    }
}

/// Forwards a connection unless its daemon is partitioned.
fn forward(client: TcpStream, target: SocketAddr, link: &Arc<ProxyLink>, faults: &LinkFaults) {
    if faults.closes(&client) {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let (back, forth) = (client.try_clone(), server.try_clone());
    if let (Ok(back), Ok(forth)) = (back, forth) {
        spawn_copy(client, forth, link.clone());
        spawn_copy(server, back, link.clone());
    }
}

/// Starts a thread that copies bytes in one direction, until either side closes its connection or
/// the link is closed.
fn spawn_copy(mut from: TcpStream, mut to: TcpStream, link: Arc<ProxyLink>) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let opened_after = link.silences.load(Ordering::SeqCst);
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        loop {
            if link.is_closed() {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => {
                    link.wait_while_silent(opened_after);
                    link.wait_for_bandwidth(length);
                    if to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                Err(error) if is_retryable(error.kind()) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

fn is_retryable(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
