//! Enforces the allotments of client accounts: charges requests, exchanges what is used with other
//! hosts, and refuses what is beyond.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr, //
};

use compact_str::CompactString;

use super::{
    account::{
        Account,
        Allotment,
        AllotmentUnit, //
    },
    allotment::{
        Admission,
        AllotmentView,
        Bucket, //
    },
    allotment_exchange::{
        AccountHash,
        COMPLETE_MS,
        REACH_LIMIT_MS,
        RELAY_COUNT,
        RegionUsage,
        Usage,
        UsageRelay,
        UsageReport,
        UsageSender,
        UsageSummary,
        UsageTracker,
        Usages,
        parts_of,
        relay_order, //
    },
    configuration::Configuration,
    hosts::HostInfo,
    load_updates::Packet,
    reactor::Reactor,
    request::RequestMetadata,
    response::GatewayResponse,
    serve_accounts::Rejection,
    stream_origins::AttemptHash, //
};

/// Shortest time between two reports of a host, and between two summaries of a relay.
const REPORT_INTERVAL_MS: u64 = 50;
/// Longest time between two summaries of a relay.
const SUMMARY_INTERVAL_MS: u64 = 500;
/// Interval at which the relays are determined.
const RELAY_CHECK_MS: u64 = 500;
/// Time for which an attempt that comes again is not charged again.
const ATTEMPT_LIFETIME_MS: u64 = 10_000;
/// Attempts that are remembered before expired ones are dropped.
const MAX_ATTEMPTS: usize = 8_192;

/// What a request was charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// The account.
    account: AccountHash,
    /// Units of its allotment.
    units: u64,
    attempt: Option<AttemptHash>,
}

/// An account with an allotment, as this host knows it.
#[derive(Debug, Clone)]
struct AccountState {
    name: CompactString,
    bucket: Bucket,
    usage: Usage,
}

/// What a host needs to keep accounts within their allotments.
#[derive(Debug, Default)]
pub struct AllotmentState {
    accounts: BTreeMap<AccountHash, AccountState>,
    /// Attempts that were charged, with the time until which they are remembered.
    charged: HashMap<AttemptHash, u64>,
    tracker: UsageTracker,
    /// Hosts in reach of the followed relay, and those that may be at work.
    reach: (u32, u32),
    relay: UsageRelay,
    relays: Vec<HostInfo>,
    other_relays: Vec<HostInfo>,
    next_relay_check_ms: u64,
    sequence: u64,
    is_report_due: bool,
    next_report_ms: u64,
    next_full_report_ms: u64,
    is_summary_due: bool,
    next_summary_ms: u64,
    next_full_summary_ms: u64,
}

impl AllotmentState {
    /// Applies a configuration.
    pub fn configure(&mut self, configuration: &Configuration, now_ms: u64) {
        let mut accounts = BTreeMap::new();
        for account in &configuration.accounts {
            let Some(allotment) = account.allotment else {
                continue;
            };
            let hash = AccountHash::new(&account.name);
            let known = self.accounts.remove(&hash);
            let mut state = known.unwrap_or_else(|| AccountState {
                name: account.name.clone(),
                bucket: Bucket::new(allotment, now_ms),
                usage: Usage::default(),
            });
            state.bucket.set_allotment(allotment);
            accounts.insert(hash, state);
        }
        self.accounts = accounts;
    }

    /// Returns the units that an account has left at this host.
    pub fn levels(&self) -> impl Iterator<Item = (&CompactString, f64)> {
        let accounts = self.accounts.values();
        accounts.map(|state| (&state.name, state.bucket.level()))
    }

    /// Charges a request; `view` is what this host knows of the system.
    pub fn charge(
        &mut self,
        account: AccountHash,
        units: u64,
        attempt: Option<AttemptHash>,
        view: &AllotmentView,
        now_ms: u64,
    ) -> Result<Option<Charge>, u64> {
        let Some(state) = self.accounts.get_mut(&account) else {
            return Ok(None);
        };
        let is_repeated = attempt
            .and_then(|attempt| self.charged.get(&attempt))
            .is_some_and(|until_ms| now_ms < *until_ms);
        if is_repeated {
            return Ok(None);
        }
        state.usage.asked = state.usage.asked.wrapping_add_unsigned(units);
        self.is_report_due = true;
        match state.bucket.admit(units as f64, view, now_ms) {
            Admission::Refused { retry_ms } => Err(retry_ms),
            Admission::Admitted => {
                state.usage.used = state.usage.used.wrapping_add_unsigned(units);
                self.remember(attempt, now_ms);
                Ok(Some(Charge {
                    account,
                    units,
                    attempt,
                }))
            }
        }
    }

    fn remember(&mut self, attempt: Option<AttemptHash>, now_ms: u64) {
        if self.charged.len() >= MAX_ATTEMPTS {
            self.charged.retain(|_, until_ms| now_ms < *until_ms);
        }
        if let Some(attempt) = attempt.filter(|_| self.charged.len() < MAX_ATTEMPTS) {
            self.charged.insert(attempt, now_ms + ATTEMPT_LIFETIME_MS);
        }
    }

    /// Gives back what a request was charged that has not run.
    pub fn refund(&mut self, charge: &Charge) {
        if let Some(attempt) = charge.attempt {
            self.charged.remove(&attempt);
        }
        if let Some(state) = self.accounts.get_mut(&charge.account) {
            state.usage.used = state.usage.used.wrapping_sub_unsigned(charge.units);
            state.bucket.refund(charge.units as f64);
            self.is_report_due = true;
        }
    }

    /// Returns what this host knows of the system, of `possible_count` hosts that may be at work.
    ///
    /// A host that hears no relay may use what is one host's share.
    pub fn view(&self, possible_count: usize, now_ms: u64) -> AllotmentView {
        let heard_ms = self.tracker.heard_ms();
        let is_heard = heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + REACH_LIMIT_MS);
        let (reachable, possible) = match is_heard {
            true => self.reach,
            false => (1, possible_count as u32),
        };
        AllotmentView {
            reachable_share: f64::from(reachable) / f64::from(possible.max(reachable).max(1)),
            host_count: reachable.max(1) as usize,
        }
    }

    /// Applies what a relay says of the use of all other hosts.
    pub fn apply_summary(&mut self, summary: &UsageSummary, now_ms: u64, view: &AllotmentView) {
        let changes = self.tracker.apply(&summary.sender, &summary.others, now_ms);
        let Some(changes) = changes else {
            return;
        };
        self.reach = (summary.reachable_count, summary.possible_count);
        for (account, change) in changes {
            if let Some(state) = self.accounts.get_mut(&account) {
                // What was used meanwhile is taken off before the bucket is full again.
                state.bucket.refill(view, now_ms);
                let (used, asked) = (change.used as f64, change.asked as f64);
                state.bucket.record_others(used, asked, now_ms);
            }
        }
        for (account, confirmed) in &summary.confirmed {
            if let Some(state) = self.accounts.get_mut(account) {
                let unconfirmed = state.usage.since(*confirmed).used;
                state.bucket.set_unconfirmed(unconfirmed as f64);
            }
        }
    }

    fn usages(&self) -> Usages {
        let accounts = self.accounts.iter();
        accounts.map(|(hash, state)| (*hash, state.usage)).collect()
    }
}

/// Returns the units of an allotment that a request costs.
pub fn cost_of(allotment: &Allotment, metadata: &RequestMetadata) -> u64 {
    match allotment.unit {
        AllotmentUnit::Requests => 1,
        AllotmentUnit::Tokens { plain_tokens } => {
            let stated = metadata.prompt_tokens.0 + metadata.max_output_tokens.0;
            if stated > 0 { stated } else { plain_tokens }
        }
    }
}

impl Reactor {
    /// Charges a request of a caller to its account.
    ///
    /// # Errors
    ///
    /// Fails with status 429 if the account has used its allotment.
    pub(super) fn charge_account(
        &mut self,
        account: Option<&Account>,
        metadata: &RequestMetadata,
    ) -> Result<Option<Charge>, Rejection> {
        let Some((account, allotment)) =
            account.and_then(|account| Some((account, account.allotment?)))
        else {
            return Ok(None);
        };
        let now_ms = self.now_ms();
        let view = self.allotment_view(now_ms);
        let hash = AccountHash::new(&account.name);
        let units = cost_of(&allotment, metadata);
        let charge = self
            .allotments
            .charge(hash, units, metadata.attempt(), &view, now_ms);
        let is_admitted = charge.is_ok();
        self.telemetry
            .count_units(&account.name, units, is_admitted);
        charge.map_err(|retry_ms| Rejection {
            cause: "account has used its allotment",
            response: GatewayResponse {
                status: 429,
                ..GatewayResponse::refusal(retry_ms)
            },
        })
    }

    fn allotment_view(&self, now_ms: u64) -> AllotmentView {
        let possible_count = self.hosts.possible_count(now_ms);
        self.allotments.view(possible_count, now_ms)
    }

    /// Reports use to the relays, and passes it on if this host is one.
    pub(super) fn follow_allotments(&mut self, now_ms: u64) {
        if self.allotments.accounts.is_empty() {
            return;
        }
        if now_ms >= self.allotments.next_relay_check_ms {
            self.allotments.next_relay_check_ms = now_ms + RELAY_CHECK_MS;
            self.choose_relays(now_ms);
            self.allotments.relay.drop_silent(now_ms);
            for (account, level) in self.allotments.levels() {
                self.telemetry.set_level(account, level);
            }
        }
        let state = &self.allotments;
        let is_changed = state.is_report_due && now_ms >= state.next_report_ms;
        if is_changed || now_ms >= state.next_full_report_ms {
            self.report_usage(now_ms);
        }
        let state = &self.allotments;
        let is_changed = state.is_summary_due && now_ms >= state.next_summary_ms;
        if is_changed || now_ms >= state.next_full_summary_ms {
            self.pass_usage_on(now_ms);
        }
    }

    fn choose_relays(&mut self, now_ms: u64) {
        let own_region = self.settings.host.region.clone();
        let heard = self.hosts.heard_in_region(now_ms);
        let mut relays = relay_order(heard);
        relays.truncate(RELAY_COUNT);
        let mut by_region: BTreeMap<CompactString, Vec<HostInfo>> = BTreeMap::new();
        for host in self.hosts.live(now_ms) {
            if host.region != own_region {
                let region = by_region.entry(host.region.clone()).or_default();
                region.push(host.clone());
            }
        }
        let others = by_region.into_values().flat_map(|hosts| {
            let mut relays = relay_order(hosts);
            relays.truncate(RELAY_COUNT);
            relays
        });
        self.allotments.other_relays = others.collect();
        self.allotments.relays = relays;
    }

    fn next_sender(&mut self) -> UsageSender {
        self.allotments.sequence += 1;
        UsageSender {
            host: self.settings.host.name.clone(),
            started_ms: self.instance_started_ms,
            sequence: self.allotments.sequence,
        }
    }

    fn report_usage(&mut self, now_ms: u64) {
        self.allotments.is_report_due = false;
        self.allotments.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        self.allotments.next_full_report_ms = now_ms + COMPLETE_MS;
        let own_name = self.settings.host.name.clone();
        let relays = self.allotments.relays.iter();
        let is_relay = relays.clone().any(|relay| relay.name == own_name);
        let others = relays.filter(|relay| relay.name != own_name);
        let peers: Vec<SocketAddr> = others.map(|relay| relay.peer_address).collect();
        for usages in parts_of(&self.allotments.usages()) {
            let report = UsageReport {
                sender: self.next_sender(),
                usages,
            };
            if is_relay {
                self.apply_usage_report(&report);
            }
            self.send_packet(&Packet::UsageReport(report), &peers);
        }
    }

    /// Counts what a host of the region used.
    pub(super) fn apply_usage_report(&mut self, report: &UsageReport) {
        let now_ms = self.now_ms();
        let is_changed = self.allotments.relay.apply_report(report, now_ms);
        self.allotments.is_summary_due |= is_changed;
    }

    /// Counts what another region used.
    pub(super) fn apply_region_usage(&mut self, sent: &RegionUsage) {
        let now_ms = self.now_ms();
        let is_changed = self.allotments.relay.apply_region(sent, now_ms);
        self.allotments.is_summary_due |= is_changed;
    }

    /// Applies what a relay says of the use of all other hosts.
    pub(super) fn apply_usage_summary(&mut self, summary: &UsageSummary) {
        let now_ms = self.now_ms();
        let view = self.allotment_view(now_ms);
        self.allotments.apply_summary(summary, now_ms, &view);
    }

    /// Tells the hosts of the region and the relays of the others what was used, if this host is
    /// a relay to which hosts report.
    fn pass_usage_on(&mut self, now_ms: u64) {
        self.allotments.is_summary_due = false;
        self.allotments.next_summary_ms = now_ms + REPORT_INTERVAL_MS;
        self.allotments.next_full_summary_ms = now_ms + SUMMARY_INTERVAL_MS;
        let own_name = self.settings.host.name.clone();
        let relays = &self.allotments.relays;
        if !relays.iter().any(|relay| relay.name == own_name) {
            return;
        }
        let reachable_count = self.allotments.relay.reachable_count(now_ms);
        let possible_count = self.hosts.possible_count(now_ms) as u32;
        let heard = self.allotments.relay.heard(now_ms);
        let heard: Vec<CompactString> = heard.cloned().collect();
        for host in &heard {
            let (others, confirmed) = self.allotments.relay.summary_for(host);
            for others in parts_of(&others) {
                let stated = others.keys();
                let confirmed = stated
                    .filter_map(|account| Some((*account, *confirmed.get(account)?)))
                    .collect();
                let summary = UsageSummary {
                    sender: self.next_sender(),
                    others,
                    confirmed,
                    reachable_count,
                    possible_count,
                };
                match *host == own_name {
                    true => self.apply_usage_summary(&summary),
                    false => self.send_to_peer(host, &Packet::UsageSummary(summary)),
                }
            }
        }
        let relays = self.allotments.other_relays.iter();
        let peers: Vec<SocketAddr> = relays.map(|relay| relay.peer_address).collect();
        for usages in parts_of(&self.allotments.relay.total().clone()) {
            let sent = RegionUsage {
                sender: self.next_sender(),
                region: self.settings.host.region.clone(),
                usages,
                host_count: heard.len() as u32,
            };
            self.send_packet(&Packet::RegionUsage(sent), &peers);
        }
    }
}
