//! How a host leaves: it stops taking work, lets what it has end, and hands its
//! ticket table to a successor.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    clock,
    decision::Gateway,
    in_force::InForceCell,
    peer::{
        client::{
            PeerClient,
            PeerRequest, //
        },
        frame::Frame, //
    },
    ticket::{
        handover::HANDOVER_VALID_MS,
        token::{
            HostInstance,
            TicketOwner, //
        }, //
    },
    ticketed_calls::TicketContext,
    types::Bytes, //
};

const SEND_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_PAUSE: Duration = Duration::from_millis(100);

/// What the handover of the ticket table needs.
pub struct Handover<'a> {
    /// The ticket table.
    pub tickets: &'a TicketContext,
    /// Starts exchanges with the successor.
    pub peers: &'a PeerClient,
    /// Configuration in force.
    pub in_force: &'a InForceCell,
}

impl Handover<'_> {
    /// Stops starting ticketed calls and names the host that will hold them.
    pub fn start(&self) -> Option<TicketOwner> {
        let me = self.tickets.this_host.instance.clone();
        let chosen = self
            .tickets
            .relay
            .decider
            .query(move |gateway| successor(gateway, &me));
        let successor = chosen.ok().flatten()?;
        self.tickets
            .start_handover(successor.instance.clone())
            .then_some(successor)
    }

    /// Hands the table over once no ticketed call is in progress.
    ///
    /// Without an acknowledgement the state of the tickets is unknown, since the
    /// successor may or may not hold them.
    pub fn finish(&self, successor: &TicketOwner) -> bool {
        let Some(current) = self.in_force.get() else {
            return false;
        };
        let intents = current.intents.clone();
        let Some(table) = self.tickets.export(intents, successor.region.clone()) else {
            return false;
        };
        let until = Instant::now() + Duration::from_millis(HANDOVER_VALID_MS.0);
        while Instant::now() < until {
            if self.send(successor, &table) {
                return true;
            }
            thread::sleep(SEND_PAUSE);
        }
        false
    }

    fn send(&self, successor: &TicketOwner, table: &[u8]) -> bool {
        let request = Frame::TicketHandover {
            body_bytes: Bytes(table.len() as u64),
        };
        let answer = self.peers.request(&PeerRequest {
            host: &successor.instance.host,
            address: successor.peer_address,
            frame: &request,
            body: table,
            max_response_bytes: 0,
            deadline: Instant::now() + SEND_TIMEOUT,
        });
        answer.is_ok_and(|answer| answer.frame == Frame::Ack)
    }
}

/// A live host of this region, the same one for all who look at the same view.
fn successor(gateway: &Gateway, me: &HostInstance) -> Option<TicketOwner> {
    let region = &gateway.config().region;
    gateway
        .view()
        .ready_hosts(clock::now(), region, gateway.policy())
        .filter(|state| state.heartbeat.host != me.host)
        .max_by_key(|state| {
            crate::peer::rendezvous_rank(me.host.as_str(), state.heartbeat.host.as_str())
        })
        .map(|state| TicketOwner {
            instance: HostInstance {
                host: state.heartbeat.host.clone(),
                incarnation: state.heartbeat.incarnation,
            },
            region: state.heartbeat.region.clone(),
            peer_address: state.heartbeat.peer_address,
        })
}
