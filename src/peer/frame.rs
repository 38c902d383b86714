//! Frames that hosts exchange over TCP.
//!
//! An exchange is one request frame with its body and a sequence of response
//! frames, of which exactly one is final. Each frame may carry a payload of opaque
//! bytes, at most 1 MiB.

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

/// Largest payload of one frame.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;
/// Largest body of a request, over all its frames.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A header field of a forwarded request or its response.
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
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Model or service that the request is for.
    pub target: Target,
    /// Scheduling class.
    pub tier: Tier,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix_hashes: Vec<u64>,
    /// Instant by which the complete response is due.
    pub deadline_ms: Millis,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Region of the host that accepted it.
    pub origin_region: RegionId,
    /// Host that accepted it; must be the sender of this frame.
    pub origin_host: HostId,
    /// Regions that may process the request.
    pub allowed: AllowedRegions,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Header fields that the endpoint needs.
    pub headers: Vec<Field>,
    /// Whether the response is a stream of server-sent events.
    pub is_stream: bool,
    /// Length of the body that follows in [`Frame::RequestBody`] frames.
    pub body_bytes: Bytes,
}

/// A request frame, a part of a request or response, or a final response frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Request: serve a request that the sender accepted from a caller.
    Forward(ForwardHead),
    /// Request: run the call of a ticket that the receiver issued.
    TicketCall {
        /// The ticket as the caller presented it.
        ticket: CompactString,
        /// The call.
        head: ForwardHead,
    },
    /// Request: the status of a ticket that the receiver issued.
    GetTicketStatus {
        /// The ticket.
        ticket: CompactString,
        /// The caller that presented it.
        caller: CallerId,
    },
    /// Request: cancel a ticket whose call has not started.
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
    /// Request: the receiver's SLO burn rates.
    GetBurnReport,
    /// Request: an acknowledgement.
    Ping,
    /// Part of a request body.
    RequestBody,
    /// Cancellation: the sender no longer needs the response.
    Cancel,
    /// Response: status and header fields.
    ResponseHead {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<Field>,
    },
    /// Response: part of the body, or of the payload of a final frame that exceeds
    /// [`MAX_PAYLOAD_BYTES`].
    ResponseBody,
    /// Final response: the body is complete.
    ResponseEnd {
        /// Generated tokens.
        output_tokens: Tokens,
        /// Prompt tokens that the endpoint had cached.
        cached_tokens: Tokens,
    },
    /// Final response: the request failed before any part of its response was sent.
    Refused {
        /// Reason, and when to retry.
        refusal: Refusal,
        /// Whether the request ran.
        run_state: RunStateWord,
    },
    /// Final response: the response was cut off.
    Aborted {
        /// Whether the request ran.
        run_state: RunStateWord,
        /// Tokens that were sent before the cut.
        delivered_tokens: Tokens,
    },
    /// Final response: configuration changes, or the complete configuration, as
    /// payload.
    Changes,
    /// Final response: the status of a ticket as payload.
    TicketStatus,
    /// Final response: a burn report as payload.
    BurnReport,
    /// Final response: an acknowledgement.
    Ack,
    /// Request: the receiver's list of endpoints.
    GetEndpoints,
    /// Final response: an endpoint list as payload.
    EndpointList,
}

impl Frame {
    /// Returns the length of the body that follows a request frame.
    pub fn body_bytes(&self) -> Bytes {
        match self {
            Self::Forward(head) | Self::TicketCall { head, .. } => head.body_bytes,
            Self::TicketHandover { body_bytes } => *body_bytes,
            _ => Bytes(0),
        }
    }

    /// Returns the host that a request claims as its origin, if it names one.
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

/// A frame with its payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The frame.
    pub frame: Frame,
    /// Opaque bytes that follow the frame.
    pub payload: Vec<u8>,
}
