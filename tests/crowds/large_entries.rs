//! Large objects of another writer in the lists of the store: a daemon on a VM with little memory reads the lists, and
//! holds no more of them than it needs.

use serde_json::json;

use crate::{crowd_site::CrowdSite, gateway_site::wait_for};

/// Number of objects; together they are larger than the VM's memory.
const OBJECTS: usize = 80;
/// Text in an object, in bytes: nearly the most that an object of the store holds.
const OBJECT_BYTES: usize = 1024 * 1024 - 1_000;

/// Name of one of the objects, behind those in use.
fn object_name(number: usize) -> String {
    format!("z-large-{number:02}")
}

fn play(kind: &str) {
    let mut site = CrowdSite::start();
    site.site.gateway.kill();
    for number in 0..OBJECTS {
        let value = json!({"note": "x".repeat(OBJECT_BYTES)});
        site.site.platform.put(kind, &object_name(number), value);
    }
    site.site.platform.set_page_size(1);
    site.site.gateway.start_again();
    site.site.gateway.wait_ready();
    wait_for("the last page of the list", || {
        let calls = site.site.platform.list_calls();
        let last = object_name(OBJECTS - 2);
        calls.iter().any(|call| call.kind == kind && call.after.as_ref() == Some(&last))
    });
    site.expect_served("beside");
    site.expect_sound();
}

macro_rules! daemons_run_out_of_memory_beside_large_objects {
    ($($name:ident: $kind:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($kind);
        }
    )*};
}

daemons_run_out_of_memory_beside_large_objects! {
    large_entries_among_endpoints: "servers";
    large_entries_among_configurations: "config";
    large_entries_among_logs_of_streams: "gateway-streams";
}
