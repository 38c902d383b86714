//! What a host does with a ticket that a caller presents.

use super::{
    handover::HANDOVER_VALID_MS,
    refusal::{
        TicketRefusal,
        TicketRefusalReason,
        UNREACHABLE_RETRY_MS, //
    },
    token::{
        HostRun,
        Owner,
        Ticket, //
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
pub const OWNER_SETTLE_MS: Millis = Millis(3 * HANDOVER_VALID_MS.0);

/// The newest news of a host, from its heartbeats or the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// Its current run.
    pub incarnation: Incarnation,
    /// Instant at which this host first heard of that run.
    pub first_seen_ms: Millis,
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
    pub me: &'a Owner,
    /// Instant at which this host started.
    pub started_ms: Millis,
    /// [`TicketTable::holds`](super::table::TicketTable::holds) of this host.
    pub is_held_here: bool,
    /// Whether another host forwarded the call, which makes this host the last.
    pub is_forwarded: bool,
    /// The run last known to hold the tickets of the owner: the owner itself,
    /// or the last successor that announced its run.
    pub holder: &'a HostRun,
    /// Newest news of the host of `holder`.
    pub sighting: Option<&'a Sighting>,
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
    Forward(Owner),
    /// Nobody can be asked now.
    Refused(TicketRefusal),
}

/// Decides where a ticket is decided. It never says `not_run`.
pub fn route(ticket: &Ticket, view: &RouteView<'_>) -> Route {
    if view.is_held_here || view.is_forwarded {
        return Route::Local;
    }
    if view.holder.host == view.me.run.host {
        return Route::Refused(superseded(view.started_ms, view.now_ms));
    }
    let Some(sighting) = view.sighting else {
        return route_unseen(ticket, view.holder);
    };
    if sighting.incarnation != view.holder.incarnation {
        return Route::Refused(superseded(sighting.first_seen_ms, view.now_ms));
    }
    if !sighting.is_reachable {
        return Route::Refused(TicketRefusal::unreachable());
    }
    if !view.allowed.contains(&sighting.region) {
        return Route::Refused(TicketRefusal::unreachable());
    }
    Route::Forward(Owner {
        run: view.holder.clone(),
        region: sighting.region.clone(),
        peer_address: sighting.peer_address,
    })
}

/// A host of another region is often unknown here; its ticket has its address.
fn route_unseen(ticket: &Ticket, holder: &HostRun) -> Route {
    let owner = &ticket.body().owner;
    if owner.run == *holder {
        return Route::Forward(owner.clone());
    }
    Route::Refused(TicketRefusal::unreachable())
}

/// The holder's host has a newer run, so its table is gone or handed over.
fn superseded(first_seen_ms: Millis, now_ms: Millis) -> TicketRefusal {
    let unknown = TicketRefusal::new(TicketRefusalReason::Unknown);
    if now_ms < first_seen_ms + OWNER_SETTLE_MS {
        return unknown.with_retry_after(UNREACHABLE_RETRY_MS);
    }
    unknown
}
