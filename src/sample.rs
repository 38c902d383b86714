//! Totals that other threads keep, turned into metrics once a second.

use std::sync::Arc;

use crate::{
    decider::DeciderHandle,
    decision::budget::Waste,
    in_force::InForceCell,
    metrics::{
        Metric,
        Metrics, //
    },
    peer::{
        client::PeerClient,
        server::PeerServer,
        socket::GossipSocket, //
    },
    poller::Poller, //
};

/// Turns a growing total into the amounts that a counter takes.
#[derive(Debug, Default)]
struct Total(u64);

impl Total {
    fn count(&mut self, metrics: &Metrics, metric: Metric, total: u64) {
        let grown = total.saturating_sub(self.0);
        self.0 = total;
        if grown > 0 {
            metrics.count(metric, grown);
        }
    }
}

/// Where the totals are kept, and their last values.
pub struct Sampler {
    decider: DeciderHandle,
    in_force: InForceCell,
    gossip: Arc<GossipSocket>,
    peers: PeerClient,
    peer_server: Arc<PeerServer>,
    poller: Arc<Poller>,
    gossip_sent: Total,
    gossip_received: Total,
    gossip_refused: Total,
    gossip_dropped: Total,
    peer_broken: Total,
    peer_received: Total,
    poll_failures: Total,
    events_dropped: Total,
    retries: Total,
    wasted: Total,
    away: Total,
}

impl Sampler {
    /// A sampler that has seen no totals.
    pub fn new(
        decider: DeciderHandle,
        in_force: InForceCell,
        gossip: Arc<GossipSocket>,
        peers: PeerClient,
        peer_server: Arc<PeerServer>,
        poller: Arc<Poller>,
    ) -> Self {
        Self {
            decider,
            in_force,
            gossip,
            peers,
            peer_server,
            poller,
            gossip_sent: Total::default(),
            gossip_received: Total::default(),
            gossip_refused: Total::default(),
            gossip_dropped: Total::default(),
            peer_broken: Total::default(),
            peer_received: Total::default(),
            poll_failures: Total::default(),
            events_dropped: Total::default(),
            retries: Total::default(),
            wasted: Total::default(),
            away: Total::default(),
        }
    }

    /// Records what has changed, and closes connections that nobody uses.
    pub fn sample(&mut self, metrics: &Metrics) {
        self.peers.close_idle();
        self.sample_peers(metrics);
        self.sample_decisions(metrics);
        let failures = self.poller.counts().failures;
        self.poll_failures
            .count(metrics, Metric::PollFailures, failures);
        metrics.gauge(Metric::Revision, self.in_force.revision().0);
    }

    fn sample_peers(&mut self, metrics: &Metrics) {
        let gossip = self.gossip.counts();
        let socket = self.gossip.socket_counts();
        let dropped = socket.dropped_updates + socket.dropped_datagrams + socket.failed_sends;
        let server = self.peer_server.counts();
        self.gossip_sent
            .count(metrics, Metric::GossipSent, gossip.sent_bytes);
        self.gossip_received
            .count(metrics, Metric::GossipReceived, gossip.received_bytes);
        self.gossip_refused
            .count(metrics, Metric::GossipRefused, gossip.wire.refused());
        self.gossip_dropped
            .count(metrics, Metric::GossipDropped, dropped);
        self.peer_broken
            .count(metrics, Metric::PeerBroken, server.failed_connections);
        self.peer_received
            .count(metrics, Metric::PeerExchanges, server.completed_exchanges);
    }

    fn sample_decisions(&mut self, metrics: &Metrics) {
        self.events_dropped
            .count(metrics, Metric::EventsDropped, self.decider.dropped());
        let totals = self.decider.query(|gateway| {
            (
                gateway.open_requests(),
                gateway.waiting_requests(),
                gateway.waste(),
            )
        });
        let Ok((open, waiting, waste)) = totals else {
            return;
        };
        metrics.gauge(Metric::OpenRequests, open as u64);
        metrics.gauge(Metric::QueuedRequests, waiting as u64);
        self.sample_waste(metrics, waste);
    }

    fn sample_waste(&mut self, metrics: &Metrics, waste: Waste) {
        self.retries.count(metrics, Metric::Retries, waste.retries);
        self.wasted
            .count(metrics, Metric::WastedTokens, waste.cancelled_tokens.0);
        self.away
            .count(metrics, Metric::AwayBytes, waste.inter_region_bytes.0);
    }
}
