//! Allotments of client accounts at one host: what it charges, reports, passes on as a relay and
//! learns from relays.
//!
//! Relays count what they are told in their own buckets. All other hosts adopt the levels of the first
//! relay, or of the second while the first is silent. A host that becomes a relay, or was paused,
//! behaves like these until it has heard all hosts of its region.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use compact_str::CompactString;

use super::{
    account::{
        Account,
        Allotment, //
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
        RELAY_SILENCE_MS,
        RegionUsage,
        RelayedAccount,
        Usage,
        UsageRelay,
        UsageReport,
        UsageSender,
        UsageSummary,
        Usages,
        parts_of, //
    },
    hosts::HostInfo,
    load_updates::Packet,
    stream_origins::AttemptHash, //
};

/// Shortest time between two reports of a host, and between two summaries of a relay.
const REPORT_INTERVAL_MS: u64 = 50;
/// Longest time between two summaries of a relay; several fit into [`RELAY_SILENCE_MS`].
const SUMMARY_INTERVAL_MS: u64 = 200;
/// Time in which a new relay collects reports before it passes anything on: each host states
/// all of its use within it, also if one packet is lost.
const JOIN_MS: u64 = 1_500;
/// Time without a tick after which a host counts as one that was paused; several idle ticks.
const PAUSE_MS: u64 = 750;
/// Weight of a new difference in the moving average of those from another relay, which sends up to
/// 20 a second: levels swing within a second while an account is at its limit.
const DIFFERENCE_EWMA_WEIGHT: f64 = 0.05;
/// Time for which an attempt that comes again is not charged again.
const ATTEMPT_LIFETIME_MS: u64 = 10_000;
/// Attempts that are remembered before expired ones are dropped.
const MAX_ATTEMPTS: usize = 8_192;
/// Parts of a unit in which levels are stated.
const MILLI: f64 = 1_000.0;

/// What a request was charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    account: AccountHash,
    units: u64,
    attempt: Option<AttemptHash>,
}

/// An attempt that was charged a moment ago.
#[derive(Debug, Clone, Copy)]
struct ChargedAttempt {
    units: u64,
    until_ms: u64,
}

/// A packet, and the hosts to which it goes.
#[derive(Debug, Clone)]
pub struct OutgoingUsage {
    /// Names of the hosts.
    pub hosts: Vec<CompactString>,
    /// The packet.
    pub packet: Packet,
}

/// An account with an allotment, as this host knows it.
#[derive(Debug, Clone)]
struct AccountState {
    name: CompactString,
    bucket: Bucket,
}

/// Newest packet of a relay of the region.
#[derive(Debug, Clone, Copy)]
struct HeardRelay {
    place: (u64, u64),
    heard_ms: u64,
}

/// What a host needs to keep accounts within their allotments.
#[derive(Debug)]
pub struct AllotmentState {
    own: HostInfo,
    started_ms: u64,
    sequence: u64,
    accounts: BTreeMap<AccountHash, AccountState>,
    /// Use since the start, also of accounts that the configuration no longer has.
    usages: Usages,
    /// Attempts that were charged.
    charged: HashMap<(AccountHash, AttemptHash), ChargedAttempt>,
    relay: UsageRelay,
    /// Relays of the region, in order.
    relays: Vec<CompactString>,
    /// Relays of the other regions.
    other_relays: Vec<CompactString>,
    /// Since when this host is a relay.
    relay_since_ms: Option<u64>,
    heard_relays: BTreeMap<CompactString, HeardRelay>,
    /// Mean differences of the levels of other relays from the own ones.
    differences: BTreeMap<(CompactString, AccountHash), f64>,
    /// Time at which a relay was last followed.
    followed_ms: Option<u64>,
    /// Hosts in reach of the followed relay, and those that may be at work.
    reach: (u32, u32),
    last_tick_ms: u64,
    is_report_due: bool,
    next_report_ms: u64,
    next_full_report_ms: u64,
    is_summary_due: bool,
    next_summary_ms: u64,
    next_full_summary_ms: u64,
}

impl AllotmentState {
    /// Returns the state of a host that starts at the Unix time `started_ms`.
    pub fn new(own: HostInfo, started_ms: u64) -> Self {
        Self {
            own,
            started_ms,
            sequence: 0,
            accounts: BTreeMap::new(),
            usages: Usages::new(),
            charged: HashMap::new(),
            relay: UsageRelay::default(),
            relays: Vec::new(),
            other_relays: Vec::new(),
            relay_since_ms: None,
            heard_relays: BTreeMap::new(),
            differences: BTreeMap::new(),
            followed_ms: None,
            reach: (1, 1),
            last_tick_ms: 0,
            is_report_due: false,
            next_report_ms: 0,
            next_full_report_ms: 0,
            is_summary_due: false,
            next_summary_ms: 0,
            next_full_summary_ms: 0,
        }
    }

    /// Applies the accounts of a configuration.
    pub fn configure(&mut self, accounts: &[Account], possible_count: usize, now_ms: u64) {
        let view = self.view(possible_count, now_ms);
        let mut known = std::mem::take(&mut self.accounts);
        for account in accounts {
            let Some(allotment) = account.allotment else {
                continue;
            };
            let hash = AccountHash::new(&account.name);
            let state = known.remove(&hash);
            let mut state = state.unwrap_or_else(|| self.new_account(account, allotment, now_ms));
            state.bucket.set_allotment(allotment, &view, now_ms);
            self.accounts.insert(hash, state);
            self.usages.entry(hash).or_default();
        }
    }

    fn new_account(&self, account: &Account, allotment: Allotment, now_ms: u64) -> AccountState {
        AccountState {
            name: account.name.clone(),
            bucket: Bucket::new(allotment, now_ms),
        }
    }

    /// Returns whether any account has an allotment.
    pub fn is_used(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the units that each account has left, as far as this host knows.
    pub fn levels(&self) -> impl Iterator<Item = (&CompactString, f64)> {
        let accounts = self.accounts.values();
        accounts.map(|state| (&state.name, state.bucket.level()))
    }

    /// Returns the units that an account has left, as far as this host knows.
    pub fn level(&self, account: AccountHash) -> f64 {
        let state = self.accounts.get(&account);
        state.map_or(0.0, |state| state.bucket.level())
    }

    /// Sets the relays of this host's region, in order, and those of the others.
    pub fn set_relays(
        &mut self,
        relays: Vec<CompactString>,
        others: Vec<CompactString>,
        now_ms: u64,
    ) {
        self.relay_since_ms = match relays.contains(&self.own.name) {
            true => self.relay_since_ms.or(Some(now_ms)),
            false => None,
        };
        self.relays = relays;
        self.other_relays = others;
        let (relays, others) = (&self.relays, &self.other_relays);
        self.differences
            .retain(|(relay, _), _| relays.contains(relay) || others.contains(relay));
    }

    /// Charges a request, with `possible_count` hosts that may be at work.
    ///
    /// # Errors
    ///
    /// Fails with the time in milliseconds until the account has room if it has none.
    pub fn charge(
        &mut self,
        account: AccountHash,
        units: u64,
        attempt: Option<AttemptHash>,
        possible_count: usize,
        now_ms: u64,
    ) -> Result<Option<Charge>, u64> {
        let view = self.view(possible_count, now_ms);
        let Some(state) = self.accounts.get_mut(&account) else {
            return Ok(None);
        };
        let is_repeated = attempt
            .and_then(|attempt| self.charged.get(&(account, attempt)))
            .is_some_and(|charged| now_ms < charged.until_ms && units <= charged.units);
        if is_repeated {
            return Ok(None);
        }
        let usage = self.usages.entry(account).or_default();
        usage.asked = usage.asked.wrapping_add_unsigned(units);
        self.is_report_due = true;
        match state.bucket.admit(units as f64, &view, now_ms) {
            Admission::Refused { retry_ms } => Err(retry_ms),
            Admission::Admitted => {
                usage.used = usage.used.wrapping_add_unsigned(units);
                self.remember(account, attempt, units, now_ms);
                Ok(Some(Charge {
                    account,
                    units,
                    attempt,
                }))
            }
        }
    }

    fn remember(
        &mut self,
        account: AccountHash,
        attempt: Option<AttemptHash>,
        units: u64,
        now_ms: u64,
    ) {
        if self.charged.len() >= MAX_ATTEMPTS {
            self.charged.retain(|_, charged| now_ms < charged.until_ms);
        }
        if let Some(attempt) = attempt.filter(|_| self.charged.len() < MAX_ATTEMPTS) {
            let until_ms = now_ms + ATTEMPT_LIFETIME_MS;
            let charged = ChargedAttempt { units, until_ms };
            self.charged.insert((account, attempt), charged);
        }
    }

    /// Gives back what a request was charged that has not run.
    pub fn refund(&mut self, charge: &Charge) {
        if let Some(attempt) = charge.attempt {
            self.charged.remove(&(charge.account, attempt));
        }
        if let Some(usage) = self.usages.get_mut(&charge.account) {
            usage.used = usage.used.wrapping_sub_unsigned(charge.units);
            self.is_report_due = true;
        }
        if let Some(state) = self.accounts.get_mut(&charge.account) {
            state.bucket.refund(charge.units as f64);
        }
    }

    /// Returns whether this host passes on what it is told: it is a relay and has heard all hosts
    /// of its region.
    fn is_active_relay(&self, now_ms: u64) -> bool {
        let since_ms = self.relay_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + JOIN_MS)
    }

    /// Returns what this host knows of the system, of `possible_count` hosts that may be at work.
    ///
    /// A host that hears no relay may use what is one host's share.
    pub fn view(&self, possible_count: usize, now_ms: u64) -> AllotmentView {
        let is_followed = self
            .followed_ms
            .is_some_and(|at_ms| now_ms < at_ms + REACH_LIMIT_MS);
        let (reachable, possible) = match is_followed {
            _ if self.is_active_relay(now_ms) => {
                let reachable = self.relay.reachable_count(now_ms);
                (reachable.max(1), possible_count as u32)
            }
            true => self.reach,
            false => (1, possible_count as u32),
        };
        AllotmentView {
            reachable_share: f64::from(reachable) / f64::from(possible.max(reachable).max(1)),
            host_count: reachable.max(1) as usize,
        }
    }

    /// Counts what a host of the region used.
    pub fn apply_report(&mut self, report: &UsageReport, now_ms: u64) {
        let changes = self.relay.apply_report(report, now_ms);
        self.is_summary_due |= !changes.is_empty();
        if report.sender.host != self.own.name {
            self.count_others(&changes, now_ms);
        }
    }

    /// Counts what another region used.
    pub fn apply_region(&mut self, sent: &RegionUsage, now_ms: u64) {
        let changes = self.relay.apply_region(sent, now_ms);
        self.is_summary_due |= !changes.is_empty();
        self.count_others(&changes, now_ms);
        if self.is_active_relay(now_ms) {
            for (account, level_milli) in &sent.levels {
                let level = *level_milli as f64 / MILLI;
                self.compare(&sent.sender.host, *account, level);
            }
        }
    }

    /// Corrects the own level if that of another relay differs from it in the mean: a region whose
    /// level is lower would be refused what the others use.
    fn compare(&mut self, relay: &CompactString, account: AccountHash, level: f64) {
        if let Some(state) = self.accounts.get_mut(&account) {
            let difference = state.bucket.difference(level);
            let mean = self.differences.entry((relay.clone(), account));
            let mean = mean.or_default();
            *mean += DIFFERENCE_EWMA_WEIGHT * (difference - *mean);
            state.bucket.approach(*mean);
        }
    }

    fn count_others(&mut self, changes: &Usages, now_ms: u64) {
        if !self.is_active_relay(now_ms) {
            return;
        }
        for (account, change) in changes {
            if let Some(state) = self.accounts.get_mut(account) {
                state.bucket.record_others(change.used as f64);
                let asked = change.asked as f64;
                state.bucket.record_demand_of_others(asked, now_ms);
            }
        }
    }

    /// Returns whether a relay before this one in the order was heard a moment ago.
    fn hears_earlier_relay(&self, relay: &str, now_ms: u64) -> bool {
        let mut earlier = self.relays.iter().take_while(|name| *name != relay);
        earlier.any(|name| {
            let heard = self.heard_relays.get(name);
            heard.is_some_and(|heard| now_ms < heard.heard_ms + RELAY_SILENCE_MS)
        })
    }

    /// Applies what a relay of the region states.
    pub fn apply_summary(&mut self, summary: &UsageSummary, now_ms: u64) {
        // Packets that waited while the host was paused state what was left then.
        if self.was_paused(now_ms) {
            return;
        }
        self.heard_relays
            .retain(|_, heard| now_ms < heard.heard_ms + REACH_LIMIT_MS);
        let sender = &summary.sender;
        let place = sender.place();
        let known = self.heard_relays.get(&sender.host);
        if known.is_some_and(|known| place <= known.place) {
            return;
        }
        let heard = HeardRelay {
            place,
            heard_ms: now_ms,
        };
        self.heard_relays.insert(sender.host.clone(), heard);
        // Confirmations of an earlier start of this host do not refer to its present use.
        if summary.receiver_started_ms != self.started_ms {
            return;
        }
        let is_active = self.is_active_relay(now_ms);
        if !is_active && self.hears_earlier_relay(&sender.host, now_ms) {
            return;
        }
        if !is_active {
            self.followed_ms = Some(now_ms);
            self.reach = (summary.reachable_count, summary.possible_count);
        }
        for (account, stated) in &summary.accounts {
            let usage = self.usages.get(account).copied().unwrap_or_default();
            let unconfirmed = usage.used.wrapping_sub(stated.confirmed) as f64;
            let level = stated.level_milli as f64 / MILLI;
            if is_active {
                self.compare(&sender.host, *account, level - unconfirmed);
            } else if let Some(state) = self.accounts.get_mut(account) {
                let demand = stated.demand as f64;
                state.bucket.adopt(level, demand, unconfirmed, now_ms);
            }
        }
    }

    /// Returns the time until something is due, in milliseconds.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        let mut due_ms = self.next_full_report_ms;
        if self.is_report_due {
            due_ms = due_ms.min(self.next_report_ms);
        }
        if self.is_active_relay(now_ms) {
            due_ms = due_ms.min(self.next_full_summary_ms);
            if self.is_summary_due && !self.is_standby(now_ms) {
                due_ms = due_ms.min(self.next_summary_ms);
            }
        }
        due_ms.saturating_sub(now_ms)
    }

    /// Returns whether this host only stands in for an earlier relay.
    fn is_standby(&self, now_ms: u64) -> bool {
        self.hears_earlier_relay(&self.own.name, now_ms)
    }

    /// Records a turn of the host; returns whether [`Self::take_due`] has something to do.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        if self.was_paused(now_ms) && self.relay_since_ms.is_some() {
            self.relay_since_ms = Some(now_ms);
        }
        self.last_tick_ms = now_ms;
        self.wait_ms(now_ms) == 0
    }

    fn was_paused(&self, now_ms: u64) -> bool {
        now_ms >= self.last_tick_ms + PAUSE_MS
    }

    /// Returns the packets that are due.
    pub fn take_due(&mut self, possible_count: usize, now_ms: u64) -> Vec<OutgoingUsage> {
        let view = self.view(possible_count, now_ms);
        for state in self.accounts.values_mut() {
            state.bucket.refill(&view, now_ms);
        }
        let mut due = Vec::new();
        let is_changed = self.is_report_due && now_ms >= self.next_report_ms;
        if is_changed || now_ms >= self.next_full_report_ms {
            self.report(now_ms, &mut due);
        }
        let is_changed = self.is_summary_due && now_ms >= self.next_summary_ms;
        let is_changed = is_changed && !self.is_standby(now_ms);
        if self.is_active_relay(now_ms) && (is_changed || now_ms >= self.next_full_summary_ms) {
            self.pass_on(possible_count, now_ms, &mut due);
        }
        due
    }

    fn next_sender(&mut self) -> UsageSender {
        self.sequence += 1;
        UsageSender {
            host: self.own.name.clone(),
            started_ms: self.started_ms,
            sequence: self.sequence,
        }
    }

    fn report(&mut self, now_ms: u64, due: &mut Vec<OutgoingUsage>) {
        self.is_report_due = false;
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        self.next_full_report_ms = now_ms + COMPLETE_MS;
        let relays = self.relays.iter().filter(|relay| **relay != self.own.name);
        let hosts: Vec<CompactString> = relays.cloned().collect();
        for usages in parts_of(&self.usages) {
            let sender = self.next_sender();
            let report = UsageReport { sender, usages };
            if self.relay_since_ms.is_some() {
                self.apply_report(&report, now_ms);
            }
            if self.is_active_relay(now_ms) {
                self.confirm_own(&report.usages);
            }
            due.push(OutgoingUsage {
                hosts: hosts.clone(),
                packet: Packet::UsageReport(report),
            });
        }
    }

    /// Confirms the own use that this host has counted as a relay.
    fn confirm_own(&mut self, usages: &Usages) {
        for account in usages.keys() {
            if let Some(state) = self.accounts.get_mut(account) {
                state.bucket.set_unconfirmed(0.0);
            }
        }
    }

    /// Tells the hosts of the region what is left, and the relays of the others what was used.
    fn pass_on(&mut self, possible_count: usize, now_ms: u64, due: &mut Vec<OutgoingUsage>) {
        self.is_summary_due = false;
        self.next_summary_ms = now_ms + REPORT_INTERVAL_MS;
        self.next_full_summary_ms = now_ms + SUMMARY_INTERVAL_MS;
        let heard: Vec<CompactString> = self.relay.heard(now_ms).cloned().collect();
        let reachable_count = self.relay.reachable_count(now_ms);
        for host in &heard {
            if *host == self.own.name {
                continue;
            }
            let Some((receiver_started_ms, accounts)) = self.stated_to(host, now_ms) else {
                continue;
            };
            for accounts in parts_of(&accounts) {
                let summary = UsageSummary {
                    sender: self.next_sender(),
                    receiver_started_ms,
                    accounts,
                    reachable_count,
                    possible_count: possible_count as u32,
                };
                due.push(OutgoingUsage {
                    hosts: vec![host.clone()],
                    packet: Packet::UsageSummary(summary),
                });
            }
        }
        // Use in the own bucket that is not in the own report yet is in the level already.
        for usages in parts_of(self.relay.total()) {
            let levels = usages.keys().filter_map(|account| {
                let state = self.accounts.get(account)?;
                Some((*account, (state.bucket.level() * MILLI) as i64))
            });
            let levels = levels.collect();
            let sent = RegionUsage {
                sender: self.next_sender(),
                region: self.own.region.clone(),
                usages,
                levels,
                host_count: heard.len() as u32,
            };
            due.push(OutgoingUsage {
                hosts: self.other_relays.clone(),
                packet: Packet::RegionUsage(sent),
            });
        }
    }

    /// Returns the start of a host, and what it is told of each account.
    fn stated_to(
        &self,
        host: &str,
        now_ms: u64,
    ) -> Option<(u64, BTreeMap<AccountHash, RelayedAccount>)> {
        let (started_ms, confirmed) = self.relay.confirmed(host)?;
        let accounts = self.accounts.iter().map(|(account, state)| {
            let confirmed: Usage = confirmed.get(account).copied().unwrap_or_default();
            let stated = RelayedAccount {
                level_milli: (state.bucket.level() * MILLI) as i64,
                demand: state.bucket.demand(now_ms) as i64,
                confirmed: confirmed.used,
            };
            (*account, stated)
        });
        Some((started_ms, accounts.collect()))
    }
}
