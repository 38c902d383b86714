//! Everything around a few hosts on loopback, for tests and the demo.
//!
//! A testbed starts the platform, the engines and the services, and makes the
//! settings of the hosts. It does not run the hosts: the demo starts them in its
//! own process, the integration tests as processes of their own. Each host has
//! an address of its own, so that the wires between them can tell the regions
//! apart.

use std::{
    collections::BTreeSet,
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    ops::Range,
    path::PathBuf,
    process,
    sync::{
        Mutex,
        atomic::{
            AtomicU8,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use compact_str::{
    CompactString,
    format_compact, //
};
use thiserror::Error;

use super::{
    engine::{
        EngineOptions,
        EngineStandin, //
    },
    listener::STANDIN_IP,
    listener::lock,
    model::ModelOptions,
    platform::PlatformStandin,
    service::{
        ServiceOptions,
        ServiceStandin, //
    },
    wire::Wire, //
};
use crate::{
    admin::OperatorKey,
    auth,
    clock,
    config::Config,
    consul::{
        KeyValue,
        PlatformError,
        ServiceList, //
    },
    decision::{
        RegionLink,
        policy::Weight,
        view::EndpointInfo, //
    },
    host::HostKeys,
    ini_file::IniError,
    intent_file,
    logs::LogFormat,
    plan::{
        Plan,
        PlanRules,
        Refused, //
    },
    rollout::{
        self,
        Accepted,
        Acceptor,
        RolloutError, //
    },
    types::{
        DataCentreId,
        EndpointId,
        HostId,
        MbitPerSecond,
        Millis,
        ParseError,
        RegionId,
        Target, //
    }, //
};

/// Model that the engines serve.
pub const MODEL: &str = "stain-advice";
/// Version of the model.
pub const MODEL_VERSION: &str = "1";
/// Service with calls that must not be repeated.
pub const SERVICE: &str = "orders";
/// Key of the caller whose data may live in all regions.
pub const CALLER_KEY: &str = "sk-testbed-caller-0123456789";
/// Key of the caller whose data may live only in the first region.
pub const BOUND_CALLER_KEY: &str = "sk-testbed-bound-0123456789";
/// Key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-testbed-0123456789";
/// Key that the hosts share.
pub const CLUSTER_KEY: &str = "cluster-key-of-the-testbed-0123456789";

const CALLER_PORT: u16 = 8080;
const PEER_PORT: u16 = 7400;
const ADMIN_PORT: u16 = 9400;
const DRAIN_LIMIT_MS: Millis = Millis(20_000);

/// Second octets of the loopback networks that processes share out.
const NETWORKS: Range<u8> = 64..192;
/// Port whose listener marks the networks of an octet as taken.
const CLAIM_PORT: u16 = 7399;

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(0);
static CLAIM: Mutex<Option<Claim>> = Mutex::new(None);

/// Loopback networks of this process, until it ends.
struct Claim {
    octet: u8,
    _listener: TcpListener,
}

/// Second octet of networks that no other process uses.
///
/// The process id does not do: with two ids that are equal modulo the number of
/// octets, the hosts of one testbed could not listen and its callers spoke to
/// the hosts of the other.
fn claim_networks() -> io::Result<u8> {
    let mut claim = lock(&CLAIM);
    if let Some(claim) = claim.as_ref() {
        return Ok(claim.octet);
    }
    let start = (process::id() % u32::from(NETWORKS.end - NETWORKS.start)) as usize;
    for octet in NETWORKS.cycle().skip(start).take(NETWORKS.len()) {
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(127, octet, 255, 1), CLAIM_PORT)) {
            *claim = Some(Claim {
                octet,
                _listener: listener,
            });
            return Ok(octet);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Why a testbed could not be set up.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A stand-in could not start.
    #[error("a stand-in could not start: {0}")]
    Io(#[from] io::Error),
    /// An endpoint could not be put on the list.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] ParseError),
}

/// Why an intent was not accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// The file is not valid.
    #[error(transparent)]
    File(#[from] IniError),
    /// The plan is refused.
    #[error(transparent)]
    Plan(#[from] Refused),
    /// The change was not accepted.
    #[error(transparent)]
    Rollout(#[from] RolloutError),
}

/// Size and speed of a testbed.
#[derive(Debug, Clone)]
pub struct TestbedOptions {
    /// Names of the regions.
    pub regions: Vec<CompactString>,
    /// Hosts in each region.
    pub hosts_per_region: usize,
    /// Engines in each region.
    pub engines_per_region: usize,
    /// Services in each region.
    pub services_per_region: usize,
    /// Capacity and speed of the engines.
    pub speed: ModelOptions,
}

impl TestbedOptions {
    /// Three regions with one host, two engines and one service each.
    pub fn new() -> Self {
        Self {
            regions: vec!["stred".into(), "zapad".into(), "sever".into()],
            hosts_per_region: 1,
            engines_per_region: 2,
            services_per_region: 1,
            speed: ModelOptions::default(),
        }
    }

    /// The same with another number of hosts in each region.
    pub fn with_hosts_per_region(mut self, count: usize) -> Self {
        self.hosts_per_region = count;
        self
    }

    /// The same with another number of engines in each region.
    pub fn with_engines_per_region(mut self, count: usize) -> Self {
        self.engines_per_region = count;
        self
    }

    /// The same with engines of another capacity and speed.
    pub fn with_speed(mut self, speed: ModelOptions) -> Self {
        self.speed = speed;
        self
    }
}

impl Default for TestbedOptions {
    fn default() -> Self {
        Self::new()
    }
}

/// One host that is to be run.
#[derive(Debug)]
pub struct HostSeat {
    /// Its settings.
    pub config: Config,
    /// What other hosts go through to reach it.
    pub peer_wire: Wire,
    /// What it goes through to reach the platform.
    pub platform_wire: Wire,
}

/// An engine with its entry in the list.
#[derive(Debug)]
pub struct Engine {
    /// Its entry in the list.
    pub info: EndpointInfo,
    /// The stand-in.
    pub standin: EngineStandin,
}

/// A service with its entry in the list.
#[derive(Debug)]
pub struct Service {
    /// Its entry in the list.
    pub info: EndpointInfo,
    /// The stand-in.
    pub standin: ServiceStandin,
}

/// The surroundings of a few hosts.
pub struct Testbed {
    /// Key-value service and list.
    pub platform: PlatformStandin,
    /// Hosts to be run, by region.
    pub seats: Vec<HostSeat>,
    /// Engines of all regions.
    pub engines: Vec<Engine>,
    /// Services of all regions.
    pub services: Vec<Service>,
    cuts: BTreeSet<(RegionId, RegionId)>,
}

impl Testbed {
    /// Starts the stand-ins and makes the settings.
    pub fn start(options: &TestbedOptions) -> Result<Self, TestbedError> {
        let any = SocketAddr::from((STANDIN_IP, 0));
        let mut testbed = Self {
            platform: PlatformStandin::start(any)?,
            seats: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            cuts: BTreeSet::new(),
        };
        testbed.add_seats(options)?;
        for region in &options.regions {
            let region: RegionId = region.parse()?;
            for number in 1..=options.engines_per_region {
                testbed.add_engine(&region, number, options.speed.clone())?;
            }
            for number in 1..=options.services_per_region {
                testbed.add_service(&region, number)?;
            }
        }
        Ok(testbed)
    }

    /// Keys of all hosts.
    pub fn keys() -> HostKeys {
        HostKeys {
            cluster_key: CLUSTER_KEY.into(),
            operator_key: OperatorKey::new(OPERATOR_KEY.as_bytes()),
        }
    }

    /// An intent file for the model, the service and two callers.
    pub fn intent_text(options: &TestbedOptions) -> String {
        let all = options.regions.join(", ");
        let first = &options.regions[0];
        let caller = |name: &str, key: &str, regions: &str| {
            format!(
                "[caller/{name}]\n\
                 key_sha256 = {}\n\
                 home = {first}\n\
                 regions = {regions}\n\
                 targets = model/{MODEL}, service/{SERVICE}\n\
                 tier = priority\n\
                 first_token_ms = 1600ms\n\
                 deadline_ms = 10000ms\n\
                 objective_permille = 950\n\
                 budget_micros = 1000000000u\n\
                 period_ms = 3600000ms\n\n",
                auth::digest_hex(key.as_bytes())
            )
        };
        format!(
            "{}{}[model/{MODEL}]\nversion = {MODEL_VERSION}\n\
             prefill_micros_per_ktok = 200u\ndecode_micros_per_ktok = 800u\n\n\
             [service/{SERVICE}]\nrepeatable_methods = GET, HEAD\ncall_micros = 50u\n",
            caller("drevoton", CALLER_KEY, &all),
            caller("bound", BOUND_CALLER_KEY, first),
        )
    }

    /// Hosts of one region.
    pub fn seats_in<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a HostSeat> {
        self.seats
            .iter()
            .filter(move |seat| seat.config.region.as_str() == region)
    }

    /// Engines of one region.
    pub fn engines_in<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Engine> {
        self.engines
            .iter()
            .filter(move |engine| engine.info.region.as_str() == region)
    }

    /// Cuts two regions off from each other, or joins them again.
    pub fn set_cut_between(&mut self, left: &str, right: &str, is_cut: bool) {
        let pairs = self.region_pairs(left, right);
        for pair in pairs {
            if is_cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
        self.apply_cuts();
    }

    /// Cuts a region off from the platform, or joins it again.
    pub fn set_platform_cut(&self, region: &str, is_cut: bool) {
        for seat in self.seats_in(region) {
            seat.platform_wire.set_cut(is_cut);
        }
    }

    fn region_pairs(&self, left: &str, right: &str) -> Vec<(RegionId, RegionId)> {
        let find = |name: &str| {
            let mut seats = self.seats_in(name);
            seats.next().map(|seat| seat.config.region.clone())
        };
        match (find(left), find(right)) {
            (Some(left), Some(right)) => vec![(left.clone(), right.clone()), (right, left)],
            _ => Vec::new(),
        }
    }

    fn apply_cuts(&self) {
        for seat in &self.seats {
            let blocked: Vec<IpAddr> = self
                .seats
                .iter()
                .filter(|other| {
                    let pair = (other.config.region.clone(), seat.config.region.clone());
                    self.cuts.contains(&pair)
                })
                .map(|other| other.config.peer_address.ip())
                .collect();
            seat.peer_wire.set_blocked_sources(&blocked);
        }
    }

    fn add_seats(&mut self, options: &TestbedOptions) -> Result<(), TestbedError> {
        let network = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
        let process = claim_networks()?;
        for (index, region) in options.regions.iter().enumerate() {
            for number in 1..=options.hosts_per_region {
                let last = 10 * (index as u8 + 1) + number as u8;
                let ip = IpAddr::from(Ipv4Addr::new(127, process, network, last));
                self.add_seat(options, region, number, ip)?;
            }
        }
        let advertised: Vec<SocketAddr> = self
            .seats
            .iter()
            .map(|seat| seat.peer_wire.address())
            .collect();
        for (index, seat) in self.seats.iter_mut().enumerate() {
            seat.config.seeds = advertised.clone();
            seat.config.seeds.remove(index);
        }
        Ok(())
    }

    fn add_seat(
        &mut self,
        options: &TestbedOptions,
        region: &str,
        number: usize,
        ip: IpAddr,
    ) -> Result<(), TestbedError> {
        let host: HostId = format!("{region}-{number}").parse()?;
        let peer_address = SocketAddr::new(ip, PEER_PORT);
        let peer_wire = Wire::start(peer_address, self.seats.len() as u64)?;
        let platform_wire = Wire::start(self.platform.address(), self.seats.len() as u64)?;
        let others = options.regions.iter().filter(|other| *other != region);
        let links = others
            .map(|other| link_to(other))
            .collect::<Result<_, _>>()?;
        let config = Config {
            host,
            region: region.parse()?,
            data_centre: data_centre(region)?,
            caller_address: SocketAddr::new(ip, CALLER_PORT),
            peer_address,
            advertised_peer_address: Some(peer_wire.address()),
            admin_address: SocketAddr::new(ip, ADMIN_PORT),
            platform_address: platform_wire.address(),
            cluster_key_file: PathBuf::from("cluster.key"),
            operator_key_file: PathBuf::from("operator.key"),
            seeds: Vec::new(),
            links,
            max_connections: 256,
            drain_limit_ms: DRAIN_LIMIT_MS,
            weight: Weight::Latency,
            log_format: LogFormat::Text,
            log_filter: "info".into(),
            statsd_address: None,
        };
        self.seats.push(HostSeat {
            config,
            peer_wire,
            platform_wire,
        });
        Ok(())
    }

    fn add_engine(
        &mut self,
        region: &RegionId,
        number: usize,
        speed: ModelOptions,
    ) -> Result<(), TestbedError> {
        let slots = speed.slots;
        let standin = EngineStandin::start(EngineOptions::new(MODEL).with_speed(speed))?;
        let info = EndpointInfo {
            id: format!("engine-{region}-{number}").parse()?,
            version: MODEL_VERSION.into(),
            slots,
            can_continue: true,
            ..endpoint(region, &standin.address(), Target::Model(MODEL.parse()?))?
        };
        self.list().register_endpoint(&info)?;
        self.engines.push(Engine { info, standin });
        Ok(())
    }

    fn add_service(&mut self, region: &RegionId, number: usize) -> Result<(), TestbedError> {
        let options = ServiceOptions::new(SERVICE);
        let slots = options.slots;
        let standin = ServiceStandin::start(options)?;
        let info = EndpointInfo {
            id: format!("service-{region}-{number}").parse()?,
            slots,
            ..endpoint(
                region,
                &standin.address(),
                Target::Service(SERVICE.parse()?),
            )?
        };
        self.list().register_endpoint(&info)?;
        self.services.push(Service { info, standin });
        Ok(())
    }

    /// Accepts an intent file as an operator would.
    pub fn accept(&self, text: &str) -> Result<Accepted, AcceptError> {
        let kv = KeyValue::new(self.platform.address());
        let intents = rollout::load(&kv)?;
        let wanted = intent_file::parse("intent.ini", text)?;
        let plan = Plan::new(&intents, wanted, &PlanRules::default())?;
        let acceptor = Acceptor::new(kv);
        Ok(acceptor.accept(&plan, intents.revision, clock::now())?)
    }

    /// The platform's list, to change what it shows.
    pub fn list(&self) -> ServiceList {
        ServiceList::new(self.platform.address()).with_timeout(Duration::from_secs(5))
    }
}

fn endpoint(
    region: &RegionId,
    address: &SocketAddr,
    target: Target,
) -> Result<EndpointInfo, ParseError> {
    let id: EndpointId = format_compact!("endpoint-{}", address.port()).parse()?;
    Ok(EndpointInfo {
        id,
        address: *address,
        region: region.clone(),
        data_centre: data_centre(region.as_str())?,
        target,
        version: CompactString::default(),
        slots: 1,
        can_continue: false,
        is_leaving: false,
    })
}

fn data_centre(region: &str) -> Result<DataCentreId, ParseError> {
    format!("{region}-a").parse()
}

fn link_to(region: &str) -> Result<RegionLink, ParseError> {
    Ok(RegionLink {
        region: region.parse()?,
        latency_ms: Millis(80),
        rate: MbitPerSecond(2_000),
    })
}
