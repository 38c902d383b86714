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
pub struct RemoteOffer {
    /// The region.
    pub region: CompactString,
    /// Predicted time until the first event, the way there and back included.
    pub first_event_ms: f64,
    /// Cost, comparable to that of a choice in this region.
    pub cost_ms: f64,
}

/// What is known when a request is placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementContext {
    /// Best endpoint of this region, if any may be used.
    pub local: Option<Choice>,
    /// Time that requests which wait here with the same or a higher rank take.
    pub queue_ms: f64,
    /// Best offer of another region, if the request may go there.
    pub remote: Option<RemoteOffer>,
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
    Forward(RemoteOffer),
    /// It is refused; the caller may come back after so many milliseconds.
    Refuse(u64),
}

/// Decides what happens to a request now.
pub fn place(context: PlacementContext) -> Placement {
    let local_ms = context
        .local
        .as_ref()
        .map(|choice| choice.first_event_ms + context.queue_ms);
    if let Some(offer) = cheaper_remote(&context, local_ms) {
        return Placement::Forward(offer);
    }
    let Some(local_ms) = local_ms else {
        return without_endpoint(context);
    };
    let has_room = context
        .local
        .as_ref()
        .is_some_and(|choice| choice.backlog_ms <= MAX_ENDPOINT_BACKLOG_MS);
    // A request that has waited is the most urgent one when it is asked about.
    let is_next = context.is_waiting || context.queue_ms <= 0.0;
    let goes_now = context.local.clone().filter(|choice| {
        let is_short =
            choice.work.is_short_prompt() && choice.first_event_ms <= context.goal_left_ms;
        (is_short || (has_room && is_next)) && choice.first_event_ms < context.time_left_ms
    });
    if let Some(choice) = goes_now {
        return Placement::Send(choice);
    }
    let is_hopeless = local_ms >= context.time_left_ms;
    let is_late = local_ms > context.goal_left_ms;
    if is_hopeless || (is_late && !context.is_waiting) {
        return refuse(&context, local_ms);
    }
    Placement::Wait
}

fn cheaper_remote(context: &PlacementContext, local_ms: Option<f64>) -> Option<RemoteOffer> {
    let offer = context.remote.clone()?;
    if offer.first_event_ms >= context.time_left_ms {
        return None;
    }
    match local_ms {
        None => Some(offer),
        Some(_) => {
            let local_cost_ms = context.local.as_ref().map_or(0.0, |choice| choice.cost_ms);
            let queue_cost_ms = context.queue_ms * QUEUE_WEIGHT;
            let is_cheaper = offer.cost_ms < local_cost_ms + queue_cost_ms;
            let is_in_time = offer.first_event_ms <= context.goal_left_ms;
            (is_cheaper && is_in_time).then_some(offer)
        }
    }
}

/// No endpoint may be used at this moment; one may be free shortly.
fn without_endpoint(context: PlacementContext) -> Placement {
    let wait_ms = context.goal_ms / 8.0;
    if context.goal_left_ms > context.goal_ms - wait_ms {
        return Placement::Wait;
    }
    refuse(&context, context.goal_ms)
}

fn refuse(context: &PlacementContext, local_ms: f64) -> Placement {
    let excess_ms = local_ms - context.goal_ms / 2.0;
    let longest_ms = context.time_left_ms * MAX_RETRY_SHARE;
    let retry_ms = excess_ms.min(longest_ms).max(MIN_RETRY_MS);
    Placement::Refuse(retry_ms as u64)
}
