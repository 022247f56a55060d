//! All requests that this daemon holds or keeps a copy of, until they expire.
//!
//! A record's `term` counts take-overs. Updates of a lower term are dropped, so a
//! holder that was paused over its replacement learns that it is superseded, and
//! nothing that it sends changes what callers are given.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::{sync::watch, time::Instant};

use super::{call::CallerCall, outcome::FinalAnswer};
use crate::ids::{IncarnationId, RequestName, SharedName};

/// Token of an answer.
pub type AnswerToken = Arc<str>;

/// Bookkeeping bytes of a record, beside its texts.
const RECORD_BYTES: usize = 400;

/// Who runs a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHolder {
    /// Incarnation of the daemon.
    pub incarnation: IncarnationId,
    /// Where its peers reach it.
    pub address: SharedName,
}

/// State of one request, or the news of it since an earlier state.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCopy {
    /// Its name.
    pub name: RequestName,
    /// Number of take-overs.
    pub term: u32,
    /// Who runs it.
    pub holder: RequestHolder,
    /// The call; only needed where the receiver may not know it.
    pub call: Option<Arc<CallerCall>>,
    /// Index in the answer of the first of `tokens`.
    pub first_token: usize,
    /// Tokens from `first_token` on.
    pub tokens: Vec<AnswerToken>,
    /// Final outcome, if it has ended.
    pub answer: Option<Arc<FinalAnswer>>,
}

/// How far a request has come, for those who wait on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    /// Tokens known.
    pub tokens: usize,
    /// Whether it has ended.
    pub ended: bool,
}

#[derive(Debug)]
struct StoredRequest {
    call: Arc<CallerCall>,
    digest: [u8; 32],
    term: u32,
    holder: RequestHolder,
    tokens: Vec<AnswerToken>,
    answer: Option<Arc<FinalAnswer>>,
    progress: watch::Sender<RequestProgress>,
    expires_at: Instant,
    bytes: usize,
}

/// What a daemon finds when a caller names a request.
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
    /// A state that goes before it is known.
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

    /// Claims `name` for a caller that asks for `call`.
    pub fn claim(
        &mut self,
        name: &RequestName,
        call: &Arc<CallerCall>,
        now: Instant,
    ) -> ClaimVerdict {
        let digest = call.digest();
        if let Some(record) = self.records.get(name) {
            if record.digest != digest {
                return ClaimVerdict::KeyReused;
            }
            let running_here = record.answer.is_none() && record.holder == self.own;
            if record.is_answered() || running_here {
                return ClaimVerdict::Here;
            }
            return ClaimVerdict::Copied(record.copy_from(name, 0));
        }
        let holder = self.own.clone();
        self.insert(name, call.clone(), 0, holder, now);
        ClaimVerdict::New
    }

    /// Makes this daemon the holder, one term later; returns the state it goes on from.
    pub fn take_over(&mut self, name: &RequestName, now: Instant) -> Option<RequestCopy> {
        let own = self.own.clone();
        let record = self.records.get_mut(name)?;
        record.term += 1;
        record.holder = own;
        record.answer = None;
        record.announce();
        let copy = record.copy_from(name, 0);
        self.touch(name, now);
        Some(copy)
    }

    /// Adds a token to a request that this daemon holds under `term`. `false` if it
    /// was superseded meanwhile.
    pub fn append(&mut self, name: &RequestName, term: u32, token: AnswerToken) -> bool {
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        if record.term != term || record.holder != self.own || record.answer.is_some() {
            return false;
        }
        let added = token.len() + size_of::<AnswerToken>();
        record.tokens.push(token);
        record.bytes += added;
        self.bytes += added;
        record.announce();
        true
    }

    /// Ends a request that this daemon holds under `term`. The first end stands.
    pub fn end(
        &mut self,
        name: &RequestName,
        term: u32,
        answer: Arc<FinalAnswer>,
        now: Instant,
    ) -> bool {
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        if record.term != term || record.holder != self.own || record.answer.is_some() {
            return false;
        }
        record.answer = Some(answer);
        record.announce();
        self.touch(name, now);
        true
    }

    /// Takes a peer's copy, whole or news, unless a state that goes before is known.
    pub fn offer(&mut self, copy: RequestCopy, now: Instant) -> OfferVerdict {
        let name = copy.name.clone();
        let Some(record) = self.records.get(&name) else {
            return self.offer_unknown(copy, now);
        };
        let same_holder = record.holder == copy.holder;
        let ended = record.is_answered();
        let newer = copy.term > record.term || (copy.term == record.term && same_holder);
        let same_call = copy.call.as_ref().is_none_or(|call| call.digest() == record.digest);
        if ended || !newer || !same_call || copy.first_token > record.tokens.len() {
            let known = record.copy_from(&name, 0);
            return OfferVerdict::Known(known);
        }
        self.merge(copy, now);
        OfferVerdict::Stored
    }

    fn offer_unknown(&mut self, copy: RequestCopy, now: Instant) -> OfferVerdict {
        let Some(call) = copy.call.clone().filter(|_| copy.first_token == 0) else {
            // NOTE: news of a request that expired here; without its call and its
            // beginning there is nothing to keep. The sender offers it whole again.
            return OfferVerdict::Known(RequestCopy { tokens: Vec::new(), call: None, ..copy });
        };
        self.insert(&copy.name, call, copy.term, copy.holder.clone(), now);
        self.merge(copy, now);
        OfferVerdict::Stored
    }

    fn merge(&mut self, copy: RequestCopy, now: Instant) {
        let Some(record) = self.records.get_mut(&copy.name) else {
            return;
        };
        if copy.term > record.term {
            // NOTE: a new holder may know fewer tokens; its own are the answer from here.
            record.tokens.truncate(copy.first_token);
            record.answer = None;
        }
        record.term = copy.term;
        record.holder = copy.holder;
        let known = record.tokens.len() - copy.first_token;
        let mut added = 0;
        for token in copy.tokens.into_iter().skip(known) {
            added += token.len() + size_of::<AnswerToken>();
            record.tokens.push(token);
        }
        if let Some(answer) = copy.answer {
            record.answer = Some(answer);
        }
        record.bytes += added;
        self.bytes += added;
        record.announce();
        self.touch(&copy.name, now);
    }

    /// State of a request from `first_token` on.
    pub fn read(&self, name: &RequestName, first_token: usize) -> Option<RequestCopy> {
        Some(self.records.get(name)?.copy_from(name, first_token))
    }

    /// Watches how far a request comes.
    pub fn watch(&self, name: &RequestName) -> Option<watch::Receiver<RequestProgress>> {
        Some(self.records.get(name)?.progress.subscribe())
    }

    /// Number of callers and peers that wait on a request.
    pub fn watchers(&self, name: &RequestName) -> usize {
        self.records.get(name).map_or(0, |record| record.progress.receiver_count())
    }

    /// Drops a request that nobody was promised an answer to.
    pub fn remove(&mut self, name: &RequestName) {
        if let Some(record) = self.records.remove(name) {
            self.expiry.remove(&(record.expires_at, name.clone()));
            self.bytes -= record.bytes;
        }
    }

    /// Whole state of each request that this daemon holds and that has not ended.
    pub fn running(&self) -> Vec<RequestCopy> {
        let own = self
            .records
            .iter()
            .filter(|(_, record)| record.holder == self.own && record.answer.is_none());
        own.map(|(name, record)| record.copy_from(name, 0)).collect()
    }

    /// Forgets what has expired, and the oldest ended records while memory is short.
    pub fn expire(&mut self, now: Instant) {
        let mut due: Vec<RequestName> = Vec::new();
        let mut excess = self.bytes.saturating_sub(self.byte_limit);
        for (expires_at, name) in &self.expiry {
            let record = &self.records[name];
            let running_here = record.holder == self.own && record.answer.is_none();
            if running_here {
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
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes that the records take, roughly.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn insert(
        &mut self,
        name: &RequestName,
        call: Arc<CallerCall>,
        term: u32,
        holder: RequestHolder,
        now: Instant,
    ) {
        let bytes = RECORD_BYTES + content_bytes(&call);
        let expires_at = now + self.keep;
        let digest = call.digest();
        let record = StoredRequest {
            call,
            digest,
            term,
            holder,
            tokens: Vec::new(),
            answer: None,
            progress: watch::Sender::new(RequestProgress::default()),
            expires_at,
            bytes,
        };
        self.bytes += bytes;
        self.expiry.insert((expires_at, name.clone()));
        self.records.insert(name.clone(), record);
    }

    fn touch(&mut self, name: &RequestName, now: Instant) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        self.expiry.remove(&(record.expires_at, name.clone()));
        record.expires_at = now + self.keep;
        self.expiry.insert((record.expires_at, name.clone()));
    }
}

impl StoredRequest {
    /// Whether the endpoint's answer is complete; other ends may be followed by another
    /// try, since only requests that may be repeated are stored.
    fn is_answered(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.is_answered())
    }

    fn copy_from(&self, name: &RequestName, first_token: usize) -> RequestCopy {
        let first_token = first_token.min(self.tokens.len());
        RequestCopy {
            name: name.clone(),
            term: self.term,
            holder: self.holder.clone(),
            call: Some(self.call.clone()),
            first_token,
            tokens: self.tokens[first_token..].to_vec(),
            answer: self.answer.clone(),
        }
    }

    fn announce(&self) {
        let progress = RequestProgress { tokens: self.tokens.len(), ended: self.answer.is_some() };
        self.progress.send_replace(progress);
    }
}

fn content_bytes(call: &CallerCall) -> usize {
    match &call.content {
        super::call::CallContent::Completion(completion) => completion.prompt.len(),
        super::call::CallContent::Plain(plain) => plain.path.len() + plain.body.len(),
    }
}
