//! One request of a caller, from its arrival to the end of its answer.

use std::rc::Rc;

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    configuration::{
        RetryPolicy,
        Route, //
    },
    events::EventSplitter,
    fleet::Choice,
    head::RequestHead,
    request::Call, //
};

/// What a route says about a request, as it is told to another region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Route.
    pub route: CompactString,
    /// Service.
    pub service: CompactString,
    /// The answer is a series of events.
    pub is_stream: bool,
    /// The request may run again.
    pub is_idempotent: bool,
    /// Another endpoint may continue the stream.
    pub is_resumable: bool,
    /// Time within which an answer is on time.
    pub goal_ms: u64,
    /// Time after which the route gives up.
    pub timeout_ms: u64,
    /// Most endpoints that may run the request.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: Option<u8>,
    /// Regions that may serve it; any region if empty.
    pub homes: Vec<CompactString>,
}

impl Plan {
    /// The plan for a request on `route` that goes to `service`.
    pub fn new(route: &Route, service: CompactString) -> Self {
        Self {
            route: route.name.clone(),
            service,
            is_stream: route.is_stream,
            is_idempotent: route.retry_policy == RetryPolicy::Idempotent,
            is_resumable: route.retry_policy == RetryPolicy::Resume,
            goal_ms: route.goal_ms,
            timeout_ms: route.timeout_ms,
            max_attempts: route.max_attempts,
            priority: route.priority,
            homes: route.home_regions.clone(),
        }
    }

    /// The plan as text for a header.
    pub fn encode(&self) -> Result<String, postcard::Error> {
        Ok(STANDARD.encode(postcard::to_allocvec(self)?))
    }

    /// Reads what [`Plan::encode`] wrote; none if it is anything else.
    pub fn decode(text: &str) -> Option<Self> {
        let bytes = STANDARD.decode(text).ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    /// Whether the request may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.is_idempotent || self.is_resumable
    }

    /// Whether the request, once sent, goes on when its caller has left: it has
    /// an effect that is not to be broken off midway.
    pub fn runs_without_caller(&self) -> bool {
        !self.is_stream && !self.is_idempotent
    }

    /// Whether a region may serve the request.
    pub fn allows_region(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.iter().any(|home| home == region)
    }
}

/// A request as the caller sent it.
#[derive(Debug)]
pub struct CallerRequest {
    /// Head.
    pub head: RequestHead,
    /// What the head says about the call.
    pub call: Call,
    /// Body without transfer coding.
    pub body: Vec<u8>,
}

/// Where a request was sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Destination {
    /// An endpoint of this region.
    Endpoint(Choice),
    /// A host of another region.
    Region {
        /// The region.
        region: CompactString,
        /// The host.
        host: CompactString,
    },
}

/// A request at an endpoint or in another region.
#[derive(Debug, Clone)]
pub struct Sending {
    /// Where it was sent.
    pub destination: Destination,
    /// Connection.
    pub upstream: usize,
    /// When it was sent.
    pub sent_ms: u64,
    /// The first event or the answer has begun.
    pub has_begun: bool,
    /// The head of the answer is that of a success of the endpoint.
    pub is_good: bool,
    /// Last time at which content arrived.
    pub progress_ms: u64,
}

/// What decided the latest placing of a request, for its log line.
#[derive(Debug, Clone)]
pub struct Placed {
    /// Name of the endpoint, or of the region and host.
    pub destination: CompactString,
    /// Predicted time from then to the first event.
    pub predicted_ms: u64,
    /// Predicted part of it in which other requests come first.
    pub backlog_ms: u64,
    /// Prompt tokens that were not expected in the endpoint's cache.
    pub uncached_tokens: u64,
    /// When it was sent.
    pub sent_ms: u64,
}

/// What decided the refusal of a request, for its log line.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// Predicted time to the first event in this region, its queue included;
    /// none if no endpoint could be used.
    pub here_ms: Option<u64>,
    /// Part of it that requests take which wait here already.
    pub queue_ms: u64,
    /// Predicted time in the best other region, if one was known.
    pub away_ms: Option<u64>,
    /// When the caller may come back.
    pub retry_ms: u64,
}

/// A request of a caller.
#[derive(Debug)]
pub struct Exchange {
    /// Number that no other exchange of this process has.
    pub serial: u64,
    /// Connection of the caller; none if the caller has left.
    pub client: Option<usize>,
    /// The request was forwarded by a host of another region.
    pub is_forwarded: bool,
    /// The request; shared so that it can be written while the exchange changes.
    pub request: Rc<CallerRequest>,
    /// What its route says.
    pub plan: Plan,
    /// Version of the configuration that gave the plan.
    pub configuration_version: u64,
    /// When the request had arrived completely.
    pub arrived_ms: u64,
    /// When an answer is late.
    pub goal_at_ms: u64,
    /// When the caller or the route gives up.
    pub deadline_ms: u64,
    /// Endpoints that may have run the request.
    pub run_count: u32,
    /// Endpoints that are not tried again.
    pub excluded: Vec<CompactString>,
    /// Endpoints that failed, and are tried again only if there is no other.
    pub avoided: Vec<CompactString>,
    /// Regions that are not tried again.
    pub excluded_regions: Vec<CompactString>,
    /// The request waits for an endpoint.
    pub is_waiting: bool,
    /// Where the request is.
    pub sending: Option<Sending>,
    /// How the latest placing was decided.
    pub placed: Option<Placed>,
    /// What decided a refusal.
    pub refused: Option<Refused>,
    /// When the first event, or the answer, had arrived.
    pub first_event_at_ms: Option<u64>,
    /// The head and perhaps some content of the answer reached the caller.
    pub has_reply_begun: bool,
    /// Events passed on, for streams that another endpoint may continue.
    pub events: EventSplitter,
    /// Answer or part of it that has not been passed on.
    pub held: Vec<u8>,
}

impl Exchange {
    /// Event after which an endpoint has to go on.
    pub fn resume_after(&self) -> Option<CompactString> {
        let passed_on = self.events.last_id().cloned();
        passed_on.or_else(|| self.request.call.last_event.clone())
    }

    /// Where the request is.
    pub fn destination(&self) -> Option<&Destination> {
        self.sending.as_ref().map(|sending| &sending.destination)
    }
}
