//! Parsing of HTTP messages: one message is never read as two.

use cardamombridge::gateway::{
    body::BodyDecoder,
    events::EventSplitter,
    head::{
        Framing,
        HeadError,
        parse_request, //
    }, //
};
use proptest::prelude::*;

const MAX_BYTES: usize = 4_096;

fn parse_error(text: &str) -> Option<HeadError> {
    parse_request(text.as_bytes(), MAX_BYTES).err()
}

/// Guards against request smuggling: a less strict server could read each of
/// these heads as another request.
#[test]
fn ambiguous_heads_are_refused() {
    let malformed = [
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
        "POST / HTTP/1.1\nHost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
        "POST / HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "POST http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
    ];
    for text in malformed {
        assert_eq!(parse_error(text), Some(HeadError::Malformed), "{text:?}");
    }
    let unsupported_coding =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert_eq!(
        parse_error(unsupported_coding),
        Some(HeadError::UnsupportedCoding)
    );
}

/// Guards against memory exhaustion by heads that never end.
#[test]
fn long_heads_are_refused() {
    let text = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}", "b".repeat(MAX_BYTES));

    assert_eq!(parse_error(&text), Some(HeadError::TooLong));
}

fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, usize), ()> {
    let mut decoder = BodyDecoder::new(framing);
    let mut content = Vec::new();
    let mut used = 0;
    for piece in pieces {
        used += decoder.decode(piece, &mut content).map_err(|_| ())?;
    }
    Ok((content, decoder.is_done(), used))
}

/// Guards against request smuggling through chunk sizes that servers interpret
/// differently.
#[test]
fn malformed_chunks_are_refused() {
    for text in [
        "1\nx\n0\n\n",
        "0x1\r\nx\r\n",
        "-1\r\n",
        "1\r\nxy\r\n",
        "\r\n",
        " 1\r\nx\r\n",
    ] {
        assert!(
            decode(Framing::Chunked, &[text.as_bytes()]).is_err(),
            "{text:?}"
        );
    }
}

/// Guards against an event whose id puts a header of its own into the request that goes on with
/// the stream. A carriage return ends a line of an event by itself.
#[test]
fn id_of_an_event_ends_with_its_line() {
    let mut splitter = EventSplitter::new();

    splitter.push(b"id: 5\rX-Injected: 1\ndata: x\n\n", &mut Vec::new());

    assert_eq!(splitter.last_id().map(|id| id.as_str()), Some("5"));
}

proptest! {
    /// Guards against a decoded body that depends on how the network splits it,
    /// and against the next message being read as part of it.
    #[test]
    fn chunked_body_is_the_same_however_it_is_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        split in 0_usize..300,
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            cardamombridge::gateway::body::write_chunk(chunk, &mut bytes);
        }
        cardamombridge::gateway::body::write_last_chunk(&mut bytes);
        let body_length = bytes.len();
        bytes.extend_from_slice(b"GET /next");
        let (left, right) = bytes.split_at(split.min(bytes.len()));

        let decoded = decode(Framing::Chunked, &[left]).and_then(|(content, is_done, used)| {
            if is_done {
                return Ok((content, is_done, used));
            }
            decode(Framing::Chunked, &[left, right])
        });

        let (content, is_done, used) = decoded.expect("valid chunked coding");
        prop_assert_eq!(content, chunks.concat());
        prop_assert!(is_done);
        prop_assert_eq!(used, body_length);
    }

    /// Guards against events that are merged, lost or relayed incompletely.
    #[test]
    fn events_are_complete_however_they_are_split(count in 1_u64..20, cut in 0_usize..600) {
        let text: String = (0..count)
            .map(|number| format!("id: {number}\ndata: x\n\n"))
            .collect();
        let cut = cut.min(text.len());
        let mut splitter = EventSplitter::new();
        let mut relayed = Vec::new();

        splitter.push(&text.as_bytes()[..cut], &mut relayed);

        prop_assert!(relayed.is_empty() || relayed.ends_with(b"\n\n"));
        prop_assert!(text.as_bytes().starts_with(&relayed));
        splitter.push(&text.as_bytes()[cut..], &mut relayed);
        prop_assert_eq!(relayed, text.clone().into_bytes());
        let last = format!("{}", count - 1);
        prop_assert_eq!(splitter.last_id().map(|id| id.as_str()), Some(last.as_str()));
    }
}
