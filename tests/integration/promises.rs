//! What must always hold, under failure, with real processes.

use std::{
    net::SocketAddr,
    sync::mpsc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    cases,
    harness::{
        Answer, Deployment, Layout, Stream, completion, eventually, expected, post, stream,
        try_get, try_post,
    },
};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");
const PRESS: (&str, &str) = ("authorization", "Bearer key-press");

/// Starts a caller in a thread and waits until it has some tokens.
fn start_caller(daemon: SocketAddr, key: &'static str, tokens: usize) -> JoinHandle<Stream> {
    let (sender, receiver) = mpsc::channel();
    let caller = std::thread::spawn(move || {
        stream(daemon, key, &completion("moon over the mill", tokens), 0, |count| {
            if count == 10 {
                sender.send(()).expect("the test waits");
            }
        })
    });
    receiver.recv().expect("ten tokens arrive");
    caller
}

/// Goes on with a stream at other daemons until it is whole, as the protocol says.
fn resume(daemons: &[SocketAddr], key: &str, tokens: usize, mut taken: Stream) -> Stream {
    let body = completion("moon over the mill", tokens);
    for round in 0..100 {
        if taken.whole {
            return taken;
        }
        let daemon = daemons[round % daemons.len()];
        let more = stream(daemon, key, &body, taken.tokens.len(), |_| {});
        taken.tokens.extend(more.tokens);
        taken.whole = more.whole;
        std::thread::sleep(Duration::from_millis(50));
    }
    taken
}

#[derive(Clone, Copy)]
enum Blow {
    Kill,
    Freeze,
}

/// Promises 1 and 2: the daemon of a stream is lost without notice; the caller comes
/// back elsewhere and gets the rest, no token twice or missing.
fn stream_survives_its_daemon(blow: Blow, both_ask_elsewhere: bool) {
    const TOKENS: usize = 150;
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-lost", TOKENS);
    match blow {
        Blow::Kill => deployment.daemons[0].kill(),
        Blow::Freeze => deployment.daemons[0].signal("STOP"),
    }
    let others: Vec<SocketAddr> = (1..4).map(|index| deployment.caller(index)).collect();
    let taken = match blow {
        Blow::Kill => caller.join().expect("the caller ends"),
        // A caller of a frozen daemon gives up by itself and asks from the beginning.
        Blow::Freeze => Stream::default(),
    };
    let second = both_ask_elsewhere.then(|| {
        let other = others[1];
        std::thread::spawn(move || resume(&[other], "k-lost", TOKENS, Stream::default()))
    });
    let whole = resume(&others, "k-lost", TOKENS, taken);
    expect_true!(whole.whole);
    expect_that!(whole.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    if let Some(second) = second {
        let second = second.join().expect("the second caller ends");
        expect_that!(second.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    }
    if matches!(blow, Blow::Freeze) {
        deployment.daemons[0].signal("CONT");
    }
}

cases!(stream_survives_its_daemon:
    stream_survives_killed_daemon(Blow::Kill, false),
    stream_survives_killed_daemon_with_two_callers(Blow::Kill, true),
    stream_survives_frozen_daemon(Blow::Freeze, false),
    stream_survives_frozen_daemon_with_two_callers(Blow::Freeze, true),
);

/// Promise 1: tokens already copied are not computed again after a take-over.
#[googletest::test]
fn take_over_goes_on_from_copied_tokens() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-goes-on", 150);
    std::thread::sleep(Duration::from_millis(400));
    deployment.daemons[0].kill();
    let taken = caller.join().expect("the caller ends");
    let before = taken.tokens.len();
    let others: Vec<SocketAddr> = (1..4).map(|index| deployment.caller(index)).collect();
    let whole = resume(&others, "k-goes-on", 150, taken);
    expect_true!(whole.whole);
    let generated: u64 = (0..3).map(|index| deployment.counts(index).generated_tokens).sum();
    // Copies lag by a few tokens; those, and those in flight, are made twice.
    expect_that!(generated, lt(150 + before as u64 / 2 + 15));
}

/// Promise 1: a zone goes, daemons and engines at once, and the next one after it.
#[googletest::test]
fn stream_survives_two_zones_one_after_another() {
    const TOKENS: usize = 200;
    let layout = Layout { daemons: 8, engines: 8, ..Layout::default() };
    let mut deployment = Deployment::start(layout);
    let caller = start_caller(deployment.caller(0), "k-zones", TOKENS);
    let mut taken = Stream::default();
    let mut caller = Some(caller);
    for zone in [0, 1] {
        for index in [zone, zone + 4] {
            deployment.daemons[index].kill();
            deployment.endpoints[index].kill();
        }
        if let Some(first) = caller.take() {
            taken = first.join().expect("the caller ends");
        }
        let daemon = deployment.caller(zone + 1);
        let more = {
            let body = completion("moon over the mill", TOKENS);
            let have = taken.tokens.len();
            let limit = if zone == 0 { 60 } else { usize::MAX };
            let mut seen = 0;
            let (sender, receiver) = mpsc::channel();
            let running = std::thread::spawn(move || {
                stream(daemon, "k-zones", &body, have, |_| {
                    seen += 1;
                    if seen == limit {
                        let _ = sender.send(());
                    }
                })
            });
            if zone == 0 {
                let _ = receiver.recv();
                for index in [1, 5] {
                    deployment.daemons[index].kill();
                    deployment.endpoints[index].kill();
                }
            }
            running.join().expect("the caller ends")
        };
        taken.tokens.extend(more.tokens);
        taken.whole = more.whole;
    }
    let others: Vec<SocketAddr> = [2, 3, 6, 7].map(|index| deployment.caller(index)).to_vec();
    let whole = resume(&others, "k-zones", TOKENS, taken);
    expect_true!(whole.whole);
    expect_that!(whole.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
}

/// Promise 1: the daemon's own VM gets a notice of two seconds; the platform is down.
#[googletest::test]
fn stream_survives_reclaim_of_its_daemon_during_outage() {
    const TOKENS: usize = 600;
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-reclaim", TOKENS);
    deployment.fault(deployment.platform_address(), json!({ "outage": true }));
    let notice = json!({
        "sequence": 1, "vm": "entry-0", "gone_at_ms": willowarch::wall_clock_ms() + 2_500,
    });
    // The notice reaches only another daemon.
    expect_that!(post(deployment.admin(2), "/notices", &[], &notice.to_string()).status, eq(200));
    expect_that!(deployment.daemons[0].wait(), some(eq(0)));
    let taken = caller.join().expect("the caller ends");
    expect_false!(taken.whole);
    let others: Vec<SocketAddr> = (1..4).map(|index| deployment.caller(index)).collect();
    let whole = resume(&others, "k-reclaim", TOKENS, taken);
    expect_true!(whole.whole);
    expect_that!(whole.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
}

/// Promise 2: two accounts use the same key at once, at different daemons.
#[googletest::test]
fn same_key_of_two_accounts_is_two_requests() {
    let deployment = Deployment::start(Layout::default());
    let ask = |daemon: usize, account: (&'static str, &'static str), prompt: &'static str| {
        let address = deployment.caller(daemon);
        let mut body = completion(prompt, 30);
        body["stream"] = json!(false);
        std::thread::spawn(move || {
            let headers = [account, ("idempotency-key", "k-shared")];
            post(address, "/v1/completions", &headers, &body.to_string())
        })
    };
    let mine = ask(0, READER, "my page");
    let theirs = ask(1, PRESS, "their page");
    let text = |answer: &Answer| answer.body["choices"][0]["text"].clone();
    expect_that!(text(&mine.join().expect("an answer")), eq(&json!(expected("my page", 30))));
    expect_that!(text(&theirs.join().expect("an answer")), eq(&json!(expected("their page", 30))));
}

/// Promise 4: one ticket is asked for at every daemon at once; it runs once.
#[googletest::test]
fn ticket_at_every_daemon_at_once_runs_once() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    let answers = ask_everywhere(&deployment, &[0, 1, 2, 3], &ticket);
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{}", answer.text);
    }
    expect_that!(deployment.most_runs(), eq(1));
    let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
    expect_that!(begun, eq(1));
}

fn take_ticket(deployment: &Deployment, daemon: usize) -> String {
    let answer = post(deployment.caller(daemon), "/v1/tickets", &[PRESS], "");
    answer.body["tickets"][0].as_str().expect("a ticket").to_owned()
}

fn ask_once(daemon: SocketAddr, key: &str) -> Option<Answer> {
    let headers = [PRESS, ("idempotency-key", key)];
    try_post(daemon, "/services/tagging/tags", &headers, "{\"panel\":7}")
}

fn ask_everywhere(deployment: &Deployment, daemons: &[usize], key: &str) -> Vec<Answer> {
    let asked: Vec<JoinHandle<Option<Answer>>> = daemons
        .iter()
        .map(|index| {
            let (daemon, key) = (deployment.caller(*index), key.to_owned());
            std::thread::spawn(move || ask_once(daemon, &key))
        })
        .collect();
    let answers = asked.into_iter().map(|asked| asked.join().expect("the caller ends"));
    answers.flatten().collect()
}

/// Promise 4: the holder is killed or frozen while the endpoint works; callers ask the
/// others meanwhile, and the thawed holder afterwards. The endpoint counts one run.
fn holder_lost_while_running_runs_once(blow: Blow) {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    for index in 3..5 {
        deployment.fault(deployment.endpoint(index), json!({ "answer_ms": 600 }));
    }
    let ticket = take_ticket(&deployment, 0);
    let (daemon, key) = (deployment.caller(0), ticket.clone());
    let first = std::thread::spawn(move || ask_once(daemon, &key));
    eventually("the endpoint works", || {
        let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
        (begun == 1).then_some(())
    });
    match blow {
        Blow::Kill => deployment.daemons[0].kill(),
        Blow::Freeze => deployment.daemons[0].signal("STOP"),
    }
    let answers = ask_everywhere(&deployment, &[1, 2, 3], &ticket);
    expect_that!(answers.len(), eq(3));
    for answer in &answers {
        let outcome = &answer.body["outcome"];
        expect_that!(outcome, eq(&json!("unknown")), "{}", answer.text);
    }
    if matches!(blow, Blow::Freeze) {
        deployment.daemons[0].signal("CONT");
        let late = first.join().expect("the caller ends").expect("an answer");
        expect_that!(late.status, eq(200), "{}", late.text);
    }
    expect_that!(deployment.most_runs(), eq(1));
}

cases!(holder_lost_while_running_runs_once:
    holder_killed_while_running_runs_once(Blow::Kill),
    holder_frozen_while_running_runs_once(Blow::Freeze),
);

/// Promises 3 and 4: the holder is killed before the request reaches it. The witness
/// knows that it did not run, and says so.
#[googletest::test]
fn holder_killed_before_dispatch_is_not_run() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    deployment.daemons[0].kill();
    let answer = ask_once(deployment.caller(1), &ticket).expect("an answer");
    expect_that!(answer.body["outcome"], eq(&json!("not-run")), "{}", answer.text);
    expect_that!(answer.retry_after, some(eq("0")));
    expect_that!(deployment.most_runs(), eq(0));
}

/// Promises 3 and 4: the holder is frozen before the request; the others say "not run";
/// thawed, it must not run the ticket after all.
#[googletest::test]
fn thawed_holder_does_not_run_what_was_called_not_run() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    deployment.daemons[0].signal("STOP");
    // A request that waits in the frozen daemon's socket is read when it thaws.
    let (daemon, key) = (deployment.caller(0), ticket.clone());
    let waiting = std::thread::spawn(move || ask_once(daemon, &key));
    std::thread::sleep(Duration::from_millis(200));
    let answer = eventually("the holder is given up", || {
        let answer = ask_once(deployment.caller(1), &ticket)?;
        (answer.body["outcome"] == "not-run").then_some(answer)
    });
    expect_that!(answer.body["detail"].as_str(), some(contains_substring("before dispatching")));
    deployment.daemons[0].signal("CONT");
    let late = waiting.join().expect("the caller ends").expect("an answer");
    expect_that!(late.body["outcome"], eq(&json!("not-run")), "{}", late.text);
    expect_that!(deployment.most_runs(), eq(0));
}

/// Promise 4: a daemon replaced at the same address does not take the old one's ticket.
#[googletest::test]
fn replaced_daemon_does_not_run_old_tickets() {
    let mut deployment = Deployment::start(Layout { daemons: 3, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    expect_that!(
        ask_once(deployment.caller(0), &ticket).map(|answer| answer.status),
        some(eq(200))
    );
    deployment.daemons[0].kill();
    deployment.daemons[0] = deployment.spawn_daemon(0);
    deployment.wait_ready(0);
    let again = ask_once(deployment.caller(0), &ticket).expect("an answer");
    // Its witness was told the answer and gives it out.
    expect_that!(again.status, eq(200), "{}", again.text);
    expect_that!(deployment.most_runs(), eq(1));
}

/// Promise 4: a caller's own key costs one conditional create; the write's answer is
/// lost, and the key is asked for everywhere.
#[googletest::test]
fn own_key_runs_once_though_the_claims_answer_is_lost() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    deployment.fault(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let answers = ask_everywhere(&deployment, &[0, 1, 2, 3], "own-key-1");
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{}", answer.text);
    }
    expect_that!(deployment.most_runs(), eq(1));
    let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
    expect_that!(begun, eq(1));
}

/// Promise 3: with the platform down a key cannot be claimed: "not run", at once, with
/// when to come back; once it is up the same key runs.
#[googletest::test]
fn own_key_during_outage_is_not_run_at_once() {
    let deployment = Deployment::start(Layout::default());
    deployment.fault(deployment.platform_address(), json!({ "outage": true }));
    let asked_at = Instant::now();
    let answer = ask_once(deployment.caller(0), "own-key-2").expect("an answer");
    expect_that!(asked_at.elapsed(), lt(Duration::from_secs(5)));
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    expect_that!(answer.retry_after, some(anything()));
    expect_that!(deployment.most_runs(), eq(0));
    deployment.fault(deployment.platform_address(), json!({ "outage": false }));
    let again = ask_once(deployment.caller(1), "own-key-2").expect("an answer");
    expect_that!(again.status, eq(200), "{}", again.text);
    expect_that!(deployment.most_runs(), eq(1));
}

/// Promises 3 and 4: the endpoint's answer is lost after it ran: "unknown", and asking
/// again anywhere does not run it again.
#[googletest::test]
fn lost_endpoint_answer_is_unknown_and_not_repeated() {
    let deployment = Deployment::start(Layout { plain: 1, ..Layout::default() });
    deployment.fault(deployment.endpoint(3), json!({ "lose_answers": 1 }));
    let ticket = take_ticket(&deployment, 0);
    for daemon in 0..3 {
        let answer = ask_once(deployment.caller(daemon), &ticket).expect("an answer");
        expect_that!(answer.body["outcome"], eq(&json!("unknown")), "{}", answer.text);
    }
    expect_that!(deployment.most_runs(), eq(1));
}

/// Promise 3: endpoints that refuse before starting leave the request not run.
#[googletest::test]
fn endpoints_that_refuse_leave_it_not_run() {
    let deployment = Deployment::start(Layout::default());
    for index in 3..5 {
        deployment.fault(deployment.endpoint(index), json!({ "refuse": true }));
    }
    let answer = ask_once(deployment.caller(0), &take_ticket(&deployment, 0)).expect("an answer");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    expect_that!(deployment.most_runs(), eq(0));
}

/// A ticket of another account neither runs nor reveals anything.
#[googletest::test]
fn foreign_ticket_is_refused() {
    let deployment = Deployment::start(Layout::default());
    let ticket = take_ticket(&deployment, 0);
    let headers = [READER, ("idempotency-key", ticket.as_str())];
    let answer = post(deployment.caller(1), "/services/tagging/tags", &headers, "{}");
    expect_that!(answer.status, eq(422));
    expect_that!(
        ask_once(deployment.caller(2), &ticket).map(|answer| answer.status),
        some(eq(200))
    );
}

/// Promise 5: the notice reaches one daemon, the VM list lags, the platform is down;
/// two seconds later nobody sends the VM anything new.
#[googletest::test]
fn leaving_endpoint_gets_nothing_new() {
    let deployment = Deployment::start(Layout { daemons: 4, engines: 3, ..Layout::default() });
    let faults = json!({ "outage": true, "list_lag_ms": 30_000 });
    deployment.fault(deployment.platform_address(), faults);
    let notice = json!({
        "sequence": 1, "vm": "vm-1", "gone_at_ms": willowarch::wall_clock_ms() + 60_000,
    });
    post(deployment.admin(3), "/notices", &[], &notice.to_string());
    std::thread::sleep(Duration::from_secs(2));
    let before = deployment.counts(1).begun;
    for number in 0..40 {
        let daemon = deployment.caller(number % 4);
        let key = format!("k-leaving-{number}");
        let answer = stream(daemon, &key, &completion("quiet", 2), 0, |_| {});
        expect_true!(answer.whole);
    }
    expect_that!(deployment.counts(1).begun, eq(before));
}

/// Promises 1 and 5: streams on an engine with a notice are moved off it, whole.
#[googletest::test]
fn streams_leave_a_reclaimed_engine_whole() {
    const TOKENS: usize = 300;
    let mut deployment = Deployment::start(Layout { engines: 2, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-moved", TOKENS);
    let busy = (0..2).find(|index| {
        let load = try_get(deployment.endpoint(*index), "/load").unwrap_or_default();
        load["running"].as_u64() > Some(0)
    });
    let busy = busy.expect("one engine is busy");
    let order = json!({ "vm": format!("vm-{busy}"), "seconds": 1.5 });
    post(deployment.platform_address(), "/reclaim", &[], &order.to_string());
    std::thread::sleep(Duration::from_millis(1_500));
    deployment.endpoints[busy].kill();
    let taken = caller.join().expect("the caller ends");
    expect_true!(taken.whole);
    expect_that!(taken.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
}

/// Promise 6: a planned stop waits for what it has; new callers are sent elsewhere.
#[googletest::test]
fn planned_stop_cuts_nothing_off() {
    const TOKENS: usize = 200;
    let mut deployment = Deployment::start(Layout::default());
    let caller = start_caller(deployment.caller(0), "k-stop", TOKENS);
    deployment.daemons[0].signal("TERM");
    eventually("the balancer is told", || {
        let health = crate::harness::get_text(deployment.caller(0), "/healthz");
        (health.as_deref() != Some("ready\n")).then_some(())
    });
    let taken = caller.join().expect("the caller ends");
    expect_true!(taken.whole);
    expect_that!(taken.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    expect_that!(deployment.daemons[0].wait(), some(eq(0)));
}

fn row_version(deployment: &Deployment, daemon: usize, row: &str) -> Option<u64> {
    let status = try_get(deployment.admin(daemon), "/status")?;
    let rows = status["rows"].as_array()?.clone();
    rows.iter().find(|entry| entry[0] == row)?[1].as_u64()
}

fn edited_version(output: &(i32, String)) -> u64 {
    let value: Value = serde_json::from_str(&output.1).expect("JSON");
    value["version"].as_u64().expect("a version")
}

/// Promise 7: an edit is in force everywhere within seconds, also when its answer was
/// lost, and a daemon that starts during an outage has it from its peers.
#[googletest::test]
fn edit_is_in_force_everywhere_and_stays() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    deployment.fault(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let edit = deployment.control(&["--json", "table", "set", "account.reader", "weight=3"]);
    expect_that!(edit.0, eq(0), "{}", edit.1);
    let version = edited_version(&edit);
    let edited_at = Instant::now();
    for daemon in 0..4 {
        eventually("the edit is in force", || {
            (row_version(&deployment, daemon, "account.reader") == Some(version)).then_some(())
        });
    }
    expect_that!(edited_at.elapsed(), lt(Duration::from_secs(7)));
    let outage = json!({ "outage": true });
    deployment.fault(deployment.platform_address(), outage);
    for daemon in 0..4 {
        deployment.daemons[daemon].kill();
        deployment.daemons[daemon] = deployment.spawn_daemon(daemon);
        deployment.wait_ready(daemon);
        expect_that!(row_version(&deployment, daemon, "account.reader"), some(eq(version)));
    }
}

/// Promise 7: two operators edit the same row; exactly one wins, the other is shown both.
#[googletest::test]
fn concurrent_edits_have_one_winner() {
    let deployment = Deployment::start(Layout::default());
    let sheet = deployment.folder.join("table.csv").display().to_string();
    expect_that!(deployment.control(&["table", "out", &sheet]).0, eq(0));
    let edit = deployment.control(&["table", "set", "account.reader", "weight=5"]);
    expect_that!(edit.0, eq(0), "{}", edit.1);
    let text = std::fs::read_to_string(&sheet).expect("the sheet");
    let changed = text.replace("reader,key-reader,1.0", "reader,key-reader,9.0");
    expect_that!(changed, not(eq(&text)));
    std::fs::write(&sheet, changed).expect("the sheet");
    let late = deployment.control(&["table", "edit", &sheet]);
    expect_that!(late.0, eq(3), "{}", late.1);
    expect_that!(late.1, contains_substring("\"weight\":9.0"));
    expect_that!(late.1, contains_substring("\"weight\":5"));
    // The declaration does not overwrite it either.
    let declaration = deployment.folder.join("table.json").display().to_string();
    let applied = deployment.control(&["apply", &declaration]);
    expect_that!(applied.0, eq(3), "{}", applied.1);
    let row = deployment.control(&["table", "get", "account.reader"]);
    expect_that!(row.1, contains_substring("\"weight\":5"));
}

/// Promise 7: two writes over the same version: the object API lets one through, and the
/// other is shown both rows.
#[googletest::test]
fn racing_writes_over_one_version_have_one_winner() {
    use willowarch::control::table::{EditError, TableClient};
    let deployment = Deployment::prepare(Layout { engines: 1, plain: 1, ..Layout::default() });
    let table = TableClient::new(deployment.platform_address());
    let entry = table.read("account.reader").expect("the row");
    let row = |weight: f64| {
        let mut row = entry.value.clone().expect("a value");
        row["weight"] = json!(weight);
        row
    };
    let racing: Vec<_> = (1..=4)
        .map(|weight| {
            let (table, row) = (table.clone(), row(f64::from(weight) + 1.0));
            let version = entry.version;
            std::thread::spawn(move || table.write(&row, version, &json!({})))
        })
        .collect();
    let results: Vec<_> =
        racing.into_iter().map(|racing| racing.join().expect("it ends")).collect();
    expect_that!(results.iter().filter(|result| result.is_ok()).count(), eq(1));
    for result in results.into_iter().filter_map(std::result::Result::err) {
        expect_that!(result, pat!(EditError::Conflict(anything())));
    }
}

/// A mix of streams and tickets, as the callers' stand-in plays it.
fn mix(pace: f64) -> willowarch::standin::callers::RequestMix {
    let entry = |name: &str, kind: &str, service: &str, account: &str| {
        json!({
            "name": name, "weight": 1.0, "kind": kind, "service": service, "path": "tags",
            "api_key": format!("key-{account}"), "account": account,
            "shared_words": 30, "series": 4, "own_words": 8, "max_tokens": 60,
        })
    };
    let entries = [
        entry("stream", "completion", "model", "reader"),
        entry("tag", "once", "tagging", "press"),
    ];
    serde_json::from_value(json!({ "requests_per_s": pace, "entries": entries })).expect("a mix")
}

/// Plays the mix in a thread of its own.
fn play(
    deployment: &Deployment,
    seconds: u64,
) -> JoinHandle<willowarch::standin::callers::CallerReport> {
    let daemons: Vec<SocketAddr> =
        (0..deployment.layout.daemons).map(|index| deployment.caller(index)).collect();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let player = willowarch::standin::callers::CallerPlayer::new(daemons, mix(20.0));
        let playing = player.play(Duration::from_secs(seconds), 3);
        tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), playing)
    })
}

/// Promise 6: all daemons are replaced one after another under load. A caller that
/// follows the protocol sees every request answered, and nothing runs twice.
#[googletest::test]
fn rolling_replacement_fails_no_request() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let callers = play(&deployment, 14);
    for index in 0..4 {
        std::thread::sleep(Duration::from_millis(1_000));
        deployment.daemons[index].signal("TERM");
        expect_that!(deployment.daemons[index].wait(), some(eq(0)));
        deployment.daemons[index] = deployment.spawn_daemon(index);
        deployment.wait_ready(index);
    }
    let report = callers.join().expect("the callers end");
    expect_that!(report.answered, eq(report.requests), "{report:?}");
    expect_that!(deployment.most_runs(), eq(1));
}

/// Promises 1, 2 and 4 together: daemons are killed and frozen one after another under
/// load. Streams are all answered, whole; what may not be repeated runs at most once, and
/// each request has an outcome.
#[googletest::test]
fn kills_and_freezes_under_load_lose_no_stream() {
    let mut deployment = Deployment::start(Layout { daemons: 5, ..Layout::default() });
    let callers = play(&deployment, 12);
    for index in [1, 3] {
        std::thread::sleep(Duration::from_millis(1_500));
        deployment.daemons[index].kill();
        deployment.daemons[index + 1].signal("STOP");
        std::thread::sleep(Duration::from_millis(2_000));
        deployment.daemons[index + 1].signal("CONT");
        deployment.daemons[index] = deployment.spawn_daemon(index);
    }
    let report = callers.join().expect("the callers end");
    expect_that!(report.wrong, eq(0), "{report:?}");
    expect_that!(report.not_run, eq(0), "{report:?}");
    expect_that!(report.failed, eq(0), "{report:?}");
    expect_that!(report.answered + report.unknown, eq(report.requests), "{report:?}");
    expect_that!(deployment.most_runs(), eq(1));
}

/// Promise 6: the daemon that stops only follows the request, which another one holds.
#[googletest::test]
fn planned_stop_of_a_follower_cuts_nothing_off() {
    const TOKENS: usize = 250;
    let mut deployment = Deployment::start(Layout::default());
    let caller = start_caller(deployment.caller(0), "k-follow", TOKENS);
    let daemon = deployment.caller(1);
    let (sender, receiver) = mpsc::channel();
    let follower = std::thread::spawn(move || {
        stream(daemon, "k-follow", &completion("moon over the mill", TOKENS), 0, |count| {
            if count == 20 {
                sender.send(()).expect("the test waits");
            }
        })
    });
    receiver.recv().expect("twenty tokens arrive");
    deployment.daemons[1].signal("TERM");
    for taken in [follower, caller].map(|caller| caller.join().expect("the caller ends")) {
        expect_true!(taken.whole);
        expect_that!(taken.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    }
    expect_that!(deployment.daemons[1].wait(), some(eq(0)));
}

/// Promise 7: the platform answers slowly, then shows its objects as they were before the
/// edits, to daemons that list them anew. Nothing goes back, and nothing vanishes.
#[googletest::test]
fn stale_lists_of_a_slow_platform_revert_nothing() {
    let deployment = Deployment::start(Layout::default());
    let created = json!([
        { "kind": "account", "name": "reader", "api_key": "key-reader", "weight": 4.0 },
        { "kind": "account", "name": "press", "api_key": "key-press" },
        { "kind": "account", "name": "kiosks", "api_key": "key-kiosks" },
        { "kind": "service", "name": "model", "service_type": "model" },
        { "kind": "service", "name": "tagging", "service_type": "plain", "repeatable": false },
    ]);
    let file = deployment.folder.join("more.json");
    std::fs::write(&file, created.to_string()).expect("a declaration");
    deployment.fault(deployment.platform_address(), json!({ "delay_ms": 300 }));
    let applied = deployment.control(&["apply", &file.display().to_string()]);
    expect_that!(applied.0, eq(0), "{}", applied.1);
    let versions = |daemon| {
        ["account.reader", "account.kiosks"].map(|row| row_version(&deployment, daemon, row))
    };
    let newest = eventually("the rows are in force", || {
        let first = versions(0);
        let everywhere = (0..3).all(|daemon| versions(daemon) == first);
        (everywhere && first[1].is_some()).then_some(first)
    });
    // An outage makes the watchers list anew; what they are shown is old.
    deployment.fault(deployment.platform_address(), json!({ "outage": true }));
    std::thread::sleep(Duration::from_millis(800));
    let stale = json!({ "outage": false, "delay_ms": 0, "stale_reads": 12, "stale_by": 3 });
    deployment.fault(deployment.platform_address(), stale);
    eventually("the watchers have listed what is old", || {
        let faults = post(deployment.platform_address(), "/faults", &[], "{}").body;
        (faults["stale_reads"].as_u64() < Some(10)).then_some(())
    });
    std::thread::sleep(Duration::from_secs(2));
    for daemon in 0..3 {
        expect_that!(versions(daemon), eq(newest));
        // The time line shows that nothing went back in between either.
        let events = try_get(deployment.admin(daemon), "/timeline?subject=account.reader");
        let events = events.expect("a time line").as_array().cloned().unwrap_or_default();
        let in_force: Vec<u64> = events
            .iter()
            .filter_map(|event| event["detail"].as_str()?.strip_prefix("version ")?.parse().ok())
            .collect();
        expect_that!(in_force.len(), ge(2));
        expect_true!(in_force.is_sorted(), "{in_force:?}");
    }
}

/// Promises 1 and 2: a daemon freezes with several streams; callers of each ask all the
/// other daemons at once, which take over from each other. Every caller gets its answer.
#[googletest::test]
fn rival_take_overs_leave_no_caller_waiting() {
    const TOKENS: usize = 60;
    const KEYS: usize = 12;
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let _holders: Vec<_> = (0..KEYS)
        .map(|number| {
            let daemon = deployment.caller(0);
            std::thread::spawn(move || {
                let body = completion("moon over the mill", TOKENS);
                stream(daemon, &format!("k-rival-{number}"), &body, 0, |_| {})
            })
        })
        .collect();
    eventually("the streams run", || (deployment.metric(0, "attempts") >= 12.0).then_some(()));
    deployment.daemons[0].signal("STOP");
    let (sender, receiver) = mpsc::channel();
    for number in 0..KEYS {
        for index in 1..4 {
            let (daemon, sender) = (deployment.caller(index), sender.clone());
            std::thread::spawn(move || {
                let key = format!("k-rival-{number}");
                let taken = resume(&[daemon], &key, TOKENS, Stream::default());
                let _ = sender.send(taken.tokens.concat());
            });
        }
    }
    for _ in 0..KEYS * 3 {
        let text = receiver.recv_timeout(crate::harness::PATIENCE);
        expect_that!(text, ok(eq(&expected("moon over the mill", TOKENS))));
        if text.is_err() {
            break;
        }
    }
}
