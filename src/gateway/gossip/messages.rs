//! Messages of a gossip exchange. Ages are relative, so
//! that no clock of another daemon is ever compared with the own one.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    gateway::{
        endpoint::EndpointList,
        policy::{
            daemon::held_texts::TextId,
            endpoint::{
                endpoint_load::{EndpointLoad, ServiceCounters},
                signal_ledger::{NumberedStart, WarningKind},
            },
            leader::usage_counts::WindowCounts,
            request::{fingerprint::RequestFingerprint, quota::AccountCounters},
        },
    },
    ids::{IncarnationId, SharedName},
    store_position::StorePosition,
};

/// State that a daemon reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonState {
    /// This start of it.
    pub incarnation: IncarnationId,
    /// Name of its VM.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Rises with every state.
    pub sequence: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its counters.
    pub counters: DaemonCounters,
}

/// Counters of one daemon, or sums over a gossip group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonCounters {
    /// Quota units by account, since the reporting daemon started.
    pub accounts: BTreeMap<SharedName, AccountCounters>,
    /// Requests that began to run, by window and account.
    pub windows: BTreeMap<u64, WindowCounts>,
    /// Loads, by the numbers of the endpoints.
    pub loads: HashMap<u64, EndpointLoad>,
    /// Counters by service, since the daemon started.
    pub services: BTreeMap<SharedName, ServiceCounters>,
}

/// Usage that another daemon of the group, which may have ended since, has reported.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedUsage {
    /// The start of the daemon that counted it.
    pub incarnation: IncarnationId,
    /// Requests that began to run, by window and account.
    pub windows: BTreeMap<u64, WindowCounts>,
}

/// What a daemon knows of another one, passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSummary {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// This start of it.
    pub incarnation: IncarnationId,
    /// How long ago its last message arrived.
    pub age: Duration,
}

/// A run of a request under which its endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Number of the endpoint.
    pub endpoint: u64,
    /// How long ago it began.
    pub begun_age: Duration,
    /// How long ago it broke.
    pub crashed_age: Duration,
}

/// What a daemon knows of a request whose runs have crashed endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestFingerprint,
    /// Runs that count against it.
    pub runs: Vec<ReportedRun>,
    /// Whether it is refused.
    pub is_quarantined: bool,
    /// Trials since then.
    pub trials: u32,
    /// How long ago the newest trial began.
    pub trial_age: Option<Duration>,
    /// How long ago it was last cleared.
    pub cleared_age: Option<Duration>,
}

/// What an endpoint has said in a response to some daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedWarning {
    /// The start of the endpoint that said so.
    pub start: NumberedStart,
    /// What it said.
    pub kind: WarningKind,
    /// How long ago.
    pub age: Duration,
}

/// What an endpoint has said of its limit in a response to some daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLimit {
    /// The start of the endpoint that said so.
    pub start: NumberedStart,
    /// Requests a second that it takes from all daemons; none if it takes as many as come.
    pub limit: Option<f64>,
    /// How long ago.
    pub age: Duration,
}

/// What a daemon knows of the leader lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSummary {
    /// Fence of the holder.
    pub fence: u64,
    /// Name of the holder.
    pub holder: SharedName,
    /// Number of its newest renewal.
    pub renewals: u64,
    /// Milliseconds since that renewal began.
    pub age_ms: u32,
    /// Daemons that the holder knew of; 0 if not known.
    pub daemons: usize,
    /// First usage window that no holder has reported yet; 0 if not known.
    pub next_window: u64,
}

/// The configuration that a daemon holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationSummary {
    /// The operators' version; 0 if there is none, or from a daemon of the last release.
    pub version: u64,
    /// Where the store stood when it held it.
    pub position: StorePosition,
    /// Its text, if the other side has requested it.
    pub text: Option<SentText>,
    /// Milliseconds since the store was asked that showed no newer one.
    pub proof_age_ms: Option<u32>,
}

/// A text, compressed by `text_codec`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompressedText {
    /// The text that it was compressed against, or `TextId::NO_BASE`.
    pub base: TextId,
    /// What the codec wrote.
    pub data: Bytes,
}

/// A text as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentText {
    /// As it is.
    Plain(Bytes),
    /// Compressed.
    Compressed(CompressedText),
}

impl SentText {
    /// Bytes that are sent.
    pub fn len(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Compressed(text) => text.data.len(),
        }
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The list of endpoints as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum SentEndpoints {
    /// Entry by entry, for daemons of earlier releases.
    Listed(EndpointList),
    /// As a text (`codec::endpoint_list`).
    Compressed(CompressedText),
}

/// Request for a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextRequest {
    /// Whether it may be compressed; daemons of earlier releases can't read that.
    pub accepts_compressed: bool,
    /// Texts that the requesting daemon keeps.
    pub bases: Vec<TextId>,
}

/// Long parts that the response should hold; they are sent on request only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestedParts {
    /// Sums over the group of the responding daemon.
    pub group: bool,
    /// Text of its configuration.
    pub configuration: Option<TextRequest>,
    /// Its list of endpoints.
    pub endpoints: Option<TextRequest>,
    /// Usage that others have reported to it.
    pub usage: bool,
}

/// One direction of a gossip exchange.
#[derive(Clone, Debug)]
pub struct GossipMessage {
    /// State of the sender.
    pub state: DaemonState,
    /// Whether the sender does not know yet what its peers know.
    pub is_starting: bool,
    /// Some other daemons that it knows.
    pub known: Vec<PeerSummary>,
    /// Its configuration.
    pub configuration: ConfigurationSummary,
    /// Where the store stood when it held its list of endpoints.
    pub endpoint_position: StorePosition,
    /// The list, if the other side has requested it.
    pub endpoints: Option<SentEndpoints>,
    /// The lease, if any is known.
    pub lease: Option<LeaseSummary>,
    /// Parts that the response should hold.
    pub wants: RequestedParts,
    /// Sums over the sender's group, if the other side has requested them.
    pub group: Option<DaemonCounters>,
    /// Usage that others have reported to the sender, if the other side has requested it.
    pub usage: Vec<RelayedUsage>,
    /// Requests whose runs have crashed endpoints.
    pub crashes: Vec<CrashReport>,
    /// What endpoints have said in the last seconds.
    pub warnings: Vec<ReportedWarning>,
    /// Limits that endpoints name, and those that have ended in the last seconds.
    pub limits: Vec<ReportedLimit>,
}
