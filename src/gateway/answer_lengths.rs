//! The number of events in the answers of each route.
//!
//! Lengths are counted in classes that grow by a constant factor, which tells short answers
//! apart as well as long ones. Old answers count less and less, so that a route whose answers
//! change is followed.

use super::route_table::RouteTable;
use crate::types::counter;

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

/// Lengths of the answers of one route.
#[derive(Debug, Clone)]
pub struct RouteAnswers {
    /// Weight of the answers in each class of lengths.
    weights: [f64; CLASS_COUNT],
    total_weight: f64,
    mean_events: f64,
}

impl Default for RouteAnswers {
    fn default() -> Self {
        Self {
            weights: [0.0; CLASS_COUNT],
            total_weight: 0.0,
            mean_events: 0.0,
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

    /// Returns the weight of the recorded answers: their number, less what has decayed.
    pub fn weight(&self) -> f64 {
        self.total_weight
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

fn class_of(length: EventCount) -> usize {
    let doublings = (length.0.max(1) as f64).log2();
    ((doublings * CLASSES_PER_DOUBLING).ceil() as usize).min(CLASS_COUNT - 1)
}

fn longest_of(class: usize) -> EventCount {
    EventCount((class as f64 / CLASSES_PER_DOUBLING).exp2() as u64)
}
