//! Threads that update the replica from the store and from other hosts.
//!
//! A slow or unreachable store never delays a request, because the reactor only
//! receives changes. A host that the store refuses, or that cannot reach it,
//! fetches changes from hosts whose revision is higher.

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

/// Longest wait of one watch. A watch whose connection is dead is detected after
/// this and [`RESPONSE_TIMEOUT`], which together have to be within the time after
/// which a host counts as connected again.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Longest wait for a response of the store: several times its slowest one.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, so that a store that is down is not overloaded.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two watches, per host of the region.
const WATCH_PAUSE_PER_HOST: Duration = Duration::from_millis(80);
/// Longest pause between two watches. Together with the store's response time it
/// stays below the time within which a configuration has to be in force, even
/// without changes from other hosts.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(1_800);

/// Keeps a replica up to date with the store.
pub struct StoreFollower {
    call_client: StoreClient,
    watch_client: StoreClient,
    replica: StoreReplica,
    is_reachable: Option<bool>,
}

impl StoreFollower {
    /// Creates a follower of the store at `address`.
    pub fn new(address: SocketAddr, replica: StoreReplica) -> Self {
        Self {
            call_client: StoreClient::new(address, RESPONSE_TIMEOUT),
            watch_client: StoreClient::new(address, WATCH_WAIT + RESPONSE_TIMEOUT),
            replica,
            is_reachable: None,
        }
    }

    /// Follows the store until `is_stopping` is set.
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
        let page = self.call_client.range("")?;
        let missing = self.replica.keys_missing_from(&page.changes);
        let deletions = missing.into_iter().map(|key| ItemChange {
            key,
            revision: page.revision,
            value: None,
        });
        let revision = page.revision;
        let changes = page.changes.into_iter().chain(deletions).collect();
        self.replica.apply(changes, revision);
        Ok(revision)
    }

    /// Waits for changes after `revision` and returns the revision reached.
    ///
    /// While the store drops its history it may report a revision without the
    /// changes up to it, so only the changes themselves advance the revision.
    fn watch(&mut self, revision: StoreRevision) -> Result<StoreRevision, StoreError> {
        let page = self.watch_client.watch("", revision, WATCH_WAIT)?;
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

/// Returns the pause between two watches, in which changes accumulate.
///
/// Hosts watch at different times and send each other changes, so the more hosts
/// there are, the less often each of them needs to watch.
fn watch_pause(host_count: u64) -> Duration {
    WATCH_PAUSE_PER_HOST
        .saturating_mul(u32::try_from(host_count).unwrap_or(u32::MAX))
        .min(MAX_WATCH_PAUSE)
}

/// Fetches changes from the hosts whose addresses arrive through
/// `resync_requests`.
pub fn fetch_from_peers(replica: &StoreReplica, resync_requests: &Receiver<SocketAddr>) {
    while let Ok(peer) = resync_requests.recv() {
        let known = replica.revision();
        match fetch_changes(peer, known) {
            Ok(page) => {
                tracing::info!(
                    %peer,
                    known = known.0,
                    revision = page.revision.0,
                    entries = page.changes.len(),
                    "received changes from another host"
                );
                if page.revision > known {
                    replica.apply(page.changes, page.revision);
                }
            }
            Err(error) => tracing::debug!(%peer, %error, "could not fetch changes from a host"),
        }
    }
}
