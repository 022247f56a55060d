//! Partitions some daemons from all endpoint stand-ins, while clients, the store and the other daemons
//! still reach them. A stand-in asks here what to do with a connection.
//!
//! Daemons connect from the same loopback address, so the process at the other end of a connection is
//! looked up in `/proc`. Endpoints listen at an IPv6 address, since the table of the other sockets is far
//! longer and takes long to read.

use std::{
    collections::HashSet,
    fs,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Columns of `/proc/net/tcp6`: the local address of a socket, and its inode.
const COLUMN_OF_LOCAL: usize = 1;
const COLUMN_OF_INODE: usize = 9;
/// Time after which a connection over a silent link is closed.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// The table may lack a socket while others open and close: how often it is read.
const LOOKUPS: usize = 2;

/// Binds a listener of an endpoint whose links can fail.
pub fn bind_listener() -> TcpListener {
    let listener = TcpListener::bind("[::1]:0").or_else(|_| TcpListener::bind("127.0.0.1:0"));
    listener.expect("bind")
}

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

/// A partition of some daemons, given by their process ids.
#[derive(Clone, Debug)]
struct Partition {
    daemons: Vec<u32>,
    manner: PartitionManner,
}

/// The partition that is in effect. Connections are looked up only meanwhile, since that takes time.
#[derive(Debug, Default)]
pub struct LinkFaults {
    partition: Mutex<Option<Partition>>,
    /// How long each look-up of a connection took.
    look_ups: Mutex<Vec<Duration>>,
}

impl LinkFaults {
    /// Partitions the daemons with these process ids.
    pub fn partition(&self, daemons: &[u32], manner: PartitionManner) {
        let partition = Partition { daemons: daemons.to_vec(), manner };
        *self.partition.lock().expect("lock") = Some(partition);
    }

    /// Prints how long looking up connections took, which delays their requests.
    pub fn print_look_ups(&self) {
        let mut times = self.look_ups.lock().expect("lock").clone();
        times.sort_unstable();
        let (median, longest) = (times.get(times.len() / 2), times.last());
        println!("{} connections looked up, in {median:?}, at most {longest:?}", times.len());
    }

    /// Ends the partition.
    pub fn heal(&self) {
        *self.partition.lock().expect("lock") = None;
    }

    /// How the daemon that has opened this connection is partitioned.
    pub fn manner(&self, accepted: &TcpStream) -> Option<PartitionManner> {
        let Partition { daemons, manner } = self.partition.lock().expect("lock").clone()?;
        let begun = Instant::now();
        let is_cut = (0..LOOKUPS).any(|_| {
            let Some(inode) = inode_at_other_end(accepted) else { return false };
            let link = format!("socket:[{inode}]");
            daemons.iter().any(|daemon| has_open(*daemon, &link))
        });
        self.look_ups.lock().expect("lock").push(begun.elapsed());
        is_cut.then_some(manner)
    }

    /// The daemons' ends of connections that the partition closes and that are open now, as they stand in the
    /// tables of sockets. Found at once for all connections: looking up each takes seconds.
    pub fn cut_ends(&self) -> HashSet<String> {
        let partition = self.partition.lock().expect("lock").clone();
        match partition {
            Some(Partition { daemons, manner: PartitionManner::Closed }) => ends_of(&daemons),
            _ => HashSet::new(),
        }
    }

    /// Whether there is a partition that silences links.
    pub fn is_silent(&self) -> bool {
        let partition = self.partition.lock().expect("lock");
        partition.as_ref().is_some_and(|one| one.manner == PartitionManner::Silent)
    }

    /// Whether a new connection is to be closed, after a while if its link is silent.
    pub fn closes(&self, accepted: &TcpStream) -> bool {
        let manner = self.manner(accepted);
        if manner == Some(PartitionManner::Silent) {
            thread::sleep(SILENT_TIME);
        }
        manner.is_some()
    }
}

/// Inode of the socket at the other end of an accepted connection.
fn inode_at_other_end(accepted: &TcpStream) -> Option<String> {
    let local = accepted.peer_addr().ok()?;
    let remote = accepted.local_addr().ok()?;
    let path = if local.is_ipv6() { "/proc/net/tcp6" } else { "/proc/net/tcp" };
    let table = fs::read_to_string(path).ok()?;
    let from = table.find(&format!("{} {} ", table_address(local), table_address(remote)))?;
    let inode = table[from..].split_whitespace().nth(COLUMN_OF_INODE - COLUMN_OF_LOCAL);
    inode.map(str::to_owned)
}

/// Local addresses of all sockets that these processes have open.
fn ends_of(processes: &[u32]) -> HashSet<String> {
    let links: HashSet<String> =
        processes.iter().flat_map(|process| open_files(*process)).collect();
    let tables = ["/proc/net/tcp", "/proc/net/tcp6"].map(fs::read_to_string);
    let tables = tables.into_iter().flatten().collect::<Vec<_>>().join("\n");
    let local_address = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let link = format!("socket:[{}]", columns.get(COLUMN_OF_INODE)?);
        links.contains(&link).then(|| columns[COLUMN_OF_LOCAL].to_owned())
    };
    tables.lines().filter_map(local_address).collect()
}

/// An address as it stands in the tables of sockets.
pub fn table_address(address: SocketAddr) -> String {
    let octets = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    let word =
        |bytes: &[u8]| bytes.iter().rev().map(|byte| format!("{byte:02X}")).collect::<String>();
    let ip: String = octets.chunks(4).map(word).collect();
    format!("{ip}:{:04X}", address.port())
}

/// Whether a process has a file open to which `/proc` links by this text.
fn has_open(process: u32, link: &str) -> bool {
    open_files(process).any(|target| target == link)
}

/// What `/proc` links to for each file that a process has open.
fn open_files(process: u32) -> impl Iterator<Item = String> {
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let targets = files.filter_map(|file| fs::read_link(file.path()).ok());
    targets.map(|target| target.to_string_lossy().into_owned())
}
