//! Requests that this host has recently forwarded to other regions.

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

/// Tolerance for rounding errors when the cap is exactly 1.
const ROUNDING: f64 = 1e-6;

/// Exponentially decaying counts of a target's requests and of those forwarded.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardHistory {
    requests: f64,
    forwarded: f64,
    updated_ms: Millis,
    /// Whether another region was the better choice for the last request.
    pub prefers_remote: bool,
}

impl ForwardHistory {
    /// Counts a request received from a caller.
    pub fn note_request(&mut self, now_ms: Millis, policy: &Policy) {
        self.decay(now_ms, policy);
        self.requests += 1.0;
    }

    /// Counts a forwarded request.
    pub fn note_forward(&mut self) {
        self.forwarded += 1.0;
    }

    /// Takes back the count of a forwarded request that could not be sent.
    pub fn note_unsent(&mut self) {
        self.forwarded = (self.forwarded - 1.0).max(0.0);
    }

    /// Whether one more request may be forwarded without exceeding the cap, in
    /// thousandths of recent requests.
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

/// A link to another region and the traffic that this host has sent over it.
#[derive(Debug)]
pub struct LinkState {
    /// The link.
    pub link: RegionLink,
    busy_until_ms: f64,
    in_flight: BTreeMap<Target, HashMap<RequestId, Millis>>,
}

impl LinkState {
    /// Creates the state of an unused link.
    pub fn new(link: RegionLink) -> Self {
        Self {
            link,
            busy_until_ms: 0.0,
            in_flight: BTreeMap::new(),
        }
    }

    /// Returns the time until `body` has been transmitted, after earlier bodies and
    /// with the bandwidth shared by `hosts` hosts, in milliseconds.
    pub fn send_ms(&self, now_ms: Millis, body: Bytes, hosts: usize, policy: &Policy) -> f64 {
        let backlog_ms = (self.busy_until_ms - now_ms.0 as f64).max(0.0);
        let rate = self.link.rate.0 as f64 * fraction(policy.link_permille) / hosts.max(1) as f64;
        // 1 Mbit/s is 1,000 bits per millisecond.
        let own_ms = body.0 as f64 * 8.0 / (rate * 1_000.0).max(f64::MIN_POSITIVE);
        backlog_ms + own_ms
    }

    /// Records that a request was sent.
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

    /// Records that a request has ended.
    pub fn note_ended(&mut self, target: &Target, request: RequestId) {
        if let Some(in_flight) = self.in_flight.get_mut(target) {
            in_flight.remove(&request);
        }
    }

    /// Number of requests in progress that a summary received at `received_ms`
    /// cannot include yet.
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
