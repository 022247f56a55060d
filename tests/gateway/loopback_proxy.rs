//! TCP proxy on loopback whose link can go silent or be closed, for faults between processes.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
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
}

/// The running proxy.
pub struct LoopbackProxy {
    pub address: SocketAddr,
    link: Arc<Mutex<LinkState>>,
    ended: Arc<AtomicBool>,
}

impl LoopbackProxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let link = Arc::new(Mutex::new(LinkState::Open));
        let ended = Arc::new(AtomicBool::new(false));
        let proxy = Self { address, link: link.clone(), ended: ended.clone() };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                let (back, forth) = (client.try_clone(), server.try_clone());
                if let (Ok(back), Ok(forth)) = (back, forth) {
                    copy(client, forth, link.clone(), ended.clone());
                    copy(server, back, link.clone(), ended.clone());
                }
            }
        });
        proxy
    }

    pub fn set(&self, state: LinkState) {
        *self.link.lock().expect("lock") = state;
    }
}

impl Drop for LoopbackProxy {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread; it may have ended already.
        let _ = TcpStream::connect(self.address);
    }
}

/// Copies bytes one way until an end, or until the link or the proxy is closed.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    link: Arc<Mutex<LinkState>>,
    ended: Arc<AtomicBool>,
) {
    let _ = from.set_read_timeout(Some(LOOK_EVERY));
    thread::spawn(move || {
        let mut buffer = [0; 16_384];
        loop {
            let state = *link.lock().expect("lock");
            if state == LinkState::Closed || ended.load(Ordering::SeqCst) {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if state == LinkState::Silent {
                thread::sleep(LOOK_EVERY);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) if to.write_all(&buffer[..length]).is_err() => break,
                Ok(_) => {}
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
