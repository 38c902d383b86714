//! Service-level burn: how fast callers' error budgets are used up.
//!
//! For each caller and objective, requests are counted as good or bad in
//! sliding windows of 5 minutes, 1 hour, 6 hours and 3 days. The burn rate is
//! the bad share divided by the share that the objective allows: at 1 the
//! budget lasts exactly as long as the window. Windows are rings of time slices,
//! so memory per caller is fixed and a window covers its length to within one
//! slice.
//!
//! A host counts its own requests. Reports of several hosts are merged by
//! adding their counts, and a merged report names the hosts that are missing.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt::Write as _, //
};

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::types::{
    CallerId,
    HostId,
    Millis, //
};

/// Most callers with their own counts; above the 740 accounts of the design.
pub const MAX_CALLERS: usize = 2_048;
/// Version of an encoded report.
const REPORT_VERSION: u8 = 1;
/// Latencies above this are counted as this.
const MAX_LATENCY_MS: u64 = 600_000;
/// One digit, an error of at most 10%, keeps a histogram at about 1 KB.
const LATENCY_DIGITS: u8 = 1;
/// A latency histogram covers between one and two of these.
const LATENCY_SPAN_MS: Millis = Millis(3_600_000);
/// Burn rate above which 2% of a 30-day budget are gone in one hour.
const PAGE_BURN: f64 = 14.4;
/// Burn rate above which the budget does not last for the longest window.
const TICKET_BURN: f64 = 1.0;

/// A sliding window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Window {
    /// Five minutes in slices of 30 seconds.
    FiveMinutes,
    /// One hour in slices of 5 minutes.
    Hour,
    /// Six hours in slices of 30 minutes.
    SixHours,
    /// Three days in slices of 4 hours.
    ThreeDays,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Its length.
    pub fn length_ms(self) -> Millis {
        Millis(self.slice_ms().0 * self.slices() as u64)
    }

    fn slice_ms(self) -> Millis {
        match self {
            Self::FiveMinutes => Millis(30_000),
            Self::Hour => Millis(300_000),
            Self::SixHours => Millis(1_800_000),
            Self::ThreeDays => Millis(14_400_000),
        }
    }

    fn slices(self) -> usize {
        match self {
            Self::FiveMinutes => 10,
            Self::Hour | Self::SixHours => 12,
            Self::ThreeDays => 18,
        }
    }

    /// Heading in a table.
    pub fn label(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }
}

/// What callers are promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The first token comes in time.
    FirstToken,
    /// The whole answer comes in time.
    WholeAnswer,
    /// There is a whole answer at all.
    Served,
}

impl Objective {
    /// All objectives.
    pub const ALL: [Self; 3] = [Self::FirstToken, Self::WholeAnswer, Self::Served];

    /// Name in a table.
    pub fn label(self) -> &'static str {
        match self {
            Self::FirstToken => "first token",
            Self::WholeAnswer => "whole answer",
            Self::Served => "served",
        }
    }
}

/// Good and bad requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that did not.
    pub bad: u64,
}

impl Tally {
    /// All requests.
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Burn rate for an objective in thousandths; nothing without requests.
    ///
    /// An objective of 1000 allows no bad request, so that any one burns
    /// infinitely fast.
    pub fn burn_rate(self, objective_permille: u16) -> Option<f64> {
        if self.total() == 0 {
            return None;
        }
        if self.bad == 0 {
            return Some(0.0);
        }
        let bad_share = self.bad as f64 / self.total() as f64;
        Some(bad_share / allowed_share(objective_permille))
    }

    fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

fn allowed_share(objective_permille: u16) -> f64 {
    f64::from(1_000 - objective_permille.min(1_000)) / 1_000.0
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the epoch, to tell stale entries.
    number: u64,
    good: u32,
    bad: u32,
}

#[derive(Debug, Clone)]
struct Ring {
    window: Window,
    slices: Box<[Slice]>,
}

impl Ring {
    fn new(window: Window) -> Self {
        Self {
            window,
            slices: vec![Slice::default(); window.slices()].into(),
        }
    }

    fn number(&self, now_ms: Millis) -> u64 {
        now_ms.0 / self.window.slice_ms().0
    }

    fn record(&mut self, now_ms: Millis, is_good: bool) {
        let number = self.number(now_ms);
        let index = number as usize % self.slices.len();
        let slice = &mut self.slices[index];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        let counter = if is_good {
            &mut slice.good
        } else {
            &mut slice.bad
        };
        *counter = counter.saturating_add(1);
    }

    fn tally(&self, now_ms: Millis) -> Tally {
        let newest = self.number(now_ms);
        let oldest = (newest + 1).saturating_sub(self.slices.len() as u64);
        let mut tally = Tally::default();
        for slice in self.slices.iter() {
            if (oldest..=newest).contains(&slice.number) {
                tally.add(Tally {
                    good: slice.good.into(),
                    bad: slice.bad.into(),
                });
            }
        }
        tally
    }
}

/// Latencies of the current and the previous span.
#[derive(Debug)]
struct Latencies {
    span: u64,
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Latencies {
    fn new() -> Self {
        Self {
            span: 0,
            current: new_histogram(),
            previous: new_histogram(),
        }
    }

    fn rotate(&mut self, now_ms: Millis) {
        let span = now_ms.0 / LATENCY_SPAN_MS.0;
        if span == self.span {
            return;
        }
        let is_next = span == self.span + 1;
        std::mem::swap(&mut self.previous, &mut self.current);
        self.current.reset();
        if !is_next {
            self.previous.reset();
        }
        self.span = span;
    }

    fn record(&mut self, now_ms: Millis, latency_ms: Millis) {
        self.rotate(now_ms);
        self.current
            .saturating_record(latency_ms.0.min(MAX_LATENCY_MS));
    }

    fn counts(&mut self, now_ms: Millis) -> LatencyCounts {
        self.rotate(now_ms);
        let mut counts = LatencyCounts::default();
        for histogram in [&self.current, &self.previous] {
            for step in histogram.iter_recorded() {
                let count = u64::from(step.count_at_value());
                *counts.0.entry(step.value_iterated_to()).or_insert(0) += count;
            }
        }
        counts
    }
}

/// A fixed range, since recording with saturation does not make a histogram
/// grow but counts every value as its current maximum.
fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS).expect("the range is valid")
}

/// How many requests had which latency; the key is the upper bound in
/// milliseconds of a histogram bucket, the same at every host.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyCounts(pub BTreeMap<u64, u64>);

impl LatencyCounts {
    /// Latency that the given share of requests did not exceed.
    pub fn quantile(&self, permille: u64) -> Option<Millis> {
        let total: u64 = self.0.values().sum();
        let wanted = (total * permille).div_ceil(1_000).max(1);
        let mut seen = 0;
        let found = self.0.iter().find(|(_, count)| {
            seen += **count;
            seen >= wanted
        });
        found.map(|(value_ms, _)| Millis(*value_ms))
    }

    fn add(&mut self, other: &Self) {
        for (value_ms, count) in &other.0 {
            *self.0.entry(*value_ms).or_insert(0) += count;
        }
    }
}

/// What a caller was promised for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Time to the first token; `None` for calls that generate no tokens.
    pub first_token_ms: Option<Millis>,
    /// Time to the whole answer.
    pub whole_ms: Millis,
    /// Share of requests that must meet the objectives, in thousandths.
    pub objective_permille: u16,
}

/// What a caller got for one request, measured from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Delivery {
    /// Time to the first token, if there was one.
    pub first_token_ms: Option<Millis>,
    /// Time to the whole answer, if it was served.
    pub whole_ms: Option<Millis>,
}

#[derive(Debug)]
struct CallerCounts {
    objective_permille: u16,
    last_ms: Millis,
    rings: Vec<Ring>,
    first_token: Latencies,
    whole: Latencies,
}

impl CallerCounts {
    fn new() -> Self {
        let windows = Objective::ALL.iter().flat_map(|_| Window::ALL);
        Self {
            objective_permille: 0,
            last_ms: Millis(0),
            rings: windows.map(Ring::new).collect(),
            first_token: Latencies::new(),
            whole: Latencies::new(),
        }
    }

    fn rings(&self, objective: Objective) -> &[Ring] {
        let start = objective as usize * Window::ALL.len();
        &self.rings[start..start + Window::ALL.len()]
    }

    fn record(&mut self, now_ms: Millis, objective: Objective, is_good: bool) {
        let start = objective as usize * Window::ALL.len();
        for ring in &mut self.rings[start..start + Window::ALL.len()] {
            ring.record(now_ms, is_good);
        }
    }
}

/// Counts of one host.
#[derive(Debug)]
pub struct Burn {
    host: HostId,
    callers: BTreeMap<CallerId, CallerCounts>,
    dropped: u64,
}

impl Burn {
    /// Nothing counted yet.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            callers: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Counts one request that ended, also one that was refused.
    ///
    /// Requests that failed through the caller's fault, such as one that went
    /// away, do not belong here.
    pub fn record(
        &mut self,
        now_ms: Millis,
        caller: &CallerId,
        promise: &Promise,
        delivery: &Delivery,
    ) {
        if !self.make_room(now_ms, caller) {
            self.dropped += 1;
            return;
        }
        let counts = self
            .callers
            .entry(caller.clone())
            .or_insert_with(CallerCounts::new);
        counts.objective_permille = promise.objective_permille;
        counts.last_ms = now_ms;
        if let Some(limit_ms) = promise.first_token_ms {
            let is_good = delivery.first_token_ms.is_some_and(|ms| ms <= limit_ms);
            counts.record(now_ms, Objective::FirstToken, is_good);
        }
        let is_in_time = delivery.whole_ms.is_some_and(|ms| ms <= promise.whole_ms);
        counts.record(now_ms, Objective::WholeAnswer, is_in_time);
        counts.record(now_ms, Objective::Served, delivery.whole_ms.is_some());
        if let Some(latency_ms) = delivery.first_token_ms {
            counts.first_token.record(now_ms, latency_ms);
        }
        if let Some(latency_ms) = delivery.whole_ms {
            counts.whole.record(now_ms, latency_ms);
        }
    }

    /// Forgets callers without requests in the longest window if need be.
    fn make_room(&mut self, now_ms: Millis, caller: &CallerId) -> bool {
        if self.callers.len() < MAX_CALLERS || self.callers.contains_key(caller) {
            return true;
        }
        let keep_ms = Window::ThreeDays.length_ms();
        self.callers
            .retain(|_, counts| now_ms - counts.last_ms <= keep_ms);
        self.callers.len() < MAX_CALLERS
    }

    /// What was counted up to now.
    pub fn report(&mut self, now_ms: Millis) -> BurnReport {
        let mut callers = BTreeMap::new();
        for (caller, counts) in &mut self.callers {
            let mut tallies = BTreeMap::new();
            for objective in Objective::ALL {
                let rings = counts.rings(objective).iter();
                let by_window = rings.map(|ring| (ring.window, ring.tally(now_ms)));
                tallies.insert(objective, by_window.collect());
            }
            let burn = CallerBurn {
                objective_permille: counts.objective_permille,
                recorded_ms: counts.last_ms,
                tallies,
                first_token: counts.first_token.counts(now_ms),
                whole: counts.whole.counts(now_ms),
            };
            callers.insert(caller.clone(), burn);
        }
        BurnReport {
            hosts: BTreeSet::from([self.host.clone()]),
            missing: BTreeSet::new(),
            dropped: self.dropped,
            callers,
        }
    }
}

/// Why an encoded report was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReportError {
    /// Another version wrote it.
    #[error("burn report version {0} is not supported: expected {REPORT_VERSION}")]
    BadVersion(u8),
    /// The bytes are not a report.
    #[error("burn report is malformed")]
    Malformed,
}

/// Counts of one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerBurn {
    /// Share of requests that must meet the objectives, in thousandths, as of
    /// the latest request.
    pub objective_permille: u16,
    /// When the latest request was counted.
    pub recorded_ms: Millis,
    /// Requests by objective and window.
    pub tallies: BTreeMap<Objective, BTreeMap<Window, Tally>>,
    /// Times to the first token in the last one to two hours.
    pub first_token: LatencyCounts,
    /// Times to the whole answer in the last one to two hours.
    pub whole: LatencyCounts,
}

/// How urgently operators should look at an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// The budget lasts.
    None,
    /// The budget will not last for three days.
    Ticket,
    /// The budget is being used up within hours.
    Page,
}

impl Alert {
    /// Name in a table.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "-",
            Self::Ticket => "ticket",
            Self::Page => "page",
        }
    }
}

impl CallerBurn {
    /// Requests in one window.
    pub fn tally(&self, objective: Objective, window: Window) -> Tally {
        let by_window = self.tallies.get(&objective);
        by_window
            .and_then(|by_window| by_window.get(&window))
            .copied()
            .unwrap_or_default()
    }

    /// Burn rate in one window; nothing without requests.
    pub fn burn_rate(&self, objective: Objective, window: Window) -> Option<f64> {
        self.tally(objective, window)
            .burn_rate(self.objective_permille)
    }

    /// Share of the three-day error budget that is left; negative once more is
    /// used than there was, nothing without requests.
    pub fn budget_left(&self, objective: Objective) -> Option<f64> {
        self.burn_rate(objective, Window::ThreeDays)
            .map(|rate| 1.0 - rate)
    }

    /// Both a short and a long window must burn, so that an alert is neither
    /// raised by a few requests nor kept up after the cause is gone.
    pub fn alert(&self, objective: Objective) -> Alert {
        let burns = |window, limit| {
            let rate = self.burn_rate(objective, window);
            rate.is_some_and(|rate| rate > limit)
        };
        if burns(Window::Hour, PAGE_BURN) && burns(Window::FiveMinutes, PAGE_BURN) {
            return Alert::Page;
        }
        if burns(Window::ThreeDays, TICKET_BURN) && burns(Window::SixHours, TICKET_BURN) {
            return Alert::Ticket;
        }
        Alert::None
    }

    fn add(&mut self, other: &Self) {
        if other.recorded_ms > self.recorded_ms {
            self.recorded_ms = other.recorded_ms;
            self.objective_permille = other.objective_permille;
        }
        for (objective, by_window) in &other.tallies {
            let own = self.tallies.entry(*objective).or_default();
            for (window, tally) in by_window {
                own.entry(*window).or_default().add(*tally);
            }
        }
        self.first_token.add(&other.first_token);
        self.whole.add(&other.whole);
    }
}

/// Counts of one or several hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BurnReport {
    /// Hosts whose counts are in here.
    pub hosts: BTreeSet<HostId>,
    /// Hosts that did not report.
    pub missing: BTreeSet<HostId>,
    /// Requests that were not counted because of too many callers.
    pub dropped: u64,
    /// Counts by caller.
    pub callers: BTreeMap<CallerId, CallerBurn>,
}

impl BurnReport {
    /// Nothing counted at any host.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with a host that did not report, unless its counts are in here.
    pub fn with_missing(mut self, host: HostId) -> Self {
        if !self.hosts.contains(&host) {
            self.missing.insert(host);
        }
        self
    }

    /// Adds the counts of other hosts; false if they are already in here.
    pub fn merge(&mut self, other: &Self) -> bool {
        if !self.hosts.is_disjoint(&other.hosts) {
            return false;
        }
        self.hosts.extend(other.hosts.iter().cloned());
        self.missing.extend(other.missing.iter().cloned());
        let hosts = &self.hosts;
        self.missing.retain(|host| !hosts.contains(host));
        self.dropped = self.dropped.saturating_add(other.dropped);
        for (caller, burn) in &other.callers {
            match self.callers.get_mut(caller) {
                Some(own) => own.add(burn),
                None => {
                    self.callers.insert(caller.clone(), burn.clone());
                }
            }
        }
        true
    }

    /// Encodes the report for another host.
    pub fn encode(&self) -> Result<Vec<u8>, ReportError> {
        postcard::to_extend(self, vec![REPORT_VERSION]).map_err(|_| ReportError::Malformed)
    }

    /// Decodes the report of another host.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let (&version, body) = bytes.split_first().ok_or(ReportError::Malformed)?;
        if version != REPORT_VERSION {
            return Err(ReportError::BadVersion(version));
        }
        match postcard::take_from_bytes(body) {
            Ok((report, [])) => Ok(report),
            _ => Err(ReportError::Malformed),
        }
    }

    /// The rows of a table, worst alert first.
    pub fn rows(&self) -> Vec<BurnRow> {
        let callers = self.callers.iter();
        let mut rows: Vec<BurnRow> = callers
            .flat_map(|(caller, burn)| {
                let objectives = Objective::ALL.into_iter();
                objectives.map(|objective| BurnRow::new(caller, burn, objective))
            })
            .filter(|row| row.requests > 0)
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.alert));
        rows
    }

    /// The report as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "hosts": self.hosts,
            "missing": self.missing,
            "dropped": self.dropped,
            "rows": self.rows(),
        })
    }

    /// The report as a table for operators.
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        let headings = Window::ALL.map(|window| format!("burn {}", window.label()));
        let _ = writeln!(
            text,
            "{:<20} {:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>8}  alert",
            "caller",
            "objective",
            headings[0],
            headings[1],
            headings[2],
            headings[3],
            "budget",
            "requests",
            "p50 ms",
            "p99 ms",
        );
        for row in self.rows() {
            row.write(&mut text);
        }
        let _ = writeln!(text, "hosts: {}", self.hosts.len());
        for host in &self.missing {
            let _ = writeln!(text, "missing: {host}");
        }
        if self.dropped > 0 {
            let _ = writeln!(text, "not counted: {} requests", self.dropped);
        }
        text
    }
}

/// One caller and objective, as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnRow {
    /// The caller.
    pub caller: CallerId,
    /// The objective.
    pub objective: Objective,
    /// Share of requests that must meet it, in thousandths.
    pub objective_permille: u16,
    /// Burn rate by window, shortest first; missing without requests, and in
    /// JSON also when it is infinite.
    pub burn_rates: [Option<f64>; 4],
    /// Share of the three-day error budget that is left.
    pub budget_left: Option<f64>,
    /// Requests in the longest window.
    pub requests: u64,
    /// Bad requests in the longest window.
    pub bad_requests: u64,
    /// Median latency, where the objective has one.
    pub p50_ms: Option<Millis>,
    /// 99th percentile of the latency, where the objective has one.
    pub p99_ms: Option<Millis>,
    /// How urgent it is.
    pub alert: Alert,
}

impl BurnRow {
    fn new(caller: &CallerId, burn: &CallerBurn, objective: Objective) -> Self {
        let longest = burn.tally(objective, Window::ThreeDays);
        let latencies = match objective {
            Objective::FirstToken => Some(&burn.first_token),
            Objective::WholeAnswer => Some(&burn.whole),
            Objective::Served => None,
        };
        Self {
            caller: caller.clone(),
            objective,
            objective_permille: burn.objective_permille,
            burn_rates: Window::ALL.map(|window| burn.burn_rate(objective, window)),
            budget_left: burn.budget_left(objective),
            requests: longest.total(),
            bad_requests: longest.bad,
            p50_ms: latencies.and_then(|counts| counts.quantile(500)),
            p99_ms: latencies.and_then(|counts| counts.quantile(990)),
            alert: burn.alert(objective),
        }
    }

    fn write(&self, text: &mut String) {
        let rates = self.burn_rates.map(format_rate);
        let budget = self.budget_left.map_or_else(no_value, format_share);
        let latency = |value: Option<Millis>| value.map_or_else(no_value, format_millis);
        let _ = writeln!(
            text,
            "{:<20} {:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>8}  {}",
            self.caller.as_str(),
            self.objective.label(),
            rates[0],
            rates[1],
            rates[2],
            rates[3],
            budget,
            self.requests,
            latency(self.p50_ms),
            latency(self.p99_ms),
            self.alert.label(),
        );
    }
}

fn no_value() -> CompactString {
    CompactString::const_new("-")
}

fn format_rate(rate: Option<f64>) -> CompactString {
    rate.map_or_else(no_value, |rate| compact_str::format_compact!("{rate:.2}"))
}

fn format_share(share: f64) -> CompactString {
    compact_str::format_compact!("{:.1}%", share * 100.0)
}

fn format_millis(value: Millis) -> CompactString {
    compact_str::format_compact!("{}", value.0)
}
