//! Paths of URLs that are built from any text.

use googletest::prelude::*;
use hyper::Uri;
use percent_encoding::percent_decode_str;
use proptest::prelude::*;
use willowarch::http::url_path::UrlPath;

fn decoded(text: &str) -> String {
    percent_decode_str(text).decode_utf8().expect("UTF-8").into_owned()
}

#[googletest::test]
fn dots_name_no_outer_folder() {
    let path = UrlPath::new("/objects").segment("..").segment(".").segment("...");
    expect_that!(String::from(path), eq("/objects/%2E%2E/%2E/..."));
}

#[googletest::test]
fn usual_names_are_not_changed() {
    let path = UrlPath::new("/objects").segment("i-7f3a91c2").query("after", "A_b.c~9");
    expect_that!(String::from(path), eq("/objects/i-7f3a91c2?after=A_b.c~9"));
}

proptest! {
    #[test]
    fn text_never_ends_its_segment_or_value(name in any::<String>(), value in any::<String>()) {
        let path = UrlPath::new("/objects").segment(&name).segment("status");
        let path = String::from(path.query("after", &value).query("wait", 5));
        let uri: Uri = path.parse().expect("a URI");
        let segments: Vec<String> = uri.path().split('/').map(decoded).collect();
        prop_assert_eq!(segments, ["", "objects", &name, "status"]);
        let query = uri.query().expect("a query").split('&');
        let values: Vec<(&str, String)> = query
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decoded(value)))
            .collect();
        prop_assert_eq!(values, [("after", value), ("wait", "5".to_owned())]);
    }
}
