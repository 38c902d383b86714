//! Every number that steers the decisions, with its unit and default.
//!
//! The speeds describe a typical replica of a mid-size model. They only have to
//! be right relative to each other: the queue wait is learned from attempts
//! that have ended, see [`Predictor`](super::predict::Predictor).

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
    /// Prediction, prefix affinity and bounded load.
    #[default]
    Adaptive,
    /// Baseline: any allowed region by its slots, then any endpoint in it.
    Random,
    /// Baseline: allowed regions in turn, then their endpoints in turn.
    RoundRobin,
    /// Baseline: the region, then the endpoint, with the lowest reported load.
    LeastReported,
    /// Baseline: as `Adaptive`, but never in another region.
    HomeOnly,
}

impl Routing {
    /// Whether predictions decide; the other baselines never queue or look at
    /// deadlines before they send.
    pub fn is_predictive(self) -> bool {
        matches!(self, Self::Adaptive | Self::HomeOnly)
    }
}

/// What an installation weighs most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weight {
    /// A request goes to another region only if home cannot serve it in time,
    /// since it starts there with a cold cache.
    Cost,
    /// A request also goes to another region that finishes it earlier.
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
    /// Time between two tokens in a batch of none, in microseconds.
    pub decode_base_us: u32,
    /// Time that each request of a batch adds to it, in microseconds.
    pub decode_per_request_us: u32,
    /// Run time of a service call before one has been seen.
    pub service_call_ms: Millis,
    /// Answer length of a model before one has been seen.
    pub output: Tokens,
    /// Weight of the newest sample in the learned averages, in thousandths.
    pub learn_permille: u16,
    /// Prompt tokens that each prefix hash covers beyond the one before it.
    pub prefix_block: Tokens,
    /// Prefix hashes remembered for each endpoint; 512 take about 20 KiB.
    pub prefix_memory: usize,
    /// Leading blocks that decide the endpoint of a prompt nobody has cached.
    /// Turns of a conversation share these; deeper blocks differ by turn.
    pub affinity_blocks: usize,
    /// Longest wait for a full endpoint that has the prompt cached.
    pub affinity_wait_ms: Millis,
    /// Cached blocks that it must have beyond all endpoints with room.
    pub affinity_wait_blocks: usize,

    /// Age at which a load report has lost all weight.
    pub report_max_age_ms: Millis,
    /// Sends that each other host of the region is assumed to have made for
    /// each send of this host since a report, in thousandths. At 500 and eight
    /// hosts, one request of a conversation drove the next to a cold cache.
    pub peer_send_permille: u16,
    /// Endpoints whose predicted completion is this much later than the best
    /// one, in thousandths of it, count as equal.
    pub near_equal_permille: u16,
    /// The least difference that counts, so that short calls spread too.
    pub near_equal_ms: Millis,
    /// Load relative to the mean up to which affinity holds, in thousandths.
    pub bounded_load_permille: u16,
    /// Requests beyond that bound up to which affinity holds, without which an
    /// idle region would have none.
    pub affinity_slack: u16,
    /// How long an endpoint that has failed or refused a request is chosen last;
    /// doubles with each failure in a row.
    pub endpoint_avoid_ms: Millis,
    /// How long an endpoint without requests is kept after it left the list.
    /// Covers a list that shows old states out of order.
    pub endpoint_forget_ms: Millis,

    /// Age at which a host gets no more forwarded requests.
    pub host_live_ms: Millis,
    /// Age at which a host is forgotten.
    pub host_forget_ms: Millis,
    /// Age at which a region's summary is ignored.
    pub summary_max_age_ms: Millis,
    /// How long a host that could not be reached, or refused because it is
    /// leaving, gets no forwarded requests.
    pub host_avoid_ms: Millis,

    /// Earlier completion that justifies going to another region.
    pub away_margin_ms: Millis,
    /// Earlier completion that justifies staying with that choice; lower than
    /// `away_margin_ms`, so that a small change does not bring all back.
    pub away_stay_ms: Millis,
    /// Most recent requests sent away when home could serve them, in
    /// thousandths.
    pub away_cap_permille: u16,
    /// The same when home cannot serve them in time.
    pub away_forced_cap_permille: u16,
    /// Time in which the memory of requests sent away halves.
    pub away_half_life_ms: Millis,
    /// Share of another region's free slots that all hosts of this region may
    /// use between two summaries, in thousandths.
    pub away_free_permille: u16,
    /// Share of a link that requests may use, in thousandths.
    pub link_permille: u16,
    /// Slots of an endpoint where this host knows none for the target.
    pub default_slots: u32,
    /// Time over which a region that returns is given its full share.
    pub ramp_ms: Millis,
    /// Share that it is given at once, in thousandths.
    pub ramp_start_permille: u16,
    /// Bytes between regions for each token of an answer: one server-sent event.
    pub answer_bytes_per_token: u32,

    /// Waiting requests that are tried when an endpoint may have room.
    pub release_scan: usize,
    /// Most requests that wait at this host.
    pub max_queue_len: usize,
    /// Longest predicted wait with which a request is queued.
    pub max_queue_wait_ms: Millis,
    /// Wait told to callers when nothing better is known.
    pub retry_after_ms: Millis,
    /// How long a cancelled attempt may take to end before it is written off.
    pub cancel_wait_ms: Millis,

    /// Retries earned by each request, in thousandths.
    pub retry_permille: u16,
    /// Retries that can be saved up, and that a new host has.
    pub retry_burst: u16,
    /// Most attempts of one request.
    pub max_attempts: u16,
    /// Upper end of the delay before the first retry; doubles for each more.
    pub retry_base_ms: Millis,
    /// Delays up to this are not worth waiting for a tick.
    pub retry_now_ms: Millis,

    /// Demand that one grant covers.
    pub grant_cover_ms: Millis,
    /// Share of a grant below which the next one is asked for, in thousandths.
    pub grant_low_permille: u16,
    /// Smallest amount asked for.
    pub grant_min: CostMicros,
    /// Largest amount asked for, in thousandths of the budget.
    pub grant_max_permille: u16,
    /// Time after which an unanswered or failed request for a grant is repeated.
    pub grant_retry_ms: Millis,
    /// Longest wait of a request for a grant.
    pub grant_wait_ms: Millis,
    /// What one run of this host may spend of each budget while grants are
    /// unavailable, in thousandths. Nine hosts together stay below a tenth.
    pub outage_permille: u16,

    /// Requests above the mean, in thousandths of it, that make a host
    /// overloaded.
    pub overload_permille: u16,
    /// The same for an overloaded host to recover.
    pub recover_permille: u16,
    /// Requests below which no host is overloaded.
    pub overload_min_requests: u32,
    /// How long callers use a list of entry hosts.
    pub entry_use_ms: Millis,
    /// The same while the list is short or its first host is overloaded.
    pub entry_short_use_ms: Millis,
}

impl Policy {
    /// The parameters for an installation.
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

/// `permille` as a factor.
pub(super) fn fraction(permille: u16) -> f64 {
    f64::from(permille) / 1_000.0
}
