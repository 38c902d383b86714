//! What an endpoint lets all hosts of its region send it together.
//!
//! Nothing is sent to a bound endpoint without a permit of its coordinator; see
//! [`super::permits`].

use super::{
    configuration::Service,
    permits::{
        COLLECTED_S,
        PERMIT_LIFETIME_MS,
        handed_out_rate, //
    },
    request_rate::RequestRate,
    serve_upstream::CONNECT_LIMIT_MS, //
};

/// Window in which the platform counts the requests to a cold endpoint.
const COLD_WINDOW_MS: u64 = 1_000;
/// Coordinators that hand out the whole rate because they do not hear each other, for which
/// the bound on a cold endpoint has to hold.
const COLD_COORDINATORS: f64 = 2.0;
/// Smallest share of the bound on a cold endpoint that is handed out in a second, so that the
/// endpoint is used also where the bound leaves no room for a burst.
const LEAST_COLD_SHARE: f64 = 0.125;

/// Limit on the rate of requests to a cold endpoint, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate that a service tolerates.
    pub factor: f64,
    /// Additional requests a second.
    pub slack: f64,
}

impl ColdBounds {
    /// Returns the rate of requests to a cold endpoint of a service; none if it has no bound.
    ///
    /// In the second that counts, an endpoint gets the permits of that second, of the lifetime
    /// of a permit and the longest time to connect before it, and one that was collected.
    pub fn rate(&self, service: &Service) -> Option<RequestRate> {
        if service.cold_per_s <= 0.0 {
            return None;
        }
        let most = service.cold_per_s * self.factor + self.slack;
        let counted_ms = COLD_WINDOW_MS + PERMIT_LIFETIME_MS + CONNECT_LIMIT_MS;
        let counted_s = counted_ms as f64 / 1_000.0 + COLLECTED_S;
        let per_s = (most / COLD_COORDINATORS - 1.0) / counted_s;
        RequestRate::new(per_s.max(most * LEAST_COLD_SHARE))
    }
}

/// The hosts of a region as a coordinator sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CoordinatorView {
    /// Share of the hosts, registered or heard, that it hears.
    pub heard_share: f64,
    /// Hosts that come before it as coordinators of the endpoint and were heard a moment ago.
    pub earlier_count: usize,
    /// It runs for long enough to know the others, and hears half of them.
    pub is_settled: bool,
}

/// Room of an endpoint that falls over if it has to turn away many requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Places without a request, as far as this host knows.
    pub free: u32,
    /// Permits that may be under way at once: if all of them are turned away, it still stands.
    pub most_at_once: u32,
}

/// Bound of an endpoint on the requests of all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    limit: Option<RequestRate>,
    cold: Option<RequestRate>,
    room: Option<Room>,
}

impl Bound {
    /// Returns the bound of an endpoint that names a limit, is cold or has little room; none if
    /// nothing of that holds.
    pub fn new(
        limit: Option<RequestRate>,
        cold: Option<RequestRate>,
        room: Option<Room>,
    ) -> Option<Self> {
        let is_bound = limit.is_some() || cold.is_some() || room.is_some();
        is_bound.then_some(Self { limit, cold, room })
    }

    /// Returns the rate for all hosts together; none if only its room bounds the endpoint.
    pub fn rate(&self) -> Option<RequestRate> {
        lower(self.limit, self.cold)
    }

    /// Returns the room, if it bounds the endpoint.
    pub fn room(&self) -> Option<Room> {
        self.room
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Returns the rate at which a coordinator hands out permits; none if only the room bounds
    /// them.
    ///
    /// The bound on a cold endpoint excuses nobody, so a coordinator that may not be the only
    /// one hands out none for it.
    pub fn handed_out_rate(&self, view: &CoordinatorView) -> Option<RequestRate> {
        let limit = self
            .limit
            .map(|limit| handed_out_rate(limit, view.heard_share, view.earlier_count));
        let cold = self
            .cold
            .map(|rate| match view.is_settled && view.earlier_count == 0 {
                true => rate.share(view.heard_share),
                false => RequestRate::default(),
            });
        lower(limit, cold)
    }
}

/// Returns the lower of two rates, of which one may be missing.
fn lower(left: Option<RequestRate>, right: Option<RequestRate>) -> Option<RequestRate> {
    match (left, right) {
        (Some(left), Some(right)) if right < left => Some(right),
        (Some(left), _) => Some(left),
        (None, right) => right,
    }
}
