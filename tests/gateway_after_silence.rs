//! Service after an endpoint was silent for a time.

mod gatewayenv;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::standin::scripted::{
    Script,
    ScriptedEndpoint, //
};
use gatewayenv::{
    Request,
    host_with, //
};

const SILENCE: Duration = Duration::from_millis(1_900);

/// Guards against a host that takes one silence for the speed of its endpoint and
/// refuses all requests from then on.
#[test]
fn requests_are_served_after_a_silence() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, _| Script::Answer(200, b"ok".to_vec()))
        .expect("the endpoint starts");
    let (_store, host) = host_with(&endpoint);
    let send = |attempt: String| {
        let request = Request::post("/book/1", b"x").with_attempt(&attempt, 3_000);
        request.send(host.caller_address).status
    };

    endpoint.fall_silent(SILENCE);
    let silent = Instant::now();
    thread::scope(|scope| {
        for number in 0..12 {
            scope.spawn(move || send(format!("a-{number}")));
        }
    });
    thread::sleep(SILENCE.saturating_sub(silent.elapsed()) + Duration::from_millis(200));
    let statuses: Vec<u16> = (0..30)
        .map(|number| {
            thread::sleep(Duration::from_millis(100));
            send(format!("b-{number}"))
        })
        .collect();

    assert_eq!(statuses, [200; 30]);
}
