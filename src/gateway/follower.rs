//! Threads that follow the store, and other hosts that know more.
//!
//! A store that is slow or away never holds up a request: the reactor only sees
//! the changes. A host that the store turns away, or that is cut off from it,
//! learns from hosts whose revision is higher.

use std::{
    net::SocketAddr,
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use crossbeam::channel::Receiver;

use super::{
    peer_changes::fetch_changes,
    store_replica::StoreReplica, //
};
use crate::platform::store::{
    ItemChange,
    StoreClient,
    StoreError,
    StoreRevision, //
};

/// Longest wait of one watch. A watch whose connection went silent is noticed
/// after this and [`RESPONSE_TIMEOUT`], which has to be within the time after
/// which a host counts as connected again.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Longest wait for an answer of the store: several times its slowest.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, so that a store that is down is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two watches for each host of the region.
const WATCH_PAUSE_PER_HOST: Duration = Duration::from_millis(80);
/// Longest pause; with an answer of the store it stays below the time in which
/// a configuration has to be in force, also without other hosts.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(1_800);

/// Follows the store's content.
pub struct StoreFollower {
    quick: StoreClient,
    patient: StoreClient,
    replica: StoreReplica,
    is_reachable: Option<bool>,
}

impl StoreFollower {
    /// A follower of the store at `address`.
    pub fn new(address: SocketAddr, replica: StoreReplica) -> Self {
        Self {
            quick: StoreClient::new(address, RESPONSE_TIMEOUT),
            patient: StoreClient::new(address, WATCH_WAIT + RESPONSE_TIMEOUT),
            replica,
            is_reachable: None,
        }
    }

    /// Follows until the process ends.
    ///
    /// `host_count` is the number of live hosts in the region.
    pub fn run(&mut self, is_stopping: &AtomicBool, host_count: &AtomicU64) {
        let mut revision: Option<StoreRevision> = None;
        while !is_stopping.load(Ordering::Relaxed) {
            let result = match revision {
                None => self.synchronise(),
                Some(known) => self.watch(known),
            };
            match result {
                Ok(next) => {
                    self.set_reachable(true, "");
                    revision = Some(next);
                    thread::sleep(watch_pause(host_count.load(Ordering::Relaxed)));
                }
                Err(StoreError::HistoryDropped) => {
                    tracing::info!(
                        revision = ?revision,
                        "store dropped its history; reading all items again"
                    );
                    revision = None;
                }
                Err(error) => {
                    self.set_reachable(false, &error.to_string());
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn synchronise(&mut self) -> Result<StoreRevision, StoreError> {
        let page = self.quick.range("")?;
        let gone = self.replica.keys_missing_from(&page.changes);
        let deletions = gone.into_iter().map(|key| ItemChange {
            key,
            revision: page.revision,
            value: None,
        });
        let revision = page.revision;
        let changes = page.changes.into_iter().chain(deletions).collect();
        self.replica.apply(changes, revision);
        Ok(revision)
    }

    /// Waits for changes after `revision`; returns the revision that is known.
    ///
    /// The store may tell a revision without the changes that led to it while it
    /// drops its history, so only changes themselves move the revision.
    fn watch(&mut self, revision: StoreRevision) -> Result<StoreRevision, StoreError> {
        let page = self.patient.watch("", revision, WATCH_WAIT)?;
        let newest = page.changes.iter().map(|change| change.revision).max();
        let revision = newest.unwrap_or(revision).max(revision);
        self.replica.apply(page.changes, revision);
        Ok(revision)
    }

    fn set_reachable(&mut self, is_reachable: bool, cause: &str) {
        if self.is_reachable == Some(is_reachable) {
            return;
        }
        if is_reachable {
            tracing::info!(dependency = "store", "dependency regained");
        } else {
            tracing::warn!(dependency = "store", cause, "dependency lost");
        }
        self.is_reachable = Some(is_reachable);
        self.replica.report_store_reachable(is_reachable);
    }
}

/// Pause between two watches, in which changes gather.
///
/// Hosts watch at different times and learn from each other, so each of many
/// hosts can watch more seldom.
fn watch_pause(host_count: u64) -> Duration {
    WATCH_PAUSE_PER_HOST
        .saturating_mul(u32::try_from(host_count).unwrap_or(u32::MAX))
        .min(MAX_WATCH_PAUSE)
}

/// Asks the hosts whose addresses arrive through `behind` for what they know.
pub fn fetch_from_peers(replica: &StoreReplica, behind: &Receiver<SocketAddr>) {
    while let Ok(peer) = behind.recv() {
        let known = replica.revision();
        match fetch_changes(peer, known) {
            Ok(news) => {
                tracing::info!(
                    %peer,
                    known = known.0,
                    revision = news.revision.0,
                    entries = news.changes.len(),
                    "learned from another host"
                );
                if news.revision > known {
                    replica.apply(news.changes, news.revision);
                }
            }
            Err(error) => tracing::debug!(%peer, %error, "another host did not tell its news"),
        }
    }
}
