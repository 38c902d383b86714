//! Suspects that crash endpoints, as items of the store.
//!
//! Hosts tell each other what they know, but that is lost if all of them restart. The few
//! suspects that are refused are therefore kept in the store as well. Each host compares
//! the items with what it knows; the differences are written by one host, or by the next
//! ones if it does not.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use compact_str::CompactString;
use crossbeam::channel::{
    Receiver,
    Sender, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    crash_records::{
        CrashId,
        CrashReport,
        Suspect, //
    },
    reactor::Reactor,
    stored_versions::{
        ServedVersions,
        VERSIONS_PREFIX, //
    },
};
use crate::platform::store::{
    StoreClient,
    StoreError, //
};

/// Prefix of the keys of the items.
pub const VERDICT_PREFIX: &str = "cardamombridge/crashing/";
/// Longest wait for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a host waits for each host before it in the order of those that write: a
/// call, and the longest pause between two watches.
const WRITER_DELAY_MS: u64 = 3_500;
/// Most items, so that the store is not filled with suspects.
const MAX_ITEMS: usize = 256;

/// A crash in an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// The crash.
    pub crash: CrashId,
    /// Unix time of the crash in milliseconds.
    pub at_unix_ms: u64,
    /// Time from the send of the request to the crash, in milliseconds.
    pub run_ms: u32,
}

/// Crashes of a suspect that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoredVerdict {
    /// The crashes.
    pub crashes: Vec<StoredCrash>,
}

impl StoredVerdict {
    fn new(reports: &[CrashReport], unix_ms: u64) -> Self {
        let crashes = reports.iter().map(|report| StoredCrash {
            crash: report.crash,
            at_unix_ms: unix_ms.saturating_sub(u64::from(report.age_ms)),
            run_ms: report.run_ms,
        });
        Self {
            crashes: crashes.collect(),
        }
    }

    fn reports(&self, suspect: Suspect, unix_ms: u64) -> impl Iterator<Item = CrashReport> {
        self.crashes.iter().map(move |stored| {
            let age_ms = unix_ms.saturating_sub(stored.at_unix_ms);
            CrashReport {
                suspect,
                crash: stored.crash,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                run_ms: stored.run_ms,
                is_cleared: false,
            }
        })
    }
}

/// Write of an item, or its deletion if there is no verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerdictWrite {
    /// The suspect.
    pub suspect: Suspect,
    /// The verdict.
    pub verdict: Option<StoredVerdict>,
}

/// Write of an item by the thread that writes them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredWrite {
    /// An item of a crashing request.
    Verdict(VerdictWrite),
    /// The item of a service's versions.
    Versions(CompactString, ServedVersions),
}

/// Items of the store, and the writes that this host makes.
#[derive(Debug, Default)]
pub(super) struct VerdictItems {
    /// Number of crashes in each item.
    stored: BTreeMap<Suspect, usize>,
    /// Since when an item has differed from what this host knows.
    differs_since_ms: BTreeMap<Suspect, u64>,
    writes: Option<Sender<StoredWrite>>,
}

impl VerdictItems {
    /// Sets the channel of the thread that writes items.
    pub(super) fn set_writes(&mut self, writes: Sender<StoredWrite>) {
        self.writes = Some(writes);
    }

    /// Hands a write to the thread; returns false if it has too many.
    pub(super) fn send(&self, write: StoredWrite) -> bool {
        let writes = self.writes.as_ref();
        writes.is_none_or(|writes| writes.try_send(write).is_ok())
    }
}

impl Reactor {
    /// Applies an item of the store.
    pub(super) fn apply_stored_verdict(&mut self, suspect: Suspect, verdict: &StoredVerdict) {
        let now_ms = self.now_ms();
        self.verdict_items
            .stored
            .insert(suspect, verdict.crashes.len());
        for report in verdict.reports(suspect, unix_ms()) {
            self.crash_records.apply(report, false, now_ms);
        }
    }

    /// Records that an item was deleted; what this host knows stays.
    pub(super) fn forget_stored_verdict(&mut self, suspect: Suspect) {
        self.verdict_items.stored.remove(&suspect);
    }

    /// Writes the items that differ from what this host knows, if it is this host's turn.
    pub(super) fn store_verdicts(&mut self, now_ms: u64) {
        let verdicts = self.crash_records.verdicts(now_ms);
        let stored = self.verdict_items.stored.clone();
        let missing = verdicts
            .iter()
            .filter(|(suspect, reports)| {
                stored
                    .get(*suspect)
                    .is_none_or(|count| *count < reports.len())
            })
            .take(MAX_ITEMS.saturating_sub(stored.len()))
            .map(|(suspect, reports)| VerdictWrite {
                suspect: *suspect,
                verdict: Some(StoredVerdict::new(reports, unix_ms())),
            });
        let outdated = stored
            .keys()
            .filter(|suspect| !verdicts.contains_key(suspect));
        let deleted = outdated.map(|suspect| VerdictWrite {
            suspect: *suspect,
            verdict: None,
        });
        let writes: Vec<VerdictWrite> = missing.chain(deleted).collect();
        let differs = &mut self.verdict_items.differs_since_ms;
        differs.retain(|suspect, _| writes.iter().any(|write| write.suspect == *suspect));
        for write in writes {
            let differs = &mut self.verdict_items.differs_since_ms;
            let since_ms = *differs.entry(write.suspect).or_insert(now_ms);
            let rank = writer_rank(&self.settings.host.name, write.suspect, || {
                self.hosts.live(now_ms).map(|host| &host.name)
            });
            if now_ms < since_ms + rank * WRITER_DELAY_MS {
                continue;
            }
            // The next difference is written as late as this one.
            differs.insert(write.suspect, now_ms);
            if !self.verdict_items.send(StoredWrite::Verdict(write)) {
                tracing::warn!("item of a crashing request is not written now; trying again");
            }
        }
    }
}

/// Returns the number of hosts that write the item of a suspect before this one.
fn writer_rank<'a, F, I>(own: &CompactString, suspect: Suspect, others: F) -> u64
where
    F: Fn() -> I,
    I: Iterator<Item = &'a CompactString>,
{
    let seed = xxh3_64_with_seed(suspect.to_string().as_bytes(), 0);
    let hash_of = |name: &CompactString| xxh3_64_with_seed(name.as_bytes(), seed);
    let own = hash_of(own);
    others().filter(|name| hash_of(name) > own).count() as u64
}

/// Writes items to the store at `address` until the reactor ends.
pub fn write_items(address: std::net::SocketAddr, writes: &Receiver<StoredWrite>) {
    let client = StoreClient::new(address, RESPONSE_TIMEOUT);
    while let Ok(write) = writes.recv() {
        let write = match write {
            StoredWrite::Verdict(write) => write,
            StoredWrite::Versions(service, served) => {
                write_versions(&client, &service, &served);
                continue;
            }
        };
        let key = format!("{VERDICT_PREFIX}{}", write.suspect);
        let result = match &write.verdict {
            Some(verdict) => serde_json::to_vec(verdict)
                .map_err(StoreError::from)
                .and_then(|value| client.put_lasting(&key, &value)),
            None => client.delete(&key),
        };
        let is_kept = write.verdict.is_some();
        match result {
            Ok(_) => tracing::info!(%key, is_kept, "item of a crashing request written"),
            Err(error) => {
                tracing::info!(%key, is_kept, %error, "could not write the item of a crashing request");
            }
        }
    }
}

fn write_versions(client: &StoreClient, service: &str, served: &ServedVersions) {
    let key = format!("{VERSIONS_PREFIX}{service}");
    let result = serde_json::to_vec(served)
        .map_err(StoreError::from)
        .and_then(|value| client.put_lasting(&key, &value));
    let versions = served.versions.len();
    match result {
        Ok(_) => tracing::info!(%key, versions, "item of served versions written"),
        Err(error) => {
            tracing::info!(%key, versions, %error, "could not write the item of served versions");
        }
    }
}

/// Returns the Unix time in milliseconds, in which hosts state times to each other over
/// restarts.
fn unix_ms() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.unwrap_or_default().as_millis() as u64
}
