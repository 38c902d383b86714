//! Serves what other hosts ask of this one.

use std::{
    sync::{
        Arc,
        atomic::AtomicUsize, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::format_compact;

use crate::{
    caller::OpenRequest,
    decision::{
        event::{
            Arrival,
            Origin,
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::client::Call,
    in_force::InForceCell,
    openai::ChatRequest,
    outcome::{
        RunState,
        RunStateWord,
        Unsent, //
    },
    peer::{
        frame::{
            ForwardHead,
            Frame, //
        },
        link::LinkError,
        server::ServerExchange, //
    },
    peer_list,
    plain_answer::PlainAnswer,
    recorder::RecorderHandle,
    relay::{
        self,
        Exchange,
        ExchangeOutcome, //
        Payload,
        RelayContext,
    },
    sink::AnswerSink,
    ticket::call::CallDigest,
    ticketed_calls::{
        TicketCaller,
        TicketContext,
        TicketRequest, //
    },
    types::{
        CallerId,
        Revision,
        Target,
        Tokens, //
    },
    upstream, //
};

const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What the requests of other hosts need.
#[derive(Clone)]
pub struct PeerContext {
    /// What requests need on their way.
    pub relay: RelayContext,
    /// What ticketed calls need.
    pub tickets: TicketContext,
    /// Counts finished requests.
    pub recorder: RecorderHandle,
    /// Configuration in force.
    pub in_force: InForceCell,
    /// Requests that are being answered.
    pub open_requests: Arc<AtomicUsize>,
}

/// Serves one exchange.
pub fn serve(context: &PeerContext, exchange: &mut ServerExchange<'_>) -> Result<(), LinkError> {
    match exchange.request().clone() {
        Frame::Forward(head) => forwarded(context, exchange, head),
        Frame::GetChanges { revision } => changes(context, exchange, revision),
        Frame::TicketCall { ticket, head } => ticket_call(context, exchange, &ticket, head),
        Frame::GetTicketStatus { ticket, caller } => {
            ticket_request(context, exchange, &ticket, &caller, TicketRequest::State)
        }
        Frame::CancelTicket { ticket, caller } => {
            ticket_request(context, exchange, &ticket, &caller, TicketRequest::Cancel)
        }
        Frame::TicketHandover { .. } => handover(context, exchange),
        Frame::GetBurnReport => burn(context, exchange),
        Frame::GetEndpoints => endpoints(context, exchange),
        _ => Err(LinkError::Unexpected("the request is not supported")),
    }
}

fn burn(context: &PeerContext, exchange: &mut ServerExchange<'_>) -> Result<(), LinkError> {
    let report = context.recorder.report();
    let report = report.ok_or(LinkError::Unexpected("the recorder is too busy"))?;
    let bytes = report.encode().map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::BurnReport, &bytes, answer_deadline())
}

fn changes(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    revision: Revision,
) -> Result<(), LinkError> {
    let set = context.in_force.changes_since(revision);
    let bytes = postcard::to_allocvec(&set).map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::Changes, &bytes, answer_deadline())
}

fn endpoints(context: &PeerContext, exchange: &mut ServerExchange<'_>) -> Result<(), LinkError> {
    let known = context.relay.decider.query(peer_list::known_endpoints);
    let known = known.map_err(|_| LinkError::Unexpected("the event ring is full"))?;
    let bytes = postcard::to_allocvec(&known).map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::EndpointList, &bytes, answer_deadline())
}

/// Serves a request that another host accepted; it goes no further than here.
fn forwarded(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    head: ForwardHead,
) -> Result<(), LinkError> {
    let _open = OpenRequest::new(&context.open_requests);
    let unsent = Unsent::new();
    // A region that the sender or this host does not allow must not even see
    // the body; either may have the older intent.
    let from = ticket_caller(context, &head.caller, Some(&head.allowed));
    let allowed = from.map_or(head.allowed.clone(), |from| from.allowed);
    if !allowed.contains(&context.relay.region) {
        let refusal = Refusal::new(RefusalReason::WrongRegion);
        return refuse(exchange, refusal, RunState::NotRun(unsent.give_up()));
    }
    let body = exchange.read_body(Instant::now() + BODY_TIMEOUT)?;
    let request = head.request;
    let Some(work) = prepare(head, body) else {
        let refusal = Refusal::new(RefusalReason::UnknownTarget);
        return refuse(exchange, refusal, RunState::NotRun(unsent.give_up()));
    };
    let mut sink = AnswerSink::to_host(exchange, request);
    let (outcome, _) = relay::execute(&context.relay, work, unsent, &mut sink);
    match outcome {
        ExchangeOutcome::Completed(_) => Ok(()),
        ExchangeOutcome::CallerDisconnected => Err(LinkError::Closed),
        ExchangeOutcome::Failed {
            refusal,
            claim,
            has_delivered,
        } => {
            let state = claim.into_state(has_delivered);
            tracing::info!(%request, reason = ?refusal.reason, run_state = %state, "forwarded request given up");
            refuse(exchange, refusal, state)
        }
    }
}

fn ticket_call(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    ticket: &str,
    head: ForwardHead,
) -> Result<(), LinkError> {
    let _open = OpenRequest::new(&context.open_requests);
    let Some(from) = ticket_caller(context, &head.caller, Some(&head.allowed)) else {
        return Err(LinkError::Unexpected("the caller is not known here"));
    };
    let body = exchange.read_body(Instant::now() + BODY_TIMEOUT)?;
    let path = format_compact!("/v1/services/{}{}", service_name(&head.target), head.path);
    let digest = CallDigest::new(&head.method, &path, &body);
    let Some(mut work) = prepare(head, body) else {
        return Err(LinkError::Unexpected("the call is not valid"));
    };
    // The owner of the ticket pays for the call that it runs.
    work.arrival.origin = Origin::Caller;
    let request = TicketRequest::Call(Box::new(work), digest);
    let answer = context.tickets.serve_forwarded(ticket, &from, request);
    finish_ticket(exchange, &answer)
}

fn service_name(target: &Target) -> &str {
    match target {
        Target::Service(id) => id.as_str(),
        Target::Model(id) => id.as_str(),
    }
}

fn ticket_request(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    ticket: &str,
    caller: &CallerId,
    request: TicketRequest,
) -> Result<(), LinkError> {
    let Some(from) = ticket_caller(context, caller, None) else {
        return Err(LinkError::Unexpected("the caller is not known here"));
    };
    let answer = context.tickets.serve_forwarded(ticket, &from, request);
    finish_ticket(exchange, &answer)
}

/// The caller with the regions that this host and the other one allow.
fn ticket_caller(
    context: &PeerContext,
    caller: &CallerId,
    other: Option<&AllowedRegions>,
) -> Option<TicketCaller> {
    let current = context.in_force.get()?;
    let own = AllowedRegions::new(current.intents.caller(caller)?);
    let allowed = other.map_or(own.clone(), |other| own.intersect(other));
    Some(TicketCaller {
        caller: caller.clone(),
        allowed,
    })
}

fn finish_ticket(exchange: &mut ServerExchange<'_>, answer: &PlainAnswer) -> Result<(), LinkError> {
    let bytes = postcard::to_allocvec(answer).map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::TicketStatus, &bytes, answer_deadline())
}

/// Takes over the tickets of a leaving host; without an acknowledgement it asks
/// again.
fn handover(context: &PeerContext, exchange: &mut ServerExchange<'_>) -> Result<(), LinkError> {
    let body = exchange.read_body(Instant::now() + BODY_TIMEOUT)?;
    if !context.tickets.import(&body) {
        return Err(LinkError::Unexpected("the ticket table is not taken over"));
    }
    exchange.finish(&Frame::Ack, &[], answer_deadline())
}

fn refuse(
    exchange: &mut ServerExchange<'_>,
    refusal: Refusal,
    state: RunState,
) -> Result<(), LinkError> {
    let run_state = state.word();
    let frame = match run_state {
        RunStateWord::Partial => Frame::Aborted {
            run_state,
            delivered_tokens: Tokens(0),
        },
        RunStateWord::NotRun | RunStateWord::Unknown => Frame::Refused { refusal, run_state },
    };
    exchange.finish(&frame, &[], answer_deadline())
}

fn prepare(head: ForwardHead, body: Vec<u8>) -> Option<Exchange> {
    let mut needs_continuation = false;
    let payload = match &head.target {
        Target::Model(_) => {
            let chat = ChatRequest::parse(&body).ok()?;
            let chat = chat.with_stream(head.is_stream).with_tier(head.tier);
            needs_continuation = chat.needs_continuation();
            Payload::Chat(Box::new(chat))
        }
        Target::Service(_) => Payload::Service(Call {
            method: head.method,
            path: head.path,
            headers: upstream::from_fields(&head.headers),
            body,
        }),
    };
    let arrival = Arrival {
        request: head.request,
        caller: head.caller,
        target: head.target,
        tier: head.tier,
        prompt_tokens: head.prompt_tokens,
        max_output_tokens: head.max_output_tokens,
        prefix_hashes: head.prefix_hashes,
        body_bytes: head.body_bytes,
        deadline_ms: head.deadline_ms,
        is_repeatable: head.is_repeatable,
        needs_continuation,
        origin: Origin::Host {
            region: head.origin_region,
            host: head.origin_host,
            allowed: head.allowed,
        },
    };
    Some(Exchange { arrival, payload })
}

fn answer_deadline() -> Instant {
    Instant::now() + ANSWER_TIMEOUT
}
