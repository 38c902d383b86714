//! Hosts that reach no endpoint: finds out that this one does not, and sends its requests
//! through other hosts of the region.

use compact_str::CompactString;

use super::{
    admission::{
        RemoteOffer,
        RemoteRoom, //
    },
    configuration::Service,
    endpoint::EndpointHash,
    endpoint_reach::ReachChange,
    exchange::Exchange,
    fleet::EndpointQuery,
    reactor::Reactor, //
};

/// Time after a host found that it is cut off in which it learns whether others are.
const SETTLE_MS: u64 = 1_000;
/// Longest time for which a failure waits for a connection to another endpoint.
const MAX_DOUBT_MS: u64 = 2_000;
/// Assumed round trip to a host of the own region before it has been measured.
const DEFAULT_NEIGHBOUR_ROUND_TRIP_MS: f64 = 5.0;

/// Failure to connect to an endpoint that may be this host's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UnreachedEndpoint {
    endpoint: CompactString,
    failed_ms: u64,
    /// Hash of the endpoint, and the time until which it is blocked, if it is.
    block: Option<(EndpointHash, u64)>,
}

impl Reactor {
    /// Returns whether this host reaches no endpoint.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Records that a connection to an endpoint was established.
    pub(super) fn record_reached(&mut self) {
        let now_ms = self.now_ms();
        let change = self.reach.record_connected(now_ms);
        self.apply_reach_change(change, now_ms);
    }

    /// Records that an endpoint could not be reached, which other hosts are told once it is
    /// clear that this host reaches others.
    pub(super) fn record_unreached(&mut self, id: &CompactString, now_ms: u64) {
        self.reach.record_unreachable(id);
        self.unreached.push(UnreachedEndpoint {
            endpoint: id.clone(),
            failed_ms: now_ms,
            block: None,
        });
    }

    /// Records that an endpoint is blocked because it could not be reached.
    pub(super) fn record_unreached_block(&mut self, hash: EndpointHash, id: &str, until_ms: u64) {
        let mut unreached = self.unreached.iter_mut().rev();
        if let Some(latest) = unreached.find(|one| one.endpoint == id) {
            latest.block = Some((hash, until_ms));
        }
    }

    /// Tries connections to endpoints where that is due, and decides whether this host is cut
    /// off.
    pub(super) fn follow_reach(&mut self, now_ms: u64) {
        let busy_count = self.fleet.busy_count();
        if self.reach.is_due(busy_count, now_ms) {
            self.try_endpoints(busy_count, now_ms);
        }
        self.settle_unreached(now_ms);
    }

    fn try_endpoints(&mut self, busy_count: usize, now_ms: u64) {
        let staying = self.fleet.staying_ids(now_ms);
        for id in self.reach.probes(&staying, busy_count, now_ms) {
            if let Some(endpoint) = self.fleet.get(&id) {
                self.connect_ahead(endpoint.announcement.address, Some(id));
            }
        }
        let change = self.reach.decide(&staying, now_ms);
        self.apply_reach_change(change, now_ms);
    }

    fn apply_reach_change(&mut self, change: Option<ReachChange>, now_ms: u64) {
        match change {
            Some(ReachChange::Lost { failed_count }) => {
                tracing::warn!(
                    dependency = "endpoints",
                    failed = failed_count,
                    requests = self.exchanges.len(),
                    "dependency lost; requests go through other hosts"
                );
                self.next_beacon_ms = now_ms;
                self.next_remote_beacon_ms = now_ms;
            }
            Some(ReachChange::Regained { lost_ms }) => {
                tracing::info!(
                    dependency = "endpoints",
                    lost_for_ms = now_ms.saturating_sub(lost_ms),
                    "dependency regained"
                );
                self.fleet.forget_failures();
                self.next_beacon_ms = now_ms;
                self.next_remote_beacon_ms = now_ms;
            }
            None => return,
        }
        self.fleet.set_reached(!self.is_cut_off());
        self.telemetry.set_cut_off(self.is_cut_off());
    }

    /// Reports endpoints that could not be reached, unless that was this host's own fault.
    fn settle_unreached(&mut self, now_ms: u64) {
        if self.unreached.is_empty() {
            return;
        }
        let connected_ms = self.reach.connected_ms();
        let is_own_fault = match self.reach.cut_off_since_ms() {
            // If no other host of the region reaches an endpoint, they may have ended.
            Some(since_ms) if now_ms >= since_ms + SETTLE_MS => {
                Some(self.hosts.reaching_in_region(now_ms).next().is_some())
            }
            Some(_) => None,
            None => Some(false),
        };
        let is_cut_off = self.is_cut_off();
        let unreached = std::mem::take(&mut self.unreached);
        for one in unreached {
            let is_clear = is_cut_off
                || one.failed_ms <= connected_ms
                || now_ms >= one.failed_ms + MAX_DOUBT_MS;
            match is_own_fault.filter(|_| is_clear) {
                Some(false) => self.report_unreached(&one, now_ms),
                Some(true) => {}
                None => self.unreached.push(one),
            }
        }
    }

    fn report_unreached(&mut self, unreached: &UnreachedEndpoint, now_ms: u64) {
        self.confirm_crash(&unreached.endpoint, now_ms);
        self.allow_telling(&unreached.endpoint, now_ms);
        if let Some((hash, until_ms)) = unreached.block
            && until_ms > now_ms
        {
            self.pending_update.record_block(hash, until_ms - now_ms);
        }
    }

    /// Returns the offer of another host of this region, if this one reaches no endpoint.
    pub(super) fn neighbour_offer(
        &self,
        exchange: &Exchange,
        service: &Service,
        now_ms: u64,
    ) -> Option<RemoteOffer> {
        let region = &self.settings.host.region;
        let may_offer = self.is_cut_off()
            && !exchange.is_forwarded
            && exchange.route.allows_region(region)
            && !exchange.excluded_regions.contains(region)
            && !exchange.is_in_region(region)
            && self.serves_version_of(exchange, region, now_ms);
        let excluded = &exchange.excluded_hosts;
        let mut neighbours = self.reaching_hosts_in(region, excluded, now_ms);
        if !may_offer || neighbours.next().is_none() {
            return None;
        }
        let metadata = &exchange.request.metadata;
        let round_trip_ms = self.round_trip_ms.get(region).copied();
        let backlog_ms = self.fleet.staying_backlog_ms(service, now_ms)?;
        let first_event_ms = round_trip_ms.unwrap_or(DEFAULT_NEIGHBOUR_ROUND_TRIP_MS)
            + backlog_ms
            + self.fleet.service_ms(service, metadata, now_ms);
        let query = EndpointQuery {
            goal_left_ms: exchange.goal_at_ms.saturating_sub(now_ms) as f64,
            time_left_ms: exchange.deadline_ms.saturating_sub(now_ms) as f64,
            ..EndpointQuery::new(service, metadata, &self.region_view)
        };
        Some(RemoteOffer {
            room: RemoteRoom::Unknown,
            region: region.clone(),
            first_event_ms,
            cost_ms: self
                .fleet
                .neighbour_cost(region, first_event_ms, &query, now_ms),
        })
    }
}
