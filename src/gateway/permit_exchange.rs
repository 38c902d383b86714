//! Questions for permits, and their answers, between the hosts of a region.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    bound::{
        Bound,
        CoordinatorView, //
    },
    endpoint::EndpointHash,
    endpoint_limit::LimitReport,
    fleet::Fleet,
    hosts::{
        HostInfo,
        Hosts, //
    },
    permits::{
        PERMIT_LIFETIME_MS,
        PLACE_PERMIT_LIFETIME_MS,
        PermitDesk,
        coordinator_priority, //
    }, //
};

/// Shortest interval of questions for permits: a few fit into the lifetime of one.
const MIN_QUESTION_INTERVAL_MS: u64 = 100;
/// The same for each host of the region, so that a coordinator gets a hundred questions a
/// second for an endpoint whatever the size of the region.
const QUESTION_INTERVAL_PER_HOST_MS: u64 = 10;

/// Question to the coordinator of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// Name of the sender.
    pub host: CompactString,
    /// What bounds the endpoint, as the sender knows it.
    pub limit: LimitReport,
    /// Permits that the sender can use.
    pub missing: u32,
    /// Time until it asks again.
    pub interval_ms: u64,
}

/// Answer to a [`PermitQuestion`], or permits that were collected later.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Number of permits.
    pub count: u32,
    /// Time between two permits for the receiver.
    pub interval_ms: f64,
    /// Time after which the permits lapse.
    pub lifetime_ms: u64,
}

/// What hosts send each other about permits.
#[derive(Debug, Clone, PartialEq)]
pub enum PermitMessage {
    /// Asks for permits.
    Question(PermitQuestion),
    /// Hands some out.
    Answer(PermitAnswer),
}

/// A message for a host, which may be the sender itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Name of the receiver.
    pub to: CompactString,
    /// The message.
    pub message: PermitMessage,
}

/// One host's part in the exchange of permits.
#[derive(Debug)]
pub struct PermitExchange {
    host: CompactString,
    /// Desks of the endpoints for which this host was asked.
    desks: BTreeMap<CompactString, PermitDesk>,
}

impl PermitExchange {
    /// Returns the part of a host that has not asked or been asked.
    pub fn new(host: CompactString) -> Self {
        Self {
            host,
            desks: BTreeMap::new(),
        }
    }

    /// Asks the coordinator of an endpoint for permits if fewer than `wanted` are held and a
    /// question is due.
    pub fn ask(
        &mut self,
        id: &CompactString,
        wanted: usize,
        fleet: &mut Fleet,
        hosts: &Hosts,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        let Some(endpoint) = fleet.get_mut(id) else {
            return Vec::new();
        };
        let Some(missing) = endpoint.permits.missing(wanted, now_ms) else {
            return Vec::new();
        };
        let heard = hosts.heard_in_region(now_ms);
        let interval_ms =
            (heard.len() as u64 * QUESTION_INTERVAL_PER_HOST_MS).max(MIN_QUESTION_INTERVAL_MS);
        let Some(coordinator) =
            coordinator(id, &heard, |name| endpoint.permits.may_ask(name, now_ms))
        else {
            return Vec::new();
        };
        endpoint
            .permits
            .record_question(&coordinator.name, interval_ms, now_ms);
        let question = PermitQuestion {
            host: self.host.clone(),
            limit: LimitReport::new(endpoint, now_ms),
            missing,
            interval_ms,
        };
        if coordinator.name == self.host {
            return self.answer(&question, fleet, hosts, now_ms);
        }
        vec![Outgoing {
            to: coordinator.name.clone(),
            message: PermitMessage::Question(question),
        }]
    }

    /// Answers a question for permits.
    pub fn answer(
        &mut self,
        question: &PermitQuestion,
        fleet: &mut Fleet,
        hosts: &Hosts,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        let Some(id) = fleet.id_of(question.limit.endpoint) else {
            return Vec::new();
        };
        let desk = self
            .desks
            .entry(id.clone())
            .or_insert_with(|| PermitDesk::new(now_ms));
        desk.ask(
            &question.host,
            question.missing,
            question.interval_ms,
            now_ms,
        );
        self.hand_out(&id, Some(&question.host), fleet, hosts, now_ms)
    }

    /// Hands out the permits that were collected since, for all endpoints.
    pub fn hand_out_all(&mut self, fleet: &Fleet, hosts: &Hosts, now_ms: u64) -> Vec<Outgoing> {
        let coordinated: Vec<CompactString> = self.desks.keys().cloned().collect();
        let outgoing = coordinated
            .iter()
            .map(|id| self.hand_out(id, None, fleet, hosts, now_ms));
        outgoing.flatten().collect()
    }

    /// Drops the desks of endpoints that are not bound any more.
    pub fn drop_idle(&mut self, fleet: &Fleet, now_ms: u64) {
        self.desks.retain(|id, _| {
            let endpoint = fleet.get(id).filter(|one| one.is_staying(now_ms));
            endpoint.is_some_and(|endpoint| endpoint.bound(now_ms).is_some())
        });
    }

    /// Applies the permits that a coordinator has handed out.
    pub fn apply_answer(answer: &PermitAnswer, fleet: &mut Fleet, now_ms: u64) {
        let id = fleet.id_of(answer.endpoint);
        if let Some(endpoint) = id.and_then(|id| fleet.get_mut(&id)) {
            endpoint.permits.apply_answer_for(
                answer.count,
                answer.interval_ms,
                answer.lifetime_ms,
                now_ms,
            );
        }
    }

    /// Hands out the permits that were collected for an endpoint; `asker` gets an answer in
    /// any case.
    fn hand_out(
        &mut self,
        id: &CompactString,
        asker: Option<&str>,
        fleet: &Fleet,
        hosts: &Hosts,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        let Some(endpoint) = fleet.get(id) else {
            return Vec::new();
        };
        let Some(bound) = endpoint.bound(now_ms) else {
            return Vec::new();
        };
        let rate = bound.handed_out_rate(&self.view(id, hosts, now_ms));
        let Some(desk) = self.desks.get_mut(id) else {
            return Vec::new();
        };
        let place_interval_ms = desk.place_interval_ms(fleet.place_interval_ms(endpoint));
        let (mut handed_out, interval_ms, lifetime_ms) = match (bound.room(), rate) {
            (Some(room), rate) => (
                desk.hand_out_places(rate, room, now_ms),
                rate.map_or(0.0, |rate| desk.interval_ms(rate))
                    .max(place_interval_ms),
                PLACE_PERMIT_LIFETIME_MS,
            ),
            (None, rate) => {
                let rate = rate.unwrap_or_default();
                let handed_out = desk.hand_out(rate, now_ms);
                (handed_out, desk.interval_ms(rate), PERMIT_LIFETIME_MS)
            }
        };
        if let Some(asker) = asker {
            handed_out.entry(asker.into()).or_default();
        }
        let answers = handed_out.into_iter().map(|(to, count)| Outgoing {
            to,
            message: PermitMessage::Answer(PermitAnswer {
                endpoint: endpoint.hash,
                count,
                interval_ms,
                lifetime_ms,
            }),
        });
        answers.collect()
    }

    fn view(&self, id: &str, hosts: &Hosts, now_ms: u64) -> CoordinatorView {
        let own_priority = coordinator_priority(id, &self.host);
        let comes_before = |host: &str| coordinator_priority(id, host) > own_priority;
        CoordinatorView {
            heard_share: hosts.heard_share(now_ms),
            earlier_count: hosts.count_present(comes_before, now_ms),
            is_settled: hosts.is_settled(now_ms),
        }
    }
}

/// Returns the endpoints among `bounded` that a host asks for permits: all with a limit, and of
/// the cold ones as many as it can use permits.
///
/// Hosts prefer different cold endpoints, so that each of these is asked for.
pub fn asked_endpoints(
    host: &str,
    wanted: usize,
    bounded: Vec<(CompactString, Bound)>,
) -> Vec<(CompactString, Bound)> {
    let (mut cold, limited): (Vec<_>, Vec<_>) =
        bounded.into_iter().partition(|(_, bound)| bound.is_cold());
    cold.sort_by_key(|(id, _)| std::cmp::Reverse(coordinator_priority(id, host)));
    let asked = limited.into_iter().chain(cold.into_iter().take(wanted));
    asked.collect()
}

/// Returns the host that hands out the permits of an endpoint, of those that may be asked.
pub fn coordinator<'a, F>(endpoint: &str, hosts: &'a [HostInfo], may_ask: F) -> Option<&'a HostInfo>
where
    F: Fn(&str) -> bool,
{
    hosts
        .iter()
        .filter(|host| may_ask(&host.name))
        .max_by_key(|host| coordinator_priority(endpoint, &host.name))
}
