//! The whole path with real processes: caller, host, engine.

mod testenv;

use cardamombridge::standin::{
    model::ModelOptions,
    testbed::{
        MODEL,
        TestbedOptions, //
    }, //
};
use testenv::{
    Caller,
    TestEnv,
    expected_text, //
};

const TOKENS: u32 = 40;

/// Guards against answers that are altered, cut or mixed up on the way.
#[test]
fn a_plain_answer_comes_whole() {
    let env = TestEnv::start(&TestbedOptions::new());

    let answer = env.caller("stred").chat("oak floor, 1970s", 40);

    let answer = answer.expect("the host must answer");
    assert_eq!(answer.status, 200, "{}", env.logs());
    assert_eq!(answer.text(), expected_text("oak floor, 1970s", 40));
}

/// Guards against a proxy that collects a stream before it passes it on.
#[test]
fn a_stream_arrives_token_by_token() {
    let env = TestEnv::start(&TestbedOptions::new());

    let stream = env
        .caller("zapad")
        .stream("birch stairs", u64::from(TOKENS));

    let stream = stream.expect("the host must answer");
    assert_eq!(stream.text, expected_text("birch stairs", TOKENS as usize));
    assert!(stream.has_done && stream.has_proper_end);
    let first = stream.arrivals.first().expect("a token must arrive");
    let last = stream.arrivals.last().expect("a token must arrive");
    let between = ModelOptions::default().step * (TOKENS - 1);
    assert!(
        *last - *first > between / 2,
        "tokens came together: {first:?} {last:?}, the engine takes {between:?}"
    );
}

/// Guards against a host that serves callers it does not know.
#[test]
fn a_wrong_key_is_refused_and_did_not_run() {
    let env = TestEnv::start(&TestbedOptions::new());
    let stranger = Caller::new(env.host("stred").address).with_key("sk-wrong");

    let answer = stranger.chat("oak", 4).expect("the host must answer");

    assert_eq!(answer.status, 401);
    assert_eq!(answer.run_state(), "not_run");
    assert!(
        env.testbed
            .engines
            .iter()
            .all(|engine| engine.standin.seen().is_empty())
    );
}

/// Guards against a model list that differs from the caller's intent.
#[test]
fn the_models_of_the_intent_are_listed() {
    let env = TestEnv::start(&TestbedOptions::new());

    let answer = env
        .caller("sever")
        .get("/v1/models")
        .expect("the host must answer");

    assert_eq!(answer.json()["data"][0]["id"], MODEL);
}
