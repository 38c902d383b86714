//! Connections from callers and other hosts: reading requests and writing responses.

use mio::event::Event;

use super::{
    body::BodyDecoder,
    buffer_budget::{
        BufferBudget,
        ByteCount,
        MAX_GRANT, //
    },
    configuration::CallerLimits,
    connection::{
        InboundConnection,
        ReadState,
        RequestProgress,
        Role, //
    },
    exchange::{
        CallerRequest,
        ResolvedRoute, //
    },
    head::{
        HeadError,
        RequestHead,
        parse_request, //
    },
    origin_exchange::ORIGINS_PATH,
    peer_changes::{
        CHANGES_PATH,
        encode_changes, //
    },
    reactor::Reactor,
    response::{
        FORWARD_HEADER,
        GatewayResponse,
        write_gateway_response, //
    },
    serve_accounts::{
        identify_caller,
        identify_forwarded, //
    }, //
};
use crate::platform::headers::{
    DIRECTORY_PATH,
    READY_PATH,
    decode_directory_query,
    decode_request_metadata,
    encode_directory_answer, //
};

/// How long callers may cache a directory response: short, so that leaving hosts
/// receive no new callers, and long enough that queries are cheap.
const DIRECTORY_TTL_S: u32 = 2;
/// Retry time for callers of a host that has no configuration yet.
const NOT_READY_RETRY_MS: u64 = 500;
/// Retry time for callers of a host that shuts down; other hosts can serve the
/// request immediately.
pub(super) const LEAVING_RETRY_MS: u64 = 50;
/// Retry time for callers whose body does not fit into the memory beside those of others.
const NO_MEMORY_RETRY_MS: u64 = 300;
/// Maximum buffered input of a connection while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 256 * 1024;

impl Reactor {
    pub(super) fn inbound_event(&mut self, key: usize, event: &Event) {
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.read_inbound(key);
        }
        if event.is_writable() {
            self.flush_inbound(key);
        }
    }

    pub(super) fn read_inbound(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(inbound) = self.inbound.get_mut(key) else {
            return;
        };
        let earlier = inbound.socket.input.len();
        let read_state = inbound.socket.fill(MAX_GRANT);
        let count = ByteCount(inbound.socket.input.len() - earlier);
        if !inbound.socket.input.is_empty() {
            inbound.last_active_ms = now_ms;
        }
        match read_state {
            ReadState::Broken => return self.abort_inbound(key),
            ReadState::Closed => inbound.is_read_closed = true,
            ReadState::Partial => self.unread_inbound.push(key),
            ReadState::Open => {}
        }
        self.record_read(count);
        let Some(inbound) = self.inbound.get_mut(key) else {
            return;
        };
        if inbound.exchange.is_some() {
            let is_abandoned =
                inbound.is_read_closed || inbound.socket.input.len() > MAX_PIPELINED_BYTES;
            if is_abandoned {
                self.abort_inbound(key);
            }
            return;
        }
        self.read_requests(key);
    }

    /// Processes requests in the input until one is in progress.
    pub(super) fn read_requests(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let limits = self.limits();
        loop {
            let Some(inbound) = self.inbound.get_mut(key) else {
                return;
            };
            if inbound.exchange.is_some() || inbound.is_closing {
                return;
            }
            if !inbound.socket.input.is_empty() && inbound.request_started_ms.is_none() {
                inbound.request_started_ms = Some(now_ms);
            }
            match read_request(inbound, &limits, &mut self.buffers) {
                Ok(Some((head, body))) => self.handle_request(key, head, body),
                Ok(None) if inbound.is_read_closed => return self.abort_inbound(key),
                Ok(None) => {
                    if inbound.socket.unwritten() > 0 {
                        self.flush_inbound(key);
                    }
                    return;
                }
                Err(response) => {
                    tracing::info!(
                        status = response.status,
                        "request rejected: malformed, above a limit, or without memory for it"
                    );
                    self.respond_and_close(key, response);
                    return;
                }
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        let configuration = self.configuration.as_ref();
        configuration.map_or_else(CallerLimits::default, |known| known.limits)
    }

    fn handle_request(&mut self, key: usize, head: RequestHead, body: Vec<u8>) {
        let Some(inbound) = self.inbound.get_mut(key) else {
            return;
        };
        inbound.request_started_ms = None;
        if !head.is_keep_alive || inbound.is_read_closed {
            inbound.is_closing = true;
        }
        match inbound.role {
            Role::Caller => self.route_request(key, head, body, None),
            Role::Peer if head.path() == CHANGES_PATH => self.handle_changes(key, head.query()),
            Role::Peer if head.path() == ORIGINS_PATH => self.handle_origins(key),
            Role::Peer => match head.header(FORWARD_HEADER).and_then(ResolvedRoute::decode) {
                Some(route) => self.route_request(key, head, body, Some(route)),
                None => self.respond(key, GatewayResponse::new(400)),
            },
            Role::Directory => self.handle_directory(key, &head),
            Role::Ready => self.handle_ready(key, &head),
            Role::Metrics => self.handle_metrics(key),
        }
    }

    /// Starts an exchange for a request of a caller, or for a forwarded request
    /// whose route another host has resolved.
    fn route_request(
        &mut self,
        key: usize,
        head: RequestHead,
        body: Vec<u8>,
        forwarded: Option<ResolvedRoute>,
    ) {
        let now_ms = self.now_ms();
        let metadata = decode_request_metadata(&head.headers);
        let is_forwarded = forwarded.is_some();
        if self.is_refusing_new(now_ms) {
            return self.refuse_unrouted(key, &metadata.attempt_id, "leaving", LEAVING_RETRY_MS);
        }
        let Some(configuration) = self.configuration.clone() else {
            return self.refuse_unrouted(
                key,
                &metadata.attempt_id,
                "no configuration",
                NOT_READY_RETRY_MS,
            );
        };
        let (route, account) = match forwarded {
            Some(mut route) => {
                let account = identify_forwarded(&configuration, &head, &mut route);
                (route, account)
            }
            None => {
                let host = head.header("host").unwrap_or_default();
                let configured = configuration.route(host, head.path());
                let fraction = self.random_fraction();
                let resolved = configured.and_then(|route| {
                    let begun_at = self.service_of_stream(route, &metadata);
                    let service = begun_at.or_else(|| route.pick_service(fraction))?;
                    Some((ResolvedRoute::new(route, service.clone()), route.is_public))
                });
                let Some((mut route, is_public)) = resolved else {
                    tracing::info!(
                        request = %metadata.attempt_id,
                        configuration = configuration.version.0,
                        outcome = "no route",
                        status = 404,
                        "request answered"
                    );
                    return self.respond(key, GatewayResponse::new(404));
                };
                let account = identify_caller(&configuration, &head, is_public, &mut route);
                (route, account)
            }
        };
        let account = match account {
            Ok(account) => account,
            Err(rejection) => return self.reject_request(key, &metadata.attempt_id, rejection),
        };
        let charged = account.name().filter(|_| !is_forwarded);
        let charged = charged.and_then(|name| configuration.account(name));
        let charge = match self.charge_account(charged, &metadata) {
            Ok(charge) => charge,
            Err(rejection) => return self.reject_request(key, &metadata.attempt_id, rejection),
        };
        let request = CallerRequest {
            head,
            metadata,
            body,
            account,
            charge,
        };
        self.start_exchange(key, request, route, configuration.version, is_forwarded);
    }

    fn refuse_unrouted(&mut self, key: usize, attempt: &str, cause: &str, retry_ms: u64) {
        tracing::info!(
            request = attempt,
            cause,
            retry_ms,
            outcome = "refused",
            status = 503,
            "request answered"
        );
        self.respond_and_close(key, GatewayResponse::refusal(retry_ms));
    }

    fn handle_directory(&mut self, key: usize, head: &RequestHead) {
        if head.path() != DIRECTORY_PATH {
            return self.respond(key, GatewayResponse::new(404));
        }
        let query = decode_directory_query(head.query());
        let now_ms = self.now_ms();
        let configuration = self.configuration.clone().unwrap_or_default();
        let addresses = self.hosts.directory(
            &query.region,
            &query.data_centre,
            |region| configuration.home_route_count(region),
            now_ms,
        );
        if addresses.is_empty() || !self.is_synchronised {
            return self.respond(key, GatewayResponse::refusal(NOT_READY_RETRY_MS));
        }
        let body = encode_directory_answer(&addresses, DIRECTORY_TTL_S);
        self.respond_with_body(key, GatewayResponse::new(200), "application/json", &body);
    }

    /// Returns whether the host accepts requests.
    pub(super) fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.is_synchronised && self.shutdown_started_ms.is_none()
    }

    fn handle_ready(&mut self, key: usize, head: &RequestHead) {
        let status = match head.path() == READY_PATH {
            false => 404,
            true if self.is_ready() => 200,
            true => 503,
        };
        self.respond(key, GatewayResponse::new(status));
    }

    fn handle_changes(&mut self, key: usize, query: &str) {
        let changes = self
            .replica
            .as_ref()
            .and_then(|replica| encode_changes(replica, query).transpose());
        match changes {
            Some(Ok(bytes)) => {
                let response = GatewayResponse::new(200);
                self.respond_with_body(key, response, "application/octet-stream", &bytes);
            }
            Some(Err(error)) => {
                tracing::error!(%error, "could not encode the store changes for another host; answered with 500");
                self.respond(key, GatewayResponse::new(500));
            }
            None => self.respond(key, GatewayResponse::new(503)),
        }
    }

    fn handle_origins(&mut self, key: usize) {
        match self.encode_origins() {
            Ok(bytes) => {
                let response = GatewayResponse::new(200);
                self.respond_with_body(key, response, "application/octet-stream", &bytes);
            }
            Err(error) => {
                tracing::error!(%error, "could not encode the origins of streams for another host; answered with 500");
                self.respond(key, GatewayResponse::new(500));
            }
        }
    }

    fn handle_metrics(&mut self, key: usize) {
        self.telemetry
            .set_endpoint_paces(&self.fleet, self.now_ms());
        let text = self.telemetry.render();
        self.respond_with_body(
            key,
            GatewayResponse::new(200),
            "text/plain; version=0.0.4",
            text.as_bytes(),
        );
    }

    /// Writes a response without a body on a connection without an exchange.
    pub(super) fn respond(&mut self, key: usize, response: GatewayResponse) {
        self.respond_with_body(key, response, "text/plain", b"");
    }

    pub(super) fn respond_and_close(&mut self, key: usize, response: GatewayResponse) {
        if let Some(inbound) = self.inbound.get_mut(key) {
            inbound.is_closing = true;
        }
        self.respond(key, response);
    }

    fn respond_with_body(
        &mut self,
        key: usize,
        response: GatewayResponse,
        content_type: &str,
        body: &[u8],
    ) {
        let is_leaving = self.shutdown_started_ms.is_some();
        let Some(inbound) = self.inbound.get_mut(key) else {
            return;
        };
        inbound.is_closing |= is_leaving;
        let is_closing = inbound.is_closing;
        write_gateway_response(
            response,
            content_type,
            body,
            is_closing,
            inbound.socket.output(),
        );
        self.flush_inbound(key);
    }

    /// Writes pending output; closes the connection if it is broken or finished.
    pub(super) fn flush_inbound(&mut self, key: usize) {
        let Some(inbound) = self.inbound.get_mut(key) else {
            return;
        };
        if !inbound.socket.flush() {
            return self.abort_inbound(key);
        }
        let is_written = inbound.socket.unwritten() == 0;
        if inbound.is_closing && is_written && inbound.exchange.is_none() {
            return self.close_inbound(key);
        }
        let exchange = inbound.exchange;
        if inbound.socket.unwritten() <= self.buffers.grant().0 / 2 {
            self.resume_reading(exchange);
        }
    }

    /// Continues with the next request after the exchange on a connection has ended.
    pub(super) fn finish_inbound_request(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(inbound) = self.inbound.get_mut(key) else {
            return;
        };
        inbound.exchange = None;
        inbound.last_active_ms = now_ms;
        self.flush_inbound(key);
        if let Some(inbound) = self.inbound.get_mut(key)
            && !inbound.is_closing
        {
            inbound.socket.shrink();
            self.read_requests(key);
        }
    }

    /// Closes an inbound connection without affecting its exchange.
    pub(super) fn close_inbound(&mut self, key: usize) {
        let Some(mut inbound) = self.inbound.try_remove(key) else {
            return;
        };
        inbound.prepare_close();
        // Closing the socket deregisters it in any case.
        let _ = self.poll.registry().deregister(&mut inbound.socket.stream);
    }

    /// Closes a connection that failed or whose caller disconnected, and ends its
    /// exchange.
    pub(super) fn abort_inbound(&mut self, key: usize) {
        let exchange = self.inbound.get(key).and_then(|inbound| inbound.exchange);
        self.close_inbound(key);
        if let Some(exchange) = exchange {
            self.caller_disconnected(exchange);
        }
    }

    pub(super) fn sweep_inbound(&mut self, now_ms: u64) {
        let limits = self.limits();
        let mut late = Vec::new();
        let mut idle = Vec::new();
        for (key, inbound) in &self.inbound {
            if inbound.exchange.is_some() {
                continue;
            }
            match inbound.request_started_ms {
                Some(started_ms) => {
                    let limit_ms = match inbound.request_progress {
                        RequestProgress::Head => limits.head_timeout_ms,
                        RequestProgress::Body { .. } => limits.idle_timeout_ms,
                    };
                    if now_ms >= started_ms + limit_ms {
                        late.push(key);
                    }
                }
                None if now_ms >= inbound.last_active_ms + limits.idle_timeout_ms => idle.push(key),
                None => {}
            }
        }
        for key in idle {
            self.close_inbound(key);
        }
        for key in late {
            tracing::info!("request timed out before it was received completely");
            self.respond_and_close(key, GatewayResponse::new(408));
        }
    }
}

/// Parses a request from a connection's input; none if it is incomplete.
///
/// # Errors
///
/// Fails with the response of the gateway.
fn read_request(
    inbound: &mut InboundConnection,
    limits: &CallerLimits,
    buffers: &mut BufferBudget,
) -> Result<Option<(RequestHead, Vec<u8>)>, GatewayResponse> {
    if let RequestProgress::Head = inbound.request_progress {
        let parsed = parse_request(&inbound.socket.input, limits.max_head_bytes);
        let parsed = parsed.map_err(|error| GatewayResponse::new(status_of(error)))?;
        let Some((head, length)) = parsed else {
            return Ok(None);
        };
        inbound.socket.input.drain(..length);
        let decoder = BodyDecoder::new(head.framing);
        let content = room_for_body(&head, &decoder, limits, buffers)?;
        if head.expects_continue && !decoder.is_done() && inbound.socket.input.is_empty() {
            inbound.socket.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        inbound.request_progress = RequestProgress::Body {
            head: Box::new(head),
            decoder,
            content,
        };
    }
    let RequestProgress::Body {
        head,
        decoder,
        content,
    } = &mut inbound.request_progress
    else {
        return Ok(None);
    };
    let used = decoder
        .decode(&inbound.socket.input, content)
        .map_err(|_| GatewayResponse::new(400))?;
    inbound.socket.input.drain(..used);
    if content.len() > limits.max_body_bytes {
        return Err(GatewayResponse::new(413));
    }
    let is_chunked = matches!(decoder, BodyDecoder::Chunked(_));
    if is_chunked {
        check_memory(head, ByteCount(content.len()), buffers)?;
    }
    if !decoder.is_done() {
        return Ok(None);
    }
    match std::mem::replace(&mut inbound.request_progress, RequestProgress::Head) {
        RequestProgress::Body { head, content, .. } => Ok(Some((*head, content))),
        RequestProgress::Head => Ok(None),
    }
}

/// Returns a buffer for a body, with room for all of it if its length is known.
///
/// # Errors
///
/// Fails with the response of the gateway if the body is too large, for the limits or for what
/// is left of the memory.
fn room_for_body(
    head: &RequestHead,
    decoder: &BodyDecoder,
    limits: &CallerLimits,
    buffers: &mut BufferBudget,
) -> Result<Vec<u8>, GatewayResponse> {
    let BodyDecoder::Length(stated) = decoder else {
        return Ok(Vec::new());
    };
    let fitting = usize::try_from(*stated).ok();
    let Some(length) = fitting.filter(|length| *length <= limits.max_body_bytes) else {
        return Err(GatewayResponse::new(413));
    };
    check_memory(head, ByteCount(length), buffers)?;
    buffers.record_read(ByteCount(length));
    Ok(Vec::with_capacity(length))
}

/// Checks that a body fits into the memory beside what other requests hold.
///
/// # Errors
///
/// Fails with a refusal if it does not.
fn check_memory(
    head: &RequestHead,
    body: ByteCount,
    buffers: &BufferBudget,
) -> Result<(), GatewayResponse> {
    if buffers.fits_body(body) {
        return Ok(());
    }
    tracing::info!(
        request = %decode_request_metadata(&head.headers).attempt_id,
        %body,
        held = %buffers.held(),
        "no memory for the body of a request beside others"
    );
    Err(GatewayResponse::refusal(NO_MEMORY_RETRY_MS))
}

fn status_of(error: HeadError) -> u16 {
    match error {
        HeadError::Malformed => 400,
        HeadError::TooLong => 431,
        HeadError::UnsupportedCoding => 501,
    }
}
