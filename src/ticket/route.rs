//! What a host does with a ticket that a caller presents.

use super::{
    handover::HANDOVER_VALID_MS,
    refusal::{
        TicketRefusal,
        TicketRefusalReason,
        UNREACHABLE_RETRY_MS, //
    },
    token::{
        HostInstance,
        Ticket, //
        TicketOwner,
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

/// How long after the first sight of a host's next run a ticket of the earlier
/// run may still turn up at a successor.
///
/// Three times [`HANDOVER_VALID_MS`]: the handover is imported within the first
/// part, the rest covers the successor's announcement by gossip and the
/// difference between the clocks of two hosts.
pub const HANDOVER_SETTLE_MS: Millis = Millis(3 * HANDOVER_VALID_MS.0);

/// The newest news of a host, from its heartbeats or the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownHost {
    /// Its current run.
    pub incarnation: Incarnation,
    /// Instant at which this host first heard of that run.
    pub first_seen_ms: Millis,
    /// Instant at which this host last heard from that run.
    pub last_seen_ms: Millis,
    /// Its region.
    pub region: RegionId,
    /// Its address for other hosts.
    pub peer_address: std::net::SocketAddr,
    /// Whether it may receive forwarded requests.
    pub is_reachable: bool,
}

/// What this host knows when a ticket is presented.
#[derive(Debug, Clone)]
pub struct RouteView<'a> {
    /// This host.
    pub this_host: &'a TicketOwner,
    /// Instant at which this host started.
    pub started_ms: Millis,
    /// [`TicketTable::holds`](super::table::TicketTable::holds) of this host.
    pub is_held_here: bool,
    /// Whether another host forwarded the call, which makes this host the last.
    pub is_forwarded: bool,
    /// The run last known to hold the tickets of the owner: the owner itself,
    /// or the last successor that announced its run.
    pub holder: &'a HostInstance,
    /// Newest news of the host of `holder`.
    pub known_host: Option<&'a KnownHost>,
    /// Regions that the caller's intent allows.
    pub allowed: &'a AllowedRegions,
    /// Time at this host.
    pub now_ms: Millis,
}

/// What to do with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Ask the table of this host; its answer is final.
    Local,
    /// Forward to this run, which is the last host of the call.
    Forward(TicketOwner),
    /// Nobody can be asked now.
    Refused(TicketRefusal),
}

/// Decides where a ticket is decided. It never says `not_run`.
pub fn route(ticket: &Ticket, view: &RouteView<'_>) -> Route {
    if view.is_held_here {
        return Route::Local;
    }
    if *view.holder == view.this_host.instance {
        // The table has been exported and its successor is not known here yet.
        return Route::Refused(TicketRefusal::leaving());
    }
    if view.holder.host == view.this_host.instance.host {
        return Route::Refused(earlier_run(view.started_ms, view.now_ms));
    }
    if view.is_forwarded {
        // A forwarded call goes no further, even if the holder is known here.
        return Route::Refused(TicketRefusal::unreachable());
    }
    let Some(known_host) = view.known_host else {
        return route_unseen(ticket, view.holder);
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

/// A host of another region is often unknown here; its ticket has its address.
fn route_unseen(ticket: &Ticket, holder: &HostInstance) -> Route {
    let owner = &ticket.body().owner;
    if owner.instance == *holder {
        return Route::Forward(owner.clone());
    }
    Route::Refused(TicketRefusal::unreachable())
}

/// Whether the holder's host certainly has a newer run, so that the holder's
/// table is gone and no successor will turn up any more.
///
/// Incarnations have no order, and the news may be older than the ticket: a
/// ticket of a run that this host has not heard of yet must not be called
/// unknown. In doubt the host itself is asked.
fn is_superseded(ticket: &Ticket, known_host: &KnownHost, view: &RouteView<'_>) -> bool {
    let is_other_run = known_host.incarnation != view.holder.incarnation;
    let is_newer = known_host.last_seen_ms >= ticket.body().issued_ms + HANDOVER_SETTLE_MS;
    let is_settled = view.now_ms >= known_host.first_seen_ms + HANDOVER_SETTLE_MS;
    is_other_run && is_newer && is_settled
}

/// Answer of a host for a ticket of its own earlier run.
fn earlier_run(started_ms: Millis, now_ms: Millis) -> TicketRefusal {
    let unknown = TicketRefusal::new(TicketRefusalReason::Unknown);
    if now_ms < started_ms + HANDOVER_SETTLE_MS {
        return unknown.with_retry_after(UNREACHABLE_RETRY_MS);
    }
    unknown
}
