//! Partitions some daemons from all endpoint stand-ins, while clients, the store and the other daemons
//! still reach them. A stand-in asks here what to do with a connection.
//!
//! Daemons connect from the same loopback address, so the process at the other end of a connection is
//! looked up in `/proc`.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    sync::Mutex,
};

/// Column of `/proc/net/tcp` with the local address of a socket, and the one with its inode.
const ADDRESS_COLUMN: usize = 1;
const INODE_COLUMN: usize = 9;

/// What happens to the connections of a partitioned daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionManner {
    /// Open connections and new ones are closed.
    Closed,
    /// Open connections and new ones stay open, and carry nothing.
    Silent,
    /// Open connections work, and new ones are closed.
    NewClosed,
}

#[derive(Debug, Default)]
struct Partition {
    /// Process ids of the daemons that can be partitioned.
    daemons: Vec<u32>,
    cut: Vec<u32>,
    manner: Option<PartitionManner>,
}

/// The partition that is in effect.
#[derive(Debug, Default)]
pub struct LinkFaults {
    partition: Mutex<Partition>,
}

impl LinkFaults {
    /// Sets the process ids of the daemons that can be partitioned.
    pub fn set_daemons(&self, daemons: Vec<u32>) {
        self.partition.lock().expect("lock").daemons = daemons;
    }

    /// Partitions the daemons with these process ids.
    pub fn partition(&self, daemons: &[u32], manner: PartitionManner) {
        let mut partition = self.partition.lock().expect("lock");
        partition.cut = daemons.to_vec();
        partition.manner = Some(manner);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.partition.lock().expect("lock").manner = None;
    }

    /// What happens to connections of the daemon with this process id.
    pub fn manner(&self, daemon: Option<u32>) -> Option<PartitionManner> {
        let partition = self.partition.lock().expect("lock");
        partition.manner.filter(|_| daemon.is_some_and(|daemon| partition.cut.contains(&daemon)))
    }

    /// Process id of the daemon that has opened this connection, if it is one that can be partitioned.
    pub fn daemon_of(&self, accepted: &TcpStream) -> Option<u32> {
        let daemons = self.partition.lock().expect("lock").daemons.clone();
        if daemons.is_empty() {
            return None;
        }
        let link = format!("socket:[{}]", inode_of(accepted.peer_addr().ok()?)?);
        daemons.into_iter().find(|daemon| has_open(*daemon, &link))
    }
}

/// Inode of the socket with this local address.
fn inode_of(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_le_bytes(address.ip().octets());
    let hex = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let sockets = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut own = sockets.filter(|columns| columns.get(ADDRESS_COLUMN) == Some(&hex.as_str()));
    own.find_map(|columns| columns.get(INODE_COLUMN).map(|inode| (*inode).to_owned()))
}

/// Whether a process has a file open to which `/proc` links by this text.
fn has_open(process: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    let mut targets = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    targets.any(|target| target.as_os_str() == link)
}
