//! Contents, encoding and verification of a ticket.
//!
//! A ticket carries ids only, no request data. Its text is a prefix, followed
//! by the `postcard` encoding and a truncated HMAC-SHA256 in URL-safe base64,
//! so every host with the cluster key can verify it without contacting its
//! owner. The prefix distinguishes tickets from the keys that HTTP libraries
//! generate for `Idempotency-Key`, such as UUIDs, which are valid base64 as
//! well.

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

/// Prefix of the text of every ticket; the number is the format version.
pub const TEXT_PREFIX: &str = "t1.";
/// Maximum length of a ticket's text; four ids of 64 bytes give about 470
/// bytes.
pub const MAX_TICKET_TEXT_BYTES: usize = 512;
/// Minimum length of the cluster key.
pub const MIN_KEY_BYTES: usize = 32;
const TAG_BYTES: usize = 16;
/// Domain separator: messages between hosts use the same key.
const TAG_DOMAIN: &[u8] = b"cardamombridge ticket 1\0";

/// Id of a ticket, drawn at random; it identifies one call.
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

/// One process lifetime of a host, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostInstance {
    /// The host.
    pub host: HostId,
    /// Identifies the instance; each start of the host has another one.
    pub incarnation: Incarnation,
}

impl fmt::Display for HostInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.incarnation)
    }
}

/// A host instance that owns tickets, and how to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TicketOwner {
    /// The instance; another instance of the same host is not the owner.
    pub instance: HostInstance,
    /// Its region.
    pub region: RegionId,
    /// Its address for other hosts.
    pub peer_address: SocketAddr,
}

/// Contents of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketBody {
    /// Identifies the ticket in its owner's table.
    pub id: TicketId,
    /// The host instance that issued it and may run the call.
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
    /// Wraps a body that the calling table issues.
    pub(super) fn new(body: TicketBody) -> Self {
        Self(body)
    }

    /// Returns the contents of the ticket.
    pub fn body(&self) -> &TicketBody {
        &self.0
    }
}

/// Who presents a ticket and for what, to be checked against its contents.
#[derive(Debug, Clone)]
pub struct VerifyContext<'a> {
    /// The authenticated caller.
    pub caller: &'a CallerId,
    /// The service of the call; `None` skips the check, as for a query of the
    /// state.
    pub service: Option<&'a ServiceId>,
    /// Regions that the caller's intent allows now.
    pub allowed: &'a AllowedRegions,
    /// Current time at this host.
    pub now_ms: Millis,
}

/// Why a ticket is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text does not have the form of a ticket; no call ever runs under it.
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
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 428,
            Self::Forged | Self::WrongCaller | Self::WrongService => 403,
            Self::Expired => 410,
            Self::OutsideResidency => 421,
        }
    }

    /// Returns the run state of the call, given that this request was not sent.
    ///
    /// Only a text that never was a ticket is `not_run`. The verification of a
    /// tag can also fail because the cluster key was replaced after the call
    /// had run.
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

/// Encodes and verifies tickets with the cluster key.
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
    /// Returns a signer with the cluster key; fails if the key is too short.
    pub fn new(key: &[u8]) -> Result<Self, KeyError> {
        let too_short = KeyError { bytes: key.len() };
        if key.len() < MIN_KEY_BYTES {
            return Err(too_short);
        }
        let mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| too_short)?;
        Ok(Self { mac })
    }

    /// Encodes a ticket as text for the `Idempotency-Key` field.
    pub fn encode(&self, ticket: &Ticket) -> Result<String, postcard::Error> {
        let mut bytes = postcard::to_allocvec(ticket.body())?;
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        let mut text = String::from(TEXT_PREFIX);
        URL_SAFE_NO_PAD.encode_string(bytes, &mut text);
        Ok(text)
    }

    /// Decodes a ticket, and verifies its tag and that `context` may use it.
    ///
    /// Between its expiry and the end of [`STATE_RETENTION_MS`] a ticket is
    /// still accepted here, because its holder may know how its call ended.
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
