//! Asks other hosts for the origins of streams, and answers their questions.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use compact_str::CompactString;

use super::{
    hosts::HostInfo,
    load_updates::Packet,
    origin_exchange::{
        FetchedOrigins,
        OriginAnswer,
        OriginPage,
        OriginQuestion, //
    },
    reactor::Reactor,
    serve_streams::VersionSearch,
    stream_origins::{
        AttemptHash,
        OriginGroup, //
    }, //
};

/// Most attempts in a question, so that each packet of the answer has the size of one.
const MAX_ATTEMPTS: usize = 32;
/// Hosts of this region that are asked for the origin of a stream.
const ASKED_NEAR: usize = 8;
/// Hosts of each other region that are asked.
const ASKED_PER_OTHER_REGION: usize = 2;

impl Reactor {
    /// Fetches all origins from another host, if that is due.
    pub(super) fn catch_up_origins(&mut self, now_ms: u64) {
        // Without a copy of the store, the other hosts are not known.
        if !self.is_synchronised || !self.origin_catch_up.is_due(now_ms) {
            return;
        }
        let unasked = |hosts: Vec<HostInfo>| -> Vec<HostInfo> {
            let hosts = hosts.into_iter();
            hosts
                .filter(|host| self.origin_catch_up.may_ask(host.peer_address))
                .collect()
        };
        let near = unasked(self.origin_hosts_near(now_ms));
        let mut candidates = match near.is_empty() {
            true => {
                let regions = self.other_regions.iter();
                let far = regions.flat_map(|region| self.hosts.live_in(region, now_ms));
                unasked(far.cloned().collect())
            }
            false => near,
        };
        let has_answered = |host: &HostInfo| self.origin_catch_up.has_answered(host.peer_address);
        if !candidates.iter().all(has_answered) {
            candidates.retain(|host| !has_answered(host));
        }
        match self.random_of(candidates) {
            Some(host) => self.origin_catch_up.ask(host.peer_address),
            None => self.origin_catch_up.finish(now_ms),
        }
    }

    /// Returns the other hosts of this region that can answer, those included that are leaving.
    fn origin_hosts_near(&self, now_ms: u64) -> Vec<HostInfo> {
        self.hosts.running_in_region(now_ms).cloned().collect()
    }

    /// Applies the origins that another host knows.
    pub(super) fn apply_fetched_origins(&mut self, fetched: FetchedOrigins) {
        let now_ms = self.now_ms();
        let page = fetched.page.as_ref();
        if let Some(page) = page {
            let origins = self.record_groups(&page.groups, now_ms);
            tracing::info!(
                peer = %fetched.peer,
                origins,
                is_complete = page.is_complete,
                "received the origins of streams from another host"
            );
        }
        let has_all = page.is_some_and(|page| page.is_complete);
        self.origin_catch_up.record_answer(has_all, now_ms);
    }

    fn record_groups(&mut self, groups: &[OriginGroup], now_ms: u64) -> usize {
        let groups = groups.iter();
        groups
            .map(|group| self.origins.record_group(group, now_ms))
            .sum()
    }

    /// Encodes the answer to a host that fetches all origins.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be serialised.
    pub(super) fn encode_origins(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(&OriginPage {
            is_complete: self.origin_catch_up.is_complete(),
            groups: self.origins.groups(self.now_ms()),
        })
    }

    /// Asks other hosts for the origins of the streams that are searched for.
    pub(super) fn look_up_origins(&mut self, searches: &mut [VersionSearch], now_ms: u64) {
        if self.is_synchronised && searches.iter().any(|search| search.lookup.is_new()) {
            let names = self.names_of_asked_hosts(now_ms);
            let new = searches.iter_mut().filter(|search| search.lookup.is_new());
            new.for_each(|search| search.lookup.set_hosts(names.clone()));
        }
        let mut questions: BTreeMap<CompactString, Vec<AttemptHash>> = BTreeMap::new();
        for search in searches {
            let Some((attempt, hosts)) = search.lookup.take_due(now_ms) else {
                continue;
            };
            for host in hosts {
                questions.entry(host.clone()).or_default().push(attempt);
            }
        }
        for (host, attempts) in questions {
            let Some(address) = self.hosts.peer_address(&host) else {
                continue;
            };
            for attempts in attempts.chunks(MAX_ATTEMPTS) {
                let attempts = attempts.to_vec();
                let question = Packet::OriginQuestion(OriginQuestion { attempts });
                self.send_packet(&question, &[address]);
            }
        }
    }

    fn names_of_asked_hosts(&mut self, now_ms: u64) -> Vec<CompactString> {
        let near = self.origin_hosts_near(now_ms);
        let mut asked = self.random_sample(near, ASKED_NEAR);
        for region in self.other_regions.clone() {
            let hosts = self.hosts.live_in(&region, now_ms).cloned().collect();
            asked.extend(self.random_sample(hosts, ASKED_PER_OTHER_REGION));
        }
        asked.into_iter().map(|host| host.name).collect()
    }

    fn random_sample(&mut self, mut hosts: Vec<HostInfo>, count: usize) -> Vec<HostInfo> {
        while hosts.len() > count {
            let index = self.random_index(hosts.len());
            hosts.swap_remove(index);
        }
        hosts
    }

    /// Answers the question of another host, with a packet for each version.
    pub(super) fn answer_origin_question(&mut self, question: &OriginQuestion, from: SocketAddr) {
        let now_ms = self.now_ms();
        let groups = self.origins.groups_of(&question.attempts, now_ms);
        let attempts = question.attempts.iter().copied();
        let unknown: Vec<AttemptHash> = attempts
            .filter(|attempt| !self.origins.knows(*attempt, now_ms))
            .collect();
        let host = self.settings.host.name.clone();
        let answer = |known, unknown| {
            Packet::OriginAnswer(OriginAnswer {
                host: host.clone(),
                known,
                unknown,
            })
        };
        let mut answers: Vec<Packet> = Vec::new();
        if !unknown.is_empty() {
            answers.push(answer(None, unknown));
        }
        let known = groups.into_iter();
        answers.extend(known.map(|group| answer(Some(group), Vec::new())));
        for answer in answers {
            self.send_packet(&answer, &[from]);
        }
    }

    /// Applies the answer of another host to a question.
    pub(super) fn apply_origin_answer(&mut self, answer: &OriginAnswer, now_ms: u64) {
        self.record_groups(answer.known.as_slice(), now_ms);
        for search in &mut self.version_searches {
            search.lookup.record_unknown(&answer.unknown, &answer.host);
        }
    }
}
