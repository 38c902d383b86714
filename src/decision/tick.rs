//! Periodic work: timers, deadlines and the queue.

use super::{
    Gateway,
    event::{
        Action,
        Refusal,
        RefusalReason, //
    },
    request::Phase, //
};
use crate::types::{
    Millis,
    RequestId,
    Target, //
};

/// Factor on the predicted wait of a queued request. The request is refused only
/// if it would be late even with a queue that drains twice as fast as predicted.
const WAIT_FACTOR: f64 = 0.5;

impl Gateway {
    pub(super) fn on_tick(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        self.inputs.view.refresh(now_ms, &self.inputs.policy);
        let slots = self.inputs.view.slots(&self.inputs.region);
        self.region_chooser
            .note_local_capacity(now_ms, &self.inputs.region, &slots);
        for request in self.take_due_timers(now_ms) {
            self.handle_timer(now_ms, request, actions);
        }
        for target in self.queue.targets() {
            self.refuse_late(now_ms, &target, actions);
            self.dispatch_queued(now_ms, &target, actions);
        }
    }

    fn take_due_timers(&mut self, now_ms: Millis) -> Vec<RequestId> {
        let later = self
            .timers
            .split_off(&(now_ms + Millis(1), RequestId::default()));
        let due = std::mem::replace(&mut self.timers, later);
        due.into_iter().map(|(_, request)| request).collect()
    }

    fn handle_timer(&mut self, now_ms: Millis, request: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let policy = &self.inputs.policy;
        if let Some(refused_ms) = open.refused_ms {
            if refused_ms + policy.cancel_wait_ms <= now_ms {
                self.abandon_cancelled(now_ms, request);
            }
            return;
        }
        if open.arrival.deadline_ms <= now_ms {
            return self.expire(now_ms, request, actions);
        }
        match open.phase {
            Phase::Delayed { until_ms } if until_ms <= now_ms => {
                if let Some(open) = self.open.remove(&request) {
                    self.start_attempt(now_ms, request, open, actions);
                }
            }
            Phase::AwaitingGrant { since_ms } if since_ms + policy.grant_wait_ms <= now_ms => {
                let caller = open.arrival.caller.clone();
                self.budget.unavailable(&caller);
                self.retry_awaiting_grant(now_ms, &caller, actions);
            }
            _ => {}
        }
    }

    /// Ends a request at its deadline.
    ///
    /// A response that has begun is not cancelled: the caller is already reading it,
    /// and a late complete response is more useful than a truncated one.
    fn expire(&mut self, now_ms: Millis, request: RequestId, actions: &mut Vec<Action>) {
        let refusal = Refusal::new(RefusalReason::DeadlinePassed);
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        if open.is_running() && open.has_first_token {
            return;
        }
        if !open.is_running() {
            if let Some(open) = self.take_waiting(request) {
                self.refuse(request, open, refusal, actions);
            }
            return;
        }
        open.refused_ms = Some(now_ms);
        let attempt = open.attempt;
        let until_ms = now_ms + self.inputs.policy.cancel_wait_ms;
        self.timers.insert((until_ms, request));
        actions.push(Action::Cancel { request, attempt });
        actions.push(Action::Refuse { request, refusal });
    }

    /// Refuses queued requests that can no longer finish by their deadline.
    fn refuse_late(&mut self, now_ms: Millis, target: &Target, actions: &mut Vec<Action>) {
        let slots = self.inputs.view.slots(&self.inputs.region);
        let slots = slots.get(target).copied().unwrap_or(0);
        let context = self.inputs.context(now_ms);
        let typical_ms = context.predictor.typical_run_ms(context.policy, target);
        let each_ms = typical_ms * context.host_count() as f64 / f64::from(slots.max(1));
        let slots = f64::from(slots.max(1));
        let mut late = Vec::new();
        let mut ahead = 0.0;
        for request in self.queue.in_order(target) {
            let Some(open) = self.open.get(&request) else {
                continue;
            };
            let run = context
                .predictor
                .predict(context.policy, target, open.work(), 0.0, slots);
            let wait_ms = (ahead + 1.0) * each_ms * WAIT_FACTOR;
            if wait_ms + run.run_ms() > open.remaining_ms(now_ms).0 as f64 {
                late.push(request);
            } else {
                ahead += 1.0;
            }
        }
        let refusal = self.retryable_refusal(RefusalReason::Overloaded);
        for request in late {
            if let Some(open) = self.take_waiting(request) {
                self.refuse(request, open, refusal, actions);
            }
        }
    }
}
