//! Decides which host instance serves a ticket that a caller presents.

use super::{
    handover::HANDOVER_VALID_MS,
    refusal::{
        TicketRefusal,
        TicketRefusalReason,
        UNREACHABLE_RETRY_MS, //
    },
    token::{
        HostInstance,
        Ticket,
        TicketOwner, //
    }, //
};
use crate::{
    decision::residency::AllowedRegions,
    types::{
        Incarnation,
        Millis,
        RegionId, //
    }, //
};

/// How long after a host's next instance is first seen a successor may still
/// announce the tickets of the earlier instance.
///
/// Three times [`HANDOVER_VALID_MS`]: the handover is imported within the first
/// third, the rest covers the successor's announcement by gossip and the
/// difference between the clocks of two hosts.
pub const HANDOVER_SETTLE_MS: Millis = Millis(3 * HANDOVER_VALID_MS.0);

/// Latest known state of a host, from its heartbeats or the platform's list of
/// hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownHost {
    /// Incarnation of its current instance.
    pub incarnation: Incarnation,
    /// Instant at which this host first learned of that instance.
    pub first_seen_ms: Millis,
    /// Instant of the last heartbeat from that instance.
    pub last_seen_ms: Millis,
    /// Its region.
    pub region: RegionId,
    /// Its address for other hosts.
    pub peer_address: std::net::SocketAddr,
    /// Whether it may receive forwarded requests.
    pub is_reachable: bool,
}

/// What this host knows about a ticket when it is presented.
#[derive(Debug, Clone)]
pub struct RouteView<'a> {
    /// This host.
    pub this_host: &'a TicketOwner,
    /// Instant at which this instance started.
    pub started_ms: Millis,
    /// [`TicketTable::holds`](super::table::TicketTable::holds) of this host.
    pub is_held_here: bool,
    /// Whether another host forwarded the call; it is then not forwarded again.
    pub is_forwarded: bool,
    /// The instance last known to hold the tickets of the owner: the owner
    /// itself, or the last successor that announced the owner.
    pub holder: &'a HostInstance,
    /// Latest known state of the host of `holder`.
    pub known_host: Option<&'a KnownHost>,
    /// Regions that the caller's intent allows.
    pub allowed: &'a AllowedRegions,
    /// Current time at this host.
    pub now_ms: Millis,
}

/// Where a ticket is served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// By the table of this host, whose response is final.
    Local,
    /// By this instance; the request is forwarded to it.
    Forward(TicketOwner),
    /// Nowhere at present.
    Refused(TicketRefusal),
}

/// Selects the holder of a ticket. A refusal from here is never `not_run`.
pub fn route(ticket: &Ticket, view: &RouteView<'_>) -> Route {
    if view.is_held_here {
        return Route::Local;
    }
    if *view.holder == view.this_host.instance {
        // The table has been exported and its successor is not known here yet.
        return Route::Refused(TicketRefusal::leaving());
    }
    if view.holder.host == view.this_host.instance.host {
        return Route::Refused(refuse_earlier_instance(view.started_ms, view.now_ms));
    }
    if view.is_forwarded {
        // A forwarded call is not forwarded again, even if the holder is known.
        return Route::Refused(TicketRefusal::unreachable());
    }
    let Some(known_host) = view.known_host else {
        return route_to_unknown_host(ticket, view.holder);
    };
    if is_superseded(ticket, known_host, view) {
        return Route::Refused(TicketRefusal::new(TicketRefusalReason::Unknown));
    }
    if !known_host.is_reachable {
        return Route::Refused(TicketRefusal::unreachable());
    }
    if !view.allowed.contains(&known_host.region) {
        return Route::Refused(TicketRefusal::unreachable());
    }
    Route::Forward(TicketOwner {
        instance: view.holder.clone(),
        region: known_host.region.clone(),
        peer_address: known_host.peer_address,
    })
}

/// Routes to a holder whose host is unknown here, which is common for hosts of
/// other regions; a ticket carries the address of its owner.
fn route_to_unknown_host(ticket: &Ticket, holder: &HostInstance) -> Route {
    let owner = &ticket.body().owner;
    if owner.instance == *holder {
        return Route::Forward(owner.clone());
    }
    Route::Refused(TicketRefusal::unreachable())
}

/// Whether the holder's host certainly runs a newer instance, so that the
/// holder's table no longer exists and no successor will announce itself.
///
/// Incarnations have no order, and the known state may be older than the
/// ticket: a ticket of an instance that this host has not seen yet must not be
/// reported as unknown. In doubt the call is forwarded to the host.
fn is_superseded(ticket: &Ticket, known_host: &KnownHost, view: &RouteView<'_>) -> bool {
    let is_other_instance = known_host.incarnation != view.holder.incarnation;
    let is_newer = known_host.last_seen_ms >= ticket.body().issued_ms + HANDOVER_SETTLE_MS;
    let is_settled = view.now_ms >= known_host.first_seen_ms + HANDOVER_SETTLE_MS;
    is_other_instance && is_newer && is_settled
}

/// Refuses a ticket that an earlier instance of this host issued.
fn refuse_earlier_instance(started_ms: Millis, now_ms: Millis) -> TicketRefusal {
    let unknown = TicketRefusal::new(TicketRefusalReason::Unknown);
    if now_ms < started_ms + HANDOVER_SETTLE_MS {
        return unknown.with_retry_after(UNREACHABLE_RETRY_MS);
    }
    unknown
}
