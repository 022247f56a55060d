//! All requests that this daemon holds or keeps a copy of, until they expire.
//!
//! A record's `takeovers` counts how often the request was taken over (`term` in the peer
//! schema). Updates with a lower count are dropped. A holder that was
//! paused while another daemon took its place therefore learns that it is superseded, and
//! nothing that it sends changes what clients are given.

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

/// What a daemon finds when a client names a request.
#[derive(Clone, Debug)]
pub enum ClaimVerdict {
    /// Unknown so far: it now exists here, held by this daemon.
    New,
    /// Known, and held or finished here.
    Here,
    /// Known as a copy; this daemon runs it unless the holder still does.
    Copied(RequestCopy),
    /// The key names another request of the account.
    KeyReused,
}

/// What a peer's copy meets.
#[derive(Clone, Debug)]
pub enum OfferVerdict {
    /// Stored.
    Stored,
    /// A known state has precedence.
    Known(RequestCopy),
}

/// The records, with a bound on their memory.
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
    /// Empty store of the daemon `own`; records are kept for `keep` after their last
    /// change, while they fit into `byte_limit`.
    pub fn new(own: RequestHolder, keep: Duration, byte_limit: usize) -> Self {
        Self { own, keep, byte_limit, records: HashMap::new(), expiry: BTreeSet::new(), bytes: 0 }
    }

    /// Claims `name` for a client that asks for `call`.
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

    /// Makes this daemon the holder, one take-over later; returns the state it goes on from.
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

    /// Adds a token to a request that this daemon holds after so many take-overs. `false` if it
    /// was superseded meanwhile.
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

    /// Ends a request that this daemon holds after so many take-overs. The first end stands.
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

    /// Applies a peer's copy, whole or an update, unless a known state has precedence: one that
    /// is answered, one of a later take-over, or one of the same take-over with another holder.
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
            // An update of a request that expired here: without its beginning there is
            // nothing to keep. The sender offers it whole again.
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
                // A new holder may know fewer tokens; what it produces is the response from here.
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

    /// State of a request from `first_token` on.
    pub fn read(&self, name: &RequestName, first_token: usize) -> Option<RequestCopy> {
        Some(self.records.get(name)?.copy_from(name, first_token))
    }

    /// Reading end of a request's state.
    pub fn view(&self, name: &RequestName) -> Option<ResponseView> {
        let record = self.records.get(name)?;
        Some(record.view(name))
    }

    /// Number of clients and peers that wait on a request.
    pub fn watchers(&self, name: &RequestName) -> usize {
        self.records.get(name).map_or(0, |record| record.watchers())
    }

    /// Drops a request that nobody waits for.
    pub fn remove(&mut self, name: &RequestName) {
        if let Some(record) = self.records.remove(name) {
            self.expiry.remove(&(record.expires_at, name.clone()));
            self.bytes -= record.bytes;
        }
    }

    /// Whole state of each request that this daemon holds and that has not ended.
    pub fn running(&self) -> Vec<RequestCopy> {
        let own = self.records.iter().filter(|(_, record)| record.is_running_at(&self.own));
        own.map(|(name, record)| record.copy_from(name, 0)).collect()
    }

    /// Forgets what has expired, and the oldest ended records while memory is short.
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

    /// Bytes that the records take, roughly.
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
