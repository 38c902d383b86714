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

/// Longest wait for a response of the store: half of the lease, so that a second
/// attempt is in time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, so that a store that is down is not overloaded.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Lifetime of the host's lease, in which two renewals may fail.
const LEASE_TTL: Duration = Duration::from_millis(3_000);
/// Interval of lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Keeps the host's item in the store while the process runs.
pub struct Registration {
    client: StoreClient,
    info: HostInfo,
    ttl: Duration,
}

impl Registration {
    /// Creates a registration of `info` at the store at `address`; the lease lasts at
    /// least `min_lease_ms`.
    pub fn new(address: std::net::SocketAddr, info: HostInfo, min_lease_ms: u64) -> Self {
        Self {
            client: StoreClient::new(address, RESPONSE_TIMEOUT),
            info,
            ttl: LEASE_TTL.max(Duration::from_millis(min_lease_ms)),
        }
    }

    /// Registers the host, renews its lease until `stop` gets a message or is closed,
    /// and ends the lease.
    pub fn run(&self, stop: &Receiver<()>) {
        let mut lease: Option<LeaseId> = None;
        loop {
            let pause = match self.register_or_renew(lease) {
                Ok(lease_id) => {
                    lease = Some(lease_id);
                    RENEW_INTERVAL
                }
                Err(StoreError::LeaseEnded) => {
                    tracing::warn!("lease of this host expired; registering again");
                    lease = None;
                    Duration::ZERO
                }
                Err(error) => {
                    tracing::debug!(%error, "could not register or renew the lease; trying again");
                    RETRY_PAUSE
                }
            };
            if stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                break;
            }
        }
        if let Some(lease_id) = lease
            && let Err(error) = self.client.end_lease(lease_id)
        {
            tracing::warn!(%error, "could not end the lease; it expires by itself");
        }
    }

    fn register_or_renew(&self, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
        if let Some(lease_id) = lease {
            self.client.renew_lease(lease_id)?;
            return Ok(lease_id);
        }
        let lease_id = self.client.grant_lease(self.ttl)?;
        let key = format!("{HOST_PREFIX}{}", self.info.name);
        self.client
            .put(&key, &serde_json::to_vec(&self.info)?, lease_id)?;
        Ok(lease_id)
    }
}
