//! Merges the service-level burn of all hosts that this host can reach.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    burn::BurnReport,
    clock,
    decider::DeciderHandle,
    decision::Gateway,
    peer::{
        client::{
            PeerClient,
            PeerRequest, //
        },
        frame::Frame, //
    },
    recorder::RecorderHandle,
    types::HostId, //
};

const ASK_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_REPORT_BYTES: usize = 16 * 1024 * 1024;

/// Collects the reports of all hosts in reach.
pub struct BurnCollector {
    /// What this host has counted.
    pub recorder: RecorderHandle,
    /// Knows the other hosts.
    pub decider: DeciderHandle,
    /// Asks them.
    pub peers: PeerClient,
}

impl BurnCollector {
    /// One report over all hosts; names those that did not answer.
    pub fn collect(&self) -> BurnReport {
        let mut merged = self.recorder.report().unwrap_or_default();
        let others = self.decider.query(other_hosts).unwrap_or_default();
        for (host, address) in others {
            match self.ask(&host, address) {
                Some(report) => {
                    merged.merge(&report);
                }
                None => merged = merged.with_missing(host),
            }
        }
        merged
    }

    fn ask(&self, host: &HostId, address: SocketAddr) -> Option<BurnReport> {
        let request = PeerRequest {
            host,
            address,
            frame: &Frame::GetBurnReport,
            body: &[],
            max_response_bytes: MAX_REPORT_BYTES,
            deadline: Instant::now() + ASK_TIMEOUT,
        };
        let answer = self.peers.request(&request).ok()?;
        if answer.frame != Frame::BurnReport {
            return None;
        }
        BurnReport::decode(&answer.payload).ok()
    }
}

/// Hosts of this region, and up to eight of each other one.
fn other_hosts(gateway: &Gateway) -> BTreeMap<HostId, SocketAddr> {
    let (view, now_ms) = (gateway.view(), clock::now());
    let heard = view.hosts.values().map(|state| {
        let heartbeat = &state.heartbeat;
        (heartbeat.host.clone(), heartbeat.peer_address)
    });
    let named = gateway.config().links.iter().flat_map(|link| {
        let hosts = view.forward_hosts(now_ms, &link.region, gateway.policy());
        hosts
            .into_iter()
            .map(|host| (host.host.clone(), host.peer_address))
    });
    let mut others: BTreeMap<HostId, SocketAddr> = heard.chain(named).collect();
    others.remove(&gateway.config().host);
    others
}
