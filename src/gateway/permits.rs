//! Permits to send one request each to an endpoint that names a limit.
//!
//! One host of a region, the endpoint's coordinator, hands out permits at the rate of the
//! limit to the hosts that ask. Shares of the limit would either add up to more, since each
//! host sends whole requests, or stay unused at hosts without requests.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    bound::Room,
    request_rate::RequestRate, //
};

/// Time in which a permit is used; what hosts hold while the limit falls is used by then.
pub const PERMIT_LIFETIME_MS: u64 = 500;
/// The same for a permit that stands for a free place, which is soon taken.
pub const PLACE_PERMIT_LIFETIME_MS: u64 = 50;
/// Time after which the use of such a permit shows in the load that a coordinator knows: its
/// lifetime, and the delay of load updates in a large region.
const PLACE_UNSEEN_MS: u64 = 100;
/// Share of the limit that the first coordinator hands out; the rest is for the others.
const HANDED_OUT_SHARE: f64 = 0.9;
/// Share of the rate that a coordinator keeps for each one that comes before it. All of them
/// together hand out up to 1.35 times the limit, which the bound of 1.5 times allows.
const LATER_SHARE: f64 = 1.0 / 3.0;
/// Time for which a coordinator collects permits that nobody asks for, beside the first.
pub const COLLECTED_S: f64 = 0.1;
/// Rate below which no limit is followed: without a request, no host learns that it ended.
const LEAST_PER_S: f64 = 0.25;
/// Intervals of questions for which a host that asked is given permits.
const QUESTION_LIFETIME_INTERVALS: u64 = 3;
/// Most permits in an answer: more than a host can use within their lifetime.
const MAX_PERMITS: u32 = 1_000;
/// Questions in a row without an answer after which another coordinator is asked.
const MAX_UNANSWERED: u32 = 3;
/// Time until the coordinator that did not answer is asked again.
const SILENT_COORDINATOR_MS: u64 = 3_000;
/// Age beyond which the time between two permits says nothing about the next.
const INTERVAL_LIFETIME_MS: u64 = 1_000;

/// Returns the rate at which a coordinator hands out permits.
///
/// `heard_share` is the share of the region's hosts that it hears, `earlier_count` the number
/// of those that come before it as coordinators. Hosts ask it in spite of those if their
/// answers are lost, while other hosts still get them.
pub fn handed_out_rate(limit: RequestRate, heard_share: f64, earlier_count: usize) -> RequestRate {
    let least = RequestRate::new(LEAST_PER_S).unwrap_or_default();
    limit
        .share(HANDED_OUT_SHARE)
        .at_least(least)
        .share(heard_share)
        .share(LATER_SHARE.powi(earlier_count as i32))
}

/// Returns the priority of a host as the coordinator of an endpoint; the highest comes first.
pub fn coordinator_priority(endpoint: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(endpoint.as_bytes(), 1))
}

/// Permits of a host for one endpoint.
#[derive(Debug, Clone, Default)]
pub struct HeldPermits {
    lapse_ms: VecDeque<u64>,
    /// Time between two permits, as the coordinator last stated, and when it did.
    interval: Option<(f64, u64)>,
    /// Time at which the last permit came.
    last_permit_ms: u64,
    next_question_ms: u64,
    unanswered_count: u32,
    /// Coordinators that did not answer, and until when they are not asked.
    silent: Vec<(CompactString, u64)>,
}

impl HeldPermits {
    /// Returns the number of permits that can be used.
    pub fn count(&self, now_ms: u64) -> usize {
        let lapse_ms = self.lapse_ms.iter();
        lapse_ms.filter(|lapse_ms| now_ms < **lapse_ms).count()
    }

    /// Uses a permit, if there is one.
    pub fn use_one(&mut self, now_ms: u64) {
        self.drop_lapsed(now_ms);
        self.lapse_ms.pop_front();
    }

    /// Applies the answer of a coordinator, with permits of the usual lifetime.
    pub fn apply_answer(&mut self, count: u32, interval_ms: f64, now_ms: u64) {
        self.apply_answer_for(count, interval_ms, PERMIT_LIFETIME_MS, now_ms);
    }

    /// Applies the answer of a coordinator, with permits that lapse after `lifetime_ms`.
    pub fn apply_answer_for(
        &mut self,
        count: u32,
        interval_ms: f64,
        lifetime_ms: u64,
        now_ms: u64,
    ) {
        self.drop_lapsed(now_ms);
        self.unanswered_count = 0;
        self.interval = Some((interval_ms, now_ms));
        for _ in 0..count.min(MAX_PERMITS) {
            let lifetime_ms = lifetime_ms.min(PERMIT_LIFETIME_MS);
            self.lapse_ms.push_back(now_ms + lifetime_ms);
            self.last_permit_ms = now_ms;
        }
    }

    /// Returns the time between two permits in milliseconds; none if it is not known.
    pub fn interval_ms(&self, now_ms: u64) -> Option<f64> {
        let (interval_ms, stated_ms) = self.interval?;
        (now_ms < stated_ms + INTERVAL_LIFETIME_MS).then_some(interval_ms)
    }

    /// Predicts the time until there is a permit.
    pub fn due_in_ms(&self, now_ms: u64) -> f64 {
        if self.count(now_ms) > 0 {
            return 0.0;
        }
        let since_ms = now_ms.saturating_sub(self.last_permit_ms) as f64;
        let interval_ms = self.interval_ms(now_ms).unwrap_or(0.0);
        (interval_ms - since_ms).max(0.0)
    }

    /// Returns the permits to ask for now if `wanted` can be used; none if no question is
    /// due.
    pub fn missing(&self, wanted: usize, now_ms: u64) -> Option<u32> {
        let missing = wanted.saturating_sub(self.count(now_ms));
        let is_due = missing > 0 && now_ms >= self.next_question_ms;
        is_due.then(|| u32::try_from(missing).unwrap_or(u32::MAX))
    }

    /// Returns whether a host is asked, or has not answered recently.
    pub fn may_ask(&self, coordinator: &str, now_ms: u64) -> bool {
        let is_silent =
            |(name, until_ms): &(CompactString, u64)| name == coordinator && now_ms < *until_ms;
        !self.silent.iter().any(is_silent)
    }

    /// Records a question to a coordinator.
    pub fn record_question(&mut self, coordinator: &str, interval_ms: u64, now_ms: u64) {
        self.next_question_ms = now_ms + interval_ms;
        self.unanswered_count += 1;
        if self.unanswered_count <= MAX_UNANSWERED {
            return;
        }
        self.unanswered_count = 0;
        self.next_question_ms = now_ms;
        self.silent.retain(|(_, until_ms)| now_ms < *until_ms);
        self.silent
            .push((coordinator.into(), now_ms + SILENT_COORDINATOR_MS));
    }

    fn drop_lapsed(&mut self, now_ms: u64) {
        while self
            .lapse_ms
            .front()
            .is_some_and(|lapse_ms| now_ms >= *lapse_ms)
        {
            self.lapse_ms.pop_front();
        }
    }
}

/// A host that asked for permits.
#[derive(Debug, Clone)]
struct Asker {
    missing: u32,
    until_ms: u64,
    /// Order of the last permit; the asker with the lowest gets the next one.
    turn: u64,
}

/// Permits that the coordinator of an endpoint hands out.
#[derive(Debug, Clone)]
pub struct PermitDesk {
    collected: f64,
    collected_ms: u64,
    askers: BTreeMap<CompactString, Asker>,
    next_turn: u64,
    /// Times at which permits for places were handed out that may not show in the load yet.
    unseen_ms: VecDeque<u64>,
}

impl PermitDesk {
    /// Returns a desk without permits, since another host may have handed out some.
    pub fn new(now_ms: u64) -> Self {
        Self {
            collected: 0.0,
            collected_ms: now_ms,
            askers: BTreeMap::new(),
            next_turn: 0,
            unseen_ms: VecDeque::new(),
        }
    }

    /// Records the question of a host that asks again after `interval_ms`.
    pub fn ask(&mut self, host: &str, missing: u32, interval_ms: u64, now_ms: u64) {
        let until_ms =
            now_ms.saturating_add(interval_ms.saturating_mul(QUESTION_LIFETIME_INTERVALS));
        let turn = self.askers.get(host).map_or(0, |asker| asker.turn);
        let asker = Asker {
            missing,
            until_ms,
            turn,
        };
        self.askers.insert(host.into(), asker);
    }

    /// Hands out the permits that were collected at `rate`; returns the hosts that get some.
    pub fn hand_out(&mut self, rate: RequestRate, now_ms: u64) -> BTreeMap<CompactString, u32> {
        let most = self.collect(rate, now_ms);
        let handed_out = self.hand_out_up_to(most, now_ms);
        let count: u32 = handed_out.values().sum();
        self.collected -= f64::from(count);
        handed_out
    }

    /// Hands out the permits that both a rate and the room of an endpoint allow.
    pub fn hand_out_places(
        &mut self,
        rate: Option<RequestRate>,
        room: Room,
        now_ms: u64,
    ) -> BTreeMap<CompactString, u32> {
        self.unseen_ms
            .retain(|at_ms| now_ms < at_ms + PLACE_UNSEEN_MS);
        let places = room.free.min(room.most_at_once) as usize;
        let free = places.saturating_sub(self.unseen_ms.len()) as u32;
        let collected = rate.map(|rate| self.collect(rate, now_ms));
        let handed_out = self.hand_out_up_to(collected.map_or(free, |most| free.min(most)), now_ms);
        let count: u32 = handed_out.values().sum();
        if collected.is_some() {
            self.collected -= f64::from(count);
        }
        self.unseen_ms.extend((0..count).map(|_| now_ms));
        handed_out
    }

    /// Collects permits at a rate; returns the number of whole ones.
    fn collect(&mut self, rate: RequestRate, now_ms: u64) -> u32 {
        let passed_s = now_ms.saturating_sub(self.collected_ms) as f64 / 1_000.0;
        self.collected_ms = now_ms;
        let most = 1.0 + rate.per_s() * COLLECTED_S;
        self.collected = (self.collected + passed_s * rate.per_s()).min(most);
        self.collected as u32
    }

    fn hand_out_up_to(&mut self, most: u32, now_ms: u64) -> BTreeMap<CompactString, u32> {
        self.askers.retain(|_, asker| now_ms < asker.until_ms);
        let mut handed_out = BTreeMap::new();
        for _ in 0..most {
            let asking = self
                .askers
                .iter_mut()
                .filter(|(_, asker)| asker.missing > 0);
            let Some((host, asker)) = asking.min_by_key(|(_, asker)| asker.turn) else {
                break;
            };
            asker.missing -= 1;
            self.next_turn += 1;
            asker.turn = self.next_turn;
            *handed_out.entry(host.clone()).or_default() += 1;
        }
        handed_out
    }

    /// Returns the time between two permits for one of the hosts that ask, in milliseconds, if
    /// a permit for a place is due every `place_ms`.
    pub fn place_interval_ms(&self, place_ms: f64) -> f64 {
        self.askers.len().max(1) as f64 * place_ms
    }

    /// Returns the time between two permits for one of the hosts that ask, in milliseconds.
    pub fn interval_ms(&self, rate: RequestRate) -> f64 {
        self.askers.len().max(1) as f64 * 1_000.0 / rate.per_s().max(f64::MIN_POSITIVE)
    }
}
