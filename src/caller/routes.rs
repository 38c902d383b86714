//! Handlers of the caller interface, one per path.

use compact_str::CompactString;
use serde_json::json;

use super::{
    CallerContext,
    Prepared,
    Rejection,
    Request,
    SERVICE_PREFIX,
    TICKET_PREFIX,
    TicketedRequest,
    check_accepts_requests,
    check_residency,
    json_response,
    not_ready,
    not_run,
    read_body,
    refused, //
};
use crate::{
    burn::Promise,
    clock,
    decision::{
        event::{
            Arrival,
            Origin,
            Refusal,
            RefusalReason, //
        },
        residency::AllowedRegions, //
    },
    http::{
        client::HttpRequest,
        connection::Connection,
        message::{
            Headers,
            RequestHead, //
        }, //
    },
    intent::CallerIntent,
    openai::ChatRequest,
    relay::{
        Exchange,
        Payload, //
    },
    ticket::call::CallDigest,
    ticketed_calls::{
        TICKET_FIELD,
        TicketCaller,
        TicketRequest, //
    },
    types::{
        Bytes,
        Millis,
        RequestId,
        ServiceId,
        Target,
        Tier,
        Tokens, //
    }, //
};

pub(super) fn models(request: &Request) -> Result<Prepared, Rejection> {
    let data: Vec<_> = request
        .intent()?
        .targets
        .iter()
        .filter_map(|target| match target {
            Target::Model(id) => Some(json!({
                "id": id,
                "object": "model",
                "created": 0,
                "owned_by": "cardamombridge",
            })),
            Target::Service(_) => None,
        })
        .collect();
    Ok(json_response(&json!({"object": "list", "data": data})))
}

pub(super) fn chat(
    context: &CallerContext,
    connection: &mut Connection,
    request: &Request,
) -> Result<Prepared, Rejection> {
    let intent = request.intent()?;
    check_residency(context, intent)?;
    check_accepts_requests(context)?;
    let body = read_body(connection, &request.head)?;
    let chat = ChatRequest::parse(&body)
        .map_err(|error| not_run(400, "invalid_request", &error.to_string()))?;
    // Tiers are ordered from the most urgent one, so the maximum is the lower
    // priority.
    let tier = chat.tier.max(intent.tier);
    let chat = chat.with_tier(tier);
    let arrival = Arrival {
        request: request.id,
        caller: request.caller.clone(),
        target: Target::Model(chat.model.clone()),
        tier,
        prompt_tokens: chat.prompt,
        max_output_tokens: chat.max_output,
        prefix_hashes: chat.prefix_hashes.clone(),
        body_bytes: Bytes(body.len() as u64),
        deadline_ms: deadline(&request.head, intent)?,
        is_repeatable: true,
        needs_continuation: chat.needs_continuation(),
        origin: Origin::Caller,
    };
    let promise = promise(&arrival, intent);
    let payload = Payload::Chat(Box::new(chat));
    let exchange = Box::new(Exchange { arrival, payload });
    Ok(Prepared::Exchange(exchange, promise))
}

pub(super) fn service(
    context: &CallerContext,
    connection: &mut Connection,
    request: &Request,
) -> Result<Prepared, Rejection> {
    let intent = request.intent()?;
    check_residency(context, intent)?;
    check_accepts_requests(context)?;
    let (id, path) = service_path(&request.head.path)?;
    let found = request.in_force.intents.service(&id);
    let is_allowed = intent.targets.contains(&Target::Service(id.clone()));
    let service = found.filter(|_| is_allowed).ok_or_else(|| {
        let refusal = Refusal::new(RefusalReason::UnknownTarget);
        refused(refusal)
    })?;
    let is_repeatable = service.repeatable_methods.contains(&request.head.method);
    let ticket = request.head.headers.get(TICKET_FIELD);
    let body = read_body(connection, &request.head)?;
    if !is_repeatable && ticket.is_none() {
        let required = context
            .tickets
            .ticket_required(&ticket_caller(request, intent), &id);
        return Ok(Prepared::Response(required));
    }
    let arrival = Arrival {
        request: request.id,
        caller: request.caller.clone(),
        target: Target::Service(id.clone()),
        tier: Tier::Default.max(intent.tier),
        prompt_tokens: Tokens(0),
        max_output_tokens: Tokens(0),
        prefix_hashes: Vec::new(),
        body_bytes: Bytes(body.len() as u64),
        deadline_ms: deadline(&request.head, intent)?,
        is_repeatable,
        needs_continuation: false,
        origin: Origin::Caller,
    };
    let digest = CallDigest::new(&request.head.method, &request.head.path, &body);
    let call = HttpRequest {
        method: request.head.method.clone(),
        path,
        headers: forwarded_headers(&request.head.headers, request.id),
        body,
    };
    let exchange = Box::new(Exchange {
        arrival,
        payload: Payload::Service(call),
    });
    match ticket {
        Some(ticket) if !is_repeatable => Ok(Prepared::Ticketed(Box::new(TicketedRequest {
            ticket: ticket.into(),
            requester: ticket_caller(request, intent),
            service: Some(id),
            promise: Some(promise(&exchange.arrival, intent)),
            request: TicketRequest::Call(exchange, digest),
        }))),
        _ => {
            let promise = promise(&exchange.arrival, intent);
            Ok(Prepared::Exchange(exchange, promise))
        }
    }
}

/// Returns the latency objective for a request from the caller's intent.
fn promise(arrival: &Arrival, intent: &CallerIntent) -> Promise {
    let is_chat = matches!(arrival.target, Target::Model(_));
    Promise {
        first_token_ms: is_chat.then_some(intent.first_token_ms),
        whole_ms: arrival.deadline_ms - clock::now(),
        objective_permille: intent.objective_permille,
    }
}

fn ticket_caller(request: &Request, intent: &CallerIntent) -> TicketCaller {
    TicketCaller {
        caller: request.caller.clone(),
        allowed: AllowedRegions::new(intent),
    }
}

/// `GET` returns the state of a ticket; `DELETE` cancels it unless its call has
/// started.
pub(super) fn ticket(request: &Request) -> Result<Prepared, Rejection> {
    let intent = request.intent()?;
    let text = request.head.path.strip_prefix(TICKET_PREFIX);
    let operation = match request.head.method.as_str() {
        "DELETE" => TicketRequest::Cancel,
        _ => TicketRequest::State,
    };
    Ok(Prepared::Ticketed(Box::new(TicketedRequest {
        ticket: text.unwrap_or_default().into(),
        requester: ticket_caller(request, intent),
        service: None,
        promise: None,
        request: operation,
    })))
}

/// Returns the entry hosts for the caller, with a ticket if the query names a
/// service.
pub(super) fn entry(context: &CallerContext, request: &Request) -> Result<Prepared, Rejection> {
    let intent = request.intent()?;
    let (caller, now_ms) = (request.caller.clone(), clock::now());
    let list = context
        .relay
        .decider
        .query(move |gateway| gateway.entry_list(now_ms, &caller));
    // A host that has just started does not list even itself yet.
    let list = list
        .ok()
        .flatten()
        .filter(|list| !list.hosts.is_empty())
        .ok_or_else(not_ready)?;
    let mut body = json!({"hosts": list.hosts, "use_ms": list.use_ms});
    if let Some(service) = requested_service(&request.head.path, intent) {
        let from = ticket_caller(request, intent);
        // If no ticket can be issued now, the caller learns the reason when it
        // makes the call.
        body["ticket"] = json!(context.tickets.issue(&from, &service).ok());
    }
    Ok(json_response(&body))
}

/// Returns the service in `?service=NAME`, if the caller may use it.
fn requested_service(path: &str, intent: &CallerIntent) -> Option<ServiceId> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, name) = pairs.find(|(key, _)| *key == "service")?;
    let service: ServiceId = name.parse().ok()?;
    let is_allowed = intent.targets.contains(&Target::Service(service.clone()));
    is_allowed.then_some(service)
}

/// Splits `/v1/services/SERVICE/REST` into the service and `/REST`.
fn service_path(path: &str) -> Result<(ServiceId, CompactString), Rejection> {
    let remainder = path.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (name, rest) = remainder.split_once('/').unwrap_or((remainder, ""));
    let id = name
        .parse()
        .map_err(|_| refused(Refusal::new(RefusalReason::UnknownTarget)))?;
    Ok((id, compact_str::format_compact!("/{rest}")))
}

/// Returns the header fields of the request that a service receives; fields that
/// only concern hosts are never forwarded.
fn forwarded_headers(headers: &Headers, id: RequestId) -> Headers {
    const FORWARDED_FIELDS: [&str; 4] =
        ["content-type", "accept", "accept-language", "if-none-match"];
    let mut forwarded = Headers::new().with_field("x-request-id", &id.to_string());
    for field in headers.iter() {
        if FORWARDED_FIELDS.contains(&field.name.as_str()) {
            forwarded.push(&field.name, &field.value);
        }
    }
    forwarded
}

/// Returns the deadline of the response: the requested one, limited by the
/// caller's intent.
fn deadline(head: &RequestHead, intent: &CallerIntent) -> Result<Millis, Rejection> {
    let requested_ms = match head.headers.get("x-deadline-ms") {
        None => intent.deadline_ms,
        Some(text) => text.parse().map(Millis).map_err(|_| {
            not_run(
                400,
                "invalid_request",
                "X-Deadline-Ms must be a whole number of milliseconds",
            )
        })?,
    };
    Ok(clock::now() + requested_ms.min(intent.deadline_ms))
}
