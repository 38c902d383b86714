//! Decides whether a request is sent, queued, forwarded or refused.
//!
//! This matters when more prompts arrive than the endpoints of a region can
//! prefill. A backlog inside an endpoint can't be moved and is ordered by priority
//! alone, so requests are queued at the host instead, the most urgent first. A
//! request whose first event would miss its latency goal is refused on arrival
//! rather than after a useless wait, and asked to come back as late as its time
//! limit allows, because a burst outlasts the backlog that it makes. A request that
//! has run already, and whose endpoint failed, is only refused if no endpoint can
//! complete it before its deadline.
//!
//! In a burst, the largest prompts are the first that would be late. A caller that comes back
//! after a refusal is therefore treated as if its prompt were a small one of its route.

use std::cmp::Ordering;

use compact_str::CompactString;

use super::{
    fleet::{
        Choice,
        LimitWait, //
    },
    gap_goal::GapGoal,
    service_room::ServiceRoom, //
};
use crate::types::Tokens;

/// Cost of a millisecond in the queue of this region. Most requests that wait
/// there are close to the share of the goal beyond which waits are costly.
const QUEUE_WEIGHT: f64 = 2.0;
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_MS: f64 = 150.0;
/// Callers follow a retry hint up to this share of the time that they have left.
const MAX_RETRY_SHARE: f64 = 0.3;
/// Size as which a prompt that comes back counts at most, relative to the mean of its route: near
/// the median, since a few prompts are much longer than most.
const RETURNING_SIZE: f64 = 0.5;

/// Predicted latency and cost of a request in another region.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteOffer {
    /// The region.
    pub region: CompactString,
    /// Predicted time until the first event, including the round trip.
    pub first_event_ms: f64,
    /// Cost, comparable to that of an endpoint of this region.
    pub cost_ms: f64,
    /// Its room for streams.
    pub room: RemoteRoom,
}

/// What a region states about its room for the streams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemoteRoom {
    /// Nothing, or nothing lately.
    Unknown,
    /// Its streams keep the goal for pauses, and it has memory for the request.
    Free,
    /// Its streams pause for too long, or it has too little memory.
    Full,
}

impl RemoteOffer {
    /// Applies the room that the region states for a request that needs `needed_tokens` of memory.
    pub fn with_room(self, goal: GapGoal, room: &ServiceRoom, needed_tokens: u64) -> Self {
        Self {
            cost_ms: self.cost_ms + goal.cost_ms(room.pauses()),
            room: match room.fits(goal, needed_tokens) {
                true => RemoteRoom::Free,
                false => RemoteRoom::Full,
            },
            ..self
        }
    }

    /// Orders offers, the best one first; regions without room come last.
    pub fn compare(&self, other: &Self) -> Ordering {
        let is_full = |offer: &Self| offer.room == RemoteRoom::Full;
        let by_room = is_full(self).cmp(&is_full(other));
        by_room.then_with(|| self.cost_ms.total_cmp(&other.cost_ms))
    }
}

/// Inputs of the decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementContext {
    /// Best endpoint of this region; none if no endpoint may be used.
    pub local: Option<Choice>,
    /// Time that the requests queued in this region with the same or a higher rank
    /// take.
    pub queue_ms: f64,
    /// Best offer of another region; none if the request may not be forwarded.
    pub remote: Option<RemoteOffer>,
    /// Time left until the response misses its latency goal.
    pub goal_left_ms: f64,
    /// Latency goal, counted from the request's arrival.
    pub goal_ms: f64,
    /// Time left until the deadline of the caller or the time limit of the route.
    pub time_left_ms: f64,
    /// Mean time that the service's requests run.
    pub usual_run_ms: f64,
    /// Whether the request is in this host's queue already.
    pub is_waiting: bool,
    /// Whether an endpoint may have run the request; the latency goal no longer decides
    /// about it, and a refusal would end its response.
    pub has_run: bool,
    /// Time until an endpoint of this region that cannot be used now may be used; none if
    /// there is no such endpoint, or if the request has not run.
    pub usable_in_ms: Option<f64>,
    /// Time until an endpoint of this region wants requests from this host again;
    /// none unless all of them asked it to stay away.
    pub unwanted_for_ms: Option<f64>,
    /// Wait for a permit; none unless all usable endpoints of this region are bound.
    pub limited: Option<LimitedPlace>,
    /// Whether this host reaches no endpoint of this region.
    pub is_cut_off: bool,
}

/// When a request can be sent that only endpoints with a limit can serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitedPlace {
    /// Predicted wait for a permit, and for the first event.
    pub wait: LimitWait,
    /// Time after which the caller would come back behind those that were refused before.
    pub return_in_ms: f64,
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// Send it to an endpoint of this region.
    Send(Choice),
    /// Queue it for an endpoint of this region.
    Wait,
    /// Forward it to another region.
    Forward(RemoteOffer),
    /// Refuse it; the caller may retry after this time in milliseconds.
    Refuse(u64),
}

/// Returns the time that a request that comes back gets beyond its latency goal, so that it is
/// sent wherever a small request of its route would be; at most `time_left_ms`.
pub fn returning_allowance_ms(
    prompt: Tokens,
    usual: Tokens,
    prefill_ms_per_token: f64,
    time_left_ms: u64,
) -> u64 {
    let counted = usual.0 as f64 * RETURNING_SIZE;
    let allowance_ms = (prompt.0 as f64 - counted).max(0.0) * prefill_ms_per_token;
    (allowance_ms as u64).min(time_left_ms)
}

/// Decides what happens to a request at this moment.
pub fn place(context: PlacementContext) -> Placement {
    let local_ms = context
        .local
        .as_ref()
        .map(|choice| choice.first_event_ms + choice.hold_ms() + context.queue_ms);
    if let Some(offer) = cheaper_remote(&context, local_ms) {
        return Placement::Forward(offer);
    }
    let Some(local_ms) = local_ms else {
        return without_endpoint(context);
    };
    let has_room = context.local.as_ref().is_some_and(Choice::has_room);
    // A queued request is only considered while it is the most urgent one.
    let is_next = context.is_waiting || context.has_run || context.queue_ms <= 0.0;
    let sendable = context.local.clone().filter(|choice| {
        // Many short prompts delay the streams as a long one does.
        let is_short_and_on_time = choice.work.is_short_prompt()
            && choice.is_gap_goal_kept
            && choice.first_event_ms <= context.goal_left_ms;
        // A stream that goes on elsewhere pauses while it waits as one that is preempted does.
        let has_memory = choice.has_memory || context.has_run;
        (is_short_and_on_time || (has_room && is_next))
            && has_memory
            && choice.first_event_ms < context.time_left_ms
    });
    if let Some(choice) = sendable {
        return Placement::Send(choice);
    }
    // The predicted speed of an idle endpoint comes from earlier requests, and only a new
    // one can correct it.
    if let Some(choice) = context
        .local
        .clone()
        .filter(|choice| choice.is_idle && is_next)
    {
        return Placement::Send(choice);
    }
    let is_past_deadline = local_ms >= context.time_left_ms;
    let is_late = local_ms > context.goal_left_ms;
    // A prompt that is held for the streams there keeps others waiting. Its caller learns at once
    // that it misses its goal, and can come back in time for a new one.
    let is_kept_waiting = context.is_waiting && !is_held(&context);
    if is_past_deadline || (is_late && !is_kept_waiting && !context.has_run) {
        return refuse_for_overload(&context, local_ms);
    }
    Placement::Wait
}

/// Returns whether a request is held at this host for the streams at the endpoint, or for memory.
fn is_held(context: &PlacementContext) -> bool {
    context.local.as_ref().is_some_and(|choice| {
        !choice.has_memory || (!choice.is_gap_goal_kept && !choice.has_room())
    })
}

fn cheaper_remote(context: &PlacementContext, local_ms: Option<f64>) -> Option<RemoteOffer> {
    let offer = context.remote.clone()?;
    if offer.first_event_ms >= context.time_left_ms {
        return None;
    }
    let permit_ms = context.limited.map(|limited| limited.wait.wait_ms);
    match local_ms {
        // A permit comes earlier.
        None if permit_ms.is_some_and(|permit_ms| permit_ms < offer.first_event_ms) => None,
        None => Some(offer),
        Some(_) => {
            let local_cost_ms = context.local.as_ref().map_or(0.0, |choice| choice.cost_ms);
            let queue_cost_ms = context.queue_ms * QUEUE_WEIGHT;
            let is_cheaper = offer.cost_ms < local_cost_ms + queue_cost_ms;
            let is_in_time = context.has_run || offer.first_event_ms <= context.goal_left_ms;
            let is_better = match offer.room {
                RemoteRoom::Unknown => is_cheaper,
                RemoteRoom::Free => is_cheaper || is_held(context),
                // A stream that has begun goes on wherever it can.
                RemoteRoom::Full => is_cheaper && context.has_run,
            };
            (is_better && is_in_time).then_some(offer)
        }
    }
}

/// Decides about a request while no endpoint may be used; one may become usable
/// shortly.
fn without_endpoint(context: PlacementContext) -> Placement {
    if context.has_run {
        let is_in_time = |usable_ms| usable_ms < context.time_left_ms;
        return match context.usable_in_ms.is_some_and(is_in_time) {
            true => Placement::Wait,
            false => refuse_without_endpoint(&context),
        };
    }
    if let Some(unwanted_ms) = context.unwanted_for_ms {
        // Without time to serve the request afterwards, a wait would be in vain.
        if unwanted_ms <= context.goal_left_ms / 2.0 {
            return Placement::Wait;
        }
        return refuse_for(&context, unwanted_ms);
    }
    if let Some(limited) = context.limited {
        let is_in_time = context.goal_left_ms > 0.0 && limited.wait.wait_ms <= context.goal_left_ms;
        return match is_in_time {
            true => Placement::Wait,
            false => refuse_for(&context, limited.return_in_ms),
        };
    }
    let wait_ms = context.goal_ms / 8.0;
    if !context.is_cut_off && context.goal_left_ms > context.goal_ms - wait_ms {
        return Placement::Wait;
    }
    refuse_without_endpoint(&context)
}

/// Refuses a request while more arrives than can be served; the caller comes back when the
/// backlog has drained, or later if that leaves time for the usual answer.
fn refuse_for_overload(context: &PlacementContext, local_ms: f64) -> Placement {
    let drained_ms = local_ms - context.goal_ms / 2.0;
    let spare_ms = context.time_left_ms - context.usual_run_ms;
    refuse_for(context, drained_ms.max(spare_ms * MAX_RETRY_SHARE))
}

fn refuse_without_endpoint(context: &PlacementContext) -> Placement {
    refuse_for(context, context.goal_ms / 2.0)
}

/// Refuses a request that may be served after `wait_ms`.
fn refuse_for(context: &PlacementContext, wait_ms: f64) -> Placement {
    let longest_ms = context.time_left_ms * MAX_RETRY_SHARE;
    let retry_ms = wait_ms.min(longest_ms).max(MIN_RETRY_MS);
    Placement::Refuse(retry_ms as u64)
}
