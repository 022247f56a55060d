//! Decoders accept or refuse any input of clients, engines, peers and the platform without a panic.

use proptest::{collection::vec, prelude::*};
use willowarch::native::request::tickets::TicketId;

proptest! {
    /// No text makes the ticket decoder panic, and an accepted ticket is the same after it is
    /// printed and parsed again.
    #[test]
    fn ticket_decoder_does_not_panic_and_round_trips(text in ".{0,80}") {
        if let Ok(ticket) = text.parse::<TicketId>() {
            prop_assert_eq!(ticket.to_string().parse::<TicketId>(), Ok(ticket));
        }
    }

    /// Guards against events that are lost or changed when they arrive in several pieces: the
    /// decoder returns the same events for any division of the bytes.
    #[test]
    fn event_decoder_does_not_depend_on_piece_lengths(
        texts in vec("[a-z ]{1,12}", 1..8),
        piece_lengths in vec(1_usize..7, 1..60),
    ) {
        use willowarch::native::endpoint::sse::EventDecoder;
        let whole: String = texts.iter().map(|text| format!("id: 1\ndata: {text}\n\n")).collect();
        let mut decoder = EventDecoder::default();
        let mut events = Vec::new();
        let mut rest = whole.as_bytes();
        for length in piece_lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*length).min(rest.len()));
            events.extend(decoder.feed(piece).expect("well-formed event refused"));
            rest = after;
        }
        prop_assert_eq!(events, texts);
    }

    /// No bytes from an engine make the event decoder panic.
    #[test]
    fn event_decoder_does_not_panic_on_any_bytes(bytes in vec(any::<u8>(), 0..400)) {
        use willowarch::native::endpoint::sse::EventDecoder;
        let _ = EventDecoder::default().feed(&bytes);
    }

    /// Client input: any body and key is accepted, or refused with a status from 400 to 499 and the
    /// name of a field.
    #[test]
    fn client_input_is_accepted_or_refused_with_a_field_name(body in vec(any::<u8>(), 0..200), key in ".{0,40}") {
        use willowarch::native::{options::rows::{TableRow, TableSnapshot}, serve::listeners::parse};
        let rows = serde_json::json!([
            { "kind": "account", "name": "reader", "api_key": "key" },
            { "kind": "service", "name": "model" },
        ]);
        let rows = rows.as_array().expect("rows is not a list").iter();
        let rows = rows.map(|row| TableRow::parse(row, "row").expect("row refused"));
        let table = TableSnapshot::new(rows);
        let mut headers = hyper::HeaderMap::new();
        headers.insert("authorization", "Bearer key".parse().expect("a value"));
        if let Ok(value) = hyper::header::HeaderValue::from_str(&key) {
            headers.insert("idempotency-key", value);
        }
        if let Err(problem) = parse::completion(&headers, &body, false, &table) {
            prop_assert!(problem.field.is_some());
            prop_assert!((400..500).contains(&problem.status));
        }
    }

    /// Peer input: any bytes as a message are decoded or refused without a panic.
    #[test]
    fn peer_input_is_decoded_or_refused(bytes in vec(any::<u8>(), 0..600)) {
        use willowarch::{native::peer::codec, peer_capnp};
        let mut aligned = bytes.clone();
        aligned.truncate(bytes.len() / 8 * 8);
        let segments = [aligned.as_slice()];
        let segments = capnp::message::SegmentArray::new(&segments);
        let message = capnp::message::Reader::new(segments, capnp::message::ReaderOptions::new());
        if let Ok(copy) = message.get_root::<peer_capnp::request_copy::Reader<'_>>() {
            let _ = codec::read_copy(copy);
        }
    }

    /// Platform input: a row is accepted, or refused with errors that name its keys.
    #[test]
    fn rows_are_accepted_or_refused_with_key_names(kind in "(account|service|x)", number in -5.0_f64..5.0, flag in any::<bool>()) {
        use willowarch::native::options::rows::TableRow;
        let row = serde_json::json!({
            "kind": kind, "name": "n", "api_key": "k", "weight": number, "repeatable": flag,
        });
        match TableRow::parse(&row, "row") {
            Ok(row) => prop_assert!(!row.object_name().is_empty()),
            Err(errors) => prop_assert!(errors.iter().all(|error| error.key.starts_with("row."))),
        }
    }
}
