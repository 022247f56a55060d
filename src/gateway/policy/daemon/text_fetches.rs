//! Requests for texts to peers, and how they end.

use std::net::SocketAddr;

use super::held_texts::HeldVersions;
use crate::store_position::StorePosition;

/// Daemons to request texts from now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TextFetches {
    /// For the configuration.
    pub configuration: Option<SocketAddr>,
    /// For the list of endpoints.
    pub endpoints: Option<SocketAddr>,
}

impl TextFetches {
    /// The daemons, each once.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let configuration = self.configuration;
        let endpoints = self.endpoints.filter(|one| Some(*one) != configuration);
        configuration.into_iter().chain(endpoints)
    }
}

/// How a request for a text ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The text has arrived.
    Received,
    /// The daemon asked is sending it to another one first.
    Withheld,
    /// No response in time, or the connection broke.
    Failed,
    /// A text has arrived that this daemon can't read.
    Unreadable,
}

impl FetchOutcome {
    /// Of a response that held a text of version `sent`, or none, after which this daemon holds
    /// `held`.
    fn of_response<V: Ord>(sent: Option<V>, held: V) -> Self {
        match sent {
            None => Self::Withheld,
            Some(sent) if sent <= held => Self::Received,
            Some(_) => Self::Unreadable,
        }
    }

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Withheld => "withheld",
            Self::Failed => "failed",
            Self::Unreadable => "unreadable",
        }
    }
}

/// Versions of the texts that a response holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentVersions {
    /// Of the configuration, if it was sent.
    pub configuration: Option<u64>,
    /// Of the list of endpoints, if it was sent.
    pub endpoints: Option<StorePosition>,
}

/// How the requests in one call ended; of those that were not made it says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchOutcomes {
    /// For the configuration.
    pub configuration: FetchOutcome,
    /// For the list of endpoints.
    pub endpoints: FetchOutcome,
}

impl FetchOutcomes {
    /// Of a call that failed.
    pub const FAILED: Self =
        Self { configuration: FetchOutcome::Failed, endpoints: FetchOutcome::Failed };

    /// Of a response that held the texts `sent`, after which this daemon holds `held`.
    pub fn of_response(sent: SentVersions, held: HeldVersions) -> Self {
        Self {
            configuration: FetchOutcome::of_response(sent.configuration, held.configuration),
            endpoints: FetchOutcome::of_response(sent.endpoints, held.endpoints),
        }
    }
}
