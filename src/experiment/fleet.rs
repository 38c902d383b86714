//! The hosts and engines of one customer, and what they say of themselves.

use std::{
    collections::HashMap,
    time::Duration, //
};

use compact_str::{
    CompactString,
    format_compact, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use super::{
    customer::{
        Customer,
        ENGINE_SLOTS,
        SERVICE_SLOTS,
        engine_speed,
        service_speed, //
    },
    measure::{
        CALL_MICROS,
        DECODE_MICROS_PER_KTOK,
        PREFILL_MICROS_PER_KTOK,
        Totals, //
    },
    workload::Workload,
    world::address, //
};
use crate::{
    decision::{
        Gateway,
        GatewayConfig,
        RegionLink,
        policy::Policy,
        view::{
            EndpointInfo,
            EndpointReport,
            Heartbeat,
            HostInfo, //
        }, //
    },
    intent::{
        CallerIntent,
        Intents,
        ModelIntent,
        Object,
        ObjectName,
        ServiceIntent, //
    },
    standin::model::{
        EngineFull,
        EngineModel,
        ModelOptions,
        ModelTotals,
        Work,
        WorkId, //
    },
    types::{
        Attempt,
        CallerId,
        CostMicros,
        EndpointId,
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

/// Replicas of the order service, one in each region.
const SERVICE_REPLICAS: usize = 1;
/// Speeds of replicas lie in this range around the typical one.
const SPEEDS: (f64, f64) = (0.85, 1.15);
const PERIOD: Millis = Millis(86_400_000);
/// Far above what a replay can cost, so that budgets refuse nothing.
const BUDGET: CostMicros = CostMicros(1_000_000_000_000);
const VERSION: &str = "1";
const MODEL: &str = "model/assistant";
const SERVICE: &str = "service/orders";

/// One attempt that runs at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Host, request and attempt.
    pub key: (usize, RequestId, Attempt),
    /// Number of the job.
    pub job: usize,
}

/// One model engine or service replica.
#[derive(Debug)]
pub struct Engine {
    /// Its batching.
    pub model: EngineModel,
    /// Number of its region.
    pub region: usize,
    /// Whether it is there.
    pub is_up: bool,
    /// When its next step is planned.
    pub planned: Option<Duration>,
    /// What runs or waits in it.
    pub runs: HashMap<WorkId, Run>,
    is_service: bool,
    id: EndpointId,
    speed: ModelOptions,
    incarnation: Incarnation,
    past: ModelTotals,
}

impl Engine {
    /// Takes a request, or refuses it before it runs.
    pub fn submit(&mut self, now: Duration, work: Work, run: Run) -> Result<WorkId, EngineFull> {
        let id = self.model.submit(now, work)?;
        self.runs.insert(id, run);
        Ok(id)
    }

    /// What it says of its load.
    pub fn report(&self, now_ms: Millis) -> EndpointReport {
        let load = self.model.load();
        EndpointReport {
            endpoint: self.id.clone(),
            incarnation: self.incarnation,
            measured_ms: now_ms,
            running: load.running,
            waiting: load.waiting,
            cache_permille: load.cache_permille,
            is_leaving: false,
        }
    }

    /// Stops it, or starts it with a cold cache; returns what broke.
    pub fn switch(&mut self, is_up: bool) -> Vec<Run> {
        self.is_up = is_up;
        self.past = self.totals();
        self.model = EngineModel::new(self.speed.clone());
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.planned = None;
        let mut broken: Vec<(WorkId, Run)> = self.runs.drain().collect();
        broken.sort_unstable_by_key(|(id, _)| *id);
        broken.into_iter().map(|(_, run)| run).collect()
    }

    fn totals(&self) -> ModelTotals {
        let now = self.model.totals();
        ModelTotals {
            prefilled: self.past.prefilled + now.prefilled,
            cached: self.past.cached + now.cached,
            generated: self.past.generated + now.generated,
        }
    }

    fn target(&self) -> Target {
        Fleet::target(self.is_service)
    }

    fn slots(&self) -> u32 {
        if self.is_service {
            SERVICE_SLOTS
        } else {
            ENGINE_SLOTS
        }
    }
}

#[derive(Debug)]
struct Host {
    id: HostId,
    region: usize,
    heartbeats: u64,
}

/// All hosts and engines.
#[derive(Debug)]
pub struct Fleet {
    /// Engines and services.
    pub engines: Vec<Engine>,
    hosts: Vec<Host>,
    regions: Vec<RegionId>,
}

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names of the experiment are valid")
}

impl Fleet {
    /// The fleet of a customer; the seed decides the speeds of replicas.
    pub fn new(customer: &Customer, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut engines = Vec::new();
        let mut hosts = Vec::new();
        for (region, plan) in customer.regions.iter().enumerate() {
            for replica in 0..plan.replicas {
                let name = format_compact!("{}-engine-{replica}", plan.name);
                let speed = engine_speed(rng.random_range(SPEEDS.0..SPEEDS.1));
                engines.push(engine(&name, region, false, speed));
            }
            for replica in 0..SERVICE_REPLICAS {
                let name = format_compact!("{}-orders-{replica}", plan.name);
                engines.push(engine(&name, region, true, service_speed()));
            }
            for host in 0..plan.hosts {
                hosts.push(Host {
                    id: id(&format_compact!("{}-host-{host}", plan.name)),
                    region,
                    heartbeats: 0,
                });
            }
        }
        let regions = customer.regions.iter().map(|plan| id(plan.name));
        Self {
            engines,
            hosts,
            regions: regions.collect(),
        }
    }

    /// A gateway for each host.
    pub fn gateways(&self, customer: &Customer, policy: &Policy, seed: u64) -> Vec<Gateway> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .map(|(number, host)| {
                let others = self.regions.iter().enumerate();
                let links =
                    others
                        .filter(|(region, _)| *region != host.region)
                        .map(|(_, region)| RegionLink {
                            region: region.clone(),
                            latency_ms: Millis(customer.region_latency.as_millis() as u64),
                            rate: customer.link,
                        });
                let config = GatewayConfig {
                    host: host.id.clone(),
                    incarnation: Incarnation(number as u64 + 1),
                    region: self.regions[host.region].clone(),
                    links: links.collect(),
                    seed: seed.wrapping_add(number as u64),
                };
                Gateway::new(config).with_policy(policy.clone())
            })
            .collect()
    }

    /// The configuration in force.
    pub fn intents(&self, customer: &Customer, workload: &Workload) -> Intents {
        let model = ModelIntent {
            version: CompactString::from(VERSION),
            prefill_micros_per_ktok: PREFILL_MICROS_PER_KTOK,
            decode_micros_per_ktok: DECODE_MICROS_PER_KTOK,
        };
        let service = ServiceIntent {
            repeatable_methods: vec![CompactString::from("GET")],
            call_micros: CALL_MICROS,
        };
        let mut intents = Intents::new()
            .with_object(id(MODEL), Object::Model(model))
            .with_object(id(SERVICE), Object::Service(service));
        for (number, caller) in workload.callers.iter().enumerate() {
            let home = self.regions[caller.home].clone();
            let regions = if caller.is_bound {
                vec![home.clone()]
            } else {
                self.regions.clone()
            };
            let intent = CallerIntent {
                key_sha256: CompactString::default(),
                home,
                regions,
                targets: vec![id(MODEL), id(SERVICE)],
                tier: Tier::Priority,
                first_token_ms: Millis(1_600),
                deadline_ms: Millis(120_000),
                objective_permille: 990,
                budget_micros: BUDGET,
                period_ms: PERIOD,
            };
            let name = ObjectName::Caller(Self::caller_id(number));
            intents = intents.with_object(name, Object::Caller(intent));
        }
        debug_assert_eq!(customer.regions.len(), self.regions.len());
        intents
    }

    /// Start of the budget period that contains `now_ms`.
    pub fn period_start(now_ms: Millis) -> Millis {
        Millis(now_ms.0 / PERIOD.0 * PERIOD.0)
    }

    /// Name of a caller.
    pub fn caller_id(number: usize) -> CallerId {
        id(&format_compact!("caller-{number}"))
    }

    /// What a request is for.
    pub fn target(is_order: bool) -> Target {
        id(if is_order { SERVICE } else { MODEL })
    }

    /// Numbers of the hosts of a region.
    pub fn hosts_in(&self, region: usize) -> Vec<usize> {
        let here = |host: &usize| self.hosts[*host].region == region;
        (0..self.hosts.len()).filter(here).collect()
    }

    /// Number of the region of a host.
    pub fn region_of(&self, host: usize) -> usize {
        self.hosts[host].region
    }

    /// Name of a region.
    pub fn region_id(&self, region: usize) -> RegionId {
        self.regions[region].clone()
    }

    /// Name of a host.
    pub fn host_id(&self, host: usize) -> HostId {
        self.hosts[host].id.clone()
    }

    /// Number of a host.
    pub fn host(&self, id: &HostId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == *id)
    }

    /// Number of an endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == *id)
    }

    /// The platform's list of endpoints, without those that are down.
    pub fn endpoint_list(&self) -> Vec<EndpointInfo> {
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, engine)| engine.is_up)
            .map(|(number, engine)| EndpointInfo {
                id: engine.id.clone(),
                address: address(1_000 + number),
                region: self.regions[engine.region].clone(),
                data_centre: id("dc-1"),
                target: engine.target(),
                version: CompactString::from(if engine.is_service { "" } else { VERSION }),
                slots: engine.slots(),
                can_continue: true,
                is_leaving: false,
            })
            .collect()
    }

    /// The platform's list of hosts.
    pub fn host_list(&self) -> Vec<HostInfo> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .map(|(number, host)| HostInfo {
                id: host.id.clone(),
                region: self.regions[host.region].clone(),
                peer_address: address(number),
                is_leaving: false,
            })
            .collect()
    }

    /// The next heartbeat of a host.
    pub fn heartbeat(&mut self, number: usize, open_requests: u32) -> Heartbeat {
        let region = self.regions[self.hosts[number].region].clone();
        let host = &mut self.hosts[number];
        host.heartbeats += 1;
        Heartbeat {
            host: host.id.clone(),
            incarnation: Incarnation(number as u64 + 1),
            sequence: host.heartbeats,
            region,
            data_centre: id("dc-1"),
            peer_address: address(number),
            caller_address: address(number),
            is_leaving: false,
            is_ready: true,
            revision: Revision(1),
            open_requests,
            ticket_owners: Vec::new(),
        }
    }

    /// Adds what the engines have computed.
    pub fn add_totals(&self, totals: &mut Totals) {
        for engine in &self.engines {
            let done = engine.totals();
            if engine.is_service {
                totals.calls += done.generated.0;
            } else {
                totals.prefilled = totals.prefilled + done.prefilled;
                totals.cached = totals.cached + done.cached;
                totals.generated = totals.generated + done.generated;
            }
        }
    }
}

fn engine(name: &str, region: usize, is_service: bool, speed: ModelOptions) -> Engine {
    Engine {
        model: EngineModel::new(speed.clone()),
        region,
        is_up: true,
        planned: None,
        runs: HashMap::new(),
        is_service,
        id: id(name),
        speed,
        incarnation: Incarnation(1),
        past: ModelTotals {
            prefilled: Tokens(0),
            cached: Tokens(0),
            generated: Tokens(0),
        },
    }
}
