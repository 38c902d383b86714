//! Whether a request is sent, waits, goes to another region or is refused.
//!
//! This answers the load at which more prompts arrive than the endpoints of a
//! region can read. A backlog inside an endpoint can be neither reordered nor
//! moved, so requests wait here instead, the most urgent first. A request whose
//! first event would miss its goal is refused when it arrives, with the time at
//! which the backlog ahead of it will be gone, rather than after a wait that
//! serves nobody.

use compact_str::CompactString;

use super::fleet::Choice;

/// Work that may wait inside one endpoint. Enough to keep it busy until this
/// host has seen an answer and sent the next request.
const MAX_ENDPOINT_BACKLOG_MS: f64 = 500.0;
/// Cost of a millisecond in the queue of this region. Most requests that wait
/// there at all are near the part of the goal beyond which waits are costly.
const QUEUE_WEIGHT: f64 = 2.0;
/// Shortest time after which a caller is told to return.
const MIN_RETRY_MS: f64 = 150.0;
/// Callers follow a hint up to this share of the time they have left.
const MAX_RETRY_SHARE: f64 = 0.3;

/// What another region offers.
#[derive(Debug, Clone, PartialEq)]
pub struct AwayOffer {
    /// The region.
    pub region: CompactString,
    /// Predicted time until the first event, the way there and back included.
    pub first_event_ms: f64,
    /// Cost, comparable to that of a choice in this region.
    pub cost_ms: f64,
}

/// What is known when a request is placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Situation {
    /// Best endpoint of this region, if any may be used.
    pub here: Option<Choice>,
    /// Time that requests which wait here with the same or a higher rank take.
    pub queue_ms: f64,
    /// Best offer of another region, if the request may go there.
    pub away: Option<AwayOffer>,
    /// Time left until an answer is late.
    pub goal_left_ms: f64,
    /// Whole goal.
    pub goal_ms: f64,
    /// Time left until the caller or the route gives up.
    pub time_left_ms: f64,
    /// The request has waited here already.
    pub is_waiting: bool,
}

/// What happens to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// It goes to an endpoint of this region.
    Send(Choice),
    /// It waits for an endpoint of this region.
    Wait,
    /// It goes to another region.
    Away(AwayOffer),
    /// It is refused; the caller may come back after so many milliseconds.
    Refuse(u64),
}

/// Decides what happens to a request now.
pub fn place(situation: Situation) -> Placement {
    let here_ms = situation
        .here
        .as_ref()
        .map(|choice| choice.first_event_ms + situation.queue_ms);
    if let Some(offer) = better_away(&situation, here_ms) {
        return Placement::Away(offer);
    }
    let Some(here_ms) = here_ms else {
        return without_endpoint(situation);
    };
    let has_room = situation
        .here
        .as_ref()
        .is_some_and(|choice| choice.backlog_ms <= MAX_ENDPOINT_BACKLOG_MS);
    // A request that has waited is the most urgent one when it is asked about.
    let is_next = situation.is_waiting || situation.queue_ms <= 0.0;
    let goes_now = situation.here.clone().filter(|choice| {
        let is_short =
            choice.work.is_short_prompt() && choice.first_event_ms <= situation.goal_left_ms;
        (is_short || (has_room && is_next)) && choice.first_event_ms < situation.time_left_ms
    });
    if let Some(choice) = goes_now {
        return Placement::Send(choice);
    }
    let is_hopeless = here_ms >= situation.time_left_ms;
    let is_late = here_ms > situation.goal_left_ms;
    if is_hopeless || (is_late && !situation.is_waiting) {
        return refuse(&situation, here_ms);
    }
    Placement::Wait
}

fn better_away(situation: &Situation, here_ms: Option<f64>) -> Option<AwayOffer> {
    let offer = situation.away.clone()?;
    if offer.first_event_ms >= situation.time_left_ms {
        return None;
    }
    match here_ms {
        None => Some(offer),
        Some(_) => {
            let cost_here_ms = situation.here.as_ref().map_or(0.0, |choice| choice.cost_ms);
            let queue_cost_ms = situation.queue_ms * QUEUE_WEIGHT;
            let is_cheaper = offer.cost_ms < cost_here_ms + queue_cost_ms;
            let is_in_time = offer.first_event_ms <= situation.goal_left_ms;
            (is_cheaper && is_in_time).then_some(offer)
        }
    }
}

/// No endpoint may be used at this moment; one may be free shortly.
fn without_endpoint(situation: Situation) -> Placement {
    let wait_ms = situation.goal_ms / 8.0;
    if situation.goal_left_ms > situation.goal_ms - wait_ms {
        return Placement::Wait;
    }
    refuse(&situation, situation.goal_ms)
}

fn refuse(situation: &Situation, here_ms: f64) -> Placement {
    let excess_ms = here_ms - situation.goal_ms / 2.0;
    let longest_ms = situation.time_left_ms * MAX_RETRY_SHARE;
    let retry_ms = excess_ms.min(longest_ms).max(MIN_RETRY_MS);
    Placement::Refuse(retry_ms as u64)
}
