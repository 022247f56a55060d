//! All requests that this daemon runs or keeps a copy of, until they expire.
//!
//! A record's `takeovers` counts how often the request was taken over (`term` in the peer
//! schema). Updates with a lower count are dropped. A holder that was paused while another daemon
//! took the request over therefore learns that it has been superseded, and nothing that it sends
//! changes the response that clients get.

mod stored_request;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    call::ClientCall,
    copy::{RequestCopy, RequestHolder, ResponseToken},
    outcome::FinalResponse,
    response_log::{ResponseLog, ResponseView, TokenText},
    store::stored_request::{StoredRequest, token_bytes},
};
use crate::ids::RequestName;

/// Result of a client's claim on the name of a request.
#[derive(Clone, Debug)]
pub enum ClaimVerdict {
    /// The request was unknown; it has been created, with this daemon as its holder.
    New,
    /// The request is running at this daemon, or its response is complete here.
    Here,
    /// This daemon has a copy. It runs the request itself unless the holder still does.
    Copied(RequestCopy),
    /// The account used the key for a different request before.
    KeyReused,
}

/// Result of offering a peer's copy.
#[derive(Clone, Debug)]
pub enum OfferVerdict {
    /// The copy was stored.
    Stored,
    /// The copy was not stored, because this known state has precedence.
    Known(RequestCopy),
}

/// Records of requests, within a memory limit.
#[derive(Debug)]
pub struct RequestStore {
    own: RequestHolder,
    keep: Duration,
    byte_limit: usize,
    records: HashMap<RequestName, StoredRequest>,
    expiry: BTreeSet<(Instant, RequestName)>,
    bytes: usize,
}

impl RequestStore {
    /// Creates the empty store of the daemon `own`. Records are kept for `keep` after their last
    /// change, as long as they fit into `byte_limit`.
    pub fn new(own: RequestHolder, keep: Duration, byte_limit: usize) -> Self {
        Self { own, keep, byte_limit, records: HashMap::new(), expiry: BTreeSet::new(), bytes: 0 }
    }

    /// Claims `name` for a client's `call`.
    pub fn claim(
        &mut self,
        name: &RequestName,
        call: &Arc<ClientCall>,
        now: Instant,
    ) -> ClaimVerdict {
        let digest = call.digest();
        if let Some(record) = self.records.get_mut(name) {
            if record.digest() != digest {
                return ClaimVerdict::KeyReused;
            }
            record.call.get_or_insert_with(|| call.clone());
            if record.is_answered() || record.is_running_at(&self.own) {
                return ClaimVerdict::Here;
            }
            return ClaimVerdict::Copied(record.copy_from(name, 0));
        }
        let holder = self.own.clone();
        self.insert(name, Some(call.clone()), digest, 0, holder, now);
        ClaimVerdict::New
    }

    /// Makes this daemon the holder, which counts as one more take-over. Returns the state from
    /// which the request continues.
    pub fn take_over(&mut self, name: &RequestName, now: Instant) -> Option<RequestCopy> {
        let own = self.own.clone();
        let record = self.records.get_mut(name)?;
        record.change(|log| {
            log.takeovers += 1;
            log.holder = own;
            log.response = None;
        });
        let copy = record.copy_from(name, 0);
        self.touch(name, now);
        Some(copy)
    }

    /// Adds a token to a request that this daemon holds. Returns `false` if the number of
    /// take-overs or the holder has changed since, or if the request has ended.
    pub fn append(&mut self, name: &RequestName, takeovers: u32, token: ResponseToken) -> bool {
        let Some(record) = self.records.get_mut(name) else { return false };
        if !record.is_running_since(&self.own, takeovers) {
            return false;
        }
        let added = token_bytes(&token);
        record.change(|log| log.tokens.push(&token));
        record.bytes += added;
        self.bytes += added;
        true
    }

    /// Ends a request that this daemon holds. Returns `false` if the number of take-overs or the
    /// holder has changed since, or if it has ended before: its first outcome remains.
    pub fn end(
        &mut self,
        name: &RequestName,
        takeovers: u32,
        response: Arc<FinalResponse>,
        now: Instant,
    ) -> bool {
        let Some(record) = self.records.get_mut(name) else { return false };
        if !record.is_running_since(&self.own, takeovers) {
            return false;
        }
        record.change(|log| log.response = Some(response));
        self.touch(name, now);
        true
    }

    /// Applies a peer's copy, either whole or an update, unless the known state has precedence:
    /// because its response is complete, it has more take-overs, or it has the same number of
    /// take-overs but another holder.
    pub fn offer(&mut self, copy: RequestCopy, now: Instant) -> OfferVerdict {
        let name = copy.name.clone();
        let Some(record) = self.records.get(&name) else { return self.offer_unknown(copy, now) };
        let has_precedence = {
            let log = record.log.borrow();
            let same_holder = log.holder.incarnation == copy.holder.incarnation;
            let newer =
                copy.takeovers > log.takeovers || (copy.takeovers == log.takeovers && same_holder);
            newer && copy.first_token <= log.tokens.len()
        };
        let same_call = copy.digest.is_none_or(|digest| digest == record.digest());
        if record.is_answered() || !has_precedence || !same_call {
            let known = record.copy_from(&name, 0);
            return OfferVerdict::Known(known);
        }
        self.merge(copy, now);
        OfferVerdict::Stored
    }

    fn offer_unknown(&mut self, copy: RequestCopy, now: Instant) -> OfferVerdict {
        let Some(digest) = copy.digest.filter(|_| copy.first_token == 0) else {
            // An update of a request whose record expired here cannot be stored without the
            // tokens before it. The sender then offers the whole state.
            return OfferVerdict::Known(RequestCopy { tokens: Vec::new(), ..copy });
        };
        self.insert(&copy.name, None, digest, copy.takeovers, copy.holder.clone(), now);
        self.merge(copy, now);
        OfferVerdict::Stored
    }

    fn merge(&mut self, copy: RequestCopy, now: Instant) {
        let Some(record) = self.records.get_mut(&copy.name) else { return };
        let mut added = 0;
        record.change(|log| {
            if copy.takeovers > log.takeovers {
                // A new holder may know fewer tokens; those that it produces replace the others.
                log.tokens.truncate(copy.first_token);
                log.response = None;
            }
            log.takeovers = copy.takeovers;
            if log.holder.incarnation != copy.holder.incarnation {
                log.holder = copy.holder;
            }
            let known = log.tokens.len() - copy.first_token;
            for token in copy.tokens.into_iter().skip(known) {
                added += token_bytes(&token);
                log.tokens.push(&token);
            }
            if copy.response.is_some() {
                log.response = copy.response;
            }
        });
        record.bytes += added;
        self.bytes += added;
        self.touch(&copy.name, now);
    }

    /// State of a request with the tokens from `first_token` on.
    pub fn read(&self, name: &RequestName, first_token: usize) -> Option<RequestCopy> {
        Some(self.records.get(name)?.copy_from(name, first_token))
    }

    /// Returns read access to a request's state.
    pub fn view(&self, name: &RequestName) -> Option<ResponseView> {
        let record = self.records.get(name)?;
        Some(record.view(name))
    }

    /// Number of clients and peers that wait for a request's progress.
    pub fn watchers(&self, name: &RequestName) -> usize {
        self.records.get(name).map_or(0, |record| record.watchers())
    }

    /// Removes a request that nobody waits for.
    pub fn remove(&mut self, name: &RequestName) {
        if let Some(record) = self.records.remove(name) {
            self.expiry.remove(&(record.expires_at, name.clone()));
            self.bytes -= record.bytes;
        }
    }

    /// Whole state of each request that is running at this daemon.
    pub fn running(&self) -> Vec<RequestCopy> {
        let own = self.records.iter().filter(|(_, record)| record.is_running_at(&self.own));
        own.map(|(name, record)| record.copy_from(name, 0)).collect()
    }

    /// Removes expired records, and the oldest other ones while the memory limit is exceeded.
    /// Requests that are running at this daemon are kept.
    pub fn expire(&mut self, now: Instant) {
        let mut due: Vec<RequestName> = Vec::new();
        let mut excess = self.bytes.saturating_sub(self.byte_limit);
        for (expires_at, name) in &self.expiry {
            let record = &self.records[name];
            if record.is_running_at(&self.own) {
                continue;
            }
            if *expires_at > now && excess == 0 {
                break;
            }
            excess = excess.saturating_sub(record.bytes);
            due.push(name.clone());
        }
        for name in due {
            self.remove(&name);
        }
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Approximate memory use of the records, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn insert(
        &mut self,
        name: &RequestName,
        call: Option<Arc<ClientCall>>,
        digest: [u8; 32],
        takeovers: u32,
        holder: RequestHolder,
        now: Instant,
    ) {
        let expires_at = now + self.keep;
        let log =
            ResponseLog { digest, takeovers, holder, tokens: TokenText::default(), response: None };
        let record = StoredRequest::new(call, log, expires_at);
        self.bytes += record.bytes;
        self.expiry.insert((expires_at, name.clone()));
        self.records.insert(name.clone(), record);
    }

    fn touch(&mut self, name: &RequestName, now: Instant) {
        let Some(record) = self.records.get_mut(name) else { return };
        self.expiry.remove(&(record.expires_at, name.clone()));
        record.expires_at = now + self.keep;
        self.expiry.insert((record.expires_at, name.clone()));
    }
}
