//! Guards against datagrams that crash a host, or that it accepts although they are
//! damaged, forged, replayed or from a previous instance.

use cardamombridge::{
    peer::wire::{
        ClusterKey,
        CompactHeartbeat,
        DatagramBody,
        DatagramDecoder,
        DatagramEncoder,
        MAX_CLOCK_SKEW_MS,
        MAX_DATAGRAM_BYTES,
        ShortId,
        WIRE_VERSION,
        WireError, //
    },
    types::{
        HostId,
        Incarnation,
        Millis, //
    }, //
};
use proptest::prelude::*;

const NOW_MS: Millis = Millis(1_700_000_000_000);

fn host(name: &str) -> HostId {
    name.parse().expect("valid host")
}

fn key() -> ClusterKey {
    ClusterKey::new(b"cluster secret")
}

fn encoder(name: &str, incarnation: u64) -> DatagramEncoder {
    DatagramEncoder::new(&key(), host(name), Incarnation(incarnation))
}

fn decoder() -> DatagramDecoder {
    DatagramDecoder::new(&key(), host("own"))
}

fn body(heartbeats: usize) -> DatagramBody {
    let heartbeat = CompactHeartbeat {
        id: ShortId([1, 2, 3, 4]),
        age_ticks: 12,
        revision_lag: 0,
        open_requests: 40,
    };
    DatagramBody {
        heartbeats: vec![heartbeat; heartbeats],
        ..DatagramBody::default()
    }
}

#[test]
fn an_authentic_datagram_is_decoded_unchanged() {
    let bytes = encoder("a", 7).encode(NOW_MS, body(3)).expect("encoded");

    let datagram = decoder().decode(NOW_MS, &bytes).expect("accepted");

    assert_eq!(datagram.body, body(3));
    assert_eq!(datagram.header.sender, host("a"));
    assert_eq!(datagram.header.sequence, 1);
}

#[test]
fn each_kind_of_invalid_datagram_has_its_own_counter() {
    let mut decoder = decoder();
    let valid = encoder("a", 7).encode(NOW_MS, body(1)).expect("encoded");
    let other_key = ClusterKey::new(b"other secret");
    let forged =
        DatagramEncoder::new(&other_key, host("a"), Incarnation(7)).encode(NOW_MS, body(1));
    let mut other_version = valid.clone();
    other_version[0] = WIRE_VERSION + 1;
    let late_ms = NOW_MS + MAX_CLOCK_SKEW_MS + Millis(1);

    decoder.decode(NOW_MS, &valid).expect("accepted");
    let replayed = decoder.decode(NOW_MS, &valid);
    let bad_tag = decoder.decode(NOW_MS, &forged.expect("encoded"));
    let bad_version = decoder.decode(NOW_MS, &other_version);
    let too_long = decoder.decode(NOW_MS, &[WIRE_VERSION; MAX_DATAGRAM_BYTES + 1]);
    let empty = decoder.decode(NOW_MS, &[]);
    let late = decoder.decode(late_ms, &valid);

    assert!(matches!(replayed, Err(WireError::Replayed { .. })));
    assert_eq!(bad_tag, Err(WireError::BadTag));
    assert_eq!(bad_version, Err(WireError::BadVersion { version: 2 }));
    assert_eq!(too_long, Err(WireError::TooLong { bytes: 1_201 }));
    assert_eq!(empty, Err(WireError::Malformed));
    assert!(matches!(late, Err(WireError::ClockSkew { .. })));
    let counts = decoder.counts();
    assert_eq!(counts.total(), 7);
    let each = [counts.replayed, counts.bad_tag, counts.bad_version];
    assert_eq!(each, [1, 1, 1]);
    let each = [counts.too_long, counts.malformed, counts.clock_skew];
    assert_eq!(each, [1, 1, 1]);
}

#[test]
fn authentic_bytes_after_the_body_are_refused() {
    let mut bytes = encoder("a", 7).encode(NOW_MS, body(1)).expect("encoded");
    bytes.truncate(bytes.len() - 16);
    bytes.push(0);
    let tag = key()
        .derive("cardamombridge datagram", &[])
        .tag(&[&bytes[..]]);
    bytes.extend_from_slice(&tag);

    assert_eq!(decoder().decode(NOW_MS, &bytes), Err(WireError::Malformed));
}

#[test]
fn a_previous_instance_is_refused_after_a_datagram_of_a_newer_one() {
    let mut decoder = decoder();
    let mut previous = encoder("a", 9);
    let mut newer = encoder("a", 3);
    let first = previous.encode(NOW_MS, body(1)).expect("encoded");
    let second = newer.encode(NOW_MS + Millis(50), body(1)).expect("encoded");
    let delayed = previous
        .encode(NOW_MS + Millis(40), body(1))
        .expect("encoded");

    decoder
        .decode(NOW_MS, &first)
        .expect("first instance accepted");
    decoder
        .decode(NOW_MS, &second)
        .expect("newer instance accepted");

    let result = decoder.decode(NOW_MS, &delayed);
    assert!(matches!(result, Err(WireError::OldIncarnation { .. })));
}

#[test]
fn own_datagrams_that_are_sent_back_are_refused() {
    let bytes = encoder("own", 1).encode(NOW_MS, body(1)).expect("encoded");

    let result = decoder().decode(NOW_MS, &bytes);

    assert!(matches!(result, Err(WireError::Replayed { .. })));
}

#[test]
fn replay_windows_are_bounded_in_number() {
    let mut decoder = decoder().with_max_windows(4);
    for n in 0..100 {
        let bytes = encoder(&format!("h{n}"), 1).encode(NOW_MS, body(0));
        decoder
            .decode(NOW_MS + Millis(n), &bytes.expect("encoded"))
            .expect("accepted");
    }

    assert_eq!(decoder.window_count(), 4);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_are_counted(
        bytes in prop::collection::vec(any::<u8>(), 0..1_400),
        starts_like_a_datagram: bool,
    ) {
        let mut decoder = decoder();
        let mut bytes = bytes;
        if let (true, Some(first)) = (starts_like_a_datagram, bytes.first_mut()) {
            *first = WIRE_VERSION;
        }

        let result = decoder.decode(NOW_MS, &bytes);

        prop_assert!(result.is_err());
        prop_assert_eq!(decoder.counts().refused(), 1);
    }

    #[test]
    fn arbitrary_authentic_bodies_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..1_100),
    ) {
        let mut datagram = vec![WIRE_VERSION];
        datagram.extend_from_slice(&bytes);
        let tag = key().derive("cardamombridge datagram", &[]).tag(&[&datagram[..]]);
        datagram.extend_from_slice(&tag);
        let mut decoder = decoder();

        let _ = decoder.decode(NOW_MS, &datagram);

        prop_assert_eq!(decoder.counts().total(), 1);
        prop_assert_eq!(decoder.counts().bad_tag, 0);
    }

    #[test]
    fn changed_or_truncated_bytes_are_refused(position in 0usize..60, bit in 0u8..8) {
        let valid = encoder("a", 7).encode(NOW_MS, body(4)).expect("encoded");
        let position = position % valid.len();
        let mut changed = valid.clone();
        changed[position] ^= 1 << bit;
        let mut decoder = decoder();

        prop_assert!(decoder.decode(NOW_MS, &changed).is_err());
        prop_assert!(decoder.decode(NOW_MS, &valid[..position]).is_err());
    }

    #[test]
    fn each_datagram_is_accepted_at_most_once_in_any_order(
        order in prop::collection::vec(0usize..300, 1..900),
    ) {
        let mut encoder = encoder("a", 7);
        let datagrams: Vec<_> = (0..300)
            .map(|_| encoder.encode(NOW_MS, body(0)).expect("encoded"))
            .collect();
        let mut decoder = decoder();
        let mut accepted = [0u32; 300];
        for index in order {
            accepted[index] += u32::from(decoder.decode(NOW_MS, &datagrams[index]).is_ok());
        }

        prop_assert!(accepted.iter().all(|&times| times <= 1));
    }
}
