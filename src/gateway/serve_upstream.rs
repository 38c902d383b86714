//! Connections to endpoints and to hosts of other regions.

use mio::event::Event;

use super::{
    body::BodyDecoder,
    connection::{
        Answering,
        ReadEnd,
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
    Verdict,
    decode_verdict, //
};

/// Longest time for a connection to be made to an endpoint of the same region.
/// The platform takes a millisecond; a lost packet is sent again after a second.
const CONNECT_LIMIT_MS: u64 = 300;
/// Longest time for a connection to be made to another region.
const AWAY_CONNECT_LIMIT_MS: u64 = 700;
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
pub enum Breakage {
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
            if event.is_error() || matches!(upstream.wire.stream.take_error(), Ok(Some(_)) | Err(_))
            {
                return self.upstream_broken(key, Breakage::Unreachable);
            }
            if !event.is_writable() {
                return;
            }
            if upstream.wire.stream.peer_addr().is_err() {
                return;
            }
            self.connected(key);
        }
        if event.is_writable() {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                return;
            };
            // A failed write shows as a failed read, after what has arrived.
            upstream.wire.flush();
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
            upstream.wire.flush();
        }
    }

    /// Reads an answer that was not read because its caller reads slowly.
    pub(super) fn resume_reading(&mut self, exchange: Option<usize>) {
        let upstream = exchange
            .and_then(|exchange| self.exchanges.get(exchange))
            .and_then(|exchange| exchange.sending.as_ref())
            .map(|sending| sending.upstream);
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
            .is_some_and(|client| client.wire.unwritten() > MAX_OUTPUT_BYTES);
        upstream.is_paused = is_full;
        if is_full {
            return;
        }
        let end = upstream.wire.fill();
        if upstream.phase == UpstreamPhase::Idle {
            // Nothing was asked, so the end or any byte makes it unusable.
            if end != ReadEnd::Open || !upstream.wire.input.is_empty() {
                self.close_upstream(key);
            }
            return;
        }
        self.read_answer(key, end);
    }

    /// Reads the answer from the input as far as it has arrived.
    fn read_answer(&mut self, key: usize, end: ReadEnd) {
        loop {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                return;
            };
            if upstream.phase != UpstreamPhase::Busy {
                return;
            }
            if let Answering::Head = upstream.answering {
                let parsed = parse_response(&upstream.wire.input, upstream.is_head_request);
                match parsed {
                    Err(error) => {
                        tracing::debug!(address = %upstream.address, %error, "unusable answer");
                        return self.upstream_broken(key, Breakage::Broken);
                    }
                    Ok(None) if end != ReadEnd::Open => {
                        return self.upstream_broken(key, Breakage::Broken);
                    }
                    Ok(None) => return,
                    Ok(Some((head, length))) => {
                        upstream.wire.input.drain(..length);
                        if (100..200).contains(&head.status) {
                            continue;
                        }
                        self.begin_answer(key, head);
                        continue;
                    }
                }
            }
            if !self.read_content(key, end) {
                return;
            }
        }
    }

    fn begin_answer(&mut self, key: usize, head: ResponseHead) {
        let verdict = decode_verdict(&head);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let exchange = upstream.exchange;
        let is_foreign = match exchange.and_then(|exchange| self.exchanges.get(exchange)) {
            Some(exchange) => is_foreign(
                &verdict,
                &exchange.request.call.attempt,
                upstream.request_count,
            ),
            None => false,
        };
        let decoder = BodyDecoder::new(head.framing);
        upstream.answering = Answering::Body {
            head: Box::new(head.clone()),
            decoder,
            is_foreign,
        };
        if is_foreign {
            tracing::info!(
                address = %upstream.address,
                attempt = ?verdict.attempt,
                "answer to an earlier request dropped"
            );
        } else if let Some(exchange) = exchange {
            self.answer_begins(exchange, &head, &verdict);
        }
    }

    /// Reads content; false if nothing more can be done now.
    fn read_content(&mut self, key: usize, end: ReadEnd) -> bool {
        let mut content = Vec::new();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let Answering::Body {
            decoder,
            is_foreign,
            ..
        } = &mut upstream.answering
        else {
            return false;
        };
        let is_foreign = *is_foreign;
        let Ok(used) = decoder.decode(&upstream.wire.input, &mut content) else {
            self.upstream_broken(key, Breakage::Broken);
            return false;
        };
        upstream.wire.input.drain(..used);
        let ends_with_connection =
            matches!(decoder, BodyDecoder::UntilClose) && end == ReadEnd::Closed;
        let is_done = decoder.is_done() || ends_with_connection;
        let exchange = upstream.exchange;
        if is_foreign && is_done {
            upstream.answering = Answering::Head;
            upstream.is_tainted = true;
            return true;
        }
        if let Some(exchange) = exchange.filter(|_| !is_foreign && !content.is_empty()) {
            self.answer_continues(exchange, &content);
        }
        if is_done {
            self.answer_complete(key);
            return false;
        }
        if end != ReadEnd::Open {
            self.upstream_broken(key, Breakage::Broken);
        }
        false
    }

    /// The answer has arrived whole; the connection may serve another request.
    fn answer_complete(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let exchange = upstream.exchange.take();
        let answering = std::mem::replace(&mut upstream.answering, Answering::Head);
        let Answering::Body { head, .. } = answering else {
            return;
        };
        let is_reusable = head.keeps_open
            && !upstream.is_tainted
            && upstream.wire.input.is_empty()
            && upstream.wire.unwritten() == 0
            && head.framing != super::head::Framing::UntilClose;
        if is_reusable {
            let idle_ms = if upstream.is_peer {
                PEER_IDLE_MS
            } else {
                idle_ms(&head)
            };
            upstream.phase = UpstreamPhase::Idle;
            upstream.since_ms = now_ms;
            upstream.idle_limit_ms = now_ms + idle_ms;
            upstream.wire.shrink();
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
            self.answer_ends(exchange, &head);
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
                .is_some_and(|upstream| now_ms < upstream.idle_limit_ms);
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
        let _ = self.poll.registry().deregister(&mut upstream.wire.stream);
        if let Some(idle) = self.idle.get_mut(&upstream.address) {
            idle.retain(|other| *other != key);
            if idle.is_empty() {
                self.idle.remove(&upstream.address);
            }
        }
    }

    /// Ends a connection and tells its exchange.
    pub(super) fn upstream_broken(&mut self, key: usize, breakage: Breakage) {
        let exchange = self
            .upstreams
            .get(key)
            .and_then(|upstream| upstream.exchange);
        self.close_upstream(key);
        if let Some(exchange) = exchange {
            self.sending_failed(exchange, breakage);
        }
    }

    /// Ends connections that could not be made in time.
    pub(super) fn check_connecting(&mut self, now_ms: u64) {
        let late: Vec<usize> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                let limit_ms = if upstream.is_peer {
                    AWAY_CONNECT_LIMIT_MS
                } else {
                    CONNECT_LIMIT_MS
                };
                upstream.phase == UpstreamPhase::Connecting
                    && now_ms >= upstream.since_ms + limit_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.upstream_broken(key, Breakage::Unreachable);
        }
    }
}

/// Whether an answer belongs to another request than the one in progress.
///
/// An answer without an id is accepted only as the first one on a connection:
/// later ones may be left over from the request before.
fn is_foreign(verdict: &Verdict, attempt: &str, request_count: u32) -> bool {
    match &verdict.attempt {
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
