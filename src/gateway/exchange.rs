//! State of one request, from its arrival to the end of its response.

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
    allotment_state::Charge,
    answer_lengths::EventCount,
    answer_record::AnswerRecords,
    buffer_budget::ByteCount,
    configuration::{
        ConfigurationVersion,
        RetryPolicy,
        Route, //
    },
    crash_records::Suspects,
    endpoint::Failure,
    endpoint_start::StartTime,
    events::EventSplitter,
    fleet::{
        Choice,
        KeptFrom, //
    },
    head::{
        Framing,
        RequestHead, //
    },
    request::RequestMetadata,
    request_sizes::RequestSize,
    response::{
        BodyFrame,
        HostStatements, //
    },
    serve_accounts::CallerAccount,
    software_version::SoftwareVersion,
    stream_pace::Pace, //
};

/// Most time that a caller's time limit ends before the one counted from the arrival of its
/// request: callers also count the time to connect.
const CALLER_HEAD_START_MS: u64 = 500;

/// Parameters of a route for one request, also sent to the host of another
/// region that serves the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedRoute {
    /// Name of the route.
    pub name: CompactString,
    /// Name of the service that serves the request.
    pub service: CompactString,
    /// The response is a stream of server-sent events.
    pub is_stream: bool,
    /// The request may run more than once.
    pub is_idempotent: bool,
    /// Another endpoint may continue an interrupted stream.
    pub is_resumable: bool,
    /// Latency goal of the response.
    pub goal_ms: u64,
    /// Time limit of the request.
    pub timeout_ms: u64,
    /// Maximum number of endpoints that may run the request.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions that may serve the request; any region if empty.
    pub home_regions: Vec<CompactString>,
    /// Software version at which a resumed stream began.
    pub software_version: Option<SoftwareVersion>,
}

impl ResolvedRoute {
    /// Returns the parameters for a request on `route` that `service` serves.
    pub fn new(route: &Route, service: CompactString) -> Self {
        Self {
            name: route.name.clone(),
            service,
            is_stream: route.is_stream,
            is_idempotent: route.retry_policy == RetryPolicy::Idempotent,
            is_resumable: route.retry_policy == RetryPolicy::Resume,
            goal_ms: route.goal_ms,
            timeout_ms: route.timeout_ms,
            max_attempts: route.max_attempts,
            priority: route.priority,
            home_regions: route.home_regions.clone(),
            software_version: None,
        }
    }

    /// Encodes the parameters as the value of a header.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be serialised.
    pub fn encode(&self) -> Result<String, postcard::Error> {
        Ok(STANDARD.encode(postcard::to_allocvec(self)?))
    }

    /// Decodes a value written by [`Self::encode`]; none if it is malformed.
    pub fn decode(text: &str) -> Option<Self> {
        let bytes = STANDARD.decode(text).ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        self.is_idempotent || self.is_resumable
    }

    /// Returns whether a request that was sent continues after its caller has
    /// disconnected: it may have a side effect, which is not to be interrupted.
    pub fn runs_without_caller(&self) -> bool {
        !self.is_stream && !self.is_idempotent
    }

    /// Returns whether a region may serve the request.
    pub fn allows_region(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}

/// A request as received from the caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Parsed head.
    pub head: RequestHead,
    /// Metadata decoded from the head.
    pub metadata: RequestMetadata,
    /// Body with the transfer coding removed.
    pub body: Vec<u8>,
    /// Client account for which it runs.
    pub account: CallerAccount,
    /// What it was charged of the allotment of the account.
    pub charge: Option<Charge>,
}

/// Destination of a dispatch.
#[derive(Debug, Clone, PartialEq)]
pub enum Destination {
    /// An endpoint of this region.
    Endpoint(Choice),
    /// A host of another region.
    Region {
        /// Name of the region.
        region: CompactString,
        /// Name of the host.
        host: CompactString,
    },
}

impl Destination {
    /// Returns the id of the endpoint, or the name of the host.
    pub fn name(&self) -> &CompactString {
        match self {
            Self::Endpoint(choice) => &choice.endpoint,
            Self::Region { host, .. } => host,
        }
    }
}

/// One dispatch of a request to an endpoint or to another region.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Endpoint or region that it was sent to.
    pub destination: Destination,
    /// Key of the upstream connection.
    pub upstream: usize,
    /// When it was sent.
    pub sent_ms: u64,
    /// The first event, or a response that is not a stream, has arrived.
    pub has_begun: bool,
    /// The response head is a success signed by the endpoint.
    pub is_success: bool,
    /// Time at which response data last arrived.
    pub progress_ms: u64,
    /// Time at which an event was last complete.
    pub last_event_ms: Option<u64>,
    /// Software version of the endpoint; none until another region has stated it, and while it is
    /// not known whether the endpoint is the start that announced it.
    pub software_version: Option<SoftwareVersion>,
    /// Announced start of the endpoint when it was sent; none for a host.
    pub start: Option<StartTime>,
    /// Time from which another place may be sought if the endpoint stalls.
    pub next_move_ms: u64,
}

/// Inputs of the latest placement of a request, for its log line.
#[derive(Debug, Clone)]
pub struct PlacementRecord {
    /// Id of the endpoint, or names of the region and host.
    pub destination: CompactString,
    /// Software version of the endpoint; none for a host.
    pub software_version: Option<SoftwareVersion>,
    /// Predicted time from sending to the first event.
    pub predicted_ms: u64,
    /// Part of the predicted time spent on requests ahead of this one.
    pub backlog_ms: u64,
    /// Prompt tokens not expected to be in the endpoint's cache.
    pub uncached_tokens: u64,
    /// How much longer the endpoint stays cold; 0 if it is warm, and for a host.
    pub cold_left_ms: u64,
    /// When it was sent.
    pub sent_ms: u64,
}

/// Inputs of the refusal of a request, for its log line.
#[derive(Debug, Clone, Copy)]
pub struct RefusalRecord {
    /// Predicted time to the first event in this region, including the queue;
    /// none if no endpoint was usable.
    pub local_ms: Option<u64>,
    /// Part of the predicted time spent on requests already queued here.
    pub queue_ms: u64,
    /// Predicted time to the first event in the best other region, if any.
    pub remote_ms: Option<u64>,
    /// Time after which the caller may retry.
    pub retry_ms: u64,
}

/// How an answer with events ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StreamResult {
    /// Its last event was passed on.
    Whole,
    /// The time limit of its caller or route ended before.
    OutOfTime,
    /// The caller left early, or no endpoint could complete it.
    Interrupted,
}

impl StreamResult {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::OutOfTime => "out of time",
            Self::Interrupted => "interrupted",
        }
    }
}

/// A request of a caller.
#[derive(Debug)]
pub struct Exchange {
    /// Serial number, unique within the process.
    pub serial: u64,
    /// Key of the caller's connection; none once the caller has disconnected.
    pub inbound: Option<usize>,
    /// The request was forwarded by a host of another region.
    pub is_forwarded: bool,
    /// The request, shared so that it can be read while the exchange is modified.
    pub request: Rc<CallerRequest>,
    /// What is blamed if an endpoint ends while it runs the request.
    pub suspects: Rc<Suspects>,
    /// Parameters of its route.
    pub route: ResolvedRoute,
    /// Version of the configuration that the route comes from.
    pub configuration_version: ConfigurationVersion,
    /// Time at which the request had been received completely.
    pub arrived_ms: u64,
    /// Size of the request; none without a prompt, and for a forwarded one.
    pub size: Option<RequestSize>,
    /// Time after which the response misses its latency goal, and what it gets beyond.
    pub goal_at_ms: u64,
    /// Time at which the caller's or the route's time limit ends.
    pub deadline_ms: u64,
    /// Number of endpoints that may have run the request.
    pub run_count: u32,
    /// Endpoints that are not tried again.
    pub excluded_endpoints: Vec<CompactString>,
    /// Endpoints that failed, or could not be reached for a request that has run; they are
    /// tried again only if there is no other.
    pub avoided_endpoints: Vec<CompactString>,
    /// Number of endpoints that did not take the request.
    pub skip_count: usize,
    /// Hosts of other regions that did not complete the request; not tried again.
    pub excluded_hosts: Vec<CompactString>,
    /// Regions that are not tried again.
    pub excluded_regions: Vec<CompactString>,
    /// The request waits for an endpoint.
    pub is_waiting: bool,
    /// Time before which a waiting request is not placed again.
    pub next_placement_ms: u64,
    /// Dispatch in progress.
    pub dispatch: Option<Dispatch>,
    /// Answers to its sends.
    pub answers: AnswerRecords,
    /// Inputs of the latest placement.
    pub placement: Option<PlacementRecord>,
    /// Inputs of the refusal, if the request was refused.
    pub refusal: Option<RefusalRecord>,
    /// Endpoint from which the latest placement kept the request because of a limit.
    pub kept_from: Option<KeptFrom>,
    /// Time at which the first event, or the response, had arrived.
    pub first_event_at_ms: Option<u64>,
    /// Time at which an event of any dispatch was last complete.
    pub last_event_at_ms: Option<u64>,
    /// The response head has been written to the caller.
    pub has_response_begun: bool,
    /// Events relayed, for streams that another endpoint may continue.
    pub events: EventSplitter,
    /// Response body, or part of it, that has not been relayed.
    pub buffered: Vec<u8>,
    /// The latest response is a stream of events.
    pub has_events: bool,
    /// Framing of the latest response by its endpoint.
    pub answer_framing: Option<Framing>,
    /// The request has reached an endpoint, which may have refused it.
    pub has_arrived: bool,
    /// Bytes of the unfinished event with which the latest interrupted response ended.
    pub cut_event_bytes: usize,
}

impl Exchange {
    /// Returns the latency goal, counted from the arrival, with what the request gets beyond the
    /// one of its route because it comes back.
    pub fn goal_ms(&self) -> u64 {
        self.goal_at_ms - self.arrived_ms
    }

    /// Returns the id of the event after which an endpoint has to continue.
    pub fn resume_after(&self) -> Option<CompactString> {
        let passed_on = self.events.last_id().cloned();
        passed_on.or_else(|| self.request.metadata.last_event_id.clone())
    }

    /// Returns whether the request may be sent again although it may have run.
    ///
    /// A stream can only be continued at the version that began it.
    pub fn is_retryable(&self) -> bool {
        let is_begun = self.events.complete_count() > 0;
        let can_continue = !is_begun || self.route.software_version.is_some();
        self.route.is_retryable() && can_continue
    }

    /// Records that an endpoint did not take the request.
    ///
    /// A request that has run may go back there: to one that was full when it has room
    /// again, to one that was unreachable if no other endpoint takes it.
    pub fn skip_endpoint(&mut self, id: CompactString, failure: Failure) {
        self.skip_count += 1;
        match failure {
            Failure::Shed if self.run_count > 0 => {}
            Failure::Unreachable if self.run_count > 0 => self.avoided_endpoints.push(id),
            _ => self.excluded_endpoints.push(id),
        }
    }

    /// Returns how the response is framed for the caller once a part of it is written.
    ///
    /// If only the end of the connection marks the end of an answer, nothing shows that it
    /// is whole, so the caller's connection ends it as well. A stream of events shows it by
    /// itself, and hosts state the endpoint's framing to each other.
    pub fn begun_frame(&self) -> BodyFrame {
        let ends_with_connection = self.answer_framing == Some(Framing::UntilClose);
        match ends_with_connection && !self.has_events && !self.is_forwarded {
            true => BodyFrame::UntilClose,
            false => BodyFrame::Chunked,
        }
    }

    /// Returns what the host that forwarded the request is told about its response.
    pub fn host_statements(&self) -> HostStatements<'_> {
        match self.is_forwarded {
            true => HostStatements {
                software_version: self.route.software_version.as_ref(),
                is_unframed: self.answer_framing == Some(Framing::UntilClose),
            },
            false => HostStatements::default(),
        }
    }

    /// Returns whether a stream that ended with a proper frame or with its connection was
    /// interrupted: within an event, or before an event that was due.
    pub fn is_stream_cut(&self) -> bool {
        let is_first_due = self.resume_after().is_none() || self.cut_event_bytes > 0;
        let has_begun = self
            .dispatch
            .as_ref()
            .is_some_and(|dispatch| dispatch.has_begun);
        let is_empty = self.answer_framing == Some(Framing::UntilClose) && !has_begun;
        !self.events.partial().is_empty() || (is_empty && is_first_due)
    }

    /// Drops an event that the latest response did not finish.
    pub fn discard_cut_event(&mut self) {
        self.cut_event_bytes = self.events.partial().len();
        self.events.discard_partial();
    }

    /// Returns whether the caller takes up a stream that an earlier attempt began.
    pub fn is_taken_up(&self) -> bool {
        self.route.is_resumable && self.request.metadata.last_event_id.is_some()
    }

    /// Returns the number of events that were passed on.
    pub fn passed_events(&self) -> EventCount {
        EventCount(self.events.complete_count())
    }

    /// Returns the mean time between the events that were passed on; none with fewer than two.
    pub fn pace(&self) -> Option<Pace> {
        let interval_count = self.passed_events().0.saturating_sub(1);
        let lasted_ms = self
            .last_event_at_ms?
            .saturating_sub(self.first_event_at_ms?);
        (interval_count > 0)
            .then(|| lasted_ms as f64 / interval_count as f64)
            .and_then(Pace::from_event_ms)
    }

    /// Returns how the answer ended that has begun, for a response with this status; none for
    /// one without events.
    pub fn stream_result(&self, status: u16, now_ms: u64) -> Option<StreamResult> {
        if self.passed_events() == EventCount(0) {
            return None;
        }
        let is_whole = (200..300).contains(&status);
        Some(match is_whole {
            true => StreamResult::Whole,
            false if now_ms + CALLER_HEAD_START_MS >= self.deadline_ms => StreamResult::OutOfTime,
            false => StreamResult::Interrupted,
        })
    }

    /// Returns the memory of the request and of what is held of its response.
    pub fn held(&self) -> ByteCount {
        let events = self.events.partial().len();
        ByteCount(self.request.body.capacity() + self.buffered.capacity() + events)
    }

    /// Returns whether an endpoint may have run the request, or runs it.
    pub fn has_run(&self) -> bool {
        self.run_count > 0 || self.dispatch.is_some()
    }

    /// Returns whether the dispatch in progress went to a region.
    pub fn is_in_region(&self, name: &str) -> bool {
        matches!(self.destination(), Some(Destination::Region { region, .. }) if region == name)
    }

    /// Returns the destination of the dispatch in progress.
    pub fn destination(&self) -> Option<&Destination> {
        self.dispatch.as_ref().map(|dispatch| &dispatch.destination)
    }
}
