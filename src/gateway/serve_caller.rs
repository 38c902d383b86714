//! Connections from callers and other hosts: reading requests, writing answers.

use mio::event::Event;

use super::{
    answer::{
        FORWARD_HEADER,
        OwnAnswer,
        write_own, //
    },
    body::BodyDecoder,
    configuration::CallerLimits,
    connection::{
        Client,
        ReadEnd,
        Reading,
        Role, //
    },
    exchange::{
        CallerRequest,
        Plan, //
    },
    head::{
        HeadError,
        RequestHead,
        parse_request, //
    },
    peer_changes::{
        CHANGES_PATH,
        encode_changes, //
    },
    reactor::Reactor, //
};
use crate::platform::headers::{
    DIRECTORY_PATH,
    READY_PATH,
    decode_call,
    decode_directory_query,
    encode_directory_answer, //
};

/// How long callers may use a directory answer. Short, so that hosts that leave
/// get no new callers, and long enough that asking costs little.
const DIRECTORY_TTL_S: u32 = 2;
/// When a caller may come back to a host that knows no configuration yet.
const NOT_READY_RETRY_MS: u64 = 500;
/// When a caller may come back to a host that ends; others take it at once.
const LEAVING_RETRY_MS: u64 = 50;
/// Output beyond which the answer of an endpoint is not read further.
pub const MAX_OUTPUT_BYTES: usize = 512 * 1024;
/// Input that is kept while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 256 * 1024;

impl Reactor {
    pub(super) fn client_event(&mut self, key: usize, event: &Event) {
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.read_client(key);
        }
        if event.is_writable() {
            self.flush_client(key);
        }
    }

    fn read_client(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let end = client.wire.fill();
        if !client.wire.input.is_empty() {
            client.active_ms = now_ms;
        }
        match end {
            ReadEnd::Broken => return self.drop_client(key),
            ReadEnd::Closed => client.is_read_closed = true,
            ReadEnd::Open => {}
        }
        if client.exchange.is_some() {
            let has_left = client.is_read_closed || client.wire.input.len() > MAX_PIPELINED_BYTES;
            if has_left {
                self.drop_client(key);
            }
            return;
        }
        self.read_requests(key);
    }

    /// Reads requests from the input until one is in progress.
    pub(super) fn read_requests(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let limits = self.limits();
        loop {
            let Some(client) = self.clients.get_mut(key) else {
                return;
            };
            if client.exchange.is_some() || client.closes {
                return;
            }
            if !client.wire.input.is_empty() && client.request_started_ms.is_none() {
                client.request_started_ms = Some(now_ms);
            }
            match read_request(client, &limits) {
                Ok(Some((head, body))) => self.handle_request(key, head, body),
                Ok(None) if client.is_read_closed => return self.drop_client(key),
                Ok(None) => {
                    if client.wire.unwritten() > 0 {
                        self.flush_client(key);
                    }
                    return;
                }
                Err(status) => {
                    tracing::info!(status, "request refused because of its form");
                    self.answer_and_close(key, OwnAnswer::plain(status));
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
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.request_started_ms = None;
        if !head.keeps_open || client.is_read_closed {
            client.closes = true;
        }
        match client.role {
            Role::Caller => self.handle_call(key, head, body, None),
            Role::Peer if head.path() == CHANGES_PATH => self.answer_news(key, head.query()),
            Role::Peer => match head.header(FORWARD_HEADER).and_then(Plan::decode) {
                Some(plan) => self.handle_call(key, head, body, Some(plan)),
                None => self.answer_own(key, OwnAnswer::plain(400)),
            },
            Role::Directory => self.answer_directory(key, &head),
            Role::Ready => self.answer_ready(key, &head),
            Role::Metrics => self.answer_metrics(key),
        }
    }

    /// Starts an exchange for a request of a caller, or of another host that
    /// has already planned it.
    fn handle_call(
        &mut self,
        key: usize,
        head: RequestHead,
        body: Vec<u8>,
        forwarded: Option<Plan>,
    ) {
        let now_ms = self.now_ms();
        let call = decode_call(&head.headers);
        let is_forwarded = forwarded.is_some();
        if self.refuses_new(now_ms) {
            return self.refuse_unplanned(key, &call.attempt, "leaving", LEAVING_RETRY_MS);
        }
        let Some(configuration) = self.configuration.clone() else {
            return self.refuse_unplanned(
                key,
                &call.attempt,
                "no configuration",
                NOT_READY_RETRY_MS,
            );
        };
        let plan = match forwarded {
            Some(plan) => plan,
            None => {
                let host = head.header("host").unwrap_or_default();
                let route = configuration.route(host, head.path());
                let draw = self.draw();
                let planned = route.and_then(|route| {
                    let service = route.pick_service(draw)?;
                    Some(Plan::new(route, service.clone()))
                });
                let Some(plan) = planned else {
                    tracing::info!(
                        request = %call.attempt,
                        configuration = configuration.version,
                        outcome = "no route",
                        status = 404,
                        "request answered"
                    );
                    return self.answer_own(key, OwnAnswer::plain(404));
                };
                plan
            }
        };
        let request = CallerRequest { head, call, body };
        self.start_exchange(key, request, plan, configuration.version, is_forwarded);
    }

    fn refuse_unplanned(&mut self, key: usize, attempt: &str, cause: &str, retry_ms: u64) {
        tracing::info!(
            request = attempt,
            cause,
            retry_ms,
            outcome = "refused",
            status = 503,
            "request answered"
        );
        self.answer_and_close(key, OwnAnswer::refusal(retry_ms));
    }

    fn answer_directory(&mut self, key: usize, head: &RequestHead) {
        if head.path() != DIRECTORY_PATH {
            return self.answer_own(key, OwnAnswer::plain(404));
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
            return self.answer_own(key, OwnAnswer::refusal(NOT_READY_RETRY_MS));
        }
        let body = encode_directory_answer(&addresses, DIRECTORY_TTL_S);
        self.answer_with(key, OwnAnswer::plain(200), "application/json", &body);
    }

    /// Whether the host takes requests.
    pub(super) fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.is_synchronised && self.leave_started_ms.is_none()
    }

    fn answer_ready(&mut self, key: usize, head: &RequestHead) {
        let status = match head.path() == READY_PATH {
            false => 404,
            true if self.is_ready() => 200,
            true => 503,
        };
        self.answer_own(key, OwnAnswer::plain(status));
    }

    fn answer_news(&mut self, key: usize, query: &str) {
        let news = self
            .replica
            .as_ref()
            .map(|replica| encode_changes(replica, query));
        match news {
            Some(Ok(bytes)) => {
                let answer = OwnAnswer::plain(200);
                self.answer_with(key, answer, "application/octet-stream", &bytes);
            }
            Some(Err(error)) => {
                tracing::error!(%error, "could not encode the news");
                self.answer_own(key, OwnAnswer::plain(500));
            }
            None => self.answer_own(key, OwnAnswer::plain(503)),
        }
    }

    fn answer_metrics(&mut self, key: usize) {
        let text = self.telemetry.render();
        self.answer_with(
            key,
            OwnAnswer::plain(200),
            "text/plain; version=0.0.4",
            text.as_bytes(),
        );
    }

    /// Answers on a connection without an exchange.
    pub(super) fn answer_own(&mut self, key: usize, answer: OwnAnswer) {
        self.answer_with(key, answer, "text/plain", b"");
    }

    fn answer_and_close(&mut self, key: usize, answer: OwnAnswer) {
        if let Some(client) = self.clients.get_mut(key) {
            client.closes = true;
        }
        self.answer_own(key, answer);
    }

    fn answer_with(&mut self, key: usize, answer: OwnAnswer, content_type: &str, body: &[u8]) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.closes |= is_leaving;
        let closes = client.closes;
        write_own(answer, content_type, body, closes, client.wire.output());
        self.flush_client(key);
    }

    /// Writes the output; ends the connection if it is broken or done.
    pub(super) fn flush_client(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if !client.wire.flush() {
            return self.drop_client(key);
        }
        let is_written = client.wire.unwritten() == 0;
        if client.closes && is_written && client.exchange.is_none() {
            return self.close_client(key);
        }
        let exchange = client.exchange;
        if client.wire.unwritten() < MAX_OUTPUT_BYTES / 2 {
            self.resume_reading(exchange);
        }
    }

    /// The exchange on this connection has ended with a complete answer.
    pub(super) fn client_done(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.exchange = None;
        client.active_ms = now_ms;
        self.flush_client(key);
        if let Some(client) = self.clients.get_mut(key)
            && !client.closes
        {
            client.wire.shrink();
            self.read_requests(key);
        }
    }

    /// Closes a connection whose output is written.
    pub(super) fn close_client(&mut self, key: usize) {
        let Some(mut client) = self.clients.try_remove(key) else {
            return;
        };
        // Deregistration also happens when the socket is closed.
        let _ = self.poll.registry().deregister(&mut client.wire.stream);
    }

    /// Ends a connection; its caller has left or gets no complete answer.
    pub(super) fn drop_client(&mut self, key: usize) {
        let exchange = self.clients.get(key).and_then(|client| client.exchange);
        self.close_client(key);
        if let Some(exchange) = exchange {
            self.abandon(exchange);
        }
    }

    pub(super) fn sweep_clients(&mut self, now_ms: u64) {
        let limits = self.limits();
        let mut late = Vec::new();
        let mut idle = Vec::new();
        for (key, client) in &self.clients {
            if client.exchange.is_some() {
                continue;
            }
            match client.request_started_ms {
                Some(started_ms) => {
                    let limit_ms = match client.reading {
                        Reading::Head => limits.head_timeout_ms,
                        Reading::Body { .. } => limits.idle_timeout_ms,
                    };
                    if now_ms >= started_ms + limit_ms {
                        late.push(key);
                    }
                }
                None if now_ms >= client.active_ms + limits.idle_timeout_ms => idle.push(key),
                None => {}
            }
        }
        for key in idle {
            self.close_client(key);
        }
        for key in late {
            tracing::info!("request was not complete in time");
            self.answer_and_close(key, OwnAnswer::plain(408));
        }
    }
}

/// Reads a request from a connection's input; none if it is incomplete.
///
/// The error is the status of the answer.
fn read_request(
    client: &mut Client,
    limits: &CallerLimits,
) -> Result<Option<(RequestHead, Vec<u8>)>, u16> {
    if let Reading::Head = client.reading {
        let parsed = parse_request(&client.wire.input, limits.max_head_bytes);
        let Some((head, length)) = parsed.map_err(status_of)? else {
            return Ok(None);
        };
        client.wire.input.drain(..length);
        let decoder = BodyDecoder::new(head.framing);
        if head.expects_continue && !decoder.is_done() && client.wire.input.is_empty() {
            client.wire.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        client.reading = Reading::Body {
            head: Box::new(head),
            decoder,
            content: Vec::new(),
        };
    }
    let Reading::Body {
        decoder, content, ..
    } = &mut client.reading
    else {
        return Ok(None);
    };
    if let BodyDecoder::Length(left) = decoder
        && *left > limits.max_body_bytes as u64
    {
        return Err(413);
    }
    let used = decoder
        .decode(&client.wire.input, content)
        .map_err(|_| 400_u16)?;
    client.wire.input.drain(..used);
    if content.len() > limits.max_body_bytes {
        return Err(413);
    }
    if !decoder.is_done() {
        return Ok(None);
    }
    match std::mem::replace(&mut client.reading, Reading::Head) {
        Reading::Body { head, content, .. } => Ok(Some((*head, content))),
        Reading::Head => Ok(None),
    }
}

fn status_of(error: HeadError) -> u16 {
    match error {
        HeadError::Malformed => 400,
        HeadError::TooLong => 431,
        HeadError::Coding => 501,
    }
}
