//! The course of a request: placing, sending, passing on, repeating, ending.
//!
//! A request that may not run twice goes to another endpoint only if nothing of
//! it was sent, or if the endpoint says that it did not run it. Only code that
//! holds the unsent request tells a caller that it has not run.

use std::rc::Rc;

use compact_str::{
    CompactString,
    format_compact, //
};

use super::{
    admission::{
        AwayOffer,
        Placement,
        Situation,
        place, //
    },
    answer::{
        BodyFrame,
        FORWARD_HEADER,
        NOT_RUN_HEADER,
        OwnAnswer,
        write_head,
        write_own,
        write_request_start, //
    },
    body::{
        write_chunk,
        write_last_chunk, //
    },
    configuration::Service,
    connection::{
        Answering,
        UpstreamPhase, //
    },
    endpoint::Failure,
    events::EventSplitter,
    exchange::{
        CallerRequest,
        Destination,
        Exchange,
        Placed,
        Plan,
        Refused,
        Reply,
        Sending, //
    },
    fleet::{
        Choice,
        Demand, //
    },
    head::{
        Framing,
        ResponseHead, //
    },
    hosts::HostInfo,
    reactor::Reactor,
    serve_endpoint::Breakage, //
};
use crate::platform::headers::{
    EndpointHeaders,
    Verdict,
    is_passed_on, //
};

/// Time limit of a request that states none.
const DEFAULT_TIME_LIMIT_MS: u64 = 30_000;
/// Round trip to another region before one was measured.
const DEFAULT_ROUND_TRIP_MS: f64 = 150.0;
/// Age beyond which another region's load is not believed: several beacons.
const MAX_AWAY_AGE_MS: u64 = 2_500;
/// Placements tried in one pass over the waiting requests of a service.
const MAX_PLACEMENTS: usize = 24;
/// Endpoints tried for one request that none of them has run. Those that are
/// gone say so within milliseconds.
const MAX_EXCLUDED: usize = 8;
/// When a caller may come back after a failure to reach any endpoint.
const UNREACHABLE_RETRY_MS: u64 = 300;
/// Answers up to this size are passed on only when they are complete, so that a
/// broken one can still be replaced.
const MAX_HELD_BYTES: usize = 512 * 1024;
/// Least time without progress after which a request that may run again is
/// sent to another endpoint.
const MIN_STALL_MS: u64 = 1_200;
/// The same for a request in another region, which is predicted less well.
const AWAY_STALL_MS: u64 = 2_500;
/// Factor on the predicted time until the first event for the same purpose.
const STALL_FACTOR: f64 = 4.0;

impl Reactor {
    pub(super) fn start_exchange(
        &mut self,
        client: usize,
        request: CallerRequest,
        plan: Plan,
        configuration_version: u64,
        is_forwarded: bool,
    ) {
        let now_ms = self.now_ms();
        let time_limit_ms = request.call.time_limit_ms.unwrap_or(DEFAULT_TIME_LIMIT_MS);
        self.budget.record_request(&plan.service, now_ms);
        self.next_serial += 1;
        let exchange = Exchange {
            serial: self.next_serial,
            client: Some(client),
            is_forwarded,
            request: Rc::new(request),
            configuration_version,
            arrived_ms: now_ms,
            goal_at_ms: now_ms + plan.goal_ms,
            deadline_ms: now_ms + time_limit_ms.min(plan.timeout_ms),
            plan,
            run_count: 0,
            excluded: Vec::new(),
            avoided: Vec::new(),
            excluded_regions: Vec::new(),
            is_waiting: false,
            sending: None,
            placed: None,
            refused: None,
            first_event_at_ms: None,
            reply: Reply::None,
            events: EventSplitter::new(),
            held: Vec::new(),
        };
        let key = self.exchanges.insert(exchange);
        if let Some(client) = self.clients.get_mut(client) {
            client.exchange = Some(key);
        }
        self.place_exchange(key);
    }

    /// Decides where a request goes now.
    fn place_exchange(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(situation) = self.situation(key, now_ms) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let inputs = Refused {
            here_ms: situation
                .here
                .as_ref()
                .map(|choice| (choice.first_event_ms + situation.queue_ms) as u64),
            queue_ms: situation.queue_ms as u64,
            away_ms: situation
                .away
                .as_ref()
                .map(|offer| offer.first_event_ms as u64),
            retry_ms: 0,
        };
        match place(situation) {
            Placement::Send(choice) => self.send_to_endpoint(key, choice),
            Placement::Away(offer) => self.send_away(key, offer),
            Placement::Wait => {
                if !exchange.is_waiting {
                    exchange.is_waiting = true;
                    self.waiting.push(key);
                }
            }
            Placement::Refuse(retry_ms) => {
                exchange.refused = Some(Refused { retry_ms, ..inputs });
                self.refuse(key, "no capacity in time", retry_ms);
            }
        }
    }

    fn situation(&mut self, key: usize, now_ms: u64) -> Option<Situation> {
        let exchange = self.exchanges.get(key)?;
        let plan = &exchange.plan;
        let service = self.service(&plan.service);
        let is_home = plan.allows_region(&self.settings.host.region);
        let goal_left_ms = exchange.goal_at_ms.saturating_sub(now_ms) as f64;
        let time_left_ms = exchange.deadline_ms.saturating_sub(now_ms) as f64;
        let choose = |excluded: &[CompactString]| {
            let demand = Demand {
                service: &service,
                call: &exchange.request.call,
                excluded,
                region: &self.region_view,
                goal_left_ms,
                time_left_ms,
            };
            self.fleet.choose(&demand, now_ms)
        };
        let unwanted = [exchange.excluded.as_slice(), exchange.avoided.as_slice()].concat();
        let away = self.away_offer(exchange, &service, now_ms);
        let untried = is_home.then(|| choose(&unwanted)).flatten();
        // An endpoint that failed the request is only tried again if no other
        // region can be.
        let here = match untried {
            None if is_home && away.is_none() => choose(&exchange.excluded),
            untried => untried,
        };
        let queue_ms = self.queue_ms(&service, Some(key), now_ms);
        Some(Situation {
            here,
            queue_ms,
            away,
            goal_left_ms,
            goal_ms: plan.goal_ms as f64,
            time_left_ms,
            is_waiting: exchange.is_waiting,
        })
    }

    /// The service with this name, or one of which only the name is known.
    fn service(&self, name: &str) -> Service {
        let known = self
            .configuration
            .as_ref()
            .and_then(|known| known.service(name));
        known.cloned().unwrap_or_else(|| Service {
            name: name.into(),
            max_connections: None,
            cold_ms: 0,
            cold_per_s: 0.0,
            engine: None,
        })
    }

    /// Time that the requests take which wait here and come before `key`, or
    /// all that wait if there is none.
    pub(super) fn queue_ms(&self, service: &Service, key: Option<usize>, now_ms: u64) -> f64 {
        let own_ms = self.own_queue_ms(service, key, now_ms);
        // The other hosts of the region have queues in front of the same
        // endpoints, and their requests may be more or less urgent.
        let others_ms = self.hosts.queue_of_others_ms(&service.name, now_ms) / 2.0;
        let endpoints = self.fleet.usable(&service.name, now_ms).count().max(1) as f64;
        (own_ms + others_ms) / endpoints
    }

    /// Time that one endpoint would need for the requests that wait here and
    /// come before `key`, or for all that wait if there is none.
    pub(super) fn own_queue_ms(&self, service: &Service, key: Option<usize>, now_ms: u64) -> f64 {
        let own_rank = key.and_then(|key| self.exchanges.get(key)).map(rank);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| Some(**other) != key)
            .filter_map(|other| self.exchanges.get(*other))
            .filter(|other| other.plan.service == service.name)
            .filter(|other| own_rank.is_none_or(|own| rank(other) <= own));
        ahead
            .map(|other| self.fleet.service_ms(service, &other.request.call, now_ms))
            .sum()
    }

    fn away_offer(&self, exchange: &Exchange, service: &Service, now_ms: u64) -> Option<AwayOffer> {
        if exchange.is_forwarded {
            return None;
        }
        let own = &self.settings.host.region;
        let mut regions: Vec<&CompactString> = self.settings.regions.values().collect();
        regions.sort_unstable();
        regions.dedup();
        regions
            .into_iter()
            .filter(|region| *region != own && exchange.plan.allows_region(region))
            .filter(|region| !exchange.excluded_regions.contains(region))
            .filter(|region| self.hosts.live(now_ms).any(|host| host.region == **region))
            .filter_map(|region| self.offer_of(region, exchange, service, now_ms))
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }

    fn offer_of(
        &self,
        region: &CompactString,
        exchange: &Exchange,
        service: &Service,
        now_ms: u64,
    ) -> Option<AwayOffer> {
        let (load, age_ms) = self.hosts.away_load(region, &service.name, now_ms)?;
        if age_ms > MAX_AWAY_AGE_MS || load.endpoint_count == 0 {
            return None;
        }
        let round_trip_ms = self.round_trip_ms.get(region).copied();
        let work_ms = self
            .fleet
            .service_ms(service, &exchange.request.call, now_ms);
        // The other hosts of this region have probably sent as much.
        let all_sent_ms =
            self.hosts.away_sent_ms(region, &service.name) * self.region_view.host_count as f64;
        let sent_ms = all_sent_ms / f64::from(load.endpoint_count);
        let first_event_ms = round_trip_ms.unwrap_or(DEFAULT_ROUND_TRIP_MS)
            + f64::from(load.backlog_ms)
            + sent_ms
            + work_ms;
        let demand = Demand {
            service,
            call: &exchange.request.call,
            excluded: &[],
            region: &self.region_view,
            goal_left_ms: exchange.goal_at_ms.saturating_sub(now_ms) as f64,
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms) as f64,
        };
        Some(AwayOffer {
            region: region.clone(),
            first_event_ms,
            cost_ms: self
                .fleet
                .cost_away(region, first_event_ms, &demand, now_ms),
        })
    }

    /// A live host of a region.
    pub(super) fn random_host(&mut self, region: &str, now_ms: u64) -> Option<HostInfo> {
        let hosts: Vec<HostInfo> = self
            .hosts
            .live(now_ms)
            .filter(|host| host.region == region)
            .cloned()
            .collect();
        let index = self.draw_index(hosts.len());
        hosts.get(index).cloned()
    }

    fn send_to_endpoint(&mut self, key: usize, choice: Choice) {
        let now_ms = self.now_ms();
        let Some(endpoint) = self.fleet.get_mut(&choice.endpoint) else {
            return;
        };
        let address = endpoint.announcement.address;
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        endpoint.start(choice.work, now_ms);
        let call = &exchange.request.call;
        endpoint.remember(call, now_ms + choice.first_event_ms as u64);
        self.pending_update
            .record_send(&choice, endpoint.hash, call);
        let headers = EndpointHeaders {
            endpoint: Some(choice.endpoint.clone()),
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms).max(1),
            priority: exchange
                .plan
                .priority
                .filter(|_| !exchange.request.call.parts.is_empty()),
            last_event: self.resume_header(key),
            fetch_from: choice.fetch_from,
        };
        self.exchanges[key].placed = Some(Placed {
            destination: choice.endpoint.clone(),
            predicted_ms: choice.first_event_ms as u64,
            backlog_ms: choice.backlog_ms as u64,
            uncached_tokens: choice.work.uncached_tokens,
            sent_ms: now_ms,
        });
        tracing::debug!(
            request = %self.exchanges[key].request.call.attempt,
            endpoint = %choice.endpoint,
            predicted_ms = choice.first_event_ms as u64,
            backlog_ms = choice.backlog_ms as u64,
            "request sent"
        );
        let destination = Destination::Endpoint(choice);
        self.send(key, address, destination, &headers, None);
    }

    fn send_away(&mut self, key: usize, offer: AwayOffer) {
        let now_ms = self.now_ms();
        let Some(host) = self.random_host(&offer.region, now_ms) else {
            return;
        };
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        let mut plan = exchange.plan.clone();
        // Repeats are decided here alone, so that two regions cannot both use
        // up the attempts.
        plan.max_attempts = 1;
        plan.goal_ms = exchange.goal_at_ms.saturating_sub(now_ms);
        plan.timeout_ms = exchange.deadline_ms.saturating_sub(now_ms);
        let encoded = match postcard::to_allocvec(&plan) {
            Ok(bytes) => {
                use base64::Engine;
                base64::engine::general_purpose::STANDARD.encode(bytes)
            }
            Err(error) => {
                tracing::error!(%error, "could not encode a plan");
                return self.refuse(key, "plan could not be encoded", UNREACHABLE_RETRY_MS);
            }
        };
        let headers = EndpointHeaders {
            endpoint: None,
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms).max(1),
            priority: None,
            last_event: self.resume_header(key),
            fetch_from: None,
        };
        let service = exchange.plan.service.clone();
        tracing::debug!(
            request = %exchange.request.call.attempt,
            region = %offer.region,
            host = %host.name,
            predicted_ms = offer.first_event_ms as u64,
            "request sent to another region"
        );
        self.exchanges[key].placed = Some(Placed {
            destination: format_compact!("{}/{}", offer.region, host.name),
            predicted_ms: offer.first_event_ms as u64,
            backlog_ms: 0,
            uncached_tokens: 0,
            sent_ms: now_ms,
        });
        let request = Rc::clone(&self.exchanges[key].request);
        let service = self.service(&service);
        let work_ms = self.fleet.service_ms(&service, &request.call, now_ms);
        self.hosts
            .record_away(&offer.region, &service.name, work_ms);
        self.fleet
            .remember_away(&offer.region, &request.call, now_ms);
        self.telemetry.count_away();
        let destination = Destination::Region {
            region: offer.region,
            host: host.name,
        };
        self.send(key, host.peer_address, destination, &headers, Some(encoded));
    }

    /// The event after which the next endpoint goes on, if the stream resumes.
    fn resume_header(&self, key: usize) -> Option<CompactString> {
        let exchange = self.exchanges.get(key)?;
        exchange.resume_after()
    }

    fn send(
        &mut self,
        key: usize,
        address: std::net::SocketAddr,
        destination: Destination,
        headers: &EndpointHeaders,
        forward: Option<String>,
    ) {
        let now_ms = self.now_ms();
        let bytes = self.encode_request(key, headers, forward.as_deref());
        let is_peer = forward.is_some();
        let upstream = match self.take_idle(address, now_ms) {
            Some(upstream) => Some(upstream),
            None => {
                self.telemetry.count_connection();
                self.connect(address)
            }
        };
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if exchange.is_waiting {
            exchange.is_waiting = false;
            self.waiting.retain(|other| *other != key);
        }
        let Some(upstream) = upstream else {
            exchange.sending = Some(Sending {
                destination,
                upstream: usize::MAX,
                sent_ms: now_ms,
                has_begun: false,
                progress_ms: now_ms,
            });
            return self.sending_failed(key, Breakage::Unreachable);
        };
        exchange.sending = Some(Sending {
            destination,
            upstream,
            sent_ms: now_ms,
            has_begun: false,
            progress_ms: now_ms,
        });
        let is_head_request = exchange.request.head.method == "HEAD";
        let connection = &mut self.upstreams[upstream];
        connection.exchange = Some(key);
        connection.is_peer = is_peer;
        connection.is_paused = false;
        connection.is_head_request = is_head_request;
        connection.request_count += 1;
        connection.answering = Answering::Head;
        connection.wire.queue(&bytes);
        if connection.phase == UpstreamPhase::Idle {
            connection.phase = UpstreamPhase::Busy;
            // A failed write shows as a failed read.
            connection.wire.flush();
        }
    }

    fn encode_request(
        &self,
        key: usize,
        headers: &EndpointHeaders,
        forward: Option<&str>,
    ) -> Vec<u8> {
        let Some(exchange) = self.exchanges.get(key) else {
            return Vec::new();
        };
        let request = &exchange.request;
        let resumes = headers.last_event.is_some();
        let mut bytes = Vec::with_capacity(request.body.len() + 768);
        write_request_start(
            &request.head,
            |header| is_passed_on(header, resumes),
            &mut bytes,
        );
        headers.write(&mut bytes);
        if let Some(plan) = forward {
            bytes.extend_from_slice(format!("{FORWARD_HEADER}: {plan}\r\n").as_bytes());
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

    /// A connection for an exchange has been made.
    pub(super) fn record_connected(&mut self, exchange: Option<usize>, connect_ms: u64) {
        let sending = exchange
            .and_then(|exchange| self.exchanges.get(exchange))
            .and_then(|exchange| exchange.sending.as_ref());
        if let Some(Destination::Region { region, .. }) =
            sending.map(|sending| &sending.destination)
        {
            let measured = connect_ms as f64;
            let known = self.round_trip_ms.entry(region.clone()).or_insert(measured);
            *known += 0.2 * (measured - *known);
        }
    }

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
                endpoint.report(load, now_ms);
            }
            if let Some(left_ms) = verdict.cold_left_ms {
                endpoint.set_cold(left_ms, now_ms);
            }
        }
        let streams = exchange.plan.is_stream && is_good(head, verdict);
        if streams {
            if let Some(sending) = &mut exchange.sending {
                sending.progress_ms = now_ms;
            }
        } else {
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
        let Some(upstream) = self.upstreams.get(sending.upstream) else {
            return;
        };
        let Answering::Body { head, .. } = &upstream.answering else {
            return;
        };
        let verdict = crate::platform::headers::decode_verdict(head);
        if !exchange.plan.is_stream || !is_good(head, &verdict) {
            exchange.held.extend_from_slice(content);
            if exchange.held.len() > MAX_HELD_BYTES && is_good(head, &verdict) {
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
    fn first_event(&mut self, key: usize, now_ms: u64) {
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
                endpoint.first_event(choice.work);
                self.pending_update.record_change(&choice.endpoint);
                endpoint.succeed(actual_ms, choice.first_event_ms);
            }
            if exchange.plan.is_stream {
                self.fleet.learn_first_event(&service, &choice, actual_ms);
            }
        }
    }

    /// Writes the head of the answer to the caller, once.
    fn begin_reply(&mut self, key: usize, head: &ResponseHead) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if exchange.has_reply_begun() {
            return;
        }
        exchange.reply = Reply::Begun { is_chunked: true };
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

    fn write_reply(&mut self, key: usize, content: &[u8]) {
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
        let verdict = crate::platform::headers::decode_verdict(head);
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
            let begun = exchange.events.whole_count() > 0;
            let rest = exchange.events.partial().to_vec();
            if !rest.is_empty() {
                // Not an event, but part of the endpoint's body.
                self.begin_reply(key, head);
                self.write_reply(key, &rest);
            }
            self.first_event(key, now_ms);
            tracing::trace!(begun, "stream complete");
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
        if self.exchanges[key].has_reply_begun() {
            return self.cut_off(key, "endpoint failed during the answer");
        }
        if failure == Failure::Broken {
            return self.fail(key, "unusable answer", OwnAnswer::plain(502));
        }
        self.pass_on(key, head);
    }

    fn finish_good(&mut self, key: usize, head: &ResponseHead, now_ms: u64) {
        let sent_ms = self
            .exchanges
            .get(key)
            .and_then(|exchange| exchange.sending.as_ref())
            .map(|sending| sending.sent_ms);
        let service = self.exchanges[key].plan.service.clone();
        if let Some(sent_ms) = sent_ms {
            let is_here = matches!(
                self.exchanges[key]
                    .sending
                    .as_ref()
                    .map(|sending| &sending.destination),
                Some(Destination::Endpoint(_))
            );
            if is_here {
                self.fleet
                    .learn_run(&service, now_ms.saturating_sub(sent_ms) as f64);
            }
        }
        self.end_sending(key, None, now_ms);
        self.pass_on(key, head);
    }

    /// Passes on a complete answer, or the end of one that has begun.
    fn pass_on(&mut self, key: usize, head: &ResponseHead) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut exchange.held);
        let has_begun = exchange.has_reply_begun();
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
    fn not_run(&mut self, key: usize, head: &ResponseHead, failure: Failure) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let destination = exchange
            .sending
            .as_ref()
            .map(|sending| sending.destination.clone());
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

    /// The connection of a sending broke.
    pub(super) fn sending_failed(&mut self, key: usize, breakage: Breakage) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let destination = exchange
            .sending
            .as_ref()
            .map(|sending| sending.destination.clone());
        let failure = match breakage {
            Breakage::Unreachable => Failure::Unreachable,
            Breakage::Broken => Failure::Broken,
        };
        match destination {
            Some(Destination::Endpoint(choice)) if breakage == Breakage::Broken => {
                exchange.avoided.push(choice.endpoint);
            }
            Some(Destination::Endpoint(choice)) => exchange.excluded.push(choice.endpoint),
            Some(Destination::Region { region, .. }) => exchange.excluded_regions.push(region),
            None => {}
        }
        exchange.held.clear();
        exchange.events.discard_partial();
        let excluded = exchange.excluded.len() + exchange.excluded_regions.len();
        self.end_sending(key, Some(failure), now_ms);
        if breakage == Breakage::Unreachable {
            if self.exchanges[key].has_reply_begun() {
                return self.cut_off(key, "no endpoint could be reached");
            }
            if excluded < MAX_EXCLUDED {
                return self.place_exchange(key);
            }
            return self.refuse(key, "no endpoint could be reached", UNREACHABLE_RETRY_MS);
        }
        if self.repeat(key, "connection broke") {
            return;
        }
        if self.exchanges.get(key).is_none() {
            return;
        }
        if self.exchanges[key].has_reply_begun() {
            self.cut_off(key, "answer broke off");
        } else {
            self.fail(key, "answer broke off", OwnAnswer::plain(502));
        }
    }

    /// Prefers other endpoints for the next sending of a request.
    fn avoid_destination(&mut self, key: usize) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if let Some(Destination::Endpoint(choice)) = exchange
            .sending
            .as_ref()
            .map(|sending| &sending.destination)
        {
            exchange.avoided.push(choice.endpoint.clone());
        }
    }

    /// Sends a request that may have run to another endpoint, if it may run
    /// again and the budget allows it.
    fn repeat(&mut self, key: usize, cause: &str) -> bool {
        let now_ms = self.now_ms();
        let hosts = self.hosts.live_count(now_ms);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return false;
        };
        let may_repeat = exchange.plan.may_repeat()
            && exchange.client.is_some()
            && exchange.run_count < exchange.plan.max_attempts
            && now_ms < exchange.deadline_ms;
        if !may_repeat {
            return false;
        }
        let service = exchange.plan.service.clone();
        let attempt = exchange.request.call.attempt.clone();
        let is_allowed = self.budget.take(&service, hosts, now_ms);
        tracing::info!(request = %attempt, cause, is_allowed, "repeat decided");
        if is_allowed {
            self.telemetry.count_repeat();
            self.exchanges[key].held.clear();
            self.place_exchange(key);
        }
        is_allowed
    }

    /// Ends the present sending of a request and records how it went.
    fn end_sending(&mut self, key: usize, failure: Option<Failure>, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = exchange.sending.take() else {
            return;
        };
        let was_sent = !matches!(
            failure,
            Some(Failure::Unreachable | Failure::Shed | Failure::Replaced)
        );
        if was_sent {
            exchange.run_count += 1;
        }
        if let Some(upstream) = self.upstreams.get_mut(sending.upstream)
            && upstream.exchange == Some(key)
        {
            upstream.exchange = None;
        }
        if let Destination::Endpoint(choice) = &sending.destination
            && let Some(endpoint) = self.fleet.get_mut(&choice.endpoint)
        {
            endpoint.finish(choice.work, sending.has_begun);
            self.pending_update.record_change(&choice.endpoint);
            let blocked = failure.is_some_and(|failure| endpoint.fail(failure, now_ms));
            if blocked {
                let for_ms = endpoint.blocked_until_ms().saturating_sub(now_ms);
                tracing::warn!(
                    endpoint = %choice.endpoint,
                    ?failure,
                    for_ms,
                    "endpoint is not used for a while"
                );
                if matches!(failure, Some(Failure::Unreachable | Failure::Replaced)) {
                    self.pending_update.record_block(endpoint.hash, for_ms);
                }
            }
        }
    }

    /// Refuses a request that was not sent, or that no endpoint ran.
    fn refuse(&mut self, key: usize, cause: &'static str, retry_ms: u64) {
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        // Something of it may have run, so nothing can be promised.
        if exchange.run_count > 0 {
            if exchange.has_reply_begun() {
                return self.cut_off(key, cause);
            }
            return self.fail(key, cause, OwnAnswer::plain(502));
        }
        self.fail(key, cause, OwnAnswer::refusal(retry_ms));
    }

    /// Ends a request with an answer of the gateway itself.
    fn fail(&mut self, key: usize, cause: &'static str, answer: OwnAnswer) {
        let is_leaving = self.leave_started_ms.is_some();
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if let Some(client) = exchange
            .client
            .and_then(|client| self.clients.get_mut(client))
        {
            client.closes |= is_leaving;
            let closes = client.closes;
            write_own(answer, "text/plain", b"", closes, client.wire.output());
        }
        self.end_exchange(key, cause, answer.status);
    }

    /// Ends an answer that has begun and cannot be completed: its connection
    /// ends without the end of the body.
    fn cut_off(&mut self, key: usize, cause: &'static str) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let client = exchange.client.take();
        self.end_exchange(key, cause, 0);
        if let Some(client) = client {
            if let Some(connection) = self.clients.get_mut(client) {
                connection.exchange = None;
                connection.wire.flush();
            }
            self.close_client(client);
        }
    }

    fn end_exchange(&mut self, key: usize, outcome: &'static str, status: u16) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.try_remove(key) else {
            return;
        };
        self.waiting.retain(|other| *other != key);
        let total_ms = now_ms.saturating_sub(exchange.arrived_ms);
        self.telemetry
            .request_ended(&exchange, outcome, status, total_ms, now_ms);
        if let Some(client) = exchange.client {
            self.client_done(client);
        }
    }

    /// The caller has left.
    pub(super) fn abandon(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        exchange.client = None;
        let sending = exchange.sending.as_ref().map(|sending| sending.upstream);
        let runs_on = !exchange.plan.is_stream && !exchange.plan.is_idempotent;
        if runs_on && sending.is_some() {
            // The call has an effect, so it is not broken off midway.
            return;
        }
        self.end_sending(key, None, now_ms);
        if let Some(upstream) = sending {
            self.close_upstream(upstream);
        }
        self.end_exchange(key, "caller left", 0);
    }

    /// Ends requests whose time is over and repeats those that stall.
    pub(super) fn check_exchanges(&mut self, now_ms: u64) {
        if self.exchanges.is_empty() {
            return;
        }
        self.check_connecting(now_ms);
        let mut over = Vec::new();
        let mut stalled = Vec::new();
        for (key, exchange) in &self.exchanges {
            if now_ms >= exchange.deadline_ms {
                over.push(key);
            } else if is_stalled(exchange, now_ms) {
                stalled.push(key);
            }
        }
        for key in over {
            self.time_out(key, now_ms);
        }
        for key in stalled {
            self.leave_stalled(key);
        }
    }

    fn time_out(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = exchange.sending.clone() else {
            return self.refuse(key, "no endpoint in time", UNREACHABLE_RETRY_MS);
        };
        let runs_on = !exchange.plan.is_stream && !exchange.plan.is_idempotent;
        self.end_sending(key, None, now_ms);
        if !runs_on {
            self.close_upstream(sending.upstream);
        }
        if self.exchanges[key].has_reply_begun() {
            self.cut_off(key, "time limit during the answer");
        } else {
            self.fail(key, "time limit", OwnAnswer::plain(504));
        }
    }

    /// Gives up on an endpoint that makes no progress, if another may go on.
    fn leave_stalled(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let hosts = self.hosts.live_count(now_ms);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let Some(sending) = exchange.sending.clone() else {
            return;
        };
        let service = exchange.plan.service.clone();
        if !self.budget.take(&service, hosts, now_ms) {
            return;
        }
        let exchange = &mut self.exchanges[key];
        tracing::info!(
            request = %exchange.request.call.attempt,
            silent_ms = now_ms.saturating_sub(sending.progress_ms),
            "endpoint stalls; request repeated"
        );
        exchange.held.clear();
        exchange.events.discard_partial();
        self.avoid_destination(key);
        self.end_sending(key, Some(Failure::Broken), now_ms);
        self.close_upstream(sending.upstream);
        self.telemetry.count_repeat();
        self.place_exchange(key);
    }

    /// Places requests that wait, the most urgent first.
    pub(super) fn serve_waiting(&mut self, _now_ms: u64) {
        if self.waiting.is_empty() {
            return;
        }
        let mut order = self.waiting.clone();
        order.retain(|key| self.exchanges.contains(*key));
        order.sort_by_key(|key| rank(&self.exchanges[*key]));
        let mut tried: Vec<(CompactString, usize)> = Vec::new();
        for key in order {
            let Some(exchange) = self.exchanges.get(key) else {
                continue;
            };
            let service = exchange.plan.service.clone();
            let count = match tried.iter_mut().find(|(name, _)| *name == service) {
                Some((_, count)) => count,
                None => {
                    tried.push((service, 0));
                    &mut tried.last_mut().expect("just pushed").1
                }
            };
            *count += 1;
            if *count <= MAX_PLACEMENTS {
                self.place_exchange(key);
            }
        }
    }
}

/// Order of waiting requests: by rank, then by arrival.
fn rank(exchange: &Exchange) -> (u8, u64, u64) {
    let priority = exchange.plan.priority.unwrap_or(0);
    (priority, exchange.arrived_ms, exchange.serial)
}

/// Whether an answer is a whole success of the endpoint.
fn is_good(head: &ResponseHead, verdict: &Verdict) -> bool {
    (200..300).contains(&head.status)
        && verdict.is_sealed
        && head.header("content-encoding").is_none()
}

fn is_stalled(exchange: &Exchange, now_ms: u64) -> bool {
    let Some(sending) = &exchange.sending else {
        return false;
    };
    let may_repeat = exchange.plan.may_repeat()
        && exchange.client.is_some()
        && exchange.run_count + 1 < exchange.plan.max_attempts;
    let limit_ms = match &sending.destination {
        Destination::Region { .. } => AWAY_STALL_MS,
        Destination::Endpoint(_) if sending.has_begun => MIN_STALL_MS,
        Destination::Endpoint(choice) => {
            MIN_STALL_MS.max((choice.first_event_ms * STALL_FACTOR) as u64)
        }
    };
    may_repeat && now_ms >= sending.progress_ms + limit_ms
}
