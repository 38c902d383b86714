//! Guards against a load run whose added latency is not that of the host.

use std::time::Duration;

use cardamombridge::{
    load::{
        LoadArgs,
        LoadTarget,
        measure, //
    },
    standin::{
        engine::{
            EngineFault,
            EngineOptions,
            EngineStandin, //
        },
        wire::Wire, //
    }, //
};

fn target(engine: &EngineStandin, wire: &Wire) -> LoadTarget {
    LoadTarget {
        host: wire.address(),
        direct: engine.address(),
        key: "key".to_owned(),
        model: "stain".to_owned(),
    }
}

fn args() -> LoadArgs {
    LoadArgs {
        target: None,
        rate: 40,
        seconds: 1,
        connections: 16,
        max_tokens: 8,
    }
}

/// Guards against a delay that is missed, or counted for the direct requests.
#[test]
fn a_delay_on_the_way_is_the_added_latency() {
    let engine = EngineStandin::start(EngineOptions::new("stain")).expect("engine starts");
    let wire = Wire::start(engine.address(), 1).expect("wire starts");
    wire.set_delay(Duration::from_millis(40));

    let report = measure(&target(&engine, &wire), &args()).expect("load runs");

    assert_eq!((report.host.answered(), report.direct.answered()), (20, 20));
    assert_eq!(report.host.failures + report.direct.failures, 0);
    let (host, direct) = (&report.host, &report.direct);
    for (host, direct) in [
        (&host.plain, &direct.plain),
        (&host.first_token, &direct.first_token),
    ] {
        let added_us = host.value_at_quantile(0.5) - direct.value_at_quantile(0.5);
        assert!((75_000..140_000).contains(&added_us), "{added_us} us added");
    }
    // A constant delay does not spread the tokens; each stream has 8 of them.
    assert_eq!(host.between_tokens.len(), 10 * 7);
}

/// Guards against a broken answer that counts as a fast one.
#[test]
fn a_stream_without_its_end_is_a_failure() {
    let engine = EngineStandin::start(EngineOptions::new("stain")).expect("engine starts");
    let wire = Wire::start(engine.address(), 1).expect("wire starts");
    engine.set_fault(Some(EngineFault::NoDone));

    let report = measure(&target(&engine, &wire), &args()).expect("load runs");

    assert_eq!((report.host.failures, report.direct.failures), (10, 10));
    assert_eq!((report.host.answered(), report.direct.answered()), (10, 10));
}
