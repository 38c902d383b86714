//! Connections to endpoints and to hosts of other regions.

use mio::event::Event;

use super::{
    body::BodyDecoder,
    connection::{
        ReadState,
        ResponseProgress,
        UpstreamPhase, //
    },
    head::{
        ResponseHead,
        parse_response, //
    },
    reactor::Reactor,
    serve_client::MAX_OUTPUT_BYTES, //
};
use crate::platform::headers::{
    ResponseMetadata,
    decode_response_metadata, //
};

/// Longest time for a connection to be made to an endpoint of the same region.
/// The platform takes a millisecond; a lost packet is sent again after a second.
const CONNECT_LIMIT_MS: u64 = 300;
/// Longest time for a connection to be made to another region.
const REMOTE_CONNECT_LIMIT_MS: u64 = 700;
/// How long an idle connection is reused if the endpoint does not say.
const DEFAULT_IDLE_MS: u64 = 1_500;
/// Share of the idle time that an endpoint states which is used, so that a
/// request and the end of the connection do not cross.
const IDLE_SHARE: f64 = 0.6;
/// How long an idle connection to another host is kept.
const PEER_IDLE_MS: u64 = 5_000;
/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Why an answer did not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamError {
    /// The connection could not be made, so nothing was sent.
    Unreachable,
    /// The connection broke, or what arrived is no answer.
    Broken,
}

impl Reactor {
    pub(super) fn upstream_event(&mut self, key: usize, event: &Event) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
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
            // A failed write shows as a failed read, after what has arrived.
            upstream.socket.flush();
        }
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            self.read_upstream(key);
        }
    }

    fn connected(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.phase = UpstreamPhase::Busy;
        let connect_ms = now_ms.saturating_sub(upstream.since_ms);
        let exchange = upstream.exchange;
        self.record_connected(exchange, connect_ms);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.socket.flush();
        }
    }

    /// Reads an answer that was not read because its caller reads slowly.
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

    fn read_upstream(&mut self, key: usize) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.phase == UpstreamPhase::Connecting {
            return;
        }
        let client = upstream
            .exchange
            .and_then(|exchange| self.exchanges.get(exchange))
            .and_then(|exchange| exchange.client);
        let is_full = client
            .and_then(|client| self.clients.get(client))
            .is_some_and(|client| client.socket.unwritten() > MAX_OUTPUT_BYTES);
        upstream.is_paused = is_full;
        if is_full {
            return;
        }
        let read_state = upstream.socket.fill();
        if upstream.phase == UpstreamPhase::Idle {
            // Nothing was asked, so the end or any byte makes it unusable.
            if read_state != ReadState::Open || !upstream.socket.input.is_empty() {
                self.close_upstream(key);
            }
            return;
        }
        self.read_response(key, read_state);
    }

    /// Reads the answer from the input as far as it has arrived.
    fn read_response(&mut self, key: usize, read_state: ReadState) {
        loop {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                return;
            };
            if upstream.phase != UpstreamPhase::Busy {
                return;
            }
            if let ResponseProgress::Head = upstream.response_progress {
                let parsed = parse_response(&upstream.socket.input, upstream.is_head_request);
                match parsed {
                    Err(error) => {
                        tracing::debug!(address = %upstream.address, %error, "unusable answer");
                        return self.upstream_broken(key, UpstreamError::Broken);
                    }
                    Ok(None) if read_state != ReadState::Open => {
                        return self.upstream_broken(key, UpstreamError::Broken);
                    }
                    Ok(None) => return,
                    Ok(Some((head, length))) => {
                        upstream.socket.input.drain(..length);
                        if (100..200).contains(&head.status) {
                            continue;
                        }
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
        let metadata = decode_response_metadata(&head);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let exchange = upstream.exchange;
        let is_stale = match exchange.and_then(|exchange| self.exchanges.get(exchange)) {
            Some(exchange) => is_stale(
                &metadata,
                &exchange.request.metadata.attempt_id,
                upstream.request_count,
            ),
            None => false,
        };
        let decoder = BodyDecoder::new(head.framing);
        upstream.response_progress = ResponseProgress::Body {
            head: Box::new(head.clone()),
            decoder,
            is_stale,
        };
        if is_stale {
            tracing::info!(
                address = %upstream.address,
                attempt = ?metadata.attempt_id,
                "answer to an earlier request dropped"
            );
        } else if let Some(exchange) = exchange {
            self.on_response_head(exchange, &head, &metadata);
        }
    }

    /// Reads content; false if nothing more can be done now.
    fn read_response_body(&mut self, key: usize, read_state: ReadState) -> bool {
        let mut content = Vec::new();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let ResponseProgress::Body {
            decoder, is_stale, ..
        } = &mut upstream.response_progress
        else {
            return false;
        };
        let is_stale = *is_stale;
        let Ok(used) = decoder.decode(&upstream.socket.input, &mut content) else {
            self.upstream_broken(key, UpstreamError::Broken);
            return false;
        };
        upstream.socket.input.drain(..used);
        let ends_with_connection =
            matches!(decoder, BodyDecoder::UntilClose) && read_state == ReadState::Closed;
        let is_done = decoder.is_done() || ends_with_connection;
        let exchange = upstream.exchange;
        if is_stale && is_done {
            upstream.response_progress = ResponseProgress::Head;
            upstream.had_stale_response = true;
            return true;
        }
        if let Some(exchange) = exchange.filter(|_| !is_stale && !content.is_empty()) {
            self.on_response_body(exchange, &content);
        }
        if is_done {
            self.complete_response(key);
            return false;
        }
        if read_state != ReadState::Open {
            self.upstream_broken(key, UpstreamError::Broken);
        }
        false
    }

    /// The answer has arrived whole; the connection may serve another request.
    fn complete_response(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let exchange = upstream.exchange.take();
        let response_progress =
            std::mem::replace(&mut upstream.response_progress, ResponseProgress::Head);
        let ResponseProgress::Body { head, .. } = response_progress else {
            return;
        };
        let is_reusable = head.is_keep_alive
            && !upstream.had_stale_response
            && upstream.socket.input.is_empty()
            && upstream.socket.unwritten() == 0
            && head.framing != super::head::Framing::UntilClose;
        if is_reusable {
            let idle_ms = if upstream.is_peer {
                PEER_IDLE_MS
            } else {
                idle_ms(&head)
            };
            upstream.phase = UpstreamPhase::Idle;
            upstream.since_ms = now_ms;
            upstream.idle_deadline_ms = now_ms + idle_ms;
            upstream.socket.shrink();
            let address = upstream.address;
            let idle = self.idle.entry(address).or_default();
            idle.push(key);
            if idle.len() > MAX_IDLE_PER_ADDRESS {
                let oldest = idle[0];
                self.close_upstream(oldest);
            }
        } else {
            self.close_upstream(key);
        }
        if let Some(exchange) = exchange {
            self.on_response_end(exchange, &head);
        }
    }

    /// Takes an idle connection, the one that was used last.
    pub(super) fn take_idle(
        &mut self,
        address: std::net::SocketAddr,
        now_ms: u64,
    ) -> Option<usize> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(key) = idle.pop() {
            let is_usable = self
                .upstreams
                .get(key)
                .is_some_and(|upstream| now_ms < upstream.idle_deadline_ms);
            if is_usable {
                return Some(key);
            }
            if let Some(upstream) = self.upstreams.try_remove(key) {
                drop(upstream);
            }
        }
        None
    }

    /// Ends a connection that is of no more use.
    pub(super) fn close_upstream(&mut self, key: usize) {
        let Some(mut upstream) = self.upstreams.try_remove(key) else {
            return;
        };
        // Deregistration also happens when the socket is closed.
        let _ = self.poll.registry().deregister(&mut upstream.socket.stream);
        if let Some(idle) = self.idle.get_mut(&upstream.address) {
            idle.retain(|other| *other != key);
            if idle.is_empty() {
                self.idle.remove(&upstream.address);
            }
        }
    }

    /// Ends a connection and tells its exchange.
    pub(super) fn upstream_broken(&mut self, key: usize, error: UpstreamError) {
        let exchange = self
            .upstreams
            .get(key)
            .and_then(|upstream| upstream.exchange);
        self.close_upstream(key);
        if let Some(exchange) = exchange {
            self.dispatch_failed(exchange, error);
        }
    }

    /// Ends connections that could not be made in time.
    pub(super) fn check_connecting(&mut self, now_ms: u64) {
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
    }
}

/// Whether an answer belongs to another request than the one in progress.
///
/// An answer without an id is accepted only as the first one on a connection:
/// later ones may be left over from the request before.
fn is_stale(metadata: &ResponseMetadata, attempt: &str, request_count: u32) -> bool {
    match &metadata.attempt_id {
        Some(answered) => answered != attempt,
        None => request_count > 1,
    }
}

/// How long a connection stays usable after an answer.
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
        (seconds * 1_000.0 * IDLE_SHARE) as u64
    })
}
