//! Stand-in for a store that lists objects whose names may not be text, one a page, or whose pages don't advance.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::JoinHandle,
};

use percent_encoding::percent_decode_str;
use serde_json::Value;
use tiny_http::{Request, Response, Server};

/// How a list is read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageOrder {
    /// After the name that a call states.
    AfterName,
    /// From the start again, whatever a call states.
    StartsOver,
    /// Between two pages in turn.
    Alternates,
    /// Each further page is empty and says that there are more.
    Empty,
}

/// An object of the list.
#[derive(Clone, Debug)]
struct ListedItem {
    /// Code points by which the list is sorted, which may be those of a part of a surrogate pair.
    sort_key: Vec<u32>,
    /// JSON text.
    text: String,
}

/// The running stand-in.
pub struct ListStandin {
    pub address: SocketAddr,
    calls: Arc<AtomicUsize>,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl ListStandin {
    /// Lists an object for each of these JSON strings.
    pub fn start(names: &[String], order: PageOrder) -> Self {
        let mut items: Vec<ListedItem> = names.iter().map(|name| named_item(name)).collect();
        items.sort_by(|one, other| one.sort_key.cmp(&other.sort_key));
        Self::start_with(items, 1, order)
    }

    /// Lists these JSON texts, in this order, in pages of `page_size`. Those without a name belong to the object
    /// before them.
    pub fn start_texts(texts: &[&str], page_size: usize) -> Self {
        let mut items: Vec<ListedItem> = Vec::new();
        for text in texts {
            let former = items.last().map(|item| item.sort_key.clone()).unwrap_or_default();
            let parsed: Value = serde_json::from_str(text).unwrap_or_default();
            let name = parsed["metadata"]["name"].as_str();
            let sort_key = name.map_or(former, |name| code_points(name).collect());
            items.push(ListedItem { sort_key, text: (*text).to_owned() });
        }
        Self::start_with(items, page_size, PageOrder::AfterName)
    }

    fn start_with(items: Vec<ListedItem>, page_size: usize, order: PageOrder) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("bind"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let calls = Arc::<AtomicUsize>::default();
        let (served, counted) = (server.clone(), calls.clone());
        let thread = std::thread::spawn(move || {
            while let Ok(request) = served.recv() {
                let call = counted.fetch_add(1, Ordering::SeqCst);
                answer(request, call, &items, page_size, order);
            }
        });
        Self { address, calls, server, thread: Some(thread) }
    }

    /// Number of calls so far.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

impl Drop for ListStandin {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn code_points(text: &str) -> impl Iterator<Item = u32> {
    text.chars().map(u32::from)
}

/// An object whose name is this JSON string, which may hold one escaped part of a surrogate pair.
fn named_item(name: &str) -> ListedItem {
    let text = format!(r#"{{"metadata":{{"name":{name},"revision":1}},"spec":{{}}}}"#);
    let sort_key = match serde_json::from_str::<String>(name) {
        Ok(name) => code_points(&name).collect(),
        Err(_) => {
            let inner = name.trim_matches('"');
            let (before, rest) = inner.split_once("\\u").expect("an escape");
            let (digits, after) = rest.split_at(4);
            let surrogate = u32::from_str_radix(digits, 16).expect("digits");
            code_points(before).chain([surrogate]).chain(code_points(after)).collect()
        }
    };
    ListedItem { sort_key, text }
}

fn answer(request: Request, call: usize, items: &[ListedItem], page_size: usize, order: PageOrder) {
    let after = request.url().split_once("after-rev=").map(|(_, name)| {
        let name = percent_decode_str(name).decode_utf8_lossy();
        code_points(&name).collect::<Vec<u32>>()
    });
    let begin = match (order, after) {
        (PageOrder::AfterName, Some(after)) => items.partition_point(|item| item.sort_key <= after),
        (PageOrder::Empty, Some(_)) => items.len(),
        (PageOrder::Alternates, _) => call % 2,
        _ => 0,
    };
    let end = (begin + page_size).min(items.len());
    let page: Vec<&str> = items[begin..end].iter().map(|item| item.text.as_str()).collect();
    let more = end < items.len() || order != PageOrder::AfterName;
    let body = format!(r#"{{"items":[{}],"more":{more},"at":7}}"#, page.join(","));
    let _ = request.respond(Response::from_string(body));
}
