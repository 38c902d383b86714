//! Validation of new requests, and reservation of their cost from the caller's
//! budget.

use super::{
    Gateway,
    budget::{
        Price,
        Reservation,
        Shortage, //
    },
    event::{
        Action,
        Arrival,
        Refusal,
        RefusalReason, //
    },
    request::{
        OpenRequest,
        Phase, //
    },
    residency::AllowedRegions, //
};
use crate::types::{
    CallerId,
    CostMicros,
    Millis,
    RequestId, //
};

impl Gateway {
    pub(super) fn on_arrival(
        &mut self,
        now_ms: Millis,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) {
        let request = arrival.request;
        if self.open.contains_key(&request) {
            return;
        }
        match self.check(now_ms, arrival) {
            Ok(open) => self.accept(now_ms, request, open, actions),
            Err(refusal) => actions.push(Action::Refuse { request, refusal }),
        }
    }

    fn check(&self, now_ms: Millis, mut arrival: Arrival) -> Result<OpenRequest, Refusal> {
        let later = |reason| self.retryable_refusal(reason);
        if self.is_leaving {
            return Err(later(RefusalReason::Leaving));
        }
        let intents = self.inputs.intents.as_ref();
        let intents = intents.ok_or_else(|| later(RefusalReason::NotReady))?;
        let unknown = Refusal::new(RefusalReason::UnknownTarget);
        let intent = intents.caller(&arrival.caller).ok_or(unknown)?;
        if !intent.targets.contains(&arrival.target) {
            return Err(unknown);
        }
        let price = Price::new(intents, &arrival.target).ok_or(unknown)?;
        let allowed = AllowedRegions::for_request(intent, &arrival.origin);
        if !allowed.contains(&self.inputs.region) {
            return Err(Refusal::new(RefusalReason::WrongRegion));
        }
        arrival.deadline_ms = arrival.deadline_ms.min(now_ms + intent.deadline_ms);
        arrival.tier = arrival.tier.max(intent.tier);
        if arrival.deadline_ms <= now_ms {
            return Err(Refusal::new(RefusalReason::DeadlinePassed));
        }
        Ok(OpenRequest::new(now_ms, arrival, allowed, price))
    }

    fn accept(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        self.retries.earn(&self.inputs.policy);
        let deadline_ms = open.arrival.deadline_ms;
        self.timers.insert((deadline_ms, request));
        if open.is_from_caller() {
            let target = &open.arrival.target;
            self.region_chooser
                .note_request(now_ms, target, &self.inputs.policy);
        }
        self.start_attempt(now_ms, request, open, actions);
    }

    /// Starts an attempt.
    ///
    /// The host that received the request from its caller reserves the cost, so a
    /// forwarded request is dispatched without a reservation.
    pub(super) fn start_attempt(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        if open.is_from_caller() {
            open.phase = Phase::AwaitingGrant { since_ms: now_ms };
            self.reserve_and_dispatch(now_ms, request, open, actions);
        } else {
            self.dispatch(now_ms, request, open, actions);
        }
    }

    /// Reserves the cost and dispatches the request, or lets it wait for a grant.
    fn reserve_and_dispatch(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        let caller = open.arrival.caller.clone();
        let amount = open.max_cost();
        match self.reserve(now_ms, &caller, amount, actions) {
            Ok(reservation) => {
                open.reservation = reservation;
                self.dispatch(now_ms, request, open, actions);
            }
            Err(Shortage::AwaitingGrant) => self.await_grant(request, open),
            Err(Shortage::Exhausted { retry_after_ms }) => {
                let refusal =
                    Refusal::new(RefusalReason::OverBudget).with_retry_after(retry_after_ms);
                self.refuse(request, open, refusal, actions);
            }
        }
    }

    /// Reserves the cost, and requests a grant if the remaining amount is low.
    fn reserve(
        &mut self,
        now_ms: Millis,
        caller: &CallerId,
        amount: CostMicros,
        actions: &mut Vec<Action>,
    ) -> Result<Option<Reservation>, Shortage> {
        let Some(intents) = self.inputs.intents.clone() else {
            return Ok(None);
        };
        let Some(intent) = intents.caller(caller) else {
            // The caller was removed from the configuration while its request waited.
            return Err(Shortage::Exhausted {
                retry_after_ms: self.inputs.policy.retry_after_ms,
            });
        };
        let policy = &self.inputs.policy;
        let reserved = self.budget.reserve(now_ms, caller, intent, amount, policy);
        if let Some(amount_micros) = self
            .budget
            .take_grant_request(now_ms, caller, intent, policy)
        {
            actions.push(Action::RequestGrant {
                caller: caller.clone(),
                amount_micros,
            });
        }
        reserved.map(Some)
    }

    fn await_grant(&mut self, request: RequestId, open: OpenRequest) {
        if let Phase::AwaitingGrant { since_ms } = open.phase {
            let until_ms = since_ms + self.inputs.policy.grant_wait_ms;
            self.timers.insert((until_ms, request));
        }
        let caller = open.arrival.caller.clone();
        self.awaiting_grant.entry(caller).or_default().push(request);
        self.open.insert(request, open);
    }

    /// Retries the reservation for all requests of a caller that wait for a grant.
    pub(super) fn retry_awaiting_grant(
        &mut self,
        now_ms: Millis,
        caller: &CallerId,
        actions: &mut Vec<Action>,
    ) {
        let waiting = self.awaiting_grant.remove(caller).unwrap_or_default();
        for request in waiting {
            if let Some(open) = self.open.remove(&request) {
                self.reserve_and_dispatch(now_ms, request, open, actions);
            }
        }
    }

    /// Returns a refusal with the default time after which to retry.
    pub(super) fn retryable_refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal::new(reason).with_retry_after(self.inputs.policy.retry_after_ms)
    }
}
