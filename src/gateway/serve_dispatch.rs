//! Sends a request to an endpoint or to another region.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use compact_str::{
    CompactString,
    format_compact, //
};

use super::{
    admission::RemoteOffer,
    connection::UpstreamPhase,
    exchange::{
        Destination,
        Dispatch,
        PlacementRecord, //
    },
    fleet::Choice,
    head::Framing,
    hosts::HostInfo,
    reactor::Reactor,
    response::{
        ACCOUNT_HEADER,
        FORWARD_HEADER,
        write_request_start, //
    },
    serve_completion::UNREACHABLE_RETRY_MS,
    serve_upstream::UpstreamError, //
};
use crate::{
    platform::headers::{
        EndpointHeaders,
        is_of_account,
        is_relayed, //
    },
    types::Tokens,
};

/// Weight of a new sample in the moving average of a round trip.
const ROUND_TRIP_LEARN_WEIGHT: f64 = 0.2;

impl Reactor {
    pub(super) fn send_to_endpoint(&mut self, key: usize, choice: Choice) {
        let now_ms = self.now_ms();
        let Some(endpoint) = self.fleet.get_mut(&choice.endpoint) else {
            return;
        };
        let address = endpoint.announcement.address;
        let software_version = endpoint.announcement.software_version.clone();
        let start = endpoint.start();
        let known_version = endpoint.is_start_known().then(|| software_version.clone());
        let cold_left_ms = endpoint.cold_left_ms(now_ms);
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        endpoint.record_send(choice.work, now_ms);
        let prefill = Tokens(choice.work.uncached_tokens);
        let (service, priority) = (&exchange.route.service, exchange.route.priority);
        let metadata = &exchange.request.metadata;
        endpoint.record_prompt(metadata, now_ms + choice.first_event_ms as u64);
        self.pending_update
            .record_send(&choice, endpoint.hash, metadata);
        self.fleet
            .record_prefill(service, priority, prefill, now_ms);
        self.fleet.record_shared_parts(metadata);
        // Engines preempt running streams for more urgent requests, which pauses these for longer
        // than a gap goal allows. Hosts send the most urgent of the waiting requests first.
        let may_preempt = self.gap_goal(&exchange.route.service).is_none();
        let headers = EndpointHeaders {
            endpoint: Some(choice.endpoint.clone()),
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms).max(1),
            priority: exchange
                .route
                .priority
                .filter(|_| may_preempt && !exchange.request.metadata.parts.is_empty()),
            last_event_id: self.resume_header(key),
            fetch_from: choice.fetch_from,
            account: exchange.request.account.name().cloned(),
        };
        self.exchanges[key].placement = Some(PlacementRecord {
            destination: choice.endpoint.clone(),
            software_version: Some(software_version),
            predicted_ms: choice.first_event_ms as u64,
            backlog_ms: choice.backlog_ms as u64,
            uncached_tokens: choice.work.uncached_tokens,
            cold_left_ms,
            sent_ms: now_ms,
        });
        tracing::debug!(
            request = %self.exchanges[key].request.metadata.attempt_id,
            endpoint = %choice.endpoint,
            predicted_ms = choice.first_event_ms as u64,
            backlog_ms = choice.backlog_ms as u64,
            "request sent"
        );
        let destination = Destination::Endpoint(choice);
        self.send(key, address, destination, &headers, None);
        let exchange = self.exchanges.get_mut(key);
        if let Some(dispatch) = exchange.and_then(|exchange| exchange.dispatch.as_mut()) {
            dispatch.software_version = known_version;
            dispatch.start = Some(start);
        }
    }

    pub(super) fn send_to_region(&mut self, key: usize, offer: RemoteOffer) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let excluded = exchange.excluded_hosts.clone();
        match self.random_reaching_host(&offer.region, &excluded, now_ms) {
            Some(host) => self.send_to_host(key, offer, host),
            None => self.refuse(key, "no host of the region", UNREACHABLE_RETRY_MS),
        }
    }

    /// Sends a request to a host of another region.
    pub(super) fn send_to_host(&mut self, key: usize, offer: RemoteOffer, host: HostInfo) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let mut route = exchange.route.clone();
        // Retries are decided in this region alone, so that two regions cannot
        // both use up the attempts.
        route.max_attempts = 1;
        route.timeout_ms = exchange.deadline_ms.saturating_sub(now_ms);
        // The latency goal no longer decides about a request that has run.
        route.goal_ms = match exchange.has_run() {
            true => route.timeout_ms,
            false => exchange.goal_at_ms.saturating_sub(now_ms),
        };
        let encoded = match route.encode() {
            Ok(encoded) => encoded,
            Err(error) => {
                tracing::error!(%error, "could not encode the route of a forwarded request; request is refused");
                return self.refuse(key, "plan could not be encoded", UNREACHABLE_RETRY_MS);
            }
        };
        let headers = EndpointHeaders {
            endpoint: None,
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms).max(1),
            priority: None,
            last_event_id: self.resume_header(key),
            fetch_from: None,
            account: exchange.request.account.name().cloned(),
        };
        let service = exchange.route.service.clone();
        tracing::debug!(
            request = %exchange.request.metadata.attempt_id,
            region = %offer.region,
            host = %host.name,
            predicted_ms = offer.first_event_ms as u64,
            "request sent to another host"
        );
        self.exchanges[key].placement = Some(PlacementRecord {
            destination: format_compact!("{}/{}", offer.region, host.name),
            software_version: None,
            predicted_ms: offer.first_event_ms as u64,
            backlog_ms: 0,
            uncached_tokens: 0,
            cold_left_ms: 0,
            sent_ms: now_ms,
        });
        let request = Rc::clone(&self.exchanges[key].request);
        let service = self.service(&service);
        let work_ms = self.fleet.service_ms(&service, &request.metadata, now_ms);
        self.hosts
            .record_remote_work(&offer.region, &service.name, work_ms);
        let needed_tokens = self.expected_memory(&self.exchanges[key]);
        self.hosts
            .record_remote_memory(&offer.region, &service.name, needed_tokens);
        self.fleet
            .record_remote_prompt(&offer.region, &request.metadata, now_ms);
        match offer.region == self.settings.host.region {
            true => self.telemetry.count_neighbour(),
            false => self.telemetry.count_remote(),
        }
        let destination = Destination::Region {
            region: offer.region,
            host: host.name,
        };
        self.send(key, host.peer_address, destination, &headers, Some(encoded));
    }

    /// Returns the id of the event after which the next endpoint has to continue.
    pub(super) fn resume_header(&self, key: usize) -> Option<CompactString> {
        let exchange = self.exchanges.get(key)?;
        exchange.resume_after()
    }

    pub(super) fn send(
        &mut self,
        key: usize,
        address: SocketAddr,
        destination: Destination,
        headers: &EndpointHeaders,
        forward: Option<String>,
    ) {
        let now_ms = self.now_ms();
        let bytes = self.encode_request(key, headers, forward.as_deref());
        let is_peer = forward.is_some();
        let attempt = match self.exchanges.get(key) {
            Some(exchange) => exchange.request.metadata.attempt(),
            None => return,
        };
        let upstream = match self.take_idle(address, attempt, now_ms) {
            Some(upstream) => Some(upstream),
            None => self.open_for(&destination, address),
        };
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if exchange.is_waiting {
            exchange.is_waiting = false;
            self.waiting.retain(|other| *other != key);
        }
        let dispatch = Dispatch {
            destination,
            upstream: upstream.unwrap_or(usize::MAX),
            sent_ms: now_ms,
            has_begun: false,
            is_success: false,
            progress_ms: now_ms,
            last_event_ms: None,
            software_version: None,
            start: None,
            next_move_ms: now_ms,
        };
        exchange.dispatch = Some(dispatch);
        let Some(upstream) = upstream else {
            return self.dispatch_failed(key, UpstreamError::Unreachable);
        };
        let is_head_request = exchange.request.head.method == "HEAD";
        let connection = &mut self.upstreams[upstream];
        connection.begin_request(attempt, now_ms);
        if is_head_request {
            connection.sent.record_head();
        }
        connection.exchange = Some(key);
        connection.has_carried_request = true;
        connection.is_peer = is_peer;
        connection.socket.queue(&bytes);
        if connection.phase == UpstreamPhase::Idle {
            connection.phase = UpstreamPhase::Busy;
            // A write error also shows up as a read error.
            connection.socket.flush();
        }
    }

    /// Opens a connection for a request, in place of an idle one that can't carry it.
    fn open_for(&mut self, destination: &Destination, address: SocketAddr) -> Option<usize> {
        self.telemetry.count_connection();
        let Destination::Endpoint(choice) = destination else {
            self.close_replaced(address);
            return self.connect(address, None);
        };
        match self.begin_replacement(address, &choice.endpoint) {
            Some(replaced) => Some(replaced),
            None => self.connect(address, Some(&choice.endpoint)),
        }
    }

    pub(super) fn encode_request(
        &self,
        key: usize,
        headers: &EndpointHeaders,
        forward: Option<&str>,
    ) -> Vec<u8> {
        let Some(exchange) = self.exchanges.get(key) else {
            return Vec::new();
        };
        let request = &exchange.request;
        let is_resumed = headers.last_event_id.is_some();
        let is_checked = request.account.is_checked();
        let mut bytes = Vec::with_capacity(request.body.len() + 768);
        write_request_start(
            &request.head,
            |header| is_relayed(header, is_resumed) && !(is_checked && is_of_account(header)),
            &mut bytes,
        );
        headers.write(&mut bytes);
        if let Some(encoded_route) = forward {
            bytes.extend_from_slice(format!("{FORWARD_HEADER}: {encoded_route}\r\n").as_bytes());
            if let Some(account) = request.account.header_value() {
                bytes.extend_from_slice(format!("{ACCOUNT_HEADER}: {account}\r\n").as_bytes());
            }
        }
        let had_length = request.head.header("content-length").is_some();
        if !request.body.is_empty() || had_length || request.head.framing == Framing::Chunked {
            let length = request.body.len();
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&request.body);
        bytes
    }

    /// Updates the round trip to a region with the time a connection took.
    pub(super) fn record_connected(&mut self, exchange: Option<usize>, connect_ms: u64) {
        let dispatch = exchange
            .and_then(|exchange| self.exchanges.get(exchange))
            .and_then(|exchange| exchange.dispatch.as_ref());
        if let Some(Destination::Region { region, .. }) =
            dispatch.map(|dispatch| &dispatch.destination)
        {
            let measured = connect_ms as f64;
            let known = self.round_trip_ms.entry(region.clone()).or_insert(measured);
            *known += ROUND_TRIP_LEARN_WEIGHT * (measured - *known);
        }
    }
}
