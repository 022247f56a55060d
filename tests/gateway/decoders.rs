//! Decoders of the platform's formats, with valid and with malformed input.

use googletest::prelude::*;
use hyper::{Request, Response};
use proptest::prelude::*;
use serde_json::{Value, json};
use willowarch::{
    gateway::{
        call::HeadError,
        configuration::RouteKind,
        endpoint::{EndpointState, VALID_SLOTS},
        request::response_meaning::ResponseMeaning,
    },
    platform::{
        configuration, endpoints,
        ingress::{SentRequest, read_head, read_response},
        settings,
        store::object_codec,
    },
    store_position::{StoreEra, StorePosition},
};

fn sample_configuration() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "r-1", "host": "h.example", "path-prefix": "/a/", "kind": "streaming",
             "timeout-ms": 15000, "target-latency-ms": 1000, "priority": 1, "attempts": 2,
             "traffic-split": [{"service": "s-1", "weight": 90}, {"service": "s-2", "weight": 10}],
             "public": false, "session-affinity": true, "stream-resume": true,
             "gap-target-ms": 600, "later-field": {}},
            {"name": "r-2", "host": "h.example", "path-prefix": "/b/", "kind": "non_idempotent",
             "target-latency-ms": 100, "service": "s-2", "public": true},
        ],
        "services": [{"name": "s-1", "health-path": "/health", "max-conns": 250,
            "engine": {"slots": 32, "kv-capacity": 587977, "moves": true, "stride": 6},
            "autoscale": {"min": 1, "max": 10, "boot-s": 4.0, "spot-price": 0.15,
                "zone-prices": {"a": 1.0, "b": 0.8}}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t-1", "api-keys": ["k-1", "k-2"], "priority": 1, "unit": "tokens",
            "plain-tokens": 200, "per-s": 5000, "burst": 7000}],
    })
}

#[googletest::test]
fn configuration_fields_are_decoded() {
    let text = sample_configuration().to_string();
    let read = configuration::decode(text.as_bytes()).expect("decodes");
    expect_that!(read.version, eq(7));
    let stream = read.route("h.example", "/a/x").expect("route");
    expect_that!(stream.kind, eq(RouteKind::Stream { resume: true }));
    expect_that!(stream.services.len(), eq(2));
    expect_that!(stream.attempts, eq(2));
    let once = read.route("h.example", "/b/").expect("route");
    expect_that!(once.kind, eq(RouteKind::Once));
    expect_that!(once.timeout, none());
    expect_that!(once.public, eq(true));
    let account = read.account_of("k-2").expect("account");
    expect_that!(&*account.name, eq("t-1"));
    expect_that!(account.quota.rate, some(eq(5000.0)));
    let service = &read.services["s-1"];
    expect_that!(service.engine.as_ref().expect("engine").memory_tokens, eq(587_977));
    expect_that!(service.fleet.as_ref().expect("fleet").reclaimable_price, some(eq(0.15)));
}

#[googletest::test]
fn endpoint_entries_are_decoded() {
    let entry = json!({"service": "s", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
        "slots": 32, "state": "draining", "cold-left-ms": 0, "use-spot": true, "seq": 3});
    let read = endpoints::decode("i-1".into(), entry.to_string().as_bytes()).expect("decodes");
    expect_that!(read.state, eq(EndpointState::Draining));
    expect_that!(read.reclaimable, eq(true));
    let nameless = json!({"service": "s", "address": "host:80"});
    expect_that!(endpoints::decode("i".into(), nameless.to_string().as_bytes()).is_err(), eq(true));
}

#[googletest::test]
fn endpoint_entries_with_slots_that_no_endpoint_has_are_rejected() {
    let decode = |slots: u64| {
        let entry = json!({"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": slots,
            "state": "ready"});
        endpoints::decode("i-1".into(), entry.to_string().as_bytes())
    };
    let most = u64::from(*VALID_SLOTS.end());
    expect_that!(decode(1).expect("decodes").slots, eq(1));
    expect_that!(decode(most).expect("decodes").slots, eq(*VALID_SLOTS.end()));
    for slots in [0, most + 1, u64::from(u32::MAX), u64::MAX] {
        expect_that!(decode(slots).is_err(), eq(true), "{slots} slots");
    }
}

#[googletest::test]
fn store_pages_and_watch_events_are_decoded() {
    let object = json!({"metadata": {"name": "n", "revision": 4}, "spec": {"a": 1}});
    let page = json!({"items": [object], "more": true, "at": 9});
    let page =
        object_codec::decode_page(StoreEra(2), page.to_string().as_bytes()).expect("decodes");
    expect_that!(page.position, eq(StorePosition::new(StoreEra(2), 9)));
    expect_that!(&*page.objects[0].value, eq("{\"a\":1}"));
    expect_that!(page.has_more, eq(true));
    expect_that!(page.last_name.as_deref(), some(eq(b"n")));
    let events = json!({"events": [{"gone": true, "object": {"metadata": {"name": "n"}}},
        {"gone": false, "object": object}], "at": 12});
    let (changes, at) =
        object_codec::decode_watch(StoreEra(2), events.to_string().as_bytes()).expect("decodes");
    expect_that!(changes.len(), eq(2));
    expect_that!(at, eq(StorePosition::new(StoreEra(2), 12)));
}

/// One unreadable object must not prevent the others of the same page or watch answer from being
/// decoded.
#[googletest::test]
fn objects_that_cannot_be_read_spoil_no_others() {
    let good = r#"{"metadata": {"name": "n", "revision": 4}, "spec": {"a": 1}}"#;
    let nested = format!(
        r#"{{"metadata": {{"name": "d"}}, "spec": {}1{}}}"#,
        "[".repeat(999),
        "]".repeat(999)
    );
    let bad = [r#"5"#, r#"null"#, r#"{"metadata": {"name": 7}}"#, r#"{"metadata": []}"#, &nested];
    for bad in bad {
        let page = format!(r#"{{"items": [{bad}, {good}], "more": false, "at": 9}}"#);
        let page = object_codec::decode_page(StoreEra(2), page.as_bytes()).expect("decodes");
        let names: Vec<&str> = page.objects.iter().map(|object| &*object.name).collect();
        expect_that!(names.contains(&"n"), eq(true), "beside the unreadable object {bad}");
        let watch = format!(
            r#"{{"events": [{{"gone": false, "object": {bad}}},
                {{"gone": false, "object": {good}}}], "at": 9}}"#
        );
        let (changes, _) =
            object_codec::decode_watch(StoreEra(2), watch.as_bytes()).expect("decodes");
        expect_that!(changes.is_empty(), eq(false), "beside the unreadable object {bad}");
    }
}

#[googletest::test]
fn object_with_invalid_utf8_does_not_prevent_decoding_of_others() {
    let mut page = br#"{"items": [{"metadata": {"name": "b"}, "spec": "#.to_vec();
    page.extend(b"\"\xff\xfe\"}, ");
    page.extend(br#"{"metadata": {"name": "n"}, "spec": {}}], "more": false, "at": 9}"#);
    let page = object_codec::decode_page(StoreEra(2), &page).expect("decodes");
    expect_that!(page.objects.len(), eq(2));
}

#[googletest::test]
fn endpoint_entry_with_a_duplicate_field_is_rejected() {
    let entry = r#"{"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 3,
        "state": "ready", "state": "draining"}"#;
    expect_that!(endpoints::decode("i".into(), entry.as_bytes()).is_err(), eq(true));
}

#[googletest::test]
fn settings_errors_name_the_invalid_field() {
    let error = settings::parse("{}").expect_err("empty settings were accepted").to_string();
    expect_that!(error, contains_substring("node"));
    let address = "127.0.0.1:80";
    for key in ["revoke-ms", "config-apply-ms"] {
        let whole = json!({
            "node": "n", "zone": "a", "zones": {"a": "r"}, "port-range": [7600, 7615],
            "listen": {"front": address, "readiness": address, "control": address},
            "bounds": {key: -1}, "platform": {"address": address}, "new": [],
        });
        let error = settings::parse(&whole.to_string())
            .expect_err("settings with a negative bound were accepted")
            .to_string();
        expect_that!(error, contains_substring(format!("bounds.{key}")));
    }
}

fn head_result(headers: &[(&str, &str)]) -> std::result::Result<(), HeadError> {
    let mut request = Request::builder().uri("/a/b?c=1");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).expect("request").into_parts();
    read_head(parts).map(drop)
}

#[googletest::test]
fn invalid_request_heads_are_rejected() {
    let id = ("x-request-id", "r");
    let host = ("host", "h");
    expect_that!(head_result(&[id, host]), ok(eq(())));
    expect_that!(head_result(&[host]), err(eq(HeadError::NoId)));
    expect_that!(head_result(&[id]), err(eq(HeadError::NoHost)));
    expect_that!(head_result(&[id, host, ("host", "other")]), err(eq(HeadError::NoHost)));
    let two = [id, host, ("content-length", "1"), ("transfer-encoding", "chunked")];
    expect_that!(head_result(&two), err(eq(HeadError::AmbiguousLength)));
    expect_that!(head_result(&[id, host, ("upgrade", "h2c")]), err(eq(HeadError::BadMethod)));
    let tokens = [id, host, ("x-token-counts", "1,-2")];
    expect_that!(head_result(&tokens), err(eq(HeadError::BadHeader("X-Token-Counts"))));
}

fn meaning_of(status: u16, headers: &[(&str, &str)]) -> ResponseMeaning {
    meaning_for(false, status, headers)
}

/// Meaning of a response of the endpoint `i-0` to a request that asks for weights, or doesn't.
fn meaning_for(asks_for_weights: bool, status: u16, headers: &[(&str, &str)]) -> ResponseMeaning {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    let request = SentRequest { id: "mine", endpoint: "i-0", asks_for_weights };
    read_response(request, &answer.body(()).expect("answer")).expect("a head").meaning
}

#[googletest::test]
fn responses_are_classified_by_status_and_headers() {
    let (mine, signed) = (("x-request-id", "mine"), ("x-response-seal", "s"));
    expect_that!(meaning_of(200, &[mine, signed]), eq(ResponseMeaning::Ran));
    expect_that!(meaning_of(200, &[mine]), eq(ResponseMeaning::Unacceptable));
    let encoded = ("content-encoding", "gzip");
    expect_that!(meaning_of(200, &[mine, signed, encoded]), eq(ResponseMeaning::Unacceptable));
    expect_that!(meaning_of(200, &[]), eq(ResponseMeaning::Foreign));
    expect_that!(meaning_of(503, &[("x-request-id", "other")]), eq(ResponseMeaning::Foreign));
    expect_that!(meaning_of(503, &[mine, ("x-not-executed", "1")]), eq(ResponseMeaning::NotRun));
    expect_that!(meaning_of(503, &[mine]), eq(ResponseMeaning::Ran));
    expect_that!(meaning_of(421, &[]), eq(ResponseMeaning::OtherEndpoint));
    expect_that!(meaning_of(504, &[mine]), eq(ResponseMeaning::Ran));
}

// Guards against endpoints that are never used again since a client has asked for other weights.
#[googletest::test]
fn misdirected_request_is_told_from_one_for_other_weights() {
    let (mine, other) = (("x-instance-id", "i-0"), ("x-instance-id", "i-1"));
    expect_that!(meaning_for(true, 421, &[mine]), eq(ResponseMeaning::OtherWeights));
    expect_that!(meaning_for(false, 421, &[mine]), eq(ResponseMeaning::OtherWeights));
    expect_that!(meaning_for(true, 421, &[other]), eq(ResponseMeaning::OtherEndpoint));
    expect_that!(meaning_for(true, 421, &[]), eq(ResponseMeaning::OtherWeights));
    expect_that!(meaning_for(false, 421, &[]), eq(ResponseMeaning::OtherEndpoint));
}

/// Returns `value` as JSON text with the value at `place`, counted depth first, replaced by `with`.
fn with_replaced_value(value: &Value, place: usize, with: &Value) -> String {
    fn replace(value: &mut Value, place: &mut usize, with: &Value) {
        if *place == 0 {
            *value = with.clone();
            *place = usize::MAX;
            return;
        }
        *place -= 1;
        match value {
            Value::Array(list) => list.iter_mut().for_each(|item| {
                if *place != usize::MAX {
                    replace(item, place, with);
                }
            }),
            Value::Object(map) => map.values_mut().for_each(|item| {
                if *place != usize::MAX {
                    replace(item, place, with);
                }
            }),
            _ => {}
        }
    }
    let (mut value, mut place) = (value.clone(), place);
    replace(&mut value, &mut place, with);
    value.to_string()
}

fn any_json() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[ -~]{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
    ]
}

proptest! {
    #[test]
    fn decoding_of_damaged_configurations_does_not_panic(place in 1_usize..80, with in any_json()) {
        let _ = configuration::decode(with_replaced_value(&sample_configuration(), place, &with).as_bytes());
    }

    #[test]
    fn decoding_of_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = configuration::decode(&bytes);
        let _ = endpoints::decode("i".into(), &bytes);
        let _ = object_codec::decode_object(StoreEra(2), &bytes);
        let _ = object_codec::decode_page(StoreEra(2), &bytes);
        let _ = object_codec::decode_watch(StoreEra(2), &bytes);
        let _ = settings::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn arbitrary_header_values_do_not_panic(name in 0_usize..7, value in "[ -~]{0,40}") {
        let names = ["x-deadline-ms", "x-token-counts", "x-prompt-prefix", "last-event-id",
            "authorization", "x-length-hint", "connection"];
        let _ = head_result(&[("x-request-id", "r"), ("host", "h"), (names[name], &value)]);
    }
}
