//! Serves the requests of other hosts.

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
    caller::OpenRequestGuard,
    decision::{
        event::{
            Arrival,
            Origin,
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::client::HttpRequest,
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
        ExchangeOutcome,
        Payload,
        RelayContext, //
    },
    sink::ResponseSink,
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
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Dependencies that the requests of all hosts share.
#[derive(Clone)]
pub struct PeerContext {
    /// Dependencies of the relay.
    pub relay: RelayContext,
    /// Dependencies of ticketed calls.
    pub tickets: TicketContext,
    /// Provides the burn report of this host.
    pub recorder: RecorderHandle,
    /// Configuration in force.
    pub in_force: InForceCell,
    /// Number of requests in progress.
    pub open_requests: Arc<AtomicUsize>,
}

/// Serves one request of another host.
pub fn serve(context: &PeerContext, exchange: &mut ServerExchange<'_>) -> Result<(), LinkError> {
    match exchange.request().clone() {
        Frame::Forward(head) => serve_forward(context, exchange, head),
        Frame::GetChanges { revision } => serve_changes(context, exchange, revision),
        Frame::TicketCall { ticket, head } => serve_ticket_call(context, exchange, &ticket, head),
        Frame::GetTicketStatus { ticket, caller } => {
            serve_ticket_request(context, exchange, &ticket, &caller, TicketRequest::State)
        }
        Frame::CancelTicket { ticket, caller } => {
            serve_ticket_request(context, exchange, &ticket, &caller, TicketRequest::Cancel)
        }
        Frame::TicketHandover { .. } => serve_handover(context, exchange),
        Frame::GetBurnReport => serve_burn_report(context, exchange),
        Frame::GetEndpoints => serve_endpoints(context, exchange),
        _ => Err(LinkError::Unexpected("the request is not supported")),
    }
}

fn serve_burn_report(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), LinkError> {
    let report = context.recorder.report();
    let report = report.ok_or(LinkError::Unexpected(
        "the recorder did not return a burn report in time",
    ))?;
    let bytes = report.encode().map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::BurnReport, &bytes, response_deadline())
}

fn serve_changes(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    revision: Revision,
) -> Result<(), LinkError> {
    let set = context.in_force.changes_since(revision);
    let bytes = postcard::to_allocvec(&set).map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::Changes, &bytes, response_deadline())
}

fn serve_endpoints(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), LinkError> {
    let known = context.relay.decider.query(peer_list::known_endpoints);
    let known = known.map_err(|_| LinkError::Unexpected("the event ring is full"))?;
    let bytes = postcard::to_allocvec(&known).map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::EndpointList, &bytes, response_deadline())
}

/// Serves a request that another host forwards; it is not forwarded again.
fn serve_forward(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    head: ForwardHead,
) -> Result<(), LinkError> {
    let _open = OpenRequestGuard::new(&context.open_requests);
    let unsent = Unsent::new();
    // The body must not enter a region that the sender or this host does not
    // allow. Both are checked because either may have the older intent.
    let requester = ticket_caller(context, &head.caller, Some(&head.allowed));
    let allowed = requester.map_or(head.allowed.clone(), |requester| requester.allowed);
    if !allowed.contains(&context.relay.region) {
        let refusal = Refusal::new(RefusalReason::WrongRegion);
        return refuse(exchange, refusal, RunState::NotRun(unsent.give_up()));
    }
    let body = exchange.read_body(Instant::now() + BODY_TIMEOUT)?;
    let request = head.request;
    let Some(relayed) = decode_request(head, body) else {
        let refusal = Refusal::new(RefusalReason::UnknownTarget);
        return refuse(exchange, refusal, RunState::NotRun(unsent.give_up()));
    };
    let mut sink = ResponseSink::for_host(exchange, request);
    let (outcome, _) = relay::execute(&context.relay, relayed, unsent, &mut sink);
    match outcome {
        ExchangeOutcome::Completed(_) => Ok(()),
        ExchangeOutcome::CallerDisconnected => Err(LinkError::Closed),
        ExchangeOutcome::Failed {
            refusal,
            claim,
            has_delivered,
        } => {
            let state = claim.into_state(has_delivered);
            tracing::info!(%request, reason = ?refusal.reason, run_state = %state, "forwarded request failed; the sending host receives the refusal");
            refuse(exchange, refusal, state)
        }
    }
}

fn serve_ticket_call(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    ticket: &str,
    head: ForwardHead,
) -> Result<(), LinkError> {
    let _open = OpenRequestGuard::new(&context.open_requests);
    let Some(requester) = ticket_caller(context, &head.caller, Some(&head.allowed)) else {
        return Err(LinkError::Unexpected(
            "the caller is not in the configuration of this host",
        ));
    };
    let body = exchange.read_body(Instant::now() + BODY_TIMEOUT)?;
    let path = format_compact!("/v1/services/{}{}", service_name(&head.target), head.path);
    let digest = CallDigest::new(&head.method, &path, &body);
    let Some(mut relayed) = decode_request(head, body) else {
        return Err(LinkError::Unexpected(
            "the forwarded call could not be decoded",
        ));
    };
    // The owner of the ticket charges the call that it runs to its own budget
    // grant.
    relayed.arrival.origin = Origin::Caller;
    let request = TicketRequest::Call(Box::new(relayed), digest);
    let response = context.tickets.serve_forwarded(ticket, &requester, request);
    send_ticket_response(exchange, &response)
}

fn service_name(target: &Target) -> &str {
    match target {
        Target::Service(id) => id.as_str(),
        Target::Model(id) => id.as_str(),
    }
}

fn serve_ticket_request(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
    ticket: &str,
    caller: &CallerId,
    request: TicketRequest,
) -> Result<(), LinkError> {
    let Some(requester) = ticket_caller(context, caller, None) else {
        return Err(LinkError::Unexpected(
            "the caller is not in the configuration of this host",
        ));
    };
    let response = context.tickets.serve_forwarded(ticket, &requester, request);
    send_ticket_response(exchange, &response)
}

/// Returns the caller with the regions that both this host and the sender allow.
fn ticket_caller(
    context: &PeerContext,
    caller: &CallerId,
    sender_regions: Option<&AllowedRegions>,
) -> Option<TicketCaller> {
    let current = context.in_force.get()?;
    let local = AllowedRegions::new(current.intents.caller(caller)?);
    let allowed = sender_regions.map_or(local.clone(), |sender| local.intersect(sender));
    Some(TicketCaller {
        caller: caller.clone(),
        allowed,
    })
}

fn send_ticket_response(
    exchange: &mut ServerExchange<'_>,
    response: &PlainAnswer,
) -> Result<(), LinkError> {
    let bytes = postcard::to_allocvec(response).map_err(|_| LinkError::Malformed)?;
    exchange.finish(&Frame::TicketStatus, &bytes, response_deadline())
}

/// Imports the tickets of a host that is shutting down; that host retries until
/// it receives an acknowledgement.
fn serve_handover(
    context: &PeerContext,
    exchange: &mut ServerExchange<'_>,
) -> Result<(), LinkError> {
    let body = exchange.read_body(Instant::now() + BODY_TIMEOUT)?;
    if !context.tickets.import(&body) {
        return Err(LinkError::Unexpected(
            "the ticket table could not be imported",
        ));
    }
    exchange.finish(&Frame::Ack, &[], response_deadline())
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
    exchange.finish(&frame, &[], response_deadline())
}

fn decode_request(head: ForwardHead, body: Vec<u8>) -> Option<Exchange> {
    let mut needs_continuation = false;
    let payload = match &head.target {
        Target::Model(_) => {
            let chat = ChatRequest::parse(&body).ok()?;
            let chat = chat.with_stream(head.is_stream).with_tier(head.tier);
            needs_continuation = chat.needs_continuation();
            Payload::Chat(Box::new(chat))
        }
        Target::Service(_) => Payload::Service(HttpRequest {
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

fn response_deadline() -> Instant {
    Instant::now() + RESPONSE_TIMEOUT
}
