//! Serves calls that must not be repeated, with tickets.
//!
//! Every host accepts ticketed calls. The host that holds the ticket runs the
//! call; every other host forwards it there and passes on the response. Only
//! the holder can report that a call did not run.

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
        ExchangeOutcome,
        RelayContext, //
    },
    sink::ResponseSink,
    ticket::{
        call::{
            CallDigest,
            KeptResponse, //
        },
        handover::{
            Handover,
            ImportError, //
        },
        refusal::TicketRefusal,
        route::{
            KnownHost,
            Route,
            RouteView,
            route, //
        },
        table::{
            Begin,
            IssueError,
            IssueRequest,
            Permit,
            TicketState, //
        },
        token::{
            HostInstance,
            Ticket,
            TicketError,
            TicketId,
            TicketOwner,
            TicketSigner,
            VerifyContext, //
        }, //
    },
    ticket_thread::TicketTableHandle,
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
const MAX_RESPONSE_BYTES: usize = 17 * 1024 * 1024;
/// Retry time when the job queue of the ticket table is full.
const FULL_QUEUE_RETRY_AFTER_MS: Millis = Millis(1_000);

/// What a host needs to serve ticketed calls.
#[derive(Clone)]
pub struct TicketContext {
    /// The ticket table of this host.
    pub table: TicketTableHandle,
    /// Encodes and verifies tickets.
    pub signer: TicketSigner,
    /// This host.
    pub this_host: TicketOwner,
    /// Instant at which it started.
    pub started_ms: Millis,
    /// What requests need to reach an endpoint or another host.
    pub relay: RelayContext,
}

/// Who a ticket is for.
#[derive(Debug, Clone)]
pub struct TicketCaller {
    /// The authenticated caller.
    pub caller: CallerId,
    /// Regions that its intent allows.
    pub allowed: AllowedRegions,
}

/// What a caller requests for a ticket.
#[derive(Debug)]
pub enum TicketRequest {
    /// Runs its call.
    Call(Box<Exchange>, CallDigest),
    /// Returns its state.
    State,
    /// Cancels it unless its call has started.
    Cancel,
}

impl TicketContext {
    /// Issues a ticket and returns its text.
    pub fn issue(&self, to: &TicketCaller, service: &ServiceId) -> Result<String, IssueError> {
        let (to, service) = (to.clone(), service.clone());
        let issued = self.table.run(move |table, now_ms| {
            let id = TicketId(RequestId(rand::rng().random()));
            let issue_request = IssueRequest {
                caller: &to.caller,
                service: &service,
                allowed: &to.allowed,
            };
            table.issue(id, &issue_request, now_ms)
        });
        let busy = IssueError::Full {
            retry_after_ms: FULL_QUEUE_RETRY_AFTER_MS,
        };
        let ticket = issued.map_err(|RingFull| busy)??;
        self.signer.encode(&ticket).map_err(|_| busy)
    }

    /// Refuses a call that has no ticket; the response carries a new one.
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

    /// Serves a request for a ticket from a caller of this host.
    pub fn serve(
        &self,
        text: &str,
        from: &TicketCaller,
        service: Option<&ServiceId>,
        request: TicketRequest,
    ) -> PlainAnswer {
        let ticket = match (self.verify(text, from, service), service) {
            (Ok(ticket), _) => ticket,
            // No call ever ran under a key that is no ticket.
            (Err(TicketError::Malformed), Some(service)) => {
                return self.ticket_required(from, service);
            }
            (Err(error), _) => return PlainAnswer::from_error(&ticket_error_response(error)),
        };
        match self.route(&ticket, from, false) {
            Ok(Route::Local) => self.serve_local(&ticket, request),
            Ok(Route::Forward(owner)) => self.forward(text, &owner, from, request),
            Ok(Route::Refused(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    /// Serves a request for a ticket that another host forwarded; it is not
    /// forwarded again.
    pub fn serve_forwarded(
        &self,
        text: &str,
        from: &TicketCaller,
        request: TicketRequest,
    ) -> PlainAnswer {
        let ticket = match self.verify(text, from, None) {
            Ok(ticket) => ticket,
            Err(error) => return PlainAnswer::from_error(&ticket_error_response(error)),
        };
        match self.route(&ticket, from, true) {
            Ok(Route::Local) => self.serve_local(&ticket, request),
            Ok(Route::Refused(refusal)) => PlainAnswer::from_refusal(&refusal),
            Ok(Route::Forward(_)) | Err(RingFull) => {
                PlainAnswer::from_refusal(&TicketRefusal::unreachable())
            }
        }
    }

    fn verify(
        &self,
        text: &str,
        from: &TicketCaller,
        service: Option<&ServiceId>,
    ) -> Result<Ticket, TicketError> {
        let context = VerifyContext {
            caller: &from.caller,
            service,
            allowed: &from.allowed,
            now_ms: clock::now(),
        };
        self.signer.verify(text, &context)
    }

    fn route(
        &self,
        ticket: &Ticket,
        from: &TicketCaller,
        is_forwarded: bool,
    ) -> Result<Route, RingFull> {
        let ticket_copy = ticket.clone();
        let is_held_here = self.table.run(move |table, _| table.holds(&ticket_copy))?;
        let now_ms = clock::now();
        let owner = ticket.body().owner.instance.clone();
        let (holder, known_host) = self.relay.decider.query(move |gateway| {
            let holder = gateway.view().ticket_holder(&owner);
            let state = gateway.view().hosts.get(&holder.host);
            let known_host = state.map(|state| KnownHost {
                incarnation: state.heartbeat.incarnation,
                first_seen_ms: state.instance_since_ms,
                last_seen_ms: state.received_ms,
                region: state.heartbeat.region.clone(),
                peer_address: state.heartbeat.peer_address,
                is_reachable: state.is_live(now_ms, gateway.policy()),
            });
            (holder, known_host)
        })?;
        let view = RouteView {
            this_host: &self.this_host,
            started_ms: self.started_ms,
            is_held_here,
            is_forwarded,
            holder: &holder,
            known_host: known_host.as_ref(),
            allowed: &from.allowed,
            now_ms,
        };
        Ok(route(ticket, &view))
    }

    fn serve_local(&self, ticket: &Ticket, request: TicketRequest) -> PlainAnswer {
        match request {
            TicketRequest::Call(exchange, digest) => self.begin_call(ticket, *exchange, digest),
            TicketRequest::State => self.state(ticket),
            TicketRequest::Cancel => self.cancel(ticket),
        }
    }

    fn begin_call(&self, ticket: &Ticket, exchange: Exchange, digest: CallDigest) -> PlainAnswer {
        let ticket = ticket.clone();
        let begun = self
            .table
            .run(move |table, now_ms| table.begin(&ticket, digest, Unsent::new(), now_ms));
        match begun {
            Ok(Begin::Started { permit, unsent }) => self.run_call(exchange, permit, unsent),
            Ok(Begin::Replay(kept)) => {
                PlainAnswer::from_kept(&kept).with_field("idempotent-replayed", "true")
            }
            Ok(Begin::Refused(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    /// Runs the call of a ticket and records how it ended before the response
    /// is sent.
    fn run_call(&self, exchange: Exchange, permit: Permit, unsent: Unsent) -> PlainAnswer {
        let request = exchange.arrival.request;
        let mut sink = ResponseSink::capturing(request);
        let (outcome, _) = relay::execute(&self.relay, exchange, unsent, &mut sink);
        let (refusal, claim) = match outcome {
            ExchangeOutcome::Completed(sent) => {
                let Some(response) = sink.into_captured() else {
                    return self.end_unknown(
                        request,
                        permit,
                        Refusal::new(RefusalReason::NoEndpoint),
                    );
                };
                let mut kept = KeptResponse::new(response.status, response.body);
                for field in response.headers.iter() {
                    kept = kept.with_field(&field.name, &field.value);
                }
                let plain = PlainAnswer::from_kept(&kept);
                let finished = self
                    .table
                    .run_blocking(move |table, now_ms| table.finish(permit, sent, kept, now_ms));
                if !matches!(finished, Ok(Ok(()))) {
                    tracing::warn!(
                        %request,
                        "could not record the end of a ticketed call; repeats get unknown"
                    );
                }
                return plain;
            }
            ExchangeOutcome::Failed { refusal, claim, .. } => (refusal, claim),
            ExchangeOutcome::CallerDisconnected => {
                let refusal = Refusal::new(RefusalReason::RetriesExhausted);
                return self.end_unknown(request, permit, refusal);
            }
        };
        match claim {
            Claim::Unsent(unsent) => self.end_not_run(request, permit, unsent, refusal),
            Claim::Sent(_) | Claim::Settled => self.end_unknown(request, permit, refusal),
        }
    }

    fn end_not_run(
        &self,
        request: RequestId,
        permit: Permit,
        unsent: Unsent,
        refusal: Refusal,
    ) -> PlainAnswer {
        let closed = self
            .table
            .run_blocking(move |table, now_ms| table.give_up(permit, unsent, now_ms));
        // If this was not recorded, the call might still run under this ticket.
        let state = match closed {
            Ok(Ok(closed)) => RunState::NotRun(closed.not_run),
            _ => RunState::Unknown,
        };
        let response = ErrorAnswer::from_refusal(refusal, state);
        relay::log_failed_request(request, &response);
        PlainAnswer::from_error(&response)
    }

    fn end_unknown(&self, request: RequestId, permit: Permit, refusal: Refusal) -> PlainAnswer {
        let recorded = self
            .table
            .run_blocking(move |table, now_ms| table.finish_unknown(permit, now_ms));
        if !matches!(recorded, Ok(Ok(()))) {
            tracing::warn!(
                %request,
                "could not record the end of a ticketed call; repeats get unknown"
            );
        }
        let response = ErrorAnswer::from_refusal(refusal, RunState::Unknown);
        relay::log_failed_request(request, &response);
        PlainAnswer::from_error(&response)
    }

    fn state(&self, ticket: &Ticket) -> PlainAnswer {
        let ticket = ticket.clone();
        let state = self
            .table
            .run(move |table, now_ms| table.state(&ticket, now_ms));
        match state {
            Ok(Ok(state)) => describe_state(&state),
            Ok(Err(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    fn cancel(&self, ticket: &Ticket) -> PlainAnswer {
        let ticket = ticket.clone();
        let cancelled = self
            .table
            .run(move |table, now_ms| table.cancel(&ticket, now_ms));
        match cancelled {
            Ok(Ok(closed)) => describe_state(&TicketState::Closed(closed)),
            Ok(Err(refusal)) => PlainAnswer::from_refusal(&refusal),
            Err(RingFull) => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    /// Forwards a request to the holder; if that fails in any way, the call may
    /// have run.
    fn forward(
        &self,
        text: &str,
        owner: &TicketOwner,
        from: &TicketCaller,
        request: TicketRequest,
    ) -> PlainAnswer {
        let (frame, body, deadline) = match request {
            TicketRequest::Call(exchange, _) => {
                let deadline = clock::instant_of(exchange.arrival.deadline_ms);
                let (head, body) =
                    relay::forward_request(&self.relay, &exchange, from.allowed.clone());
                let ticket = text.into();
                (Frame::TicketCall { ticket, head }, body, deadline)
            }
            TicketRequest::State => {
                let (ticket, caller) = (text.into(), from.caller.clone());
                let frame = Frame::GetTicketStatus { ticket, caller };
                (frame, Vec::new(), Instant::now())
            }
            TicketRequest::Cancel => {
                let (ticket, caller) = (text.into(), from.caller.clone());
                let frame = Frame::CancelTicket { ticket, caller };
                (frame, Vec::new(), Instant::now())
            }
        };
        let deadline = deadline.max(Instant::now() + Duration::from_secs(2));
        let deadline = deadline.min(Instant::now() + FORWARD_TIMEOUT);
        match self.send_to_holder(owner, &frame, &body, deadline) {
            Some(response) => response,
            None => PlainAnswer::from_refusal(&TicketRefusal::unreachable()),
        }
    }

    fn send_to_holder(
        &self,
        owner: &TicketOwner,
        frame: &Frame,
        body: &[u8],
        deadline: Instant,
    ) -> Option<PlainAnswer> {
        let request = PeerRequest {
            host: &owner.instance.host,
            address: owner.peer_address,
            frame,
            body,
            max_response_bytes: MAX_RESPONSE_BYTES,
            deadline,
        };
        let response = self
            .relay
            .peers
            .request(&request)
            .inspect_err(|error| {
                tracing::debug!(
                    host = %owner.instance.host,
                    %error,
                    "the holder of a ticket did not respond; the caller gets unknown"
                );
            })
            .ok()?;
        if response.frame != Frame::TicketStatus {
            return None;
        }
        postcard::from_bytes(&response.payload).ok()
    }

    /// Stops issuing tickets and starting calls, for a handover to `successor`;
    /// returns whether it was possible.
    pub fn start_handover(&self, successor: HostInstance) -> bool {
        let started = self
            .table
            .run_blocking(move |table, _| table.start_handover(successor));
        matches!(started, Ok(Ok(())))
    }

    /// Returns the number of ticketed calls in progress.
    pub fn started_count(&self) -> usize {
        let count = self.table.run_blocking(|table, _| table.started_count());
        count.unwrap_or(0)
    }

    /// Empties the table and returns the message for the successor.
    pub fn export(&self, intents: Arc<Intents>, successor_region: RegionId) -> Option<Vec<u8>> {
        let exported = self.table.run_blocking(move |table, now_ms| {
            let may_receive = |caller: &CallerId| {
                let intent = intents.caller(caller);
                intent.is_some_and(|intent| intent.regions.contains(&successor_region))
            };
            table.export(may_receive, now_ms)
        });
        let handover = exported.ok()?.ok()?;
        postcard::to_allocvec(&*handover).ok()
    }

    /// Imports the ticket table of a leaving host; returns whether this host
    /// now holds its tickets.
    pub fn import(&self, bytes: &[u8]) -> bool {
        let Ok(handover) = postcard::from_bytes::<Handover>(bytes) else {
            return false;
        };
        let imported = self
            .table
            .run_blocking(move |table, now_ms| table.import(&handover, now_ms));
        match imported {
            Ok(Ok(imported)) => {
                tracing::info!(
                    tickets = imported.accepted,
                    "imported the ticket table of a leaving host"
                );
                true
            }
            Ok(Err(ImportError::AlreadyImported(_))) => true,
            Ok(Err(error)) => {
                tracing::warn!(
                    %error,
                    "refused the ticket table of a leaving host; its tickets may become unknown"
                );
                false
            }
            Err(RingFull) => false,
        }
    }

    /// Returns the owners of the tickets that this host is responsible for.
    pub fn owners(&self) -> Vec<HostInstance> {
        let owners = self
            .table
            .run(|table, _| table.owners().iter().cloned().collect());
        owners.unwrap_or_default()
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
    PlainAnswer::json(
        200,
        &json!({"state": state.as_str(), "run_state": run_state}),
    )
}

fn ticket_error_response(error: TicketError) -> ErrorAnswer {
    ErrorAnswer::new(
        error.status(),
        "ticket_not_accepted",
        &error.to_string(),
        error.run_state(Unsent::new()),
    )
}
