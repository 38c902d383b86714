//! The number of events in the answers of each route, and the pace that the longest of them need.
//!
//! Lengths are counted in classes that grow by a constant factor, which tells short answers
//! apart as well as long ones. Old answers count less and less, so that a route whose answers
//! change is followed.

use compact_str::CompactString;

use super::{
    route_table::RouteTable,
    stream_pace::Pace, //
};
use crate::types::{
    Tokens,
    counter, //
};

counter!(
    /// Number of events in an answer, or of those that were passed on.
    EventCount,
    "number of events"
);

/// Classes for each doubling of the length.
const CLASSES_PER_DOUBLING: f64 = 4.0;
/// Number of classes: answers of up to 2^16 events are told apart.
const CLASS_COUNT: usize = 65;
/// Share by which earlier answers count less with each new one of a route.
const DECAY: f64 = 0.002;
/// Share of a route's answers that are to end in time at the pace goal: nearly all.
const PACED_SHARE: f64 = 0.99;
/// Fewest answers of a route from which a pace goal is taken.
const MIN_PACED_ANSWERS: f64 = 10.0;
/// Weight of a caller's estimate against the mean of the route; estimates are often far off.
const HINT_WEIGHT: f64 = 0.5;

/// Lengths of the answers of one route.
#[derive(Debug, Clone)]
pub struct RouteAnswers {
    /// Weight of the answers in each class of lengths.
    weights: [f64; CLASS_COUNT],
    total_weight: f64,
    mean_events: f64,
    /// Events and estimated tokens of the answers with an estimate; both decay.
    hinted_events: f64,
    hinted_tokens: f64,
    /// Service of the latest answer.
    service: CompactString,
    /// Pace at which [`PACED_SHARE`] of the answers end in time.
    pace_goal: Option<Pace>,
}

impl Default for RouteAnswers {
    fn default() -> Self {
        Self {
            weights: [0.0; CLASS_COUNT],
            total_weight: 0.0,
            mean_events: 0.0,
            hinted_events: 0.0,
            hinted_tokens: 0.0,
            service: CompactString::default(),
            pace_goal: None,
        }
    }
}

impl RouteAnswers {
    /// Records the length of an answer.
    pub fn record(&mut self, length: EventCount) {
        for weight in &mut self.weights {
            *weight *= 1.0 - DECAY;
        }
        self.weights[class_of(length)] += 1.0;
        self.total_weight = self.total_weight * (1.0 - DECAY) + 1.0;
        self.mean_events += (length.0 as f64 - self.mean_events) / self.total_weight;
    }

    /// Records a caller's estimate of the length of an answer.
    pub fn record_hint(&mut self, hint: Tokens, length: EventCount) {
        self.hinted_events = self.hinted_events * (1.0 - DECAY) + length.0 as f64;
        self.hinted_tokens = self.hinted_tokens * (1.0 - DECAY) + hint.0 as f64;
    }

    /// Returns the length that counts for an answer of which `passed` was there when its time ran
    /// out: that of the longest ones, since it would have been one of them.
    pub fn cut_length(&self, passed: EventCount) -> EventCount {
        passed.max(self.quantile(PACED_SHARE))
    }

    /// Takes the pace goal from the recorded answers, of which callers of `service` await all
    /// events within `span_ms` of the first one.
    pub fn set_pace_goal(&mut self, service: &CompactString, span_ms: f64) {
        if self.service != *service {
            self.service = service.clone();
        }
        let long = self.quantile(PACED_SHARE);
        let has_enough = self.total_weight >= MIN_PACED_ANSWERS && long > EventCount(0);
        self.pace_goal = has_enough
            .then(|| span_ms / long.0 as f64)
            .and_then(Pace::from_event_ms);
    }

    /// Predicts the number of events of an answer; none before an answer of the route has ended.
    pub fn expected_events(&self, hint: Option<Tokens>) -> Option<f64> {
        if self.mean_events <= 0.0 {
            return None;
        }
        let hinted = hint
            .filter(|_| self.hinted_tokens > 0.0)
            .map(|hint| hint.0 as f64 * self.hinted_events / self.hinted_tokens)
            .filter(|events| *events > 0.0);
        let factor = hinted.map_or(1.0, |events| (events / self.mean_events).powf(HINT_WEIGHT));
        Some(self.mean_events * factor)
    }

    /// Predicts the number of tokens of an answer; none before an answer with an estimate has
    /// ended, since the tokens of an event are not known otherwise.
    pub fn expected_tokens(&self, hint: Option<Tokens>) -> Option<Tokens> {
        let events = self.expected_events(hint)?;
        let is_known = self.hinted_events > 0.0 && self.hinted_tokens > 0.0;
        is_known.then(|| {
            let tokens_per_event = self.hinted_tokens / self.hinted_events;
            Tokens((events * tokens_per_event).ceil() as u64)
        })
    }

    /// Returns the mean length in events; 0 if there was no answer.
    pub fn mean_events(&self) -> f64 {
        self.mean_events
    }

    /// Returns the length that this share of the answers does not exceed; 0 if there was none.
    pub fn quantile(&self, share: f64) -> EventCount {
        let mut left = self.total_weight * share;
        for (class, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if *weight > 0.0 && left <= 0.0 {
                return longest_of(class);
            }
        }
        EventCount(0)
    }
}

/// Lengths of the answers of each route.
pub type AnswerLengths = RouteTable<RouteAnswers>;

impl AnswerLengths {
    /// Returns the pace at which the long answers of all routes of a service end in time; none
    /// before enough answers have ended.
    pub fn pace_goal(&self, service: &str) -> Option<Pace> {
        let of_service = self.values().filter(|answers| answers.service == service);
        of_service
            .filter_map(|answers| answers.pace_goal)
            .min_by(|left, right| left.event_ms().total_cmp(&right.event_ms()))
    }

    /// Predicts the number of events of an answer on a route.
    pub fn expected_events(&self, route: &str, hint: Option<Tokens>) -> Option<f64> {
        self.get(route)?.expected_events(hint)
    }

    /// Predicts the number of tokens of an answer on a route.
    pub fn expected_tokens(&self, route: &str, hint: Option<Tokens>) -> Option<Tokens> {
        self.get(route)?.expected_tokens(hint)
    }
}

fn class_of(length: EventCount) -> usize {
    let doublings = (length.0.max(1) as f64).log2();
    ((doublings * CLASSES_PER_DOUBLING).ceil() as usize).min(CLASS_COUNT - 1)
}

fn longest_of(class: usize) -> EventCount {
    EventCount((class as f64 / CLASSES_PER_DOUBLING).exp2() as u64)
}
