//! Lists of the store that hold objects of another writer, page by page: no such object hides the others, and no
//! list is read without end or taken for whole when it isn't.

use googletest::prelude::*;
use serde_json::json;
use tokio::time::timeout;
use willowarch::{errors::FailureCause, platform::store::StoreClient};

use crate::{
    gateway_site::WAIT_TIMEOUT,
    list_standin::{ListStandin, PageOrder},
    odd_names::odd_names,
};

const KIND: &str = "servers";
/// Characters of a name that a failure shows.
const MAX_SHOWN: usize = 40;
/// Longer than what fits into a URL that `hyper` sends.
const VERY_LONG_NAME: usize = 70_000;

fn json_text(name: &str) -> String {
    json!(name).to_string()
}

/// Names that a store lists, or the cause of the error.
async fn listed_names(standin: &ListStandin) -> std::result::Result<Vec<String>, FailureCause> {
    let store = StoreClient::new(standin.address);
    let mut names = Vec::new();
    let listing = store.list(KIND, |object| names.push(object.name.to_string()));
    let listed = timeout(WAIT_TIMEOUT, listing).await.expect("an end of the list");
    listed.map(|_| names).map_err(|error| error.cause)
}

/// Lists a store with this name, a JSON string, between two usual ones. Each object is on a page of its own.
async fn expect_usual_names_beside(name: &str) {
    let all = [json_text("\u{1}"), name.to_owned(), json_text("\u{10fffe}")];
    let standin = ListStandin::start(&all, PageOrder::AfterName);
    let shown: String = name.chars().take(MAX_SHOWN).collect();
    let listed = listed_names(&standin).await;
    let usual = contains_each![eq("\u{1}"), eq("\u{10fffe}")];
    expect_that!(listed, ok(usual), "beside {shown}");
    expect_that!(standin.calls(), le(all.len()), "calls beside {shown}");
}

#[googletest::test]
#[tokio::test]
async fn odd_name_at_the_end_of_a_page_hides_no_other_object() {
    for name in odd_names() {
        expect_usual_names_beside(&json_text(&name)).await;
    }
}

#[googletest::test]
#[tokio::test]
async fn name_too_long_for_a_url_hides_no_other_object() {
    for character in ["i", "&", "\u{e9}", "\u{1f35e}"] {
        expect_usual_names_beside(&json_text(&character.repeat(VERY_LONG_NAME))).await;
    }
}

#[googletest::test]
#[tokio::test]
async fn name_with_half_a_surrogate_pair_hides_no_other_object() {
    for name in
        [r#""\ud800""#, r#""\udfff""#, r#""i-0\ud83d""#, r#""i-0\udc00-a""#, r#""i-&\udbff+""#]
    {
        expect_usual_names_beside(name).await;
    }
}

#[googletest::test]
#[tokio::test]
async fn nameless_objects_at_the_end_of_a_page_hide_no_other_object() {
    let nested = format!(r#"{{"spec":{}1{}}}"#, "[".repeat(5_000), "]".repeat(5_000));
    for nameless in ["5", "null", "[]", "{}", r#"{"metadata":{"name":7}}"#, &nested] {
        let first = r#"{"metadata":{"name":"a","revision":1}}"#;
        let last = r#"{"metadata":{"name":"b","revision":1}}"#;
        let standin = ListStandin::start_texts(&[first, nameless, last], 2);
        expect_that!(listed_names(&standin).await, ok(elements_are!["a", "b"]));
    }
}

/// What stands behind such a page is not known, so that the objects there must not count as gone.
#[googletest::test]
#[tokio::test]
async fn page_without_names_does_not_end_a_list() {
    let first = r#"{"metadata":{"name":"a","revision":1}}"#;
    let last = r#"{"metadata":{"name":"b","revision":1}}"#;
    let standin = ListStandin::start_texts(&["5", "null", first, last], 2);
    expect_that!(listed_names(&standin).await, err(pat!(FailureCause::Malformed(anything()))));
}

macro_rules! lists_without_end_are_errors {
    ($($name:ident: $order:expr;)*) => {$(
        #[googletest::test]
        #[tokio::test]
        async fn $name() {
            let all = [json_text("a"), json_text("b"), json_text("c")];
            let standin = ListStandin::start(&all, $order);
            let listed = listed_names(&standin).await;
            expect_that!(listed, err(pat!(FailureCause::Malformed(anything()))));
            expect_that!(standin.calls(), le(all.len()));
        }
    )*};
}

lists_without_end_are_errors! {
    list_that_starts_over_is_read_without_end: PageOrder::StartsOver;
    list_that_alternates_is_read_without_end: PageOrder::Alternates;
    list_of_empty_pages_is_taken_for_whole: PageOrder::Empty;
}
