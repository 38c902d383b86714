//! What goes into the decisions and what comes out.

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
    /// A caller of this host.
    Caller,
    /// Another host, which makes this host the last one.
    Host {
        /// Region of the other host.
        region: RegionId,
        /// The other host.
        host: HostId,
        /// Regions that the other host computed.
        allowed: AllowedRegions,
    },
}

/// A request as the decisions see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifies the request at every host.
    pub request: RequestId,
    /// Whose request it is.
    pub caller: CallerId,
    /// What it is for.
    pub target: Target,
    /// Scheduling class.
    pub tier: Tier,
    /// Estimated prompt length.
    pub prompt: Tokens,
    /// Most tokens that may be generated.
    pub max_output: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix_hashes: Vec<u64>,
    /// Length of the request body.
    pub body: Bytes,
    /// Instant by which the whole answer is due.
    pub deadline_ms: Millis,
    /// Whether the call may run more than once.
    pub is_repeatable: bool,
    /// Whether only an endpoint that continues a partial answer can serve it.
    pub needs_continuation: bool,
    /// Where it came from.
    pub origin: Origin,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The whole answer was passed on.
    Complete {
        /// Generated tokens.
        output: Tokens,
        /// Prompt tokens that the endpoint had cached.
        cached: Tokens,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint or host refused before it ran the request.
    Rejected {
        /// When it asked to come back.
        retry_after_ms: Option<Millis>,
        /// Whether it said that it is leaving.
        is_leaving: bool,
    },
    /// The exchange broke after the request was sent.
    Interrupted {
        /// Tokens that the caller has already received.
        delivered: Tokens,
    },
    /// The exchange broke after part of an answer that cannot be continued.
    Truncated {
        /// Tokens that the caller has already received.
        delivered: Tokens,
    },
    /// The endpoint answered with an error, which was passed on.
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The caller went away.
    CallerDisconnected {
        /// Tokens that were generated for nothing.
        wasted: Tokens,
    },
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request came in; ignored while another one with its id is open.
    Arrived(Arrival),
    /// The first token of an attempt was passed on.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt ended, or the caller of a waiting request went away.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A host said that it lives, or that it is leaving.
    Heartbeat(Heartbeat),
    /// An endpoint reported its load, directly or through another host.
    Report(EndpointReport),
    /// A region was summed up by one of its hosts.
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
    /// A spending share was granted.
    Granted {
        /// Whose budget.
        caller: CallerId,
        /// Start of the budget period.
        period_start_ms: Millis,
        /// Amount that this host may now spend on top of earlier grants.
        amount_micros: CostMicros,
    },
    /// The platform's service refused a grant because the budget is used up.
    GrantRefused {
        /// Whose budget.
        caller: CallerId,
        /// Start of the budget period.
        period_start_ms: Millis,
    },
    /// The platform's service could not be reached for a grant.
    GrantUnavailable {
        /// Whose budget.
        caller: CallerId,
    },
    /// This host is shutting down.
    Leaving,
    /// Time passed; at least every 100 ms.
    Tick,
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The caller's intent does not name the target.
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

/// A final answer without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// How long to wait before coming back, if that makes sense.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// A refusal after which coming back makes no sense.
    pub fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// The same refusal with a time to come back.
    pub fn with_retry_after(mut self, wait_ms: Millis) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }
}

/// Something to do.
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
        /// Its address for hosts.
        address: SocketAddr,
        /// Its region.
        region: RegionId,
        /// Regions that may see the request.
        allowed: AllowedRegions,
    },
    /// Give the caller its final answer.
    Refuse {
        /// The request.
        request: RequestId,
        /// What to say.
        refusal: Refusal,
    },
    /// Stop an attempt, whose end is then still to be told.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Ask the platform's service for a spending share.
    RequestGrant {
        /// Whose budget.
        caller: CallerId,
        /// How much.
        amount_micros: CostMicros,
    },
}

impl Action {
    /// The request that the action is for, if any.
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
