//! Connections to the store that carry nothing any more, without a reset.

use googletest::prelude::*;
use serde_json::json;
use willowarch::platform::store::StoreClient;

use crate::{loopback_proxy::LoopbackProxy, platform_standin::PlatformStandin};

const KIND: &str = "config";

/// Open connections to the store went silent for good while new ones worked. The call that was
/// under way ended at its limit, and the next one took another connection of the pool, which was
/// as silent: a daemon was then without the store for 1.2 s more.
#[tokio::test]
async fn call_after_one_that_was_not_answered_goes_over_a_new_connection() {
    let platform = PlatformStandin::start();
    platform.put(KIND, "main", json!({"version": 1}));
    let link = LoopbackProxy::start(platform.address);
    let store = StoreClient::new(link.address);
    // Two calls at once leave two connections in the pool.
    let (first, second) = tokio::join!(store.list(KIND), store.list(KIND));
    assert_that!((first.is_ok(), second.is_ok()), eq((true, true)));
    link.silence_open();
    assert_that!(store.list(KIND).await.is_ok(), eq(false));
    assert_that!(store.list(KIND).await.is_ok(), eq(true));
}
