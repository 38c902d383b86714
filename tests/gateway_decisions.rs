//! Tests of the gateway's decisions, without a network.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use cardamombridge::{
    gateway::{
        admission::{
            Placement,
            PlacementContext,
            RemoteOffer,
            RemoteRoom,
            place, //
        },
        bound::ColdBounds,
        configuration::{
            Configuration,
            ConfigurationVersion,
            Engine,
            RetryPolicy,
            Route,
            RouteTarget,
            Service, //
        },
        endpoint::{
            Announcement,
            AnnouncementOrder,
            EndpointHash,
            Failure,
            Stage,
            Work, //
        },
        fleet::{
            Choice,
            EndpointQuery,
            Fleet, //
        },
        hosts::{
            Beacon,
            HostInfo,
            Hosts,
            RegionView,
            ServiceLoad, //
        },
        load_updates::{
            EndpointBlock,
            EndpointLoadShare,
            LeavingEndpoint,
            LoadUpdate,
            MAX_ORIGINS,
            Packet,
            PendingUpdate, //
        },
        request::{
            PromptPart,
            RequestMetadata, //
        },
        retry_budget::{
            RetryBounds,
            RetryBudget, //
        },
        stated_slowness::SlownessEstimate,
        stream_origins::{
            AttemptHash,
            StreamOrigin, //
        },
        stream_pace::Pace, //
    },
    store_position::{
        StoreEra,
        StoreRevision, //
    },
    types::Tokens, //
};
use compact_str::{
    CompactString,
    format_compact, //
};

/// Latency goal of long prompts on the platform.
const GOAL_MS: f64 = 1_200.0;
const COLD: ColdBounds = ColdBounds {
    factor: 1.5,
    slack: 3.0,
};

fn model() -> Service {
    Service {
        name: "model".into(),
        health_path: None,
        cold_ms: 3_000,
        cold_per_s: 1.9,
        engine: Some(Engine {
            slots: 64,
            memory_tokens: 400_000,
            copy_ms_per_token: Some(0.001),
        }),
    }
}

fn announcement(cold_left_ms: u64) -> Announcement {
    Announcement {
        service: "model".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        software_version: "v1".parse().expect("a valid version"),
        data_centre: "north-a".into(),
        slots: 64,
        stage: Stage::Ready,
        cold_left_ms,
        remaining_ms: None,
        order: order(1, 1),
    }
}

fn order(started_ms: u64, sequence: u64) -> AnnouncementOrder {
    AnnouncementOrder {
        started_ms,
        sequence,
    }
}

fn fleet_of(endpoint_count: usize, cold_left_ms: u64) -> Fleet {
    let regions = BTreeMap::from([("north-a".into(), "north".into())]);
    let mut fleet = Fleet::new("north".into(), regions, COLD);
    for number in 0..endpoint_count {
        assert!(fleet.apply_announcement(&format!("e-{number}"), announcement(cold_left_ms), 0));
    }
    fleet
}

fn prompt(shared: u64, own: u64) -> RequestMetadata {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    RequestMetadata {
        prompt_tokens: Tokens(12_000),
        max_output_tokens: Tokens(400),
        parts: vec![part(1, 500), part(shared, 5_000), part(own, 6_500)],
        ..RequestMetadata::default()
    }
}

fn names(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|number| format_compact!("host-{number}"))
        .collect()
}

/// Returns the choice for a request to the model.
fn choose(
    fleet: &Fleet,
    metadata: &RequestMetadata,
    hosts: &[CompactString],
    now_ms: u64,
) -> Option<Choice> {
    let region = RegionView {
        host_count: hosts.len(),
    };
    let query = EndpointQuery {
        service: &model(),
        metadata,
        excluded: &[],
        software_version: None,
        region: &region,
        share_ahead: 1.0,
        goal_left_ms: GOAL_MS,
        time_left_ms: 15_000.0,
        waiting_ahead: 0,
        pace_goal: None,
        gap_goal: None,
        expected_events: None,
        expected_output: None,
    };
    fleet.choose(&query, now_ms)
}

/// A host of a region in which hosts send each other load updates.
struct Placer {
    name: CompactString,
    fleet: Fleet,
    hosts: Hosts,
    pending: PendingUpdate,
    sequence: u64,
}

fn placers(count: usize, endpoint_count: usize) -> Vec<Placer> {
    let all = names(count);
    let placer = |name: &CompactString| {
        let mut hosts = Hosts::new(host(name, "north"));
        for other in &all {
            hosts.apply_beacon(beacon(other, 1), 1_000);
        }
        Placer {
            name: name.clone(),
            fleet: fleet_of(endpoint_count, 0),
            hosts,
            pending: PendingUpdate::default(),
            sequence: 1,
        }
    };
    all.iter().map(placer).collect()
}

impl Placer {
    /// Sends a prompt and returns the endpoint and the load update about it.
    fn send(&mut self, metadata: &RequestMetadata, now_ms: u64) -> (CompactString, LoadUpdate) {
        let choice = choose(&self.fleet, metadata, &[], now_ms).expect("an endpoint");
        let endpoint = self.fleet.get_mut(&choice.endpoint).expect("the endpoint");
        endpoint.record_send(choice.work, now_ms);
        endpoint.record_prompt(metadata, now_ms + choice.first_event_ms as u64);
        let hash = endpoint.hash;
        self.pending.record_send(&choice, hash, metadata);
        let changes = self
            .pending
            .take_due(1, false, now_ms)
            .expect("an update is due");
        let shares = changes.endpoints.iter().map(|id| {
            let endpoint = self.fleet.get(id).expect("the endpoint");
            EndpointLoadShare::new(endpoint.hash, endpoint.own_load)
        });
        let shares = shares.collect();
        self.sequence += 1;
        let update = LoadUpdate {
            host: self.name.clone(),
            started_ms: 1,
            sequence: self.sequence,
            shares,
            sends: changes.sends,
            blocks: changes.blocks,
            leaving: Vec::new(),
            origins: Vec::new(),
        };
        (choice.endpoint, update)
    }

    fn apply_update(&mut self, update: &LoadUpdate, now_ms: u64) {
        if update.host == self.name {
            return;
        }
        assert!(self.hosts.apply_load_update(update, now_ms));
        for sent in &update.sends {
            self.fleet.record_peer_prompt(sent, now_ms);
        }
        let shares = self.hosts.peer_load_shares(now_ms);
        self.fleet.set_peer_loads(&shares);
    }
}

/// Each of 22 hosts places a long prompt within a fifth of a second, faster than
/// beacons report them. Guards against hosts that all send to the endpoint that
/// looked idle in the last beacon.
#[test]
fn prompts_of_many_hosts_spread_over_the_endpoints() {
    let mut placers = placers(22, 16);
    let mut prefill_ms: BTreeMap<CompactString, u64> = BTreeMap::new();
    for index in 0..placers.len() {
        let now_ms = 1_000 + 10 * index as u64;
        let metadata = prompt(7, 100 + index as u64);

        let (endpoint, update) = placers[index].send(&metadata, now_ms);

        // An engine of the platform prefills 56.6 tokens in a millisecond.
        let prefill_tokens = update.shares[0].backlog_tokens;
        *prefill_ms.entry(endpoint).or_default() += u64::from(prefill_tokens) * 10 / 566;
        for placer in &mut placers {
            placer.apply_update(&update, now_ms);
        }
    }
    let longest_ms = prefill_ms.values().max().copied().unwrap_or(0);
    assert!(
        longest_ms <= GOAL_MS as u64,
        "the last prompt waits {longest_ms} ms: {prefill_ms:?}"
    );
}

/// A burst of sends coincides with the loss of many endpoints. Guards against an
/// update that is too long for a packet and therefore not sent at all.
#[test]
fn update_of_a_burst_fits_into_packets() {
    const PACKET_BYTES: usize = 1_400;
    let mut pending = PendingUpdate::default();
    let work = Work {
        uncached_tokens: u64::from(u32::MAX),
        reserved_tokens: u64::from(u32::MAX),
    };
    let metadata = RequestMetadata {
        parts: (0..9)
            .map(|number| PromptPart {
                id: u64::MAX - number,
                tokens: Tokens(1),
            })
            .collect(),
        ..RequestMetadata::default()
    };
    let origin = StreamOrigin {
        attempt: AttemptHash(u64::MAX),
        service: "service-with-a-long-name".into(),
        version: "v10.20.30".parse().expect("a valid version"),
    };
    for number in 0..100 {
        let choice = Choice {
            endpoint: format_compact!("e-{number}"),
            first_event_ms: f64::from(u32::MAX),
            work,
            ..placement_context().local.expect("a choice")
        };
        pending.record_send(&choice, EndpointHash(u32::MAX), &metadata);
        pending.record_block(EndpointHash(u32::MAX), u64::from(u32::MAX));
    }

    let mut sent_count = 0;
    for now_ms in (0..1_000).step_by(5) {
        let Some(changes) = pending.take_due(1, false, now_ms) else {
            continue;
        };
        sent_count += changes.sends.len();
        let share = EndpointLoadShare {
            endpoint: EndpointHash(u32::MAX),
            active: u32::MAX,
            backlog_tokens: u32::MAX,
            reserved_tokens: u32::MAX,
        };
        let update = LoadUpdate {
            host: "edge-a-host-with-a-long-name-1".into(),
            started_ms: u64::MAX,
            sequence: u64::MAX,
            shares: vec![share; changes.endpoints.len()],
            sends: changes.sends,
            blocks: changes.blocks,
            leaving: Vec::new(),
            origins: vec![origin.clone(); MAX_ORIGINS],
        };
        let bytes = postcard::to_allocvec(&Packet::LoadUpdate(update)).expect("it is encoded");
        assert!(bytes.len() <= PACKET_BYTES, "{} bytes", bytes.len());
    }
    assert_eq!(sent_count, 100, "not every send was reported");
}

/// Requests with the same shared part arrive at several hosts. Guards against a
/// part that is prefilled again at another endpoint although a host reported where
/// it is cached.
#[test]
fn shared_part_is_found_where_another_host_sent_it() {
    for part in 10..40 {
        let mut placers = placers(2, 9);
        let (first, rest) = placers.split_at_mut(1);
        let (cached_at, update) = first[0].send(&prompt(part, 1), 1_000);
        // A longer shared part, so that the hash of the part prefers another
        // endpoint for the second request.
        let mut longer = prompt(part, 2);
        longer.parts[2].tokens = Tokens(100);
        longer.parts.push(PromptPart {
            id: 3,
            tokens: Tokens(6_400),
        });
        rest[0].apply_update(&update, 1_005);
        // The first prompt has been prefilled in the meantime.
        rest[0].fleet.set_peer_loads(&HashMap::new());

        let choice = choose(&rest[0].fleet, &longer, &[], 2_000).expect("an endpoint");

        assert!(
            choice.work.uncached_tokens <= 6_500,
            "part {part} at {cached_at} is prefilled again: {choice:?}"
        );
    }
}

/// Long responses are requested among many long prompts. Guards against a stream
/// that misses its time limit because its engine spends most of the time on
/// prefill, while another engine only has more streams.
#[test]
fn long_response_is_placed_where_few_prompts_are_prefilled() {
    let mut fleet = fleet_of(2, 0);
    let prefilling = fleet.get_mut("e-0").expect("the endpoint");
    // Nine tenths of the last two seconds, at 56.6 tokens in a millisecond.
    for now_ms in (1_000..3_000).step_by(200) {
        let prompt = Work {
            uncached_tokens: 10_000,
            reserved_tokens: 0,
        };
        prefilling.record_send(prompt, now_ms);
        prefilling.record_end(prompt, true);
        prefilling.record_first_event(prompt);
    }
    let streaming = fleet.get_mut("e-1").expect("the endpoint");
    for _ in 0..12 {
        streaming.record_send(Work::default(), 1_000);
    }
    let long_answer = RequestMetadata {
        prompt_tokens: Tokens(400),
        max_output_tokens: Tokens(900),
        ..RequestMetadata::default()
    };

    let choice = choose(&fleet, &long_answer, &[], 3_000).expect("an endpoint");

    assert_eq!(choice.endpoint, "e-1");
}

/// Some endpoints of a region crash at the same time. Guards against hosts that
/// each have to detect this with refused requests, and against an endpoint that no
/// host uses because one of them cannot reach it.
#[test]
fn endpoint_that_another_host_cannot_reach_is_avoided() {
    let mut fleet = fleet_of(2, 0);
    let lost = fleet.get("e-0").expect("the endpoint").hash;
    let block = EndpointBlock {
        endpoint: lost,
        for_ms: 500,
        is_full: false,
    };
    fleet.apply_peer_block(&block, 1_000);

    let usable = |fleet: &Fleet, now_ms| fleet.usable("model", now_ms).count();
    assert_eq!(usable(&fleet, 1_400), 1);
    assert_eq!(usable(&fleet, 1_600), 2);

    let busy = fleet.get_mut("e-1").expect("the endpoint");
    busy.record_send(Work::default(), 2_000);
    let endpoint = busy.hash;
    fleet.apply_peer_block(&EndpointBlock { endpoint, ..block }, 2_000);
    assert_eq!(usable(&fleet, 2_100), 2);
}

/// Hosts that do not know each other's load get many requests with the same shared
/// part. Guards against a part that every endpoint prefills.
#[test]
fn hosts_agree_on_the_endpoint_for_a_shared_part() {
    let view = names(3);
    let fleets = [fleet_of(9, 0), fleet_of(9, 0), fleet_of(9, 0)];
    let chosen = |host: usize, part| {
        let fleet = &fleets[host];
        let choice = choose(fleet, &prompt(part, 99), &view, 5_000);
        choice.expect("an endpoint").endpoint
    };
    for part in 10..40 {
        let first = chosen(0, part);

        assert_eq!(chosen(1, part), first);
        assert_eq!(chosen(2, part), first);
    }
}

/// Requests with one shared part arrive faster than one endpoint prefills them.
/// Guards against a backlog at the preferred endpoint while others are idle.
#[test]
fn backlog_moves_requests_to_other_endpoints() {
    let mut fleet = fleet_of(4, 0);
    let mut loads: BTreeMap<CompactString, u32> = BTreeMap::new();
    for _ in 0..40 {
        let choice = choose(&fleet, &prompt(7, 99), &names(1), 0).expect("an endpoint");
        let endpoint = fleet.get_mut(&choice.endpoint).expect("the endpoint");
        endpoint.record_send(choice.work, 0);
        *loads.entry(choice.endpoint).or_default() += 1;
    }

    assert_eq!(loads.len(), 4);
    assert!(loads.values().all(|load| *load <= 20), "{loads:?}");
}

/// Guards against requests to an endpoint that fails half of them although its
/// health checks pass.
#[test]
fn failing_endpoint_is_avoided() {
    let mut fleet = fleet_of(3, 0);
    for _ in 0..8 {
        let endpoint = fleet.get_mut("e-0").expect("the endpoint");
        endpoint.record_send(Work::default(), 0);
        endpoint.record_end(Work::default(), false);
        endpoint.record_failure(Failure::Error, 0);
    }

    for part in 10..30 {
        let choice = choose(&fleet, &prompt(part, 99), &names(1), 0);
        assert_ne!(choice.expect("an endpoint").endpoint, "e-0");
    }
}

/// Guards against requests to an endpoint that is shutting down, and against a
/// restarted endpoint that is blocked for failures of its earlier instance.
#[test]
fn announcements_decide_which_endpoints_are_used() {
    let mut fleet = fleet_of(1, 0);
    for _ in 0..3 {
        let endpoint = fleet.get_mut("e-0").expect("the endpoint");
        endpoint.record_failure(Failure::Broken, 0);
    }
    let choose = |fleet: &Fleet| choose(fleet, &prompt(7, 8), &names(1), 100);
    assert_eq!(choose(&fleet), None, "a blocked endpoint is used");

    let restarted = Announcement {
        order: order(2, 1),
        ..announcement(0)
    };
    fleet.apply_announcement("e-0", restarted.clone(), 50);
    assert!(choose(&fleet).is_some(), "a restarted endpoint is not used");

    let draining = Announcement {
        stage: Stage::Draining,
        ..restarted
    };
    fleet.apply_announcement("e-0", draining, 60);
    assert_eq!(choose(&fleet), None, "a draining endpoint is used");
}

/// Guards against endpoints of an evacuated data centre that count as warm when
/// its use resumes.
#[test]
fn evacuated_data_centre_is_unused_and_its_endpoints_are_cold_afterwards() {
    let mut fleet = fleet_of(1, 0);
    let configuration = Configuration {
        services: vec![model()],
        ..Configuration::default()
    };

    fleet.set_evacuated("north-a", true, &configuration, 0);
    assert_eq!(fleet.usable("model", 10).count(), 0);

    fleet.set_evacuated("north-a", false, &configuration, 1_000);
    let endpoint = fleet.usable("model", 1_010).next().expect("an endpoint");
    assert!(endpoint.is_cold(1_010));
    assert!(!endpoint.is_cold(4_100));
}

/// Guards against an endpoint that counts as warm because its entry lapsed, as in an outage of
/// the store, and was announced again.
#[test]
fn endpoint_that_is_announced_again_stays_cold() {
    let mut fleet = fleet_of(1, 0);
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");
    endpoint.set_cold(3_000, 1_000);

    fleet.withdraw("e-0", 1_500);
    fleet.drop_withdrawn(1_600);
    assert!(fleet.get("e-0").is_none(), "the endpoint is still known");
    fleet.apply_announcement("e-0", announcement(0), 1_700);

    let endpoint = fleet.get("e-0").expect("the endpoint");
    assert!(endpoint.is_cold(3_900), "the endpoint counts as warm");
    assert!(!endpoint.is_cold(4_000));
}

/// Guards against an endpoint that counts as warm because it is announced at another address.
#[test]
fn endpoint_that_moves_stays_cold() {
    let mut fleet = fleet_of(1, 0);
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");
    endpoint.set_cold(3_000, 1_000);

    let moved = Announcement {
        address: "10.0.0.2:80".parse().expect("an address"),
        ..announcement(0)
    };
    fleet.apply_announcement("e-0", moved, 1_700);

    let endpoint = fleet.get("e-0").expect("the endpoint");
    assert!(endpoint.is_cold(3_900), "the endpoint counts as warm");
}

fn placement_context() -> PlacementContext {
    PlacementContext {
        local: Some(Choice {
            endpoint: "e-0".into(),
            first_event_ms: 100.0,
            work: Work {
                uncached_tokens: 8_000,
                reserved_tokens: 8_400,
            },
            copied_tokens: 0,
            slowness: SlownessEstimate::new(1.0),
            backlog_ms: 50.0,
            backlog_limit_ms: 500.0,
            is_gap_goal_kept: true,
            has_memory: true,
            cost_ms: 200.0,
            fetch_from: None,
            is_idle: false,
        }),
        queue_ms: 0.0,
        remote: None,
        goal_left_ms: 800.0,
        goal_ms: 800.0,
        time_left_ms: 8_000.0,
        usual_run_ms: 0.0,
        is_waiting: false,
        has_run: false,
        usable_in_ms: None,
        unwanted_for_ms: None,
        limited: None,
        is_cut_off: false,
    }
}

/// More prompts arrive than the region can prefill. Guards against a queue that is
/// longer than the latency goal, so that no request meets it.
#[test]
fn request_that_would_be_late_is_refused_at_once() {
    let late = PlacementContext {
        queue_ms: 2_000.0,
        ..placement_context()
    };

    let Placement::Refuse(retry_ms) = place(late) else {
        panic!("a request that will be late was accepted");
    };

    assert!((1_000..=2_400).contains(&retry_ms), "{retry_ms}");
}

/// Engines admit urgent requests first. Guards against refusals of an urgent prompt because of
/// work that its endpoint does after it.
#[test]
fn urgent_prompt_is_not_refused_for_work_behind_it() {
    let mut fleet = fleet_of(1, 0);
    let work = Work {
        uncached_tokens: 12_000,
        reserved_tokens: 12_400,
    };
    for _ in 0..4 {
        let endpoint = fleet.get_mut("e-0").expect("the endpoint");
        endpoint.record_send(work, 0);
        fleet.record_prefill(&"model".into(), Some(2), Tokens(12_000), 0);
    }
    fleet.record_prefill(&"model".into(), Some(0), Tokens(2_000), 0);
    let metadata = RequestMetadata {
        prompt_tokens: Tokens(5_000),
        ..RequestMetadata::default()
    };
    let place_with = |priority: Option<u8>| {
        let (service, region) = (model(), RegionView::default());
        let query = EndpointQuery {
            share_ahead: fleet.share_ahead(&service, priority),
            goal_left_ms: 800.0,
            time_left_ms: 3_000.0,
            ..EndpointQuery::new(&service, &metadata, &region)
        };
        place(PlacementContext {
            local: fleet.choose(&query, 0),
            time_left_ms: 3_000.0,
            ..placement_context()
        })
    };

    let urgent = place_with(Some(0));
    let least_urgent = place_with(Some(2));

    assert!(matches!(urgent, Placement::Send(_)), "{urgent:?}");
    assert!(
        matches!(least_urgent, Placement::Refuse(_)),
        "{least_urgent:?}"
    );
}

/// Guards against callers who are told to come back while the burst that got them refused
/// lasts, and against callers who come back too late for their answer to end.
#[test]
fn refused_caller_comes_back_late_but_in_time_for_its_answer() {
    let refused = |usual_run_ms: f64| {
        let placement = place(PlacementContext {
            queue_ms: 900.0,
            time_left_ms: 10_000.0,
            usual_run_ms,
            ..placement_context()
        });
        match placement {
            Placement::Refuse(retry_ms) => retry_ms,
            other => panic!("a request that will be late was accepted: {other:?}"),
        }
    };

    let short_answer_ms = refused(500.0);
    let long_answer_ms = refused(8_000.0);

    assert!(short_answer_ms >= 2_000, "{short_answer_ms}");
    assert!(long_answer_ms < 2_000, "{long_answer_ms}");
}

/// An endpoint was silent, so that it is predicted to be slower than a request may last.
/// Guards against refusals of all requests from then on, after which nothing would
/// correct the prediction.
#[test]
fn idle_endpoint_gets_a_request_however_slow_it_was() {
    let slow = PlacementContext {
        local: placement_context().local.map(|choice| Choice {
            first_event_ms: 20_000.0,
            is_idle: true,
            ..choice
        }),
        ..placement_context()
    };
    let busy = PlacementContext {
        local: slow.local.clone().map(|choice| Choice {
            is_idle: false,
            ..choice
        }),
        ..slow.clone()
    };

    assert!(matches!(place(slow), Placement::Send(_)));
    assert!(matches!(place(busy), Placement::Refuse(_)));
}

/// An endpoint broke a stream off after its goal had passed. Guards against a refusal,
/// which would end the response, while another endpoint can take it before the deadline.
#[test]
fn request_that_has_run_is_not_refused_for_its_goal() {
    let late = PlacementContext {
        has_run: true,
        goal_left_ms: 0.0,
        queue_ms: 300.0,
        ..placement_context()
    };
    let no_room = |context: PlacementContext| PlacementContext {
        local: context.local.map(|choice| Choice {
            backlog_ms: 900.0,
            ..choice
        }),
        ..context
    };
    let blocked = PlacementContext {
        local: None,
        usable_in_ms: Some(400.0),
        ..late.clone()
    };

    assert!(matches!(place(late.clone()), Placement::Send(_)));
    assert_eq!(place(no_room(late)), Placement::Wait);
    assert_eq!(place(blocked), Placement::Wait);
}

/// Guards against a wait until the deadline if no endpoint is left that could continue
/// a stream.
#[test]
fn request_that_has_run_is_refused_without_an_endpoint() {
    let lost = PlacementContext {
        local: None,
        has_run: true,
        goal_left_ms: 0.0,
        ..placement_context()
    };

    assert!(matches!(place(lost), Placement::Refuse(_)));
}

/// Guards against a request that overtakes queued ones.
#[test]
fn request_waits_behind_earlier_ones() {
    let queued = PlacementContext {
        queue_ms: 300.0,
        ..placement_context()
    };

    assert_eq!(place(queued), Placement::Wait);
}

/// A small region has its peak load while others are idle. Guards against late
/// responses while endpoints elsewhere are idle, and against traffic between
/// regions without a benefit.
#[test]
fn request_is_forwarded_only_for_a_clear_gain() {
    let offer = RemoteOffer {
        region: "south".into(),
        first_event_ms: 300.0,
        cost_ms: 500.0,
        room: RemoteRoom::Unknown,
    };
    let busy = PlacementContext {
        queue_ms: 900.0,
        remote: Some(offer.clone()),
        ..placement_context()
    };
    assert_eq!(place(busy), Placement::Forward(offer.clone()));

    let idle = PlacementContext {
        remote: Some(offer),
        ..placement_context()
    };
    assert!(matches!(place(idle), Placement::Send(_)));
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retries_stay_within_the_limit_for_all_hosts() {
    let bounds = RetryBounds {
        ratio: 0.2,
        slack: 56.0,
        window_ms: 10_000,
    };
    let host_count = 8;
    let mut retries = 0;
    for _ in 0..host_count {
        let mut budget = RetryBudget::new(bounds);
        for request in 0..500 {
            budget.record_request("desk", request);
            retries += u32::from(budget.try_take("desk", host_count, request));
        }
    }

    let limit = 0.2 * 500.0 * host_count as f64 + 56.0;
    assert!(f64::from(retries) <= limit, "{retries} of {limit}");
    assert!(f64::from(retries) >= limit / 3.0, "{retries} of {limit}");
}

fn host(name: &str, region: &str) -> HostInfo {
    HostInfo {
        name: name.into(),
        region: region.into(),
        data_centre: format_compact!("{region}-a"),
        caller_address: "10.0.0.1:80".parse().expect("an address"),
        peer_address: "10.0.0.1:81".parse().expect("an address"),
        capacity: 250,
    }
}

fn beacon(name: &str, sequence: u64) -> Beacon {
    Beacon {
        host: host(name, "north"),
        started_ms: 1,
        sequence,
        revision: StoreRevision(1),
        is_leaving: false,
        shares: Vec::new(),
        queues: Vec::new(),
        services: Vec::new(),
        era: StoreEra(1),
        configuration: ConfigurationVersion(1),
        leaving: Vec::new(),
        origins: Vec::new(),
        is_cut_off: false,
    }
}

/// Guards against a directory that sends callers to a region that may not serve
/// their requests while their own region has hosts.
#[test]
fn directory_names_hosts_of_the_callers_region() {
    let mut hosts = Hosts::new(host("host-0", "north"));
    hosts.set_store_reachable(true);
    let remote = HostInfo {
        caller_address: "10.0.0.9:80".parse().expect("an address"),
        ..host("host-9", "south")
    };
    hosts.register(remote.clone());

    let south = hosts.directory("south", "south-a", |_| 0, 0);
    assert_eq!(south, vec![remote.caller_address]);

    hosts.unregister("host-9");
    let south = hosts.directory("south", "south-a", |_| 0, 0);
    assert_eq!(south, vec![host("host-0", "north").caller_address]);
}

/// All hosts of a region are restarted one after the other, so that for some
/// seconds none accepts requests. Guards against callers that are sent to a region
/// that may not serve their requests.
#[test]
fn directory_falls_back_to_a_home_region() {
    let mut hosts = Hosts::new(host("host-0", "north"));
    hosts.set_store_reachable(true);
    let home = HostInfo {
        caller_address: "10.0.0.9:80".parse().expect("an address"),
        ..host("host-9", "west")
    };
    hosts.register(home.clone());

    let addresses = hosts.directory(
        "south",
        "south-a",
        |region| usize::from(region == "west"),
        0,
    );

    assert_eq!(addresses, vec![home.caller_address]);
}

/// All hosts of a region are restarted one after the other and wait for long streams, so that
/// for a moment all of them are leaving. Guards against callers that are sent to a region that
/// may not serve their requests although a host of theirs still accepts them.
#[test]
fn directory_names_a_host_that_leaves_before_regions_that_are_no_homes() {
    let mut hosts = Hosts::new(host("host-0", "north"));
    hosts.set_store_reachable(true);
    let remote = HostInfo {
        caller_address: "10.0.0.9:80".parse().expect("an address"),
        ..host("host-9", "west")
    };
    let early = HostInfo {
        caller_address: "10.0.0.2:80".parse().expect("an address"),
        ..host("host-1", "north")
    };
    hosts.register(remote.clone());
    let leaving = Beacon {
        host: early,
        is_leaving: true,
        ..beacon("host-1", 1)
    };
    hosts.apply_beacon(leaving, 1_000);
    hosts.set_leaving(3_000);

    let running = hosts.running_in_region(3_000);
    assert_eq!(
        running.count(),
        1,
        "a leaving host is not told who else leaves"
    );
    let home_routes = |region: &str| usize::from(region == "north");
    let directory = |now_ms| hosts.directory("north", "north-a", home_routes, now_ms);

    let own = host("host-0", "north");
    assert_eq!(directory(3_500), vec![own.caller_address]);
    assert_eq!(directory(5_000), vec![remote.caller_address]);
    let south = hosts.directory("south", "south-a", home_routes, 3_500);
    assert_eq!(south, vec![remote.caller_address]);
}

/// Guards against a host that counts as live although it was killed while the
/// store is unreachable, and against one that does not although its beacons arrive.
#[test]
fn host_without_beacons_is_not_live_while_the_store_is_unreachable() {
    let mut hosts = Hosts::new(host("host-0", "north"));
    hosts.set_store_reachable(true);
    hosts.register(host("host-1", "north"));
    assert!(hosts.apply_beacon(beacon("host-1", 2), 1_000));
    hosts.set_store_reachable(false);

    assert_eq!(hosts.live(2_000).count(), 1);
    assert_eq!(hosts.live(6_000).count(), 0);
    assert!(
        !hosts.apply_beacon(beacon("host-1", 2), 6_000),
        "an outdated beacon was applied"
    );
    assert!(hosts.apply_beacon(beacon("host-1", 3), 6_000));
    assert_eq!(hosts.live(6_100).count(), 1);
}

/// Guards against a request that takes the route of a shorter prefix.
#[test]
fn longest_prefix_selects_the_route() {
    let route = |name: &str, prefix: &str| Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        is_stream: false,
        retry_policy: RetryPolicy::Never,
        timeout_ms: 1_000,
        goal_ms: 500,
        max_attempts: 1,
        priority: None,
        targets: vec![
            RouteTarget {
                service: "a".into(),
                weight: 90.0,
            },
            RouteTarget {
                service: "b".into(),
                weight: 10.0,
            },
        ],
        home_regions: Vec::new(),
        is_public: false,
        gap_goal_ms: None,
    };
    let configuration = Configuration {
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        ..Configuration::default()
    };
    let selected = |path: &str| {
        let route = configuration.route("shop.example", path);
        route.map(|route| route.name.to_string())
    };

    assert_eq!(selected("/a/b/c").as_deref(), Some("long"));
    assert_eq!(selected("/a/x").as_deref(), Some("short"));
    assert_eq!(selected("/b/"), None);
    let route = &configuration.routes[0];
    assert_eq!(
        route.pick_service(0.89).map(|name| name.as_str()),
        Some("a")
    );
    assert_eq!(
        route.pick_service(0.91).map(|name| name.as_str()),
        Some("b")
    );
}

/// Returns a fleet of one endpoint that is announced with this order.
fn fleet_of_announced(order: AnnouncementOrder) -> Fleet {
    let regions = BTreeMap::from([("north-a".into(), "north".into())]);
    let mut fleet = Fleet::new("north".into(), regions, COLD);
    assert!(fleet.apply_announcement("e-0", announced(order), 0));
    fleet
}

fn announced(order: AnnouncementOrder) -> Announcement {
    Announcement {
        order,
        ..announcement(0)
    }
}

fn is_chosen(fleet: &Fleet, now_ms: u64) -> bool {
    choose(fleet, &prompt(7, 8), &names(1), now_ms).is_some()
}

/// Guards against requests to an endpoint that stated that it is leaving: neither a
/// later announcement of the same start nor a lapse of its announcement undoes it.
#[test]
fn leaving_endpoint_is_unused_until_its_next_start() {
    let mut fleet = fleet_of_announced(order(1, 1));
    assert!(is_chosen(&fleet, 0));

    assert!(fleet.record_leaving("e-0"));

    assert!(!is_chosen(&fleet, 0));
    assert!(!fleet.record_leaving("e-0"), "it was known");
    fleet.apply_announcement("e-0", announced(order(1, 2)), 100);
    assert!(!is_chosen(&fleet, 100), "announced again");
    fleet.withdraw("e-0", 200);
    fleet.drop_withdrawn(300);
    fleet.apply_announcement("e-0", announced(order(1, 3)), 400);
    assert!(!is_chosen(&fleet, 400), "announced after a lapse");
    fleet.apply_announcement("e-0", announced(order(2, 1)), 500);
    assert!(is_chosen(&fleet, 500), "started again");
}

/// Guards against hosts that learn of a leaving endpoint only from its answers, and
/// against a late message that excludes the next start of the endpoint.
#[test]
fn leaving_endpoint_is_left_by_the_hosts_of_its_region() {
    let mut origin = fleet_of_announced(order(1, 1));
    origin.record_leaving("e-0");
    let leaving: Vec<LeavingEndpoint> = origin.leaving().collect();
    let mut other = fleet_of_announced(order(1, 1));
    let mut restarted = fleet_of_announced(order(2, 1));

    for one in &leaving {
        assert_eq!(other.record_peer_leaving(one), Some("e-0".into()));
        assert_eq!(restarted.record_peer_leaving(one), None);
    }

    assert!(!is_chosen(&other, 0));
    assert!(is_chosen(&restarted, 0));
}

/// Guards against a statement that waits for the next send or release: it leaves with
/// the next update.
#[test]
fn leaving_endpoint_is_in_the_next_load_update() {
    let mut pending = PendingUpdate::default();
    let leaving = LeavingEndpoint {
        endpoint: EndpointHash(7),
        started_ms: 1,
    };

    pending.record_leaving(leaving);

    let changes = pending.take_due(64, false, 0).expect("an update is due");
    assert_eq!(changes.leaving, vec![leaving]);
    assert!(
        pending.take_due(64, false, 1_000).is_none(),
        "it was sent twice"
    );
}

/// Guards against requests to an endpoint that asked this host to stay away, also
/// after its announcement lapsed, and against a wish that opens the breaker.
#[test]
fn endpoint_gets_nothing_while_it_wants_nothing() {
    let mut fleet = fleet_of_announced(order(1, 1));
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");

    endpoint.record_unwanted(1_500, 100);
    endpoint.record_failure(Failure::Shed, 100);

    assert_eq!(endpoint.error_rate(), 0.0);
    assert!(!is_chosen(&fleet, 1_599));
    assert_eq!(fleet.unwanted_for_ms("model", 600), Some(1_000));
    assert!(is_chosen(&fleet, 1_600));
    assert_eq!(fleet.unwanted_for_ms("model", 1_600), None);
    fleet.withdraw("e-0", 700);
    fleet.drop_withdrawn(800);
    fleet.apply_announcement("e-0", announced(order(1, 2)), 900);
    assert!(!is_chosen(&fleet, 1_000), "announced after a lapse");
    fleet.apply_announcement("e-0", announced(order(2, 1)), 1_100);
    assert!(is_chosen(&fleet, 1_100), "started again");
}

/// Guards against a caller that is told the wish of one endpoint although another one
/// accepts requests.
#[test]
fn wish_of_one_endpoint_does_not_speak_for_the_service() {
    let mut fleet = fleet_of(2, 0);
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");

    endpoint.record_unwanted(1_500, 0);

    assert_eq!(fleet.unwanted_for_ms("model", 100), None);
    assert!(is_chosen(&fleet, 100));
}

/// All endpoints asked the host to stay away. Guards against a request that waits in
/// vain, and against a time to come back that is not the one the endpoints named.
#[test]
fn request_waits_only_if_an_endpoint_wants_it_in_time() {
    let unwanted = |for_ms| PlacementContext {
        local: None,
        unwanted_for_ms: Some(for_ms),
        ..placement_context()
    };
    let goal_left_ms = placement_context().goal_left_ms;

    assert_eq!(place(unwanted(goal_left_ms / 3.0)), Placement::Wait);
    assert_eq!(place(unwanted(2_000.0)), Placement::Refuse(2_000));
}

/// Load of the service `desk` in the region `south`, as a beacon reports it.
fn remote_beacon(sequence: u64, backlog_ms: f64) -> Beacon {
    Beacon {
        host: host("host-9", "south"),
        services: vec![ServiceLoad {
            service: "desk".into(),
            endpoint_count: REMOTE_ENDPOINTS as u32,
            backlog_ms: backlog_ms as u32,
        }],
        ..beacon("host-9", sequence)
    }
}

const REMOTE_ENDPOINTS: f64 = 2.0;

/// The endpoints of a region are lost, and its callers send more than the endpoints of
/// another region can serve, whose load is reported every 700 ms. Guards against
/// endpoints there that are idle for most of each interval, and against responses that
/// miss the goal because too much is forwarded.
#[test]
fn forwarded_work_drains_between_reports() {
    const WORK_MS: f64 = 30.0;
    const ROUND_TRIP_MS: f64 = 110.0;
    const GOAL_MS: f64 = 400.0;
    const LENGTH_MS: u64 = 10_000;
    const REPORT_INTERVAL_MS: u64 = 700;
    let mut hosts = Hosts::new(host("host-0", "north"));
    let mut true_backlog_ms: f64 = 0.0;
    let mut sent_count = 0.0;
    let mut late_count = 0.0;

    for now_ms in 0..LENGTH_MS {
        true_backlog_ms = (true_backlog_ms - 1.0).max(0.0);
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            let sequence = now_ms / REPORT_INTERVAL_MS + 1;
            hosts.apply_beacon(remote_beacon(sequence, true_backlog_ms), now_ms);
        }
        let wait_ms = hosts.remote_wait_ms("south", "desk", 1, now_ms);
        let predicted_ms = ROUND_TRIP_MS + wait_ms.expect("the load is known") + WORK_MS;
        if predicted_ms <= GOAL_MS {
            hosts.record_remote_work("south", "desk", WORK_MS);
            let actual_ms = ROUND_TRIP_MS + true_backlog_ms + WORK_MS;
            late_count += f64::from(u8::from(actual_ms > GOAL_MS));
            true_backlog_ms += WORK_MS / REMOTE_ENDPOINTS;
            sent_count += 1.0;
        }
    }

    let capacity = LENGTH_MS as f64 / WORK_MS * REMOTE_ENDPOINTS;
    assert!(sent_count >= 0.8 * capacity, "{sent_count} of {capacity}");
    assert!(
        late_count <= 0.05 * sent_count,
        "{late_count} of {sent_count} late"
    );
}

/// Guards against requests forwarded on the word of an old report, and against a
/// reported backlog that is taken to vanish although the region has callers of its own.
#[test]
fn reported_backlog_stays_until_the_next_report() {
    let mut hosts = Hosts::new(host("host-0", "north"));
    hosts.apply_beacon(remote_beacon(1, 300.0), 0);
    hosts.record_remote_work("south", "desk", 200.0);

    assert_eq!(hosts.remote_wait_ms("south", "desk", 3, 0), Some(600.0));
    assert_eq!(hosts.remote_wait_ms("south", "desk", 3, 100), Some(500.0));
    assert_eq!(hosts.remote_wait_ms("south", "desk", 3, 2_000), Some(300.0));
    assert_eq!(hosts.remote_wait_ms("south", "desk", 3, 3_000), None);
}

/// Returns a fleet in which streams at some endpoints are slower than the goal of 100 ms, while
/// engines only prefill.
fn fleet_with_slow_streams(endpoint_count: usize, slow: &[&str]) -> Fleet {
    let mut fleet = fleet_of(endpoint_count, 0);
    for number in 0..endpoint_count {
        let id = format!("e-{number}");
        let event_ms = if slow.contains(&id.as_str()) { 170 } else { 50 };
        let endpoint = fleet.get_mut(&id).expect("the endpoint");
        let work = Work {
            uncached_tokens: 100_000,
            reserved_tokens: 100_000,
        };
        endpoint.record_send(work, 1_000);
        endpoint.record_first_event(work);
        endpoint.pace.record(6, 6 * event_ms, 1_000);
    }
    fleet
}

fn paced_query<'a>(
    service: &'a Service,
    metadata: &'a RequestMetadata,
    region: &'a RegionView,
) -> EndpointQuery<'a> {
    EndpointQuery {
        goal_left_ms: 1_200.0,
        time_left_ms: 15_000.0,
        pace_goal: Pace::from_event_ms(100.0),
        ..EndpointQuery::new(service, metadata, region)
    }
}

/// Guards against prompts that an engine prefills although its streams run out of time.
#[test]
fn prompt_goes_where_streams_bear_it_or_waits() {
    let (service, metadata, region) = (model(), prompt(2, 3), RegionView { host_count: 1 });
    let query = paced_query(&service, &metadata, &region);
    let placed = |fleet: &Fleet| {
        place(PlacementContext {
            local: fleet.choose(&query, 1_000),
            goal_left_ms: query.goal_left_ms,
            goal_ms: query.goal_left_ms,
            time_left_ms: query.time_left_ms,
            ..placement_context()
        })
    };

    let one_fast = placed(&fleet_with_slow_streams(3, &["e-0", "e-2"]));
    let all_slow = placed(&fleet_with_slow_streams(3, &["e-0", "e-1", "e-2"]));

    let Placement::Send(choice) = one_fast else {
        panic!("{one_fast:?}");
    };
    assert_eq!(choice.endpoint, "e-1");
    assert_eq!(all_slow, Placement::Wait);
}

/// Guards against urgent prompts that are held because of prefill that yields to them.
#[test]
fn urgent_prompt_is_not_held_for_less_urgent_prefill() {
    let fleet = fleet_with_slow_streams(1, &["e-0"]);
    let (service, metadata, region) = (model(), prompt(2, 3), RegionView { host_count: 1 });
    let has_room = |share_ahead: f64| {
        let query = EndpointQuery {
            share_ahead,
            ..paced_query(&service, &metadata, &region)
        };
        let choice = fleet.choose(&query, 1_000).expect("an endpoint");
        choice.has_room()
    };

    assert!(has_room(0.2));
    assert!(!has_room(1.0));
}

/// Guards against an endpoint that is slow by itself and never gets a prompt.
#[test]
fn slow_engine_without_prefill_gets_prompts() {
    let mut fleet = fleet_of(1, 0);
    let endpoint = fleet.get_mut("e-0").expect("the endpoint");
    endpoint.pace.record(6, 1_800, 1_000);
    let (service, metadata, region) = (model(), prompt(2, 3), RegionView { host_count: 1 });
    let query = paced_query(&service, &metadata, &region);

    let choice = fleet.choose(&query, 1_000).expect("an endpoint");

    assert!(choice.has_room());
}
