//! Requests whose endpoint is silent.
//!
//! A silent endpoint may be sound and go on, so a request is moved to another place only
//! when one is ready to take it.

use super::{
    admission::{
        Placement,
        RemoteOffer,
        place, //
    },
    endpoint::Failure,
    exchange::{
        Destination,
        Exchange, //
    },
    fleet::Choice,
    hosts::HostInfo,
    reactor::Reactor, //
};

/// Minimum time without progress after which a retryable request is sent to
/// another endpoint: longer than the silence of a sound endpoint, up to two seconds.
const MIN_STALL_MS: u64 = 2_200;
/// Like [`MIN_STALL_MS`], for another region, whose latency is predicted less
/// accurately.
const REMOTE_STALL_MS: u64 = 2_500;
/// Multiple of the predicted time to the first event after which the request
/// counts as stalled.
const STALL_FACTOR: f64 = 4.0;
/// Like [`MIN_STALL_MS`], at endpoints that this host does not reach any more.
const CUT_OFF_STALL_MS: u64 = 500;
/// Interval at which a place for a stalled request is sought.
const MOVE_INTERVAL_MS: u64 = 100;

impl Reactor {
    /// Moves a stalled request to another endpoint or region, if one can take it and the
    /// retry budget allows it.
    ///
    /// A silent endpoint may go on, so the request stays there until the connection to
    /// its successor is open.
    pub(super) fn move_stalled(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let exchange = self.exchanges.get_mut(key);
        let Some(dispatch) = exchange.and_then(|exchange| exchange.dispatch.as_mut()) else {
            return;
        };
        dispatch.next_move_ms = now_ms + MOVE_INTERVAL_MS;
        let dispatch = dispatch.clone();
        if !self.may_move(key, now_ms) {
            return;
        }
        let Some(successor) = self.connected_successor(key, now_ms) else {
            return;
        };
        let service = self.exchanges[key].route.service.clone();
        if !self.try_take_retry(&service, now_ms) {
            return;
        }
        let exchange = &mut self.exchanges[key];
        tracing::info!(
            request = %exchange.request.metadata.attempt_id,
            silent_ms = now_ms.saturating_sub(dispatch.progress_ms),
            "endpoint stalled; request is sent to another one"
        );
        exchange.buffered.clear();
        exchange.discard_cut_event();
        self.avoid_destination(key);
        self.end_dispatch(key, Some(Failure::Broken), now_ms);
        self.close_upstream(dispatch.upstream);
        self.telemetry.count_retry();
        match successor {
            Successor::Endpoint(choice) => self.send_to_endpoint(key, choice),
            Successor::Host(offer, host) => self.send_to_host(key, offer, host),
        }
    }

    /// Returns where a request in progress can be moved, once a connection there is open;
    /// starts to connect otherwise.
    fn connected_successor(&mut self, key: usize, now_ms: u64) -> Option<Successor> {
        let attempt = self.exchanges.get(key)?.request.metadata.attempt();
        let successor = match place(self.placement_context(key, now_ms)?) {
            Placement::Send(choice) => Successor::Endpoint(choice),
            Placement::Forward(offer) => {
                let excluded = self.exchanges.get(key)?.excluded_hosts.clone();
                let host = self.preferred_host(&offer.region, &excluded, attempt, now_ms)?;
                Successor::Host(offer, host)
            }
            Placement::Wait | Placement::Refuse(_) => return None,
        };
        let (address, endpoint) = match &successor {
            Successor::Endpoint(choice) => {
                let endpoint = self.fleet.get(&choice.endpoint)?;
                (endpoint.announcement.address, Some(endpoint.id.clone()))
            }
            Successor::Host(_, host) => (host.peer_address, None),
        };
        if self.has_idle(address, attempt, now_ms) {
            return Some(successor);
        }
        self.connect_ahead(address, endpoint);
        None
    }
}

/// Where a request in progress is moved.
enum Successor {
    Endpoint(Choice),
    Host(RemoteOffer, HostInfo),
}

/// Returns whether a retryable request has made no progress for too long.
pub(super) fn is_stalled(exchange: &Exchange, is_cut_off: bool, now_ms: u64) -> bool {
    let Some(dispatch) = &exchange.dispatch else {
        return false;
    };
    let is_retryable = exchange.is_retryable()
        && exchange.inbound.is_some()
        && exchange.run_count + 1 < exchange.route.max_attempts;
    let limit_ms = match &dispatch.destination {
        Destination::Region { .. } => REMOTE_STALL_MS,
        Destination::Endpoint(_) if is_cut_off => CUT_OFF_STALL_MS,
        Destination::Endpoint(_) if dispatch.has_begun => MIN_STALL_MS,
        Destination::Endpoint(choice) => {
            MIN_STALL_MS.max((choice.first_event_ms * STALL_FACTOR) as u64)
        }
    };
    is_retryable && now_ms >= dispatch.progress_ms + limit_ms && now_ms >= dispatch.next_move_ms
}
