//! Decides how many connections of clients a daemon keeps open, and which one is closed for a new one.
//!
//! The number follows from the VM's memory and descriptors, which connections to endpoints, other daemons and the
//! store share. At the limit a connection is closed that serves nobody: first one that is ending, then one that
//! has never had a whole head, an idle one, and one whose request's body has not arrived completely; of each,
//! the one that has been so for the longest. A connection whose request runs, or may run, or whose response is not
//! sent completely, is never closed; a request whose body arrives is refused first.
//!
//! Inputs: the VM's size, from the settings; the stage of each connection at this moment.

use tokio::time::Instant;

use crate::gateway::settings::VmSize;

/// Most connections on any VM.
const MAX_CONNECTIONS: u64 = 2_500;
/// Memory of a connection with full buffers and without a body, in bytes.
const CONNECTION_BYTES: u64 = 48 * 1024;
/// Part of the VM's memory that connections may use.
const MEMORY_SHARE: f64 = 1.0 / 4.0;
/// Descriptors that the VM keeps for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that connections may use.
const DESCRIPTOR_SHARE: f64 = 5.0 / 8.0;

/// Most open connections of clients on a VM.
pub fn connection_limit(vm: VmSize) -> usize {
    let memory = vm.memory_bytes as f64 * MEMORY_SHARE / CONNECTION_BYTES as f64;
    let descriptors = vm.descriptors.saturating_sub(FILE_DESCRIPTORS) as f64 * DESCRIPTOR_SHARE;
    // At least one, so that a daemon with wrong settings serves somebody.
    (memory.min(descriptors) as u64).clamp(1, MAX_CONNECTIONS) as usize
}

/// What a connection is used for, in the order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// It has had its last response.
    Ending,
    /// It has never had a whole head.
    New,
    /// It waits for its next request.
    Idle,
    /// The body of its request has not arrived completely.
    Body,
    /// Its request runs, waits for an endpoint, or its response is passed on.
    Running,
}

/// A connection that is open.
#[derive(Clone, Copy, Debug)]
pub struct OpenConnection<I> {
    /// What identifies it.
    pub id: I,
    /// Its stage.
    pub stage: ConnectionStage,
    /// When the stage began.
    pub since: Instant,
}

/// The connection that is closed for a new one, if one may be.
pub fn first_to_close<I>(connections: impl Iterator<Item = OpenConnection<I>>) -> Option<I> {
    let closable = connections.filter(|connection| connection.stage != ConnectionStage::Running);
    closable.min_by_key(|connection| (connection.stage, connection.since)).map(|first| first.id)
}
