//! Guards against datagrams that crash a host or are believed although they
//! are damaged, forged, replayed or from a former run.

use cardamombridge::{
    peer::wire::{
        CompactHeartbeat,
        DatagramBody,
        ClusterKey,
        MAX_CLOCK_SKEW_MS,
        MAX_DATAGRAM_BYTES,
        Opener,
        Sealer,
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

fn sealer(name: &str, incarnation: u64) -> Sealer {
    Sealer::new(&key(), host(name), Incarnation(incarnation))
}

fn opener() -> Opener {
    Opener::new(&key(), host("own"))
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
    let bytes = sealer("a", 7).seal(NOW_MS, body(3)).expect("sealed");

    let datagram = opener().open(NOW_MS, &bytes).expect("accepted");

    assert_eq!(datagram.body, body(3));
    assert_eq!(datagram.header.sender, host("a"));
    assert_eq!(datagram.header.sequence, 1);
}

#[test]
fn each_kind_of_invalid_datagram_has_its_own_counter() {
    let mut opener = opener();
    let good = sealer("a", 7).seal(NOW_MS, body(1)).expect("sealed");
    let other_key = ClusterKey::new(b"other secret");
    let forged = Sealer::new(&other_key, host("a"), Incarnation(7)).seal(NOW_MS, body(1));
    let mut other_version = good.clone();
    other_version[0] = WIRE_VERSION + 1;
    let late_ms = NOW_MS + MAX_CLOCK_SKEW_MS + Millis(1);

    opener.open(NOW_MS, &good).expect("accepted");
    let replayed = opener.open(NOW_MS, &good);
    let bad_tag = opener.open(NOW_MS, &forged.expect("sealed"));
    let bad_version = opener.open(NOW_MS, &other_version);
    let too_long = opener.open(NOW_MS, &[WIRE_VERSION; MAX_DATAGRAM_BYTES + 1]);
    let empty = opener.open(NOW_MS, &[]);
    let late = opener.open(late_ms, &good);

    assert!(matches!(replayed, Err(WireError::Replayed { .. })));
    assert_eq!(bad_tag, Err(WireError::BadTag));
    assert_eq!(bad_version, Err(WireError::BadVersion { version: 2 }));
    assert_eq!(too_long, Err(WireError::TooLong { bytes: 1_201 }));
    assert_eq!(empty, Err(WireError::Malformed));
    assert!(matches!(late, Err(WireError::ClockSkew { .. })));
    let counts = opener.counts();
    assert_eq!(counts.total(), 7);
    let each = [counts.replayed, counts.bad_tag, counts.bad_version];
    assert_eq!(each, [1, 1, 1]);
    let each = [counts.too_long, counts.malformed, counts.clock_skew];
    assert_eq!(each, [1, 1, 1]);
}

#[test]
fn authentic_bytes_after_the_body_are_refused() {
    let mut bytes = sealer("a", 7).seal(NOW_MS, body(1)).expect("sealed");
    bytes.truncate(bytes.len() - 16);
    bytes.push(0);
    let tag = key()
        .derive("cardamombridge datagram", &[])
        .tag(&[&bytes[..]]);
    bytes.extend_from_slice(&tag);

    assert_eq!(opener().open(NOW_MS, &bytes), Err(WireError::Malformed));
}

#[test]
fn a_former_run_is_refused_once_a_newer_one_was_heard() {
    let mut opener = opener();
    let mut former = sealer("a", 9);
    let mut newer = sealer("a", 3);
    let first = former.seal(NOW_MS, body(1)).expect("sealed");
    let second = newer.seal(NOW_MS + Millis(50), body(1)).expect("sealed");
    let delayed = former.seal(NOW_MS + Millis(40), body(1)).expect("sealed");

    opener.open(NOW_MS, &first).expect("first run accepted");
    opener.open(NOW_MS, &second).expect("newer run accepted");

    let result = opener.open(NOW_MS, &delayed);
    assert!(matches!(result, Err(WireError::OldIncarnation { .. })));
}

#[test]
fn own_datagrams_that_are_sent_back_are_refused() {
    let bytes = sealer("own", 1).seal(NOW_MS, body(1)).expect("sealed");

    let result = opener().open(NOW_MS, &bytes);

    assert!(matches!(result, Err(WireError::Replayed { .. })));
}

#[test]
fn replay_windows_are_bounded_in_number() {
    let mut opener = opener().with_max_windows(4);
    for n in 0..100 {
        let bytes = sealer(&format!("h{n}"), 1).seal(NOW_MS, body(0));
        opener
            .open(NOW_MS + Millis(n), &bytes.expect("sealed"))
            .expect("accepted");
    }

    assert_eq!(opener.window_count(), 4);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_are_counted(
        bytes in prop::collection::vec(any::<u8>(), 0..1_400),
        starts_like_a_datagram: bool,
    ) {
        let mut opener = opener();
        let mut bytes = bytes;
        if let (true, Some(first)) = (starts_like_a_datagram, bytes.first_mut()) {
            *first = WIRE_VERSION;
        }

        let result = opener.open(NOW_MS, &bytes);

        prop_assert!(result.is_err());
        prop_assert_eq!(opener.counts().refused(), 1);
    }

    #[test]
    fn arbitrary_authentic_bodies_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..1_100),
    ) {
        let mut datagram = vec![WIRE_VERSION];
        datagram.extend_from_slice(&bytes);
        let tag = key().derive("cardamombridge datagram", &[]).tag(&[&datagram[..]]);
        datagram.extend_from_slice(&tag);
        let mut opener = opener();

        let _ = opener.open(NOW_MS, &datagram);

        prop_assert_eq!(opener.counts().total(), 1);
        prop_assert_eq!(opener.counts().bad_tag, 0);
    }

    #[test]
    fn changed_or_truncated_bytes_are_refused(position in 0usize..60, bit in 0u8..8) {
        let good = sealer("a", 7).seal(NOW_MS, body(4)).expect("sealed");
        let position = position % good.len();
        let mut changed = good.clone();
        changed[position] ^= 1 << bit;
        let mut opener = opener();

        prop_assert!(opener.open(NOW_MS, &changed).is_err());
        prop_assert!(opener.open(NOW_MS, &good[..position]).is_err());
    }

    #[test]
    fn each_datagram_is_accepted_at_most_once_in_any_order(
        order in prop::collection::vec(0usize..300, 1..900),
    ) {
        let mut sealer = sealer("a", 7);
        let datagrams: Vec<_> = (0..300)
            .map(|_| sealer.seal(NOW_MS, body(0)).expect("sealed"))
            .collect();
        let mut opener = opener();
        let mut accepted = [0u32; 300];
        for index in order {
            accepted[index] += u32::from(opener.open(NOW_MS, &datagrams[index]).is_ok());
        }

        prop_assert!(accepted.iter().all(|&times| times <= 1));
    }
}
