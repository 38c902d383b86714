//! Work of a host's timers, which run many times a second: it may depend on what changes, but not
//! on how many endpoints there are.
//!
//! The work is counted in endpoints that are looked at, which does not depend on the machine.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use cardamombridge::gateway::{
    bound::ColdBounds,
    configuration::{
        Configuration,
        Engine,
        Service, //
    },
    endpoint::{
        Announcement,
        AnnouncementOrder,
        Endpoint,
        EndpointHash,
        LoadShare,
        Stage,
        Work, //
    },
    endpoint_limit::{
        LimitReport,
        LimitStatement, //
    },
    endpoint_reach::EndpointReach,
    endpoint_start::EndSign,
    endpoint_table::Concern,
    fleet::Fleet,
    request::EndpointLoad,
    request_rate::RequestRate, //
};
use compact_str::{
    CompactString,
    format_compact, //
};
use proptest::prelude::*;

const COLD: ColdBounds = ColdBounds {
    factor: 1.5,
    slack: 3.0,
};
const REGIONS: [&str; 3] = ["east", "north", "west"];
const SERVICES: [&str; 2] = ["model", "tools"];
/// Longest interval of the timers while requests are in progress.
const TICK_MS: u64 = 15;
const HOST_COUNT: usize = 30;

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        health_path: None,
        cold_ms: 3_000,
        cold_per_s: 1.9,
        engine: (name == "model").then_some(Engine {
            slots: 8,
            memory_tokens: 400_000,
            copy_ms_per_token: None,
        }),
    }
}

fn new_fleet() -> Fleet {
    let regions = REGIONS.into_iter();
    let regions: BTreeMap<CompactString, CompactString> = regions
        .map(|region| (format_compact!("{region}-a"), region.into()))
        .collect();
    let mut fleet = Fleet::new("north".into(), regions, COLD);
    fleet.configure(&Configuration {
        services: SERVICES.map(service).to_vec(),
        ..Configuration::default()
    });
    fleet
}

fn id(index: usize) -> CompactString {
    format_compact!("e-{index:03}")
}

fn announcement(index: usize, started_ms: u64, cold_left_ms: u64) -> Announcement {
    Announcement {
        service: SERVICES[index % 7 / 5].into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        software_version: format_compact!("v{}", started_ms % 3)
            .parse()
            .expect("a valid version"),
        data_centre: format_compact!("{}-a", REGIONS[index % 3]),
        slots: 8,
        stage: Stage::Ready,
        cold_left_ms,
        remaining_ms: None,
        order: AnnouncementOrder {
            started_ms,
            sequence: 1,
        },
    }
}

/// A host with the state that its timers follow.
struct Host {
    fleet: Fleet,
    reach: EndpointReach,
    shares: HashMap<EndpointHash, LoadShare>,
    bound_count: usize,
}

impl Host {
    /// Returns a host of long standing, whose endpoints are warm.
    fn new(endpoint_count: usize) -> Self {
        let mut fleet = new_fleet();
        for index in 0..endpoint_count {
            assert!(fleet.apply_announcement(&id(index), announcement(index, 1, 0), 0));
        }
        let mut host = Self {
            fleet,
            reach: EndpointReach::new(),
            shares: HashMap::new(),
            bound_count: 0,
        };
        host.tick(0);
        host.fleet.rescan(1);
        host
    }

    /// Does what the timers do with endpoints, at their intervals, but for the safeguard that
    /// looks at all once a second.
    fn tick(&mut self, now_ms: u64) {
        let busy_count = self.fleet.busy_count();
        if self.reach.is_due(busy_count, now_ms) {
            self.fleet.staying_ids(now_ms);
        }
        self.bound_count += self.fleet.bounded(now_ms).count();
        self.fleet.set_peer_loads(&self.shares);
        self.fleet.set_host_count(HOST_COUNT, now_ms);
        self.fleet.update_paces(now_ms);
        if now_ms % 240 < TICK_MS {
            self.fleet.drop_withdrawn(now_ms);
            self.fleet.served_versions(now_ms);
            // A beacon.
            self.fleet.busy().count();
            self.fleet.leaving().count();
        }
        if now_ms % 990 < TICK_MS {
            self.fleet.limit_reports(now_ms).count();
            self.fleet.start_reports(now_ms).count();
        }
    }

    /// Returns the endpoints looked at in ten seconds in which `requests_per_s` requests come,
    /// each with 20 events of its answer.
    fn visits_of_ten_seconds(&mut self, requests_per_s: u64) -> u64 {
        let before = self.fleet.visit_count();
        let work = Work {
            uncached_tokens: 800,
            reserved_tokens: 900,
        };
        let mut running: Vec<(u64, CompactString)> = Vec::new();
        let mut sent_count = 0;
        for now_ms in (TICK_MS..10_000).step_by(TICK_MS as usize) {
            if sent_count < now_ms * requests_per_s / 1_000 {
                // Another ten endpoints in turn, of which all hosts have some.
                let to = id(sent_count as usize % 10 * 3 + 1);
                sent_count += 1;
                let endpoint = self.fleet.get_mut(&to).expect("the endpoint");
                endpoint.record_send(work, now_ms);
                let share = LoadShare {
                    active: sent_count as u32 % 4,
                    ..LoadShare::default()
                };
                self.shares.insert(endpoint.hash, share);
                running.push((now_ms + 600, to));
            }
            for (end_ms, at) in &running {
                let endpoint = self.fleet.get_mut(at).expect("the endpoint");
                match now_ms < *end_ms {
                    true => endpoint.pace.record(1, 30, now_ms),
                    false => endpoint.record_end(work, true),
                }
            }
            running.retain(|(end_ms, _)| now_ms < *end_ms);
            self.reach.record_heard(now_ms);
            self.tick(now_ms);
        }
        self.fleet.visit_count() - before
    }
}

/// Endpoints that nothing happens to cost nothing. Guards against timers that look at all
/// endpoints many times a second.
#[test]
fn timers_of_a_host_at_rest_look_at_no_endpoint() {
    for endpoint_count in [100, 300, 600] {
        let mut host = Host::new(endpoint_count);

        let visits = host.visits_of_ten_seconds(0);

        assert_eq!(visits, 0, "endpoints: {endpoint_count}");
        assert_eq!(host.bound_count, 0, "endpoints: {endpoint_count}");
    }
}

/// With 20 requests a second, the work follows the requests. Guards against work that grows with
/// the number of endpoints, and against counting none.
#[test]
fn timers_of_a_busy_host_cost_the_same_with_more_endpoints() {
    let visits = [100, 300, 600].map(|count| Host::new(count).visits_of_ten_seconds(20));

    assert!(visits[0] > 1_000, "visits: {visits:?}");
    assert!(visits[2] <= visits[0], "visits: {visits:?}");
    assert!(visits[1] <= visits[0], "visits: {visits:?}");
}

/// A host that is bound at a few endpoints pays for these. Guards against a count of visits that
/// misses the ones which matter.
#[test]
fn bound_endpoints_cost_as_many_visits_as_there_are() {
    let visits = [100, 600].map(|count| {
        let mut host = Host::new(count);
        let rate = RequestRate::new(5.0).expect("a rate");
        for index in [1, 4, 7] {
            assert!(
                host.fleet
                    .record_limit(&id(index), LimitStatement::Limit(rate), 1, 1)
            );
        }
        (host.visits_of_ten_seconds(0), host.bound_count)
    });

    assert_eq!(visits[0], visits[1]);
    assert_eq!(visits[0].1, 3 * 666);
}

/// A change of a fleet.
#[derive(Debug, Clone)]
enum Change {
    Announce { started_ms: u64, cold_left_ms: u64 },
    Drain,
    Withdraw { after_ms: u64 },
    Send,
    FirstEvent,
    End,
    Event,
    ReportedLoad { running: u32 },
    Limit { rate: Option<u8> },
    Brittle { rate: Option<u8> },
    Cold { left_ms: u64 },
    ColdReport { left_ms: u64 },
    Sign,
    NewHostDoubt,
    Settle,
    OtherStart,
    Leave,
    PeerLeaves,
    Unwanted,
    PeerLoad { active: u32 },
    HostCount { count: usize },
    Evacuate { is_evacuated: bool },
    Sweep,
    Rescan,
}

fn change() -> impl Strategy<Value = Change> {
    let rate = || prop::option::of(1_u8..6);
    prop_oneof![
        3 => (1_u64..4, prop_oneof![Just(0_u64), 1_u64..900])
            .prop_map(|(started_ms, cold_left_ms)| Change::Announce { started_ms, cold_left_ms }),
        1 => Just(Change::Drain),
        2 => (0_u64..400).prop_map(|after_ms| Change::Withdraw { after_ms }),
        4 => Just(Change::Send),
        2 => Just(Change::FirstEvent),
        3 => Just(Change::End),
        2 => Just(Change::Event),
        2 => (0_u32..12).prop_map(|running| Change::ReportedLoad { running }),
        2 => rate().prop_map(|rate| Change::Limit { rate }),
        3 => rate().prop_map(|rate| Change::Brittle { rate }),
        1 => (0_u64..600).prop_map(|left_ms| Change::Cold { left_ms }),
        1 => (0_u64..2_000).prop_map(|left_ms| Change::ColdReport { left_ms }),
        1 => Just(Change::Sign),
        1 => Just(Change::NewHostDoubt),
        1 => Just(Change::Settle),
        1 => Just(Change::OtherStart),
        1 => Just(Change::Leave),
        1 => Just(Change::PeerLeaves),
        1 => Just(Change::Unwanted),
        3 => (0_u32..9).prop_map(|active| Change::PeerLoad { active }),
        5 => prop_oneof![4 => Just(3_usize), 1 => 1_usize..6]
            .prop_map(|count| Change::HostCount { count }),
        1 => any::<bool>().prop_map(|is_evacuated| Change::Evacuate { is_evacuated }),
        1 => Just(Change::Sweep),
        1 => Just(Change::Rescan),
    ]
}

fn limit_statement(rate: Option<u8>) -> LimitStatement {
    rate.map_or(LimitStatement::None, |rate| {
        LimitStatement::Limit(RequestRate::new(f64::from(rate)).expect("a rate"))
    })
}

/// A fleet, and a model in which each number of hosts is applied to all endpoints at once.
struct Checked {
    fleet: Fleet,
    model: BTreeMap<CompactString, Endpoint>,
    shares: HashMap<EndpointHash, LoadShare>,
    evacuated: bool,
}

impl Checked {
    /// Applies a change of one endpoint to both.
    fn change_endpoint(&mut self, id: &str, change: &dyn Fn(&mut Endpoint)) {
        if let Some(endpoint) = self.fleet.get_mut(id) {
            change(endpoint);
            change(self.model.get_mut(id).expect("the endpoint"));
        }
    }

    fn apply(&mut self, index: usize, change: &Change, now_ms: u64) {
        let id = id(index);
        let work = Work {
            uncached_tokens: 10,
            reserved_tokens: 20,
        };
        match change {
            Change::Announce {
                started_ms,
                cold_left_ms,
            } => {
                let announcement = announcement(index, *started_ms, *cold_left_ms);
                let fleet = &mut self.fleet;
                assert!(fleet.apply_announcement(&id, announcement.clone(), now_ms));
                match self.model.get_mut(&id) {
                    Some(known) => known.apply_announcement(announcement, now_ms),
                    None => {
                        let new = fleet.get(&id).expect("the endpoint").clone();
                        self.model.insert(id, new);
                    }
                }
            }
            Change::Drain => self.change_endpoint(&id, &|endpoint| {
                endpoint.announcement.stage = Stage::Draining;
            }),
            Change::Withdraw { after_ms } => {
                self.fleet.withdraw(&id, now_ms + after_ms);
                if let Some(endpoint) = self.model.get_mut(&id) {
                    endpoint.withdraw(now_ms + after_ms);
                }
            }
            Change::Send => self.change_endpoint(&id, &|one| one.record_send(work, now_ms)),
            Change::FirstEvent => self.change_endpoint(&id, &|one| one.record_first_event(work)),
            Change::End => self.change_endpoint(&id, &|one| one.record_end(work, true)),
            Change::Event => self.change_endpoint(&id, &|one| one.pace.record(1, 20, now_ms)),
            Change::ReportedLoad { running } => {
                let load = EndpointLoad {
                    running: *running,
                    ..EndpointLoad::default()
                };
                self.change_endpoint(&id, &|one| one.record_reported_load(load, now_ms));
            }
            Change::Limit { rate } => {
                let statement = limit_statement(*rate);
                self.fleet.record_limit(&id, statement, now_ms, now_ms);
                if let Some(endpoint) = self.model.get_mut(&id) {
                    endpoint.statements = self.fleet.get(&id).expect("the endpoint").statements;
                }
            }
            Change::Brittle { rate } => {
                let statement = limit_statement(*rate);
                self.fleet.record_brittle(&id, statement, now_ms, now_ms);
                if let Some(endpoint) = self.model.get_mut(&id) {
                    endpoint.statements = self.fleet.get(&id).expect("the endpoint").statements;
                }
            }
            Change::Cold { left_ms } => {
                self.change_endpoint(&id, &|one| one.set_cold(*left_ms, now_ms));
            }
            Change::ColdReport { left_ms } => self.apply_cold_report(&id, *left_ms, now_ms),
            Change::Sign => {
                self.change_endpoint(&id, &|one| one.add_end_sign(EndSign::new(now_ms)));
            }
            Change::NewHostDoubt => {
                self.change_endpoint(&id, &|one| one.doubt_until(now_ms + 300, now_ms));
            }
            Change::Settle => self.change_endpoint(&id, &|one| one.settle_start(now_ms)),
            Change::OtherStart => {
                self.change_endpoint(&id, &|one| one.record_other_start(300, now_ms));
            }
            Change::Leave => {
                self.fleet.record_leaving(&id);
                if let Some(endpoint) = self.model.get_mut(&id) {
                    endpoint.statements.is_leaving = true;
                }
            }
            Change::PeerLeaves => self.change_endpoint(&id, &|one| {
                one.statements.is_leaving = true;
            }),
            Change::Unwanted => self.change_endpoint(&id, &|one| one.record_unwanted(200, now_ms)),
            Change::PeerLoad { active } => {
                let share = LoadShare {
                    active: *active,
                    ..LoadShare::default()
                };
                self.shares.insert(EndpointHash::new(&id), share);
            }
            Change::HostCount { count } => self.update_peer_loads(*count, now_ms),
            Change::Evacuate { is_evacuated } => self.evacuate(*is_evacuated, now_ms),
            Change::Sweep => {
                self.fleet.drop_withdrawn(now_ms);
                self.model
                    .retain(|_, one| one.is_announced(now_ms) || one.own_load.active > 0);
            }
            Change::Rescan => assert_eq!(self.fleet.rescan(now_ms), 0),
        }
    }

    fn apply_cold_report(&mut self, id: &str, left_ms: u64, now_ms: u64) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let report = LimitReport {
            cold_left_ms: left_ms,
            ..LimitReport::new(endpoint, now_ms)
        };
        let known_ms = endpoint.cold_left_ms(now_ms);
        self.fleet.apply_cold_report(&report, now_ms);
        let is_longer = self
            .fleet
            .get(id)
            .expect("the endpoint")
            .cold_left_ms(now_ms)
            > known_ms;
        if is_longer {
            let endpoint = self.model.get_mut(id).expect("the endpoint");
            endpoint.set_cold(left_ms, now_ms);
        }
    }

    fn update_peer_loads(&mut self, host_count: usize, now_ms: u64) {
        self.fleet.set_peer_loads(&self.shares);
        self.fleet.set_host_count(host_count, now_ms);
        self.fleet.update_paces(now_ms);
        for endpoint in self.model.values_mut() {
            endpoint.peer_load = self.shares.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.set_host_count(host_count as u32, now_ms);
        }
    }

    fn evacuate(&mut self, is_evacuated: bool, now_ms: u64) {
        let configuration = Configuration {
            services: SERVICES.map(service).to_vec(),
            ..Configuration::default()
        };
        let was_evacuated = std::mem::replace(&mut self.evacuated, is_evacuated);
        self.fleet
            .set_evacuated("north-a", is_evacuated, &configuration, now_ms);
        if !was_evacuated || is_evacuated {
            return;
        }
        for endpoint in self.model.values_mut() {
            if endpoint.announcement.data_centre == "north-a" {
                endpoint.set_cold(3_000, now_ms);
            }
        }
    }

    /// Checks that what is listed is what a look at all endpoints of the model finds.
    fn check(&self, now_ms: u64) {
        let ids: Vec<&CompactString> = self.fleet.iter().map(|one| &one.id).collect();
        assert_eq!(ids, self.model.keys().collect::<Vec<_>>());
        for concern in Concern::ALL {
            let listed = self.fleet.concerned(concern);
            let listed = listed.filter(|one| concern.may_apply(one, now_ms));
            let scanned = self.model.values();
            let scanned = scanned.filter(|one| concern.may_apply(one, now_ms));
            assert_eq!(ids_of(listed), ids_of(scanned), "{concern:?}");
        }
        for (known, model) in self.fleet.iter().zip(self.model.values()) {
            assert_eq!(known.bound(now_ms), model.bound(now_ms), "{}", known.id);
            assert_eq!(known.own_load, model.own_load);
            assert_eq!(known.peer_load, model.peer_load);
            assert_eq!(self.fleet.id_of(model.hash).as_ref(), Some(&model.id));
        }
        let is_own = |one: &&Endpoint| one.region == "north" && one.is_staying(now_ms);
        let staying: Vec<&Endpoint> = self
            .model
            .values()
            .filter(is_own)
            .filter(|_| !self.evacuated)
            .collect();
        let bounded = self.fleet.bounded(now_ms).map(|(endpoint, _)| endpoint);
        let scanned = staying.iter().copied();
        let scanned = scanned.filter(|one| one.bound(now_ms).is_some());
        assert_eq!(ids_of(bounded), ids_of(scanned));
        for name in SERVICES {
            let scanned = staying.iter().copied();
            let scanned =
                scanned.filter(|one| one.announcement.service == name && one.is_usable(now_ms));
            assert_eq!(ids_of(self.fleet.usable(name, now_ms)), ids_of(scanned));
        }
        let busy = self.model.values().filter(|one| one.own_load.active > 0);
        assert_eq!(self.fleet.busy_count(), busy.count());
        self.check_versions(now_ms);
    }

    fn check_versions(&self, now_ms: u64) {
        let served = self.fleet.served_versions(now_ms);
        for name in SERVICES {
            let own = self.model.values().map(|one| &one.announcement);
            let current: BTreeSet<_> = own
                .filter(|announcement| announcement.service == name)
                .map(|announcement| announcement.software_version.clone())
                .collect();
            let known = served.get(name).map(|served| served.versions.clone());
            let known = known.unwrap_or_default();
            assert!(known.is_superset(&current), "{known:?}, {current:?}");
            let only = self.fleet.only_version(name, now_ms);
            assert_eq!(only.is_some(), known.len() == 1);
        }
    }
}

fn ids_of<'a, I>(endpoints: I) -> Vec<CompactString>
where
    I: Iterator<Item = &'a Endpoint>,
{
    endpoints.map(|one| one.id.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against changes of endpoints that the lists miss, so that a bound, a doubt, a load
    /// or a withdrawal stays unnoticed, and against a number of hosts that is applied too late.
    #[test]
    fn lists_are_what_a_look_at_all_endpoints_finds(
        steps in prop::collection::vec((0_usize..9, change(), 0_u64..80), 1..120),
    ) {
        let mut checked = Checked {
            fleet: new_fleet(),
            model: BTreeMap::new(),
            shares: HashMap::new(),
            evacuated: false,
        };
        let mut now_ms = 1_000;
        for index in 0..9 {
            let change = Change::Announce { started_ms: 1, cold_left_ms: 0 };
            checked.apply(index, &change, now_ms);
        }

        for (index, change, passed_ms) in &steps {
            now_ms += passed_ms;
            checked.apply(*index, change, now_ms);

            checked.check(now_ms);
        }
    }
}
