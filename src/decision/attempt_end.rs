//! Accounting and retries when an attempt ends.

use super::{
    Gateway,
    event::{
        Action,
        AttemptOutcome,
        Refusal,
        RefusalReason, //
    },
    policy::Policy,
    request::{
        OpenRequest,
        Phase, //
    },
    retry::{
        self,
        may_repeat, //
    },
    view::EndpointState, //
};
use crate::types::{
    Attempt,
    Bytes,
    Millis,
    RequestId,
    Tokens, //
};

impl Gateway {
    pub(super) fn on_ended(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        attempt: Attempt,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        if !open.is_running() {
            if matches!(outcome, AttemptOutcome::CallerDisconnected { .. }) {
                self.drop_disconnected(request);
            }
            return;
        }
        if open.attempt != attempt {
            return;
        }
        if let Some(open) = self.open.remove(&request) {
            let target = open.arrival.target.clone();
            self.attempt_ended(now_ms, request, open, outcome, actions);
            self.dispatch_queued(now_ms, &target, actions);
        }
    }

    /// Drops a waiting request whose caller has disconnected.
    fn drop_disconnected(&mut self, request: RequestId) {
        if let Some(open) = self.take_waiting(request) {
            self.close(request, open);
        }
    }

    /// Removes a waiting request from the queue or the requests that wait for a
    /// grant.
    pub(super) fn take_waiting(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open = self.open.remove(&request)?;
        let arrival = &open.arrival;
        if let Some(waiting) = self.awaiting_grant.get_mut(&arrival.caller) {
            waiting.retain(|one| *one != request);
        }
        self.queue.remove(&arrival.target, arrival.tier, request);
        Some(open)
    }

    fn attempt_ended(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        self.clear_in_flight(now_ms, request, &open);
        self.learn(now_ms, &open, outcome);
        self.note_outcome(now_ms, &mut open, outcome);
        self.charge(now_ms, &mut open, outcome);
        let is_refused = open.refused_ms.is_some();
        if let AttemptOutcome::Interrupted { delivered_tokens } = outcome {
            open.arrival.needs_continuation |= *delivered_tokens > Tokens(0);
        }
        if !is_refused && may_repeat(outcome, open.arrival.is_repeatable) {
            self.retry(now_ms, request, open, outcome, actions);
        } else if !is_refused && matches!(outcome, AttemptOutcome::Interrupted { .. }) {
            let refusal = self.retryable_refusal(RefusalReason::RetriesExhausted);
            self.refuse(request, open, refusal, actions);
        } else {
            self.close(request, open);
        }
    }

    /// Removes an attempt from the requests in flight at its endpoint or region.
    pub(super) fn clear_in_flight(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        open: &OpenRequest,
    ) {
        match &open.phase {
            Phase::AtEndpoint(id) => {
                if let Some(state) = self.inputs.view.endpoints.get_mut(id) {
                    state.note_ended(now_ms, request, open.attempt);
                }
            }
            Phase::Forwarded { region, .. } => {
                self.region_chooser
                    .note_ended(region, &open.arrival.target, request);
            }
            Phase::AwaitingGrant { .. } | Phase::Queued | Phase::Delayed { .. } => {}
        }
    }

    fn learn(&mut self, now_ms: Millis, open: &OpenRequest, outcome: &AttemptOutcome) {
        let AttemptOutcome::Complete { output_tokens, .. } = outcome else {
            return;
        };
        if let Phase::Forwarded { .. } = open.phase {
            let bytes = u64::from(self.inputs.policy.answer_bytes_per_token) * output_tokens.0;
            self.waste.inter_region_bytes = self.waste.inter_region_bytes + Bytes(bytes);
            return;
        }
        let inputs = &mut self.inputs;
        let run_ms = now_ms - open.sent_ms;
        inputs
            .predictor
            .learn(&inputs.policy, &open.arrival.target, *output_tokens, run_ms);
    }

    fn note_outcome(&mut self, now_ms: Millis, open: &mut OpenRequest, outcome: &AttemptOutcome) {
        let is_leaving = matches!(
            outcome,
            AttemptOutcome::Rejected {
                is_leaving: true,
                ..
            }
        );
        let is_unreachable = matches!(outcome, AttemptOutcome::NotSent);
        let was_remote = matches!(open.phase, Phase::Forwarded { .. });
        open.untaken_attempts += u16::from(is_leaving || (is_unreachable && was_remote));
        let policy = &self.inputs.policy;
        let view = &mut self.inputs.view;
        match &open.phase {
            Phase::AtEndpoint(id) => {
                if let Some(state) = view.endpoints.get_mut(id) {
                    note_endpoint_outcome(state, now_ms, outcome, policy);
                }
                open.tried.push(id.clone());
            }
            Phase::Forwarded { host, .. } => {
                if is_leaving || is_unreachable {
                    let until_ms = now_ms + policy.host_avoid_ms;
                    view.avoid_host(host.clone(), until_ms);
                }
                open.was_forwarded |= !is_unreachable;
                if is_unreachable {
                    self.region_chooser.note_unsent(&open.arrival.target);
                }
            }
            Phase::AwaitingGrant { .. } | Phase::Queued | Phase::Delayed { .. } => {}
        }
    }

    fn charge(&mut self, now_ms: Millis, open: &mut OpenRequest, outcome: &AttemptOutcome) {
        if let AttemptOutcome::CallerDisconnected { wasted_tokens } = outcome {
            self.waste.cancelled_tokens = self.waste.cancelled_tokens + *wasted_tokens;
        }
        let cost = open.cost(outcome);
        if let Some(reservation) = open.reservation.as_mut() {
            self.budget
                .charge(now_ms, reservation, cost, &self.inputs.policy);
        }
    }

    /// Gives up an attempt that did not end in time after it was cancelled, and
    /// charges the most that it can have cost.
    pub(super) fn abandon_cancelled(&mut self, now_ms: Millis, request: RequestId) {
        let Some(mut open) = self.open.remove(&request) else {
            return;
        };
        self.clear_in_flight(now_ms, request, &open);
        let most = AttemptOutcome::CallerDisconnected {
            wasted_tokens: open.arrival.max_output_tokens,
        };
        self.charge(now_ms, &mut open, &most);
        self.close(request, open);
    }

    fn retry(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let hint_ms = retry_hint_ms(outcome);
        let delay_ms = self.retry_delay_ms(&open, hint_ms);
        let is_in_time = now_ms + delay_ms < open.arrival.deadline_ms;
        let has_attempts = open.has_attempts(&self.inputs.policy);
        if !is_in_time || !has_attempts || !self.retries.spend() {
            let wait_ms = hint_ms.unwrap_or(self.inputs.policy.retry_after_ms);
            let reason = match now_ms < open.arrival.deadline_ms {
                true => RefusalReason::RetriesExhausted,
                false => RefusalReason::DeadlinePassed,
            };
            let refusal = Refusal::new(reason).with_retry_after(wait_ms);
            return self.refuse(request, open, refusal, actions);
        }
        // The next attempt may cost as much as the first, and reserves that anew.
        if let Some(left) = open.reservation.take() {
            self.budget.release(left);
        }
        self.waste.retries += 1;
        open.attempt = Attempt(open.attempt.0 + 1);
        self.send_after(now_ms, request, open, delay_ms, actions);
    }

    fn retry_delay_ms(&mut self, open: &OpenRequest, hint_ms: Option<Millis>) -> Millis {
        let delay_ms = retry::delay(&mut self.rng, &self.inputs.policy, open.attempt);
        let inputs = &self.inputs;
        let target = &open.arrival.target;
        let version = inputs.version(target).flatten();
        let mut serving = inputs
            .view
            .serving(&inputs.region, target, version.as_deref());
        let has_other = serving.any(|state| !open.tried.contains(&state.info.id));
        match hint_ms {
            Some(hint_ms) if !has_other => delay_ms.max(hint_ms),
            _ => delay_ms,
        }
    }

    fn send_after(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        delay_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        if delay_ms <= self.inputs.policy.retry_now_ms {
            return self.start_attempt(now_ms, request, open, actions);
        }
        let until_ms = now_ms + delay_ms;
        open.phase = Phase::Delayed { until_ms };
        self.timers.insert((until_ms, request));
        self.open.insert(request, open);
    }
}

fn note_endpoint_outcome(
    state: &mut EndpointState,
    now_ms: Millis,
    outcome: &AttemptOutcome,
    policy: &Policy,
) {
    match outcome {
        AttemptOutcome::Rejected {
            is_leaving: true, ..
        } => state.mark_leaving(),
        AttemptOutcome::Rejected { .. } => state.note_rejection(now_ms, policy),
        AttemptOutcome::NotSent
        | AttemptOutcome::Interrupted { .. }
        | AttemptOutcome::Truncated { .. } => {
            state.note_failure(now_ms, policy);
        }
        AttemptOutcome::Complete { .. } => state.note_success(),
        AttemptOutcome::Failed { .. } | AttemptOutcome::CallerDisconnected { .. } => {}
    }
}

fn retry_hint_ms(outcome: &AttemptOutcome) -> Option<Millis> {
    match outcome {
        AttemptOutcome::Rejected { retry_after_ms, .. } => *retry_after_ms,
        _ => None,
    }
}
