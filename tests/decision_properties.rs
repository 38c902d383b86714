//! Properties of the decisions that hold for any sequence of events.

mod decision_fixture;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cardamombridge::{
    decision::{
        Gateway,
        event::{
            Action,
            Arrival,
            AttemptOutcome,
            Event,
            Origin, //
        },
        policy::{
            Policy,
            Routing, //
        }, //
    },
    types::{
        Attempt,
        CostMicros,
        EndpointId,
        Incarnation,
        Millis,
        RequestId,
        Tier,
        Tokens, //
    }, //
};
use decision_fixture::*;
use proptest::prelude::*;

/// Time between two ticks.
const TICK_MS: u64 = 100;

/// Upper bound of the time from the arrival of a generated request to its deadline.
const LONGEST_MS: u64 = 20_000;

/// A generated step, which the state of the session turns into an event.
#[derive(Debug, Clone)]
enum Step {
    Arrive {
        caller: usize,
        tier: u8,
        left_ms: u64,
        prefix: u64,
        is_repeatable: bool,
        origin: u8,
    },
    End {
        index: usize,
        outcome: u8,
    },
    FirstToken(usize),
    Report {
        endpoint: usize,
        running: u32,
        age_ms: u64,
        run: u64,
        is_leaving: bool,
    },
    List {
        leaving: u8,
        missing: u8,
    },
    Summary {
        region: usize,
        busy: u32,
        age_ms: u64,
    },
    Heartbeat {
        host: usize,
        open: u32,
        is_elsewhere: bool,
    },
    Grant {
        caller: usize,
        kind: u8,
    },
    Wait(u64),
}

const CALLERS: [&str; 3] = ["wide", "bound", "away"];
const REGIONS: [&str; 4] = ["zapad", "sever", "stred", "juh"];
const ENDPOINTS: [&str; 3] = ["e1", "e2", "e3"];
const HOSTS: [&str; 4] = ["h1", "h2", "zapad-1", "sever-2"];

fn step() -> impl Strategy<Value = Step> {
    let arrive = (
        0..3usize,
        0..3u8,
        0..LONGEST_MS,
        0..4u64,
        any::<bool>(),
        0..4u8,
    );
    let report = (
        0..3usize,
        0..6u32,
        0..8_000u64,
        1..4u64,
        prop::bool::weighted(0.1),
    );
    prop_oneof![
        6 => arrive.prop_map(|(caller, tier, left_ms, prefix, is_repeatable, origin)| {
            Step::Arrive { caller, tier, left_ms, prefix, is_repeatable, origin }
        }),
        6 => (any::<usize>(), 0..10u8).prop_map(|(index, outcome)| Step::End { index, outcome }),
        1 => any::<usize>().prop_map(Step::FirstToken),
        2 => report.prop_map(|(endpoint, running, age_ms, run, is_leaving)| {
            Step::Report { endpoint, running, age_ms, run, is_leaving }
        }),
        1 => (0..8u8, 0..8u8).prop_map(|(leaving, missing)| Step::List { leaving, missing }),
        2 => (0..4usize, 0..12u32, 0..8_000u64).prop_map(|(region, busy, age_ms)| {
            Step::Summary { region, busy, age_ms }
        }),
        1 => (0..4usize, 0..100u32, any::<bool>()).prop_map(|(host, open, is_elsewhere)| {
            Step::Heartbeat { host, open, is_elsewhere }
        }),
        2 => (0..2usize, 0..4u8).prop_map(|(caller, kind)| Step::Grant { caller, kind }),
        3 => (0..3_000u64).prop_map(Step::Wait),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

fn routing() -> impl Strategy<Value = Routing> {
    prop_oneof![
        4 => Just(Routing::Adaptive),
        1 => Just(Routing::Random),
        1 => Just(Routing::RoundRobin),
        1 => Just(Routing::LeastReported),
        1 => Just(Routing::HomeOnly),
    ]
}

/// A session that checks each action against its own, independent state.
struct Checked {
    gateway: Gateway,
    now_ms: Millis,
    arrivals: BTreeMap<RequestId, Arrival>,
    running: BTreeMap<RequestId, Attempt>,
    refused: BTreeSet<RequestId>,
    cancelled_ms: BTreeMap<RequestId, Millis>,
    ended: BTreeSet<RequestId>,
    leaving: BTreeSet<EndpointId>,
    /// Time and incarnation of each endpoint's newest report, and its earlier
    /// incarnations.
    reports: BTreeMap<EndpointId, (Millis, Incarnation, BTreeSet<Incarnation>)>,
    listed_leaving: BTreeSet<EndpointId>,
    granted: BTreeMap<&'static str, u64>,
    log: Vec<Action>,
}

impl Checked {
    fn new(seed: u64, routing: Routing) -> Self {
        let policy = Policy {
            routing,
            away_margin_ms: Millis(0),
            away_cap_permille: 1_000,
            ..Policy::default()
        };
        let mut gateway = gateway(seed, policy);
        run(&mut gateway, START, Event::InForce(intents()));
        let endpoints = ENDPOINTS.iter().map(|name| endpoint(name, 2)).collect();
        run(&mut gateway, START, listed(endpoints));
        Self {
            gateway,
            now_ms: START,
            arrivals: BTreeMap::new(),
            running: BTreeMap::new(),
            refused: BTreeSet::new(),
            cancelled_ms: BTreeMap::new(),
            ended: BTreeSet::new(),
            leaving: BTreeSet::new(),
            reports: BTreeMap::new(),
            listed_leaving: BTreeSet::new(),
            granted: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    fn feed(&mut self, event: Event) {
        let actions = run(&mut self.gateway, self.now_ms, event);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
        self.check_spending();
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                attempt,
                endpoint,
                ..
            } => {
                assert!(
                    !self.leaving.contains(endpoint),
                    "sent to a leaving endpoint"
                );
                let here = id("stred");
                let allowed = self.allowed(*request);
                assert!(allowed.contains(&here), "sent outside the allowed regions");
                self.check_start(*request, *attempt);
            }
            Action::Forward {
                request,
                attempt,
                region,
                allowed,
                host,
                ..
            } => {
                let arrival = &self.arrivals[request];
                assert_eq!(arrival.origin, Origin::Caller, "forwarded a second time");
                assert!(arrival.is_repeatable, "ticket call sent to another region");
                let may_see = self.allowed(*request);
                assert!(
                    may_see.contains(region),
                    "forwarded outside the allowed regions"
                );
                assert!(allowed.iter().all(|region| may_see.contains(region)));
                assert!(
                    host.as_str().starts_with(region.as_str()),
                    "host of another region"
                );
                self.check_start(*request, *attempt);
            }
            Action::Refuse { request, .. } => {
                assert!(!self.ended.contains(request), "refused after its response");
                assert!(self.refused.insert(*request), "refused twice");
            }
            Action::Cancel { request, attempt } => {
                assert_eq!(self.running.get(request), Some(attempt));
                let known = self.cancelled_ms.insert(*request, self.now_ms);
                assert_eq!(known, None, "cancelled twice");
            }
            Action::RequestGrant { amount_micros, .. } => assert!(*amount_micros > CostMicros(0)),
        }
    }

    fn check_start(&mut self, request: RequestId, attempt: Attempt) {
        assert!(!self.refused.contains(&request), "sent after its refusal");
        assert!(!self.ended.contains(&request), "sent after its response");
        assert!(self.now_ms < self.arrivals[&request].deadline_ms);
        let known = self.running.insert(request, attempt);
        assert_eq!(known, None, "sent twice at the same time");
    }

    fn allowed(&self, request: RequestId) -> BTreeSet<cardamombridge::types::RegionId> {
        let arrival = &self.arrivals[&request];
        let intents = intents();
        let intent = intents.caller(&arrival.caller).expect("known caller");
        let mut allowed: BTreeSet<_> = intent.regions.iter().cloned().collect();
        if let Origin::Host { allowed: other, .. } = &arrival.origin {
            allowed.retain(|region| other.contains(region));
        }
        allowed
    }

    fn check_spending(&self) {
        for caller in CALLERS {
            let budget = self.gateway.budget();
            let Some(ledger) = budget.ledger(&id(caller), START) else {
                continue;
            };
            let allowance = BUDGET.0 * u64::from(Policy::default().outage_permille) / 1_000;
            let granted = self.granted.get(caller).copied().unwrap_or(0);
            let used = ledger.spent.0 + ledger.reserved.0;
            assert!(
                used <= granted + allowance,
                "{caller} spent more than its share"
            );
        }
    }

    fn apply(&mut self, number: u128, step: &Step) {
        match step {
            Step::Arrive { .. } => self.arrive(number, step),
            Step::End { index, outcome } => self.end(*index, *outcome),
            Step::FirstToken(index) => {
                if let Some((request, attempt)) = self.pick(*index) {
                    self.feed(Event::FirstToken { request, attempt });
                }
            }
            Step::Report { .. } => self.report(step),
            Step::List { leaving, missing } => self.list(*leaving, *missing),
            Step::Summary {
                region,
                busy,
                age_ms,
            } => {
                let made_ms = self.now_ms - Millis(*age_ms);
                self.feed(Event::Summary(summary(
                    REGIONS[*region],
                    made_ms,
                    10,
                    *busy,
                )));
            }
            Step::Heartbeat {
                host,
                open,
                is_elsewhere,
            } => {
                let mut heartbeat = heartbeat(HOSTS[*host], number as u64, *open);
                if !is_elsewhere {
                    heartbeat.region = id(["stred", "stred", "zapad", "sever"][*host]);
                }
                self.feed(Event::Heartbeat(heartbeat));
            }
            Step::Grant { caller, kind } => self.grant(CALLERS[*caller], *kind),
            Step::Wait(ms) => self.wait(*ms),
        }
    }

    fn arrive(&mut self, number: u128, step: &Step) {
        let Step::Arrive {
            caller,
            tier,
            left_ms,
            prefix,
            is_repeatable,
            origin,
        } = step
        else {
            return;
        };
        let deadline_ms = self.now_ms + Millis(*left_ms);
        let mut arrival = arrival(number, CALLERS[*caller], deadline_ms);
        arrival.tier = [Tier::Priority, Tier::Default, Tier::Flex][usize::from(*tier)];
        arrival.prefix_hashes = (1..=*prefix).collect();
        arrival.is_repeatable = *is_repeatable;
        let arrival = match origin {
            0 => forwarded(arrival, &["stred", "zapad"]),
            1 => forwarded(arrival, &["zapad"]),
            _ => arrival,
        };
        self.arrivals.insert(arrival.request, arrival.clone());
        self.feed(Event::Arrived(arrival));
    }

    fn pick(&self, index: usize) -> Option<(RequestId, Attempt)> {
        let index = index % self.running.len().max(1);
        let (request, attempt) = self.running.iter().nth(index)?;
        Some((*request, *attempt))
    }

    fn end(&mut self, index: usize, outcome: u8) {
        let Some((request, attempt)) = self.pick(index) else {
            return;
        };
        let outcome = match outcome {
            0 => AttemptOutcome::NotSent,
            1 => AttemptOutcome::Rejected {
                retry_after_ms: Some(Millis(500)),
                is_leaving: false,
            },
            2 => AttemptOutcome::Interrupted {
                delivered_tokens: Tokens(3),
            },
            3 => AttemptOutcome::Failed { status: 500 },
            4 => AttemptOutcome::CallerDisconnected {
                wasted_tokens: Tokens(9),
            },
            5 => AttemptOutcome::Rejected {
                retry_after_ms: None,
                is_leaving: true,
            },
            _ => complete(),
        };
        self.running.remove(&request);
        let is_leaving = matches!(
            outcome,
            AttemptOutcome::Rejected {
                is_leaving: true,
                ..
            }
        );
        if is_leaving && !self.is_abandoned(request) {
            let last = self.last_endpoint(request);
            self.leaving.extend(last);
        }
        let may_repeat = match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Rejected { .. } => true,
            AttemptOutcome::Interrupted { .. } => self.arrivals[&request].is_repeatable,
            _ => false,
        };
        let is_interrupted = matches!(outcome, AttemptOutcome::Interrupted { .. });
        if !may_repeat && !is_interrupted {
            self.ended.insert(request);
        }
        let sent = self.sends(request);
        self.feed(Event::Ended {
            request,
            attempt,
            outcome,
        });
        if !may_repeat {
            assert_eq!(self.sends(request), sent, "repeated what must not be");
        }
    }

    /// Whether a cancelled attempt was given up because it did not end in time. Its
    /// outcome is then ignored.
    fn is_abandoned(&self, request: RequestId) -> bool {
        let wait_ms = Policy::default().cancel_wait_ms;
        let cancelled_ms = self.cancelled_ms.get(&request);
        cancelled_ms.is_some_and(|at_ms| *at_ms + wait_ms <= self.now_ms)
    }

    /// The endpoint of a request's last attempt, unless it was forwarded.
    fn last_endpoint(&self, request: RequestId) -> Option<EndpointId> {
        let mut actions = self.log.iter().rev();
        let last = actions.find(|action| {
            let is_start = matches!(action, Action::Send { .. } | Action::Forward { .. });
            is_start && action.request() == Some(request)
        });
        match last {
            Some(Action::Send { endpoint, .. }) => Some(endpoint.clone()),
            _ => None,
        }
    }

    fn sends(&self, request: RequestId) -> usize {
        let is_send = |action: &&Action| {
            matches!(action, Action::Send { .. } | Action::Forward { .. })
                && action.request() == Some(request)
        };
        self.log.iter().filter(is_send).count()
    }

    fn report(&mut self, step: &Step) {
        let Step::Report {
            endpoint,
            running,
            age_ms,
            run,
            is_leaving,
        } = step
        else {
            return;
        };
        let name: EndpointId = id(ENDPOINTS[*endpoint]);
        let mut report = report(name.as_str(), self.now_ms - Millis(*age_ms), *running);
        report.incarnation = Incarnation(*run);
        report.is_leaving = *is_leaving;
        self.note_report(&name, report.measured_ms, report.incarnation, *is_leaving);
        self.feed(Event::Report(report));
    }

    /// Records a report. A leaving endpoint stops leaving only with a newer report of
    /// an instance that has not reported before.
    fn note_report(&mut self, name: &EndpointId, at_ms: Millis, run: Incarnation, leaves: bool) {
        let known = self.reports.get(name).cloned();
        let is_newer = known
            .as_ref()
            .is_none_or(|(known_ms, ..)| *known_ms < at_ms);
        let is_same = known
            .as_ref()
            .is_none_or(|(_, known_run, _)| *known_run == run);
        let mut past = known
            .as_ref()
            .map_or(BTreeSet::new(), |known| known.2.clone());
        if past.contains(&run) || !(is_newer || is_same && leaves) {
            return;
        }
        if is_newer && !is_same {
            past.extend(known.map(|known| known.1));
            self.leaving.remove(name);
        }
        if is_newer {
            self.reports.insert(name.clone(), (at_ms, run, past));
        }
        if leaves {
            self.leaving.insert(name.clone());
        }
    }

    fn list(&mut self, leaving: u8, missing: u8) {
        let mut endpoints = Vec::new();
        for (index, name) in ENDPOINTS.iter().enumerate() {
            let mut info = endpoint(name, 2);
            info.is_leaving = leaving & (1 << index) != 0;
            if missing & (1 << index) != 0 {
                continue;
            }
            let is_new = info.is_leaving && self.listed_leaving.insert(info.id.clone());
            if is_new {
                self.leaving.insert(info.id.clone());
            }
            if !info.is_leaving {
                self.listed_leaving.remove(&info.id);
            }
            endpoints.push(info);
        }
        self.feed(listed(endpoints));
    }

    fn grant(&mut self, caller: &'static str, kind: u8) {
        let event = match kind {
            0 => Event::GrantUnavailable { caller: id(caller) },
            1 => Event::GrantRefused {
                caller: id(caller),
                period_start_ms: START,
            },
            _ => {
                *self.granted.entry(caller).or_default() += 2_000;
                granted(caller, 2_000)
            }
        };
        self.feed(event);
    }

    fn wait(&mut self, ms: u64) {
        let until_ms = self.now_ms + Millis(ms);
        while self.now_ms < until_ms {
            let step_ms = Millis(TICK_MS).min(until_ms - self.now_ms);
            self.now_ms = self.now_ms + step_ms;
            self.feed(Event::Tick);
            self.check_waiting();
        }
    }

    /// Checks that every request has a response or a running attempt once its
    /// deadline has passed.
    fn check_waiting(&self) {
        for (request, arrival) in &self.arrivals {
            let is_done = self.refused.contains(request) || self.ended.contains(request);
            let is_due = arrival.deadline_ms <= self.now_ms;
            let is_running = self.running.contains_key(request);
            assert!(
                is_done || is_running || !is_due,
                "{request} has no response"
            );
        }
    }

    fn replay(seed: u64, routing: Routing, steps: &[Step]) -> Self {
        let mut session = Self::new(seed, routing);
        for (number, step) in steps.iter().enumerate() {
            session.apply(number as u128 + 1, step);
        }
        session
    }

    fn finish(&mut self) {
        self.wait(LONGEST_MS + TICK_MS);
        while let Some((request, attempt)) = self.pick(0) {
            self.running.remove(&request);
            self.ended.insert(request);
            self.feed(Event::Ended {
                request,
                attempt,
                outcome: complete(),
            });
        }
        self.wait(TICK_MS);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against violations of what `Checked` verifies: residency, at most one
    /// forward, endpoint drain, spending limits, and one final response in time. Also
    /// guards against reservations or requests in flight that remain after all
    /// requests have ended.
    #[test]
    fn guarantees_hold_for_any_events(
        seed in any::<u64>(),
        routing in routing(),
        steps in steps(),
    ) {
        let mut session = Checked::replay(seed, routing, &steps);

        session.finish();

        prop_assert_eq!(session.gateway.open_requests(), 0);
        for caller in CALLERS {
            let ledger = session.gateway.budget().ledger(&id(caller), START);
            prop_assert_eq!(ledger.unwrap_or_default().reserved, CostMicros(0));
        }
        for state in session.gateway.view().endpoints.values() {
            prop_assert_eq!(state.in_flight(), 0);
        }
    }

    /// Guards against decisions that depend on anything other than seed and events.
    #[test]
    fn same_seed_and_events_give_the_same_actions(
        seed in any::<u64>(),
        routing in routing(),
        steps in steps(),
    ) {
        let first = Checked::replay(seed, routing, &steps);
        let second = Checked::replay(seed, routing, &steps);

        prop_assert_eq!(first.log, second.log);
    }

    /// Guards against retries that multiply the load of a failing region.
    #[test]
    fn retries_stay_within_their_share(
        requests in 1..400u128,
        retry_permille in 0..500u16,
        retry_burst in 0..20u16,
        seed in any::<u64>(),
    ) {
        let policy = Policy { retry_permille, retry_burst, ..Policy::default() };
        let endpoints = vec![endpoint("e1", 1_000), endpoint("e2", 1_000)];
        let mut gateway = ready(seed, policy, endpoints);

        let mut sends = 0;
        for number in 1..=requests {
            let now_ms = at(number as u64 * 10);
            let event = Event::Arrived(arrival(number, "bound", now_ms + Millis(10_000)));
            let mut actions = run(&mut gateway, now_ms, event);
            while let Some(action) = actions.pop() {
                let Action::Send { request, attempt, .. } = action else { continue };
                sends += 1;
                let outcome = AttemptOutcome::NotSent;
                let end = Event::Ended { request, attempt, outcome };
                actions.extend(run(&mut gateway, now_ms, end));
                actions.extend(run(&mut gateway, now_ms, Event::Tick));
            }
        }

        let earned = requests as u64 * u64::from(retry_permille) / 1_000;
        let retries = gateway.waste().retries;
        prop_assert!(retries <= earned + u64::from(retry_burst));
        prop_assert!(sends <= requests as u64 + retries);
    }
}
