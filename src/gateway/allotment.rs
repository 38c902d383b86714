//! Distributed rate limit of a client account: decides whether a host may admit a request.
//!
//! This answers accounts that send many times their usual load at any number of hosts at once.
//! Every host has a replica of the account's token bucket. What a host admits is taken off its
//! own replica at once, and what others admit when their reports arrive, so the level may
//! become negative. Such a debt is repaid before anything else is admitted, so the use over some
//! seconds is the rate however late reports are. To bound the debt, a host admits ahead of reports
//! only its share of the level, by its share of the demand.
//!
//! A host that hears no relay of its region refills its replica at a static share of the rate, so that
//! parts of the system that are cut off from each other together stay within it. Hosts that are not
//! relays adopt the level of their relay, so that replicas do not drift apart.

use super::account::Allotment;

/// Time constant of the demand of hosts: traffic moves between regions within two seconds.
const DEMAND_DECAY_MS: f64 = 1_000.0;
/// Hosts with an average share of the demand between which the level is divided at least this
/// many times, so that a host whose demand grows is not refused before reports show it.
const SHARE_FLOOR_FACTOR: f64 = 4.0;
/// Requests of the usual size that a host may always admit ahead of reports, while the account
/// has that much.
const FLOOR_REQUESTS: f64 = 4.0;
/// Shortest time after which a refused caller is asked to retry: that between a request and
/// its confirmation by a relay.
const MIN_RETRY_MS: f64 = 150.0;
/// Time in which others use, at the rate, what this host does not know of while something is left:
/// reports take up to 250 ms, and hosts admit more than the rate then.
const MAX_UNREPORTED_MS: u64 = 650;
/// The same once nothing has been left for some time. With 200 ms, 6 of 300 refused callers were refused
/// again.
const MIN_UNREPORTED_MS: u64 = 350;
/// Least burst, as a time at the rate: nothing could be admitted from a bucket that holds nothing.
const MIN_BURST_S: f64 = 0.25;
/// Longest time for which a bucket is refilled at once; after a longer one, the process was
/// paused, and others have used what the account had.
const MAX_REFILL_MS: u64 = 1_000;
/// Largest difference of two replicas that is averaged, as a time at the rate: one large request is not
/// known to all relays at once.
const MAX_DIFFERENCE_S: f64 = 1.0;
/// Part of the mean difference from another relay that is corrected with each of its packets. What
/// another region states does not include the latest use of this one, so its level seems higher: with
/// 0.005 an account that is flooded used 1.01 of its rate.
const CORRECTION: f64 = 0.002;
/// Weight of a new request in the moving average of their cost.
const COST_EWMA_WEIGHT: f64 = 0.1;

/// A moving sum that decays with [`DEMAND_DECAY_MS`].
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    value: f64,
    updated_ms: u64,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, now_ms: u64) {
        self.value = self.value(now_ms) + amount;
        self.updated_ms = now_ms;
    }

    fn value(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.value * (-age_ms / DEMAND_DECAY_MS).exp()
    }
}

/// What a host knows of the system when it decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllotmentView {
    /// Share of the rate that the hosts in reach of this one may use, itself included: 1 while
    /// all regions hear each other.
    pub reachable_share: f64,
    /// Hosts among which that share is divided.
    pub host_count: usize,
}

/// Whether a request is within the allotment of its account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It is, and its cost was taken off.
    Admitted,
    /// It is not; the account has enough for it after this time in milliseconds.
    Refused {
        /// Time until the account has room.
        retry_ms: u64,
    },
}

/// Replica of an account's token bucket at one host.
#[derive(Debug, Clone)]
pub struct Bucket {
    allotment: Allotment,
    /// Units that are left; negative while more was used than the allotment.
    level: f64,
    refilled_ms: u64,
    /// Time at which something was last left.
    positive_ms: u64,
    /// Own use that no relay has confirmed.
    unconfirmed: f64,
    own_demand: DecayingSum,
    all_demand: DecayingSum,
    mean_cost: f64,
}

impl Bucket {
    /// Returns an empty bucket: other hosts may have used what the account has.
    pub fn new(allotment: Allotment, now_ms: u64) -> Self {
        Self {
            allotment,
            level: 0.0,
            refilled_ms: now_ms,
            positive_ms: 0,
            unconfirmed: 0.0,
            own_demand: DecayingSum::default(),
            all_demand: DecayingSum::default(),
            mean_cost: 0.0,
        }
    }

    /// Applies a new configuration; the time before counts at the old rate, and a lower burst
    /// binds at once.
    pub fn set_allotment(&mut self, allotment: Allotment, view: &AllotmentView, now_ms: u64) {
        self.refill(view, now_ms);
        self.allotment = allotment;
        self.level = self.level.min(self.burst());
    }

    fn burst(&self) -> f64 {
        let least = MIN_BURST_S * self.allotment.rate_per_s;
        self.allotment.burst.max(least)
    }

    /// Returns the units that are left.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Refills the bucket for the time since the last refill.
    pub fn refill(&mut self, view: &AllotmentView, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms).min(MAX_REFILL_MS);
        self.refilled_ms = now_ms;
        let share = view.reachable_share.clamp(0.0, 1.0);
        let refill = self.allotment.rate_per_s * share * passed_ms as f64 / 1_000.0;
        self.level = (self.level + refill).min(self.burst() * share);
        self.note_positive(now_ms);
    }

    fn note_positive(&mut self, now_ms: u64) {
        if self.level > 0.0 {
            self.positive_ms = now_ms;
        }
    }

    /// Decides about a request that costs `cost` units.
    pub fn admit(&mut self, cost: f64, view: &AllotmentView, now_ms: u64) -> Admission {
        self.refill(view, now_ms);
        self.record_demand(cost, now_ms);
        let has_room = self.level > 0.0;
        // A host that is alone, or cut off, shares its level with no other.
        let is_first = self.unconfirmed <= 0.0 || view.host_count <= 1;
        if has_room && (is_first || self.unconfirmed + cost <= self.ahead_limit(view, now_ms)) {
            self.level -= cost;
            self.unconfirmed += cost;
            return Admission::Admitted;
        }
        Admission::Refused {
            retry_ms: self.retry_ms(cost, view, now_ms),
        }
    }

    /// Returns the most that this host may use ahead of confirmation.
    fn ahead_limit(&self, view: &AllotmentView, now_ms: u64) -> f64 {
        // The own use is part of what was there.
        let available = (self.level + self.unconfirmed).max(0.0);
        let all = self.all_demand.value(now_ms);
        let own = self.own_demand.value(now_ms);
        let by_demand = if all > 0.0 { (own / all).min(1.0) } else { 1.0 };
        let floor_share = SHARE_FLOOR_FACTOR / view.host_count.max(1) as f64;
        let by_share = available * by_demand.max(floor_share.min(1.0));
        by_share.max((FLOOR_REQUESTS * self.mean_cost).min(available))
    }

    /// Returns the time until the account has room for a request behind the debt, in
    /// milliseconds.
    fn retry_ms(&self, cost: f64, view: &AllotmentView, now_ms: u64) -> u64 {
        let missing = (cost.min(self.burst()) - self.level).max(0.0);
        let missing = missing + self.unreported(view, now_ms);
        let per_ms = self.allotment.rate_per_s * view.reachable_share / 1_000.0;
        let wait_ms = missing / per_ms.max(f64::MIN_POSITIVE);
        wait_ms.clamp(MIN_RETRY_MS, f64::from(u32::MAX)).ceil() as u64
    }

    /// Returns what other hosts have used that this one has not been told: what they ask for, and
    /// at most the rate, for a time that is shorter the longer nothing has been left.
    fn unreported(&self, view: &AllotmentView, now_ms: u64) -> f64 {
        if view.host_count <= 1 {
            return 0.0;
        }
        let others = self.all_demand.value(now_ms) - self.own_demand.value(now_ms);
        let per_s = others.clamp(0.0, self.allotment.rate_per_s);
        let empty_ms = now_ms.saturating_sub(self.positive_ms);
        let unreported_ms = MAX_UNREPORTED_MS.saturating_sub(empty_ms);
        per_s * unreported_ms.max(MIN_UNREPORTED_MS) as f64 / 1_000.0
    }

    fn record_demand(&mut self, cost: f64, now_ms: u64) {
        self.own_demand.add(cost, now_ms);
        self.all_demand.add(cost, now_ms);
        match self.mean_cost > 0.0 {
            true => self.mean_cost += COST_EWMA_WEIGHT * (cost - self.mean_cost),
            false => self.mean_cost = cost,
        }
    }

    /// Gives the cost of an admitted request back that has not run.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.burst());
        self.unconfirmed = (self.unconfirmed - cost).max(0.0);
    }

    /// Takes off what other hosts used; negative if they were given more back than they used.
    pub fn record_others(&mut self, used: f64) {
        self.level = (self.level - used).min(self.burst());
    }

    /// Records what other hosts asked for.
    pub fn record_demand_of_others(&mut self, demand: f64, now_ms: u64) {
        self.all_demand.add(demand.max(0.0), now_ms);
    }

    /// Returns what all hosts have lately asked for.
    pub fn demand(&self, now_ms: u64) -> f64 {
        self.all_demand.value(now_ms)
    }

    /// Sets the own use that no relay has confirmed yet.
    pub fn set_unconfirmed(&mut self, units: f64) {
        self.unconfirmed = units.max(0.0);
    }

    /// Takes over the level and the demand that a relay states, which include what it has
    /// confirmed of the own use; `unconfirmed` is the rest.
    pub fn adopt(&mut self, level: f64, demand: f64, unconfirmed: f64, now_ms: u64) {
        self.level = (level - unconfirmed).min(self.burst());
        self.refilled_ms = now_ms;
        self.note_positive(now_ms);
        self.set_unconfirmed(unconfirmed);
        let own = self.own_demand.value(now_ms);
        self.all_demand = DecayingSum {
            value: demand.max(own),
            updated_ms: now_ms,
        };
    }

    /// Returns the difference of the level that another relay states, within bounds.
    pub fn difference(&self, level: f64) -> f64 {
        let most = MAX_DIFFERENCE_S * self.allotment.rate_per_s;
        (level - self.level).clamp(-most, most)
    }

    /// Corrects a part of the mean difference from another relay.
    pub fn approach(&mut self, mean_difference: f64) {
        self.level = (self.level + CORRECTION * mean_difference).min(self.burst());
    }
}
