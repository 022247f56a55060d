//! Splitting of streams into events, compared with a naive version.

use googletest::prelude::*;
use proptest::prelude::*;
use willowarch::{gateway::request::event_cutter::EventCutter, response_memory::ResponseMemory};

/// Memory of a VM, in bytes.
const VM_BYTES: u64 = 160_000_000;

fn new_cutter() -> EventCutter {
    EventCutter::new(&ResponseMemory::of_vm(VM_BYTES))
}

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
        let mut cutter = new_cutter();
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

/// How a stream is split: its text, the numbers of events that it has, and whether it ends inside one.
macro_rules! stream_split {
    ($($name:ident: $text:expr => $events:expr, $last:expr, $inside:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            // The whole text at once and byte by byte.
            for piece in [$text.len().max(1), 1] {
                let mut cutter = new_cutter();
                let (mut count, mut last, mut passed) = (0, None, Vec::new());
                for bytes in $text.as_bytes().chunks(piece) {
                    let batch = cutter.feed(bytes, None).expect("events");
                    count += batch.count;
                    last = batch.last_id.or(last);
                    passed.extend_from_slice(&batch.bytes);
                }
                expect_that!(count, eq($events));
                expect_that!(last, eq($last));
                expect_that!(cutter.is_inside_event(), eq($inside));
                passed.extend_from_slice(&cutter.take_rest());
                expect_that!(String::from_utf8(passed).expect("text"), eq($text));
            }
        }
    )*};
}

stream_split! {
    empty_stream: "" => 0, None, false;
    lines_with_lf: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" => 2, Some(2), false;
    lines_with_cr_lf: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" => 2, Some(2), false;
    lines_with_cr: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r" => 2, Some(2), false;
    comment_at_the_end_is_no_event: "id: 1\ndata: a\n\n: ping\n" => 1, Some(1), false;
    comment_between_events_is_no_event: ": ping\n\nid: 1\ndata: a\n\n" => 1, Some(1), false;
    comment_cut_off_is_inside: "id: 1\ndata: a\n\n: pi" => 1, Some(1), true;
    line_without_a_blank_one_is_inside: "id: 1\ndata: a\n\nid: 2\ndata: b\n" => 1, Some(1), true;
    lone_id_is_inside: "id: 1\ndata: a\n\nid: 2\n" => 1, Some(1), true;
    byte_order_mark_before_the_first_event: "\u{feff}id: 1\ndata: a\n\n" => 1, Some(1), false;
}
