//! Large objects of another writer in the lists of the store, or many of them: a daemon on a VM with little memory reads
//! the lists, and holds no more of them than it needs.

use serde_json::json;

use crate::{crowd_site::CrowdSite, gateway_site::wait_for};

/// Objects of another writer in a list.
struct OtherObjects {
    count: usize,
    /// Text in each, in bytes.
    bytes: usize,
    page_size: usize,
}

/// Together they are larger than the VM's memory; each has nearly the most that an object of the store holds.
const LARGE: OtherObjects = OtherObjects { count: 80, bytes: 1024 * 1024 - 1_000, page_size: 1 };
const MANY: OtherObjects = OtherObjects { count: 20_000, bytes: 200, page_size: 500 };

/// Name of one of the objects, behind those in use.
fn object_name(number: usize) -> String {
    format!("z &{number:05}")
}

fn play(kind: &str, objects: &OtherObjects) {
    let mut site = CrowdSite::start();
    site.site.gateway.kill();
    for number in 0..objects.count {
        let value = json!({"note": "x".repeat(objects.bytes)});
        site.site.platform.put(kind, &object_name(number), value);
    }
    site.site.platform.set_page_size(objects.page_size);
    site.site.gateway.start_again();
    site.site.gateway.wait_ready();
    let last_page = objects.count - objects.page_size;
    wait_for("the last page of the list", || {
        let calls = site.site.platform.list_calls();
        let begins_late = |after: &String| *after >= object_name(last_page - 1);
        calls.iter().any(|call| call.kind == kind && call.after.as_ref().is_some_and(begins_late))
    });
    site.expect_served("beside");
    site.expect_sound();
}

macro_rules! daemons_run_out_of_memory_beside_other_objects {
    ($($name:ident: $kind:expr, $objects:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($kind, &$objects);
        }
    )*};
}

daemons_run_out_of_memory_beside_other_objects! {
    large_entries_among_endpoints: "servers", LARGE;
    many_entries_among_endpoints: "servers", MANY;
    large_entries_among_configurations: "config", LARGE;
    many_entries_among_configurations: "config", MANY;
    large_entries_among_logs_of_streams: "gateway-streams", LARGE;
    many_entries_among_logs_of_streams: "gateway-streams", MANY;
}
