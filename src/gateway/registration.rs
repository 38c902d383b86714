//! This host's item in the store, kept alive by a lease.
//!
//! A lease is known only in the era of the store in which it was granted: in the
//! next one it may be lost, or its id may belong to the lease of another host.

use std::time::Duration;

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError, //
};
use thiserror::Error;

use super::{
    commands::{
        Command,
        CommandSender, //
    },
    era::{
        EraTracker,
        EraWentBack, //
    },
    hosts::{
        HOST_PREFIX,
        HostInfo, //
    },
    spread::Spread, //
};
use crate::{
    platform::store::{
        LeaseId,
        StoreClient,
        StoreError, //
    },
    store_position::StoreEra, //
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
/// Time that each host of the region takes of the store to register again. With three
/// regions, the hosts together make 400 writing calls a second.
const REGISTER_PER_HOST: Duration = Duration::from_millis(15);

/// Why the host could not be registered, or its lease not be renewed.
#[derive(Debug, Error)]
enum RegistrationError {
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The answer is of an era that has ended.
    #[error(transparent)]
    Era(#[from] EraWentBack),
    /// The store returned from a copy since the lease was granted.
    #[error("lease of era {granted} is unknown in era {now}")]
    LeaseOfFormerEra {
        /// Era in which the lease was granted.
        granted: StoreEra,
        /// Era of the store's answer.
        now: StoreEra,
    },
}

/// A lease with the era in which it was granted.
#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    era: StoreEra,
}

impl Lease {
    /// Fails if `now` is not the era of the lease.
    fn check_era(self, now: StoreEra) -> Result<Self, RegistrationError> {
        let granted = self.era;
        match granted == now {
            true => Ok(self),
            false => Err(RegistrationError::LeaseOfFormerEra { granted, now }),
        }
    }
}

/// Keeps the host's item in the store while the process runs.
pub struct Registration {
    client: StoreClient,
    info: HostInfo,
    ttl: Duration,
    spread: Spread,
    era: EraTracker,
    commands: CommandSender,
}

impl Registration {
    /// Creates a registration of `info` at the store at `address`; the lease lasts at
    /// least `min_lease_ms`. `spread` is this host's place among those that register
    /// again at the same time.
    pub fn new(
        address: std::net::SocketAddr,
        info: HostInfo,
        min_lease_ms: u64,
        spread: Spread,
        commands: CommandSender,
    ) -> Self {
        Self {
            client: StoreClient::new(address, RESPONSE_TIMEOUT),
            info,
            ttl: LEASE_TTL.max(Duration::from_millis(min_lease_ms)),
            spread,
            era: EraTracker::new(),
            commands,
        }
    }

    /// Registers the host, renews its lease until `stop` gets a message or is closed,
    /// and ends the lease.
    pub fn run(&mut self, stop: &Receiver<()>) {
        let mut lease: Option<Lease> = None;
        loop {
            let pause = match self.register_or_renew(lease) {
                Ok(held) => {
                    lease = Some(held);
                    RENEW_INTERVAL
                }
                Err(
                    error @ (RegistrationError::Store(StoreError::LeaseEnded)
                    | RegistrationError::LeaseOfFormerEra { .. }),
                ) => {
                    tracing::warn!(%error, "lease of this host is gone; registering again");
                    lease = None;
                    self.spread.delay(REGISTER_PER_HOST)
                }
                Err(error) => {
                    tracing::debug!(%error, "could not register or renew the lease; trying again");
                    self.commands.send(Command::RecordFailedRenewal);
                    RETRY_PAUSE
                }
            };
            if stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                break;
            }
        }
        if let Some(held) = lease
            && let Err(error) = self.client.end_lease(held.id)
        {
            tracing::warn!(%error, "could not end the lease; it expires by itself");
        }
    }

    fn register_or_renew(&mut self, lease: Option<Lease>) -> Result<Lease, RegistrationError> {
        match lease {
            Some(held) => self.renew(held),
            None => self.register(),
        }
    }

    fn renew(&mut self, held: Lease) -> Result<Lease, RegistrationError> {
        let answer = self.client.renew_lease(held.id)?;
        held.check_era(self.era.observe(&answer.era)?)
    }

    fn register(&mut self) -> Result<Lease, RegistrationError> {
        let granted = self.client.grant_lease(self.ttl)?;
        let held = Lease {
            id: granted.value,
            era: self.era.observe(&granted.era)?,
        };
        let key = format!("{HOST_PREFIX}{}", self.info.name);
        let value = serde_json::to_vec(&self.info).map_err(StoreError::from)?;
        let written = self.client.put(&key, &value, held.id)?;
        held.check_era(self.era.observe(&written.era)?)
    }
}
