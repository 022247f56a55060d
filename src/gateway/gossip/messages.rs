//! Messages of a gossip exchange. They hold ages instead of times, so that clocks of different
//! daemons are never compared.

mod endpoint_signals;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;

pub use self::endpoint_signals::{ReportedBrittle, ReportedLimit, ReportedWarning, SentTokens};
use crate::{
    gateway::{
        call::PartId,
        endpoint::EndpointList,
        policy::{
            daemon::{forwarder_choice::ForwarderReport, held_texts::TextId},
            endpoint::endpoint_load::{EndpointLoad, ServiceCounters},
            leader::usage_counts::WindowCounts,
            request::{fingerprint::RequestFingerprint, quota::AccountCounters},
            rollout::{
                rollout_order::{OrderId, TrafficPlan},
                version_counts::RolloutCounts,
            },
        },
    },
    ids::{IncarnationId, SharedName},
    store_position::StorePosition,
};

/// State that a daemon reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonState {
    /// Identifies this start of the daemon.
    pub incarnation: IncarnationId,
    /// Name of its VM.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Address at which it listens for peers.
    pub address: SocketAddr,
    /// Increases with every reported state.
    pub sequence: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// How it carries tunnels to endpoints; none if it carries none.
    pub forwarder: Option<ForwarderReport>,
    /// Its counters.
    pub counters: DaemonCounters,
}

/// Counters of one daemon, or sums over a gossip group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DaemonCounters {
    /// Quota units by account, since the reporting daemon started.
    pub accounts: BTreeMap<SharedName, AccountCounters>,
    /// Requests that began to run, by usage window and account.
    pub windows: BTreeMap<u64, WindowCounts>,
    /// Loads by endpoint number, which is a hash of the endpoint's id.
    pub loads: HashMap<u64, EndpointLoad>,
    /// Counters by service, since the daemon started.
    pub services: BTreeMap<SharedName, ServiceCounters>,
    /// Responses during roll-outs, since the daemon started.
    pub rollouts: RolloutCounts,
}

/// Usage reported by another daemon of the group, which may have ended since.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedUsage {
    /// The daemon that counted it.
    pub incarnation: IncarnationId,
    /// Requests that began to run, by usage window and account.
    pub windows: BTreeMap<u64, WindowCounts>,
}

/// What a daemon knows about another one and passes on to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSummary {
    /// Address at which the other daemon listens for peers.
    pub address: SocketAddr,
    /// Identifies this start of it.
    pub incarnation: IncarnationId,
    /// Time since any daemon last received a message from it, as far as known.
    pub age: Duration,
}

/// A run of a request during which the endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Number of the endpoint.
    pub endpoint: u64,
    /// Time since the run began.
    pub begun_age: Duration,
    /// Time since the run broke off.
    pub crashed_age: Duration,
}

/// What a daemon knows about a request, or a part of prompts, whose runs have crashed endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport<K> {
    /// The request or the part.
    pub suspect: K,
    /// Runs that count towards its quarantine.
    pub runs: Vec<ReportedRun>,
    /// Whether it is quarantined, that is, refused.
    pub is_quarantined: bool,
    /// Trial runs since it was quarantined.
    pub trials: u32,
    /// Time since the newest trial began.
    pub trial_age: Option<Duration>,
    /// Time since a complete response or an operator last cleared it.
    pub cleared_age: Option<Duration>,
}

/// What a daemon knows about a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSummary {
    /// Identifies the order.
    pub order: OrderId,
    /// The service.
    pub service: SharedName,
    /// The version that is being rolled out.
    pub target: SharedName,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Time since the order.
    pub age: Duration,
    /// Store position at which the order was read.
    pub position: StorePosition,
    /// The newest known plan.
    pub plan: TrafficPlan,
    /// Whether a daemon has found the version to be bad.
    pub is_stopped: bool,
}

/// What a daemon knows about the leader lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSummary {
    /// Fencing token of the holder.
    pub fence: u64,
    /// Name of the holder.
    pub holder: SharedName,
    /// How often this holder has renewed the lease.
    pub renewals: u64,
    /// Milliseconds since the newest renewal began.
    pub age_ms: u32,
    /// Number of daemons that the holder knew; 0 if unknown.
    pub daemons: usize,
    /// First usage window that no holder has reported yet; 0 if unknown.
    pub next_window: u64,
}

/// The configuration that a daemon holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationSummary {
    /// The version number that operators give it; 0 if there is none, or from a daemon of the
    /// previous release.
    pub version: u64,
    /// Store position at which it was read.
    pub position: StorePosition,
    /// Its text, if the other side has requested it.
    pub text: Option<SentText>,
    /// Milliseconds since the last read of the store that showed no newer configuration.
    pub proof_age_ms: Option<u32>,
}

/// A text, compressed by `text_codec`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompressedText {
    /// The text that it was compressed against, or `TextId::NO_BASE`.
    pub base: TextId,
    /// The compressed bytes.
    pub data: Bytes,
}

/// A text in the form in which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentText {
    /// Uncompressed.
    Plain(Bytes),
    /// Compressed.
    Compressed(CompressedText),
}

impl SentText {
    /// Number of bytes that are sent.
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

/// The list of endpoints in the form in which it is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum SentEndpoints {
    /// Entry by entry, for daemons of earlier releases.
    Listed(EndpointList),
    /// As a compressed text (see `codec::endpoint_list`).
    Compressed(CompressedText),
}

/// Request for a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextRequest {
    /// Whether the text may be compressed; daemons of earlier releases can't decompress it.
    pub accepts_compressed: bool,
    /// Texts that the requesting daemon keeps, as bases for compression.
    pub bases: Vec<TextId>,
}

/// Long parts that the response should hold. They are sent only on request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestedParts {
    /// Sums over the group of the responding daemon.
    pub group: bool,
    /// The text of its configuration.
    pub configuration: Option<TextRequest>,
    /// Its list of endpoints.
    pub endpoints: Option<TextRequest>,
    /// Usage that other daemons have reported to it.
    pub usage: bool,
    /// Tokens of endpoints' request limits that it doesn't need.
    pub tokens: bool,
}

/// One direction of a gossip exchange.
#[derive(Clone, Debug)]
pub struct GossipMessage {
    /// State of the sender.
    pub state: DaemonState,
    /// Whether the sender is not up to date with its peers yet.
    pub is_starting: bool,
    /// Some other daemons that it knows.
    pub known: Vec<PeerSummary>,
    /// Its configuration.
    pub configuration: ConfigurationSummary,
    /// Store position at which its list of endpoints was read.
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
    pub crashes: Vec<CrashReport<RequestFingerprint>>,
    /// Parts of prompts whose requests have crashed endpoints.
    pub part_crashes: Vec<CrashReport<PartId>>,
    /// Warnings of endpoints in the last seconds.
    pub warnings: Vec<ReportedWarning>,
    /// Request limits of endpoints, including those that have ended in the last seconds.
    pub limits: Vec<ReportedLimit>,
    /// Tokens that the sender lends, if the other side has requested them.
    pub lent: Vec<SentTokens>,
    /// Roll-outs.
    pub rollouts: Vec<RolloutSummary>,
    /// Brittle services.
    pub brittle: Vec<ReportedBrittle>,
}
