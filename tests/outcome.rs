//! Guards against a `not_run` that is claimed after a request was sent.

use cardamombridge::outcome::{
    RunState,
    RunStateWord,
    Unsent, //
};

#[test]
fn a_request_that_was_never_sent_is_not_run() {
    let unsent = Unsent::new();

    let state = RunState::NotRun(unsent.give_up());

    assert_eq!(state.word(), RunStateWord::NotRun);
    assert_eq!(state.to_string(), "not_run");
}
