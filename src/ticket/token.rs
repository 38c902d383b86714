//! The ticket itself: what it names and how it is written and verified.
//!
//! A ticket carries ids only, no request data. Its text is a prefix, then
//! `postcard` and a truncated HMAC-SHA256 in URL-safe base64, so every host with
//! the cluster key can verify it without asking its owner. The prefix tells
//! tickets from the keys that HTTP libraries make up for `Idempotency-Key`,
//! such as UUIDs, which are valid base64 as well.

use std::{
    fmt,
    net::SocketAddr, //
};

use base64::{
    Engine,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

use super::STATE_RETENTION_MS;
use crate::{
    decision::residency::AllowedRegions,
    outcome::{
        RunState,
        Unsent, //
    },
    types::{
        CallerId,
        HostId,
        Incarnation,
        Millis,
        RegionId,
        RequestId,
        ServiceId, //
    }, //
};

/// Start of the text of every ticket; the number changes with the format.
pub const TEXT_PREFIX: &str = "t1.";
/// Longest text of a ticket, in bytes; four ids of 64 bytes give about 470.
pub const MAX_TICKET_TEXT_BYTES: usize = 512;
/// Shortest cluster key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;
const TAG_BYTES: usize = 16;
/// Separates ticket tags from the tags of messages under the same key.
const TAG_DOMAIN: &[u8] = b"cardamombridge ticket 1\0";

/// One ticket, drawn at random; the number is the `Idempotency-Key` of one call.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TicketId(pub RequestId);

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of one host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostInstance {
    /// The host.
    pub host: HostId,
    /// The run; the next run of the same host has another one.
    pub incarnation: Incarnation,
}

impl fmt::Display for HostInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.incarnation)
    }
}

/// The run of a host that owns tickets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TicketOwner {
    /// The run; another run of the same host is not the owner.
    pub instance: HostInstance,
    /// Its region.
    pub region: RegionId,
    /// Its address for other hosts.
    pub peer_address: SocketAddr,
}

/// What a ticket says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketBody {
    /// Names the ticket in its owner's table.
    pub id: TicketId,
    /// The run that issued it and may run the call.
    pub owner: TicketOwner,
    /// The caller it was issued to.
    pub caller: CallerId,
    /// The service that it may call.
    pub service: ServiceId,
    /// When it was issued, by the owner's clock.
    pub issued_ms: Millis,
    /// Instant from which the call can no longer start, by the owner's clock.
    pub expires_ms: Millis,
}

/// A ticket that was issued by this host or whose tag has been verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket(TicketBody);

impl Ticket {
    /// For the table that issues it.
    pub(super) fn new(body: TicketBody) -> Self {
        Self(body)
    }

    /// What the ticket says.
    pub fn body(&self) -> &TicketBody {
        &self.0
    }
}

/// Who presents a ticket and for what.
#[derive(Debug, Clone)]
pub struct VerifyContext<'a> {
    /// The authenticated caller.
    pub caller: &'a CallerId,
    /// The service of the call; `None` when only the state is asked for.
    pub service: Option<&'a ServiceId>,
    /// Regions that the caller's intent allows now.
    pub allowed: &'a AllowedRegions,
    /// Time at this host.
    pub now_ms: Millis,
}

/// Why a ticket is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text does not look like a ticket; nothing ever runs under it.
    #[error("key is not a ticket: expected a text that starts with {TEXT_PREFIX:?}")]
    Malformed,
    /// The ticket is damaged, or its tag does not match.
    #[error("ticket is not authentic")]
    Forged,
    /// The ticket is so old that no host keeps its state.
    #[error("ticket has expired and its state is no longer kept")]
    Expired,
    /// The ticket was issued to another caller.
    #[error("ticket was issued to another caller")]
    WrongCaller,
    /// The ticket was issued for another service.
    #[error("ticket was issued for another service")]
    WrongService,
    /// The owner is in a region that the caller's data must not reach.
    #[error("ticket is owned by a host outside the regions of its caller")]
    OutsideResidency,
}

impl TicketError {
    /// HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 428,
            Self::Forged | Self::WrongCaller | Self::WrongService => 403,
            Self::Expired => 410,
            Self::OutsideResidency => 421,
        }
    }

    /// What is known about the call, given that this request was not sent.
    ///
    /// Only a text that never was a ticket is `not_run`. A tag can also fail
    /// because the cluster key was replaced after the call had run.
    pub fn run_state(self, request: Unsent) -> RunState {
        match self {
            Self::Malformed => RunState::NotRun(request.give_up()),
            _ => RunState::Unknown,
        }
    }
}

/// Why a key cannot sign tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("cluster key has {bytes} bytes: expected at least {MIN_KEY_BYTES}")]
pub struct KeyError {
    /// Length of the rejected key.
    pub bytes: usize,
}

/// Writes and verifies tickets under the cluster key.
#[derive(Clone)]
pub struct TicketSigner {
    mac: Hmac<Sha256>,
}

impl fmt::Debug for TicketSigner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketSigner")
    }
}

impl TicketSigner {
    /// A signer with the cluster key; fails if the key is too short.
    pub fn new(key: &[u8]) -> Result<Self, KeyError> {
        let too_short = KeyError { bytes: key.len() };
        if key.len() < MIN_KEY_BYTES {
            return Err(too_short);
        }
        let mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| too_short)?;
        Ok(Self { mac })
    }

    /// The text of a ticket, for the `Idempotency-Key` field.
    pub fn encode(&self, ticket: &Ticket) -> Result<String, postcard::Error> {
        let mut bytes = postcard::to_allocvec(ticket.body())?;
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        let mut text = String::from(TEXT_PREFIX);
        URL_SAFE_NO_PAD.encode_string(bytes, &mut text);
        Ok(text)
    }

    /// Verifies a text and that the caller may use it as context.
    ///
    /// Between its expiry and the end of [`STATE_RETENTION_MS`] a ticket is
    /// still accepted here, because its owner may know how its call ended.
    pub fn verify(&self, text: &str, context: &VerifyContext<'_>) -> Result<Ticket, TicketError> {
        let ticket = self.authenticate(text)?;
        let body = ticket.body();
        if body.caller != *context.caller {
            return Err(TicketError::WrongCaller);
        }
        if context.service.is_some_and(|id| *id != body.service) {
            return Err(TicketError::WrongService);
        }
        if !context.allowed.contains(&body.owner.region) {
            return Err(TicketError::OutsideResidency);
        }
        if context.now_ms >= body.expires_ms + STATE_RETENTION_MS {
            return Err(TicketError::Expired);
        }
        Ok(ticket)
    }

    fn authenticate(&self, text: &str) -> Result<Ticket, TicketError> {
        let encoded = text
            .strip_prefix(TEXT_PREFIX)
            .ok_or(TicketError::Malformed)?;
        if text.len() > MAX_TICKET_TEXT_BYTES {
            return Err(TicketError::Forged);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(encoded)
            .map_err(|_| TicketError::Forged)?;
        let (message, tag) = bytes
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(TicketError::Forged)?;
        let is_authentic = bool::from(self.tag(message).ct_eq(tag));
        if !is_authentic {
            return Err(TicketError::Forged);
        }
        let (body, rest) =
            postcard::take_from_bytes::<TicketBody>(message).map_err(|_| TicketError::Forged)?;
        if !rest.is_empty() {
            return Err(TicketError::Forged);
        }
        Ok(Ticket(body))
    }

    fn tag(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(TAG_DOMAIN);
        mac.update(message);
        let full = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }
}
