//! Stand-in for the users' platform: a metadata store and a cloud API that follow the published
//! protocols. The library's own stand-ins (`willowarch::standin`) speak the protocol of the native
//! interface, which differs in every call.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

/// Number of threads that answer calls: enough for a few daemons, as each waiting watch occupies one.
const THREADS: usize = 24;

#[derive(Clone, Debug)]
struct StoredEntry {
    revision: u64,
    /// Revision at which it was created.
    made: u64,
    status: Arc<str>,
    /// Kept as serialized JSON, because long values are sent often.
    spec: Arc<str>,
}

#[derive(Clone, Debug)]
struct StoredEvent {
    revision: u64,
    kind: String,
    name: String,
    gone: bool,
}

/// Objects of the operator and the endpoints whose latest writes a store has lost.
pub struct LostObjects {
    /// The value before the loss and the value in the copy; `None` where the object did not exist.
    objects: BTreeMap<(String, String), [Option<Arc<str>>; 2]>,
}

/// Kinds of the objects that the operator and the endpoints write.
const EXTERNAL_KINDS: [&str; 2] = ["config", "servers"];

/// Longest delay of the answer to an order for the slow zone. It is shorter than the callers'
/// timeout.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(900);

/// A call that the cloud API has received.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
}

/// A call for one page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListCall {
    pub kind: String,
    /// Name after which the page was to begin.
    pub after: Option<String>,
}

/// Contents of the store. A store that is restored from a copy of them loses all later writes.
#[derive(Clone, Default)]
struct StoreContents {
    revision: u64,
    objects: BTreeMap<(String, String), StoredEntry>,
    events: Vec<StoredEvent>,
}

#[derive(Default)]
struct PlatformState {
    contents: StoreContents,
    copy: StoreContents,
    /// Store era in the header of all answers, if there is one.
    era: Option<u64>,
    /// Events up to this revision are no longer kept.
    forgotten: u64,
    down: bool,
    cloud_calls: Vec<CloudCall>,
    /// Zone whose orders the cloud answers only once an order for another zone arrives, or after
    /// `MAX_ORDER_DELAY`.
    slow_zone: Option<String>,
    /// Whether an order for another zone arrived while one for the slow zone was delayed.
    overtaken: bool,
    /// Number of next writes that are carried out but not answered.
    lose_answers: usize,
    /// Most objects on a page of a list; all are on one if there is no limit.
    page_size: Option<usize>,
    list_calls: Vec<ListCall>,
    /// Kind and name of the object that no call may read or write.
    refused_object: Option<(String, String)>,
}

/// The running stand-in.
pub struct PlatformStandin {
    pub address: SocketAddr,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
    server: Arc<Server>,
    threads: Vec<JoinHandle<()>>,
}

impl PlatformStandin {
    pub fn start() -> Self {
        Self::start_with(THREADS)
    }

    /// Starts a stand-in that answers up to `threads` calls at once.
    pub fn start_with(threads: usize) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("bind"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let state: Arc<(Mutex<PlatformState>, Condvar)> = Arc::default();
        let threads = (0..threads)
            .map(|_| {
                let (server, state) = (server.clone(), state.clone());
                std::thread::spawn(move || {
                    while let Ok(request) = server.recv() {
                        answer(&state, request);
                    }
                })
            })
            .collect();
        Self { address, state, server, threads }
    }

    /// Writes an object as the operator or an endpoint would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        self.put_text(kind, name, &spec.to_string())
    }

    /// The same with JSON text, whose numbers and nesting may be beyond what `Value` holds.
    pub fn put_text(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.0.lock().expect("lock");
        let revision = state.contents.write_text(kind, name, spec.into());
        self.state.1.notify_all();
        revision
    }

    /// Value of an object, if there is one.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.0.lock().expect("lock");
        let entry = state.contents.objects.get(&(kind.to_owned(), name.to_owned()))?;
        serde_json::from_str(&entry.spec).ok()
    }

    /// Status of an object, if there is one.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.lock();
        let entry = state.contents.objects.get(&(kind.to_owned(), name.to_owned()))?;
        serde_json::from_str(&entry.status).ok()
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("lock");
        state.contents.remove(kind, name);
        self.state.1.notify_all();
    }

    pub fn set_down(&self, down: bool) {
        self.state.0.lock().expect("lock").down = down;
        self.state.1.notify_all();
    }

    pub fn lose_answers(&self, count: usize) {
        self.state.0.lock().expect("lock").lose_answers = count;
    }

    /// Lists objects in pages of at most `size` from now on.
    pub fn set_page_size(&self, size: usize) {
        self.lock().page_size = Some(size);
    }

    /// Answers all calls for this object with 400 from now on.
    pub fn refuse_object(&self, kind: &str, name: &str) {
        self.lock().refused_object = Some((kind.to_owned(), name.to_owned()));
    }

    /// Calls for pages of lists so far.
    pub fn list_calls(&self) -> Vec<ListCall> {
        self.lock().list_calls.clone()
    }

    /// Sends this era in the header of all answers.
    pub fn set_era(&self, era: u64) {
        self.lock().era = Some(era);
    }

    /// Copies the store's contents, in place of the previous copy.
    pub fn copy_contents(&self) {
        let mut state = self.lock();
        state.copy = state.contents.clone();
    }

    /// Restores the contents from the copy and begins a new era. Returns the number of writes that are
    /// lost.
    pub fn restore_copy(&self) -> u64 {
        let mut state = self.lock();
        let lost = state.contents.revision - state.copy.revision;
        state.contents = state.copy.clone();
        state.era = Some(state.era.unwrap_or_default() + 1);
        self.state.1.notify_all();
        lost
    }

    /// Does the same as `restore_copy`, and returns what the operator and the endpoints have to write
    /// again.
    pub fn lose_writes(&self) -> LostObjects {
        let before = self.lock().contents.objects.clone();
        self.restore_copy();
        let after = self.lock().contents.objects.clone();
        let is_external = |key: &&(String, String)| EXTERNAL_KINDS.contains(&key.0.as_str());
        let spec = |of: &BTreeMap<_, StoredEntry>, key| {
            of.get(key).map(|entry: &StoredEntry| entry.spec.clone())
        };
        let keys = before.keys().chain(after.keys()).filter(is_external);
        let all = keys.map(|key| (key.clone(), [spec(&before, key), spec(&after, key)]));
        LostObjects { objects: all.filter(|(_, [lost, copied])| lost != copied).collect() }
    }

    /// Writes the lost objects again, except those that have changed since the restore.
    pub fn write_again(&self, lost: LostObjects) {
        let mut state = self.lock();
        for ((kind, name), [before, copied]) in lost.objects {
            let key = (kind.clone(), name.clone());
            let now = state.contents.objects.get(&key).map(|entry| entry.spec.clone());
            if now != copied {
                continue;
            }
            match before {
                Some(spec) => {
                    state.contents.write_text(&kind, &name, spec);
                }
                None => state.contents.remove(&kind, &name),
            }
        }
        self.state.1.notify_all();
    }

    /// Raises the revision by writes to an object that the gateway doesn't use.
    pub fn write_others(&self, count: u64) {
        for number in 0..count {
            self.put("others", "counter", json!(number));
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.0.lock().expect("lock")
    }

    /// Drops the history, so that waiting watches get status 410 and have to list again.
    pub fn forget_history(&self) {
        let mut state = self.state.0.lock().expect("lock");
        state.contents.revision += 1;
        state.forgotten = state.contents.revision;
        state.contents.events.clear();
        self.state.1.notify_all();
    }

    /// Makes the cloud answer orders for this zone late.
    pub fn slow_orders(&self, zone: &str) {
        self.state.0.lock().expect("lock").slow_zone = Some(zone.into());
    }

    /// Whether an order for another zone arrived while one for the slow zone was delayed.
    pub fn was_overtaken(&self) -> bool {
        self.state.0.lock().expect("lock").overtaken
    }

    pub fn cloud_calls(&self) -> Vec<CloudCall> {
        self.state.0.lock().expect("lock").cloud_calls.clone()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.set_down(true);
        for _ in 0..self.threads.len() {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl StoreContents {
    fn write(&mut self, kind: &str, name: &str, spec: &Value) -> u64 {
        self.write_text(kind, name, spec.to_string().into())
    }

    fn write_text(&mut self, kind: &str, name: &str, spec: Arc<str>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let former = self.objects.get(&key);
        let made = former.map_or(revision, |former| former.made);
        let status = former.map_or(NO_BODY.into(), |former| former.status.clone());
        self.objects.insert(key, StoredEntry { revision, made, status, spec });
        self.push_event(kind, name, false);
        revision
    }

    /// Replaces the status of an object. Nothing changes if it is the same.
    fn write_status(&mut self, kind: &str, name: &str, status: &Value) {
        let status: Arc<str> = status.to_string().into();
        let key = (kind.to_owned(), name.to_owned());
        let Some(entry) = self.objects.get_mut(&key).filter(|entry| entry.status != status) else {
            return;
        };
        self.revision += 1;
        entry.revision = self.revision;
        entry.status = status;
        self.push_event(kind, name, false);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        self.revision += 1;
        self.objects.remove(&(kind.into(), name.into()));
        self.push_event(kind, name, true);
    }

    fn push_event(&mut self, kind: &str, name: &str, gone: bool) {
        let (kind, name) = (kind.into(), name.into());
        self.events.push(StoredEvent { revision: self.revision, kind, name, gone });
    }

    fn object_revision(&self, kind: &str, name: &str) -> Option<u64> {
        let entry = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(entry.revision)
    }

    /// An object as JSON text.
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let StoredEntry { revision, made, status, spec } =
            self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        let metadata = json!({"name": name, "revision": revision, "made": made, "finalizers": [],
            "deleting": false});
        Some(format!(r#"{{"metadata":{metadata},"spec":{spec},"status":{status}}}"#))
    }

    /// A page of the objects whose names come behind `after`.
    fn list(&self, kind: &str, after: Option<&str>, page_size: Option<usize>) -> String {
        let names = self.objects.keys().filter(|(of, _)| of == kind).map(|(_, name)| name);
        let mut rest = names.filter(|name| after.is_none_or(|after| name.as_str() > after));
        let page = rest.by_ref().take(page_size.unwrap_or(usize::MAX));
        let items: Vec<String> = page.filter_map(|name| self.object(kind, name)).collect();
        let (items, more, at) = (items.join(","), rest.next().is_some(), self.revision);
        format!(r#"{{"items":[{items}],"more":{more},"at":{at}}}"#)
    }

    fn events_after(&self, kind: &str, revision: u64) -> Vec<String> {
        let fresh = |event: &&StoredEvent| event.kind == kind && event.revision > revision;
        let show = |event: &StoredEvent| {
            let gone = json!({"metadata": {"name": event.name, "revision": event.revision}});
            let object = self.object(kind, &event.name).unwrap_or(gone.to_string());
            format!(r#"{{"gone":{},"object":{object}}}"#, event.gone)
        };
        self.events.iter().filter(fresh).map(show).collect()
    }
}

/// Body of answers that consist of a status only.
const NO_BODY: &str = "null";

/// The era in the header of answers, if there is one.
type SentEra = Option<u64>;

fn header(text: &str) -> Header {
    text.parse().expect("header")
}

fn respond(request: Request, era: SentEra, status: u16, body: &str) {
    let response = Response::from_string(body).with_status_code(status);
    let mut response = response.with_header(header("content-type: application/json"));
    if let Some(era) = era {
        response.add_header(header(&format!("Store-Era: {era}")));
    }
    let _ = request.respond(response);
}

/// Text of a path segment, decoded.
fn segment_text(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}

/// Value of a query parameter, decoded as that of a form.
fn query_text(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(segment_text(&value.replace('+', " ")))
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

fn answer(shared: &(Mutex<PlatformState>, Condvar), mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let (down, era) = {
        let state = shared.0.lock().expect("lock");
        (state.down, state.era)
    };
    if down {
        return respond(request, era, 503, NO_BODY);
    }
    let segments = path.trim_start_matches('/').split('/');
    let segments: Vec<String> = segments.map(segment_text).collect();
    let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
    match parts.as_slice() {
        ["-", "objects", kind] => answer_kind(shared, request, kind, query, &body),
        ["-", "objects", kind, name] => {
            answer_object(shared, request, kind, name, ObjectPart::Spec, &body);
        }
        ["-", "objects", kind, name, "status"] => {
            answer_object(shared, request, kind, name, ObjectPart::Status, &body);
        }
        ["reports" | "scale"] => answer_cloud(shared, request, path, body),
        _ => respond(request, era, 404, NO_BODY),
    }
}

fn answer_kind(
    shared: &(Mutex<PlatformState>, Condvar),
    request: Request,
    kind: &str,
    query: &str,
    body: &Value,
) {
    let mut state = shared.0.lock().expect("lock");
    if *request.method() == Method::Post {
        let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        if let Some(object) = state.contents.object(kind, &name) {
            let era = state.era;
            drop(state);
            return respond(request, era, 409, &object);
        }
        state.contents.write(kind, &name, &body["spec"]);
        return answer_write(shared, state, request, kind, &name);
    }
    let Some(after) = query_number(query, "watch") else {
        let after = query_text(query, "after-rev");
        state.list_calls.push(ListCall { kind: kind.to_owned(), after: after.clone() });
        let list = state.contents.list(kind, after.as_deref(), state.page_size);
        let era = state.era;
        drop(state);
        return respond(request, era, 200, &list);
    };
    let wait = Duration::from_millis(query_number(query, "wait-ms").unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        let era = state.era;
        if state.down {
            drop(state);
            return respond(request, era, 503, NO_BODY);
        }
        if after < state.forgotten || after > state.contents.revision {
            drop(state);
            return respond(request, era, 410, NO_BODY);
        }
        let events = state.contents.events_after(kind, after);
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let (events, at) = (events.join(","), state.contents.revision);
            let answer = format!(r#"{{"events":[{events}],"at":{at}}}"#);
            drop(state);
            return respond(request, era, 200, &answer);
        }
        state = shared.1.wait_timeout(state, left).expect("lock").0;
    }
}

/// The part of an object that a call replaces.
#[derive(Clone, Copy, PartialEq)]
enum ObjectPart {
    Spec,
    Status,
}

fn answer_object(
    shared: &(Mutex<PlatformState>, Condvar),
    request: Request,
    kind: &str,
    name: &str,
    part: ObjectPart,
    body: &Value,
) {
    let mut state = shared.0.lock().expect("lock");
    let era = state.era;
    let is_refused = |(of, object): &(String, String)| (&**of, &**object) == (kind, name);
    if state.refused_object.as_ref().is_some_and(is_refused) {
        drop(state);
        return respond(request, era, 400, NO_BODY);
    }
    let Some(object) = state.contents.object(kind, name) else {
        drop(state);
        return respond(request, era, 404, NO_BODY);
    };
    if *request.method() == Method::Get {
        drop(state);
        return respond(request, era, 200, &object);
    }
    let expected = body["metadata"]["revision"].as_u64();
    if expected.is_some() && expected != state.contents.object_revision(kind, name) {
        drop(state);
        return respond(request, era, 409, &object);
    }
    match part {
        ObjectPart::Spec => {
            state.contents.write(kind, name, &body["spec"]);
        }
        ObjectPart::Status => state.contents.write_status(kind, name, &body["status"]),
    }
    answer_write(shared, state, request, kind, name);
}

/// Answers a write that was carried out, or closes the connection without an answer if answers are to
/// be lost.
fn answer_write(
    shared: &(Mutex<PlatformState>, Condvar),
    mut state: std::sync::MutexGuard<'_, PlatformState>,
    request: Request,
    kind: &str,
    name: &str,
) {
    let lost = state.lose_answers > 0;
    state.lose_answers = state.lose_answers.saturating_sub(1);
    let (object, era) = (state.contents.object(kind, name).unwrap_or_default(), state.era);
    shared.1.notify_all();
    drop(state);
    match lost {
        true => drop(request.into_writer()),
        false => respond(request, era, 200, &object),
    }
}

fn answer_cloud(
    shared: &(Mutex<PlatformState>, Condvar),
    request: Request,
    path: &str,
    body: Value,
) {
    let header = |name: &str| {
        let found =
            request.headers().iter().find(|header| header.field.equiv(static_header_name(name)));
        found.map(|header| header.value.as_str().to_owned()).unwrap_or_default()
    };
    let call = CloudCall {
        path: path.into(),
        holder: header("X-Duty-Holder"),
        fence: header("X-Fencing-Token").parse().unwrap_or(0),
        body,
    };
    let mut state = shared.0.lock().expect("lock");
    let zone = call.body["zone"].as_str().map(str::to_owned);
    let before = state.cloud_calls.len();
    state.cloud_calls.push(call);
    shared.1.notify_all();
    if zone.is_some() && zone == state.slow_zone {
        let is_for_other_zone = |call: &CloudCall| {
            call.path == "/scale" && call.body["zone"].as_str() != zone.as_deref()
        };
        let no_other_zone =
            |state: &mut PlatformState| !state.cloud_calls[before..].iter().any(is_for_other_zone);
        let waiting = shared.1.wait_timeout_while(state, MAX_ORDER_DELAY, no_other_zone);
        state = waiting.expect("lock").0;
        state.overtaken |= state.cloud_calls[before..].iter().any(is_for_other_zone);
    }
    drop(state);
    respond(request, None, 200, NO_BODY);
}

fn static_header_name(name: &str) -> &'static str {
    match name {
        "X-Duty-Holder" => "X-Duty-Holder",
        _ => "X-Fencing-Token",
    }
}
