//! Which answers belong to the latest request on a connection.

use cardamombridge::gateway::{
    sent_requests::SentRequests,
    stream_origins::AttemptHash, //
};

fn attempt(id: &str) -> Option<AttemptHash> {
    AttemptHash::of_stated(id)
}

fn sent(ids: &[&str]) -> SentRequests {
    let mut sent = SentRequests::default();
    ids.iter().for_each(|id| sent.push(attempt(id)));
    sent
}

/// Guards against an attempt that comes to a connection twice, after which the id in an answer
/// tells nothing.
#[test]
fn connection_carries_no_attempt_twice() {
    let sent = sent(&["a-1", "a-2"]);

    assert!(!sent.allows(attempt("a-1")));
    assert!(!sent.allows(attempt("a-2")));
    assert!(sent.allows(attempt("a-3")));
}

/// Guards against two requests without an id on a connection, whose answers can't be told apart.
#[test]
fn connection_carries_one_request_without_an_id() {
    assert!(sent(&["a-1"]).allows(None));
    assert!(!sent(&["a-1", "", "a-2"]).allows(None));
}

/// Guards against an answer to an earlier request that is taken for one to the latest.
#[test]
fn answer_is_paired_by_the_attempt_that_it_states() {
    for (ids, answered, is_paired) in [
        (&["a-1", "a-2"][..], "a-2", true),
        (&["a-1", "a-2"], "a-1", false),
        (&["a-1", "a-2"], "", false),
        (&["a-1"], "a-2", false),
        (&["a-1"], "", true),
        (&["a-1", ""], "", true),
        (&["a-1", ""], "a-1", false),
    ] {
        let mut sent = sent(ids);

        let paired = sent.pair(attempt(answered));

        assert_eq!(paired, is_paired, "{ids:?}, answered {answered:?}");
    }
}

/// Guards against a copy that pairs with a later request because its original stated no attempt.
#[test]
fn connection_is_not_used_again_after_an_answer_that_states_no_attempt() {
    let mut sent = sent(&["a-1"]);

    sent.pair(None);

    assert!(sent.is_spent());
}

/// Guards against a connection whose memory of attempts grows with every request.
#[test]
fn connection_remembers_a_bounded_number_of_attempts() {
    let mut sent = SentRequests::default();
    let carried = (0..10_000).take_while(|number| {
        let is_sent = !sent.is_spent();
        sent.push(attempt(&format!("a-{number}")));
        is_sent
    });

    let count = carried.count();

    assert!((100..1_000).contains(&count), "{count} requests");
}
