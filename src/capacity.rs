//! The `capacity` command: what each role of a host costs as its load grows.
//!
//! Each series varies one size, measures one cost at four or more points and
//! fits a line through them. Times are processor time of the measuring thread.
//! Memory is the growth of the resident set over copies that are kept until the
//! process ends, because freed memory would be used again and hide the growth;
//! these series therefore run first. `docs/CAPACITY.md` works with the slopes.

use std::{
    fs,
    hint::black_box,
    io::Write,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    str::FromStr,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::{
    Context,
    ensure, //
};
use clap::Args;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::{
    burn::{
        Burn,
        Delivery,
        Promise, //
    },
    consul::{
        ENDPOINT_SERVICE,
        Index,
        KeyValue,
        ServiceList, //
    },
    cpu_clock::{
        self,
        CpuTimer, //
    },
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
        residency::AllowedRegions,
        view::{
            EndpointInfo,
            EndpointReport,
            ForwardHost,
            RegionSummary,
            TargetCapacity, //
        }, //
    },
    fit::{
        Fit,
        Point, //
    },
    grant::{
        self,
        GrantId,
        GrantOutcome,
        GrantRequest, //
    },
    http::{
        client::{
            self,
            Call, //
        },
        message::Headers, //
    },
    intent::{
        CallerIntent,
        Intents,
        ModelIntent,
        Object,
        ObjectChange,
        ObjectName,
        ServiceIntent, //
    },
    outcome::Unsent,
    peer::gossip,
    plan::{
        Plan,
        PlanRules, //
    },
    poller::{
        self,
        EngineLoad, //
    },
    rollout::{
        self,
        Acceptor,
        ChangeSet,
        HEAD_KEY,
        HeadWatch,
        InForce,
        SHARD_COUNT, //
    },
    standin::{
        engine::{
            EngineOptions,
            EngineStandin, //
        },
        platform::PlatformStandin, //
    },
    ticket::{
        call::{
            CallDigest,
            KeptResponse, //
        },
        table::{
            Begin,
            IssueRequest,
            TicketLimits,
            TicketTable, //
        },
        token::{
            HostInstance,
            TicketId,
            TicketOwner,
            TicketSigner, //
            VerifyContext,
        }, //
    },
    types::{
        Bytes,
        CallerId,
        CostMicros,
        Incarnation,
        MbitPerSecond,
        Millis,
        RequestId,
        Target,
        Tier,
        Tokens, //
    }, //
};

const SEED: u64 = 17;
/// A multiple of [`PERIOD_MS`], so that a budget period begins here.
const START_MS: Millis = Millis(1_699_920_000_000);
const PERIOD_MS: Millis = Millis(86_400_000);
const MODELS: usize = 5;
const SLOTS: u32 = 64;
/// Size of the pages in which Linux counts memory on the usual machines.
const PAGE_BYTES: f64 = 4_096.0;
/// Tickets and burn counts are large, so that few copies show their size.
const LARGE_COPIES: usize = 2;

/// Options of the measurement.
#[derive(Debug, Clone, Args)]
#[command(after_help = "Examples:\n  \
    cardamombridge capacity\n  \
    cardamombridge capacity --quick --json")]
pub struct CapacityArgs {
    /// Print JSON, with all points.
    #[arg(long)]
    pub json: bool,
    /// Measure small sizes for a short time; the slopes are rough.
    #[arg(long)]
    pub quick: bool,
}

/// A cost over a size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// Part of a host that has the cost.
    pub role: &'static str,
    /// What was varied.
    pub over: &'static str,
    /// What was measured, with its unit.
    pub cost: &'static str,
    /// What stayed the same.
    pub fixed: &'static str,
    /// Measured values.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

/// All series of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CapacityReport {
    /// Where the times come from.
    pub clock: &'static str,
    /// Whether only small sizes were measured.
    pub is_quick: bool,
    /// The series, by role.
    pub series: Vec<Series>,
}

/// Sizes of one run.
#[derive(Debug, Clone)]
struct Sizes {
    gossip_hosts: Vec<usize>,
    gossip_host_endpoints: usize,
    gossip_endpoints: Vec<usize>,
    gossip_endpoint_hosts: usize,
    gossip_regions: Vec<usize>,
    gossip_seconds: u64,
    endpoints: Vec<usize>,
    accounts: Vec<usize>,
    regions: Vec<usize>,
    decisions: usize,
    changes: Vec<usize>,
    watchers: Vec<usize>,
    applied: usize,
    demand_accounts: Vec<usize>,
    demand_hosts: Vec<usize>,
    demand_requests: Vec<usize>,
    tickets: Vec<usize>,
    burn_requests: usize,
    metric_lines: Vec<usize>,
    polls: Vec<usize>,
    copies: usize,
}

impl Sizes {
    fn new(is_quick: bool) -> Self {
        if is_quick {
            return Self {
                gossip_hosts: vec![2, 3, 4, 6],
                gossip_host_endpoints: 4,
                gossip_endpoints: vec![2, 4, 8, 12],
                gossip_endpoint_hosts: 3,
                gossip_regions: vec![2, 3, 4, 5],
                gossip_seconds: 2,
                endpoints: vec![8, 16, 32, 64],
                accounts: vec![8, 16, 32, 64],
                regions: vec![1, 2, 4, 8],
                decisions: 400,
                changes: vec![1, 4, 8, 16],
                watchers: vec![1, 2, 3, 4],
                applied: 50,
                demand_accounts: vec![2, 4, 8, 16],
                demand_hosts: vec![1, 2, 4, 8],
                demand_requests: vec![1, 2, 4, 8],
                tickets: vec![100, 200, 400, 800],
                burn_requests: 20,
                metric_lines: vec![20, 50, 100, 200],
                polls: vec![4, 8, 16, 32],
                copies: 4,
            };
        }
        Self {
            gossip_hosts: vec![4, 12, 24, 40, 66],
            gossip_host_endpoints: 179,
            gossip_endpoints: vec![20, 60, 120, 179],
            gossip_endpoint_hosts: 24,
            gossip_regions: vec![4, 8, 16, 28, 56],
            gossip_seconds: 20,
            endpoints: vec![45, 90, 179, 358],
            accounts: vec![50, 185, 370, 740],
            regions: vec![1, 8, 28, 56],
            decisions: 4_000,
            changes: vec![1, 4, 8, 16, 32],
            watchers: vec![1, 2, 4, 8],
            applied: 400,
            demand_accounts: vec![10, 20, 40, 80],
            demand_hosts: vec![1, 4, 8, 16],
            demand_requests: vec![1, 5, 20, 50],
            tickets: vec![1_000, 4_000, 8_000, 16_000],
            burn_requests: 200,
            metric_lines: vec![50, 200, 400, 800],
            polls: vec![50, 100, 200, 400],
            copies: 16,
        }
    }
}

/// Measures all series.
pub fn measure(is_quick: bool) -> anyhow::Result<CapacityReport> {
    let sizes = Sizes::new(is_quick);
    let mut report = Collected::default();
    measure_memory(&sizes, &mut report)?;
    measure_gossip(&sizes, &mut report)?;
    measure_decisions(&sizes, &mut report)?;
    measure_configuration(&sizes, &mut report)?;
    measure_spending(&sizes, &mut report)?;
    measure_tickets(&sizes, &mut report)?;
    measure_burn(&sizes, &mut report)?;
    measure_polls(&sizes, &mut report)?;
    measure_list(&sizes, &mut report)?;
    report.series.sort_by_key(|series| role_rank(series.role));
    Ok(CapacityReport {
        clock: cpu_clock::CLOCK,
        is_quick,
        series: report.series,
    })
}

const ROLES: [&str; 8] = [
    "gossip",
    "decisions",
    "configuration",
    "spending",
    "tickets",
    "burn",
    "polling",
    "list",
];

fn role_rank(role: &str) -> usize {
    ROLES
        .iter()
        .position(|known| *known == role)
        .unwrap_or(ROLES.len())
}

#[derive(Debug, Default)]
struct Collected {
    series: Vec<Series>,
}

impl Collected {
    fn add(
        &mut self,
        role: &'static str,
        over: &'static str,
        cost: &'static str,
        fixed: &'static str,
        points: Vec<Point>,
    ) -> anyhow::Result<()> {
        let fit = Fit::new(&points).with_context(|| format!("{role}: {cost} has no line"))?;
        self.series.push(Series {
            role,
            over,
            cost,
            fixed,
            points,
            fit,
        });
        Ok(())
    }
}

fn id<Id>(text: &str) -> Id
where
    Id: FromStr,
    Id::Err: std::fmt::Debug,
{
    text.parse().expect("generated identifiers are valid")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn point(x: usize, y: f64) -> Point {
    Point { x: x as f64, y }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Resident memory of this process.
fn resident_bytes() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm").context("memory use cannot be read")?;
    let pages: f64 = text
        .split_ascii_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .context("memory use has no resident size")?;
    Ok(pages * PAGE_BYTES)
}

/// Memory of one value, from the growth over several that are never freed.
fn memory_bytes<Value, Build>(copies: usize, build: Build) -> anyhow::Result<f64>
where
    Build: Fn() -> Value,
{
    // The first value also uses up what earlier ones have freed.
    std::mem::forget(black_box(build()));
    let before = resident_bytes()?;
    for _ in 0..copies {
        std::mem::forget(black_box(build()));
    }
    Ok((resident_bytes()? - before) / copies as f64)
}

fn region_name(number: usize) -> String {
    format!("region-{number:02}")
}

fn caller_name(number: usize) -> String {
    format!("account-{number:04}")
}

fn model_name(number: usize) -> String {
    format!("model-{}", number % MODELS)
}

fn caller_object(number: usize, budget_micros: u64) -> Object {
    let mut targets: Vec<Target> = (0..MODELS)
        .map(|model| Target::Model(id(&model_name(model))))
        .collect();
    targets.push(Target::Service(id("orders")));
    Object::Caller(CallerIntent {
        key_sha256: format!("{number:064x}").into(),
        home: id(&region_name(0)),
        regions: (0..4).map(|region| id(&region_name(region))).collect(),
        targets,
        tier: Tier::Default,
        first_token_ms: Millis(1_600),
        deadline_ms: Millis(60_000),
        objective_permille: 950,
        budget_micros: CostMicros(budget_micros),
        period_ms: PERIOD_MS,
    })
}

const BUDGET_MICROS: u64 = 100_000_000_000;

/// A configuration with five models, a service and `accounts` callers.
fn wanted(accounts: usize) -> Vec<ObjectChange> {
    let change = |name: ObjectName, object| ObjectChange {
        name,
        object: Some(object),
    };
    let model = |number| {
        let model = ModelIntent {
            version: "1.0".into(),
            prefill_micros_per_ktok: CostMicros(300),
            decode_micros_per_ktok: CostMicros(900),
        };
        let name = ObjectName::Model(id(&model_name(number)));
        change(name, Object::Model(model))
    };
    let caller = |number| {
        let name = ObjectName::Caller(id(&caller_name(number)));
        change(name, caller_object(number, BUDGET_MICROS))
    };
    let service = ServiceIntent {
        repeatable_methods: vec!["GET".into()],
        call_micros: CostMicros(50),
    };
    let mut changes: Vec<ObjectChange> = (0..MODELS).map(model).collect();
    changes.push(change(
        ObjectName::Service(id("orders")),
        Object::Service(service),
    ));
    changes.extend((0..accounts).map(caller));
    changes
}

fn intents(accounts: usize) -> Intents {
    wanted(accounts)
        .into_iter()
        .fold(Intents::new(), |intents, change| match change.object {
            Some(object) => intents.with_object(change.name, object),
            None => intents,
        })
}

/// A host with `regions` regions, its own included, that knows all of them.
fn gateway(regions: usize, endpoints: usize, intents: &Arc<Intents>) -> Gateway {
    let link = |number| RegionLink {
        region: id(&region_name(number)),
        latency_ms: Millis(80),
        rate: MbitPerSecond(2_000),
    };
    let mut gateway = Gateway::new(GatewayConfig {
        host: id("host-0"),
        incarnation: Incarnation(1),
        region: id(&region_name(0)),
        links: (1..regions).map(link).collect(),
        seed: SEED,
    });
    let listed = Event::Listed {
        endpoints: (0..endpoints).map(endpoint).collect(),
        hosts: Vec::new(),
    };
    let mut actions = Vec::new();
    gateway.handle(START_MS, Event::InForce(Arc::clone(intents)), &mut actions);
    gateway.handle(START_MS, listed, &mut actions);
    refresh(&mut gateway, START_MS, regions, endpoints);
    gateway
}

fn endpoint(number: usize) -> EndpointInfo {
    EndpointInfo {
        id: id(&format!("engine-{number:05}")),
        address: address(9_000),
        region: id(&region_name(0)),
        data_centre: id("dc-1"),
        target: Target::Model(id(&model_name(number))),
        version: "1.0".into(),
        slots: SLOTS,
        can_continue: true,
        is_leaving: false,
    }
}

/// Gives a host fresh reports of its endpoints and of the other regions.
fn refresh(gateway: &mut Gateway, now_ms: Millis, regions: usize, endpoints: usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut actions = Vec::new();
    for number in 0..endpoints {
        let report = EndpointReport {
            endpoint: id(&format!("engine-{number:05}")),
            incarnation: Incarnation(1),
            measured_ms: now_ms,
            running: rng.random_range(0..SLOTS / 2),
            waiting: 0,
            cache_permille: 500,
            is_leaving: false,
        };
        gateway.handle(now_ms, Event::Report(report), &mut actions);
    }
    for number in 1..regions {
        let host = |host: usize| ForwardHost {
            host: id(&format!("host-{number}-{host}")),
            peer_address: address(7_000),
            caller_address: address(8_000),
        };
        let capacity = |model| TargetCapacity {
            target: Target::Model(id(&model_name(model))),
            slots: 1_024,
            busy: 512,
        };
        let summary = RegionSummary {
            region: id(&region_name(number)),
            made_ms: now_ms,
            capacity: (0..MODELS).map(capacity).collect(),
            lowest_revision: Default::default(),
            hosts: (0..8).map(host).collect(),
        };
        gateway.handle(now_ms, Event::Summary(summary), &mut actions);
    }
}

fn measure_memory(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let none = Arc::new(intents(0));
    let mut points = Vec::new();
    for &endpoints in &sizes.endpoints {
        let bytes = memory_bytes(sizes.copies, || gateway(1, endpoints, &none))?;
        points.push(point(endpoints, bytes));
    }
    report.add(
        "decisions",
        "endpoints",
        "memory B",
        "1 region, no accounts",
        points,
    )?;

    let mut points = Vec::new();
    for &regions in &sizes.regions {
        let bytes = memory_bytes(sizes.copies * 4, || gateway(regions, 0, &none))?;
        points.push(point(regions, bytes));
    }
    report.add(
        "decisions",
        "regions",
        "memory B",
        "no endpoints, 8 hosts each",
        points,
    )?;

    let mut points = Vec::new();
    for &accounts in &sizes.accounts {
        let bytes = memory_bytes(sizes.copies, || intents(accounts))?;
        points.push(point(accounts, bytes));
    }
    report.add(
        "configuration",
        "accounts",
        "memory B",
        "5 models, 1 service",
        points,
    )?;

    let mut points = Vec::new();
    for &tickets in &sizes.tickets {
        let bytes = memory_bytes(LARGE_COPIES, || ticket_table(tickets))?;
        points.push(point(tickets, bytes));
    }
    report.add(
        "tickets",
        "tickets",
        "memory B",
        "issued, no answers kept",
        points,
    )?;

    let mut points = Vec::new();
    for &accounts in &sizes.accounts {
        let bytes = memory_bytes(LARGE_COPIES, || burn(accounts, sizes.burn_requests))?;
        points.push(point(accounts, bytes));
    }
    report.add(
        "burn",
        "accounts",
        "memory B",
        "all windows, 3 objectives",
        points,
    )
}

fn measure_gossip(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let seconds = sizes.gossip_seconds;
    let over_hosts: Vec<_> = sizes
        .gossip_hosts
        .iter()
        .map(|&hosts| gossip::measure_region(hosts, sizes.gossip_host_endpoints, seconds))
        .collect();
    let over_endpoints: Vec<_> = sizes
        .gossip_endpoints
        .iter()
        .map(|&endpoints| gossip::measure_region(sizes.gossip_endpoint_hosts, endpoints, seconds))
        .collect();
    type Value = fn(&gossip::GossipCost) -> f64;
    let costs: [(&'static str, Value); 5] = [
        ("sent+received B/s", |cost| cost.mean_bytes_per_s),
        ("busiest host B/s", |cost| cost.max_bytes_per_s),
        ("cpu us/s", |cost| cost.cpu_micros_per_s),
        ("report age p99 ms", |cost| cost.report_age_p99_ms as f64),
        ("host age p99 ms", |cost| cost.beat_age_p99_ms as f64),
    ];
    for (cost, value) in costs {
        let points = over_hosts.iter().map(|c| point(c.hosts, value(c)));
        report.add(
            "gossip",
            "hosts/region",
            cost,
            "same endpoints",
            points.collect(),
        )?;
    }
    for (cost, value) in costs {
        let points = over_endpoints.iter().map(|c| point(c.endpoints, value(c)));
        report.add(
            "gossip",
            "endpoints/region",
            cost,
            "same hosts",
            points.collect(),
        )?;
    }
    let over_regions: Vec<_> = sizes
        .gossip_regions
        .iter()
        .map(|&regions| gossip::measure_cross_region(regions, 3, seconds))
        .collect();
    type RegionValue = fn(&gossip::CrossRegionCost) -> f64;
    let costs: [(&'static str, RegionValue); 4] = [
        ("sent+received B/s", |cost| cost.mean_bytes_per_s),
        ("cpu us/s", |cost| cost.cpu_micros_per_s),
        ("summary age p99 ms", |cost| cost.summary_age_p99_ms as f64),
        ("revision everywhere ms", |cost| {
            cost.revision_everywhere_ms as f64
        }),
    ];
    for (cost, value) in costs {
        let points = over_regions.iter().map(|c| point(c.regions, value(c)));
        report.add(
            "gossip",
            "regions",
            cost,
            "3 hosts/region",
            points.collect(),
        )?;
    }
    Ok(())
}

fn arrival(number: usize, accounts: usize, now_ms: Millis) -> Arrival {
    Arrival {
        request: RequestId(number as u128),
        caller: id(&caller_name(number % accounts)),
        target: Target::Model(id(&model_name(number))),
        tier: Tier::Default,
        prompt_tokens: Tokens(512),
        max_output_tokens: Tokens(344),
        prefix_hashes: vec![number as u64 % 64, number as u64],
        body_bytes: Bytes(4_096),
        deadline_ms: now_ms + Millis(60_000),
        is_repeatable: true,
        needs_continuation: false,
        origin: Origin::Caller,
    }
}

/// Answers every ask for money in full and ends every attempt with success.
fn settle(gateway: &mut Gateway, now_ms: Millis, actions: &mut Vec<Action>) -> Settled {
    let mut settled = Settled::default();
    while let Some(action) = actions.pop() {
        match action {
            Action::Send {
                request, attempt, ..
            }
            | Action::Forward {
                request, attempt, ..
            } => {
                settled.sent += 1;
                gateway.handle(now_ms, Event::FirstToken { request, attempt }, actions);
                let outcome = AttemptOutcome::Complete {
                    output_tokens: Tokens(344),
                    cached_tokens: Tokens(0),
                };
                let ended = Event::Ended {
                    request,
                    attempt,
                    outcome,
                };
                gateway.handle(now_ms, ended, actions);
            }
            Action::RequestGrant {
                caller,
                amount_micros,
            } => {
                settled.grants += 1;
                let granted = Event::Granted {
                    caller,
                    period_start_ms: grant::period_start(now_ms, PERIOD_MS),
                    amount_micros,
                };
                gateway.handle(now_ms, granted, actions);
            }
            Action::Refuse { .. } => settled.refused += 1,
            Action::Cancel { .. } => {}
        }
    }
    settled
}

#[derive(Debug, Clone, Copy, Default)]
struct Settled {
    sent: usize,
    refused: usize,
    grants: usize,
}

impl Settled {
    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.refused += other.refused;
        self.grants += other.grants;
    }
}

/// Processor time of all events of one request.
fn decision_micros(
    regions: usize,
    endpoints: usize,
    accounts: usize,
    decisions: usize,
) -> anyhow::Result<f64> {
    let intents = Arc::new(intents(accounts));
    let mut gateway = gateway(regions, endpoints, &intents);
    let mut actions = Vec::new();
    let mut settled = Settled::default();
    let mut spent = Duration::ZERO;
    for number in 0..decisions + accounts {
        // The first request of each account waits for its first share.
        let arrived = Event::Arrived(arrival(number, accounts, START_MS));
        let timer = CpuTimer::start();
        gateway.handle(START_MS, arrived, &mut actions);
        settled.add(settle(&mut gateway, START_MS, &mut actions));
        if number >= accounts {
            spent += timer.elapsed();
        }
    }
    ensure!(
        settled.sent == decisions + accounts,
        "{} of {} requests were sent, {} refused",
        settled.sent,
        decisions + accounts,
        settled.refused
    );
    Ok(micros(spent) / decisions as f64)
}

fn measure_decisions(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for &endpoints in &sizes.endpoints {
        let cost = decision_micros(1, endpoints, 10, sizes.decisions)?;
        points.push(point(endpoints, cost));
    }
    report.add(
        "decisions",
        "endpoints",
        "cpu us/request",
        "1 region, 10 accounts",
        points,
    )?;

    let mut points = Vec::new();
    for &accounts in &sizes.accounts {
        points.push(point(
            accounts,
            decision_micros(1, 40, accounts, sizes.decisions)?,
        ));
    }
    report.add(
        "decisions",
        "accounts",
        "cpu us/request",
        "1 region, 40 endpoints",
        points,
    )?;

    let mut points = Vec::new();
    for &regions in &sizes.regions {
        points.push(point(
            regions,
            decision_micros(regions, 40, 10, sizes.decisions)?,
        ));
    }
    report.add(
        "decisions",
        "regions",
        "cpu us/request",
        "40 endpoints, 10 accounts",
        points,
    )?;

    let intents = Arc::new(intents(10));
    let mut points = Vec::new();
    for &endpoints in &sizes.endpoints {
        let mut gateway = gateway(1, endpoints, &intents);
        let rounds = 20;
        let timer = CpuTimer::start();
        for round in 0..rounds {
            refresh(&mut gateway, START_MS + Millis(round * 1_000), 1, endpoints);
        }
        points.push(point(endpoints, micros(timer.elapsed()) / rounds as f64));
    }
    report.add(
        "decisions",
        "endpoints",
        "cpu us/round of reports",
        "1 region",
        points,
    )
}

/// A service that holds a configuration, and what accepting it cost.
struct Store {
    standin: PlatformStandin,
    kv: KeyValue,
    acceptor: Acceptor,
}

impl Store {
    fn with_accounts(accounts: usize) -> anyhow::Result<Self> {
        let standin = PlatformStandin::start(address(0))?;
        let kv = KeyValue::new(standin.address()).with_timeout(Duration::from_secs(20));
        let acceptor = Acceptor::new(kv.clone());
        let store = Self {
            standin,
            kv,
            acceptor,
        };
        store.accept(wanted(accounts))?;
        Ok(store)
    }

    fn accept(&self, wanted: Vec<ObjectChange>) -> anyhow::Result<()> {
        let in_force = rollout::load(&self.kv)?;
        self.accept_onto(&in_force, wanted)
    }

    fn accept_onto(&self, in_force: &Intents, wanted: Vec<ObjectChange>) -> anyhow::Result<()> {
        let plan = Plan::new(in_force, wanted, &PlanRules::default())?;
        let accepted = self.acceptor.accept(&plan, in_force.revision, START_MS)?;
        self.acceptor.fold_if_due(accepted.revision)?;
        Ok(())
    }

    fn stored_bytes(&self, key: &str) -> anyhow::Result<f64> {
        let state = self.kv.read(key)?;
        Ok(state.value.map_or(0.0, |value| value.len() as f64))
    }
}

/// Another budget for one caller.
fn budget_change(account: usize, step: u64) -> Vec<ObjectChange> {
    vec![ObjectChange {
        name: ObjectName::Caller(id(&caller_name(account))),
        object: Some(caller_object(account, BUDGET_MICROS + step)),
    }]
}

/// Changes of one measurement; folds come every 16.
const CHANGES_TO_FOLD: usize = 32;

fn measure_configuration(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let mut snapshot = Vec::new();
    let mut shard = Vec::new();
    let mut head = Vec::new();
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    for &accounts in &sizes.accounts {
        let store = Store::with_accounts(accounts)?;
        let mut in_force = rollout::load(&store.kv)?;
        let before = store.standin.counts();
        for step in 0..CHANGES_TO_FOLD {
            let change = budget_change(step % accounts, step as u64 + 1);
            store.accept_onto(&in_force, change.clone())?;
            in_force = in_force.with_changes(&change);
            in_force.revision = in_force.revision.next();
        }
        let after = store.standin.counts();
        let per_change = |count: u64| count as f64 / CHANGES_TO_FOLD as f64;
        writes.push(point(accounts, per_change(after.writes - before.writes)));
        reads.push(point(accounts, per_change(after.reads - before.reads)));
        let loaded = rollout::load(&store.kv)?;
        let bytes = postcard::to_allocvec(&ChangeSet::Snapshot(loaded))?;
        snapshot.push(point(accounts, bytes.len() as f64));
        let mut largest: f64 = 0.0;
        for number in 0..SHARD_COUNT {
            largest = largest.max(store.stored_bytes(&rollout::shard_key(number))?);
        }
        shard.push(point(accounts, largest));
        head.push(point(accounts, store.stored_bytes(HEAD_KEY)?));
    }
    let role = "configuration";
    report.add(
        role,
        "accounts",
        "snapshot B",
        "postcard, to a peer",
        snapshot,
    )?;
    report.add(
        role,
        "accounts",
        "largest shard B",
        "JSON, 16 shards",
        shard,
    )?;
    report.add(
        role,
        "accounts",
        "head B",
        "JSON, 32 changes of 1 caller",
        head,
    )?;
    report.add(
        role,
        "accounts",
        "kv writes/change",
        "one writer, folds included",
        writes,
    )?;
    report.add(
        role,
        "accounts",
        "kv reads/change",
        "one writer, folds included",
        reads,
    )?;
    measure_apply(sizes, report)?;
    measure_watchers(sizes, report)
}

fn measure_apply(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let role = "configuration";
    let mut points = Vec::new();
    for &accounts in &sizes.accounts {
        let change = |intents: &Intents, step: usize| crate::intent::Change {
            id: crate::intent::ChangeId::new([step as u8; 32]),
            revision: intents.revision.next(),
            accepted_ms: START_MS,
            objects: budget_change(step % accounts, step as u64),
        };
        let mut in_force = InForce::new();
        in_force.apply(ChangeSet::Snapshot(intents(accounts)))?;
        let mut spent = Duration::ZERO;
        for step in 0..sizes.applied {
            // Other threads hold the configuration, so a change copies it.
            let held = in_force.intents();
            let set = ChangeSet::Changes(vec![change(&held, step)]);
            let timer = CpuTimer::start();
            in_force.apply(set)?;
            spent += timer.elapsed();
        }
        points.push(point(accounts, micros(spent) / sizes.applied as f64));
    }
    report.add(
        role,
        "accounts",
        "cpu us/change applied",
        "one at a time",
        points,
    )?;

    let mut bytes = Vec::new();
    for &count in &sizes.changes {
        let mut in_force = InForce::new();
        in_force.apply(ChangeSet::Snapshot(intents(50)))?;
        let start = in_force.revision();
        for step in 0..count {
            let set = ChangeSet::Changes(vec![crate::intent::Change {
                id: crate::intent::ChangeId::new([step as u8; 32]),
                revision: in_force.revision().next(),
                accepted_ms: START_MS,
                objects: budget_change(step, step as u64),
            }]);
            in_force.apply(set)?;
        }
        let encoded = postcard::to_allocvec(&in_force.changes_since(start))?;
        bytes.push(point(count, encoded.len() as f64));
    }
    report.add(
        role,
        "changes",
        "B to a peer",
        "1 caller each, postcard",
        bytes,
    )
}

fn measure_watchers(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    const CHANGES: usize = 4;
    let mut points = Vec::new();
    for &count in &sizes.watchers {
        let store = Store::with_accounts(8)?;
        let mut watchers: Vec<HeadWatch> = (0..count).map(|_| HeadWatch::new()).collect();
        let mut known = rollout::load(&store.kv)?;
        for watch in &mut watchers {
            watch.next(&store.kv, Duration::ZERO, known.revision)?;
        }
        let mut reads = 0;
        for step in 0..CHANGES {
            let change = budget_change(step, step as u64 + 1);
            store.accept_onto(&known, change.clone())?;
            let before = store.standin.counts();
            for watch in &mut watchers {
                let set = watch.next(&store.kv, Duration::from_secs(2), known.revision)?;
                ensure!(
                    set.is_some(),
                    "a watcher missed revision {}",
                    known.revision.next()
                );
            }
            reads += store.standin.counts().reads - before.reads;
            known = known.with_changes(&change);
            known.revision = known.revision.next();
        }
        points.push(point(count, reads as f64 / CHANGES as f64));
    }
    report.add(
        "configuration",
        "watchers",
        "kv reads/change",
        "no writer's reads",
        points,
    )
}

/// Grants a second that hosts ask for; each account sends to every host.
fn grants_per_second(
    hosts: usize,
    accounts: usize,
    requests_per_10_s: usize,
) -> anyhow::Result<f64> {
    const SECONDS: u64 = 1_800;
    const STEP_SECONDS: u64 = 10;
    let intents = Arc::new(intents(accounts));
    let mut gateways: Vec<Gateway> = (0..hosts).map(|_| gateway(1, 10, &intents)).collect();
    let mut settled = Settled::default();
    let mut actions = Vec::new();
    let mut number = 0;
    for second in (0..SECONDS).step_by(STEP_SECONDS as usize) {
        let now_ms = START_MS + Millis(second * 1_000);
        for gateway in &mut gateways {
            refresh(gateway, now_ms, 1, 10);
            gateway.handle(now_ms, Event::Tick, &mut actions);
            settled.add(settle(gateway, now_ms, &mut actions));
            for account in (0..accounts).flat_map(|n| std::iter::repeat_n(n, requests_per_10_s)) {
                number += 1;
                let mut arrived = arrival(number, accounts, now_ms);
                arrived.caller = id(&caller_name(account));
                gateway.handle(now_ms, Event::Arrived(arrived), &mut actions);
                settled.add(settle(gateway, now_ms, &mut actions));
            }
        }
    }
    ensure!(settled.grants > 0, "no host asked for money");
    Ok(settled.grants as f64 / SECONDS as f64)
}

fn measure_spending(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for &accounts in &sizes.demand_accounts {
        points.push(point(accounts, grants_per_second(1, accounts, 1)?));
    }
    report.add(
        "spending",
        "accounts",
        "grants/s",
        "1 host, 0.1 requests/s each",
        points,
    )?;
    let mut points = Vec::new();
    for &hosts in &sizes.demand_hosts {
        points.push(point(hosts, grants_per_second(hosts, 4, 1)?));
    }
    report.add(
        "spending",
        "hosts",
        "grants/s",
        "4 accounts, 0.1 requests/s each",
        points,
    )?;
    let mut points = Vec::new();
    for &requests in &sizes.demand_requests {
        points.push(point(requests, grants_per_second(1, 4, requests)?));
    }
    report.add(
        "spending",
        "requests/10 s",
        "grants/s",
        "1 host, 4 accounts",
        points,
    )?;
    measure_grant_calls(sizes, report)
}

fn measure_grant_calls(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    const GRANTS: u64 = 8;
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    for &hosts in &sizes.demand_hosts {
        let standin = PlatformStandin::start(address(0))?;
        let kv = KeyValue::new(standin.address()).with_timeout(Duration::from_secs(20));
        let granted: usize = thread::scope(|scope| {
            let takers: Vec<_> = (0..hosts)
                .map(|host| {
                    let kv = kv.clone();
                    scope.spawn(move || {
                        let ids = (0..GRANTS).map(|sequence| GrantId {
                            incarnation: Incarnation(host as u64),
                            sequence,
                        });
                        ids.filter(|id| take_one(&kv, *id)).count()
                    })
                })
                .collect();
            takers
                .into_iter()
                .map(|taker| taker.join().unwrap_or(0))
                .sum()
        });
        ensure!(granted > 0, "no grant was taken");
        let counts = standin.counts();
        writes.push(point(hosts, counts.writes as f64 / granted as f64));
        reads.push(point(hosts, counts.reads as f64 / granted as f64));
    }
    let fixed = "one key, all hosts at once";
    report.add("spending", "hosts", "kv writes/grant", fixed, writes)?;
    report.add("spending", "hosts", "kv reads/grant", fixed, reads)
}

fn take_one(kv: &KeyValue, grant: GrantId) -> bool {
    let request = GrantRequest {
        caller: id(&caller_name(0)),
        period_start_ms: START_MS,
        amount_micros: CostMicros(100),
        budget_micros: CostMicros(BUDGET_MICROS),
        id: grant,
    };
    matches!(grant::take_grant(kv, &request), GrantOutcome::Granted(_))
}

fn owner() -> TicketOwner {
    TicketOwner {
        instance: HostInstance {
            host: id("host-0"),
            incarnation: Incarnation(1),
        },
        region: id(&region_name(0)),
        peer_address: address(7_000),
    }
}

fn caller_intent() -> CallerIntent {
    match caller_object(0, BUDGET_MICROS) {
        Object::Caller(intent) => intent,
        _ => unreachable!("the object is a caller"),
    }
}

fn empty_table(tickets: usize) -> TicketTable {
    TicketTable::new(owner(), START_MS).with_limits(TicketLimits {
        max_tickets: tickets + 1,
        max_tickets_per_caller: tickets + 1,
        ..TicketLimits::default()
    })
}

fn ticket_table(tickets: usize) -> TicketTable {
    let mut table = empty_table(tickets);
    let allowed = AllowedRegions::new(&caller_intent());
    let (caller, service) = (id(&caller_name(0)), id("orders"));
    let issue_request = IssueRequest {
        caller: &caller,
        service: &service,
        allowed: &allowed,
    };
    for number in 0..tickets {
        let ticket = TicketId(RequestId(number as u128));
        // The limits above leave room for all of them.
        let _ = table.issue(ticket, &issue_request, START_MS);
    }
    table
}

fn measure_tickets(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    const ANSWER_BYTES: usize = 256;
    let signer = TicketSigner::new(b"a key of thirty-two bytes or more")?;
    let allowed = AllowedRegions::new(&caller_intent());
    let (caller, service) = (id(&caller_name(0)), id("orders"));
    let issue_request = IssueRequest {
        caller: &caller,
        service: &service,
        allowed: &allowed,
    };
    let context = VerifyContext {
        caller: &caller,
        service: Some(&service),
        allowed: &allowed,
        now_ms: START_MS,
    };
    let digest = CallDigest::new("POST", "/v1/services/orders/confirm", &[0; ANSWER_BYTES]);
    let mut cpu = Vec::new();
    let mut text_bytes = Vec::new();
    for &tickets in &sizes.tickets {
        let mut table = empty_table(tickets);
        let mut bytes = 0;
        let timer = CpuTimer::start();
        for number in 0..tickets {
            let ticket = TicketId(RequestId(number as u128));
            let ticket = table.issue(ticket, &issue_request, START_MS)?;
            let text = signer.encode(&ticket)?;
            bytes += text.len();
            let ticket = signer.verify(&text, &context)?;
            let begun = table.begin(&ticket, digest, Unsent::new(), START_MS);
            let Begin::Started { permit, unsent } = begun else {
                anyhow::bail!("ticket {number} did not start");
            };
            let response = KeptResponse::new(200, vec![0; ANSWER_BYTES]);
            table.finish(permit, unsent.mark_sent(), response, START_MS)?;
        }
        cpu.push(point(tickets, micros(timer.elapsed())));
        text_bytes.push(point(tickets, bytes as f64));
    }
    let fixed = "issue, sign, open, begin, finish";
    report.add("tickets", "tickets", "cpu us", fixed, cpu)?;
    report.add(
        "tickets",
        "tickets",
        "text B",
        "in Idempotency-Key",
        text_bytes,
    )
}

fn burn(accounts: usize, requests: usize) -> Burn {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut burn = Burn::new(id("host-0"));
    let promise = Promise {
        first_token_ms: Some(Millis(1_600)),
        whole_ms: Millis(60_000),
        objective_permille: 950,
    };
    for account in 0..accounts {
        let caller: CallerId = id(&caller_name(account));
        for _ in 0..requests {
            let first_ms = rng.random_range(20..4_000);
            let delivery = Delivery {
                first_token_ms: Some(Millis(first_ms)),
                whole_ms: Some(Millis(first_ms * rng.random_range(2..20))),
            };
            burn.record(START_MS, &caller, &promise, &delivery);
        }
    }
    burn
}

fn measure_burn(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    let mut record = Vec::new();
    let mut encoded = Vec::new();
    let mut cpu = Vec::new();
    for &accounts in &sizes.accounts {
        let timer = CpuTimer::start();
        let mut burn = burn(accounts, sizes.burn_requests);
        let requests = accounts * sizes.burn_requests;
        record.push(point(accounts, micros(timer.elapsed()) / requests as f64));
        let timer = CpuTimer::start();
        let bytes = burn.report(START_MS).encode()?;
        cpu.push(point(accounts, micros(timer.elapsed())));
        encoded.push(point(accounts, bytes.len() as f64));
    }
    report.add(
        "burn",
        "accounts",
        "cpu us/request",
        "all windows, 3 objectives",
        record,
    )?;
    report.add(
        "burn",
        "accounts",
        "report B",
        "postcard, latencies spread",
        encoded,
    )?;
    report.add("burn", "accounts", "cpu us/report", "made and encoded", cpu)
}

/// A metrics page with histogram lines around the three values that count.
fn metrics_page(lines: usize) -> String {
    let mut page = String::from(
        "vllm:num_requests_running{engine=\"0\"} 12\n\
         vllm:num_requests_waiting{engine=\"0\"} 3\n\
         vllm:kv_cache_usage_perc{engine=\"0\"} 0.41\n",
    );
    for line in 0..lines {
        page.push_str(&format!(
            "vllm:time_to_first_token_seconds_bucket{{engine=\"0\",model_name=\"stain\",le=\"{line}\"}} {line}\n"
        ));
    }
    page
}

fn measure_polls(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    const PARSES: u32 = 100;
    let mut cpu = Vec::new();
    for &lines in &sizes.metric_lines {
        let page = metrics_page(lines);
        let timer = CpuTimer::start();
        for _ in 0..PARSES {
            black_box(EngineLoad::parse(page.as_bytes())?);
        }
        cpu.push(point(page.len(), micros(timer.elapsed() / PARSES)));
    }
    report.add(
        "polling",
        "page B",
        "cpu us/page",
        "reading the page only",
        cpu,
    )?;

    let engine = EngineStandin::start(EngineOptions::new("model-0"))?;
    let info = EndpointInfo {
        address: engine.address(),
        ..endpoint(0)
    };
    let mut cpu = Vec::new();
    for &polls in &sizes.polls {
        let timer = CpuTimer::start();
        for _ in 0..polls {
            poller::poll_endpoint(&info, None, Duration::from_secs(5))?;
        }
        cpu.push(point(polls, micros(timer.elapsed())));
    }
    report.add(
        "polling",
        "polls",
        "cpu us",
        "2 calls each, small page",
        cpu,
    )
}

/// What one read of the platform's list costs; every host reads it itself.
fn measure_list(sizes: &Sizes, report: &mut Collected) -> anyhow::Result<()> {
    const READS: u32 = 5;
    let standin = PlatformStandin::start(address(0))?;
    let list = ServiceList::new(standin.address()).with_timeout(Duration::from_secs(20));
    let mut registered = 0;
    let mut bytes = Vec::new();
    let mut cpu = Vec::new();
    for &endpoints in &sizes.endpoints {
        for number in registered..endpoints {
            list.register_endpoint(&endpoint(number))?;
        }
        registered = endpoints;
        bytes.push(point(endpoints, list_bytes(standin.address())?));
        let timer = CpuTimer::start();
        for _ in 0..READS {
            let listed = list.list_endpoints(Index::default(), Duration::ZERO)?;
            ensure!(listed.entries.len() == endpoints, "the list is incomplete");
        }
        cpu.push(point(endpoints, micros(timer.elapsed() / READS)));
    }
    report.add(
        "list",
        "endpoints",
        "B/read",
        "body of the stand-in's answer",
        bytes,
    )?;
    report.add("list", "endpoints", "cpu us/read", "read and decoded", cpu)
}

fn list_bytes(platform: SocketAddr) -> anyhow::Result<f64> {
    const TIMEOUT: Duration = Duration::from_secs(20);
    const MAX_BYTES: usize = 16 * 1024 * 1024;
    let deadline = Instant::now() + TIMEOUT;
    let mut connection = client::connect(platform, TIMEOUT)?;
    let call = Call {
        method: "GET".into(),
        path: format!("/v1/health/service/{ENDPOINT_SERVICE}").into(),
        headers: Headers::new(),
        body: Vec::new(),
    };
    client::send(&mut connection, &call, deadline)?;
    let mut answer = client::receive(connection, deadline)?;
    let body = answer
        .body
        .read_to_end(&mut answer.connection, MAX_BYTES, deadline)?;
    Ok(body.len() as f64)
}

/// Measures and prints a table or JSON.
pub fn run<W>(args: &CapacityArgs, out: &mut W) -> anyhow::Result<()>
where
    W: Write,
{
    let report = measure(args.quick)?;
    if args.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write_table(&report, out)?;
    }
    out.flush()?;
    Ok(())
}

fn write_table<W>(report: &CapacityReport, out: &mut W) -> anyhow::Result<()>
where
    W: Write,
{
    writeln!(out, "times: {}", report.clock)?;
    writeln!(
        out,
        "{:<14}{:<25}{:<18}{:>12}{:>12}{:>8}  points",
        "role", "cost", "over", "intercept", "slope", "rms %"
    )?;
    for series in &report.series {
        let points: Vec<String> = series
            .points
            .iter()
            .map(|point| format!("{}:{}", point.x, rounded(point.y)))
            .collect();
        writeln!(
            out,
            "{:<14}{:<25}{:<18}{:>12}{:>12}{:>8.1}  {} ({})",
            series.role,
            series.cost,
            series.over,
            rounded(series.fit.intercept),
            rounded(series.fit.slope),
            series.fit.relative_rms * 100.0,
            points.join(" "),
            series.fixed,
        )?;
    }
    Ok(())
}

/// A number with about four digits.
fn rounded(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 || magnitude == 0.0 {
        return format!("{value:.0}");
    }
    let digits = 3 - magnitude.log10().floor() as i32;
    format!("{value:.0$}", digits.clamp(0, 6) as usize)
}
