//! Splitting of streams into events, compared with a naive version.

use proptest::prelude::*;
use willowarch::gateway::request::event_cutter::EventCutter;

/// Naive version: splits the whole text at blank lines, and drops incomplete events and those with
/// ids up to `skip_to`.
fn naive_events(text: &str, skip_to: Option<u64>) -> String {
    let mut kept = String::new();
    for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
        let id = event.lines().find_map(|line| line.strip_prefix("id:"));
        let id: Option<u64> = id.and_then(|id| id.trim().parse().ok());
        if id.is_none() || id > skip_to {
            kept.push_str(event);
        }
    }
    kept
}

proptest! {
    #[test]
    fn events_are_cut_as_by_the_naive_version(
        ids in proptest::collection::vec(0_u64..50, 0..12),
        cuts in proptest::collection::vec(1_usize..20, 0..60),
        skip_to in proptest::option::of(0_u64..50),
        tail in "[a-z:\n]{0,8}",
    ) {
        let mut text: String = ids.iter().map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        text.push_str(&tail);
        let mut cutter = EventCutter::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            passed.extend_from_slice(&cutter.feed(piece, skip_to).unwrap().bytes);
            rest = later;
        }
        passed.extend_from_slice(&cutter.feed(rest, skip_to).unwrap().bytes);
        prop_assert_eq!(String::from_utf8(passed).unwrap(), naive_events(&text, skip_to));
    }
}
