//! Hosts, endpoints, callers and events for the decision tests.

#![allow(dead_code, reason = "each test binary uses only some items")]

use std::{
    fmt::Write,
    net::SocketAddr,
    sync::Arc, //
};

use cardamombridge::{
    decision::{
        Gateway,
        GatewayConfig,
        RegionLink,
        event::{
            Action,
            Arrival,
            AttemptOutcome,
            Event,
            Origin, //
        },
        policy::Policy,
        residency::AllowedRegions,
        view::{
            EndpointInfo,
            EndpointReport,
            ForwardHost,
            Heartbeat,
            RegionSummary,
            TargetCapacity, //
        }, //
    },
    intent::{
        CallerIntent,
        Intents,
        ModelIntent,
        Object,
        ServiceIntent, //
    },
    types::{
        Attempt,
        Bytes,
        CostMicros,
        Incarnation,
        MbitPerSecond,
        Millis,
        RequestId,
        Revision,
        Tier,
        Tokens, //
    }, //
};

/// Time at which sessions start, which is the start of a budget period.
pub const START: Millis = Millis(1_000_000_000);

/// Budget of the test callers.
pub const BUDGET: CostMicros = CostMicros(10_000_000);

/// Parses an identifier that the test knows to be valid.
pub fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid identifier")
}

/// Returns `START` plus `ms` milliseconds.
pub fn at(ms: u64) -> Millis {
    START + Millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn caller_intent(tier: Tier, regions: &[&str]) -> CallerIntent {
    CallerIntent {
        key_sha256: "00".into(),
        home: id("stred"),
        regions: regions.iter().map(|region| id(region)).collect(),
        targets: vec![id("model/stain"), id("service/orders")],
        tier,
        first_token_ms: Millis(1_600),
        deadline_ms: Millis(60_000),
        objective_permille: 950,
        budget_micros: BUDGET,
        period_ms: Millis(1_000_000),
    }
}

/// A configuration with three callers: `wide` may use three regions, `bound` only
/// stred and `away` only zapad. Only `bound` may use the tier `priority`.
pub fn intents() -> Arc<Intents> {
    let model = ModelIntent {
        version: "v2".into(),
        prefill_micros_per_ktok: CostMicros(100),
        decode_micros_per_ktok: CostMicros(1_000),
    };
    let service = ServiceIntent {
        repeatable_methods: vec!["GET".into()],
        call_micros: CostMicros(50),
    };
    let caller = |tier, regions: &[&str]| Object::Caller(caller_intent(tier, regions));
    let everywhere = ["stred", "zapad", "sever"];
    Arc::new(
        Intents::new()
            .with_object(id("model/stain"), Object::Model(model))
            .with_object(id("service/orders"), Object::Service(service))
            .with_object(id("caller/wide"), caller(Tier::Default, &everywhere))
            .with_object(id("caller/bound"), caller(Tier::Priority, &["stred"]))
            .with_object(id("caller/away"), caller(Tier::Default, &["zapad"])),
    )
}

/// A host in stred with links to zapad and sever.
pub fn gateway(seed: u64, policy: Policy) -> Gateway {
    let link = |region| RegionLink {
        region: id(region),
        latency_ms: Millis(80),
        rate: MbitPerSecond(2_000),
    };
    let config = GatewayConfig {
        host: id("h1"),
        incarnation: Incarnation(1),
        region: id("stred"),
        links: vec![link("zapad"), link("sever")],
        seed,
    };
    Gateway::new(config).with_policy(policy)
}

/// An endpoint of the stain model in stred.
pub fn endpoint(name: &str, slots: u32) -> EndpointInfo {
    EndpointInfo {
        id: id(name),
        address: address(9_000),
        region: id("stred"),
        data_centre: id("dc1"),
        target: id("model/stain"),
        version: "v2".into(),
        slots,
        can_continue: true,
        is_leaving: false,
    }
}

/// An event with the platform's list of these endpoints.
pub fn listed(endpoints: Vec<EndpointInfo>) -> Event {
    Event::Listed {
        endpoints,
        hosts: Vec::new(),
    }
}

/// A load report from an endpoint's first instance.
pub fn report(name: &str, measured_ms: Millis, running: u32) -> EndpointReport {
    EndpointReport {
        endpoint: id(name),
        incarnation: Incarnation(1),
        measured_ms,
        running,
        waiting: 0,
        cache_permille: 0,
        is_leaving: false,
    }
}

/// A heartbeat of a ready host in stred.
pub fn heartbeat(name: &str, sequence: u64, open_requests: u32) -> Heartbeat {
    Heartbeat {
        host: id(name),
        incarnation: Incarnation(1),
        sequence,
        region: id("stred"),
        data_centre: id("dc1"),
        peer_address: address(7_000),
        caller_address: address(8_000),
        is_leaving: false,
        is_ready: true,
        revision: Revision(5),
        open_requests,
        ticket_owners: Vec::new(),
    }
}

/// A summary of another region with two hosts.
pub fn summary(region: &str, made_ms: Millis, slots: u32, busy: u32) -> RegionSummary {
    let host = |number: u16| ForwardHost {
        host: id(&format!("{region}-{number}")),
        peer_address: address(7_100 + number),
        caller_address: address(8_100 + number),
    };
    RegionSummary {
        region: id(region),
        made_ms,
        capacity: vec![TargetCapacity {
            target: id("model/stain"),
            slots,
            busy,
        }],
        lowest_revision: Revision(5),
        hosts: vec![host(1), host(2)],
    }
}

/// A request for the stain model.
pub fn arrival(number: u128, caller: &str, deadline_ms: Millis) -> Arrival {
    Arrival {
        request: RequestId(number),
        caller: id(caller),
        target: id("model/stain"),
        tier: Tier::Default,
        prompt_tokens: Tokens(512),
        max_output_tokens: Tokens(400),
        prefix_hashes: Vec::new(),
        body_bytes: Bytes(2_048),
        deadline_ms,
        is_repeatable: true,
        needs_continuation: false,
        origin: Origin::Caller,
    }
}

/// The same request as forwarded by a host of zapad.
pub fn forwarded(arrival: Arrival, allowed: &[&str]) -> Arrival {
    let json = serde_json::to_string(allowed).expect("list of regions");
    let allowed: AllowedRegions = serde_json::from_str(&json).expect("allowed regions");
    Arrival {
        origin: Origin::Host {
            region: id("zapad"),
            host: id("zapad-1"),
            allowed,
        },
        ..arrival
    }
}

/// A grant for a caller in the period that begins at `START`.
pub fn granted(caller: &str, amount: u64) -> Event {
    Event::Granted {
        caller: id(caller),
        period_start_ms: START,
        amount_micros: CostMicros(amount),
    }
}

/// The end of an attempt.
pub fn ended(number: u128, attempt: u16, outcome: AttemptOutcome) -> Event {
    Event::Ended {
        request: RequestId(number),
        attempt: Attempt(attempt),
        outcome,
    }
}

/// A complete response of 100 tokens.
pub fn complete() -> AttemptOutcome {
    AttemptOutcome::Complete {
        output_tokens: Tokens(100),
        cached_tokens: Tokens(0),
    }
}

/// A host with a configuration, ample grants and the given endpoints.
pub fn ready(seed: u64, policy: Policy, endpoints: Vec<EndpointInfo>) -> Gateway {
    let mut gateway = gateway(seed, policy);
    let events = [
        Event::InForce(intents()),
        listed(endpoints),
        granted("wide", 5_000_000),
        granted("bound", 5_000_000),
    ];
    for event in events {
        run(&mut gateway, START, event);
    }
    gateway
}

/// Passes one event to a host and returns the actions.
pub fn run(gateway: &mut Gateway, now_ms: Millis, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now_ms, event, &mut actions);
    actions
}

/// Records a session as text: each event with its time, then its actions.
pub struct Session {
    /// The host under test.
    pub gateway: Gateway,
    /// The text so far.
    pub text: String,
}

impl Session {
    /// Starts a session of a host.
    pub fn new(gateway: Gateway) -> Self {
        let text = String::new();
        Self { gateway, text }
    }

    /// Passes an event, described by `label`, to the host `ms` after the start.
    pub fn step(&mut self, ms: u64, label: &str, event: Event) -> Vec<Action> {
        let actions = run(&mut self.gateway, at(ms), event);
        writeln!(self.text, "{ms} {label}").expect("write to text");
        for action in &actions {
            writeln!(self.text, "    {}", describe(action)).expect("write to text");
        }
        actions
    }

    /// Ticks every 50 ms in a time span and records only ticks with actions.
    pub fn ticks(&mut self, from_ms: u64, to_ms: u64) -> Vec<Action> {
        let mut all = Vec::new();
        for ms in (from_ms..=to_ms).step_by(50) {
            let length = self.text.len();
            let actions = self.step(ms, "tick", Event::Tick);
            if actions.is_empty() {
                self.text.truncate(length);
            }
            all.extend(actions);
        }
        all
    }
}

/// Describes an action in one line.
pub fn describe(action: &Action) -> String {
    match action {
        Action::Send {
            request,
            attempt,
            endpoint,
            ..
        } => format!("send {:x} attempt {attempt} to {endpoint}", request.0),
        Action::Forward {
            request,
            attempt,
            host,
            region,
            allowed,
            ..
        } => {
            let allowed: Vec<&str> = allowed.iter().map(|region| region.as_str()).collect();
            let allowed = allowed.join(",");
            let request = request.0;
            format!("forward {request:x} attempt {attempt} to {host} in {region} of {allowed}")
        }
        Action::Refuse { request, refusal } => {
            let retry = refusal.retry_after_ms;
            let retry = retry.map_or("never".to_owned(), |wait| wait.to_string());
            format!(
                "refuse {:x} {:?} retry after {retry}",
                request.0, refusal.reason
            )
        }
        Action::Cancel { request, attempt } => format!("cancel {:x} attempt {attempt}", request.0),
        Action::RequestGrant {
            caller,
            amount_micros,
        } => format!("ask {amount_micros} for {caller}"),
    }
}
