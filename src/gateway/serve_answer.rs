//! Passing on the answer of an endpoint or of another region.
//!
//! Events of a stream are passed on as soon as they are whole. Any other answer
//! is held until it is complete, so that a broken one can still be replaced.

use super::{
    answer::{
        BodyFrame,
        NOT_RUN_HEADER,
        OwnAnswer,
        write_head, //
    },
    body::{
        write_chunk,
        write_last_chunk, //
    },
    connection::Answering,
    endpoint::Failure,
    exchange::{
        Destination,
        Sending, //
    },
    head::ResponseHead,
    reactor::Reactor,
    serve_ending::{
        MAX_EXCLUDED,
        UNREACHABLE_RETRY_MS, //
    }, //
};
use crate::platform::headers::{
    Verdict,
    decode_verdict, //
};

/// Answers up to this size are passed on only when they are complete, so that a
/// broken one can still be replaced.
const MAX_HELD_BYTES: usize = 512 * 1024;

impl Reactor {
    /// The head of an answer has arrived.
    pub(super) fn answer_begins(&mut self, key: usize, head: &ResponseHead, verdict: &Verdict) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if let Some(Sending {
            destination: Destination::Endpoint(choice),
            ..
        }) = &exchange.sending
            && let Some(endpoint) = self.fleet.get_mut(&choice.endpoint)
        {
            if let Some(load) = verdict.load {
                endpoint.record_reported_load(load, now_ms);
            }
            if let Some(left_ms) = verdict.cold_left_ms {
                endpoint.set_cold(left_ms, now_ms);
            }
        }
        let is_good = is_good(head, verdict);
        if let Some(sending) = &mut exchange.sending {
            sending.is_good = is_good;
            sending.progress_ms = now_ms;
        }
        if !exchange.plan.is_stream || !is_good {
            exchange.held.clear();
        }
    }

    /// Content of an answer has arrived.
    pub(super) fn answer_continues(&mut self, key: usize, content: &[u8]) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = &mut exchange.sending else {
            return;
        };
        sending.progress_ms = now_ms;
        let is_good = sending.is_good;
        let Some(upstream) = self.upstreams.get(sending.upstream) else {
            return;
        };
        let Answering::Body { head, .. } = &upstream.answering else {
            return;
        };
        if !exchange.plan.is_stream || !is_good {
            exchange.held.extend_from_slice(content);
            if exchange.held.len() > MAX_HELD_BYTES && is_good {
                let head = head.clone();
                self.begin_reply(key, &head);
                let exchange = &mut self.exchanges[key];
                let held = std::mem::take(&mut exchange.held);
                self.write_reply(key, &held);
            }
            return;
        }
        let mut whole = Vec::new();
        exchange.events.push(content, &mut whole);
        if whole.is_empty() {
            return;
        }
        let head = head.clone();
        self.first_event(key, now_ms);
        self.begin_reply(key, &head);
        self.write_reply(key, &whole);
    }

    /// The first event, or the answer, of the present sending has arrived.
    pub(super) fn first_event(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = &mut exchange.sending else {
            return;
        };
        if sending.has_begun {
            return;
        }
        sending.has_begun = true;
        exchange.first_event_at_ms.get_or_insert(now_ms);
        let actual_ms = now_ms.saturating_sub(sending.sent_ms) as f64;
        self.telemetry
            .observe_first_event(now_ms.saturating_sub(exchange.arrived_ms));
        if let Destination::Endpoint(choice) = &sending.destination {
            let choice = choice.clone();
            let service = exchange.plan.service.clone();
            if let Some(endpoint) = self.fleet.get_mut(&choice.endpoint) {
                endpoint.record_first_event(choice.work);
                self.pending_update.record_change(&choice.endpoint);
                endpoint.record_success(actual_ms, choice.first_event_ms);
            }
            if exchange.plan.is_stream {
                self.fleet
                    .record_first_event_time(&service, &choice, actual_ms);
            }
        }
    }

    /// Writes the head of the answer to the caller, once.
    pub(super) fn begin_reply(&mut self, key: usize, head: &ResponseHead) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if exchange.has_reply_begun {
            return;
        }
        exchange.has_reply_begun = true;
        let Some(client) = exchange
            .client
            .and_then(|client| self.clients.get_mut(client))
        else {
            return;
        };
        client.closes |= is_leaving;
        let closes = client.closes;
        write_head(head, BodyFrame::Chunked, closes, client.wire.output());
    }

    pub(super) fn write_reply(&mut self, key: usize, content: &[u8]) {
        let client = self.exchanges.get(key).and_then(|exchange| exchange.client);
        let Some(client_key) = client else {
            return;
        };
        if let Some(client) = self.clients.get_mut(client_key) {
            write_chunk(content, client.wire.output());
        }
        self.flush_client(client_key);
    }

    /// The answer of an endpoint or another region is complete.
    pub(super) fn answer_ends(&mut self, key: usize, head: &ResponseHead) {
        let now_ms = self.now_ms();
        let verdict = decode_verdict(head);
        let is_good = is_good(head, &verdict);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let is_not_run = verdict.is_not_run || head.header(NOT_RUN_HEADER).is_some();
        if is_not_run && !is_good {
            let failure = match verdict.is_other_endpoint {
                true => Failure::Replaced,
                false => Failure::Shed,
            };
            return self.not_run(key, head, failure);
        }
        if exchange.plan.is_stream && is_good {
            let rest = exchange.events.partial().to_vec();
            if !rest.is_empty() {
                // Not an event, but part of the endpoint's body.
                self.begin_reply(key, head);
                self.write_reply(key, &rest);
            }
            self.first_event(key, now_ms);
            return self.finish_good(key, head, now_ms);
        }
        if is_good {
            self.first_event(key, now_ms);
            return self.finish_good(key, head, now_ms);
        }
        let failure = if (200..300).contains(&head.status) {
            Failure::Broken
        } else {
            Failure::Error
        };
        let is_server_error = head.status >= 500 || failure == Failure::Broken;
        if is_server_error {
            self.avoid_destination(key);
            self.end_sending(key, Some(failure), now_ms);
            if self.repeat(key, "endpoint failed") {
                return;
            }
        } else {
            self.end_sending(key, None, now_ms);
        }
        if self.exchanges[key].has_reply_begun {
            return self.cut_off(key, "endpoint failed during the answer");
        }
        if failure == Failure::Broken {
            return self.fail(key, "unusable answer", OwnAnswer::plain(502));
        }
        self.pass_on(key, head);
    }

    pub(super) fn finish_good(&mut self, key: usize, head: &ResponseHead, now_ms: u64) {
        let sent_ms = self
            .exchanges
            .get(key)
            .and_then(|exchange| exchange.sending.as_ref())
            .map(|sending| sending.sent_ms);
        let service = self.exchanges[key].plan.service.clone();
        if let Some(sent_ms) = sent_ms {
            let is_here = matches!(
                self.exchanges[key].destination(),
                Some(Destination::Endpoint(_))
            );
            if is_here {
                self.fleet
                    .record_run_time(&service, now_ms.saturating_sub(sent_ms) as f64);
            }
        }
        self.end_sending(key, None, now_ms);
        self.pass_on(key, head);
    }

    /// Passes on a complete answer, or the end of one that has begun.
    pub(super) fn pass_on(&mut self, key: usize, head: &ResponseHead) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut exchange.held);
        let has_begun = exchange.has_reply_begun;
        if let Some(client) = exchange
            .client
            .and_then(|client| self.clients.get_mut(client))
        {
            client.closes |= is_leaving;
            if has_begun {
                write_chunk(&held, client.wire.output());
                write_last_chunk(client.wire.output());
            } else {
                let closes = client.closes;
                let frame = BodyFrame::Length(held.len() as u64);
                write_head(head, frame, closes, client.wire.output());
                client.wire.queue(&held);
            }
        }
        self.end_exchange(key, "answered", head.status);
    }

    /// The endpoint or region says that it did not run the request.
    pub(super) fn not_run(&mut self, key: usize, head: &ResponseHead, failure: Failure) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let destination = exchange.destination().cloned();
        exchange.held.clear();
        let retry_ms = head
            .header("retry-after")
            .and_then(|seconds| seconds.parse::<f64>().ok())
            .map_or(UNREACHABLE_RETRY_MS, |seconds| (seconds * 1_000.0) as u64);
        match destination {
            Some(Destination::Endpoint(choice)) => {
                exchange.excluded.push(choice.endpoint.clone());
                self.end_sending(key, Some(failure), now_ms);
                let service = self.exchanges[key].plan.service.clone();
                let tries_left = self.exchanges[key].excluded.len() < MAX_EXCLUDED;
                let hosts = self.hosts.live_count(now_ms);
                if tries_left && self.budget.take(&service, hosts, now_ms) {
                    return self.place_exchange(key);
                }
                self.refuse(key, "endpoint full", retry_ms);
            }
            Some(Destination::Region { region, .. }) => {
                exchange.excluded_regions.push(region);
                self.end_sending(key, None, now_ms);
                self.place_exchange(key);
            }
            None => {}
        }
    }
}

/// Whether an answer is a whole success of the endpoint.
fn is_good(head: &ResponseHead, verdict: &Verdict) -> bool {
    (200..300).contains(&head.status)
        && verdict.is_sealed
        && head.header("content-encoding").is_none()
}
