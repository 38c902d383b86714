//! The events that decisions are based on and the actions that result.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    residency::AllowedRegions,
    view::{
        EndpointInfo,
        EndpointReport,
        Heartbeat,
        HostInfo,
        RegionSummary, //
    }, //
};
use crate::{
    intent::Intents,
    types::{
        Attempt,
        Bytes,
        CallerId,
        CostMicros,
        EndpointId,
        HostId,
        Millis,
        RegionId,
        RequestId,
        Target,
        Tier,
        Tokens, //
    }, //
};

/// Where a request came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// A caller sent it to this host.
    Caller,
    /// Another host forwarded it; it is not forwarded again.
    Host {
        /// Region of the forwarding host.
        region: RegionId,
        /// The forwarding host.
        host: HostId,
        /// Allowed regions as computed by the forwarding host.
        allowed: AllowedRegions,
    },
}

/// A request with the properties that decisions depend on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifies the request on every host.
    pub request: RequestId,
    /// The client account that the request belongs to.
    pub caller: CallerId,
    /// The model or service that is requested.
    pub target: Target,
    /// Scheduling class.
    pub tier: Tier,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Maximum number of generated tokens.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's leading blocks; each covers all preceding blocks.
    pub prefix_hashes: Vec<u64>,
    /// Length of the request body.
    pub body_bytes: Bytes,
    /// Time by which the complete response is due.
    pub deadline_ms: Millis,
    /// Whether it is safe to run the call more than once.
    pub is_repeatable: bool,
    /// Whether it must be served by an endpoint that can continue a partial
    /// response.
    pub needs_continuation: bool,
    /// Where it came from.
    pub origin: Origin,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The complete response was passed on.
    Complete {
        /// Generated tokens.
        output_tokens: Tokens,
        /// Prompt tokens that the endpoint had cached.
        cached_tokens: Tokens,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint or host refused the request before running it.
    Rejected {
        /// Time after which it suggested a retry.
        retry_after_ms: Option<Millis>,
        /// Whether it refused because it is leaving.
        is_leaving: bool,
    },
    /// The exchange failed after the request was sent.
    Interrupted {
        /// Tokens that the caller has already received.
        delivered_tokens: Tokens,
    },
    /// The exchange failed after part of a response that cannot be continued.
    Truncated {
        /// Tokens that the caller has already received.
        delivered_tokens: Tokens,
    },
    /// The endpoint responded with an error, which was passed on.
    Failed {
        /// HTTP status of the response.
        status: u16,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// Tokens generated before the attempt was cancelled.
        wasted_tokens: Tokens,
    },
}

/// An input of the decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request arrived. Ignored while another request with its id is open.
    Arrived(Arrival),
    /// The first token of an attempt was passed on.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt ended, or the caller of a waiting request disconnected.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A host reported that it is alive or leaving.
    Heartbeat(Heartbeat),
    /// An endpoint's load report arrived, directly or through another host.
    Report(EndpointReport),
    /// A host of a region sent the region's summary.
    Summary(RegionSummary),
    /// The platform's list of endpoints and hosts was read.
    Listed {
        /// All endpoints in the list.
        endpoints: Vec<EndpointInfo>,
        /// All hosts in the list.
        hosts: Vec<HostInfo>,
    },
    /// A configuration came into force.
    InForce(Arc<Intents>),
    /// Part of a caller's budget was granted to this host.
    Granted {
        /// Caller whose budget it is.
        caller: CallerId,
        /// Start of the budget period.
        period_start_ms: Millis,
        /// Amount that this host may now spend on top of earlier grants.
        amount_micros: CostMicros,
    },
    /// The platform's service refused a grant because the budget is used up.
    GrantRefused {
        /// Caller whose budget it is.
        caller: CallerId,
        /// Start of the budget period.
        period_start_ms: Millis,
    },
    /// The platform's service was unreachable for a grant.
    GrantUnavailable {
        /// Caller whose budget it is.
        caller: CallerId,
    },
    /// This host is shutting down.
    Leaving,
    /// Periodic check of deadlines and timers, at least every 100 ms.
    Tick,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The caller or the target is not configured, or the caller may not use the
    /// target.
    UnknownTarget,
    /// This region is outside the caller's residency.
    WrongRegion,
    /// No live endpoint in an allowed region serves the target.
    NoEndpoint,
    /// The request cannot finish by its deadline.
    Overloaded,
    /// The caller's budget for the period is used up.
    OverBudget,
    /// Every attempt failed or the retry budget is used up.
    RetriesExhausted,
    /// The deadline passed.
    DeadlinePassed,
    /// This host is shutting down.
    Leaving,
    /// This host has no configuration yet.
    NotReady,
}

/// The final response to a request that is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time to wait before a retry, or `None` if a retry cannot succeed.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal that suggests no retry.
    pub fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// Adds a time to wait before a retry.
    pub fn with_retry_after(mut self, wait_ms: Millis) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }
}

/// An output of the decisions, for the surrounding threads to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Send the request to an endpoint of this region.
    Send {
        /// The request.
        request: RequestId,
        /// Number of this attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
    },
    /// Send the request to a host of another region.
    Forward {
        /// The request.
        request: RequestId,
        /// Number of this attempt.
        attempt: Attempt,
        /// The host.
        host: HostId,
        /// Its address for other hosts.
        address: SocketAddr,
        /// Its region.
        region: RegionId,
        /// Regions that may see the request.
        allowed: AllowedRegions,
    },
    /// Refuse the request, as its final response.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason, and time to wait before a retry.
        refusal: Refusal,
    },
    /// Cancel an attempt. Its [`Event::Ended`] must still follow.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Request part of a caller's budget from the platform's service.
    RequestGrant {
        /// Caller whose budget it is.
        caller: CallerId,
        /// Requested amount.
        amount_micros: CostMicros,
    },
}

impl Action {
    /// Returns the request that the action concerns, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Send { request, .. }
            | Self::Forward { request, .. }
            | Self::Refuse { request, .. }
            | Self::Cancel { request, .. } => Some(*request),
            Self::RequestGrant { .. } => None,
        }
    }
}
