//! Choices of endpoints, regions and entry hosts, and updates of the view.

mod decision_fixture;

use std::collections::BTreeMap;

use cardamombridge::{
    decision::{
        Gateway,
        entry::{
            EntryHost,
            entry_hosts, //
        },
        event::{
            Action,
            AttemptOutcome,
            Event, //
        },
        policy::{
            Policy,
            Routing, //
        },
        predict::{
            Predictor,
            Work, //
        },
        prefix::PrefixMemory,
        ramp::Ramps,
        residency::AllowedRegions,
        view::{
            EndpointInfo,
            HostInfo,
            View, //
        }, //
    },
    types::{
        Bytes,
        CallerId,
        HostId,
        Incarnation,
        Millis,
        RegionId,
        RequestId,
        Revision,
        Target,
        Tier,
        Tokens, //
    }, //
};
use decision_fixture::*;

fn endpoints(count: usize, slots: u32) -> Vec<EndpointInfo> {
    let names = (1..=count).map(|number| format!("e{number}"));
    names.map(|name| endpoint(&name, slots)).collect()
}

/// Sends a request with a prefix and returns the chosen endpoint.
fn send(gateway: &mut Gateway, ms: u64, number: u128, prefix: &[u64]) -> Option<String> {
    let mut arrival = arrival(number, "wide", at(ms + 30_000));
    arrival.prefix_hashes = prefix.to_vec();
    arrival.prompt_tokens = Tokens(256 * prefix.len() as u64);
    let actions = run(gateway, at(ms), Event::Arrived(arrival));
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.to_string()),
        _ => None,
    })
}

fn forwards(gateway: &mut Gateway, ms: u64, number: u128) -> bool {
    let event = Event::Arrived(arrival(number, "wide", at(ms + 30_000)));
    let actions = run(gateway, at(ms), event);
    actions
        .iter()
        .any(|one| matches!(one, Action::Forward { .. }))
}

fn receive_summary(gateway: &mut Gateway, ms: u64, busy: u32) {
    let event = Event::Summary(summary("zapad", at(ms), 100, busy));
    run(gateway, at(ms), event);
}

/// Eight hosts that have received the same load reports and each other's heartbeats.
fn fleet(reported: &[u32]) -> Vec<Gateway> {
    let host = |seed| {
        let mut gateway = ready(seed, Policy::default(), endpoints(reported.len(), 32));
        for number in 1..=8 {
            let event = Event::Heartbeat(heartbeat(&format!("h{number}"), 1, 0));
            run(&mut gateway, START, event);
        }
        for (index, running) in reported.iter().enumerate() {
            let name = format!("e{}", index + 1);
            run(
                &mut gateway,
                START,
                Event::Report(report(&name, START, *running)),
            );
        }
        gateway
    };
    (1..=8).map(host).collect()
}

/// Sends 5 requests from each host and returns the most that one endpoint got.
fn most_at_one_endpoint(prefix: &[u64]) -> usize {
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    for mut gateway in fleet(&[0, 2, 2, 2, 2, 2, 2, 2]) {
        for number in 1..=5 {
            let endpoint = send(&mut gateway, 1_000, number, prefix).expect("a free endpoint");
            *sent.entry(endpoint).or_default() += 1;
        }
    }
    sent.into_values().max().unwrap_or(0)
}

/// Guards against all hosts sending their requests to the one endpoint that
/// reported no load.
#[test]
fn hosts_do_not_all_choose_one_endpoint() {
    let most = most_at_one_endpoint(&[]);

    // An even spread is 5; all at the idle endpoint would be 40.
    assert!(most <= 12, "{most} of 40 requests at one endpoint");
}

/// Guards against a popular prompt prefix overloading one endpoint.
#[test]
fn popular_prefix_spreads_under_load() {
    let most = most_at_one_endpoint(&[7, 8]);

    assert!(most <= 24, "{most} of 40 requests at one endpoint");
}

/// Guards against turns of a conversation being sent to endpoints with cold caches,
/// also when another host sends them.
#[test]
fn conversation_stays_at_its_endpoint() {
    let mut hosts = fleet(&[4, 4, 4, 4]);
    let first = send(&mut hosts[0], 10, 1, &[1, 2, 3]);

    let second = send(&mut hosts[0], 20, 2, &[1, 2, 3, 4, 5]);
    let elsewhere = send(&mut hosts[1], 20, 2, &[1, 2, 3, 4, 5]);

    assert_eq!(second, first);
    assert_eq!(elsewhere, first);
}

/// Guards against a set of prefixes that grows without bound, or that is kept when
/// the endpoint has restarted with an empty cache.
#[test]
fn prefixes_are_dropped() {
    let mut memory = PrefixMemory::new();
    memory.note(&[1, 2, 3], 4);
    memory.note(&[1, 2, 4], 4);
    assert_eq!(memory.known_blocks(&[1, 2, 3, 9]), 3);
    memory.note(&[1, 5], 4);
    assert_eq!(memory.known_blocks(&[1, 2, 3]), 2);

    let mut gateway = ready(1, Policy::default(), endpoints(1, 8));
    run(&mut gateway, at(0), Event::Report(report("e1", at(0), 0)));
    send(&mut gateway, 0, 1, &[7]);
    let known = |gateway: &Gateway| {
        let state = &gateway.view().endpoints[&id("e1")];
        state.prefixes.known_blocks(&[7])
    };
    assert_eq!(known(&gateway), 1);
    let mut restarted = report("e1", at(10), 0);
    restarted.incarnation = Incarnation(2);
    run(&mut gateway, at(10), Event::Report(restarted));
    assert_eq!(known(&gateway), 0);
}

/// Guards against an endpoint that stops reporting appearing idle, and against one
/// that is never chosen again after a report of full load.
#[test]
fn old_report_loses_its_weight() {
    let gateway = &fleet(&[0, 30])[0];
    let policy = Policy::default();
    let load = |name: &str, ms| {
        let state = &gateway.view().endpoints[&id(name)];
        state.load(at(ms), 15.0, 1, &policy)
    };

    assert_eq!(load("e1", 0), 0.0);
    assert_eq!(load("e2", 0), 30.0);
    assert_eq!(load("e1", 5_000), 15.0);
    assert_eq!(load("e2", 60_000), 15.0);
}

/// Guards against requests for one version being served by another.
#[test]
fn only_the_version_in_force_is_used() {
    let mut old = endpoint("e1", 8);
    old.version = "v1".into();
    let mut gateway = ready(1, Policy::default(), vec![old, endpoint("e2", 8)]);

    let chosen: Vec<_> = (1..=8).map(|n| send(&mut gateway, 0, n, &[])).collect();

    assert!(chosen.iter().all(|one| one.as_deref() == Some("e2")));
}

/// Guards against a crashed endpoint, which reports no load, attracting requests.
#[test]
fn failed_endpoint_is_chosen_last() {
    let mut gateway = ready(1, Policy::default(), endpoints(2, 32));
    let failed = send(&mut gateway, 0, 1, &[]).expect("a free endpoint");
    run(&mut gateway, at(1), ended(1, 0, AttemptOutcome::NotSent));

    let next: Vec<_> = (2..=9)
        .filter_map(|n| send(&mut gateway, 500, n, &[]))
        .collect();

    assert_eq!(next.len(), 8);
    assert!(!next.contains(&failed));
}

/// Guards against a failing endpoint being tried every second, and against one
/// failure that ends many requests counting as many failures.
#[test]
fn consecutive_failures_double_the_wait() {
    let mut gateway = ready(1, Policy::default(), endpoints(1, 8));
    let mut fail_both = |ms, number| {
        send(&mut gateway, ms, number, &[]);
        send(&mut gateway, ms, number + 1, &[]);
        for number in [number, number + 1] {
            run(
                &mut gateway,
                at(ms),
                ended(number, 0, AttemptOutcome::NotSent),
            );
        }
        let state = &gateway.view().endpoints[&id("e1")];
        (1..10).find(|wait| !state.is_avoided(at(ms + wait * 1_000)))
    };

    let waits = [fail_both(0, 1), fail_both(10_000, 3), fail_both(20_000, 5)];

    assert_eq!(waits, [Some(1), Some(2), Some(4)]);
}

/// Guards against losing track of requests at an endpoint that is no longer listed,
/// and against keeping the state of unlisted endpoints for ever.
#[test]
fn unlisted_endpoint_is_kept_while_it_has_requests() {
    let mut gateway = ready(1, Policy::default(), endpoints(1, 8));
    send(&mut gateway, 0, 1, &[]);
    let token = Event::FirstToken {
        request: RequestId(1),
        attempt: Default::default(),
    };
    run(&mut gateway, at(1), token);
    run(&mut gateway, at(10), listed(Vec::new()));

    run(&mut gateway, at(900_000), Event::Tick);
    let in_flight = gateway.view().endpoints[&id("e1")].in_flight();
    run(&mut gateway, at(900_010), ended(1, 0, complete()));
    run(&mut gateway, at(900_020), Event::Tick);

    assert_eq!(in_flight, 1);
    assert!(gateway.view().endpoints.is_empty());
}

/// Guards against oscillation between regions: at the same load, the margin for
/// starting to forward is not met and the lower one for continuing is.
#[test]
fn region_choice_has_hysteresis() {
    // Each running request slows the local region down; forwarding adds about 165 ms
    // of network time.
    let policy = Policy {
        away_margin_ms: Millis(600),
        away_stay_ms: Millis(100),
        away_cap_permille: 1_000,
        ..Policy::default()
    };
    let mut gateway = ready(1, policy, vec![endpoint("e1", 64)]);
    let load = |gateway: &mut Gateway, ms, running| {
        let event = Event::Report(report("e1", at(ms), running));
        run(gateway, at(ms), event);
        receive_summary(gateway, ms, 0);
    };

    load(&mut gateway, 0, 8);
    let before = forwards(&mut gateway, 0, 1);
    load(&mut gateway, 10, 60);
    let loaded = forwards(&mut gateway, 10, 2);
    load(&mut gateway, 20, 12);
    let after = forwards(&mut gateway, 20, 3);
    load(&mut gateway, 30, 0);
    let idle = forwards(&mut gateway, 30, 4);

    assert_eq!([before, loaded, after, idle], [false, true, true, false]);
}

fn count_forwards(gateway: &mut Gateway, ms: u64) -> usize {
    let numbers = 1_000 * ms as u128..1_000 * ms as u128 + 20;
    numbers
        .filter(|number| forwards(gateway, ms, *number))
        .count()
}

/// Guards against each host filling all free slots of another region between two of
/// its summaries, and against requests to a host that was unreachable.
#[test]
fn region_without_endpoints_uses_part_of_the_free_slots() {
    let mut gateway = ready(1, Policy::default(), Vec::new());
    receive_summary(&mut gateway, 0, 90);
    let event = Event::Arrived(arrival(1, "wide", at(30_000)));
    let actions = run(&mut gateway, at(0), event);
    let Some(Action::Forward {
        host: unreachable, ..
    }) = actions.first()
    else {
        panic!("expected a forward, got {actions:?}");
    };
    run(&mut gateway, at(0), ended(1, 0, AttemptOutcome::NotSent));

    let first = count_forwards(&mut gateway, 1);
    receive_summary(&mut gateway, 500, 94);
    let second = count_forwards(&mut gateway, 501);

    assert_eq!((first, second), (5, 3));
    for number in 1_000..1_020 {
        let end = ended(number, 0, complete());
        run(&mut gateway, at(600), end);
    }
    receive_summary(&mut gateway, 1_000, 0);
    let mut hosts = Vec::new();
    for number in 2..=20 {
        let event = Event::Arrived(arrival(number, "wide", at(30_000)));
        let actions = run(&mut gateway, at(1_000), event);
        hosts.extend(actions.into_iter().filter_map(|action| match action {
            Action::Forward { host, .. } => Some(host),
            _ => None,
        }));
    }
    assert_eq!(hosts.len(), 19);
    assert!(!hosts.contains(unreachable));
}

/// Guards against a region whose summaries were missing for a while getting all
/// requests of an overloaded local region at once.
#[test]
fn region_with_new_summaries_is_ramped_up() {
    let sent_after = |gap_ms| {
        let policy = Policy {
            away_cap_permille: 1_000,
            ..Policy::default()
        };
        let mut gateway = ready(1, policy, vec![endpoint("e1", 64)]);
        receive_summary(&mut gateway, 0, 60);
        let full = Event::Report(report("e1", at(gap_ms), 64));
        run(&mut gateway, at(gap_ms), full);
        receive_summary(&mut gateway, gap_ms, 60);
        count_forwards(&mut gateway, gap_ms)
    };

    assert_eq!(sent_after(2_000), 20);
    assert_eq!(sent_after(4_000), 2);
}

/// Guards against queued requests of a lower tier keeping out a higher tier, and
/// against callers using a tier that their intent does not allow.
#[test]
fn higher_tier_is_admitted_ahead_of_lower_tier() {
    let ask = |number, caller, tier| {
        let mut arrival = arrival(number, caller, at(12_000));
        arrival.tier = tier;
        Event::Arrived(arrival)
    };
    let is_admitted = |caller, tier| {
        let mut gateway = ready(1, Policy::default(), vec![endpoint("e1", 1)]);
        for number in 1..=20 {
            run(&mut gateway, at(0), ask(number, "wide", Tier::Default));
        }
        run(&mut gateway, at(1), ask(21, caller, tier)).is_empty()
    };

    assert!(is_admitted("bound", Tier::Priority));
    assert!(!is_admitted("bound", Tier::Default));
    assert!(!is_admitted("wide", Tier::Priority));
}

/// Guards against forwarding large bodies that would saturate the link.
#[test]
fn large_body_is_not_forwarded() {
    let forwarded = |body| {
        let policy = Policy {
            away_cap_permille: 1_000,
            ..Policy::default()
        };
        let mut gateway = ready(1, policy, vec![endpoint("e1", 1)]);
        receive_summary(&mut gateway, 0, 0);
        send(&mut gateway, 0, 1, &[]);
        let mut last = arrival(2, "wide", at(30_000));
        last.body_bytes = body;
        let actions = run(&mut gateway, at(1), Event::Arrived(last));
        actions
            .iter()
            .any(|one| matches!(one, Action::Forward { .. }))
    };

    assert!(forwarded(Bytes(1_000)));
    // 4 GB at 1,600 Mbit/s take 20 s.
    assert!(!forwarded(Bytes(4_000_000_000)));
}

/// Guards against a region that recovers with cold caches getting its full share of
/// requests at once.
#[test]
fn recovering_region_is_ramped_up() {
    let policy = Policy::default();
    let region: RegionId = id("zapad");
    let target: Target = id("model/stain");
    let slots = |count| BTreeMap::from([(target.clone(), count)]);
    let mut ramps = Ramps::new();
    let steps = [(0, 100), (1_000, 0), (2_000, 100)];
    for (ms, count) in steps {
        ramps.observe(at(ms), &region, &slots(count), None);
    }

    let factor = |ms| ramps.usable_fraction(at(ms), &region, &target, &policy);

    assert_eq!(factor(2_000), 0.1);
    assert!((factor(32_000) - 0.55).abs() < 0.001);
    assert_eq!(factor(62_000), 1.0);
    ramps.observe(at(70_000), &region, &slots(40), None);
    ramps.observe(at(70_000), &region, &slots(100), None);
    let factor = ramps.usable_fraction(at(70_000), &region, &target, &policy);
    assert_eq!(factor, 0.4, "the remaining slots are warm");
}

/// Guards against forwarding to hosts that stopped sending heartbeats, are leaving,
/// or are in a region other than that of the summary.
#[test]
fn forward_hosts_are_live_and_in_their_region() {
    let policy = Policy::default();
    let mut view = View::new();
    view.apply_summary(at(0), summary("zapad", at(0), 100, 0));
    let names = |view: &View, ms| -> Vec<String> {
        let hosts = view.forward_hosts(at(ms), &id("zapad"), &policy);
        hosts.iter().map(|host| host.host.to_string()).collect()
    };

    assert_eq!(names(&view, 100), ["zapad-1", "zapad-2"]);
    view.apply_heartbeat(at(0), heartbeat("zapad-1", 1, 0));
    assert_eq!(names(&view, 100), ["zapad-2"], "zapad-1 is in stred");
    let mut moved = heartbeat("zapad-1", 2, 0);
    moved.region = id("zapad");
    view.apply_heartbeat(at(0), moved);
    assert_eq!(names(&view, 1_999), ["zapad-1", "zapad-2"]);
    assert_eq!(
        names(&view, 2_000),
        ["zapad-2"],
        "zapad-1 sent no recent heartbeat"
    );
    let leaving = |is_leaving| HostInfo {
        id: id("zapad-2"),
        region: id("zapad"),
        peer_address: heartbeat("h1", 1, 0).peer_address,
        is_leaving,
    };
    view.apply_list(at(2_000), Vec::new(), &[leaving(true)]);
    assert!(names(&view, 2_000).is_empty(), "zapad-2 is leaving");
    view.apply_list(at(2_000), Vec::new(), &[leaving(false)]);
    assert_eq!(names(&view, 2_000), ["zapad-2"]);
    view.avoid_host(id("zapad-2"), at(2_500));
    assert!(names(&view, 2_000).is_empty(), "zapad-2 is avoided");
    assert!(names(&view, 3_000).is_empty(), "the summary is too old");
    view.refresh(at(10_000), &policy);
    assert!(
        view.hosts.is_empty(),
        "the state of zapad-1 was not removed"
    );
}

/// Guards against a request that fails although a region could serve it: its first
/// attempts went to leaving endpoints and to a host that could not be reached, and
/// none of them placed any load.
#[test]
fn attempts_that_no_endpoint_took_leave_the_request_its_attempts() {
    let policy = Policy::default();
    let endpoints = vec![endpoint("e1", 8), endpoint("e2", 8)];
    let mut gateway = ready(1, policy, endpoints);
    let leaving = || AttemptOutcome::Rejected {
        retry_after_ms: None,
        is_leaving: true,
    };
    run(
        &mut gateway,
        START,
        Event::Arrived(arrival(1, "wide", at(30_000))),
    );
    receive_summary(&mut gateway, 0, 0);

    run(&mut gateway, at(10), ended(1, 0, leaving()));
    ticks(&mut gateway, 10, 200);
    run(&mut gateway, at(210), ended(1, 1, leaving()));
    ticks(&mut gateway, 210, 600);
    run(&mut gateway, at(610), ended(1, 2, AttemptOutcome::NotSent));
    let actions = ticks(&mut gateway, 610, 1_400);

    let forwards: Vec<&Action> = actions
        .iter()
        .filter(|action| matches!(action, Action::Forward { .. }))
        .collect();
    assert_eq!(forwards.len(), 1, "{actions:?}");
}

/// Ticks every 50 ms in a time span and returns all actions.
fn ticks(gateway: &mut Gateway, from_ms: u64, to_ms: u64) -> Vec<Action> {
    let times = (from_ms..=to_ms).step_by(50);
    times
        .flat_map(|ms| run(gateway, at(ms), Event::Tick))
        .collect()
}

/// Guards against late messages resetting a host or region to an old state.
#[test]
fn revisions_and_runs_never_go_back() {
    let mut view = View::new();
    let beat = |run, sequence, revision| {
        let mut beat = heartbeat("h2", sequence, 0);
        beat.incarnation = Incarnation(run);
        beat.revision = Revision(revision);
        beat
    };
    for (run, sequence, revision) in [(1, 5, 7), (1, 6, 6), (2, 1, 8), (1, 9, 9)] {
        view.apply_heartbeat(at(0), beat(run, sequence, revision));
        let known = &view.hosts[&id::<HostId>("h2")].heartbeat;
        assert!(known.revision >= Revision(7));
    }
    let mut lower = summary("zapad", at(20), 1, 0);
    lower.lowest_revision = Revision(4);

    view.apply_summary(at(10), summary("zapad", at(10), 1, 0));
    view.apply_summary(at(20), lower);

    let run = view.hosts[&id::<HostId>("h2")].heartbeat.incarnation;
    assert_eq!(run, Incarnation(2));
    let zapad = &view.summaries[&id::<RegionId>("zapad")].summary;
    assert_eq!(zapad.lowest_revision, Revision(5));
}

fn entry_host(name: &str, region: &str) -> EntryHost {
    EntryHost {
        host: id(name),
        region: id(region),
        address: heartbeat("h1", 1, 0).caller_address,
        is_overloaded: false,
    }
}

fn entry_names(caller: &str, hosts: &[EntryHost]) -> Vec<HostId> {
    let intents = intents();
    let intent = intents.caller(&id::<CallerId>("wide")).expect("caller");
    let allowed = AllowedRegions::new(intent);
    let home = id("stred");
    let list = entry_hosts(&id(caller), &home, &allowed, hosts, &Policy::default());
    list.hosts.into_iter().map(|host| host.host).collect()
}

/// Guards against the removal of a host changing the order of the others for a
/// caller, against hosts of forbidden regions, and against overloaded hosts being
/// tried first.
#[test]
fn entry_hosts_are_stable_and_ordered() {
    let mut hosts: Vec<EntryHost> = (1..=8)
        .map(|number| entry_host(&format!("h{number}"), "stred"))
        .collect();
    hosts.push(entry_host("z1", "zapad"));
    hosts.push(entry_host("j1", "juh"));

    for number in 0..50 {
        let caller = format!("caller-{number}");
        let all = entry_names(&caller, &hosts);
        let mut expected = all.clone();
        let removed = expected.remove(3);
        let remaining: Vec<_> = hosts
            .iter()
            .filter(|host| host.host != removed)
            .cloned()
            .collect();
        assert_eq!(entry_names(&caller, &remaining), expected);
        assert_eq!(all.len(), 9);
        assert_eq!(all[8], id("z1"));

        let mut loaded = hosts.clone();
        let first = loaded.iter_mut().find(|host| host.host == all[0]);
        first.expect("first host").is_overloaded = true;
        assert_eq!(entry_names(&caller, &loaded)[7], all[0]);
    }
}

/// Guards against callers switching back and forth while a host's load is close to
/// the limit.
#[test]
fn overload_has_hysteresis() {
    let policy = Policy::default();
    let mut view = View::new();
    let mut sequence = 0;
    let is_overloaded = [90, 160, 130, 110].map(|open| {
        sequence += 1;
        view.apply_heartbeat(at(0), heartbeat("h1", sequence, open));
        for number in 2..=9 {
            view.apply_heartbeat(at(0), heartbeat(&format!("h{number}"), sequence, 95));
        }
        view.refresh(at(0), &policy);
        view.hosts[&id::<HostId>("h1")].is_overloaded
    });

    assert_eq!(is_overloaded, [false, true, true, false]);
}

/// Guards against predictions that ignore the prompt to prefill, the batch size or
/// the queue.
#[test]
fn prediction_grows_with_work_and_load() {
    let policy = Policy::default();
    let target: Target = id("model/stain");
    let work = |prompt| Work {
        prompt_tokens: Tokens(prompt),
        max_output_tokens: Tokens(100),
    };
    let mut predictor = Predictor::new();
    let at_load = |predictor: &Predictor, prompt, load| {
        predictor.predict(&policy, &target, work(prompt), load, 10.0)
    };

    let idle = at_load(&predictor, 8_000, 0.0);
    assert_eq!((idle.wait_ms, idle.prefill_ms), (0.0, 1_000.0));
    assert_eq!(idle.decode_ms, 100.0 * 10.25);
    assert_eq!(at_load(&predictor, 0, 4.0).decode_ms, 100.0 * 11.25);
    let full = at_load(&predictor, 0, 19.0);
    assert_eq!(full.wait_ms, predictor.typical_run_ms(&policy, &target));
    (0..200).for_each(|_| predictor.learn(&policy, &target, Tokens(50), Millis(700)));
    assert!((at_load(&predictor, 0, 0.0).decode_ms - 50.0 * 10.25).abs() < 1.0);
}

/// Guards against baseline routing that differs from its description.
#[test]
fn baselines_route_as_named() {
    let tally = |routing, busy| {
        let policy = Policy {
            routing,
            ..Policy::default()
        };
        let mut gateway = ready(1, policy, endpoints(2, 50));
        run(&mut gateway, START, Event::Report(report("e1", START, 40)));
        run(&mut gateway, START, Event::Report(report("e2", START, 30)));
        receive_summary(&mut gateway, 0, busy);
        let mut tally: BTreeMap<String, usize> = BTreeMap::new();
        for number in 1..=100 {
            let event = Event::Arrived(arrival(number, "wide", at(30_000)));
            let place = match run(&mut gateway, at(0), event).first() {
                Some(Action::Send { endpoint, .. }) => endpoint.to_string(),
                Some(Action::Forward { region, .. }) => region.to_string(),
                _ => "none".to_owned(),
            };
            *tally.entry(place).or_default() += 1;
        }
        ["e1", "e2", "zapad"].map(|place| tally.get(place).copied().unwrap_or(0))
    };

    assert_eq!(tally(Routing::HomeOnly, 0)[2], 0);
    assert_eq!(tally(Routing::LeastReported, 50), [0, 0, 100]);
    assert_eq!(tally(Routing::LeastReported, 90), [0, 100, 0]);
    assert_eq!(tally(Routing::RoundRobin, 50), [25, 25, 50]);
    let random = tally(Routing::Random, 50);
    assert!(random.iter().all(|count| *count > 10), "{random:?}");
}
