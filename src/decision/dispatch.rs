//! Sends a request to an endpoint, forwards it, queues it, or refuses it.

use super::{
    Gateway,
    admission::{
        Admission,
        DrainRate,
        admit, //
    },
    context::Context,
    endpoint_choice::{
        self,
        Candidate,
        EndpointQuery, //
    },
    event::{
        Action,
        Refusal,
        RefusalReason, //
    },
    region_choice::LocalEstimate,
    request::{
        OpenRequest,
        Phase, //
    },
    view::ForwardHost, //
};
use crate::types::{
    EndpointId,
    Millis,
    RegionId,
    RequestId,
    Target, //
};

/// What to do with a request.
enum Decision {
    Send(EndpointId),
    Forward(RegionId, ForwardHost),
    Wait,
    Refuse(Refusal),
}

impl Gateway {
    /// Decides what to do with a request that is neither in `open` nor queued, and
    /// does it.
    pub(super) fn dispatch(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        let ahead = self.ahead(&open);
        match self.decide(now_ms, &open, ahead) {
            Decision::Wait => {
                let target = open.arrival.target.clone();
                self.enqueue(request, open);
                // Requests ahead may be waiting for an endpoint that this one does
                // not need.
                self.dispatch_queued(now_ms, &target, actions);
            }
            decision => self.execute(now_ms, request, open, decision, actions),
        }
    }

    /// Dispatches the first queued requests of a target for which an endpoint is
    /// available.
    ///
    /// A request that waits for an endpoint with its prefix cached does not block
    /// those behind it.
    pub(super) fn dispatch_queued(
        &mut self,
        now_ms: Millis,
        target: &Target,
        actions: &mut Vec<Action>,
    ) {
        let waiting = self.queue.in_order(target);
        for request in waiting.into_iter().take(self.inputs.policy.release_scan) {
            let Some(open) = self.open.remove(&request) else {
                continue;
            };
            let decision = self.decide(now_ms, &open, 0);
            if let Decision::Wait = decision {
                self.open.insert(request, open);
                continue;
            }
            self.queue.remove(target, open.arrival.tier, request);
            self.execute(now_ms, request, open, decision, actions);
        }
    }

    /// Dispatches queued requests of all targets.
    pub(super) fn dispatch_all_queued(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        for target in self.queue.targets() {
            self.dispatch_queued(now_ms, &target, actions);
        }
    }

    fn ahead(&self, open: &OpenRequest) -> usize {
        let arrival = &open.arrival;
        self.queue.ahead(&arrival.target, arrival.tier)
    }

    fn decide(&mut self, now_ms: Millis, open: &OpenRequest, ahead: usize) -> Decision {
        if open.remaining_ms(now_ms) == Millis(0) {
            return Decision::Refuse(Refusal::new(RefusalReason::DeadlinePassed));
        }
        let Some(version) = self.inputs.version(&open.arrival.target) else {
            return Decision::Refuse(Refusal::new(RefusalReason::UnknownTarget));
        };
        let query = open.endpoint_query(now_ms, version.as_deref(), &self.inputs.policy);
        let candidates = endpoint_choice::candidates(&self.inputs.context(now_ms), &query);
        if let Some((region, host)) = self.choose_remote(now_ms, open, &candidates, ahead) {
            return Decision::Forward(region, host);
        }
        if candidates.is_empty() {
            return Decision::Refuse(self.retryable_refusal(RefusalReason::NoEndpoint));
        }
        match self.choose_local(now_ms, open, &query, &candidates, ahead) {
            Some(chosen) => Decision::Send(chosen),
            None => self.wait_or_refuse(now_ms, open, &candidates, ahead),
        }
    }

    fn choose_remote(
        &mut self,
        now_ms: Millis,
        open: &OpenRequest,
        candidates: &[Candidate],
        ahead: usize,
    ) -> Option<(RegionId, ForwardHost)> {
        if !open.may_forward() {
            return None;
        }
        self.region_turn = self.region_turn.wrapping_add(1);
        let turn = self.region_turn;
        let context = self.inputs.context(now_ms);
        let local = local_estimate(&context, &open.arrival.target, candidates, ahead);
        let query = open.region_query(now_ms);
        self.region_chooser
            .choose(&context, &query, local, turn, &mut self.rng)
    }

    /// Chooses an endpoint that is available and predicted to finish in time.
    fn choose_local(
        &mut self,
        now_ms: Millis,
        open: &OpenRequest,
        query: &EndpointQuery<'_>,
        candidates: &[Candidate],
        ahead: usize,
    ) -> Option<EndpointId> {
        let policy = &self.inputs.policy;
        let is_predictive = policy.routing.is_predictive();
        if is_predictive && ahead > 0 {
            return None;
        }
        self.endpoint_turn = self.endpoint_turn.wrapping_add(1);
        let turn = self.endpoint_turn;
        let remaining_ms = open.remaining_ms(now_ms).0 as f64;
        let is_late = |one: &Candidate| one.prediction.finish_ms() > remaining_ms;
        let chosen = endpoint_choice::choose(candidates, query, policy, turn, &mut self.rng)?;
        if !is_predictive || !is_late(chosen) {
            return Some(chosen.endpoint.clone());
        }
        let available: Vec<Candidate> = candidates
            .iter()
            .filter(|one| !one.is_full())
            .cloned()
            .collect();
        let earliest = endpoint_choice::earliest(&available).filter(|one| !is_late(one));
        earliest.map(|one| one.endpoint.clone())
    }

    fn wait_or_refuse(
        &self,
        now_ms: Millis,
        open: &OpenRequest,
        candidates: &[Candidate],
        ahead: usize,
    ) -> Decision {
        let context = self.inputs.context(now_ms);
        let has_room = ahead == 0 && candidates.iter().any(|one| !one.is_full());
        let wait_ms = match has_room {
            true => 0.0,
            false => drain_rate(&context, &open.arrival.target, candidates).wait_ms(ahead),
        };
        let usable = candidates.iter().filter(|one| !has_room || !one.is_full());
        let runs = usable.map(|one| one.prediction.run_ms());
        let run_ms = runs.fold(f64::INFINITY, f64::min);
        let admission = admit(
            wait_ms,
            run_ms,
            open.remaining_ms(now_ms),
            &self.inputs.policy,
        );
        let is_queue_full = self.queue.len() >= self.inputs.policy.max_queue_len;
        match admission {
            Admission::Wait if open.phase == Phase::Queued => Decision::Wait,
            Admission::Wait if !is_queue_full => Decision::Wait,
            Admission::Wait => Decision::Refuse(self.retryable_refusal(RefusalReason::Overloaded)),
            Admission::Refuse { retry_after_ms } => {
                let refusal = Refusal::new(RefusalReason::Overloaded);
                Decision::Refuse(refusal.with_retry_after(retry_after_ms))
            }
        }
    }

    fn enqueue(&mut self, request: RequestId, mut open: OpenRequest) {
        open.phase = Phase::Queued;
        let arrival = &open.arrival;
        self.queue.push(&arrival.target, arrival.tier, request);
        self.open.insert(request, open);
    }

    fn execute(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        decision: Decision,
        actions: &mut Vec<Action>,
    ) {
        open.sent_ms = now_ms;
        open.has_first_token = false;
        match decision {
            Decision::Send(endpoint) => self.send(now_ms, request, open, endpoint, actions),
            Decision::Forward(region, host) => {
                self.forward(now_ms, request, open, region, host, actions);
            }
            Decision::Refuse(refusal) => self.refuse(request, open, refusal, actions),
            Decision::Wait => self.enqueue(request, open),
        }
    }

    fn send(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.inputs.view.endpoints.get_mut(&endpoint) else {
            let refusal = self.retryable_refusal(RefusalReason::NoEndpoint);
            return self.refuse(request, open, refusal, actions);
        };
        let prefixes = &open.arrival.prefix_hashes;
        state.note_sent(now_ms, request, open.attempt, prefixes, &self.inputs.policy);
        actions.push(Action::Send {
            request,
            attempt: open.attempt,
            endpoint: endpoint.clone(),
            address: state.info.address,
        });
        open.phase = Phase::AtEndpoint(endpoint);
        self.open.insert(request, open);
    }

    fn forward(
        &mut self,
        now_ms: Millis,
        request: RequestId,
        mut open: OpenRequest,
        region: RegionId,
        host: ForwardHost,
        actions: &mut Vec<Action>,
    ) {
        let context = self.inputs.context(now_ms);
        let query = open.region_query(now_ms);
        self.region_chooser
            .note_sent(&context, &region, request, &query);
        self.waste.inter_region_bytes = self.waste.inter_region_bytes + open.arrival.body_bytes;
        actions.push(Action::Forward {
            request,
            attempt: open.attempt,
            host: host.host.clone(),
            address: host.peer_address,
            region: region.clone(),
            allowed: open.allowed.clone(),
        });
        open.phase = Phase::Forwarded {
            region,
            host: host.host,
        };
        self.open.insert(request, open);
    }

    /// Refuses a request that has been removed from `open`.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        open: OpenRequest,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        self.close(request, open);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Releases the timer and reservation of a request that has been removed from
    /// `open`.
    pub(super) fn close(&mut self, request: RequestId, open: OpenRequest) {
        self.timers.remove(&(open.arrival.deadline_ms, request));
        if let Some(reservation) = open.reservation {
            self.budget.release(reservation);
        }
    }
}

/// Returns the rate at which the queue of a target drains.
fn drain_rate(context: &Context<'_>, target: &Target, candidates: &[Candidate]) -> DrainRate {
    DrainRate {
        slots: candidates.iter().map(|one| one.slots).sum(),
        hosts: context.host_count(),
        run_ms: context.predictor.typical_run_ms(context.policy, target),
    }
}

fn local_estimate(
    context: &Context<'_>,
    target: &Target,
    candidates: &[Candidate],
    ahead: usize,
) -> LocalEstimate {
    let slots: f64 = candidates.iter().map(|one| one.slots).sum();
    let load: f64 = candidates.iter().map(|one| one.load).sum();
    let reported: f64 = candidates
        .iter()
        .map(|one| f64::from(one.reported_requests))
        .sum();
    let per_slot = |requests: f64| if slots > 0.0 { requests / slots } else { 0.0 };
    let open = candidates.iter().filter(|one| !one.is_full());
    let soonest = open
        .map(|one| one.prediction.finish_ms())
        .min_by(f64::total_cmp);
    let runs = candidates.iter().map(|one| one.prediction.run_ms());
    let run_ms = runs.min_by(f64::total_cmp);
    let queued =
        run_ms.map(|run_ms| run_ms + drain_rate(context, target, candidates).wait_ms(ahead));
    LocalEstimate {
        finish_ms: soonest.filter(|_| ahead == 0).or(queued),
        load_per_slot: per_slot(load),
        reported_load_per_slot: per_slot(reported),
        slots,
        endpoint_slots: match candidates.len() {
            0 => f64::from(context.policy.default_slots),
            count => slots / count as f64,
        },
    }
}
