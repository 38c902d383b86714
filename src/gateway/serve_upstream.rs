//! Connections to endpoints and to hosts of other regions.

use std::net::SocketAddr;

use compact_str::CompactString;
use mio::event::Event;

use super::{
    body::BodyDecoder,
    buffer_budget::ByteCount,
    connection::{
        ReadState,
        ResponseProgress,
        UpstreamPhase, //
    },
    endpoint::Failure,
    endpoint_start::{
        EndSign,
        StartDoubt, //
    },
    head::{
        ResponseHead,
        parse_response, //
    },
    reactor::Reactor,
    serve_starts::MAX_REPORT_BYTES,
    stream_origins::AttemptHash, //
};
use crate::platform::headers::decode_response_metadata;

/// Connect timeout for endpoints of the same region. Connecting takes a
/// millisecond on the platform; a lost packet is retransmitted after a second.
pub const CONNECT_LIMIT_MS: u64 = 300;
/// Connect timeout for hosts of other regions.
const REMOTE_CONNECT_LIMIT_MS: u64 = 700;
/// Time for which a request waits until its endpoint has closed the connection that another one
/// replaces: several times what it takes within a region.
const CLOSE_LIMIT_MS: u64 = 50;
/// Time after the end of a connection in which its endpoint may still count it. Without a pause,
/// one that counts until its socket is closed served only 4 of 12 attempts.
const REOPEN_PAUSE_MS: u64 = 5;
/// Idle time after which a connection is not reused if the endpoint states none.
const DEFAULT_IDLE_MS: u64 = 1_500;
/// Fraction of the stated keep-alive timeout that is used, so that a request is
/// not sent while the endpoint closes the connection.
const IDLE_SHARE: f64 = 0.6;
/// Longest idle time after which a connection is reused, whatever the endpoint states.
const MAX_IDLE_MS: u64 = 60_000;
/// Idle time after which the close of a connection that carried only checks is no sign of an end.
const CHECK_LINGER_MS: u64 = 500;
/// Idle time after which a connection to another host is not reused.
const PEER_IDLE_MS: u64 = 5_000;
/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Status after which a connection no longer carries HTTP/1.1. No request asks for that.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Maximum size of the responses that are discarded on a connection.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Reason for which no complete response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamError {
    /// The connection could not be established, so nothing was sent.
    Unreachable,
    /// The connection failed, or the response is malformed.
    Broken,
}

impl Reactor {
    pub(super) fn upstream_event(&mut self, key: usize, event: &Event) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.phase == UpstreamPhase::Closing {
            return self.read_closing(key);
        }
        if upstream.phase == UpstreamPhase::Connecting {
            if event.is_error()
                || matches!(upstream.socket.stream.take_error(), Ok(Some(_)) | Err(_))
            {
                return self.upstream_broken(key, UpstreamError::Unreachable);
            }
            if !event.is_writable() {
                return;
            }
            if upstream.socket.stream.peer_addr().is_err() {
                return;
            }
            self.connected(key);
        }
        if event.is_writable() {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                return;
            };
            // A write error makes the next read end as broken, after the data that
            // has already arrived.
            upstream.socket.flush();
        }
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.read_upstream(key);
        }
    }

    /// Lets a connection whose end has arrived be replaced soon.
    fn read_closing(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let grant = self.buffers.grant();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let read = upstream.socket.fill(grant);
        // No request is in progress on it.
        upstream.socket.input.clear();
        if matches!(read, ReadState::Closed | ReadState::Broken) {
            upstream.reopen_at_ms = upstream.reopen_at_ms.min(now_ms + REOPEN_PAUSE_MS);
            let reopen_at_ms = upstream.reopen_at_ms;
            self.check_connecting_by(reopen_at_ms);
        }
    }

    fn connected(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let connect_ms = now_ms.saturating_sub(upstream.since_ms);
        let exchange = upstream.exchange;
        upstream.record_established(now_ms);
        if let Some(id) = upstream.endpoint.clone() {
            self.record_reached();
            self.record_accepted(&id, now_ms);
        }
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if exchange.is_none() && upstream.socket.unwritten() == 0 {
            return self.keep_idle(key, DEFAULT_IDLE_MS);
        }
        upstream.phase = UpstreamPhase::Busy;
        self.record_connected(exchange, connect_ms);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.socket.flush();
        }
    }

    /// Resumes reading a response that was paused because of a slow caller.
    pub(super) fn resume_reading(&mut self, exchange: Option<usize>) {
        let upstream = exchange
            .and_then(|exchange| self.exchanges.get(exchange))
            .and_then(|exchange| exchange.dispatch.as_ref())
            .map(|dispatch| dispatch.upstream);
        let Some(key) = upstream else {
            return;
        };
        let has_input = self
            .upstreams
            .get(key)
            .is_some_and(|upstream| upstream.is_paused);
        if has_input {
            self.read_upstream(key);
        }
    }

    pub(super) fn read_upstream(&mut self, key: usize) {
        let grant = self.buffers.grant();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if matches!(
            upstream.phase,
            UpstreamPhase::Connecting | UpstreamPhase::Closing
        ) {
            return;
        }
        let inbound = upstream
            .exchange
            .and_then(|exchange| self.exchanges.get(exchange))
            .and_then(|exchange| exchange.inbound);
        let is_full = inbound
            .and_then(|inbound| self.inbound.get(inbound))
            .is_some_and(|inbound| inbound.socket.unwritten() > grant.0);
        upstream.is_paused = is_full;
        if is_full {
            upstream.has_unread = true;
            upstream.socket.shrink();
            return;
        }
        let is_endpoint = upstream.endpoint.is_some();
        let earlier = upstream.socket.input.len();
        let read = upstream.socket.fill(grant);
        let count = ByteCount(upstream.socket.input.len() - earlier);
        let now_ms = self.started.elapsed().as_millis() as u64;
        let arrival = upstream.record_read(count, read, now_ms);
        if is_endpoint && count.0 > 0 {
            self.reach.record_heard(now_ms);
        }
        let read_state = match read {
            ReadState::Partial => {
                self.unread_upstreams.push(key);
                ReadState::Open
            }
            read_state => read_state,
        };
        self.record_read(count);
        if let Some(arrival) = arrival.filter(|_| is_endpoint) {
            self.record_arrival(key, arrival);
        }
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.phase == UpstreamPhase::Idle {
            // No request is in progress, so a close or any byte makes the
            // connection unusable.
            let has_input = !upstream.socket.input.is_empty();
            if read_state != ReadState::Open && !has_input {
                self.record_idle_closed(key);
            }
            if read_state != ReadState::Open || has_input {
                self.close_upstream(key);
            }
            return;
        }
        self.read_response(key, read_state);
    }

    /// Processes the response in the input as far as it has arrived.
    fn read_response(&mut self, key: usize, read_state: ReadState) {
        loop {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                return;
            };
            if upstream.phase != UpstreamPhase::Busy {
                return;
            }
            if let ResponseProgress::Head = upstream.response_progress {
                let parsed = parse_response(&upstream.socket.input, false);
                match parsed {
                    Err(error) => {
                        tracing::debug!(address = %upstream.address, %error, "malformed response head; connection is closed");
                        return self.upstream_broken(key, UpstreamError::Broken);
                    }
                    Ok(None) if read_state != ReadState::Open => {
                        self.record_closed(key, "connection broke");
                        return self.upstream_broken(key, UpstreamError::Broken);
                    }
                    Ok(None) => return,
                    Ok(Some((head, length))) => {
                        upstream.socket.input.drain(..length);
                        if head.status == SWITCHING_PROTOCOLS {
                            tracing::debug!(address = %upstream.address, "protocol switched without a request for it; connection is closed");
                            return self.upstream_broken(key, UpstreamError::Broken);
                        }
                        if (100..200).contains(&head.status) {
                            upstream.interim_count += 1;
                            if upstream.interim_count > MAX_INTERIM_RESPONSES {
                                return self.upstream_broken(key, UpstreamError::Broken);
                            }
                            continue;
                        }
                        let head = upstream.frame_by_request(head);
                        self.begin_response(key, head);
                        continue;
                    }
                }
            }
            if !self.read_response_body(key, read_state) {
                return;
            }
        }
    }

    fn begin_response(&mut self, key: usize, head: ResponseHead) {
        let now_ms = self.now_ms();
        let metadata = decode_response_metadata(&head);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let exchange = upstream.exchange;
        let is_stale = !upstream.pair(metadata.attempt());
        let record = upstream.answer_record(head.status, now_ms);
        let sent_ms = upstream.sent_ms;
        upstream.response_progress = ResponseProgress::Body {
            head: Box::new(head.clone()),
            decoder: BodyDecoder::new(head.framing),
            is_stale,
        };
        // What a copy states, its original has stated before.
        if is_stale {
            tracing::info!(
                address = %upstream.address,
                attempt = ?metadata.attempt_id,
                answer = %record,
                "response to an earlier request discarded"
            );
            return self.telemetry.count_discarded_answer();
        }
        self.record_health(key, &metadata);
        let Some(exchange) = exchange else {
            return;
        };
        if let Some(exchange) = self.exchanges.get_mut(exchange) {
            exchange.answers.push(record);
        }
        self.record_leaving(exchange, &metadata);
        self.record_limit(exchange, &metadata, sent_ms);
        self.on_response_head(exchange, &head, &metadata);
    }

    /// Decodes body content; false if there is nothing more to process.
    fn read_response_body(&mut self, key: usize, read_state: ReadState) -> bool {
        let mut content = Vec::new();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let ResponseProgress::Body {
            head,
            decoder,
            is_stale,
        } = &mut upstream.response_progress
        else {
            return false;
        };
        let is_stale = *is_stale;
        let is_success = (200..300).contains(&head.status);
        let Ok(used) = decoder.decode(&upstream.socket.input, &mut content) else {
            self.upstream_broken(key, UpstreamError::Broken);
            return false;
        };
        upstream.socket.input.drain(..used);
        // The sender of a success has read the whole request. A failure may end it early.
        let is_request_pending = upstream.socket.unwritten() > 0;
        let ends_with_connection = matches!(decoder, BodyDecoder::UntilClose)
            && read_state == ReadState::Closed
            && !(is_success && is_request_pending);
        let is_done = decoder.is_done() || ends_with_connection;
        let exchange = upstream.exchange;
        if let Some(check) = upstream.start_check.as_mut().filter(|_| !is_stale) {
            let room = MAX_REPORT_BYTES.saturating_sub(check.report.len());
            check.report.extend(content.iter().take(room));
        } else if is_stale || exchange.is_none() {
            upstream.discarded_bytes += content.len();
            if upstream.discarded_bytes > MAX_DISCARDED_BYTES {
                self.upstream_broken(key, UpstreamError::Broken);
                return false;
            }
        }
        if is_stale && is_done {
            upstream.response_progress = ResponseProgress::Head;
            return true;
        }
        if let Some(exchange) = exchange.filter(|_| !is_stale && !content.is_empty())
            && !self.on_response_body(exchange, &content)
        {
            tracing::info!("response exceeds a limit; connection is closed");
            self.upstream_broken(key, UpstreamError::Broken);
            return false;
        }
        if is_done {
            self.complete_response(key, read_state);
            return false;
        }
        if read_state != ReadState::Open {
            self.record_closed(key, "connection broke");
            self.upstream_broken(key, UpstreamError::Broken);
        }
        false
    }

    /// Records that an endpoint accepts connections.
    fn record_accepted(&mut self, id: &CompactString, now_ms: u64) {
        let endpoint = self.fleet.get_mut(id);
        if let Some(doubt) = endpoint.and_then(|endpoint| endpoint.start_doubt_mut()) {
            doubt.record_reached(now_ms);
        }
    }

    /// Records that an endpoint closed an idle connection.
    ///
    /// One on which it only answered checks may be closed when it has been idle for a while:
    /// otherwise each close would lead to the next check.
    fn record_idle_closed(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let is_sign = self.upstreams.get(key).is_some_and(|upstream| {
            upstream.has_carried_request || now_ms < upstream.since_ms + CHECK_LINGER_MS
        });
        if is_sign {
            self.record_closed(key, "idle connection closed before its time");
        }
    }

    /// Records that an endpoint closed a connection without notice.
    fn record_closed(&mut self, key: usize, cause: &str) {
        let now_ms = self.now_ms();
        let polled_ms = self.earlier_poll_ms;
        let Some(upstream) = self.upstreams.get(key) else {
            return;
        };
        let sign = upstream.end_sign(polled_ms, now_ms);
        if let (Some(id), Some(sign)) = (upstream.endpoint.clone(), sign) {
            self.record_end_sign(&id, sign, cause);
        }
    }

    /// Handles the end of a response; keeps the connection for reuse if possible.
    fn complete_response(&mut self, key: usize, read_state: ReadState) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let is_closed = matches!(read_state, ReadState::Closed | ReadState::Broken);
        let exchange = upstream.exchange.take();
        let start_check = upstream.start_check.take();
        let response_progress =
            std::mem::replace(&mut upstream.response_progress, ResponseProgress::Head);
        let ResponseProgress::Body { head, .. } = response_progress else {
            return;
        };
        let ends_with_connection = head.framing == super::head::Framing::UntilClose;
        if is_closed && head.is_keep_alive && !ends_with_connection {
            self.record_closed(key, "connection closed after an answer");
        }
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let is_reusable = head.is_keep_alive
            && !is_closed
            && !upstream.sent.is_spent()
            && upstream.socket.input.is_empty()
            && upstream.socket.unwritten() == 0
            && !ends_with_connection;
        if is_reusable {
            let idle_ms = if upstream.is_peer {
                PEER_IDLE_MS
            } else {
                idle_ms(&head)
            };
            self.keep_idle(key, idle_ms);
        } else {
            self.close_upstream(key);
        }
        if let Some(check) = start_check {
            self.apply_start_check(&check, head.status, &decode_response_metadata(&head));
        }
        if let Some(exchange) = exchange {
            self.on_response_end(exchange, &head);
        }
    }

    /// Keeps an open connection for the next request.
    fn keep_idle(&mut self, key: usize, idle_ms: u64) {
        let now_ms = self.now_ms();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.phase = UpstreamPhase::Idle;
        upstream.since_ms = now_ms;
        upstream.idle_deadline_ms = now_ms + idle_ms;
        upstream.opened_ahead_for = None;
        upstream.socket.shrink();
        let idle = self.idle_upstreams.entry(upstream.address).or_default();
        idle.push(key);
        if idle.len() > MAX_IDLE_PER_ADDRESS {
            let oldest = idle[0];
            self.close_upstream(oldest);
        }
    }

    /// Returns whether an idle connection to an address can be used for a request of an attempt.
    pub(super) fn has_idle(
        &self,
        address: SocketAddr,
        attempt: Option<AttemptHash>,
        now_ms: u64,
    ) -> bool {
        let idle = self.idle_upstreams.get(&address).into_iter().flatten();
        idle.filter_map(|key| self.upstreams.get(*key))
            .any(|upstream| upstream.is_usable(attempt, now_ms))
    }

    /// Returns whether a connection to an address is being opened.
    pub(super) fn is_connecting(&self, address: SocketAddr) -> bool {
        self.upstreams.iter().any(|(_, upstream)| {
            let is_opening = matches!(
                upstream.phase,
                UpstreamPhase::Connecting | UpstreamPhase::Closing
            );
            upstream.address == address && is_opening
        })
    }

    /// Opens a connection for a request that is still in progress elsewhere, unless one
    /// is being opened; `endpoint` is at `address`.
    pub(super) fn connect_ahead(&mut self, address: SocketAddr, endpoint: Option<CompactString>) {
        if self.is_connecting(address) {
            return;
        }
        self.telemetry.count_connection();
        let is_peer = endpoint.is_none();
        match self.connect(address, endpoint.as_ref()) {
            Some(key) => {
                let upstream = &mut self.upstreams[key];
                upstream.is_peer = is_peer;
                upstream.opened_ahead_for = endpoint;
            }
            None => self.record_unreachable(endpoint.as_ref()),
        }
    }

    /// Records that an endpoint could not be reached while no request was sent to it.
    fn record_unreachable(&mut self, id: Option<&CompactString>) {
        let now_ms = self.now_ms();
        if let Some(id) = id {
            self.record_endpoint_failure(id, Failure::Unreachable, now_ms);
        }
    }

    /// Takes the most recently used idle connection to an address that may carry a request of an
    /// attempt.
    pub(super) fn take_idle(
        &mut self,
        address: SocketAddr,
        attempt: Option<AttemptHash>,
        now_ms: u64,
    ) -> Option<usize> {
        let upstreams = &self.upstreams;
        let idle = self.idle_upstreams.get_mut(&address)?;
        let usable = idle.iter().rposition(|key| {
            let upstream = upstreams.get(*key);
            upstream.is_some_and(|upstream| upstream.is_usable(attempt, now_ms))
        });
        usable.map(|index| idle.remove(index))
    }

    /// Closes an idle connection that another one replaces, so that the connections to an address
    /// do not become more.
    pub(super) fn close_replaced(&mut self, address: SocketAddr) {
        let idle = self.idle_upstreams.get(&address);
        if let Some(replaced) = idle.and_then(|idle| idle.last().copied()) {
            self.telemetry.count_replaced_connection();
            self.close_upstream(replaced);
        }
    }

    /// Starts to close an idle connection to an endpoint that another one replaces, and returns
    /// it for the next request, which is sent once the endpoint has closed its end.
    ///
    /// An endpoint at its most connections would refuse another one before.
    pub(super) fn begin_replacement(
        &mut self,
        address: SocketAddr,
        endpoint: &CompactString,
    ) -> Option<usize> {
        let now_ms = self.now_ms();
        let replaced = self.idle_upstreams.get_mut(&address)?.pop()?;
        self.telemetry.count_replaced_connection();
        let upstream = self.upstreams.get_mut(replaced)?;
        upstream.begin_close(now_ms + CLOSE_LIMIT_MS);
        upstream.endpoint = Some(endpoint.clone());
        self.check_connecting_by(now_ms + CLOSE_LIMIT_MS);
        Some(replaced)
    }

    /// Takes an idle connection for a check that the announced start of an endpoint accepted
    /// before a sign of its end.
    pub(super) fn take_idle_of_start(
        &mut self,
        address: SocketAddr,
        doubt: StartDoubt,
        now_ms: u64,
    ) -> Option<usize> {
        let upstreams = &self.upstreams;
        let idle = self.idle_upstreams.get_mut(&address)?;
        let of_start = idle.iter().rposition(|key| {
            let upstream = upstreams.get(*key);
            upstream.is_some_and(|upstream| {
                let established_ms = upstream.established_ms;
                upstream.is_usable(None, now_ms)
                    && established_ms.is_some_and(|at_ms| doubt.is_before_sign(at_ms))
            })
        });
        Some(idle.remove(of_start?))
    }

    /// Closes an upstream connection.
    pub(super) fn close_upstream(&mut self, key: usize) {
        let Some(mut upstream) = self.upstreams.try_remove(key) else {
            return;
        };
        // Closing the socket deregisters it in any case.
        let _ = self.poll.registry().deregister(&mut upstream.socket.stream);
        if let Some(idle) = self.idle_upstreams.get_mut(&upstream.address) {
            idle.retain(|other| *other != key);
            if idle.is_empty() {
                self.idle_upstreams.remove(&upstream.address);
            }
        }
    }

    /// Closes a failed connection and ends the dispatch on it.
    pub(super) fn upstream_broken(&mut self, key: usize, error: UpstreamError) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let exchange = upstream.exchange;
        let opened_ahead_for = upstream.opened_ahead_for.take();
        let endpoint = upstream.endpoint.take();
        self.close_upstream(key);
        if let Some(id) = endpoint.filter(|_| error == UpstreamError::Unreachable) {
            let now_ms = self.now_ms();
            self.record_unreached(&id, now_ms);
            let cause = "connection refused or not accepted in time";
            self.record_end_sign(&id, EndSign::new(now_ms), cause);
        }
        match exchange {
            Some(exchange) => self.dispatch_failed(exchange, error),
            None => self.record_unreachable(opened_ahead_for.as_ref()),
        }
    }

    /// Lets connections be checked at `at_ms` at the latest.
    pub(super) fn check_connecting_by(&mut self, at_ms: u64) {
        self.next_connecting_check_ms = self.next_connecting_check_ms.min(at_ms);
    }

    /// Gives up connections that were not established within the connect timeout, and requests'
    /// wait for the close of earlier ones.
    pub(super) fn check_connecting(&mut self, now_ms: u64) {
        if now_ms < self.next_connecting_check_ms {
            return;
        }
        let late: Vec<usize> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                let limit_ms = if upstream.is_peer {
                    REMOTE_CONNECT_LIMIT_MS
                } else {
                    CONNECT_LIMIT_MS
                };
                upstream.phase == UpstreamPhase::Connecting
                    && now_ms >= upstream.since_ms + limit_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.upstream_broken(key, UpstreamError::Unreachable);
        }
        let unclosed = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.phase == UpstreamPhase::Closing && now_ms >= upstream.reopen_at_ms
        });
        let unclosed: Vec<usize> = unclosed.map(|(key, _)| key).collect();
        for key in unclosed {
            self.reconnect(key);
        }
        let due_ms = self.upstreams.iter().filter_map(|(_, upstream)| {
            match upstream.phase {
                // Connections to hosts of other regions are looked at before their limit.
                UpstreamPhase::Connecting => Some(upstream.since_ms + CONNECT_LIMIT_MS),
                UpstreamPhase::Closing => Some(upstream.reopen_at_ms),
                _ => None,
            }
        });
        self.next_connecting_check_ms = due_ms.min().unwrap_or(u64::MAX);
    }
}

/// Returns the idle time in milliseconds for which a connection is reused after
/// a response.
fn idle_ms(head: &ResponseHead) -> u64 {
    let stated_s = head
        .header("keep-alive")
        .and_then(|value| {
            value
                .split(',')
                .filter_map(|part| part.trim().strip_prefix("timeout="))
                .next()
        })
        .and_then(|seconds| seconds.parse::<f64>().ok());
    stated_s.map_or(DEFAULT_IDLE_MS, |seconds| {
        ((seconds * 1_000.0 * IDLE_SHARE) as u64).min(MAX_IDLE_MS)
    })
}
