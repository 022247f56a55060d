//! An endpoint that announces its end in the store may end right after an answer. If the answer ends with its
//! connection, that is no crash.

use std::{thread, time::Duration};

use googletest::prelude::*;

use crate::{
    answer_ends::{ClientEnd, EndSite, FIRST_START, WHOLE_CHUNKS, ask, entry, events, manner},
    ending_endpoint::{
        EVENT_PAUSE, EVENTS, EndCause, EndPlace, EndScript, EndingEndpoint, Framing, PLAIN_BODY,
    },
    gateway_site::wait_for,
    platform_standin::PlatformStandin,
};

/// Start time of an endpoint's next start.
const NEXT_START: u64 = FIRST_START + 1;
/// When an endpoint announces its end, after the beginning of an answer.
const NOTICE_DELAY: Duration = Duration::from_millis(100);
/// Time of an answer during which an endpoint announces its end: longer than entries take to be applied.
const ANNOUNCED_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Number of runs of a route's requests at an endpoint, without health checks.
fn runs(endpoint: &EndingEndpoint, route: &str) -> usize {
    let path = format!(" /{route}/");
    endpoint.seen().iter().filter(|request| request.line.contains(&path)).count()
}

/// How an endpoint announces in the store that its process will end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndNotice {
    /// Its entry says that it drains.
    Draining,
    /// Its entry goes.
    Removed,
    /// Its entry is that of its next start, which listens at another address.
    NextStart,
}

impl EndNotice {
    fn put(self, platform: &PlatformStandin, endpoint: &EndingEndpoint, next: &EndingEndpoint) {
        let (id, address) = (endpoint.id(), endpoint.address);
        match self {
            Self::Draining => {
                platform.put("servers", id, entry(address, "draining", FIRST_START));
            }
            Self::Removed => platform.remove("servers", id),
            Self::NextStart => {
                platform.put("servers", id, entry(next.address, "ready", NEXT_START));
            }
        }
    }
}

/// A whole answer that ends with its connection, and whose endpoint announces during the answer that it will
/// end, and ends right after it.
fn check_announced_end(route: &'static str, notice: EndNotice) {
    let ends = manner(Framing::Close, EndPlace::Whole, EndCause::Crash);
    let pieces = if route == "once" { 1 } else { EVENTS as u32 };
    let site = EndSite::start(&[ends], ANNOUNCED_ANSWER_TIME / pieces);
    let next = EndingEndpoint::start("i-next", &EndScript::new(&[WHOLE_CHUNKS]), EVENT_PAUSE);
    let address = site.gateway.clients;
    let client = thread::spawn(move || ask(address, route, "HTTP/1.1"));
    wait_for("the run", || site.endpoints.iter().any(|endpoint| runs(endpoint, route) > 0));
    thread::sleep(NOTICE_DELAY);
    let mut endpoints = site.endpoints.iter();
    let endpoint = endpoints.find(|endpoint| runs(endpoint, route) > 0).expect("run");
    notice.put(&site.platform, endpoint, &next);
    let (answer, end) = client.join().expect("client");
    expect_that!(end, eq(ClientEnd::Closed));
    let whole = if route == "once" { PLAIN_BODY.to_owned() } else { events(1..=EVENTS) };
    expect_that!(answer.text(), eq(&whole));
    let all = site.endpoints.iter().chain([&next]);
    expect_that!(all.map(|endpoint| runs(endpoint, route)).sum::<usize>(), eq(1));
}

macro_rules! announced_end {
    ($($name:ident: $route:literal, $notice:ident;)*) => {$(
        #[googletest::test]
        fn $name() {
            check_announced_end($route, EndNotice::$notice);
        }
    )*};
}

announced_end! {
    once_only_answer_of_an_endpoint_that_drains_is_passed_on: "once", Draining;
    once_only_answer_of_an_endpoint_that_left_the_list_is_passed_on: "once", Removed;
    once_only_answer_of_an_endpoint_with_a_next_start_is_passed_on: "once", NextStart;
    rigid_stream_of_an_endpoint_that_drains_is_passed_on: "rigid", Draining;
    rigid_stream_of_an_endpoint_that_left_the_list_is_passed_on: "rigid", Removed;
    rigid_stream_of_an_endpoint_with_a_next_start_is_passed_on: "rigid", NextStart;
    stream_of_an_endpoint_that_drains_is_passed_on: "stream", Draining;
    stream_of_an_endpoint_that_left_the_list_is_passed_on: "stream", Removed;
    stream_of_an_endpoint_with_a_next_start_is_passed_on: "stream", NextStart;
}
