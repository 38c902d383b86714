//! Reports of what client accounts use, collected and passed on by the relays of each region.
//!
//! Two hosts of a region are its relays. Every host reports its own use to both. A relay tells
//! each host of its region the levels of its own buckets, and the relays of the other regions
//! what its region used. Use is cumulative since the start of the sender, so that a packet that
//! is lost, copied or late does no harm. If one relay of another region is silent, receivers go
//! on with the other, from what that one had counted when the first was last heard.
//!
//! What a host or region used while it was out of reach is not counted when it is heard again: it
//! kept to its share of the rate, which was set aside for it.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::hosts::HostInfo;
use crate::types::hex_id;

/// Relays of a region: a second one takes over if the first ends.
pub const RELAY_COUNT: usize = 2;
/// Silence of a relay after which receivers go on with the other one: several of its intervals.
pub const RELAY_SILENCE_MS: u64 = 500;
/// Silence of hosts and regions after which what they may use is set aside for them.
pub const REACH_LIMIT_MS: u64 = 1_500;
/// Time in which a sender states the use of all accounts at least once.
pub const COMPLETE_MS: u64 = 500;
/// Accounts in one packet, so that it does not exceed the largest size with numbers of any size.
pub const MAX_ACCOUNTS: usize = 20;

hex_id!(
    /// Hash of an account's name, which identifies it in packets between hosts.
    AccountHash,
    u32,
    "account hash",
    "{:08x}",
    "up to 8 hexadecimal digits"
);

impl AccountHash {
    /// Returns the hash of an account's name.
    pub fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Units of an account that were used and asked for, since the start of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Units of admitted requests, without what was given back.
    pub used: i64,
    /// Units of all requests.
    pub asked: i64,
}

impl Usage {
    /// Adds another use.
    pub fn add(&mut self, other: Self) {
        self.used = self.used.wrapping_add(other.used);
        self.asked = self.asked.wrapping_add(other.asked);
    }

    /// Returns what was used since an earlier state.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            used: self.used.wrapping_sub(earlier.used),
            asked: self.asked.wrapping_sub(earlier.asked),
        }
    }
}

/// Use of several accounts.
pub type Usages = BTreeMap<AccountHash, Usage>;

/// Sender of a packet about use, and the packet's place among all of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSender {
    /// Name of the host.
    pub host: CompactString,
    /// Unix time of its start.
    pub started_ms: u64,
    /// Number of the packet since then.
    pub sequence: u64,
}

impl UsageSender {
    /// Returns the place of the packet among all of the sender's.
    pub fn place(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// What a host used; sent to the relays of its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The host.
    pub sender: UsageSender,
    /// Its use of some accounts.
    pub usages: Usages,
}

/// An account as a relay states it to one host of its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RelayedAccount {
    /// Thousandths of units that are left, from the view of the relay.
    pub level_milli: i64,
    /// Units that all hosts have lately asked for.
    pub demand: i64,
    /// What the relay has counted of the receiver's own use.
    pub confirmed: i64,
}

/// What is left of the allotments; sent by a relay to one host of its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSummary {
    /// The relay.
    pub sender: UsageSender,
    /// Start of the receiver to which the confirmations refer.
    pub receiver_started_ms: u64,
    /// Some accounts.
    pub accounts: BTreeMap<AccountHash, RelayedAccount>,
    /// Hosts in reach of the relay, in its own region and in others.
    pub reachable_count: u32,
    /// Hosts that may be at work.
    pub possible_count: u32,
}

/// What a region used; sent by its relays to those of the other regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionUsage {
    /// The relay.
    pub sender: UsageSender,
    /// Its region.
    pub region: CompactString,
    /// Use of some accounts by all hosts of the region.
    pub usages: Usages,
    /// Thousandths of units of these accounts that are left, from the view of the relay.
    pub levels: BTreeMap<AccountHash, i64>,
    /// Hosts of the region that the relay hears.
    pub host_count: u32,
}

/// Returns the hosts of a region in the order in which they are its relays.
///
/// Hosts with more processing power come first, since a relay sends to all hosts of its region.
pub fn relay_order(mut hosts: Vec<HostInfo>) -> Vec<HostInfo> {
    hosts.sort_by_key(|host| {
        let hash = xxh3_64(host.name.as_bytes());
        (std::cmp::Reverse(host.capacity), hash)
    });
    hosts
}

/// What one of several relays with the same subject last stated.
#[derive(Debug, Clone, Default)]
struct SourceState {
    place: (u64, u64),
    first_heard_ms: u64,
    heard_ms: u64,
    latest: Usages,
    /// What it stated up to which others have been followed.
    followed: Usages,
}

/// Follows the cumulative numbers of the first of several relays that is not silent.
#[derive(Debug, Clone, Default)]
pub struct UsageTracker {
    sources: BTreeMap<CompactString, SourceState>,
    current: Option<CompactString>,
}

impl UsageTracker {
    /// Applies what a relay stated; returns the changes since what was followed before, and whether
    /// this relay is followed.
    pub fn apply(&mut self, sender: &UsageSender, stated: &Usages, now_ms: u64) -> Option<Usages> {
        // A relay that is heard again after long counts as a new one.
        self.sources
            .retain(|_, source| now_ms < source.heard_ms + REACH_LIMIT_MS);
        let is_known = self.sources.contains_key(&sender.host);
        let source = self.sources.entry(sender.host.clone()).or_default();
        if is_known && sender.place() <= source.place {
            return None;
        }
        let is_restarted = sender.started_ms != source.place.0;
        if is_restarted {
            *source = SourceState {
                first_heard_ms: now_ms,
                ..SourceState::default()
            };
        }
        source.place = sender.place();
        source.heard_ms = now_ms;
        // What a relay counted before it was heard may have been followed through another one.
        let is_new = now_ms < source.first_heard_ms + 2 * COMPLETE_MS;
        for (account, usage) in stated {
            let before = source.latest.insert(*account, *usage);
            if is_new && before.is_none() {
                source.followed.insert(*account, *usage);
            }
        }
        if is_known && is_restarted {
            self.leave(&sender.host, now_ms);
        }
        if !self.is_followed(&sender.host, now_ms) {
            return None;
        }
        self.current = Some(sender.host.clone());
        Some(self.follow(&sender.host))
    }

    /// Returns the time at which the followed relay was last heard.
    pub fn heard_ms(&self) -> Option<u64> {
        let current = self.current.as_ref()?;
        self.sources.get(current).map(|source| source.heard_ms)
    }

    /// Goes on with another relay than one that has started again, if there is one.
    fn leave(&mut self, relay: &CompactString, now_ms: u64) {
        if self.current.as_ref() != Some(relay) {
            return;
        }
        let mut others = self
            .sources
            .iter()
            .filter(|(host, source)| *host != relay && now_ms < source.heard_ms + RELAY_SILENCE_MS);
        self.current = others.next().map(|(host, _)| host.clone());
    }

    /// Returns whether a relay goes on being followed, or takes over.
    fn is_followed(&self, relay: &CompactString, now_ms: u64) -> bool {
        let current = self.current.as_ref().filter(|current| *current != relay);
        let heard_ms = current.and_then(|current| self.sources.get(current));
        heard_ms.is_none_or(|source| now_ms >= source.heard_ms + RELAY_SILENCE_MS)
    }

    /// Returns the changes of a relay's numbers, and marks those of all relays as followed.
    fn follow(&mut self, relay: &CompactString) -> Usages {
        let changes = self.sources.get(relay).map(|source| {
            let latest = source.latest.iter();
            latest
                .map(|(account, usage)| {
                    let followed = source.followed.get(account).copied().unwrap_or_default();
                    (*account, usage.since(followed))
                })
                .filter(|(_, change)| *change != Usage::default())
                .collect()
        });
        for source in self.sources.values_mut() {
            source.followed = source.latest.clone();
        }
        changes.unwrap_or_default()
    }
}

/// A host of the region, as its relay knows it.
#[derive(Debug, Clone, Default)]
struct Reporter {
    place: (u64, u64),
    first_heard_ms: u64,
    heard_ms: u64,
    latest: Usages,
}

/// Another region, as a relay knows it.
#[derive(Debug, Clone, Default)]
struct OtherRegion {
    tracker: UsageTracker,
    host_count: u32,
}

/// What a relay has collected.
#[derive(Debug, Clone, Default)]
pub struct UsageRelay {
    reporters: BTreeMap<CompactString, Reporter>,
    total: Usages,
    regions: BTreeMap<CompactString, OtherRegion>,
}

impl UsageRelay {
    /// Counts what a host of the region used; returns what was not counted before.
    pub fn apply_report(&mut self, report: &UsageReport, now_ms: u64) -> Usages {
        let sender = &report.sender;
        self.reporters
            .retain(|_, reporter| now_ms < reporter.heard_ms + REACH_LIMIT_MS);
        let is_known = self.reporters.contains_key(&sender.host);
        let reporter = self.reporters.entry(sender.host.clone()).or_default();
        if is_known && sender.place() <= reporter.place {
            return Usages::new();
        }
        if !is_known {
            reporter.first_heard_ms = now_ms;
        }
        if is_known && sender.started_ms != reporter.place.0 {
            // A host that started again counts from 0.
            reporter.latest.clear();
            reporter.first_heard_ms = 0;
        }
        reporter.place = sender.place();
        reporter.heard_ms = now_ms;
        // What a host used before this relay knew it was counted by another one.
        let is_new = now_ms < reporter.first_heard_ms + 2 * COMPLETE_MS;
        let is_new = is_new && reporter.first_heard_ms > 0;
        let mut changes = Usages::new();
        for (account, usage) in &report.usages {
            let before = reporter.latest.insert(*account, *usage);
            let change = match before {
                None if is_new => Usage::default(),
                before => usage.since(before.unwrap_or_default()),
            };
            // Also an account without use is stated, so that other regions hear this one.
            self.total.entry(*account).or_default().add(change);
            if change != Usage::default() {
                changes.insert(*account, change);
            }
        }
        changes
    }

    /// Counts what another region used; returns what was not counted before.
    pub fn apply_region(&mut self, sent: &RegionUsage, now_ms: u64) -> Usages {
        let region = self.regions.entry(sent.region.clone()).or_default();
        let changes = region.tracker.apply(&sent.sender, &sent.usages, now_ms);
        if changes.is_some() {
            region.host_count = sent.host_count;
        }
        changes.unwrap_or_default()
    }

    /// Returns the hosts of the region that the relay hears.
    pub fn heard(&self, now_ms: u64) -> impl Iterator<Item = &CompactString> {
        let heard = self.reporters.iter();
        heard
            .filter(move |(_, reporter)| now_ms < reporter.heard_ms + REACH_LIMIT_MS)
            .map(|(host, _)| host)
    }

    /// Returns the number of hosts in reach: those of the region that the relay hears, and those
    /// that the relays of other regions hear.
    pub fn reachable_count(&self, now_ms: u64) -> u32 {
        let own = self.heard(now_ms).count() as u32;
        let others = self.regions.values().filter(|region| {
            let heard_ms = region.tracker.heard_ms();
            heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + REACH_LIMIT_MS)
        });
        own + others.map(|region| region.host_count).sum::<u32>()
    }

    /// Returns the use of the region.
    pub fn total(&self) -> &Usages {
        &self.total
    }

    /// Returns what is counted of a host's use, and the start of the host.
    pub fn confirmed(&self, host: &str) -> Option<(u64, &Usages)> {
        let reporter = self.reporters.get(host)?;
        Some((reporter.place.0, &reporter.latest))
    }
}

/// Splits a map by accounts into parts that fit into a packet.
pub fn parts_of<T: Copy>(accounts: &BTreeMap<AccountHash, T>) -> Vec<BTreeMap<AccountHash, T>> {
    let entries: Vec<(AccountHash, T)> = accounts.iter().map(|(k, v)| (*k, *v)).collect();
    let parts = entries.chunks(MAX_ACCOUNTS);
    parts.map(|part| part.iter().copied().collect()).collect()
}
