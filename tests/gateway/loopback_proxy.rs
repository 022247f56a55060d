//! TCP proxy on loopback whose link can go silent, be closed or carry little, for faults between
//! processes. Open connections can go silent for good while new ones work.

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

/// Time after which a copying thread checks the state of its link again.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What the proxy does with bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Passes them on.
    Open,
    /// Keeps connections open and passes nothing on.
    Silent,
    /// Closes connections, old and new.
    Closed,
    /// Carries so many bytes a second, over all connections and both ways.
    Thin(u32),
}

/// What the threads of one proxy share.
#[derive(Debug)]
struct ProxyLink {
    state: Mutex<LinkState>,
    /// Connections that were opened before this many silences are silent.
    silences: AtomicU64,
    ended: AtomicBool,
    /// Until when a thin link is taken.
    taken_until: Mutex<Instant>,
}

impl ProxyLink {
    fn state(&self) -> LinkState {
        *self.state.lock().expect("lock")
    }

    /// State for a connection that was opened after so many silences.
    fn state_for(&self, opened_after: u64) -> LinkState {
        match self.silences.load(Ordering::SeqCst) > opened_after {
            true => LinkState::Silent,
            false => self.state(),
        }
    }

    /// Holds bytes that were read as the link went silent, until it is open or closed.
    fn wait_while_silent(&self, opened_after: u64) {
        while self.state_for(opened_after) == LinkState::Silent && !self.is_closed() {
            thread::sleep(LOOK_EVERY);
        }
    }

    /// Waits as long as the link takes to carry so many bytes.
    fn carry(&self, bytes: usize) {
        let LinkState::Thin(bytes_per_s) = self.state() else { return };
        let time = Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s));
        let mut taken_until = self.taken_until.lock().expect("lock");
        *taken_until = (*taken_until).max(Instant::now()) + time;
        let until = *taken_until;
        drop(taken_until);
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
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let link = Arc::new(ProxyLink {
            state: Mutex::new(LinkState::Open),
            silences: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            taken_until: Mutex::new(Instant::now()),
        });
        let proxy = Self { address, link: link.clone() };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if link.ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                let (back, forth) = (client.try_clone(), server.try_clone());
                if let (Ok(back), Ok(forth)) = (back, forth) {
                    copy(client, forth, link.clone());
                    copy(server, back, link.clone());
                }
            }
        });
        proxy
    }

    pub fn set(&self, state: LinkState) {
        *self.link.state.lock().expect("lock") = state;
    }

    /// All open connections pass nothing on any more, without a reset; new ones work.
    pub fn silence_open(&self) {
        self.link.silences.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for LoopbackProxy {
    fn drop(&mut self) {
        self.link.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread; it may have ended already.
        let _ = TcpStream::connect(self.address);
    }
}

/// Copies bytes one way until an end, or until the link or the proxy is closed.
fn copy(mut from: TcpStream, mut to: TcpStream, link: Arc<ProxyLink>) {
    let _ = from.set_read_timeout(Some(LOOK_EVERY));
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
                    link.carry(length);
                    if to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                Err(error) if is_pause(error.kind()) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

fn is_pause(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
