//! Explores every interleaving of a small model around the real ticket table.
//!
//! Three hosts handle one or two tickets: the owner, its successor and a third
//! host that forwards. Tables cannot be cloned, so each state is rebuilt by
//! replaying the events that lead to it. Guards against a call that runs twice,
//! a `not_run` that is reported for a call that ran or can still run, and a
//! final `unknown` that turns into `not_run`.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        HashSet, //
    },
    fmt::Write as _,
    hash::Hasher as _,
    sync::Arc, //
};

use cardamombridge::{
    decision::residency::AllowedRegions,
    outcome::{
        RunState,
        Sent,
        Unsent, //
    },
    ticket::{
        call::{
            CallDigest,
            KeptResponse, //
        },
        handover::{
            Handover,
            HandoverState, //
        },
        refusal::{
            TicketRefusal,
            TicketRefusalReason, //
        },
        route::{
            KnownHost,
            Route,
            RouteView,
            route, //
        },
        table::{
            Begin,
            IssueRequest,
            Permit,
            TicketLimits,
            TicketState,
            TicketTable, //
        },
        token::{
            HostInstance,
            Ticket,
            TicketId,
            TicketOwner, //
        }, //
    },
    types::{
        Incarnation,
        Millis,
        RequestId, //
    }, //
};
use proptest::{
    prelude::*,
    sample::select,
    test_runner::{
        Config,
        TestRunner, //
    }, //
};
use xxhash_rust::xxh3::Xxh3;

const OWNER: usize = 0;
const SUCCESSOR: usize = 1;
const THIRD: usize = 2;
const HOSTS: [usize; 3] = [OWNER, SUCCESSOR, THIRD];
const HOST_NAMES: [&str; 3] = ["owner", "successor", "third"];

/// Times of the model: the start; handovers from the start are too late and
/// restarts have settled; tickets from the start have expired; these are
/// forgotten.
const TIMES_MS: [u64; 4] = [0, 21_500, 61_000, 700_000];
/// Limits the memory of the search if the model grows by mistake.
const MAX_STATES: usize = 2_000_000;
const LIFETIME_MS: Millis = Millis(60_000);

/// A fault that is injected into the model to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The third host imports a handover that is addressed to the successor.
    ImportsForeignHandover,
    /// The owner keeps its tickets when it exports them.
    KeepsExportedTickets,
    /// The start of a call is recorded when it ends.
    RecordsStartLate,
    /// A call without a response is released as if it had not been sent.
    ReleasesSentCall,
    /// A forwarding host that cannot reach the holder reports `not_run`.
    ForwarderReportsNotRun,
    /// `not_run` is reported to a caller whose call is released.
    ReleaseReportsNotRun,
    /// A table reports `not_run` when it does not know whether the call ran.
    UnknownReportsNotRun,
    /// A ticket is cancelled although its call has started.
    CancelsStarted,
}

const RAN_TWICE: &str = "a call ran twice";
const RAN_AFTER_NOT_RUN: &str = "a call ran after `not_run` was reported";
const NOT_RUN_AFTER_SEND: &str = "`not_run` was reported for a call that was sent";
const NOT_RUN_AFTER_UNKNOWN: &str = "a final `unknown` turned into `not_run`";

/// Every fault with the violations that it must cause.
const FAULTS: [(Fault, &[&str]); 8] = [
    (Fault::ImportsForeignHandover, &[RAN_TWICE]),
    (Fault::KeepsExportedTickets, &[RAN_TWICE]),
    (Fault::RecordsStartLate, &[RAN_TWICE, RAN_AFTER_NOT_RUN]),
    (Fault::ReleasesSentCall, &[RAN_TWICE, NOT_RUN_AFTER_SEND]),
    (
        Fault::ForwarderReportsNotRun,
        &[NOT_RUN_AFTER_SEND, RAN_AFTER_NOT_RUN],
    ),
    (Fault::ReleaseReportsNotRun, &[RAN_AFTER_NOT_RUN]),
    (
        Fault::UnknownReportsNotRun,
        &[NOT_RUN_AFTER_SEND, NOT_RUN_AFTER_UNKNOWN],
    ),
    (Fault::CancelsStarted, &[NOT_RUN_AFTER_SEND]),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Issue(usize),
    Begin(usize, usize),
    BeginOtherCall(usize, usize),
    Send(usize, usize),
    Release(usize, usize),
    GiveUp(usize, usize),
    EndpointRuns(usize),
    FinishOk(usize, usize),
    FinishUnknown(usize, usize),
    Cancel(usize, usize),
    Query(usize, usize),
    QueryThroughThird(usize),
    StartHandover,
    Export,
    Deliver(usize),
    Crash(usize),
    Restart(usize),
    /// Pauses the host: its next action uses the present time, however late it
    /// takes place.
    Freeze(usize),
    ReceiveGossip(usize),
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Model {
    tickets: usize,
    /// Number of instants of [`TIMES_MS`] that the model reaches.
    times: usize,
    /// Maximum number of starts of one ticket in one history; without it,
    /// released calls could start again without end.
    max_starts: u32,
    has_restart: bool,
    has_freeze: bool,
    has_successor_crash: bool,
    fault: Option<Fault>,
}

impl Model {
    fn events(&self) -> Vec<Event> {
        let mut events = self.host_events();
        events.extend((0..self.tickets).flat_map(ticket_events));
        events
    }

    fn host_events(&self) -> Vec<Event> {
        let mut events = vec![Event::StartHandover, Event::Export, Event::Tick];
        events.push(Event::ReceiveGossip(THIRD));
        events.push(Event::Crash(OWNER));
        if self.has_restart {
            events.push(Event::Restart(OWNER));
        }
        if self.has_successor_crash {
            events.extend([Event::Crash(SUCCESSOR), Event::Restart(SUCCESSOR)]);
        }
        for host in HOSTS {
            events.push(Event::Deliver(host));
        }
        if self.has_freeze {
            events.extend([Event::Freeze(OWNER), Event::Freeze(SUCCESSOR)]);
        }
        events
    }
}

fn ticket_events(ticket: usize) -> Vec<Event> {
    let mut events = vec![Event::Issue(ticket), Event::EndpointRuns(ticket)];
    events.push(Event::QueryThroughThird(ticket));
    for host in HOSTS {
        events.extend([
            Event::Begin(host, ticket),
            Event::BeginOtherCall(host, ticket),
            Event::Send(host, ticket),
            Event::Release(host, ticket),
            Event::GiveUp(host, ticket),
            Event::FinishOk(host, ticket),
            Event::FinishUnknown(host, ticket),
            Event::Cancel(host, ticket),
            Event::Query(host, ticket),
        ]);
    }
    events
}

#[derive(Debug)]
enum Proof {
    Unsent(Unsent),
    Sent(Sent),
}

/// A call that a host has started and not ended; without a permit if the start
/// is not recorded.
#[derive(Debug)]
struct PendingCall {
    ticket: usize,
    permit: Option<Permit>,
    proof: Proof,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownState {
    incarnation: u64,
    first_seen_ms: u64,
    last_seen_ms: u64,
}

#[derive(Debug)]
struct Host {
    is_up: bool,
    incarnation: u64,
    started_ms: u64,
    table: TicketTable,
    pending_calls: Vec<PendingCall>,
    frozen_ms: Option<u64>,
    known_hosts: [KnownState; 3],
    /// Whether the host knows that the successor holds the owner's tickets.
    knows_successor: bool,
}

impl Host {
    fn new(index: usize, incarnation: u64, now_ms: u64) -> Self {
        let limits = TicketLimits {
            lifetime_ms: LIFETIME_MS,
            ..TicketLimits::default()
        };
        let known = KnownState {
            incarnation: 1,
            first_seen_ms: now_ms,
            last_seen_ms: now_ms,
        };
        Self {
            is_up: true,
            incarnation,
            started_ms: now_ms,
            table: TicketTable::new(owner(index, incarnation), Millis(now_ms)).with_limits(limits),
            pending_calls: Vec::new(),
            frozen_ms: None,
            known_hosts: [known.clone(), known.clone(), known],
            knows_successor: false,
        }
    }

    fn take_pending_call(&mut self, ticket: usize, is_sent: bool) -> Option<PendingCall> {
        let position = self.pending_calls.iter().position(|pending| {
            pending.ticket == ticket && matches!(pending.proof, Proof::Sent(_)) == is_sent
        })?;
        Some(self.pending_calls.remove(position))
    }
}

/// What happened to the call of one ticket, and what was reported to callers.
#[derive(Debug, Default)]
struct CallRecord {
    issued_ms: u64,
    /// How often a host was given the right to send the call.
    starts: u32,
    in_transit: u32,
    runs: u32,
    is_not_run_reported: bool,
    is_final_unknown_reported: bool,
}

#[derive(Debug)]
struct World {
    model: Model,
    time: usize,
    hosts: [Host; 3],
    tickets: Vec<Option<Ticket>>,
    calls: Vec<CallRecord>,
    handover: Option<Arc<Handover>>,
}

/// Message of a violated invariant.
type Violation = &'static str;
/// Whether the event was possible, or the invariant that it violated.
type Step = Result<bool, Violation>;

fn run_of(index: usize, incarnation: u64) -> HostInstance {
    HostInstance {
        host: HOST_NAMES[index].parse().expect("host"),
        incarnation: Incarnation(incarnation),
    }
}

fn owner(index: usize, incarnation: u64) -> TicketOwner {
    TicketOwner {
        instance: run_of(index, incarnation),
        region: "stred".parse().expect("region"),
        peer_address: ([127, 0, 0, 1], 7000 + index as u16).into(),
    }
}

fn allowed() -> AllowedRegions {
    serde_json::from_str(r#"["stred"]"#).expect("regions")
}

fn digest(body: &[u8]) -> CallDigest {
    CallDigest::new("POST", "/orders", body)
}

impl World {
    fn new(model: Model) -> Self {
        Self {
            model,
            time: 0,
            hosts: HOSTS.map(|index| Host::new(index, 1, 0)),
            tickets: (0..model.tickets).map(|_| None).collect(),
            calls: (0..model.tickets).map(|_| CallRecord::default()).collect(),
            handover: None,
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.model.fault == Some(fault)
    }

    fn now_ms(&self) -> u64 {
        TIMES_MS[self.time]
    }

    /// Returns the time that the host's next action uses.
    fn clock(&mut self, host: usize) -> Millis {
        let now_ms = self.now_ms();
        Millis(self.hosts[host].frozen_ms.take().unwrap_or(now_ms))
    }

    fn fingerprint(&self) -> u128 {
        struct Sink(Xxh3);
        impl std::fmt::Write for Sink {
            fn write_str(&mut self, text: &str) -> std::fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let mut sink = Sink(Xxh3::new());
        write!(sink, "{self:?}").expect("sink");
        sink.0.digest128()
    }

    /// Applies an event; returns `Ok(false)` if it is not possible in this
    /// state, which is then unchanged.
    fn apply(&mut self, event: Event) -> Step {
        match event {
            Event::Issue(ticket) => self.issue(ticket),
            Event::Begin(host, ticket) => self.begin(host, ticket, digest(b"order")),
            Event::BeginOtherCall(host, ticket) => self.begin(host, ticket, digest(b"other")),
            Event::Send(host, ticket) => self.send(host, ticket),
            Event::Release(host, ticket) => self.release(host, ticket),
            Event::GiveUp(host, ticket) => self.give_up(host, ticket),
            Event::EndpointRuns(ticket) => self.endpoint_runs(ticket),
            Event::FinishOk(host, ticket) => self.finish_ok(host, ticket),
            Event::FinishUnknown(host, ticket) => self.finish_unknown(host, ticket),
            Event::Cancel(host, ticket) => self.cancel(host, ticket),
            Event::Query(host, ticket) => self.query(host, ticket, true),
            Event::QueryThroughThird(ticket) => self.query(THIRD, ticket, false),
            Event::StartHandover => self.start_handover(),
            Event::Export => self.export(),
            Event::Deliver(host) => self.deliver(host),
            Event::Crash(host) => Ok(self.crash(host)),
            Event::Restart(host) => Ok(self.restart(host)),
            Event::Freeze(host) => Ok(self.freeze(host)),
            Event::ReceiveGossip(host) => Ok(self.receive_gossip(host)),
            Event::Tick => Ok(self.tick()),
        }
    }

    fn issue(&mut self, ticket: usize) -> Step {
        if self.tickets[ticket].is_some() || !self.hosts[OWNER].is_up {
            return Ok(false);
        }
        let now_ms = self.clock(OWNER);
        self.calls[ticket].issued_ms = now_ms.0;
        self.tickets[ticket] = issue_at(&mut self.hosts[OWNER].table, ticket, now_ms);
        Ok(true)
    }

    /// Lets a call with a ticket arrive at `host`; returns the ticket if the
    /// host uses its own table, and otherwise records the host's refusal.
    fn arrive(&mut self, host: usize, ticket: usize) -> Result<Option<Ticket>, Violation> {
        let Some(presented) = self.tickets[ticket].clone() else {
            return Ok(None);
        };
        if !self.hosts[host].is_up {
            return Ok(None);
        }
        match self.route(host, &presented, true) {
            Route::Local => Ok(Some(presented)),
            Route::Forward(_) => Err("a forwarded call was forwarded again"),
            Route::Refused(refusal) => {
                self.report_refusal(ticket, &refusal)?;
                Ok(None)
            }
        }
    }

    fn route(&self, host: usize, ticket: &Ticket, is_forwarded: bool) -> Route {
        let local = &self.hosts[host];
        let issuer = ticket.body().owner.instance.clone();
        let holder_index = if local.knows_successor && issuer == run_of(OWNER, 1) {
            SUCCESSOR
        } else {
            OWNER
        };
        let holder = match holder_index {
            SUCCESSOR => run_of(SUCCESSOR, 1),
            _ => issuer,
        };
        let known = &local.known_hosts[holder_index];
        let known_host = KnownHost {
            incarnation: Incarnation(known.incarnation),
            first_seen_ms: Millis(known.first_seen_ms),
            last_seen_ms: Millis(known.last_seen_ms),
            region: "stred".parse().expect("region"),
            peer_address: owner(holder_index, 1).peer_address,
            is_reachable: self.hosts[holder_index].is_up,
        };
        let view = RouteView {
            this_host: local.table.this_host(),
            started_ms: Millis(local.started_ms),
            is_held_here: local.table.holds(ticket),
            is_forwarded,
            holder: &holder,
            known_host: Some(&known_host),
            allowed: &allowed(),
            now_ms: Millis(self.now_ms()),
        };
        route(ticket, &view)
    }

    fn begin(&mut self, host: usize, ticket: usize, digest: CallDigest) -> Step {
        if self.calls[ticket].starts == self.model.max_starts {
            return Ok(false);
        }
        let Some(presented) = self.arrive(host, ticket)? else {
            return Ok(self.hosts[host].is_up);
        };
        let now_ms = self.clock(host);
        let table = &mut self.hosts[host].table;
        if self.model.fault == Some(Fault::RecordsStartLate)
            && table.state(&presented, now_ms) == Ok(TicketState::Issued)
        {
            self.add_call(host, ticket, None, Unsent::new());
            return Ok(true);
        }
        match table.begin(&presented, digest, Unsent::new(), now_ms) {
            Begin::Started { permit, unsent } => self.add_call(host, ticket, Some(permit), unsent),
            Begin::Replay(_) => self.check_ran(ticket)?,
            Begin::Refused(refusal) => self.report_refusal(ticket, &refusal)?,
        }
        Ok(true)
    }

    fn add_call(&mut self, host: usize, ticket: usize, permit: Option<Permit>, unsent: Unsent) {
        let proof = Proof::Unsent(unsent);
        let pending = PendingCall {
            ticket,
            permit,
            proof,
        };
        self.calls[ticket].starts += 1;
        self.hosts[host].pending_calls.push(pending);
    }

    fn send(&mut self, host: usize, ticket: usize) -> Step {
        let Some(mut pending) = self.hosts[host].take_pending_call(ticket, false) else {
            return Ok(false);
        };
        if let Proof::Unsent(unsent) = pending.proof {
            pending.proof = Proof::Sent(unsent.mark_sent());
        }
        self.hosts[host].pending_calls.push(pending);
        self.calls[ticket].in_transit += 1;
        Ok(true)
    }

    fn release(&mut self, host: usize, ticket: usize) -> Step {
        let Some(pending) = self.hosts[host].take_pending_call(ticket, false) else {
            return Ok(false);
        };
        let now_ms = self.clock(host);
        if let (Some(permit), Proof::Unsent(unsent)) = (pending.permit, pending.proof) {
            let _stale = self.hosts[host].table.release(permit, unsent, now_ms);
        }
        if self.has(Fault::ReleaseReportsNotRun) {
            self.report_not_run(ticket)?;
        }
        Ok(true)
    }

    fn give_up(&mut self, host: usize, ticket: usize) -> Step {
        let Some(pending) = self.hosts[host].take_pending_call(ticket, false) else {
            return Ok(false);
        };
        let now_ms = self.clock(host);
        if let (Some(permit), Proof::Unsent(unsent)) = (pending.permit, pending.proof)
            && self.hosts[host]
                .table
                .give_up(permit, unsent, now_ms)
                .is_ok()
        {
            self.report_not_run(ticket)?;
        }
        Ok(true)
    }

    fn endpoint_runs(&mut self, ticket: usize) -> Step {
        let call = &mut self.calls[ticket];
        if call.in_transit == 0 {
            return Ok(false);
        }
        call.in_transit -= 1;
        call.runs += 1;
        if call.runs > 1 {
            return Err(RAN_TWICE);
        }
        if call.is_not_run_reported {
            return Err(RAN_AFTER_NOT_RUN);
        }
        Ok(true)
    }

    fn finish_ok(&mut self, host: usize, ticket: usize) -> Step {
        if self.calls[ticket].runs == 0 {
            return Ok(false);
        }
        let Some(pending) = self.hosts[host].take_pending_call(ticket, true) else {
            return Ok(false);
        };
        let now_ms = self.clock(host);
        let response = KeptResponse::new(200, b"ok".to_vec());
        if let (Some(permit), Proof::Sent(sent)) = (pending.permit, pending.proof) {
            let _stale = self.hosts[host]
                .table
                .finish(permit, sent, response, now_ms);
        }
        Ok(true)
    }

    fn finish_unknown(&mut self, host: usize, ticket: usize) -> Step {
        let Some(pending) = self.hosts[host].take_pending_call(ticket, true) else {
            return Ok(false);
        };
        let now_ms = self.clock(host);
        let releases = self.has(Fault::ReleasesSentCall);
        let table = &mut self.hosts[host].table;
        if let Some(permit) = pending.permit {
            let _stale = if releases {
                table.release(permit, Unsent::new(), now_ms)
            } else {
                table.finish_unknown(permit, now_ms)
            };
        }
        Ok(true)
    }

    fn cancel(&mut self, host: usize, ticket: usize) -> Step {
        let Some(presented) = self.arrive(host, ticket)? else {
            return Ok(self.hosts[host].is_up);
        };
        let now_ms = self.clock(host);
        let result = self.hosts[host].table.cancel(&presented, now_ms);
        match result {
            Ok(_) => self.report_not_run(ticket)?,
            Err(refusal) if refusal.reason == TicketRefusalReason::InProgress => {
                if self.has(Fault::CancelsStarted) {
                    self.report_not_run(ticket)?;
                }
            }
            Err(refusal) => self.report_refusal(ticket, &refusal)?,
        }
        Ok(true)
    }

    fn query(&mut self, host: usize, ticket: usize, is_forwarded: bool) -> Step {
        let Some(presented) = self.tickets[ticket].clone() else {
            return Ok(false);
        };
        if !self.hosts[host].is_up {
            return Ok(false);
        }
        match self.route(host, &presented, is_forwarded) {
            Route::Local => self.query_table(host, ticket, &presented)?,
            Route::Forward(to) => {
                let position = HOST_NAMES
                    .iter()
                    .position(|name| *name == to.instance.host.as_str());
                let index = position.expect("a host of the model");
                if self.hosts[index].is_up {
                    return self.query(index, ticket, true);
                }
                self.report_refusal(ticket, &TicketRefusal::unreachable())?;
            }
            Route::Refused(refusal) => self.report_refusal(ticket, &refusal)?,
        }
        Ok(true)
    }

    fn query_table(
        &mut self,
        host: usize,
        ticket: usize,
        presented: &Ticket,
    ) -> Result<(), Violation> {
        let now_ms = self.clock(host);
        match self.hosts[host].table.state(presented, now_ms) {
            Ok(TicketState::Issued | TicketState::Started) => Ok(()),
            Ok(TicketState::Finished(_)) => self.check_ran(ticket),
            Ok(TicketState::Closed(_)) => self.report_not_run(ticket),
            Ok(TicketState::Unknown) => {
                self.calls[ticket].is_final_unknown_reported = true;
                Ok(())
            }
            Err(refusal) => self.report_refusal(ticket, &refusal),
        }
    }

    fn check_ran(&self, ticket: usize) -> Result<(), Violation> {
        match self.calls[ticket].runs {
            0 => Err("a call that did not run was reported as finished"),
            _ => Ok(()),
        }
    }

    fn report_not_run(&mut self, ticket: usize) -> Result<(), Violation> {
        let call = &mut self.calls[ticket];
        call.is_not_run_reported = true;
        if call.runs + call.in_transit > 0 {
            return Err(NOT_RUN_AFTER_SEND);
        }
        if call.is_final_unknown_reported {
            return Err(NOT_RUN_AFTER_UNKNOWN);
        }
        Ok(())
    }

    fn report_refusal(&mut self, ticket: usize, refusal: &TicketRefusal) -> Result<(), Violation> {
        let is_unknown = refusal.reason == TicketRefusalReason::Unknown;
        let is_unreachable = refusal.reason == TicketRefusalReason::Unreachable;
        let reports_not_run = matches!(refusal.run_state(), RunState::NotRun(_))
            || (is_unreachable && self.has(Fault::ForwarderReportsNotRun))
            || (is_unknown && self.has(Fault::UnknownReportsNotRun));
        if reports_not_run {
            return self.report_not_run(ticket);
        }
        self.calls[ticket].is_final_unknown_reported |=
            is_unknown && refusal.retry_after_ms.is_none();
        Ok(())
    }

    fn start_handover(&mut self) -> Step {
        let owner = &mut self.hosts[OWNER];
        if !owner.is_up || owner.incarnation != 1 {
            return Ok(false);
        }
        Ok(owner.table.start_handover(run_of(SUCCESSOR, 1)).is_ok())
    }

    fn export(&mut self) -> Step {
        if !self.hosts[OWNER].is_up || self.handover.is_some() {
            return Ok(false);
        }
        let now_ms = self.clock(OWNER);
        let Ok(handover) = self.hosts[OWNER].table.export(|_| true, now_ms) else {
            return Ok(true);
        };
        if self.has(Fault::KeepsExportedTickets) {
            self.hosts[OWNER].table = Host::new(OWNER, 1, 0).table;
            for exported in &handover.tickets {
                let ticket = exported.body.id.0.0 as usize;
                if exported.state == HandoverState::Issued {
                    let issued_ms = Millis(self.calls[ticket].issued_ms);
                    let table = &mut self.hosts[OWNER].table;
                    self.tickets[ticket] = issue_at(table, ticket, issued_ms);
                }
            }
        }
        self.handover = Some(handover);
        Ok(true)
    }

    /// Delivers the handover message, which stays in transit, so that it can
    /// arrive again, late or never.
    fn deliver(&mut self, host: usize) -> Step {
        let Some(mut handover) = self.handover.as_deref().cloned() else {
            return Ok(false);
        };
        let now_ms = Millis(self.now_ms());
        let receiver = &mut self.hosts[host];
        if !receiver.is_up {
            return Ok(false);
        }
        if self.model.fault == Some(Fault::ImportsForeignHandover) {
            handover.to = receiver.table.this_host().instance.clone();
        }
        let _refused = receiver.table.import(&handover, now_ms);
        Ok(true)
    }

    fn crash(&mut self, host: usize) -> bool {
        let was_up = std::mem::replace(&mut self.hosts[host].is_up, false);
        if was_up {
            let incarnation = self.hosts[host].incarnation;
            self.hosts[host] = Host::new(host, incarnation, 0);
            self.hosts[host].is_up = false;
        }
        was_up
    }

    fn restart(&mut self, host: usize) -> bool {
        let is_down = !self.hosts[host].is_up && self.hosts[host].incarnation == 1;
        if is_down {
            self.hosts[host] = Host::new(host, 2, self.now_ms());
            self.hosts[host].known_hosts[host].incarnation = 2;
        }
        is_down
    }

    fn freeze(&mut self, host: usize) -> bool {
        let now_ms = self.now_ms();
        let frozen = &mut self.hosts[host];
        let can_freeze = frozen.is_up && frozen.frozen_ms.is_none();
        if can_freeze {
            frozen.frozen_ms = Some(now_ms);
        }
        can_freeze
    }

    fn receive_gossip(&mut self, host: usize) -> bool {
        let now_ms = self.now_ms();
        let successor_holds = self.hosts[SUCCESSOR].is_up
            && self.hosts[SUCCESSOR]
                .table
                .owners()
                .contains(&run_of(OWNER, 1));
        let incarnations = HOSTS.map(|other| self.hosts[other].incarnation);
        let is_up = HOSTS.map(|other| self.hosts[other].is_up);
        let receiver = &mut self.hosts[host];
        if !receiver.is_up {
            return false;
        }
        receiver.knows_successor |= successor_holds;
        for other in HOSTS {
            let known = &mut receiver.known_hosts[other];
            if is_up[other] && known.incarnation != incarnations[other] {
                known.first_seen_ms = now_ms;
            }
            if is_up[other] {
                known.incarnation = incarnations[other];
                known.last_seen_ms = now_ms;
            }
        }
        true
    }

    /// Advances the time; hosts receive gossip and sweep their tables in each
    /// step.
    fn tick(&mut self) -> bool {
        if self.time + 1 == self.model.times {
            return false;
        }
        for host in HOSTS {
            self.receive_gossip(host);
        }
        self.time += 1;
        let now_ms = Millis(self.now_ms());
        for host in &mut self.hosts {
            if host.is_up && host.frozen_ms.is_none() {
                host.table.sweep(now_ms);
            }
        }
        true
    }
}

fn issue_at(table: &mut TicketTable, ticket: usize, now_ms: Millis) -> Option<Ticket> {
    let issue_request = IssueRequest {
        caller: &"drevoton".parse().expect("caller"),
        service: &"orders".parse().expect("service"),
        allowed: &allowed(),
    };
    let id = TicketId(RequestId(ticket as u128));
    table.issue(id, &issue_request, now_ms).ok()
}

/// A state to expand, as the indices of the events that lead to it.
type Path = Vec<u8>;

/// Path and fingerprint of a state that one event leads to, or its violation.
type Expansion = (Path, Result<u128, Violation>);

fn replay(model: Model, events: &[Event], path: &[u8]) -> World {
    let mut world = World::new(model);
    for step in path {
        let step = world.apply(events[*step as usize]);
        step.expect("a path without violation");
    }
    world
}

/// Returns the states and violations that one event leads to from a state.
fn expand(model: Model, events: &[Event], path: &[u8]) -> Vec<Expansion> {
    let mut found = Vec::new();
    let mut world = replay(model, events, path);
    for (index, event) in events.iter().enumerate() {
        let outcome = world.apply(*event);
        if outcome == Ok(false) {
            continue;
        }
        let mut next = path.to_vec();
        next.push(index as u8);
        found.push((next, outcome.map(|_| world.fingerprint())));
        world = replay(model, events, path);
    }
    found
}

fn expand_all(model: Model, events: &[Event], frontier: &[Path]) -> Vec<Expansion> {
    const THREADS: usize = 4;
    let share = frontier.len().div_ceil(THREADS);
    let expand_share = |paths: &[Path]| -> Vec<Expansion> {
        let found = paths.iter().flat_map(|path| expand(model, events, path));
        found.collect()
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = frontier
            .chunks(share)
            .map(|paths| scope.spawn(move || expand_share(paths)))
            .collect();
        let joined = workers.into_iter().map(|worker| worker.join());
        joined.flat_map(|found| found.expect("worker")).collect()
    })
}

#[derive(Debug, Default)]
struct Report {
    states: usize,
    depth: usize,
    /// Shortest history that leads to each kind of violation.
    violations: BTreeMap<Violation, Vec<Event>>,
}

/// Visits all reachable states, or those up to the first of each `expected`
/// violation if there are any. A violation ends its history.
fn explore(model: Model, expected: &[Violation]) -> Report {
    let events = model.events();
    let mut report = Report::default();
    let mut known = HashSet::from([World::new(model).fingerprint()]);
    let mut frontier: Vec<Path> = vec![Vec::new()];
    let is_found = |report: &Report| {
        let is_found = |violation| report.violations.contains_key(violation);
        !expected.is_empty() && expected.iter().all(is_found)
    };
    while !frontier.is_empty() && !is_found(&report) {
        let found = expand_all(model, &events, &frontier);
        frontier.clear();
        for (path, outcome) in found {
            match outcome {
                Ok(fingerprint) if known.insert(fingerprint) => frontier.push(path),
                Ok(_) => {}
                Err(violation) => {
                    let history = path.iter().map(|index| events[*index as usize]);
                    let history = history.collect();
                    report.violations.entry(violation).or_insert(history);
                }
            }
        }
        report.depth += 1;
        assert!(known.len() <= MAX_STATES, "more than {MAX_STATES} states");
    }
    report.states = known.len();
    report
}

const ONE_TICKET: Model = Model {
    tickets: 1,
    times: TIMES_MS.len(),
    max_starts: 2,
    has_restart: true,
    has_freeze: false,
    has_successor_crash: false,
    fault: None,
};

/// Explores a model without a fault; `min_states` detects a model that has
/// become too small.
fn check(model: Model, min_states: usize) {
    let report = explore(model, &[]);
    println!(
        "{model:?}: {} states, depth {}",
        report.states, report.depth
    );
    assert_eq!(report.violations, BTreeMap::new());
    assert!(report.states >= min_states, "{} states", report.states);
}

/// Guards against a violation in any order of all events of one ticket.
#[test]
fn one_ticket_in_every_interleaving() {
    check(ONE_TICKET, 110_000);
}

/// Guards against a violation when a paused host acts on an outdated time.
#[test]
fn one_ticket_with_frozen_hosts() {
    let model = Model {
        max_starts: 1,
        has_restart: false,
        has_freeze: true,
        ..ONE_TICKET
    };

    check(model, 200_000);
}

/// Guards against a violation when the successor crashes and restarts around
/// the handover.
#[test]
fn one_ticket_with_a_crashing_successor() {
    let model = Model {
        times: 3,
        max_starts: 1,
        has_restart: false,
        has_successor_crash: true,
        ..ONE_TICKET
    };

    check(model, 50_000);
}

/// Guards against a violation when one handover contains tickets in different
/// states.
#[test]
fn two_tickets_in_one_handover() {
    let model = Model {
        tickets: 2,
        times: 2,
        max_starts: 1,
        has_restart: false,
        ..ONE_TICKET
    };

    check(model, 130_000);
}

/// Guards against a search that does not detect violations.
#[test]
fn the_search_finds_every_fault() {
    for (fault, expected) in FAULTS {
        let model = Model {
            fault: Some(fault),
            ..ONE_TICKET
        };

        let report = explore(model, expected);

        for violation in expected {
            let history = report.violations.get(violation);
            println!("{fault:?}: {violation}: {history:?}");
            assert!(history.is_some(), "{fault:?} never caused: {violation}");
        }
    }
}

/// Tickets, starts and failures beyond what can be visited exhaustively.
const MANY_TICKETS: Model = Model {
    tickets: 6,
    times: TIMES_MS.len(),
    max_starts: 8,
    has_restart: true,
    has_freeze: true,
    has_successor_crash: true,
    fault: None,
};

/// Histories in which every host event is followed by many ticket events.
fn histories(model: Model) -> impl Strategy<Value = Vec<Event>> {
    let handover = [
        Event::StartHandover,
        Event::Export,
        Event::Deliver(SUCCESSOR),
    ];
    let ticket_events: Vec<Event> = (0..model.tickets).flat_map(ticket_events).collect();
    // Handover events are more likely: most histories would otherwise lose all
    // tickets in a crash before a handover.
    let host_event = prop_oneof![select(handover.to_vec()), select(model.host_events())];
    let phase = (
        host_event,
        prop::collection::vec(select(ticket_events), 0..120),
    );
    prop::collection::vec(phase, 1..12).prop_map(|phases| {
        let flatten = |(host_event, mut events): (Event, Vec<Event>)| {
            events.push(host_event);
            events
        };
        phases.into_iter().flat_map(flatten).collect()
    })
}

/// Applies a history up to its end or its first violation.
fn apply_history(model: Model, history: &[Event]) -> Result<World, Violation> {
    let mut world = World::new(model);
    for event in history {
        world.apply(*event)?;
    }
    Ok(world)
}

/// A failing history is printed, so no file is written.
fn random_config(cases: u32) -> Config {
    Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    }
}

/// Counts of the events in a number of random histories.
#[derive(Debug, Default)]
struct Coverage {
    runs: u32,
    not_run: u32,
    final_unknown: u32,
    imports: u32,
}

/// Guards against violations that need several tickets or a long history.
#[test]
fn long_random_histories_of_many_tickets() {
    let coverage = RefCell::new(Coverage::default());
    let mut runner = TestRunner::new(random_config(10_000));

    let result = runner.run(&histories(MANY_TICKETS), |history| {
        let world = apply_history(MANY_TICKETS, &history).map_err(TestCaseError::fail)?;
        let mut coverage = coverage.borrow_mut();
        for call in &world.calls {
            coverage.runs += call.runs;
            coverage.not_run += u32::from(call.is_not_run_reported);
            coverage.final_unknown += u32::from(call.is_final_unknown_reported);
        }
        let is_imported = world.hosts[SUCCESSOR].table.owners().len() > 1;
        coverage.imports += u32::from(is_imported);
        Ok(())
    });

    println!("{:?}", coverage.borrow());
    result.expect("no violation");
    let coverage = coverage.into_inner();
    assert!(coverage.runs > 1_000, "{coverage:?}");
    assert!(coverage.not_run > 1_000, "{coverage:?}");
    assert!(coverage.final_unknown > 1_000, "{coverage:?}");
    assert!(coverage.imports > 100, "{coverage:?}");
}

/// Guards against random histories that do not detect violations.
#[test]
fn random_histories_find_faults() {
    for (fault, _) in FAULTS {
        let model = Model {
            fault: Some(fault),
            ..MANY_TICKETS
        };
        let config = Config {
            max_shrink_iters: 0,
            ..random_config(10_000)
        };

        let result = TestRunner::new(config).run(&histories(model), |history| {
            apply_history(model, &history).map_err(TestCaseError::fail)?;
            Ok(())
        });

        assert!(result.is_err(), "{fault:?} was not found");
    }
}
