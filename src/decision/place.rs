//! Sends a request somewhere, lets it wait, or refuses it.

use super::{
    Gateway,
    admission::{
        Admission,
        Drain,
        admit, //
    },
    context::Context,
    endpoint::{
        self,
        Candidate,
        Demand, //
    },
    event::{
        Action,
        Refusal,
        RefusalReason, //
    },
    region::HomeOutlook,
    request::{
        OpenRequest,
        Place, //
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
    /// Decides on a request that is neither open nor queued, and does it.
    pub(super) fn place(
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
                self.wait(request, open);
                // Those ahead may wait for an endpoint that this one does not
                // need.
                self.release(now_ms, &target, actions);
            }
            decision => self.carry_out(now_ms, request, open, decision, actions),
        }
    }

    /// Sends the first waiting requests of a target that find room.
    ///
    /// One that waits for an endpoint with its prefix does not hold up those
    /// behind it.
    pub(super) fn release(&mut self, now_ms: Millis, target: &Target, actions: &mut Vec<Action>) {
        let waiting = self.queue.in_order(target);
        for request in waiting.into_iter().take(self.known.policy.release_scan) {
            let Some(open) = self.open.remove(&request) else {
                continue;
            };
            let decision = self.decide(now_ms, &open, 0);
            if let Decision::Wait = decision {
                self.open.insert(request, open);
                continue;
            }
            self.queue.remove(target, open.arrival.tier, request);
            self.carry_out(now_ms, request, open, decision, actions);
        }
    }

    /// The same for all targets.
    pub(super) fn release_all(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        for target in self.queue.targets() {
            self.release(now_ms, &target, actions);
        }
    }

    fn ahead(&self, open: &OpenRequest) -> usize {
        let arrival = &open.arrival;
        self.queue.ahead(&arrival.target, arrival.tier)
    }

    fn decide(&mut self, now_ms: Millis, open: &OpenRequest, ahead: usize) -> Decision {
        if open.left_ms(now_ms) == Millis(0) {
            return Decision::Refuse(Refusal::new(RefusalReason::DeadlinePassed));
        }
        let Some(version) = self.known.version(&open.arrival.target) else {
            return Decision::Refuse(Refusal::new(RefusalReason::UnknownTarget));
        };
        let demand = open.demand(now_ms, version.as_deref(), &self.known.policy);
        let candidates = endpoint::candidates(&self.known.context(now_ms), &demand);
        if let Some((region, host)) = self.choose_away(now_ms, open, &candidates, ahead) {
            return Decision::Forward(region, host);
        }
        if candidates.is_empty() {
            return Decision::Refuse(self.later(RefusalReason::NoEndpoint));
        }
        match self.choose_here(now_ms, open, &demand, &candidates, ahead) {
            Some(chosen) => Decision::Send(chosen),
            None => self.wait_or_refuse(now_ms, open, &candidates, ahead),
        }
    }

    fn choose_away(
        &mut self,
        now_ms: Millis,
        open: &OpenRequest,
        candidates: &[Candidate],
        ahead: usize,
    ) -> Option<(RegionId, ForwardHost)> {
        if !open.may_leave() {
            return None;
        }
        self.region_turn = self.region_turn.wrapping_add(1);
        let turn = self.region_turn;
        let context = self.known.context(now_ms);
        let home = outlook(&context, &open.arrival.target, candidates, ahead);
        let trip = open.trip(now_ms);
        self.regions
            .choose(&context, &trip, home, turn, &mut self.rng)
    }

    /// An endpoint that has room and finishes in time.
    fn choose_here(
        &mut self,
        now_ms: Millis,
        open: &OpenRequest,
        demand: &Demand<'_>,
        candidates: &[Candidate],
        ahead: usize,
    ) -> Option<EndpointId> {
        let policy = &self.known.policy;
        let is_predictive = policy.routing.is_predictive();
        if is_predictive && ahead > 0 {
            return None;
        }
        self.endpoint_turn = self.endpoint_turn.wrapping_add(1);
        let turn = self.endpoint_turn;
        let left_ms = open.left_ms(now_ms).0 as f64;
        let is_late = |one: &Candidate| one.prediction.finish_ms() > left_ms;
        let chosen = endpoint::choose(candidates, demand, policy, turn, &mut self.rng)?;
        if !is_predictive || !is_late(chosen) {
            return Some(chosen.endpoint.clone());
        }
        let open_ones: Vec<Candidate> = candidates
            .iter()
            .filter(|one| !one.is_full())
            .cloned()
            .collect();
        let earliest = endpoint::earliest(&open_ones).filter(|one| !is_late(one));
        earliest.map(|one| one.endpoint.clone())
    }

    fn wait_or_refuse(
        &self,
        now_ms: Millis,
        open: &OpenRequest,
        candidates: &[Candidate],
        ahead: usize,
    ) -> Decision {
        let context = self.known.context(now_ms);
        let has_room = ahead == 0 && candidates.iter().any(|one| !one.is_full());
        let wait_ms = match has_room {
            true => 0.0,
            false => drain(&context, &open.arrival.target, candidates).wait_ms(ahead),
        };
        let usable = candidates.iter().filter(|one| !has_room || !one.is_full());
        let runs = usable.map(|one| one.prediction.run_ms());
        let run_ms = runs.fold(f64::INFINITY, f64::min);
        let admission = admit(wait_ms, run_ms, open.left_ms(now_ms), &self.known.policy);
        let is_queue_full = self.queue.len() >= self.known.policy.max_queue_len;
        match admission {
            Admission::Wait if open.place == Place::Queued => Decision::Wait,
            Admission::Wait if !is_queue_full => Decision::Wait,
            Admission::Wait => Decision::Refuse(self.later(RefusalReason::Overloaded)),
            Admission::Refuse { retry_after_ms } => {
                let refusal = Refusal::new(RefusalReason::Overloaded);
                Decision::Refuse(refusal.with_retry_after(retry_after_ms))
            }
        }
    }

    fn wait(&mut self, request: RequestId, mut open: OpenRequest) {
        open.place = Place::Queued;
        let arrival = &open.arrival;
        self.queue.push(&arrival.target, arrival.tier, request);
        self.open.insert(request, open);
    }

    fn carry_out(
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
            Decision::Wait => self.wait(request, open),
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
        let Some(state) = self.known.view.endpoints.get_mut(&endpoint) else {
            let refusal = self.later(RefusalReason::NoEndpoint);
            return self.refuse(request, open, refusal, actions);
        };
        let prefixes = &open.arrival.prefix_hashes;
        state.start(now_ms, request, open.attempt, prefixes, &self.known.policy);
        actions.push(Action::Send {
            request,
            attempt: open.attempt,
            endpoint: endpoint.clone(),
            address: state.info.address,
        });
        open.place = Place::Endpoint(endpoint);
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
        let context = self.known.context(now_ms);
        let trip = open.trip(now_ms);
        self.regions.start(&context, &region, request, &trip);
        self.waste.away = self.waste.away + open.arrival.body;
        actions.push(Action::Forward {
            request,
            attempt: open.attempt,
            host: host.host.clone(),
            address: host.peer_address,
            region: region.clone(),
            allowed: open.allowed.clone(),
        });
        open.place = Place::Away {
            region,
            host: host.host,
        };
        self.open.insert(request, open);
    }

    /// Gives up a request that is not open any more.
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

    /// Gives back what a request that is not open any more still holds.
    pub(super) fn close(&mut self, request: RequestId, open: OpenRequest) {
        self.timers.remove(&(open.arrival.deadline_ms, request));
        if let Some(reservation) = open.reservation {
            self.budget.release(reservation);
        }
    }
}

/// How the queue of a target drains.
fn drain(context: &Context<'_>, target: &Target, candidates: &[Candidate]) -> Drain {
    Drain {
        slots: candidates.iter().map(|one| one.slots).sum(),
        hosts: context.host_count(),
        run_ms: context.predictor.typical_run_ms(context.policy, target),
    }
}

fn outlook(
    context: &Context<'_>,
    target: &Target,
    candidates: &[Candidate],
    ahead: usize,
) -> HomeOutlook {
    let slots: f64 = candidates.iter().map(|one| one.slots).sum();
    let load: f64 = candidates.iter().map(|one| one.load).sum();
    let reported: f64 = candidates.iter().map(|one| f64::from(one.reported)).sum();
    let per_slot = |requests: f64| if slots > 0.0 { requests / slots } else { 0.0 };
    let open = candidates.iter().filter(|one| !one.is_full());
    let soonest = open
        .map(|one| one.prediction.finish_ms())
        .min_by(f64::total_cmp);
    let runs = candidates.iter().map(|one| one.prediction.run_ms());
    let run_ms = runs.min_by(f64::total_cmp);
    let queued = run_ms.map(|run_ms| run_ms + drain(context, target, candidates).wait_ms(ahead));
    HomeOutlook {
        finish_ms: soonest.filter(|_| ahead == 0).or(queued),
        ratio: per_slot(load),
        reported_ratio: per_slot(reported),
        slots,
        endpoint_slots: match candidates.len() {
            0 => f64::from(context.policy.default_slots),
            count => slots / count as f64,
        },
    }
}
