//! Where a request goes: to an endpoint, to another region, or into the queue.
//!
//! The decision itself is [`place`]; here its inputs are gathered and its outcome
//! is carried out.

use std::rc::Rc;

use compact_str::CompactString;

use super::{
    admission::{
        AwayOffer,
        Placement,
        Situation,
        place, //
    },
    configuration::Service,
    events::EventSplitter,
    exchange::{
        CallerRequest,
        Exchange,
        Plan,
        Refused, //
    },
    fleet::Demand,
    hosts::HostInfo,
    reactor::Reactor, //
};

/// Time limit of a request that states none.
const DEFAULT_TIME_LIMIT_MS: u64 = 30_000;
/// Round trip to another region before one was measured.
const DEFAULT_ROUND_TRIP_MS: f64 = 150.0;
/// Age beyond which another region's load is not believed: several beacons.
const MAX_AWAY_AGE_MS: u64 = 2_500;
/// Placements tried in one pass over the waiting requests of a service.
const MAX_PLACEMENTS: usize = 24;

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
            has_reply_begun: false,
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
    pub(super) fn place_exchange(&mut self, key: usize) {
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

    pub(super) fn situation(&mut self, key: usize, now_ms: u64) -> Option<Situation> {
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
    pub(super) fn service(&self, name: &str) -> Service {
        let known = self
            .configuration
            .as_ref()
            .and_then(|known| known.service(name));
        known.cloned().unwrap_or_else(|| Service {
            name: name.into(),
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
        let others_ms = self.hosts.peer_queue_ms(&service.name, now_ms) / 2.0;
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

    pub(super) fn away_offer(
        &self,
        exchange: &Exchange,
        service: &Service,
        now_ms: u64,
    ) -> Option<AwayOffer> {
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

    pub(super) fn offer_of(
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
