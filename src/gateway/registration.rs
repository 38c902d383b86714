//! This host's item in the store, kept alive by a lease.

use std::time::Duration;

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError, //
};

use super::hosts::{
    HOST_PREFIX,
    HostInfo, //
};
use crate::platform::store::{
    LeaseId,
    StoreClient,
    StoreError, //
};

/// Longest wait for an answer of the store: half of the lease, so that a second
/// try comes in time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, so that a store that is down is not flooded.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Lifetime of the host's lease: two renewals may fail.
const LEASE_TTL: Duration = Duration::from_millis(3_000);
/// Interval of renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Keeps the host's item in the store until `stop` says otherwise.
pub struct Registration {
    client: StoreClient,
    info: HostInfo,
    ttl: Duration,
}

impl Registration {
    /// Registers `info` at the store at `address`.
    pub fn new(address: std::net::SocketAddr, info: HostInfo, min_lease_ms: u64) -> Self {
        Self {
            client: StoreClient::new(address, RESPONSE_TIMEOUT),
            info,
            ttl: LEASE_TTL.max(Duration::from_millis(min_lease_ms)),
        }
    }

    /// Registers, renews until `stop` is closed, and ends the lease.
    pub fn run(&self, stop: &Receiver<()>) {
        let mut lease: Option<LeaseId> = None;
        loop {
            let pause = match self.step(lease) {
                Ok(held) => {
                    lease = Some(held);
                    RENEW_INTERVAL
                }
                Err(StoreError::LeaseEnded) => {
                    tracing::warn!("lease of this host ended; registering again");
                    lease = None;
                    Duration::ZERO
                }
                Err(error) => {
                    tracing::debug!(%error, "could not renew the registration");
                    RETRY_PAUSE
                }
            };
            if stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                break;
            }
        }
        if let Some(held) = lease
            && let Err(error) = self.client.end_lease(held)
        {
            tracing::warn!(%error, "could not end the lease; it lapses by itself");
        }
    }

    fn step(&self, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
        if let Some(held) = lease {
            self.client.renew_lease(held)?;
            return Ok(held);
        }
        let granted = self.client.grant_lease(self.ttl)?;
        let key = format!("{HOST_PREFIX}{}", self.info.name);
        self.client
            .put(&key, &serde_json::to_vec(&self.info)?, granted)?;
        Ok(granted)
    }
}
