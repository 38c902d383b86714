//! The thread that tells the other hosts about this host and its region.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use crate::{
    clock,
    config::Config,
    contact::PlatformContact,
    decider::DeciderHandle,
    decision::{
        Gateway,
        event::Event,
        view::{
            EndpointInfo,
            Heartbeat, //
        }, //
    },
    in_force::InForceCell,
    peer::socket::{
        GossipSocket,
        LocalUpdate, //
    },
    poller::{
        self,
        Poller, //
    },
    ticketed_calls::TicketContext,
    types::{
        HostId,
        Incarnation, //
    },
    watch::StopFlag, //
};

const INTERVAL: Duration = Duration::from_millis(100);

/// What a heartbeat is made of.
pub struct Announcer {
    /// Settings of this host.
    pub config: Config,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Configuration in force.
    pub in_force: InForceCell,
    /// What the platform has told.
    pub contact: PlatformContact,
    /// Set when this host takes no new work.
    pub is_leaving: Arc<AtomicBool>,
    /// Requests that are being answered.
    pub open_requests: Arc<AtomicUsize>,
    /// The ticket table.
    pub tickets: TicketContext,
}

impl Announcer {
    /// Announces until stopped, and gives the poller its share of endpoints.
    pub fn run(
        &self,
        gossip: &GossipSocket,
        poller: &Poller,
        decider: &DeciderHandle,
        stop: &StopFlag,
    ) {
        let mut sequence = 0;
        while !stop.is_set() {
            sequence += 1;
            self.announce(sequence, gossip, decider);
            if let Ok(targets) = decider.query(poll_targets) {
                poller.set_targets(targets);
            }
            thread::sleep(INTERVAL);
        }
    }

    fn announce(&self, sequence: u64, gossip: &GossipSocket, decider: &DeciderHandle) {
        let heartbeat = self.heartbeat(sequence);
        gossip.publish(LocalUpdate::Heartbeat(heartbeat.clone()));
        // The next heartbeat follows soon if the ring is full.
        let _ = decider.report(Event::Heartbeat(heartbeat));
        let now_ms = clock::now();
        let summary = decider.query(move |gateway| gateway.region_summary(now_ms));
        if let Ok(Some(summary)) = summary {
            gossip.publish(LocalUpdate::Summary(summary));
        }
    }

    fn heartbeat(&self, sequence: u64) -> Heartbeat {
        let is_leaving = self.is_leaving.load(Ordering::Acquire);
        let revision = self.in_force.revision();
        let open_requests = self.open_requests.load(Ordering::Relaxed);
        Heartbeat {
            host: self.config.host.clone(),
            incarnation: self.incarnation,
            sequence,
            region: self.config.region.clone(),
            data_centre: self.config.data_centre.clone(),
            peer_address: self.config.peer_address_for_others(),
            caller_address: self.caller_address,
            is_leaving,
            is_ready: !is_leaving && self.in_force.get().is_some() && self.contact.has_list(),
            revision,
            open_requests: u32::try_from(open_requests).unwrap_or(u32::MAX),
            ticket_owners: self.tickets.owners(),
        }
    }
}

/// The endpoints of this region that this host polls.
fn poll_targets(gateway: &Gateway) -> Vec<EndpointInfo> {
    let (config, view) = (gateway.config(), gateway.view());
    let now_ms = clock::now();
    let mut live: Vec<HostId> = view
        .ready_hosts(now_ms, &config.region, gateway.policy())
        .map(|state| state.heartbeat.host.clone())
        .collect();
    // A host that has just started may not have heard itself yet.
    if !live.contains(&config.host) {
        live.push(config.host.clone());
    }
    let endpoints: Vec<EndpointInfo> = view
        .endpoints
        .values()
        .filter(|state| state.info.region == config.region)
        .map(|state| state.info.clone())
        .collect();
    let assigned = poller::assigned(&config.host, &live, &endpoints);
    assigned.into_iter().cloned().collect()
}
