//! What this host has sent to other regions lately.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    RegionLink,
    policy::{
        Policy,
        fraction, //
    }, //
};
use crate::types::{
    Bytes,
    Millis,
    RegionId,
    RequestId,
    Target, //
};

/// Absorbs rounding where a share of exactly 1 is allowed.
const ROUNDING: f64 = 1e-6;

/// Recent requests for a target and those sent away, both fading.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardHistory {
    requests: f64,
    forwarded: f64,
    updated_ms: Millis,
    /// Whether the last request was better off in another region.
    pub prefers_remote: bool,
}

impl ForwardHistory {
    /// Counts a request of a caller.
    pub fn note_request(&mut self, now_ms: Millis, policy: &Policy) {
        self.decay(now_ms, policy);
        self.requests += 1.0;
    }

    /// Counts a request that was sent away.
    pub fn note_forward(&mut self) {
        self.forwarded += 1.0;
    }

    /// Whether one more request may be sent away under a cap.
    pub fn allows_forward(&self, cap_permille: u16) -> bool {
        self.forwarded + 1.0 <= self.requests * fraction(cap_permille) + ROUNDING
    }

    fn decay(&mut self, now_ms: Millis, policy: &Policy) {
        let elapsed = (now_ms - self.updated_ms).0 as f64;
        let factor = (-elapsed / policy.away_half_life_ms.0.max(1) as f64).exp2();
        self.requests *= factor;
        self.forwarded *= factor;
        self.updated_ms = now_ms;
    }
}

/// The way to another region and what this host has put on it.
#[derive(Debug)]
pub struct LinkState {
    /// The link.
    pub link: RegionLink,
    busy_until_ms: f64,
    in_flight: BTreeMap<Target, HashMap<RequestId, Millis>>,
}

impl LinkState {
    /// An unused link.
    pub fn new(link: RegionLink) -> Self {
        Self {
            link,
            busy_until_ms: 0.0,
            in_flight: BTreeMap::new(),
        }
    }

    /// Time until `body` has been sent, behind what was sent before, when
    /// `hosts` share the link.
    pub fn send_ms(&self, now_ms: Millis, body: Bytes, hosts: usize, policy: &Policy) -> f64 {
        let backlog_ms = (self.busy_until_ms - now_ms.0 as f64).max(0.0);
        let rate = self.link.rate.0 as f64 * fraction(policy.link_permille) / hosts.max(1) as f64;
        // A Mbit/s is a thousand bits in a millisecond.
        let own_ms = body.0 as f64 * 8.0 / (rate * 1_000.0).max(f64::MIN_POSITIVE);
        backlog_ms + own_ms
    }

    /// Notes that a request was sent.
    pub fn note_sent(
        &mut self,
        now_ms: Millis,
        target: &Target,
        request: RequestId,
        body: Bytes,
        hosts: usize,
        policy: &Policy,
    ) {
        self.busy_until_ms = now_ms.0 as f64 + self.send_ms(now_ms, body, hosts, policy);
        let in_flight = self.in_flight.entry(target.clone()).or_default();
        in_flight.insert(request, now_ms);
    }

    /// Notes that a request has ended.
    pub fn note_ended(&mut self, target: &Target, request: RequestId) {
        if let Some(in_flight) = self.in_flight.get_mut(target) {
            in_flight.remove(&request);
        }
    }

    /// Requests in progress that a summary heard at `received_ms` cannot show.
    pub fn unreported(&self, target: &Target, received_ms: Millis) -> usize {
        let round_trip_ms = Millis(self.link.latency_ms.0 * 2);
        let in_flight = self.in_flight.get(target);
        let sent = in_flight.into_iter().flat_map(|sent| sent.values());
        sent.filter(|sent_ms| **sent_ms + round_trip_ms >= received_ms)
            .count()
    }
}

/// Links by region.
pub type Links = BTreeMap<RegionId, LinkState>;
