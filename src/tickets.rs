//! Calls that must not be repeated: the thread that owns the ticket table and
//! the way of a call through it.
//!
//! Any host takes a ticketed call. The host that owns the ticket runs it; every
//! other host forwards it there and passes the answer on. Only the owner can say
//! that a call did not run.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::RngExt;
use serde_json::json;

use crate::{
    clock,
    decider::RingFull,
    decision::{
        event::{
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    intent::Intents,
    openai::ErrorAnswer,
    outcome::{
        Claim,
        RunState,
        Unsent, //
    },
    peer::{
        client::PeerRequest,
        frame::Frame, //
    },
    plain_answer::{
        self,
        PlainAnswer, //
    },
    relay::{
        self,
        Exchange,
        RelayContext,
        Settlement, //
    },
    sink::AnswerSink,
    ticket::{
        call::{
            CallDigest,
            KeptAnswer, //
        },
        handover::{
            Handover,
            ImportError, //
        },
        refusal::TicketRefusal,
        route::{
            Route,
            RouteView,
            Sighting,
            route, //
        },
        table::{
            Begin,
            IssueError,
            IssueFor,
            Permit,
            TicketState, //
        },
        token::{
            HostRun,
            Owner,
            Presented,
            Ticket,
            TicketError,
            TicketId,
            TicketSigner, //
        }, //
    },
    ticket_thread::TableHandle,
    types::{
        CallerId,
        Millis,
        RegionId,
        RequestId,
        ServiceId, //
    }, //
};

/// Header field that carries a ticket.
pub const TICKET_FIELD: &str = "idempotency-key";
const FORWARD_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_ANSWER_BYTES: usize = 17 * 1024 * 1024;
/// When to come back after the ring of the table was full.
const SHED_RETRY_AFTER_MS: Millis = Millis(1_000);

/// What ticketed calls need.
#[derive(Clone)]
pub struct TicketContext {
    /// Leads to the ticket table.
    pub table: TableHandle,
    /// Writes and verifies tickets.
    pub signer: TicketSigner,
    /// This host.
    pub me: Owner,
    /// When it started.
    pub started_ms: Millis,
    /// What requests need on their way.
    pub relay: RelayContext,
}

/// Whom a ticket is for.
#[derive(Debug, Clone)]
pub struct TicketCaller {
    /// The authenticated caller.
    pub caller: CallerId,
    /// Regions that its intent allows.
    pub allowed: AllowedRegions,
}

/// What is asked of a ticket.
#[derive(Debug)]
pub enum TicketRequest {
    /// Run its call.
    Call(Box<Exchange>, CallDigest),
    /// Tell its state.
    State,
    /// Close it unless it has started.
    Void,
}

impl TicketContext {
    /// Issues a ticket and returns its text.
    pub fn issue(&self, to: &TicketCaller, service: &ServiceId) -> Result<String, IssueError> {
        let (to, service) = (to.clone(), service.clone());
        let issued = self.table.run(move |table, now_ms| {
            let id = TicketId(RequestId(rand::rng().random()));
            let issue_for = IssueFor {
                caller: &to.caller,
                service: &service,
                allowed: &to.allowed,
            };
            table.issue(id, &issue_for, now_ms)
        });
        let busy = IssueError::Full {
            retry_after_ms: SHED_RETRY_AFTER_MS,
        };
        let ticket = issued.map_err(|RingFull| busy)??;
        self.signer.encode(&ticket).map_err(|_| busy)
    }

    /// The refusal of a call that has no ticket, with a fresh one.
    pub fn ticket_required(&self, to: &TicketCaller, service: &ServiceId) -> PlainAnswer {
        match self.issue(to, service) {
            Ok(text) => {
                let error = plain_answer::error_of(&TicketRefusal::ticket_required(Unsent::new()));
                let body = json!({"error": error.body.error, "ticket": text});
                PlainAnswer::json(error.status, &body).with_field(TICKET_FIELD, &text)
            }
            Err(error) => {
                PlainAnswer::from_refusal(&TicketRefusal::cannot_issue(Unsent::new(), error))
            }
        }
    }

    /// Serves what a caller of this host asks of a ticket.
    pub fn serve(
        &self,
        text: &str,
        from: &TicketCaller,
        service: Option<&ServiceId>,
        request: TicketRequest,
    ) -> PlainAnswer {
        let ticket = match (self.open(text, from, service), service) {
            (Ok(ticket), _) => ticket,
            // Nothing ever ran under a key that is no ticket.
            (Err(TicketError::Malformed), Some(service)) => {
                return self.ticket_required(from, service);
            }
            (Err(error), _) => return PlainAnswer::from_error(&unusable(error)),
        };
        match self.route(&ticket, from, false) {
            Ok(Route::Local) => self.serve_here(&ticket, request),
            Ok(Route::Forward(owner)) => self.forward(text, &owner, from, request),
            Ok(Route::Refused(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    /// Serves what another host asks of a ticket; this host is the last one.
    pub fn serve_forwarded(
        &self,
        text: &str,
        from: &TicketCaller,
        request: TicketRequest,
    ) -> PlainAnswer {
        let ticket = match self.open(text, from, None) {
            Ok(ticket) => ticket,
            Err(error) => return PlainAnswer::from_error(&unusable(error)),
        };
        match self.route(&ticket, from, true) {
            Ok(Route::Local) => self.serve_here(&ticket, request),
            Ok(Route::Refused(refusal)) => PlainAnswer::from_refusal(&refusal),
            Ok(Route::Forward(_)) | Err(RingFull) => {
                PlainAnswer::from_refusal(&TicketRefusal::unreachable())
            }
        }
    }

    fn open(
        &self,
        text: &str,
        from: &TicketCaller,
        service: Option<&ServiceId>,
    ) -> Result<Ticket, TicketError> {
        let presented = Presented {
            caller: &from.caller,
            service,
            allowed: &from.allowed,
            now_ms: clock::now(),
        };
        self.signer.open(text, &presented)
    }

    fn route(
        &self,
        ticket: &Ticket,
        from: &TicketCaller,
        is_forwarded: bool,
    ) -> Result<Route, RingFull> {
        let asked = ticket.clone();
        let is_held_here = self.table.run(move |table, _| table.holds(&asked))?;
        let now_ms = clock::now();
        let owner = ticket.body().owner.run.clone();
        let (holder, sighting) = self.relay.decider.query(move |gateway| {
            let holder = gateway.view().ticket_holder(&owner);
            let state = gateway.view().hosts.get(&holder.host);
            let sighting = state.map(|state| Sighting {
                incarnation: state.heartbeat.incarnation,
                first_seen_ms: state.run_since_ms,
                last_heard_ms: state.received_ms,
                region: state.heartbeat.region.clone(),
                peer_address: state.heartbeat.peer_address,
                is_reachable: state.is_live(now_ms, gateway.policy()),
            });
            (holder, sighting)
        })?;
        let view = RouteView {
            me: &self.me,
            started_ms: self.started_ms,
            is_held_here,
            is_forwarded,
            holder: &holder,
            sighting: sighting.as_ref(),
            allowed: &from.allowed,
            now_ms,
        };
        Ok(route(ticket, &view))
    }

    fn serve_here(&self, ticket: &Ticket, request: TicketRequest) -> PlainAnswer {
        match request {
            TicketRequest::Call(exchange, digest) => self.call(ticket, *exchange, digest),
            TicketRequest::State => self.state(ticket),
            TicketRequest::Void => self.void(ticket),
        }
    }

    fn call(&self, ticket: &Ticket, exchange: Exchange, digest: CallDigest) -> PlainAnswer {
        let asked = ticket.clone();
        let begun = self
            .table
            .run(move |table, now_ms| table.begin(&asked, digest, Unsent::new(), now_ms));
        match begun {
            Ok(Begin::Started { permit, unsent }) => self.run_call(exchange, permit, unsent),
            Ok(Begin::Replay(kept)) => {
                PlainAnswer::from_kept(&kept).with_field("idempotent-replayed", "true")
            }
            Ok(Begin::Refused(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    /// Runs the one call of a ticket and records how it ended before anybody is
    /// told.
    fn run_call(&self, exchange: Exchange, permit: Permit, unsent: Unsent) -> PlainAnswer {
        let request = exchange.arrival.request;
        let mut sink = AnswerSink::capture(request);
        let (settlement, _) = relay::carry(&self.relay, exchange, unsent, &mut sink);
        let (refusal, claim) = match settlement {
            Settlement::Answered(sent) => {
                let Some(answer) = sink.into_captured() else {
                    return self.unknown(request, permit, Refusal::new(RefusalReason::NoEndpoint));
                };
                let mut kept = KeptAnswer::new(answer.status, answer.body);
                for field in answer.headers.iter() {
                    kept = kept.with_field(&field.name, &field.value);
                }
                let plain = PlainAnswer::from_kept(&kept);
                let finished = self
                    .table
                    .run_surely(move |table, now_ms| table.finish(permit, sent, kept, now_ms));
                if !matches!(finished, Ok(Ok(()))) {
                    tracing::warn!(%request, "the end of a ticketed call could not be recorded");
                }
                return plain;
            }
            Settlement::GivenUp { refusal, claim, .. } => (refusal, claim),
            Settlement::CallerGone => {
                let refusal = Refusal::new(RefusalReason::RetriesExhausted);
                return self.unknown(request, permit, refusal);
            }
        };
        match claim {
            Claim::Unsent(unsent) => self.not_run(request, permit, unsent, refusal),
            Claim::Sent(_) | Claim::Settled => self.unknown(request, permit, refusal),
        }
    }

    fn not_run(
        &self,
        request: RequestId,
        permit: Permit,
        unsent: Unsent,
        refusal: Refusal,
    ) -> PlainAnswer {
        let closed = self
            .table
            .run_surely(move |table, now_ms| table.give_up(permit, unsent, now_ms));
        // Without the record, the same ticket might run later.
        let state = match closed {
            Ok(Ok(closed)) => RunState::NotRun(closed.not_run),
            _ => RunState::Unknown,
        };
        let answer = ErrorAnswer::from_refusal(refusal, state);
        relay::log_given_up(request, &answer);
        PlainAnswer::from_error(&answer)
    }

    fn unknown(&self, request: RequestId, permit: Permit, refusal: Refusal) -> PlainAnswer {
        let recorded = self
            .table
            .run_surely(move |table, now_ms| table.finish_unknown(permit, now_ms));
        if !matches!(recorded, Ok(Ok(()))) {
            tracing::warn!(%request, "the end of a ticketed call could not be recorded");
        }
        let answer = ErrorAnswer::from_refusal(refusal, RunState::Unknown);
        relay::log_given_up(request, &answer);
        PlainAnswer::from_error(&answer)
    }

    fn state(&self, ticket: &Ticket) -> PlainAnswer {
        let asked = ticket.clone();
        let state = self
            .table
            .run(move |table, now_ms| table.state(&asked, now_ms));
        match state {
            Ok(Ok(state)) => describe_state(&state),
            Ok(Err(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    fn void(&self, ticket: &Ticket) -> PlainAnswer {
        let asked = ticket.clone();
        let voided = self
            .table
            .run(move |table, now_ms| table.void(&asked, now_ms));
        match voided {
            Ok(Ok(closed)) => describe_state(&TicketState::Closed(closed)),
            Ok(Err(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    /// Asks the owner; whatever fails on the way, the call may have run.
    fn forward(
        &self,
        text: &str,
        owner: &Owner,
        from: &TicketCaller,
        request: TicketRequest,
    ) -> PlainAnswer {
        let (frame, body, deadline) = match request {
            TicketRequest::Call(exchange, _) => {
                let deadline = clock::instant_of(exchange.arrival.deadline_ms);
                let (head, body) = relay::forward_of(&self.relay, &exchange, from.allowed.clone());
                let ticket = text.into();
                (Frame::TicketCall { ticket, head }, body, deadline)
            }
            TicketRequest::State => {
                let (ticket, caller) = (text.into(), from.caller.clone());
                let frame = Frame::GetTicketStatus { ticket, caller };
                (frame, Vec::new(), Instant::now())
            }
            TicketRequest::Void => {
                let (ticket, caller) = (text.into(), from.caller.clone());
                let frame = Frame::CancelTicket { ticket, caller };
                (frame, Vec::new(), Instant::now())
            }
        };
        let deadline = deadline.max(Instant::now() + Duration::from_secs(2));
        let deadline = deadline.min(Instant::now() + FORWARD_TIMEOUT);
        match self.ask(owner, &frame, &body, deadline) {
            Some(answer) => answer,
            None => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    fn ask(
        &self,
        owner: &Owner,
        frame: &Frame,
        body: &[u8],
        deadline: Instant,
    ) -> Option<PlainAnswer> {
        let request = PeerRequest {
            host: &owner.run.host,
            address: owner.peer_address,
            frame,
            body,
            max_response_bytes: MAX_ANSWER_BYTES,
            deadline,
        };
        let answer = self
            .relay
            .peers
            .request(&request)
            .inspect_err(|error| {
                tracing::debug!(host = %owner.run.host, %error, "the owner did not answer");
            })
            .ok()?;
        if answer.frame != Frame::TicketStatus {
            return None;
        }
        postcard::from_bytes(&answer.payload).ok()
    }

    /// Stops starting calls; the table is to go to `successor`.
    pub fn start_handover(&self, successor: HostRun) -> bool {
        let started = self
            .table
            .run_surely(move |table, _| table.start_handover(successor));
        matches!(started, Ok(Ok(())))
    }

    /// Ticketed calls in progress.
    pub fn started_count(&self) -> usize {
        let count = self.table.run_surely(|table, _| table.started_count());
        count.unwrap_or(0)
    }

    /// Empties the table into the message for the successor.
    pub fn export(&self, intents: Arc<Intents>, successor_region: RegionId) -> Option<Vec<u8>> {
        let exported = self.table.run_surely(move |table, now_ms| {
            let may_receive = |caller: &CallerId| {
                let intent = intents.caller(caller);
                intent.is_some_and(|intent| intent.regions.contains(&successor_region))
            };
            table.export(may_receive, now_ms)
        });
        let handover = exported.ok()?.ok()?;
        postcard::to_allocvec(&*handover).ok()
    }

    /// Takes over the table of a leaving host; whether it is held here now.
    pub fn import(&self, bytes: &[u8]) -> bool {
        let Ok(handover) = postcard::from_bytes::<Handover>(bytes) else {
            return false;
        };
        let imported = self
            .table
            .run_surely(move |table, now_ms| table.import(&handover, now_ms));
        match imported {
            Ok(Ok(imported)) => {
                tracing::info!(tickets = imported.accepted, "took over a ticket table");
                true
            }
            Ok(Err(ImportError::AlreadyImported(_))) => true,
            Ok(Err(error)) => {
                tracing::warn!(%error, "did not take over a ticket table");
                false
            }
            Err(RingFull) => false,
        }
    }

    /// Runs whose tickets are decided here.
    pub fn held_runs(&self) -> Vec<HostRun> {
        let held = self
            .table
            .run(|table, _| table.held().iter().cloned().collect());
        held.unwrap_or_default()
    }
}

fn describe_state(state: &TicketState) -> PlainAnswer {
    let run_state = match state {
        TicketState::Closed(closed) => RunState::NotRun(closed.not_run).to_string(),
        TicketState::Finished(_) => "finished".to_string(),
        TicketState::Issued | TicketState::Started | TicketState::Unknown => {
            RunState::Unknown.to_string()
        }
    };
    PlainAnswer::json(200, &json!({"state": state.word(), "run_state": run_state}))
}

fn unusable(error: TicketError) -> ErrorAnswer {
    ErrorAnswer::new(
        error.status(),
        "ticket_not_accepted",
        &error.to_string(),
        error.run_state(Unsent::new()),
    )
}
