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
    time::{
        Duration,
        Instant, //
    }, //
};

use crossbeam::channel::Receiver;

use super::{
    copy_checks::{
        Changes,
        CopyCheck,
        ReadChangesError,
        read_changes, //
    },
    era::{
        EraTracker,
        EraWentBack, //
    },
    peer_changes::fetch_changes,
    spread::Spread,
    store_replica::{
        ApplyOutcome,
        ReplicaPage,
        StoreReplica, //
    }, //
};
use crate::{
    platform::store::{
        StoreClient,
        StoreError, //
    },
    store_position::StorePosition, //
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
/// Time that each host of the region takes of the store to read all items.
const READ_ALL_PER_HOST: Duration = Duration::from_millis(4);

/// Where the next watch begins, or that all items have to be read first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Watch(StorePosition),
    ReadAll,
}

/// Keeps a replica up to date with the store.
pub struct StoreFollower {
    call_client: StoreClient,
    watch_client: StoreClient,
    replica: StoreReplica,
    spread: Spread,
    era: EraTracker,
    is_reachable: Option<bool>,
}

impl StoreFollower {
    /// Creates a follower of the store at `address`; `spread` is this host's place
    /// among those that read all items at the same time.
    pub fn new(address: SocketAddr, replica: StoreReplica, spread: Spread) -> Self {
        Self {
            call_client: StoreClient::new(address, RESPONSE_TIMEOUT),
            watch_client: StoreClient::new(address, WATCH_WAIT + RESPONSE_TIMEOUT),
            replica,
            spread,
            era: EraTracker::new(),
            is_reachable: None,
        }
    }

    /// Follows the store until `is_stopping` is set.
    ///
    /// `host_count` is the number of live hosts in the region.
    pub fn run(&mut self, is_stopping: &AtomicBool, host_count: &AtomicU64) {
        let mut next = Next::ReadAll;
        while !is_stopping.load(Ordering::Relaxed) {
            self.replica.settle(Instant::now());
            let result = match next {
                Next::ReadAll => self.read_all(),
                Next::Watch(known) => self.watch(known),
            };
            match result {
                Ok(Next::Watch(reached)) => {
                    self.set_reachable(true, "");
                    next = Next::Watch(reached);
                    thread::sleep(self.pause(host_count.load(Ordering::Relaxed)));
                }
                Ok(Next::ReadAll) => {
                    next = Next::ReadAll;
                    thread::sleep(self.spread.delay(READ_ALL_PER_HOST));
                }
                Err(ReadChangesError::Store(StoreError::HistoryDropped)) => {
                    tracing::info!(?next, "store dropped its history; reading all items again");
                    next = Next::ReadAll;
                    thread::sleep(self.spread.delay(READ_ALL_PER_HOST));
                }
                Err(error) => {
                    self.set_reachable(false, &error.to_string());
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    /// Reads all items.
    fn read_all(&mut self) -> Result<Next, ReadChangesError> {
        let asked_at = Instant::now();
        let answer = match self.call_client.range("") {
            Ok(answer) => answer,
            Err(StoreError::MixedEras) => {
                tracing::info!("store returned from a copy during a read; reading again");
                return Ok(Next::ReadAll);
            }
            Err(error) => return Err(error.into()),
        };
        let era = self.era.observe(&answer.era)?;
        if answer.value.unreadable > 0 {
            tracing::warn!(
                items = answer.value.unreadable,
                "items of the store cannot be read and are passed over"
            );
        }
        let page = ReplicaPage {
            changes: answer.value.changes,
            revision: answer.value.revision,
            era,
            is_complete: true,
        };
        self.apply(page, asked_at, true)
    }

    /// Waits for changes after `known` and returns what comes next.
    fn watch(&mut self, known: StorePosition) -> Result<Next, ReadChangesError> {
        let wait = match self.replica.settles_in(Instant::now()) {
            Some(settles_in) => WATCH_WAIT.min(settles_in),
            None => WATCH_WAIT,
        };
        let asked_at = Instant::now();
        match read_changes(&self.watch_client, &mut self.era, known, wait)? {
            Changes::OtherEra(_) => Ok(Next::ReadAll),
            Changes::Page { page, is_complete } => self.apply(page, asked_at, is_complete),
        }
    }

    /// Applies a page that was asked for at `asked_at`, and that contains all changes from
    /// before then if `is_complete`.
    fn apply(
        &self,
        page: ReplicaPage,
        asked_at: Instant,
        is_complete: bool,
    ) -> Result<Next, ReadChangesError> {
        let position = page.position();
        match self.replica.apply(page, Instant::now()) {
            ApplyOutcome::Applied => {
                if is_complete {
                    self.replica.report_check(CopyCheck {
                        asked_at,
                        is_complete,
                    });
                }
                Ok(Next::Watch(position))
            }
            ApplyOutcome::NeedsAllItems => Ok(Next::ReadAll),
            ApplyOutcome::Outdated => {
                let known = self.replica.position().era;
                let stated = position.era;
                match stated < known {
                    true => Err(EraWentBack { known, stated }.into()),
                    false => Ok(Next::ReadAll),
                }
            }
        }
    }

    /// Returns the pause until the next watch, in which changes accumulate.
    fn pause(&self, host_count: u64) -> Duration {
        let pause = watch_pause(host_count);
        match self.replica.settles_in(Instant::now()) {
            Some(settles_in) => pause.min(settles_in),
            None => pause,
        }
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
        let known = replica.known();
        match fetch_changes(peer, known) {
            Ok(page) => {
                tracing::info!(
                    %peer,
                    known = known.position.revision.0,
                    known_era = known.position.era.0,
                    revision = page.revision.0,
                    era = page.era.0,
                    entries = page.changes.len(),
                    "received changes from another host"
                );
                let outcome = replica.apply(page, Instant::now());
                if outcome != ApplyOutcome::Applied {
                    tracing::info!(%peer, ?outcome, "changes from another host ignored");
                }
            }
            Err(error) => tracing::debug!(%peer, %error, "could not fetch changes from a host"),
        }
    }
}
