//! Requests to peers for newer texts, and their outcomes.

use std::net::SocketAddr;

use super::held_texts::HeldVersions;
use crate::store_position::StorePosition;

/// Daemons to request texts from now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TextFetches {
    /// The daemon to request the configuration from.
    pub configuration: Option<SocketAddr>,
    /// The daemon to request the list of endpoints from.
    pub endpoints: Option<SocketAddr>,
}

impl TextFetches {
    /// The daemons without duplicates.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let configuration = self.configuration;
        let endpoints = self.endpoints.filter(|one| Some(*one) != configuration);
        configuration.into_iter().chain(endpoints)
    }
}

/// Outcome of a request for a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The text has arrived.
    Received,
    /// The peer responded without the text, because it is still sending one to another daemon.
    Withheld,
    /// No response in time, or the connection broke.
    Failed,
    /// The text has arrived, but this daemon can't read it.
    Unreadable,
}

impl FetchOutcome {
    /// Outcome of a call whose response held a text of version `sent`, if any; `held` is the
    /// version that this daemon holds after applying the response.
    fn of_response<V: Ord>(sent: Option<V>, held: V) -> Self {
        match sent {
            None => Self::Withheld,
            Some(sent) if sent <= held => Self::Received,
            Some(_) => Self::Unreadable,
        }
    }

    /// Value of the `outcome` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Withheld => "withheld",
            Self::Failed => "failed",
            Self::Unreadable => "unreadable",
        }
    }
}

/// Versions of the texts in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentVersions {
    /// Version of the configuration, if it was sent.
    pub configuration: Option<u64>,
    /// Store position of the list of endpoints, if it was sent.
    pub endpoints: Option<StorePosition>,
}

/// Outcomes of the requests in one call. The outcome of a request that was not made has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchOutcomes {
    /// Outcome of the request for the configuration.
    pub configuration: FetchOutcome,
    /// Outcome of the request for the list of endpoints.
    pub endpoints: FetchOutcome,
}

impl FetchOutcomes {
    /// Outcomes of a call that failed.
    pub const FAILED: Self =
        Self { configuration: FetchOutcome::Failed, endpoints: FetchOutcome::Failed };

    /// Outcomes of a call whose response held the texts `sent`; `held` are the versions that this
    /// daemon holds after applying the response.
    pub fn of_response(sent: SentVersions, held: HeldVersions) -> Self {
        Self {
            configuration: FetchOutcome::of_response(sent.configuration, held.configuration),
            endpoints: FetchOutcome::of_response(sent.endpoints, held.endpoints),
        }
    }
}
