//! The longest pause between the events of a stream, and the prefill that it leaves room for.
//!
//! An engine prefills a chunk of a prompt in a step, and an event holds the tokens of several
//! steps. A stream therefore pauses longest while prompts are prefilled without a break. The mean
//! pace does not show this: half of the time without prefill and half with it look like one event
//! in between.

use super::endpoint::MAX_PREFILL_SHARE;

/// Share of the goal that the longest pauses may take; the rest is for an engine that becomes
/// slower between two measurements. With 0.9, more than twice as many pauses exceed the goal where
/// the speed of engines varies by a factor of two.
const PAUSE_SHARE: f64 = 0.7;
/// Share of the goal from which a single burst of prefill may exceed it.
const ALERT_SHARE: f64 = 0.5;
/// Share of its time that an engine may spend on prefill, however long its pauses are. One that is
/// slow by itself would otherwise get no prompt, although a hold does not make it faster.
const MIN_PREFILL_SHARE: f64 = 0.25;
/// Time over which prefill is held back for pauses that are too long: that of a stream's next
/// event.
const HORIZON_MS: f64 = 500.0;
/// Cost of a millisecond by which the pauses at an endpoint exceed [`ALERT_SHARE`] of the goal.
/// At the goal it is more than that of prefilling a shared part of about 5,000 tokens again.
const PAUSE_WEIGHT: f64 = 2.0;

/// Longest pause between two events with which an answer is on time; positive.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct GapGoal(f64);

/// Time between the events of the streams at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pauses {
    /// Mean time.
    pub mean_ms: f64,
    /// Time that few of them exceed.
    pub long_ms: f64,
}

/// Prefill at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillState {
    /// Share of recent time that the endpoint spent on it.
    pub share: f64,
    /// Part of that which is at least as urgent as the request.
    pub share_ahead: f64,
    /// Time that the prompt of the request takes.
    pub request_ms: f64,
}

impl GapGoal {
    /// Returns a goal; none if it is 0, which no stream can meet.
    pub fn from_ms(ms: u64) -> Option<Self> {
        (ms > 0).then_some(Self(ms as f64))
    }

    /// Longest pause in milliseconds.
    pub fn ms(self) -> f64 {
        self.0
    }

    /// Returns whether the streams of an endpoint with these pauses keep the goal.
    pub fn is_kept(self, pauses: Pauses) -> bool {
        pauses.long_ms <= self.0 * PAUSE_SHARE
    }

    /// Returns the largest backlog at an endpoint that gets the request; negative while the
    /// streams there need time without prefill.
    pub fn backlog_limit_ms(self, pauses: Pauses, prefill: PrefillState) -> f64 {
        let prefill_share = prefill.share.min(MAX_PREFILL_SHARE);
        // Less urgent prefill yields to the request.
        let counted_ms = pauses.long_ms * (1.0 - prefill_share * (1.0 - prefill.share_ahead));
        let longest_ms = self.0 * PAUSE_SHARE;
        let spare_share = (MIN_PREFILL_SHARE - prefill_share * prefill.share_ahead)
            .max(1.0 - counted_ms / longest_ms);
        let spare_ms = spare_share * HORIZON_MS;
        if counted_ms < self.0 * ALERT_SHARE {
            return spare_ms;
        }
        // A prompt that is longer than the rest of a pause is sent once the others are prefilled.
        let without_prefill_ms = pauses.mean_ms * (1.0 - prefill_share);
        let burst_ms = longest_ms - without_prefill_ms - prefill.request_ms;
        spare_ms.min(burst_ms.max(0.0))
    }

    /// Returns the cost of a prompt at an endpoint with these pauses.
    pub fn cost_ms(self, pauses: Pauses) -> f64 {
        PAUSE_WEIGHT * (pauses.long_ms - self.0 * ALERT_SHARE).max(0.0)
    }
}
