//! What hosts say to each other over TCP.
//!
//! An exchange is one request frame with its body and a sequence of answer
//! frames, of which exactly one is final. Bytes that need no decoding travel
//! beside the frame, in pieces of at most 1 MiB.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    decision::{
        event::Refusal,
        residency::AllowedRegions, //
    },
    outcome::RunStateWord,
    types::{
        Bytes,
        CallerId,
        HostId,
        Millis,
        RegionId,
        RequestId,
        Revision,
        Target,
        Tier,
        Tokens, //
    }, //
};

/// Most bytes that travel beside one frame.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;
/// Longest body of a request frame, over all its pieces.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A header field of a forwarded request or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name in lower case.
    pub name: CompactString,
    /// Value.
    pub value: CompactString,
}

/// A request that another host accepted from its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Identifies the request at every host.
    pub request: RequestId,
    /// Whose request it is.
    pub caller: CallerId,
    /// What it is for.
    pub target: Target,
    /// Scheduling class.
    pub tier: Tier,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Most tokens that may be generated.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix_hashes: Vec<u64>,
    /// Instant by which the whole answer is due.
    pub deadline_ms: Millis,
    /// Whether the call may run more than once.
    pub is_repeatable: bool,
    /// Region of the host that accepted it.
    pub origin_region: RegionId,
    /// Host that accepted it; must be the sender of this frame.
    pub origin_host: HostId,
    /// Regions that may see the request.
    pub allowed: AllowedRegions,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Header fields that the endpoint needs.
    pub headers: Vec<Field>,
    /// Whether the answer is a stream of server-sent events.
    pub is_stream: bool,
    /// Length of the body that follows in [`Frame::RequestBody`] frames.
    pub body_bytes: Bytes,
}

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Request: serve a caller of another region.
    Forward(ForwardHead),
    /// Request: run the call of a ticket that the receiver issued.
    TicketCall {
        /// The ticket as the caller presented it.
        ticket: CompactString,
        /// The call.
        head: ForwardHead,
    },
    /// Request: the state of a ticket that the receiver issued.
    GetTicketStatus {
        /// The ticket.
        ticket: CompactString,
        /// The caller that presented it.
        caller: CallerId,
    },
    /// Request: void a ticket that has not started.
    CancelTicket {
        /// The ticket.
        ticket: CompactString,
        /// The caller that presented it.
        caller: CallerId,
    },
    /// Request: take over the ticket table of a leaving host.
    TicketHandover {
        /// Length of the table that follows in [`Frame::RequestBody`] frames.
        body_bytes: Bytes,
    },
    /// Request: the configuration changes after a revision.
    GetChanges {
        /// Revision that the sender has in force.
        revision: Revision,
    },
    /// Request: the receiver's service-level burn.
    GetBurnReport,
    /// Request: an acknowledgement.
    Ping,
    /// Bytes of a request's body.
    RequestBody,
    /// The sender no longer wants the answer.
    Cancel,
    /// Answer: status and fields.
    ResponseHead {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<Field>,
    },
    /// Answer: bytes of the body, or of a long final answer.
    ResponseBody,
    /// Final answer: the whole body was sent.
    ResponseEnd {
        /// Generated tokens.
        output_tokens: Tokens,
        /// Prompt tokens that the endpoint had cached.
        cached_tokens: Tokens,
    },
    /// Final answer: the request was given up before any part of its answer.
    Refused {
        /// Why, and when to come back.
        refusal: Refusal,
        /// Whether it ran.
        run_state: RunStateWord,
    },
    /// Final answer: the answer broke off.
    Aborted {
        /// Whether it ran.
        run_state: RunStateWord,
        /// Tokens that were sent before.
        delivered_tokens: Tokens,
    },
    /// Final answer: changes, or the whole configuration, beside the frame.
    Changes,
    /// Final answer: the state of a ticket, beside the frame.
    TicketStatus,
    /// Final answer: a burn report, beside the frame.
    BurnReport,
    /// Final answer: done.
    Ack,
    /// Request: the endpoint list as the receiver knows it.
    GetEndpoints,
    /// Final answer: an endpoint list, beside the frame.
    EndpointList,
}

impl Frame {
    /// Length of the body that follows a request frame.
    pub fn body_bytes(&self) -> Bytes {
        match self {
            Self::Forward(head) | Self::TicketCall { head, .. } => head.body_bytes,
            Self::TicketHandover { body_bytes } => *body_bytes,
            _ => Bytes(0),
        }
    }

    /// Host that a request claims to come from, if it names one.
    pub fn origin_host(&self) -> Option<&HostId> {
        match self {
            Self::Forward(head) | Self::TicketCall { head, .. } => Some(&head.origin_host),
            _ => None,
        }
    }

    /// Whether the frame starts an exchange.
    pub fn is_request(&self) -> bool {
        matches!(
            self,
            Self::Forward(_)
                | Self::TicketCall { .. }
                | Self::GetTicketStatus { .. }
                | Self::CancelTicket { .. }
                | Self::TicketHandover { .. }
                | Self::GetChanges { .. }
                | Self::GetBurnReport
                | Self::Ping
                | Self::GetEndpoints
        )
    }

    /// Whether the frame ends an exchange.
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            Self::ResponseEnd { .. }
                | Self::Refused { .. }
                | Self::Aborted { .. }
                | Self::Changes
                | Self::TicketStatus
                | Self::BurnReport
                | Self::Ack
                | Self::EndpointList
        )
    }
}

/// A frame with the bytes beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The frame.
    pub frame: Frame,
    /// Bytes beside it.
    pub payload: Vec<u8>,
}
