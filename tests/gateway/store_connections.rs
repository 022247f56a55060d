//! Connections to the store that stop carrying data without being reset.

use googletest::prelude::*;
use serde_json::json;
use willowarch::platform::store::StoreClient;

use crate::{loopback_proxy::LoopbackProxy, platform_standin::PlatformStandin};

const KIND: &str = "config";

/// All open connections to the store stopped carrying data while new ones worked. The call in
/// progress timed out, and the next one took another connection of the pool, which was just as
/// dead: the daemon could not reach the store for 1.2 s longer.
#[tokio::test]
async fn call_after_one_that_was_not_answered_goes_over_a_new_connection() {
    let platform = PlatformStandin::start();
    platform.put(KIND, "main", json!({"version": 1}));
    let proxy = LoopbackProxy::start(platform.address);
    let store = StoreClient::new(proxy.address);
    // Two calls at once leave two connections in the pool.
    let (first, second) = tokio::join!(store.list(KIND, drop), store.list(KIND, drop));
    assert_that!((first.is_ok(), second.is_ok()), eq((true, true)));
    proxy.silence_open();
    assert_that!(store.list(KIND, drop).await.is_ok(), eq(false));
    assert_that!(store.list(KIND, drop).await.is_ok(), eq(true));
}
