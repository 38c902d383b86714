//! Relaying of responses from endpoints and other regions.
//!
//! Events of a stream are relayed as soon as they are complete. Any other
//! response is buffered until it is complete, so that the request can still be
//! retried if the response is interrupted.

use super::{
    body::{
        write_chunk,
        write_last_chunk, //
    },
    connection::ResponseProgress,
    endpoint::Failure,
    exchange::Destination,
    head::{
        Framing,
        ResponseHead, //
    },
    load_updates::LeavingEndpoint,
    reactor::Reactor,
    response::{
        ARRIVED_HEADER,
        BodyFrame,
        CUT_OFF_HEADER,
        GatewayResponse,
        NOT_RUN_HEADER,
        SOFTWARE_VERSION_HEADER,
        UNFRAMED_HEADER,
        write_response_head, //
    },
    serve_completion::{
        MAX_SKIPPED_PLACES,
        UNREACHABLE_RETRY_MS, //
    },
    serve_upstream::UpstreamError, //
};
use crate::{
    http::message::is_refusal,
    platform::headers::{
        ResponseMetadata,
        decode_response_metadata, //
    }, //
};

/// Largest event of a stream; what is held of an event is not limited otherwise.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Resolution of the reactor's clock, which rounds down.
const CLOCK_STEP_MS: u64 = 1;

impl Reactor {
    /// Handles the head of a response.
    pub(super) fn on_response_head(
        &mut self,
        key: usize,
        head: &ResponseHead,
        metadata: &ResponseMetadata,
    ) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if let Some(Destination::Endpoint(choice)) = exchange.destination()
            && let Some(endpoint) = self.fleet.get_mut(&choice.endpoint)
            && !metadata.is_other_endpoint
        {
            if let Some(load) = metadata.load {
                endpoint.record_reported_load(load, now_ms);
            }
            if let Some(left_ms) = metadata.cold_left_ms {
                endpoint.set_cold(left_ms, now_ms);
            }
            if let Some(for_ms) = metadata.unwanted_for_ms {
                endpoint.record_unwanted(for_ms + CLOCK_STEP_MS, now_ms);
                tracing::info!(
                    endpoint = %choice.endpoint,
                    request = %exchange.request.metadata.attempt_id,
                    for_ms,
                    "endpoint wants no requests from this host for a while"
                );
            }
        }
        let is_unframed = head.header(UNFRAMED_HEADER).is_some();
        let has_events = exchange.route.is_stream && head.is_event_stream();
        // Only events can continue a stream of which the caller has a part.
        let is_success = is_success(head, metadata) && (has_events || !exchange.has_response_begun);
        if let Some(dispatch) = &mut exchange.dispatch {
            let is_from_host = matches!(dispatch.destination, Destination::Region { .. });
            exchange.answer_framing = Some(match is_unframed && is_from_host {
                true => Framing::UntilClose,
                false => head.framing,
            });
            dispatch.is_success = is_success;
            exchange.has_events = is_success && has_events;
            dispatch.progress_ms = now_ms;
            if let Destination::Region { .. } = dispatch.destination {
                let stated = head.header(SOFTWARE_VERSION_HEADER);
                dispatch.software_version = stated.and_then(|text| text.parse().ok());
            }
        }
        if !has_events || !is_success {
            exchange.buffered.clear();
        }
    }

    /// Stops sending requests to the endpoint of a response that states that it is
    /// leaving, and informs the hosts of the region.
    pub(super) fn record_leaving(&mut self, key: usize, metadata: &ResponseMetadata) {
        if !metadata.is_leaving || metadata.is_other_endpoint {
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let Some(Destination::Endpoint(choice)) = exchange.destination() else {
            return;
        };
        if !self.fleet.record_leaving(&choice.endpoint) {
            return;
        }
        tracing::info!(
            endpoint = %choice.endpoint,
            request = %exchange.request.metadata.attempt_id,
            "endpoint states that it is leaving; it gets no new requests"
        );
        if let Some(endpoint) = self.fleet.get(&choice.endpoint) {
            self.pending_update
                .record_leaving(LeavingEndpoint::new(endpoint));
        }
    }

    /// Handles a piece of a response body; returns false if the response exceeds a limit.
    pub(super) fn on_response_body(&mut self, key: usize, content: &[u8]) -> bool {
        let now_ms = self.now_ms();
        // Up to this size, a response is buffered until it is complete, so that the request can
        // still be retried.
        let grant = self.buffers.grant();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return true;
        };
        let Some(dispatch) = &mut exchange.dispatch else {
            return true;
        };
        dispatch.progress_ms = now_ms;
        let (is_success, has_events) = (dispatch.is_success, exchange.has_events);
        let Some(upstream) = self.upstreams.get(dispatch.upstream) else {
            return true;
        };
        let ResponseProgress::Body { head, .. } = &upstream.response_progress else {
            return true;
        };
        if !has_events {
            exchange.buffered.extend_from_slice(content);
            if exchange.buffered.len() <= grant.0 {
                return true;
            }
            if is_success {
                let head = head.clone();
                self.write_head_once(key, &head);
                let exchange = &mut self.exchanges[key];
                let buffered = std::mem::take(&mut exchange.buffered);
                self.write_body_chunk(key, &buffered);
            }
            return is_success;
        }
        let mut complete_events = Vec::new();
        let earlier_count = exchange.events.complete_count();
        exchange.events.push(content, &mut complete_events);
        let event_count = exchange.events.complete_count() - earlier_count;
        if exchange.events.partial().len() > MAX_EVENT_BYTES {
            return false;
        }
        if complete_events.is_empty() {
            return true;
        }
        let unwritten_head = (!exchange.has_response_begun).then(|| head.clone());
        self.record_first_event(key, now_ms);
        self.record_events(key, event_count, now_ms);
        self.record_origin(key, now_ms);
        if let Some(head) = unwritten_head {
            self.write_head_once(key, &head);
        }
        self.write_body_chunk(key, &complete_events);
        true
    }

    /// Records the first event, or the response, of the current dispatch.
    pub(super) fn record_first_event(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(dispatch) = &mut exchange.dispatch else {
            return;
        };
        if dispatch.has_begun {
            return;
        }
        dispatch.has_begun = true;
        exchange.first_event_at_ms.get_or_insert(now_ms);
        let actual_ms = now_ms.saturating_sub(dispatch.sent_ms) as f64;
        self.telemetry
            .observe_first_event(now_ms.saturating_sub(exchange.arrived_ms));
        if let Destination::Endpoint(choice) = &dispatch.destination {
            let choice = choice.clone();
            let service = exchange.route.service.clone();
            if let Some(endpoint) = self.fleet.get_mut(&choice.endpoint) {
                endpoint.record_first_event(choice.work);
                self.pending_update.record_change(&choice.endpoint);
                endpoint.record_success_of(actual_ms, choice.first_event_ms, choice.slowness);
            }
            if exchange.route.is_stream {
                self.fleet
                    .record_first_event_time(&service, &choice, actual_ms);
            }
        }
    }

    /// Records events of the current dispatch, which show the pace of its endpoint.
    fn record_events(&mut self, key: usize, event_count: u64, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        exchange.last_event_at_ms = Some(now_ms);
        let Some(dispatch) = &mut exchange.dispatch else {
            return;
        };
        // Nothing is known of the time before the first event but that of the prompt.
        let Some(last_ms) = dispatch.last_event_ms.replace(now_ms) else {
            return;
        };
        if let Destination::Endpoint(choice) = &dispatch.destination
            && let Some(endpoint) = self.fleet.get_mut(&choice.endpoint)
        {
            let waited_ms = now_ms.saturating_sub(last_ms);
            endpoint.pace.record(event_count, waited_ms, now_ms);
        }
    }

    /// Writes the response head to the caller unless it has been written.
    pub(super) fn write_head_once(&mut self, key: usize, head: &ResponseHead) {
        let is_leaving = self.shutdown_started_ms.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if exchange.has_response_begun {
            return;
        }
        exchange.has_response_begun = true;
        let Some(inbound) = exchange
            .inbound
            .and_then(|inbound| self.inbound.get_mut(inbound))
        else {
            return;
        };
        let frame = exchange.begun_frame();
        if frame == BodyFrame::UntilClose {
            inbound.begin_unframed_response();
        }
        inbound.is_closing |= is_leaving;
        let is_closing = inbound.is_closing;
        let statements = exchange.host_statements();
        write_response_head(head, frame, statements, is_closing, inbound.socket.output());
    }

    pub(super) fn write_body_chunk(&mut self, key: usize, content: &[u8]) {
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let Some(inbound_key) = exchange.inbound else {
            return;
        };
        if let Some(inbound) = self.inbound.get_mut(inbound_key) {
            match exchange.begun_frame() {
                BodyFrame::UntilClose => inbound.socket.queue(content),
                _ => write_chunk(content, inbound.socket.output()),
            }
        }
        self.flush_inbound(inbound_key);
    }

    /// Handles the end of a complete response.
    pub(super) fn on_response_end(&mut self, key: usize, head: &ResponseHead) {
        let now_ms = self.now_ms();
        let metadata = decode_response_metadata(head);
        let is_refused_by_host = self.is_refused_by_host(key, head.status);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(dispatch) = &exchange.dispatch else {
            return;
        };
        let (is_success, has_events) = (dispatch.is_success, exchange.has_events);
        let is_not_run = states_not_run(&dispatch.destination, head, &metadata);
        if is_not_run && is_refused_by_host {
            self.end_dispatch(key, Some(Failure::Shed), now_ms);
            return self.end_unservable(key);
        }
        if is_not_run && !is_success {
            let failure = match metadata.is_other_endpoint {
                true => Failure::Replaced,
                false => Failure::Shed,
            };
            let is_from_host = matches!(dispatch.destination, Destination::Region { .. });
            if is_from_host && head.header(CUT_OFF_HEADER).is_some() {
                return self.leave_cut_off_host(key, now_ms);
            }
            let has_arrived = is_from_host && head.header(ARRIVED_HEADER).is_some();
            return self.handle_not_run(key, failure, has_arrived);
        }
        if has_events && exchange.is_stream_cut() {
            return self.dispatch_failed(key, UpstreamError::Broken);
        }
        if is_success {
            self.record_first_event(key, now_ms);
            return self.finish_success(key, head, now_ms);
        }
        let failure = if (200..300).contains(&head.status) {
            Failure::Broken
        } else {
            Failure::Error
        };
        let is_unstated_refusal = is_refusal(head.status);
        if is_unstated_refusal {
            tracing::warn!(
                request = %exchange.request.metadata.attempt_id,
                destination = %dispatch.destination.name(),
                status = head.status,
                "refusal without a statement that the request was not run; it may have run"
            );
        }
        let is_server_error =
            head.status >= 500 || failure == Failure::Broken || is_unstated_refusal;
        if is_server_error {
            self.avoid_destination(key);
            self.end_dispatch(key, Some(failure), now_ms);
            if self.try_retry(key, "endpoint failed") {
                return;
            }
        } else {
            self.end_dispatch(key, None, now_ms);
        }
        if self.exchanges[key].has_response_begun {
            return self.cut_off(key, "endpoint failed during the answer");
        }
        if failure == Failure::Broken {
            return self.fail(key, "unusable answer", GatewayResponse::new(502));
        }
        if is_unstated_refusal {
            return self.fail(
                key,
                "refusal without a statement",
                GatewayResponse::new(502),
            );
        }
        self.relay_response(key, head);
    }

    /// Ends a request whose response is complete; does nothing if its caller has
    /// disconnected in the meantime.
    pub(super) fn finish_success(&mut self, key: usize, head: &ResponseHead, now_ms: u64) {
        self.record_sound(key, now_ms);
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if let Some(dispatch) = &exchange.dispatch
            && matches!(dispatch.destination, Destination::Endpoint(_))
        {
            let run_ms = now_ms.saturating_sub(dispatch.sent_ms) as f64;
            self.fleet.record_run_time(&exchange.route.service, run_ms);
        }
        self.end_dispatch(key, None, now_ms);
        self.relay_response(key, head);
    }

    /// Relays a complete response, or the rest of one that has begun.
    pub(super) fn relay_response(&mut self, key: usize, head: &ResponseHead) {
        let is_leaving = self.shutdown_started_ms.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let buffered = std::mem::take(&mut exchange.buffered);
        let begun_frame = exchange.begun_frame();
        let has_begun = exchange.has_response_begun;
        let statements = exchange.host_statements();
        if let Some(inbound) = exchange
            .inbound
            .and_then(|inbound| self.inbound.get_mut(inbound))
        {
            inbound.is_closing |= is_leaving;
            match begun_frame {
                BodyFrame::Chunked if has_begun => {
                    write_chunk(&buffered, inbound.socket.output());
                    write_last_chunk(inbound.socket.output());
                }
                BodyFrame::UntilClose if has_begun => inbound.socket.queue(&buffered),
                _ => {
                    let frame = match begun_frame {
                        BodyFrame::UntilClose => BodyFrame::UntilClose,
                        _ => BodyFrame::Length(buffered.len() as u64),
                    };
                    if frame == BodyFrame::UntilClose {
                        inbound.begin_unframed_response();
                    }
                    let is_closing = inbound.is_closing;
                    let output = inbound.socket.output();
                    write_response_head(head, frame, statements, is_closing, output);
                    inbound.socket.queue(&buffered);
                }
            }
            inbound.is_response_whole = true;
        }
        self.end_exchange(key, "answered", head.status);
    }

    /// Takes a retry for a request that an endpoint of another region has refused.
    fn try_take_after_arrival(&mut self, key: usize, now_ms: u64) -> bool {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return false;
        };
        exchange.has_arrived = true;
        let service = exchange.route.service.clone();
        let attempt = exchange.request.metadata.attempt_id.clone();
        let is_allowed = self.try_take_retry(&service, now_ms);
        tracing::info!(
            request = %attempt,
            has_arrived = true,
            is_allowed,
            "request refused in another region"
        );
        is_allowed
    }

    /// Sends a request to another host because the one that it was forwarded to reaches no
    /// endpoint.
    fn leave_cut_off_host(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if let Some(Destination::Region { host, .. }) = exchange.destination().cloned() {
            self.hosts.record_cut_off(&host, now_ms);
            exchange.excluded_hosts.push(host);
        }
        exchange.skip_count += 1;
        let has_attempts_left = exchange.skip_count < MAX_SKIPPED_PLACES;
        self.end_dispatch(key, Some(Failure::Shed), now_ms);
        match has_attempts_left {
            true => self.place_exchange(key),
            false => self.refuse(key, "no endpoint could be reached", UNREACHABLE_RETRY_MS),
        }
    }

    /// Handles the statement of an endpoint or region that it did not run the
    /// request; `has_arrived` if an endpoint of the region has refused it.
    pub(super) fn handle_not_run(&mut self, key: usize, failure: Failure, has_arrived: bool) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let destination = exchange.destination().cloned();
        exchange.buffered.clear();
        match destination {
            Some(Destination::Endpoint(choice)) => {
                exchange.skip_endpoint(choice.endpoint.clone(), failure);
                self.end_dispatch(key, Some(failure), now_ms);
                let service = self.exchanges[key].route.service.clone();
                let has_attempts_left = self.exchanges[key].skip_count < MAX_SKIPPED_PLACES;
                if has_attempts_left && self.try_take_retry(&service, now_ms) {
                    return self.place_exchange(key);
                }
                let retry_ms = self.fleet.unwanted_for_ms(&service, now_ms);
                self.refuse(
                    key,
                    "endpoint full",
                    retry_ms.unwrap_or(UNREACHABLE_RETRY_MS),
                );
            }
            Some(Destination::Region { region, .. }) => {
                exchange.excluded_regions.push(region);
                self.end_dispatch(key, Some(failure), now_ms);
                if has_arrived && !self.try_take_after_arrival(key, now_ms) {
                    return self.refuse(key, "endpoint full", UNREACHABLE_RETRY_MS);
                }
                self.place_exchange(key);
            }
            None => {}
        }
    }
}

/// Returns whether a response is a signed success with an unencoded body.
fn is_success(head: &ResponseHead, metadata: &ResponseMetadata) -> bool {
    (200..300).contains(&head.status)
        && metadata.is_signed
        && head.header("content-encoding").is_none()
}

/// Returns whether a response states that its sender did not run the request: an endpoint in the
/// words of the platform, a host in those of hosts.
///
/// An endpoint that is not the expected one states it by its status alone.
fn states_not_run(sender: &Destination, head: &ResponseHead, metadata: &ResponseMetadata) -> bool {
    match sender {
        Destination::Endpoint(choice) => {
            let is_other =
                metadata.is_other_endpoint && metadata.endpoint.as_ref() != Some(&choice.endpoint);
            metadata.is_not_run || is_other
        }
        Destination::Region { .. } => head.header(NOT_RUN_HEADER).is_some(),
    }
}
