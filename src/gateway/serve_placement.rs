//! Placement of requests: on an endpoint, in another region, or in the queue.
//!
//! [`place`] makes the decision; this module gathers its inputs and carries out
//! the result.

use std::{
    borrow::Cow,
    rc::Rc, //
};

use compact_str::CompactString;

use super::{
    admission::{
        LimitedPlace,
        Placement,
        PlacementContext,
        RemoteOffer,
        RemoteRoom,
        place,
        returning_allowance_ms, //
    },
    answer_record::AnswerRecords,
    configuration::{
        ConfigurationVersion,
        Service, //
    },
    crash_records::Suspects,
    endpoint::Work,
    events::EventSplitter,
    exchange::{
        CallerRequest,
        Destination,
        Exchange,
        RefusalRecord,
        ResolvedRoute, //
    },
    fleet::EndpointQuery,
    gap_goal::GapGoal,
    hosts::HostInfo,
    reactor::Reactor,
    request_sizes::RequestSize,
    serve_completion::UNREACHABLE_RETRY_MS,
    serve_crashes::call_hash,
    stream_origins::AttemptHash, //
};
use crate::types::Tokens;

/// Time limit of requests that specify none.
const DEFAULT_TIME_LIMIT_MS: u64 = 30_000;
/// Assumed round trip to another region before it has been measured.
const DEFAULT_ROUND_TRIP_MS: f64 = 150.0;
/// Maximum placements per service in one pass over the waiting requests.
const MAX_PLACEMENTS: usize = 24;
/// Longest wait for an endpoint that has not failed a request, if one that has could take
/// it: enough for one that was full for a moment.
const MAX_WAIT_FOR_UNTRIED_MS: u64 = 200;
/// Pause after which a request that has run is placed again while no endpoint may be used;
/// doubles with each endpoint that does not take the request.
const BLOCKED_PLACEMENT_PAUSE_MS: u64 = 60;
/// Largest number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: usize = 4;

impl Reactor {
    pub(super) fn start_exchange(
        &mut self,
        inbound: usize,
        request: CallerRequest,
        route: ResolvedRoute,
        configuration_version: ConfigurationVersion,
        is_forwarded: bool,
    ) {
        let now_ms = self.now_ms();
        let time_limit_ms = request
            .metadata
            .time_limit_ms
            .unwrap_or(DEFAULT_TIME_LIMIT_MS);
        let prompt = request.metadata.prompt_tokens;
        let has_size = !is_forwarded && prompt.0 > 0;
        let size = has_size.then(|| {
            self.request_sizes
                .record(&route.name, route.timeout_ms, &request.metadata)
        });
        let allowance_ms = match &size {
            Some(size) if size.is_returning => self.allowance_ms(&route, size, prompt, now_ms),
            _ => 0,
        };
        self.next_serial += 1;
        let call = call_hash(&request.head, &request.body);
        let suspects = Suspects::new(&request.metadata.parts, call);
        let exchange = Exchange {
            serial: self.next_serial,
            inbound: Some(inbound),
            is_forwarded,
            request: Rc::new(request),
            suspects: Rc::new(suspects),
            configuration_version,
            arrived_ms: now_ms,
            size,
            goal_at_ms: now_ms + route.goal_ms + allowance_ms,
            deadline_ms: now_ms + time_limit_ms.min(route.timeout_ms),
            route,
            run_count: 0,
            excluded_endpoints: Vec::new(),
            avoided_endpoints: Vec::new(),
            skip_count: 0,
            excluded_hosts: Vec::new(),
            excluded_regions: Vec::new(),
            is_waiting: false,
            next_placement_ms: now_ms,
            dispatch: None,
            placement: None,
            refusal: None,
            kept_from: None,
            first_event_at_ms: None,
            last_event_at_ms: None,
            has_response_begun: false,
            events: EventSplitter::new(),
            buffered: Vec::new(),
            has_events: false,
            answer_framing: None,
            answers: AnswerRecords::default(),
            cut_event_bytes: 0,
            has_arrived: false,
        };
        let key = self.exchanges.insert(exchange);
        if let Some(inbound) = self.inbound.get_mut(inbound) {
            inbound.exchange = Some(key);
        }
        self.place_at_version(key, now_ms);
    }

    /// Counts a request for its service, once that is settled.
    pub(super) fn count_request(&mut self, key: usize, now_ms: u64) {
        let exchange = &self.exchanges[key];
        let service = &exchange.route.service;
        // The host that received the request from its caller has counted it.
        if !exchange.is_forwarded {
            self.retry_budget.record_request(service, now_ms);
        }
        self.limits.record_request(service, now_ms);
    }

    /// Returns the time that a request that comes back gets beyond its latency goal.
    fn allowance_ms(
        &self,
        route: &ResolvedRoute,
        size: &RequestSize,
        prompt: Tokens,
        now_ms: u64,
    ) -> u64 {
        let service = self.known_service(&route.service);
        let prefill_ms = self.fleet.mean_prefill_ms_per_token(&service, now_ms);
        returning_allowance_ms(prompt, size.usual_prompt, prefill_ms, route.timeout_ms)
    }

    /// Decides where a request goes and sends, queues or refuses it.
    pub(super) fn place_exchange(&mut self, key: usize) {
        let now_ms = self.now_ms();
        if self.refuse_unservable(key, now_ms) || self.refuse_before_exit(key, now_ms) {
            return;
        }
        let exchange = self.exchanges.get(key);
        if exchange.is_some_and(|exchange| !self.is_version_served(exchange, now_ms)) {
            let cause = "no endpoint of the stream's software version";
            return self.refuse(key, cause, UNREACHABLE_RETRY_MS);
        }
        let Some(context) = self.placement_context(key, now_ms) else {
            return;
        };
        let is_limited = context.limited.is_some();
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        let inputs = RefusalRecord {
            local_ms: context
                .local
                .as_ref()
                .map(|choice| (choice.first_event_ms + context.queue_ms) as u64),
            queue_ms: context.queue_ms as u64,
            remote_ms: context
                .remote
                .as_ref()
                .map(|offer| offer.first_event_ms as u64),
            retry_ms: 0,
        };
        match place(context) {
            Placement::Send(choice) => self.send_to_endpoint(key, choice),
            Placement::Forward(offer) => self.send_to_region(key, offer),
            Placement::Wait => {
                // Without a usable endpoint, the request need not be placed at each tick.
                let pause_ms = match inputs.local_ms {
                    None if exchange.has_run() => blocked_pause_ms(exchange.skip_count),
                    _ => 0,
                };
                exchange.next_placement_ms = now_ms + pause_ms;
                if !exchange.is_waiting {
                    exchange.is_waiting = true;
                    self.waiting.push(key);
                }
            }
            Placement::Refuse(retry_ms) => {
                exchange.refusal = Some(RefusalRecord { retry_ms, ..inputs });
                if is_limited {
                    let service = exchange.route.service.clone();
                    self.limits.promise_return(&service, now_ms + retry_ms);
                }
                self.refuse(key, "no capacity in time", retry_ms);
            }
        }
    }

    pub(super) fn placement_context(
        &mut self,
        key: usize,
        now_ms: u64,
    ) -> Option<PlacementContext> {
        let exchange = self.exchanges.get(key)?;
        let route = &exchange.route;
        let service = self.known_service(&route.service);
        let is_home = route.allows_region(&self.settings.host.region);
        let goal_left_ms = exchange.goal_at_ms.saturating_sub(now_ms) as f64;
        let time_left_ms = exchange.deadline_ms.saturating_sub(now_ms) as f64;
        let waiting_ahead = self.waiting_count(&service.name, Some(key), now_ms);
        let query = EndpointQuery {
            service: &service,
            metadata: &exchange.request.metadata,
            excluded: &exchange.excluded_endpoints,
            software_version: route.software_version.as_ref(),
            region: &self.region_view,
            share_ahead: self.fleet.share_ahead(&service, route.priority),
            goal_left_ms,
            time_left_ms,
            waiting_ahead,
            pace_goal: self.answer_lengths.pace_goal(&service.name),
            gap_goal: self.gap_goal(&service.name),
            expected_events: self
                .answer_lengths
                .expected_events(&route.name, exchange.request.metadata.length_hint),
            expected_output: self
                .answer_lengths
                .expected_tokens(&route.name, exchange.request.metadata.length_hint),
        };
        let choose = |excluded: &[CompactString]| {
            let query = EndpointQuery { excluded, ..query };
            self.fleet.choose(&query, now_ms)
        };
        // A request in progress is only moved to another place.
        let current = match exchange.destination() {
            Some(Destination::Endpoint(choice)) => Some(choice.endpoint.clone()),
            _ => None,
        };
        let is_in_progress = exchange.dispatch.is_some();
        let skipped = [
            exchange.excluded_endpoints.as_slice(),
            exchange.avoided_endpoints.as_slice(),
            current.as_slice(),
        ]
        .concat();
        let remote = self.best_remote_offer(exchange, &service, now_ms);
        let untried = is_home.then(|| choose(&skipped)).flatten();
        // Requests that have not run are decided without it.
        let is_needed = is_home && exchange.has_run();
        let usable_in_ms = |excluded: &[CompactString]| {
            let fleet = is_needed.then_some(&self.fleet)?;
            let version = route.software_version.as_ref();
            fleet.usable_in_ms(&service.name, version, excluded, now_ms)
        };
        let untried_in_ms = usable_in_ms(&skipped);
        // An endpoint that failed the request is only tried again if no other one is
        // usable soon, and no other region can be.
        let may_repeat = is_home
            && !is_in_progress
            && remote.is_none()
            && untried_in_ms.is_none_or(|in_ms| in_ms > MAX_WAIT_FOR_UNTRIED_MS);
        let local = match untried {
            None if may_repeat => choose(&exchange.excluded_endpoints),
            untried => untried,
        };
        let queue_ms = self.queue_ms(&service, Some(key), now_ms);
        let usable_in_ms = usable_in_ms(&exchange.excluded_endpoints);
        let limit_wait = self.fleet.limit_wait(&query, now_ms).filter(|_| is_home);
        let limited = limit_wait.map(|wait| LimitedPlace {
            wait,
            return_in_ms: self.limits.return_in_ms(&service.name, wait, now_ms),
        });
        let kept_from = self.fleet.kept_from(&query, now_ms).filter(|_| is_home);
        let unwanted_for_ms = self.fleet.unwanted_for_ms(&service.name, now_ms);
        let context = PlacementContext {
            local,
            queue_ms,
            remote,
            goal_left_ms,
            goal_ms: exchange.goal_ms() as f64,
            time_left_ms,
            usual_run_ms: self.fleet.mean_run_ms(&service),
            is_waiting: exchange.is_waiting,
            has_run: exchange.has_run(),
            usable_in_ms: usable_in_ms.map(|in_ms| in_ms as f64),
            unwanted_for_ms: unwanted_for_ms.map(|for_ms| for_ms as f64),
            limited,
            is_cut_off: self.is_cut_off(),
        };
        if let Some(kept_from) = kept_from {
            self.telemetry.count_kept_from_limited();
            self.exchanges.get_mut(key)?.kept_from = Some(kept_from);
        }
        Some(context)
    }

    /// Returns the strictest goal for pauses of the routes of a service.
    pub(super) fn gap_goal(&self, service: &str) -> Option<GapGoal> {
        self.gap_goals.get(service).copied()
    }

    /// Returns the service with this name, or one with default parameters.
    pub(super) fn service(&self, name: &str) -> Service {
        self.known_service(name).into_owned()
    }

    /// Like [`Self::service`], without a copy of a known one.
    fn known_service(&self, name: &str) -> Cow<'_, Service> {
        let known = self
            .configuration
            .as_ref()
            .and_then(|known| known.service(name));
        known.map_or_else(
            || {
                Cow::Owned(Service {
                    name: name.into(),
                    health_path: None,
                    cold_ms: 0,
                    cold_per_s: 0.0,
                    engine: None,
                })
            },
            Cow::Borrowed,
        )
    }

    /// Returns the predicted time that the queue ahead of `key` takes, or the
    /// entire queue if `key` is none.
    pub(super) fn queue_ms(&self, service: &Service, key: Option<usize>, now_ms: u64) -> f64 {
        let own_ms = self.own_queue_ms(service, key, now_ms);
        // The other hosts of the region queue requests for the same endpoints,
        // which may be more or less urgent.
        let priority = key
            .and_then(|key| self.exchanges.get(key))
            .and_then(|exchange| exchange.route.priority);
        let share_ahead = self.fleet.share_ahead(service, priority);
        let others_ms = self.hosts.peer_queue_ms(&service.name, now_ms) * share_ahead / 2.0;
        let capacity = self.fleet.capacity(service, now_ms);
        let capacity = if capacity > 0.0 { capacity } else { 1.0 };
        (own_ms + others_ms) / capacity
    }

    /// Returns the number of this host's requests that wait for a service ahead of `key`, or
    /// of all if `key` is none.
    pub(super) fn waiting_count(&self, service: &str, key: Option<usize>, now_ms: u64) -> usize {
        self.waiting_ahead(service, key, now_ms).count()
    }

    fn waiting_ahead<'a>(
        &'a self,
        service: &'a str,
        key: Option<usize>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Exchange> {
        let own_sort_key = key.and_then(|key| self.exchanges.get(key)).map(sort_key);
        self.waiting
            .iter()
            .filter(move |other| Some(**other) != key)
            .filter_map(|other| self.exchanges.get(*other))
            .filter(move |other| other.route.service == service)
            .filter(move |other| now_ms >= other.next_placement_ms)
            .filter(move |other| own_sort_key.is_none_or(|own| sort_key(other) <= own))
    }

    /// Returns the time that a single endpoint would need for the queue of this
    /// host ahead of `key`, or for the entire queue if `key` is none.
    pub(super) fn own_queue_ms(&self, service: &Service, key: Option<usize>, now_ms: u64) -> f64 {
        self.waiting_ahead(&service.name, key, now_ms)
            .map(|other| {
                self.fleet
                    .service_ms(service, &other.request.metadata, now_ms)
            })
            .sum()
    }

    pub(super) fn best_remote_offer(
        &self,
        exchange: &Exchange,
        service: &Service,
        now_ms: u64,
    ) -> Option<RemoteOffer> {
        if exchange.is_forwarded {
            return None;
        }
        self.other_regions
            .iter()
            .filter(|region| exchange.route.allows_region(region))
            .filter(|region| !exchange.excluded_regions.contains(region))
            .filter(|region| !exchange.is_in_region(region))
            .filter(|region| self.serves_version_of(exchange, region, now_ms))
            .filter(|region| {
                let excluded = &exchange.excluded_hosts;
                self.reaching_hosts_in(region, excluded, now_ms)
                    .next()
                    .is_some()
            })
            .filter_map(|region| self.remote_offer(region, exchange, service, now_ms))
            .chain(self.neighbour_offer(exchange, service, now_ms))
            .min_by(RemoteOffer::compare)
    }

    pub(super) fn remote_offer(
        &self,
        region: &CompactString,
        exchange: &Exchange,
        service: &Service,
        now_ms: u64,
    ) -> Option<RemoteOffer> {
        let sender_count = self.region_view.host_count;
        let wait_ms = self
            .hosts
            .remote_wait_ms(region, &service.name, sender_count, now_ms)?;
        let round_trip_ms = self.round_trip_ms.get(region).copied();
        let work_ms = self
            .fleet
            .service_ms(service, &exchange.request.metadata, now_ms);
        let priority = exchange.route.priority;
        let wait_ms = wait_ms * self.fleet.share_ahead(service, priority);
        let first_event_ms = round_trip_ms.unwrap_or(DEFAULT_ROUND_TRIP_MS) + wait_ms + work_ms;
        let query = EndpointQuery {
            goal_left_ms: exchange.goal_at_ms.saturating_sub(now_ms) as f64,
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms) as f64,
            ..EndpointQuery::new(service, &exchange.request.metadata, &self.region_view)
        };
        let cost_ms = self
            .fleet
            .remote_cost(region, first_event_ms, &query, now_ms);
        let offer = RemoteOffer {
            region: region.clone(),
            first_event_ms,
            cost_ms,
            room: RemoteRoom::Unknown,
        };
        let goal = service.engine.and(self.gap_goal(&service.name));
        let room = self
            .hosts
            .remote_room(region, &service.name, sender_count, now_ms);
        Some(match goal.zip(room) {
            Some((goal, room)) => offer.with_room(goal, &room, self.expected_memory(exchange)),
            None => offer,
        })
    }

    /// Returns the memory that a request needs until it ends at an endpoint that has cached none
    /// of its prompt, in tokens.
    pub(super) fn expected_memory(&self, exchange: &Exchange) -> u64 {
        let metadata = &exchange.request.metadata;
        let hint = metadata.length_hint;
        let output = self
            .answer_lengths
            .expected_tokens(&exchange.route.name, hint);
        let work = Work::new(metadata, 0).with_expected_memory(metadata, output);
        work.reserved_tokens + metadata.shared_tokens()
    }

    /// Returns the live hosts of a region that reach endpoints, without the excluded ones.
    pub(super) fn reaching_hosts_in<'a>(
        &'a self,
        region: &'a str,
        excluded: &'a [CompactString],
        now_ms: u64,
    ) -> impl Iterator<Item = &'a HostInfo> {
        self.hosts
            .live_in(region, now_ms)
            .filter(move |host| !excluded.contains(&host.name))
            .filter(move |host| !self.hosts.is_cut_off(&host.name, now_ms))
    }

    /// Returns a random live host of a region.
    pub(super) fn random_host(&mut self, region: &str, now_ms: u64) -> Option<HostInfo> {
        let hosts = self.hosts.live_in(region, now_ms).cloned().collect();
        self.random_of(hosts)
    }

    /// Returns a random host of a region that reaches endpoints, but none of the excluded ones.
    pub(super) fn random_reaching_host(
        &mut self,
        region: &str,
        excluded: &[CompactString],
        now_ms: u64,
    ) -> Option<HostInfo> {
        let hosts = self.reaching_hosts_in(region, excluded, now_ms);
        let hosts = hosts.cloned().collect();
        self.random_of(hosts)
    }

    pub(super) fn random_of(&mut self, mut hosts: Vec<HostInfo>) -> Option<HostInfo> {
        let index = self.random_index(hosts.len());
        (!hosts.is_empty()).then(|| hosts.swap_remove(index))
    }

    /// Returns a host of a region to which a request of an attempt may be moved: one with an idle
    /// connection for it, otherwise one to which a connection is being opened, otherwise any.
    pub(super) fn preferred_host(
        &mut self,
        region: &str,
        excluded: &[CompactString],
        attempt: Option<AttemptHash>,
        now_ms: u64,
    ) -> Option<HostInfo> {
        let hosts = || self.reaching_hosts_in(region, excluded, now_ms);
        let connected = hosts().find(|host| self.has_idle(host.peer_address, attempt, now_ms));
        let known =
            connected.or_else(|| hosts().find(|host| self.is_connecting(host.peer_address)));
        match known.cloned() {
            None => self.random_reaching_host(region, excluded, now_ms),
            known => known,
        }
    }

    /// Places waiting requests, the most urgent first.
    pub(super) fn serve_waiting(&mut self, now_ms: u64) {
        if self.waiting.is_empty() {
            return;
        }
        let mut order = self.waiting.clone();
        order.retain(|key| {
            let exchange = self.exchanges.get(*key);
            exchange.is_some_and(|exchange| now_ms >= exchange.next_placement_ms)
        });
        order.sort_by_key(|key| sort_key(&self.exchanges[*key]));
        let mut tried: Vec<(CompactString, usize)> = Vec::new();
        for key in order {
            let Some(exchange) = self.exchanges.get(key) else {
                continue;
            };
            let service = exchange.route.service.clone();
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

fn blocked_pause_ms(skip_count: usize) -> u64 {
    BLOCKED_PLACEMENT_PAUSE_MS << skip_count.min(MAX_PAUSE_DOUBLINGS)
}

/// Sort key of waiting requests: those that have run first, then priority, then arrival.
fn sort_key(exchange: &Exchange) -> (bool, u8, u64, u64) {
    let priority = exchange.route.priority.unwrap_or(0);
    (
        !exchange.has_run(),
        priority,
        exchange.arrived_ms,
        exchange.serial,
    )
}
