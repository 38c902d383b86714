//! HTTP interface for callers: parses, authenticates and routes requests.

mod routes;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use rand::RngExt;
use serde_json::json;

use crate::{
    auth,
    burn::Promise,
    contact::PlatformContact,
    decision::event::{
        Refusal,
        RefusalReason, //
    },
    http::{
        connection::{
            BodyReader,
            Connection, //
        },
        message::{
            MessageError,
            RequestHead, //
        }, //
    },
    in_force::{
        InForce,
        InForceCell, //
    },
    intent::CallerIntent,
    openai::ErrorAnswer,
    outcome::{
        RunState,
        Unsent, //
    },
    plain_answer::PlainAnswer,
    recorder::{
        Record,
        RecorderHandle, //
    },
    relay::{
        self,
        Exchange,
        RelayContext, //
    },
    sink::ResponseSink,
    ticketed_calls::{
        TICKET_FIELD,
        TicketCaller,
        TicketContext,
        TicketRequest, //
    },
    types::{
        CallerId,
        Millis,
        RequestId,
        ServiceId,
        Tokens, //
    }, //
};

/// Largest request body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const NOT_READY_RETRY_AFTER_MS: Millis = Millis(2_000);
const SERVICE_PREFIX: &str = "/v1/services/";
const TICKET_PREFIX: &str = "/v1/tickets/";

/// Dependencies that all caller connections share.
#[derive(Clone)]
pub struct CallerContext {
    /// Dependencies of the relay.
    pub relay: RelayContext,
    /// Dependencies of ticketed calls.
    pub tickets: TicketContext,
    /// Records finished requests for metrics and burn rates.
    pub recorder: RecorderHandle,
    /// Configuration in force.
    pub in_force: InForceCell,
    /// State of the contact with the platform.
    pub contact: PlatformContact,
    /// Set when this host accepts no new requests.
    pub is_leaving: Arc<AtomicBool>,
    /// Number of requests in progress.
    pub open_requests: Arc<AtomicUsize>,
}

/// An error response that ends a request before it is relayed.
type Rejection = Box<ErrorAnswer>;

/// An authenticated request.
struct Request {
    id: RequestId,
    head: RequestHead,
    caller: CallerId,
    in_force: Arc<InForce>,
}

impl Request {
    fn intent(&self) -> Result<&CallerIntent, Rejection> {
        self.in_force
            .intents
            .caller(&self.caller)
            .ok_or_else(|| not_run(401, "invalid_api_key", "the key is not known"))
    }
}

/// Serves the requests of one connection until it closes.
pub fn serve(context: &CallerContext, connection: Connection) {
    let mut connection = connection;
    loop {
        let head = match connection.read_request_head(Instant::now() + HEAD_TIMEOUT) {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => {
                reject_unreadable_head(connection, &error);
                return;
            }
        };
        let _open = OpenRequestGuard::new(&context.open_requests);
        match serve_request(context, connection, head) {
            Some(next) => connection = next,
            None => return,
        }
    }
}

/// Counts a request as in progress until dropped.
pub struct OpenRequestGuard(Arc<AtomicUsize>);

impl OpenRequestGuard {
    /// Adds one request to the count.
    pub fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn reject_unreadable_head(connection: Connection, error: &MessageError) {
    let (status, code) = match error {
        MessageError::TooLarge { .. } => (431, "head_too_large"),
        MessageError::Malformed(_) => (400, "malformed_request"),
        MessageError::TimedOut => (408, "request_timeout"),
        MessageError::Closed | MessageError::Io(_) => return,
    };
    let response = not_run(status, code, &error.to_string());
    let mut sink = ResponseSink::new(connection, new_request_id()).with_closing(true);
    sink.write_error(&response);
}

/// Serves one request; returns the connection if another one may follow.
fn serve_request(
    context: &CallerContext,
    mut connection: Connection,
    head: RequestHead,
) -> Option<Connection> {
    let started = Instant::now();
    let id = new_request_id();
    let has_ticket = refers_to_ticket(&head);
    let is_closing = !head.keeps_alive() || context.is_leaving.load(Ordering::Acquire);
    match prepare(context, &mut connection, id, head) {
        Ok(Prepared::Exchange(exchange, promise)) => {
            let mut sink = ResponseSink::new(connection, id).with_closing(is_closing);
            let caller = exchange.arrival.caller.clone();
            let (ending, delivered) = relay::serve(&context.relay, *exchange, &mut sink);
            let first_token = delivered.first_token_at;
            context.recorder.record(Record {
                caller,
                promise,
                ending,
                first_token: first_token.map(|at| at.saturating_duration_since(started)),
                whole: started.elapsed(),
                output: delivered.output_tokens,
                cached: delivered.cached_tokens,
            });
            sink.into_connection()
        }
        Ok(Prepared::Response(response)) => {
            let mut sink = ResponseSink::new(connection, id).with_closing(is_closing);
            // A write error means that the caller has closed the connection.
            let _ = sink.write_response(response.status, response.to_headers(), &response.body);
            sink.into_connection()
        }
        Ok(Prepared::Ticketed(call)) => {
            let caller = call.requester.caller.clone();
            let promise = call.promise;
            let response = call.run(&context.tickets);
            if let Some(promise) = promise {
                context.recorder.record(Record {
                    caller,
                    promise,
                    ending: response.ending(),
                    first_token: None,
                    whole: started.elapsed(),
                    output: Tokens(0),
                    cached: Tokens(0),
                });
            }
            let mut sink = ResponseSink::new(connection, id).with_closing(is_closing);
            let _ = sink.write_response(response.status, response.to_headers(), &response.body);
            sink.into_connection()
        }
        Err(response) if has_ticket => {
            // An earlier request with this ticket may have run its call; only the
            // owner of the ticket knows.
            let mut sink = ResponseSink::new(connection, id).with_closing(true);
            sink.write_error(&response.with_run_state(RunState::Unknown));
            None
        }
        Err(response) => {
            // The body may be unread, so no other request can follow.
            let mut sink = ResponseSink::new(connection, id).with_closing(true);
            sink.write_error(&response);
            None
        }
    }
}

/// Returns whether the request carries or addresses a ticket.
fn refers_to_ticket(head: &RequestHead) -> bool {
    let path = head.path.as_str();
    let is_call = path.starts_with(SERVICE_PREFIX) && head.headers.get(TICKET_FIELD).is_some();
    is_call || path.starts_with(TICKET_PREFIX)
}

enum Prepared {
    Exchange(Box<Exchange>, Promise),
    Ticketed(Box<TicketedRequest>),
    Response(PlainAnswer),
}

/// An operation of a caller on a ticket.
struct TicketedRequest {
    ticket: CompactString,
    requester: TicketCaller,
    service: Option<ServiceId>,
    /// Latency objective, if the operation is the call itself.
    promise: Option<Promise>,
    request: TicketRequest,
}

impl TicketedRequest {
    fn run(self, tickets: &TicketContext) -> PlainAnswer {
        tickets.serve(
            &self.ticket,
            &self.requester,
            self.service.as_ref(),
            self.request,
        )
    }
}

fn prepare(
    context: &CallerContext,
    connection: &mut Connection,
    id: RequestId,
    head: RequestHead,
) -> Result<Prepared, Rejection> {
    let path = head.path.split('?').next().unwrap_or_default();
    match (head.method.as_str(), path) {
        ("GET", "/healthz") => return Ok(json_response(&json!({"status": "ok"}))),
        ("GET", "/readyz") => return readiness(context),
        _ => {}
    }
    let request = authenticate(context, id, head)?;
    let path = request.head.path.clone();
    let path = path.split('?').next().unwrap_or_default();
    match (request.head.method.as_str(), path) {
        ("POST", "/v1/chat/completions") => routes::chat(context, connection, &request),
        ("GET", "/v1/models") => routes::models(&request),
        ("GET", "/v1/entry") => routes::entry(context, &request),
        ("GET" | "DELETE", path) if path.starts_with(TICKET_PREFIX) => routes::ticket(&request),
        (_, path) if path.starts_with(SERVICE_PREFIX) => {
            routes::service(context, connection, &request)
        }
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/entry") => Err(not_run(
            405,
            "method_not_allowed",
            "the path exists but not with this method",
        )),
        _ => Err(not_run(404, "not_found", "the path does not exist")),
    }
}

fn readiness(context: &CallerContext) -> Result<Prepared, Rejection> {
    if context.is_leaving.load(Ordering::Acquire) {
        return Err(refused(Refusal::new(RefusalReason::Leaving)));
    }
    if context.in_force.get().is_none() || !context.contact.has_list() {
        return Err(not_ready());
    }
    let revision = context.in_force.revision();
    Ok(json_response(
        &json!({"status": "ready", "revision": revision}),
    ))
}

fn authenticate(
    context: &CallerContext,
    id: RequestId,
    head: RequestHead,
) -> Result<Request, Rejection> {
    let in_force = context.in_force.get().ok_or_else(not_ready)?;
    let key = auth::bearer(head.headers.get("authorization"))
        .ok_or_else(|| not_run(401, "missing_api_key", "a bearer key is required"))?;
    let caller = in_force
        .keys
        .find(key)
        .cloned()
        .ok_or_else(|| not_run(401, "invalid_api_key", "the key is not known"))?;
    Ok(Request {
        id,
        head,
        caller,
        in_force,
    })
}

/// Refuses a request in a region that the caller does not allow. Runs before the
/// body is read, so that no data enters that region.
fn check_residency(context: &CallerContext, intent: &CallerIntent) -> Result<(), Rejection> {
    if intent.regions.contains(&context.relay.region) {
        return Ok(());
    }
    Err(refused(Refusal::new(RefusalReason::WrongRegion)))
}

fn check_accepts_requests(context: &CallerContext) -> Result<(), Rejection> {
    if !context.contact.has_list() {
        return Err(not_ready());
    }
    if context.is_leaving.load(Ordering::Acquire) {
        let refusal = Refusal::new(RefusalReason::Leaving).with_retry_after(Millis(1_000));
        return Err(refused(refusal));
    }
    Ok(())
}

fn read_body(connection: &mut Connection, head: &RequestHead) -> Result<Vec<u8>, Rejection> {
    let unreadable = |error: MessageError| match error {
        MessageError::TooLarge { .. } => not_run(413, "body_too_large", &error.to_string()),
        MessageError::TimedOut => not_run(408, "request_timeout", &error.to_string()),
        _ => not_run(400, "malformed_request", &error.to_string()),
    };
    let framing = head.framing().map_err(unreadable)?;
    let deadline = Instant::now() + BODY_TIMEOUT;
    if head.headers.has_token("expect", "100-continue") {
        connection
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
            .map_err(unreadable)?;
    }
    BodyReader::new(framing)
        .read_to_end(connection, MAX_BODY_BYTES, deadline)
        .map_err(unreadable)
}

fn json_response(value: &serde_json::Value) -> Prepared {
    Prepared::Response(PlainAnswer::json(200, value))
}

fn not_ready() -> Rejection {
    refused(Refusal::new(RefusalReason::NotReady).with_retry_after(NOT_READY_RETRY_AFTER_MS))
}

fn refused(refusal: Refusal) -> Rejection {
    Box::new(ErrorAnswer::from_refusal(refusal, not_run_state()))
}

fn not_run(status: u16, code: &str, message: &str) -> Rejection {
    Box::new(ErrorAnswer::new(status, code, message, not_run_state()))
}

/// Returns the run state of a request that never reached the relay.
fn not_run_state() -> RunState {
    RunState::NotRun(Unsent::new().give_up())
}

fn new_request_id() -> RequestId {
    RequestId(rand::rng().random())
}
