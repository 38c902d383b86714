//! Hosts, engines and links of one customer in virtual time.
//!
//! Every host is a [`Gateway`] that learns of the world only through its events:
//! load reports and summaries come late, the list later still. Everything that
//! takes time is an entry in one queue ordered by time, so a replay depends on
//! nothing but the customer, the policy and the seed.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

use super::{
    customer::Customer,
    fleet::{
        Fleet,
        Run, //
    },
    measure::{
        Fate,
        Totals, //
    },
    workload::{
        Job,
        Workload, //
    }, //
};
use crate::{
    decision::{
        Gateway,
        event::{
            Action,
            Arrival,
            AttemptOutcome,
            Event,
            Origin,
            Refusal, //
        },
        policy::Policy,
        residency::AllowedRegions, //
    },
    standin::model::{
        Generated,
        Work,
        WorkId, //
    },
    types::{
        Attempt,
        Bytes,
        EndpointId,
        HostId,
        Millis,
        RequestId,
        Tier,
        Tokens, //
    }, //
};

/// Virtual time of the start, so that no instant is zero.
const EPOCH: Millis = Millis(1_000_000);
const TICK: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A report is this old when it arrives, from poll and gossip together.
const REPORT_LAG: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(700));
/// What gossip adds to the latency of a heartbeat or summary.
const GOSSIP_LAG: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));
/// By how much the platform's list lags.
const LIST_LAG: Duration = Duration::from_secs(2);
const GRANT_DELAY: Duration = Duration::from_millis(10);
/// How long a host tries to connect over a link that is cut.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The hosts know each other before the first request comes.
const WARM_UP: Duration = Duration::from_secs(2);
/// Extra time after the last arrival in which everything must end.
const DRAIN_TIME: Duration = Duration::from_secs(600);
/// Tries of a caller that is refused.
const CALLER_TRIES: u32 = 3;
/// Length of a streamed token between hosts.
const BYTES_PER_TOKEN: u64 = 200;
/// Most length of a refusal between hosts.
const REFUSAL_BYTES: u64 = 500;

/// A planned fault, as parts of the day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultPlan {
    /// When all engines of region 2 stop, and return with cold caches.
    pub cold: (f64, f64),
    /// When region 1 is cut off from the other regions, and returns.
    pub lost: (f64, f64),
}

impl Default for FaultPlan {
    fn default() -> Self {
        Self {
            cold: (0.2, 0.3),
            lost: (0.6, 0.7),
        }
    }
}

/// One request at one host.
#[derive(Debug)]
struct Leg {
    from: Option<(usize, Attempt)>,
    current: Option<Attempt>,
    has_run: bool,
}

/// What a caller has of a request so far.
#[derive(Debug, Default)]
struct Progress {
    fate: Option<Fate>,
    first_token: Option<Duration>,
    delivered: u64,
    tries: u32,
    runs: u32,
    ends: u32,
    is_away: bool,
}

impl Progress {
    fn trace(&self) -> Trace {
        Trace {
            fate: self.fate,
            ends: self.ends,
            delivered: Tokens(self.delivered),
            runs: self.runs,
            is_away: self.is_away,
        }
    }
}

/// An attempt of a request at a host.
type AttemptKey = (usize, RequestId, Attempt);

#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Deliver(usize, Box<Event>),
    AtEndpoint(AttemptKey, usize),
    Step(usize),
    Ended(AttemptKey, AttemptOutcome),
    Forwarded(AttemptKey, usize, AllowedRegions),
    CancelAt(usize, RequestId),
    Finish(usize, Fate),
    Tick,
    Report,
    Summarize,
    Heartbeat,
    Engines { region: usize, is_up: bool },
    Link { region: usize, is_up: bool },
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    number: u64,
    what: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What one request has gone through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trace {
    /// How it ended for its caller.
    pub fate: Option<Fate>,
    /// How often an end was told to the caller; one, or there is a fault.
    pub ends: u32,
    /// Tokens that the caller has got.
    pub delivered: Tokens,
    /// How often an engine or service accepted it.
    pub runs: u32,
    /// Whether it was sent to another region.
    pub is_away: bool,
}

/// The end of a replay.
#[derive(Debug)]
pub struct Replay {
    /// What each request has gone through, in the order of the jobs.
    pub traces: Vec<Trace>,
    /// Sums.
    pub totals: Totals,
}

/// Everything that a replay changes.
pub struct World<'a> {
    customer: &'a Customer,
    jobs: &'a [Job],
    callers: Vec<usize>,
    fleet: Fleet,
    hosts: Vec<Gateway>,
    queue: BinaryHeap<Reverse<Entry>>,
    number: u64,
    now: Duration,
    end: Duration,
    open: usize,
    legs: HashMap<(usize, RequestId), Leg>,
    /// Where each attempt runs; attempts at endpoints and at other hosts.
    places: HashMap<AttemptKey, Place>,
    /// Attempts whose host has not heard of an end.
    unended: HashSet<AttemptKey>,
    progress: Vec<Progress>,
    links: BTreeMap<(usize, usize), Duration>,
    cut: Option<usize>,
    totals: Totals,
    digest: Xxh3,
    rng: Pcg64Mcg,
}

#[derive(Debug, Clone, Copy)]
enum Place {
    /// On its way to an endpoint.
    Underway,
    Endpoint(usize, WorkId),
    Host(usize),
}

impl<'a> World<'a> {
    /// A world at the start of the day.
    pub fn new(
        customer: &'a Customer,
        workload: &'a Workload,
        policy: &Policy,
        seed: u64,
        length: Duration,
        faults: Option<FaultPlan>,
    ) -> Self {
        let fleet = Fleet::new(customer, seed);
        let hosts = fleet.gateways(customer, policy, seed);
        let mut world = Self {
            customer,
            jobs: &workload.jobs,
            callers: workload.callers.iter().map(|one| one.home).collect(),
            fleet,
            hosts,
            queue: BinaryHeap::new(),
            number: 0,
            now: Duration::ZERO,
            end: length + DRAIN_TIME,
            open: workload.jobs.len(),
            legs: HashMap::new(),
            places: HashMap::new(),
            unended: HashSet::new(),
            progress: workload.jobs.iter().map(|_| Progress::default()).collect(),
            links: BTreeMap::new(),
            cut: None,
            totals: Totals::default(),
            digest: Xxh3::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        world.prepare(workload, length, faults);
        world
    }

    fn prepare(&mut self, workload: &Workload, length: Duration, faults: Option<FaultPlan>) {
        let intents = Arc::new(self.fleet.intents(self.customer, workload));
        for host in 0..self.hosts.len() {
            self.deliver(host, Duration::ZERO, Event::InForce(Arc::clone(&intents)));
        }
        self.send_list(Duration::ZERO);
        for what in [
            Happening::Heartbeat,
            Happening::Report,
            Happening::Summarize,
            Happening::Tick,
        ] {
            self.at(Duration::ZERO, what);
        }
        if let Some(faults) = faults {
            self.plan_faults(faults, length);
        }
        for (index, job) in workload.jobs.iter().enumerate() {
            self.at(WARM_UP + job.at, Happening::Arrive(index));
        }
        self.end += WARM_UP;
    }

    fn plan_faults(&mut self, faults: FaultPlan, length: Duration) {
        for (part, is_up) in [(faults.cold.0, false), (faults.cold.1, true)] {
            let at = WARM_UP + length.mul_f64(part);
            self.at(at, Happening::Engines { region: 2, is_up });
        }
        for (part, is_up) in [(faults.lost.0, false), (faults.lost.1, true)] {
            let at = WARM_UP + length.mul_f64(part);
            self.at(at, Happening::Link { region: 1, is_up });
        }
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Replay {
        while self.open > 0 {
            let Some(Reverse(entry)) = self.queue.pop() else {
                break;
            };
            self.now = entry.at;
            if self.now > self.end {
                break;
            }
            self.happen(entry.what);
        }
        self.totals.digest = self.digest.digest();
        self.totals.away = self.progress.iter().filter(|one| one.is_away).count() as u64;
        self.fleet.add_totals(&mut self.totals);
        Replay {
            traces: self.progress.iter().map(Progress::trace).collect(),
            totals: self.totals,
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrive(job) => self.arrive(job),
            Happening::Deliver(host, event) => self.give(host, *event),
            Happening::AtEndpoint(key, endpoint) => self.reach_endpoint(key, endpoint),
            Happening::Step(endpoint) => self.step(endpoint),
            Happening::Ended(key, outcome) => self.attempt_ended(key, outcome),
            Happening::Forwarded(key, to, allowed) => self.reach_host(key, to, allowed),
            Happening::CancelAt(host, request) => self.cancel_at(host, request),
            Happening::Finish(job, fate) => self.finish(job, fate),
            Happening::Tick => self.tick(),
            Happening::Report => self.report(),
            Happening::Summarize => self.summarize(),
            Happening::Heartbeat => self.heartbeat(),
            Happening::Engines { region, is_up } => self.switch_engines(region, is_up),
            Happening::Link { region, is_up } => self.switch_link(region, is_up),
        }
    }

    fn at(&mut self, at: Duration, what: Happening) {
        self.number += 1;
        self.queue.push(Reverse(Entry {
            at,
            number: self.number,
            what,
        }));
    }

    fn after(&mut self, delay: Duration, what: Happening) {
        self.at(self.now + delay, what);
    }

    fn deliver(&mut self, host: usize, delay: Duration, event: Event) {
        self.after(delay, Happening::Deliver(host, Box::new(event)));
    }

    fn now_ms(&self) -> Millis {
        EPOCH + Millis(self.now.as_millis() as u64)
    }

    fn lag(&mut self, range: (Duration, Duration)) -> Duration {
        self.rng.random_range(range.0..range.1)
    }

    fn give(&mut self, host: usize, event: Event) {
        let mut actions = Vec::new();
        let now_ms = self.now_ms();
        self.hosts[host].handle(now_ms, event, &mut actions);
        for action in actions {
            self.note(host, &action);
            self.act(host, action);
        }
    }

    fn note(&mut self, host: usize, action: &Action) {
        let bytes = postcard::to_allocvec(action).expect("actions can be serialized");
        self.digest.update(&(host as u64).to_le_bytes());
        self.digest.update(&self.now_ms().0.to_le_bytes());
        self.digest.update(&bytes);
    }

    fn job_of(&self, request: RequestId) -> usize {
        request.0 as usize
    }

    // Callers.

    fn arrive(&mut self, index: usize) {
        let job = &self.jobs[index];
        let home = self.callers[job.caller];
        let hosts = self.fleet.hosts_in(home);
        let host = hosts[self.rng.random_range(0..hosts.len())];
        self.progress[index].tries += 1;
        let request = RequestId(index as u128);
        let arrival = self.arrival(index, Origin::Caller);
        self.legs.insert(
            (host, request),
            Leg {
                from: None,
                current: None,
                has_run: false,
            },
        );
        let delay = self.customer.caller_latency;
        self.deliver(host, delay, Event::Arrived(arrival));
    }

    fn arrival(&self, index: usize, origin: Origin) -> Arrival {
        let job = &self.jobs[index];
        let sent = job.at + WARM_UP;
        Arrival {
            request: RequestId(index as u128),
            caller: Fleet::caller_id(job.caller),
            target: Fleet::target(job.is_order),
            tier: job.tier,
            prompt_tokens: job.prompt,
            max_output_tokens: job.max_output,
            prefix_hashes: job.prefix_hashes.clone(),
            body_bytes: job.body,
            deadline_ms: EPOCH + Millis((sent + job.patience).as_millis() as u64),
            is_repeatable: !job.is_order,
            needs_continuation: false,
            origin,
        }
    }

    fn refuse_caller(&mut self, index: usize, refusal: Refusal) {
        let job = &self.jobs[index];
        let sent = job.at + WARM_UP;
        let progress = &self.progress[index];
        let wait = refusal.retry_after_ms.map(|ms| Duration::from_millis(ms.0));
        let again = wait.map(|wait| self.now + wait + self.customer.caller_latency * 2);
        let may_try = progress.delivered == 0 && progress.tries < CALLER_TRIES;
        match again.filter(|again| may_try && *again < sent + job.patience) {
            Some(again) => self.at(again, Happening::Arrive(index)),
            None => self.after(
                self.customer.caller_latency,
                Happening::Finish(index, Fate::Refused),
            ),
        }
    }

    fn finish(&mut self, index: usize, fate: Fate) {
        let progress = &mut self.progress[index];
        progress.ends += 1;
        if progress.fate.is_none() {
            progress.fate = Some(fate);
            self.open -= 1;
        }
    }

    // Actions.

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Send {
                request,
                attempt,
                endpoint,
                ..
            } => self.send(host, request, attempt, &endpoint),
            Action::Forward {
                request,
                attempt,
                host: to,
                allowed,
                ..
            } => self.forward((host, request, attempt), &to, allowed),
            Action::Refuse { request, refusal } => self.refuse(host, request, refusal),
            Action::Cancel { request, attempt } => self.cancel((host, request, attempt)),
            Action::RequestGrant {
                caller,
                amount_micros,
            } => {
                let granted = Event::Granted {
                    caller,
                    period_start_ms: Fleet::period_start(self.now_ms()),
                    amount_micros,
                };
                self.deliver(host, GRANT_DELAY, granted);
            }
        }
    }

    fn start_attempt(&mut self, key: AttemptKey, place: Place) {
        self.totals.attempts += 1;
        self.unended.insert(key);
        self.places.insert(key, place);
        if let Some(leg) = self.legs.get_mut(&(key.0, key.1)) {
            leg.current = Some(key.2);
        }
    }

    fn send(&mut self, host: usize, request: RequestId, attempt: Attempt, endpoint: &EndpointId) {
        let key = (host, request, attempt);
        self.start_attempt(key, Place::Underway);
        let delay = self.customer.data_centre_latency;
        match self.fleet.endpoint(endpoint) {
            Some(index) => self.after(delay, Happening::AtEndpoint(key, index)),
            None => self.after(delay, Happening::Ended(key, AttemptOutcome::NotSent)),
        }
    }

    fn reach_endpoint(&mut self, key: AttemptKey, endpoint: usize) {
        // A cancelled attempt is no longer under way.
        if !matches!(self.places.get(&key), Some(Place::Underway)) {
            return;
        }
        let back = self.customer.data_centre_latency;
        let index = self.job_of(key.1);
        let work = self.work(index);
        let engine = &mut self.fleet.engines[endpoint];
        if !engine.is_up {
            self.after(back, Happening::Ended(key, AttemptOutcome::NotSent));
            return;
        }
        match engine.submit(self.now, work, Run { key, job: index }) {
            Ok(id) => {
                self.places.insert(key, Place::Endpoint(endpoint, id));
                self.progress[index].runs += 1;
                if let Some(leg) = self.legs.get_mut(&(key.0, key.1)) {
                    leg.has_run = true;
                }
                self.plan_step(endpoint);
            }
            Err(_) => {
                let outcome = AttemptOutcome::Rejected {
                    retry_after_ms: Some(Millis(1_000)),
                    is_leaving: false,
                };
                self.after(back, Happening::Ended(key, outcome));
            }
        }
    }

    fn work(&self, index: usize) -> Work {
        let job = &self.jobs[index];
        let delivered = Tokens(self.progress[index].delivered);
        Work {
            priority: match job.tier {
                Tier::Priority => 0,
                Tier::Default => 1,
                Tier::Flex => 2,
            },
            prompt: job.prompt + delivered,
            prefix_hashes: job.prefix_hashes.clone(),
            output: job.output - delivered,
        }
    }

    fn plan_step(&mut self, endpoint: usize) {
        let engine = &mut self.fleet.engines[endpoint];
        let next = engine.model.next_step();
        if engine.planned != next {
            engine.planned = next;
            if let Some(at) = next {
                self.at(at, Happening::Step(endpoint));
            }
        }
    }

    fn step(&mut self, endpoint: usize) {
        let engine = &mut self.fleet.engines[endpoint];
        if engine.planned != Some(self.now) {
            return;
        }
        let mut generated = Vec::new();
        engine.model.advance(self.now, &mut generated);
        for token in generated {
            self.token(endpoint, token);
        }
        self.plan_step(endpoint);
    }

    fn token(&mut self, endpoint: usize, token: Generated) {
        let Some(run) = self.fleet.engines[endpoint].runs.get(&token.work).copied() else {
            return;
        };
        let (host, request, attempt) = run.key;
        let leg = self.legs.get(&(host, request));
        if leg.is_some_and(|leg| leg.current == Some(attempt)) {
            self.progress[run.job].delivered += 1;
        }
        let near = self.customer.data_centre_latency;
        if token.index == 0 {
            self.first_token(run.key, run.job);
        }
        if token.is_last {
            self.fleet.engines[endpoint].runs.remove(&token.work);
            let outcome = AttemptOutcome::Complete {
                output_tokens: Tokens(token.index + 1),
                cached_tokens: token.cached,
            };
            self.after(near, Happening::Ended((host, request, attempt), outcome));
        }
    }

    fn first_token(&mut self, key: AttemptKey, job: usize) {
        let near = self.customer.data_centre_latency;
        let (host, request, attempt) = key;
        self.deliver(host, near, Event::FirstToken { request, attempt });
        let from = self.legs.get(&(host, request)).and_then(|leg| leg.from);
        let mut to_caller = near + self.customer.caller_latency;
        if let Some((origin, attempt)) = from {
            let far = near + self.customer.region_latency;
            to_caller += self.customer.region_latency;
            self.deliver(origin, far, Event::FirstToken { request, attempt });
        }
        let at = self.now + to_caller;
        self.progress[job].first_token.get_or_insert(at);
    }

    fn attempt_ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let (host, request, attempt) = key;
        // What was under way when an exchange broke is lost with it.
        if !self.unended.remove(&key) {
            return;
        }
        self.places.remove(&key);
        let is_complete = matches!(outcome, AttemptOutcome::Complete { .. });
        let leg = self.legs.get(&(host, request));
        let is_current = leg.is_some_and(|leg| leg.current == Some(attempt));
        if is_current && is_complete {
            self.pass_on_answer(key, &outcome);
        }
        self.give(
            host,
            Event::Ended {
                request,
                attempt,
                outcome,
            },
        );
    }

    fn pass_on_answer(&mut self, key: AttemptKey, outcome: &AttemptOutcome) {
        let (host, request, _) = key;
        let Some(leg) = self.legs.remove(&(host, request)) else {
            return;
        };
        let index = self.job_of(request);
        match leg.from {
            Some((origin, attempt)) => {
                let bytes = Bytes(self.jobs[index].output.0 * BYTES_PER_TOKEN);
                let key = (origin, request, attempt);
                self.transfer(host, origin, bytes, Happening::Ended(key, outcome.clone()));
            }
            None => {
                let job = &self.jobs[index];
                let end = self.now + self.customer.caller_latency;
                let since = |at: Duration| at.saturating_sub(job.at + WARM_UP);
                let first = self.progress[index].first_token.unwrap_or(end);
                let fate = Fate::Answered {
                    first_token: since(first),
                    whole: since(end),
                };
                self.at(end, Happening::Finish(index, fate));
            }
        }
    }

    fn refuse(&mut self, host: usize, request: RequestId, refusal: Refusal) {
        let Some(leg) = self.legs.remove(&(host, request)) else {
            return;
        };
        let index = self.job_of(request);
        let Some((origin, attempt)) = leg.from else {
            self.refuse_caller(index, refusal);
            return;
        };
        let outcome = if leg.has_run {
            AttemptOutcome::Interrupted {
                delivered_tokens: Tokens(self.progress[index].delivered),
            }
        } else {
            AttemptOutcome::Rejected {
                retry_after_ms: refusal.retry_after_ms,
                is_leaving: false,
            }
        };
        let ended = Happening::Ended((origin, request, attempt), outcome);
        self.transfer(host, origin, Bytes(REFUSAL_BYTES), ended);
    }

    fn cancel(&mut self, key: AttemptKey) {
        let (host, request, _) = key;
        let gone = |wasted| AttemptOutcome::CallerDisconnected {
            wasted_tokens: Tokens(wasted),
        };
        match self.places.remove(&key) {
            Some(Place::Endpoint(endpoint, work)) => {
                let engine = &mut self.fleet.engines[endpoint];
                engine.runs.remove(&work);
                let wasted = engine.model.cancel(work).unwrap_or(Tokens(0));
                let back = self.customer.data_centre_latency * 2;
                self.after(back, Happening::Ended(key, gone(wasted.0)));
            }
            Some(Place::Host(to)) => {
                let far = self.customer.region_latency;
                self.after(far, Happening::CancelAt(to, request));
                self.after(far * 2, Happening::Ended(key, gone(0)));
            }
            Some(Place::Underway) => {
                let back = self.customer.data_centre_latency * 2;
                self.after(back, Happening::Ended(key, gone(0)));
            }
            None => {}
        }
        if let Some(leg) = self.legs.get_mut(&(host, request)) {
            leg.current = None;
        }
    }

    fn cancel_at(&mut self, host: usize, request: RequestId) {
        let Some(leg) = self.legs.remove(&(host, request)) else {
            return;
        };
        match leg.current {
            Some(attempt) => self.cancel((host, request, attempt)),
            // It waits there, and would be sent once there is room.
            None => self.give(
                host,
                Event::Ended {
                    request,
                    attempt: Attempt(0),
                    outcome: AttemptOutcome::CallerDisconnected {
                        wasted_tokens: Tokens(0),
                    },
                },
            ),
        }
    }

    // Links.

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.fleet.region_of(from), self.fleet.region_of(to));
        from != to && (self.cut == Some(from) || self.cut == Some(to))
    }

    /// Moves `bytes` to another host; they are lost if the link is cut.
    fn transfer(&mut self, from: usize, to: usize, bytes: Bytes, what: Happening) {
        if self.is_cut(from, to) {
            return;
        }
        let link = (self.fleet.region_of(from), self.fleet.region_of(to));
        // Megabits in a second are bits in a microsecond.
        let bits = bytes.0 * 8;
        let length = Duration::from_micros(bits / self.customer.link.0.max(1));
        let free = self.links.entry(link).or_default();
        *free = (*free).max(self.now) + length;
        let at = *free + self.customer.region_latency;
        self.totals.wan = self.totals.wan + bytes;
        self.at(at, what);
    }

    fn forward(&mut self, key: AttemptKey, to: &HostId, allowed: AllowedRegions) {
        let index = self.job_of(key.1);
        self.progress[index].is_away = true;
        let Some(to) = self.fleet.host(to) else {
            self.start_attempt(key, Place::Underway);
            self.after(
                CONNECT_TIMEOUT,
                Happening::Ended(key, AttemptOutcome::NotSent),
            );
            return;
        };
        self.start_attempt(key, Place::Host(to));
        if self.is_cut(key.0, to) {
            self.after(
                CONNECT_TIMEOUT,
                Happening::Ended(key, AttemptOutcome::NotSent),
            );
            return;
        }
        let bytes = self.jobs[index].body;
        self.transfer(key.0, to, bytes, Happening::Forwarded(key, to, allowed));
    }

    fn reach_host(&mut self, key: AttemptKey, to: usize, allowed: AllowedRegions) {
        let (from, request, attempt) = key;
        if !self.places.contains_key(&key) {
            return;
        }
        let origin = Origin::Host {
            region: self.fleet.region_id(self.fleet.region_of(from)),
            host: self.fleet.host_id(from),
            allowed,
        };
        let arrival = self.arrival(self.job_of(request), origin);
        let leg = Leg {
            from: Some((from, attempt)),
            current: None,
            has_run: false,
        };
        self.legs.insert((to, request), leg);
        self.give(to, Event::Arrived(arrival));
    }

    // What the hosts learn.

    fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            self.give(host, Event::Tick);
        }
        self.after(TICK, Happening::Tick);
    }

    fn report(&mut self) {
        let now_ms = self.now_ms();
        for endpoint in 0..self.fleet.engines.len() {
            let engine = &self.fleet.engines[endpoint];
            if !engine.is_up {
                continue;
            }
            let report = engine.report(now_ms);
            for host in self.fleet.hosts_in(engine.region) {
                let lag = self.lag(REPORT_LAG);
                self.deliver(host, lag, Event::Report(report.clone()));
            }
        }
        self.after(REPORT_INTERVAL, Happening::Report);
    }

    fn summarize(&mut self) {
        for region in 0..self.customer.regions.len() {
            let from = self.fleet.hosts_in(region)[0];
            let Some(summary) = self.hosts[from].region_summary(self.now_ms()) else {
                continue;
            };
            for host in 0..self.hosts.len() {
                if self.fleet.region_of(host) == region || self.is_cut(from, host) {
                    continue;
                }
                let lag = self.customer.region_latency + self.lag(GOSSIP_LAG);
                self.deliver(host, lag, Event::Summary(summary.clone()));
            }
        }
        self.after(SUMMARY_INTERVAL, Happening::Summarize);
    }

    fn heartbeat(&mut self) {
        for from in 0..self.hosts.len() {
            let open = self.hosts[from].open_requests() as u32;
            let heartbeat = self.fleet.heartbeat(from, open);
            for to in self.fleet.hosts_in(self.fleet.region_of(from)) {
                let lag = self.lag(GOSSIP_LAG);
                self.deliver(to, lag, Event::Heartbeat(heartbeat.clone()));
            }
        }
        self.after(HEARTBEAT_INTERVAL, Happening::Heartbeat);
    }

    fn send_list(&mut self, delay: Duration) {
        let endpoints = self.fleet.endpoint_list();
        let hosts = self.fleet.host_list();
        for host in 0..self.hosts.len() {
            let event = Event::Listed {
                endpoints: endpoints.clone(),
                hosts: hosts.clone(),
            };
            self.deliver(host, delay, event);
        }
    }

    // Faults.

    fn switch_engines(&mut self, region: usize, is_up: bool) {
        for endpoint in 0..self.fleet.engines.len() {
            let engine = &mut self.fleet.engines[endpoint];
            if engine.region != region || engine.is_up == is_up {
                continue;
            }
            let broken = engine.switch(is_up);
            for run in broken {
                self.interrupt(run);
            }
        }
        self.send_list(LIST_LAG);
    }

    fn interrupt(&mut self, run: Run) {
        // The last token may have been generated but not passed on.
        let job = &self.jobs[run.job];
        let progress = &mut self.progress[run.job];
        progress.delivered = progress.delivered.min(job.output.0 - 1);
        let delivered = Tokens(progress.delivered);
        let near = self.customer.data_centre_latency;
        let outcome = AttemptOutcome::Interrupted {
            delivered_tokens: delivered,
        };
        self.after(near, Happening::Ended(run.key, outcome));
    }

    fn switch_link(&mut self, region: usize, is_up: bool) {
        self.cut = (!is_up).then_some(region);
        if is_up {
            return;
        }
        // Every exchange over the link breaks for both sides.
        let mut broken: Vec<(AttemptKey, usize)> = Vec::new();
        for (key, place) in &self.places {
            if let Place::Host(to) = place
                && self.is_cut(key.0, *to)
            {
                broken.push((*key, *to));
            }
        }
        broken.sort_unstable();
        for (key, to) in broken {
            let index = self.job_of(key.1);
            self.cancel_at(to, key.1);
            let most = self.jobs[index].output.0 - 1;
            let progress = &mut self.progress[index];
            progress.delivered = progress.delivered.min(most);
            let delivered = Tokens(progress.delivered);
            self.places.remove(&key);
            let outcome = AttemptOutcome::Interrupted {
                delivered_tokens: delivered,
            };
            self.after(Duration::ZERO, Happening::Ended(key, outcome));
        }
    }
}

/// The address of the host or endpoint with this number; nothing listens there.
pub fn address(number: usize) -> SocketAddr {
    let [_, high, mid, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, high, mid, low], 7000))
}
