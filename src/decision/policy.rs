//! All parameters of the decisions, with units and defaults.
//!
//! The speeds describe a typical replica of a mid-size model. They only have to
//! be right relative to each other: the queue wait is learned from attempts
//! that have ended, see [`Predictor`](super::predict::Predictor). Parameters named
//! `away_*` control the forwarding of requests to other regions.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::types::{
    CostMicros,
    Millis,
    ParseError,
    Tokens, //
};

/// How endpoints and regions are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// Predicted completion, prefix affinity and bounded load.
    #[default]
    Adaptive,
    /// Baseline: a random allowed region, weighted by slots, then a random endpoint
    /// in it.
    Random,
    /// Baseline: round robin over the allowed regions, then over their endpoints.
    RoundRobin,
    /// Baseline: the region, then the endpoint, with the lowest reported load.
    LeastReported,
    /// Baseline: like `Adaptive`, but never forwards to another region.
    HomeOnly,
}

impl Routing {
    /// Whether choices are based on predictions. Other routing neither queues
    /// requests nor checks predictions against deadlines before it sends.
    pub fn is_predictive(self) -> bool {
        matches!(self, Self::Adaptive | Self::HomeOnly)
    }
}

/// What an installation optimises for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weight {
    /// A request is forwarded to another region only if the local region cannot
    /// serve it in time, since its prefix is not cached there.
    Cost,
    /// A request is also forwarded to a region that finishes it earlier.
    #[default]
    Latency,
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cost => "cost",
            Self::Latency => "latency",
        })
    }
}

impl FromStr for Weight {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "cost" => Ok(Self::Cost),
            "latency" => Ok(Self::Latency),
            _ => Err(ParseError::new("weight", text, "cost or latency")),
        }
    }
}

/// Parameters of all decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How endpoints and regions are chosen.
    pub routing: Routing,

    /// Prompt tokens that one endpoint prefills per second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens without the part that each request of the batch
    /// adds, in microseconds.
    pub decode_base_us: u32,
    /// Time between two tokens that each request of the batch adds, in
    /// microseconds.
    pub decode_per_request_us: u32,
    /// Initial estimate of a service's run time.
    pub service_call_ms: Millis,
    /// Initial estimate of a model's response length.
    pub output: Tokens,
    /// Weight of the newest sample in the moving averages, in thousandths.
    pub learn_permille: u16,
    /// Prompt tokens that each prefix hash covers beyond the one before it.
    pub prefix_block: Tokens,
    /// Prefix hashes remembered for each endpoint; 512 take about 20 KiB.
    pub prefix_memory: usize,
    /// Leading blocks whose hash selects the endpoint of a prompt that is cached
    /// nowhere. Turns of a conversation share them; later blocks differ by turn.
    pub affinity_blocks: usize,
    /// Longest wait for a full endpoint that has the prefix cached.
    pub affinity_wait_ms: Millis,
    /// Minimum number of blocks that a full endpoint must have cached beyond any
    /// available one for a request to wait for it.
    pub affinity_wait_blocks: usize,

    /// Age at which a load report has no weight any more.
    pub report_max_age_ms: Millis,
    /// Requests that each other host of the region is assumed to have sent to an
    /// endpoint for each request of this host since a report, in thousandths. At
    /// 500 with eight hosts, one request of a conversation raised the estimated
    /// load so much that the next one went to an endpoint with a cold cache.
    pub peer_send_permille: u16,
    /// Endpoints whose predicted completion exceeds the best one by at most this
    /// share of it, in thousandths, count as equal.
    pub near_equal_permille: u16,
    /// Endpoints whose predicted completion is within this time of the best one
    /// always count as equal, so that short calls are spread too.
    pub near_equal_ms: Millis,
    /// Load up to which prefix affinity applies, in thousandths of the mean.
    pub bounded_load_permille: u16,
    /// Requests beyond that bound up to which prefix affinity applies; without them
    /// there would be no affinity in an idle region.
    pub affinity_slack: u16,
    /// How long other endpoints are preferred to one that has failed or refused a
    /// request; doubles with each consecutive failure.
    pub endpoint_avoid_ms: Millis,
    /// How long the state of an endpoint without requests is kept after it has
    /// disappeared from the list. Covers a list that shows old states out of order.
    pub endpoint_forget_ms: Millis,

    /// Age of the newest heartbeat at which a host gets no new requests.
    pub host_live_ms: Millis,
    /// Age of the newest heartbeat at which the state of a host is dropped.
    pub host_forget_ms: Millis,
    /// Age at which a region's summary is ignored.
    pub summary_max_age_ms: Millis,
    /// How long a host gets no forwarded requests after it was unreachable or
    /// refused one because it is leaving.
    pub host_avoid_ms: Millis,

    /// Time by which another region must finish a request earlier to be chosen
    /// instead of the local region.
    pub away_margin_ms: Millis,
    /// The same while another region was the better choice for the last request;
    /// lower than `away_margin_ms`, so that a small change does not bring all
    /// requests back to the local region.
    pub away_stay_ms: Millis,
    /// Maximum share of recent requests forwarded although the local region could
    /// serve them in time, in thousandths.
    pub away_cap_permille: u16,
    /// The same if the local region cannot serve them in time.
    pub away_forced_cap_permille: u16,
    /// Half-life of the counts of recent and of forwarded requests.
    pub away_half_life_ms: Millis,
    /// Share of another region's free slots that all hosts of this region together
    /// may use between two of its summaries, in thousandths.
    pub away_free_permille: u16,
    /// Share of a link's bandwidth that requests may use, in thousandths.
    pub link_permille: u16,
    /// Assumed slots of an endpoint if this host knows none for the target.
    pub default_slots: u32,
    /// Time over which a region that recovers reaches its full share of requests.
    pub ramp_ms: Millis,
    /// Share that it gets at once, in thousandths.
    pub ramp_start_permille: u16,
    /// Bytes between regions per token of a response: one server-sent event.
    pub answer_bytes_per_token: u32,

    /// Maximum number of queued requests that are tried when an endpoint may have
    /// become available.
    pub release_scan: usize,
    /// Maximum number of queued requests on this host.
    pub max_queue_len: usize,
    /// Longest predicted wait at which a request is still queued.
    pub max_queue_wait_ms: Millis,
    /// Default time after which callers should retry.
    pub retry_after_ms: Millis,
    /// How long a cancelled attempt may take to end before it is given up.
    pub cancel_wait_ms: Millis,

    /// Retries earned by each request, in thousandths.
    pub retry_permille: u16,
    /// Maximum retry budget, and its initial value.
    pub retry_burst: u16,
    /// Maximum number of attempts of one request, without those of
    /// `max_untaken_attempts`.
    pub max_attempts: u16,
    /// Maximum number of further attempts that a leaving endpoint or host refused, or
    /// that could not be sent to another region.
    pub max_untaken_attempts: u16,
    /// Upper bound of the delay before the first retry; doubles with each further
    /// retry.
    pub retry_base_ms: Millis,
    /// Retries with a delay up to this start at once instead of at a later tick.
    pub retry_now_ms: Millis,

    /// Period of spending that one grant covers.
    pub grant_cover_ms: Millis,
    /// Share of a grant below which the next one is requested, in thousandths.
    pub grant_low_permille: u16,
    /// Smallest amount requested.
    pub grant_min: CostMicros,
    /// Largest amount requested, in thousandths of the budget.
    pub grant_max_permille: u16,
    /// Time after which a grant request is retried if it failed or got no reply.
    pub grant_retry_ms: Millis,
    /// Longest wait of a request for a grant.
    pub grant_wait_ms: Millis,
    /// What one instance of this host may spend of each budget while grants are
    /// unavailable, in thousandths. Nine hosts together stay below a tenth.
    pub outage_permille: u16,

    /// Requests in progress above which a host is overloaded, in thousandths of the
    /// mean of its region.
    pub overload_permille: u16,
    /// The same for a host that is already overloaded.
    pub recover_permille: u16,
    /// Requests in progress below which no host is overloaded.
    pub overload_min_requests: u32,
    /// How long callers should use a list of entry hosts.
    pub entry_use_ms: Millis,
    /// The same while the list is short or its first host is overloaded.
    pub entry_short_use_ms: Millis,
}

impl Policy {
    /// Returns the default parameters for an installation.
    pub fn new(weight: Weight) -> Self {
        let policy = Self::default();
        match weight {
            Weight::Latency => policy,
            Weight::Cost => Self {
                away_cap_permille: 0,
                affinity_slack: 4,
                ..policy
            },
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: Routing::Adaptive,
            prefill_tokens_per_s: 8_000,
            decode_base_us: 10_000,
            decode_per_request_us: 250,
            service_call_ms: Millis(50),
            output: Tokens(200),
            learn_permille: 50,
            prefix_block: Tokens(256),
            prefix_memory: 512,
            affinity_blocks: 2,
            affinity_wait_ms: Millis(3_000),
            affinity_wait_blocks: 4,
            report_max_age_ms: Millis(5_000),
            peer_send_permille: 150,
            near_equal_permille: 100,
            near_equal_ms: Millis(20),
            bounded_load_permille: 1_250,
            affinity_slack: 2,
            endpoint_avoid_ms: Millis(1_000),
            endpoint_forget_ms: Millis(600_000),
            host_live_ms: Millis(2_000),
            host_forget_ms: Millis(10_000),
            summary_max_age_ms: Millis(3_000),
            host_avoid_ms: Millis(2_000),
            away_margin_ms: Millis(500),
            away_stay_ms: Millis(200),
            away_cap_permille: 300,
            away_forced_cap_permille: 1_000,
            away_half_life_ms: Millis(10_000),
            away_free_permille: 500,
            link_permille: 800,
            default_slots: 16,
            ramp_ms: Millis(60_000),
            ramp_start_permille: 100,
            answer_bytes_per_token: 200,
            release_scan: 16,
            max_queue_len: 1_024,
            max_queue_wait_ms: Millis(30_000),
            retry_after_ms: Millis(1_000),
            cancel_wait_ms: Millis(10_000),
            retry_permille: 100,
            retry_burst: 10,
            max_attempts: 3,
            max_untaken_attempts: 5,
            retry_base_ms: Millis(50),
            retry_now_ms: Millis(5),
            grant_cover_ms: Millis(300_000),
            grant_low_permille: 200,
            grant_min: CostMicros(100_000),
            grant_max_permille: 50,
            grant_retry_ms: Millis(5_000),
            grant_wait_ms: Millis(2_000),
            outage_permille: 10,
            overload_permille: 1_500,
            recover_permille: 1_200,
            overload_min_requests: 16,
            entry_use_ms: Millis(30_000),
            entry_short_use_ms: Millis(5_000),
        }
    }
}

/// Converts thousandths to a fraction.
pub(super) fn fraction(permille: u16) -> f64 {
    f64::from(permille) / 1_000.0
}
