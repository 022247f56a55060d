//! Loads of endpoints, as daemons count them and tell them to each other.

use std::collections::{BTreeMap, HashMap};

use tokio::time::Instant;

use crate::ids::SharedName;

/// One of this daemon's requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunLoad {
    /// Prompt tokens that have not been read yet.
    pub uncached: u64,
    /// Memory that the run takes.
    pub memory: u64,
}

/// Loads of a daemon at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSum {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that have not been read yet.
    pub uncached: u64,
    /// Memory that the runs take.
    pub memory: u64,
}

impl LoadSum {
    /// Adds another sum.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.uncached += other.uncached;
        self.memory += other.memory;
    }
}

/// What another daemon has told of its requests.
#[derive(Debug)]
pub struct ReportedLoads {
    /// When it was heard.
    pub at: Instant,
    /// Its loads, by the numbers of the endpoints.
    pub loads: HashMap<u64, LoadSum>,
    /// Prompt tokens that it has sent to be read since it started, by service.
    pub sent: BTreeMap<SharedName, u64>,
}
