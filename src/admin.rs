//! Operators' HTTP interface.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /admin/v1/plan` | intent file | [`PlanAnswer`] |
//! | `POST /admin/v1/confirm` | [`Plan`] as JSON | [`Confirmed`] |
//! | `GET /admin/v1/history` | | the last [`Change`]s, newest first |
//! | `GET /admin/v1/status` | | [`Status`] |
//! | `GET /admin/v1/burn` | | [`BurnAnswer`] |
//!
//! Every call needs the operator key as a bearer token. Errors have the body
//! [`AdminError`]. What the interface shows of its host comes in as closures, so
//! that it holds no lock of another thread.

use std::{
    fmt,
    io::{
        self,
        Read, //
    },
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use oxhttp::{
    ListeningServer,
    Server,
    model::{
        Body,
        Method,
        Request,
        Response,
        StatusCode,
        header::{
            AUTHORIZATION,
            CONTENT_TYPE,
            RETRY_AFTER, //
        }, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::{
    burn::BurnReport,
    clock,
    consul::{
        KeyValue,
        PlatformError, //
    },
    ini_file::IniError,
    intent::{
        Change,
        ChangeId,
        Intents,
        ObjectName,
        parse_sha256, //
    },
    intent_file,
    plan::{
        Plan,
        PlanRules,
        Refused,
        Violation, //
    },
    rollout::{
        self,
        Accepted,
        Acceptor,
        RolloutError, //
    },
    types::{
        HostId,
        Incarnation,
        Millis,
        ParseError,
        RegionId,
        Revision,
        Target, //
    }, //
};

/// Longest wait for the regions; the target for all of them is 4 s.
pub const IN_FORCE_WAIT: Duration = Duration::from_secs(4);

/// Interval at which the regions are looked at.
const IN_FORCE_POLL: Duration = Duration::from_millis(20);
/// A plan with 740 callers before and after has about 1 MB.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Bound on connections, which are few because only operators call.
const MAX_CONNECTIONS: usize = 16;
/// Time without a byte after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Suggested pause after an outage of the key-value service.
const RETRY_AFTER_S: &str = "2";

/// A value that another thread keeps up to date.
pub type Source<Value> = Arc<dyn Fn() -> Value + Send + Sync>;

/// SHA-256 of the key that operators present.
#[derive(Clone, Copy)]
pub struct OperatorKey {
    digest: [u8; 32],
}

impl OperatorKey {
    /// The digest of a key in plain text.
    pub fn new(key: &[u8]) -> Self {
        Self {
            digest: Sha256::digest(key).into(),
        }
    }

    /// Compares digests in constant time, so that timing tells nothing of the key.
    fn matches(&self, key: &[u8]) -> bool {
        let presented = Self::new(key);
        self.digest.ct_eq(&presented.digest).into()
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey")
    }
}

impl FromStr for OperatorKey {
    type Err = ParseError;

    /// Parses the digest, 64 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("operator key digest", text, "64 hexadecimal digits");
        let digest = parse_sha256(text).ok_or_else(error)?;
        Ok(Self { digest })
    }
}

/// What this host knows of one region's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionState {
    /// The region.
    pub region: RegionId,
    /// Lowest revision at its live hosts; none if it cannot be reached.
    pub lowest_revision: Option<Revision>,
}

/// A host as this host knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Revision that it has in force.
    pub revision: Revision,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Time since it was last heard.
    pub heard_ago_ms: Millis,
}

/// Endpoints of one target in one region, as this host knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: Target,
    /// The region.
    pub region: RegionId,
    /// Endpoints that take work.
    pub live: u32,
    /// Endpoints that take no new work.
    pub leaving: u32,
    /// Requests that the live ones run at the same time.
    pub slots: u32,
    /// Requests that they run or hold.
    pub busy: u32,
}

/// What a host shows of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: HostId,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Revision in force.
    pub revision: Revision,
    /// Whether it has a configuration and serves callers.
    pub is_ready: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Requests in progress.
    pub open_requests: u32,
    /// Time since the key-value service last responded; none if it never did.
    pub platform_ago_ms: Option<Millis>,
    /// All regions.
    pub regions: Vec<RegionState>,
    /// Hosts that have been heard.
    pub hosts: Vec<HostStatus>,
    /// Endpoints by target and region.
    pub targets: Vec<TargetStatus>,
}

/// Answer of `GET /admin/v1/burn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// Service-level burn of all callers, merged from all hosts in reach.
    pub report: serde_json::Value,
    /// The report as a table.
    pub table: String,
}

/// Answer of `POST /admin/v1/plan`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAnswer {
    /// The plan, to be confirmed as it is.
    pub plan: Plan,
    /// The plan in words.
    pub text: String,
}

/// How far a change has come in one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegionOutcome {
    /// In force at every live host of the region.
    InForce {
        /// Time since the change was accepted.
        after_ms: Millis,
    },
    /// Not in force at every live host when the wait ended.
    Behind {
        /// Lowest revision at its live hosts.
        revision: Revision,
    },
    /// The region cannot be reached from this host.
    Unreachable,
}

/// One region's part of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionResult {
    /// The region.
    pub region: RegionId,
    /// How far the change has come.
    pub outcome: RegionOutcome,
}

/// Answer of `POST /admin/v1/confirm`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The accepted change.
    pub accepted: Accepted,
    /// All regions.
    pub regions: Vec<RegionResult>,
}

/// What kind of error a call ended with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminErrorKind {
    /// The operator key is missing or wrong.
    Unauthorized,
    /// The path does not exist.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The body cannot be read or parsed.
    InvalidBody,
    /// The plan breaks residency, the fee or another rule.
    Refused,
    /// An object has changed, or may have changed, since the plan was made.
    Conflict,
    /// The key-value service cannot be used; nothing was changed.
    Unavailable,
    /// The change may have been accepted; confirming it again tells.
    Unknown,
}

impl AdminErrorKind {
    fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::InvalidBody => StatusCode::BAD_REQUEST,
            Self::Refused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Conflict => StatusCode::CONFLICT,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The change that a plan conflicts with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictingChange {
    /// The object that both change.
    pub object: ObjectName,
    /// The accepted change.
    pub by_change: ChangeId,
    /// Its revision.
    pub revision: Revision,
}

/// Body of an error.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{message}")]
pub struct AdminError {
    /// What kind of error it is.
    pub kind: AdminErrorKind,
    /// The error in words.
    pub message: String,
    /// Why a plan was refused.
    #[serde(default)]
    pub violations: Vec<Violation>,
    /// What a plan conflicts with.
    #[serde(default)]
    pub conflict: Option<Box<ConflictingChange>>,
}

impl AdminError {
    fn new(kind: AdminErrorKind, message: String) -> Self {
        Self {
            kind,
            message,
            violations: Vec::new(),
            conflict: None,
        }
    }
}

impl From<IniError> for AdminError {
    fn from(error: IniError) -> Self {
        Self::new(AdminErrorKind::InvalidBody, error.to_string())
    }
}

impl From<PlatformError> for AdminError {
    fn from(error: PlatformError) -> Self {
        Self::new(AdminErrorKind::Unavailable, error.to_string())
    }
}

impl From<Refused> for AdminError {
    fn from(refused: Refused) -> Self {
        let mut error = Self::new(AdminErrorKind::Refused, refused.to_string());
        error.violations = refused.violations;
        error
    }
}

impl From<RolloutError> for AdminError {
    fn from(error: RolloutError) -> Self {
        let message = error.to_string();
        match error {
            RolloutError::Refused(refused) => refused.into(),
            RolloutError::Conflict {
                object,
                by_change,
                revision,
            } => {
                let mut error = Self::new(AdminErrorKind::Conflict, message);
                error.conflict = Some(Box::new(ConflictingChange {
                    object,
                    by_change,
                    revision,
                }));
                error
            }
            RolloutError::Expired { .. } => Self::new(AdminErrorKind::Conflict, message),
            RolloutError::TooLarge { .. } => Self::new(AdminErrorKind::Refused, message),
            RolloutError::Unknown { .. } => Self::new(AdminErrorKind::Unknown, message),
            RolloutError::Platform(_)
            | RolloutError::InvalidState { .. }
            | RolloutError::Older { .. }
            | RolloutError::Contended { .. } => Self::new(AdminErrorKind::Unavailable, message),
        }
    }
}

/// What the interface needs of its host.
#[derive(Clone)]
pub struct Admin {
    /// Key that operators present.
    pub operator_key: OperatorKey,
    /// Client of the key-value service.
    pub kv: KeyValue,
    /// Rules for the checks of a plan.
    pub rules: PlanRules,
    /// Longest wait for the regions after a confirmation.
    pub in_force_wait: Duration,
    /// Configuration in force at this host.
    pub in_force: Source<Arc<Intents>>,
    /// Told of an accepted revision, so that the host reads it at once.
    pub accepted: Arc<dyn Fn(Revision) + Send + Sync>,
    /// All regions, this one included.
    pub regions: Source<Vec<RegionState>>,
    /// State of this host; none while it is too busy to tell.
    pub status: Source<Option<Status>>,
    /// Service-level burn.
    pub burn: Source<BurnReport>,
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admin")
            .field("kv", &self.kv)
            .field("rules", &self.rules)
            .finish_non_exhaustive()
    }
}

type Answer = Result<Vec<u8>, AdminError>;

impl Admin {
    /// Serves on `address` in background threads.
    pub fn serve(self, address: SocketAddr) -> io::Result<ListeningServer> {
        Server::new(move |request| respond(self.answer(request)))
            .with_global_timeout(IDLE_TIMEOUT)
            .with_max_concurrent_connections(MAX_CONNECTIONS)
            .bind(address)
            .spawn()
    }

    fn answer(&self, request: &mut Request<Body>) -> Answer {
        self.authorize(request)?;
        let is_post = request.method() == Method::POST;
        let is_get = request.method() == Method::GET;
        match request.uri().path() {
            "/admin/v1/plan" if is_post => self.plan(&read_text(request)?),
            "/admin/v1/confirm" if is_post => self.confirm(&read_text(request)?),
            "/admin/v1/history" if is_get => json(&rollout::history(&self.kv)?),
            "/admin/v1/status" if is_get => json(&self.status()?),
            "/admin/v1/burn" if is_get => {
                let report = (self.burn)();
                json(&BurnAnswer {
                    report: report.to_json(),
                    table: report.to_table(),
                })
            }
            "/admin/v1/plan" | "/admin/v1/confirm" => Err(wrong_method("POST")),
            "/admin/v1/history" | "/admin/v1/status" | "/admin/v1/burn" => Err(wrong_method("GET")),
            path => Err(AdminError::new(
                AdminErrorKind::NotFound,
                format!("path {path:?} does not exist"),
            )),
        }
    }

    fn authorize(&self, request: &Request<Body>) -> Result<(), AdminError> {
        let key = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        if key.is_some_and(|key| self.operator_key.matches(key)) {
            return Ok(());
        }
        tracing::warn!(path = request.uri().path(), "operator key rejected");
        Err(AdminError::new(
            AdminErrorKind::Unauthorized,
            "operator key is missing or wrong".to_owned(),
        ))
    }

    fn status(&self) -> Result<Status, AdminError> {
        (self.status)().ok_or_else(|| {
            AdminError::new(
                AdminErrorKind::Unavailable,
                "host is too busy to show its state".to_owned(),
            )
        })
    }

    fn plan(&self, text: &str) -> Answer {
        let wanted = intent_file::parse("intent file", text)?;
        let plan = Plan::new(self.newest()?.as_ref(), wanted, &self.rules)?;
        let text = plan.to_string();
        json(&PlanAnswer { plan, text })
    }

    /// The newest configuration; during an outage the one in force here, if any.
    fn newest(&self) -> Result<Arc<Intents>, AdminError> {
        let in_force = (self.in_force)();
        match rollout::load(&self.kv) {
            Ok(intents) if intents.revision >= in_force.revision => Ok(Arc::new(intents)),
            Err(error) if in_force.revision == Revision(0) => Err(error.into()),
            Ok(_) | Err(_) => Ok(in_force),
        }
    }

    fn confirm(&self, text: &str) -> Answer {
        let plan: Plan = serde_json::from_str(text).map_err(|error| {
            AdminError::new(
                AdminErrorKind::InvalidBody,
                format!("invalid plan: {error}"),
            )
        })?;
        let in_force = (self.in_force)().revision;
        let acceptor = Acceptor::new(self.kv.clone()).with_rules(self.rules.clone());
        let accepted = acceptor.accept(&plan, in_force, clock::now())?;
        tracing::info!(change = %plan.id, revision = %accepted.revision, "change accepted");
        (self.accepted)(accepted.revision);
        thread::spawn(move || {
            if let Err(error) = acceptor.fold_if_due(accepted.revision) {
                tracing::warn!(%error, "changes were not folded into the shards");
            }
        });
        let regions = self.await_regions(accepted.revision);
        json(&Confirmed { accepted, regions })
    }

    /// Waits until the revision is in force in every region, or the time is up.
    fn await_regions(&self, revision: Revision) -> Vec<RegionResult> {
        let started = Instant::now();
        let mut done: Vec<RegionResult> = Vec::new();
        loop {
            let mut waiting = Vec::new();
            let after_ms = millis(started.elapsed());
            for state in (self.regions)() {
                if done.iter().any(|result| result.region == state.region) {
                    continue;
                }
                let result = RegionResult::new(state, revision, after_ms);
                match result.outcome {
                    RegionOutcome::InForce { .. } => done.push(result),
                    _ => waiting.push(result),
                }
            }
            if waiting.is_empty() || started.elapsed() >= self.in_force_wait {
                done.extend(waiting);
                done.sort_by(|a, b| a.region.cmp(&b.region));
                return done;
            }
            thread::sleep(IN_FORCE_POLL);
        }
    }
}

impl RegionResult {
    fn new(state: RegionState, revision: Revision, after_ms: Millis) -> Self {
        let outcome = match state.lowest_revision {
            None => RegionOutcome::Unreachable,
            Some(lowest) if lowest >= revision => RegionOutcome::InForce { after_ms },
            Some(revision) => RegionOutcome::Behind { revision },
        };
        Self {
            region: state.region,
            outcome,
        }
    }
}

fn wrong_method(expected: &str) -> AdminError {
    AdminError::new(
        AdminErrorKind::MethodNotAllowed,
        format!("wrong method, expected {expected}"),
    )
}

fn read_text(request: &mut Request<Body>) -> Result<String, AdminError> {
    let invalid = |message: String| AdminError::new(AdminErrorKind::InvalidBody, message);
    let mut text = String::new();
    request
        .body_mut()
        .take(MAX_BODY_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(|error| invalid(format!("body cannot be read: {error}")))?;
    if text.len() as u64 > MAX_BODY_BYTES {
        let message = format!("body is too large, expected at most {MAX_BODY_BYTES} bytes");
        return Err(invalid(message));
    }
    Ok(text)
}

fn json<Value>(value: &Value) -> Answer
where
    Value: Serialize,
{
    serde_json::to_vec(value).map_err(|error| {
        AdminError::new(
            AdminErrorKind::Unavailable,
            format!("response cannot be written: {error}"),
        )
    })
}

fn respond(answer: Answer) -> Response<Body> {
    let (status, body) = match answer {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => {
            let body = serde_json::to_vec(&error).unwrap_or_default();
            (error.kind.status(), body)
        }
    };
    let mut builder = Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json");
    if status == StatusCode::SERVICE_UNAVAILABLE {
        builder = builder.header(RETRY_AFTER, RETRY_AFTER_S);
    }
    builder
        .body(Body::from(body))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}

fn millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// The start of an id, which is enough to recognise it.
fn short(id: ChangeId) -> CompactString {
    let text: CompactString = id.into();
    CompactString::from(&text[..12])
}

impl fmt::Display for Confirmed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let repeat = if self.accepted.is_repeat {
            " by an earlier confirmation"
        } else {
            ""
        };
        writeln!(f, "accepted as revision {}{repeat}", self.accepted.revision)?;
        self.regions.iter().try_for_each(|result| {
            write!(f, "  {}: ", result.region)?;
            match &result.outcome {
                RegionOutcome::InForce { after_ms } => writeln!(f, "in force after {after_ms}"),
                RegionOutcome::Behind { revision } => {
                    writeln!(f, "not in force yet, still at revision {revision}")
                }
                RegionOutcome::Unreachable => writeln!(f, "not reachable"),
            }
        })
    }
}

/// Changes with their age, for people.
#[derive(Debug)]
pub struct HistoryText<'a> {
    changes: &'a [Change],
    now_ms: Millis,
}

impl<'a> HistoryText<'a> {
    /// The changes as seen at `now_ms`.
    pub fn new(changes: &'a [Change], now_ms: Millis) -> Self {
        Self { changes, now_ms }
    }
}

impl fmt::Display for HistoryText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return writeln!(f, "no changes");
        }
        for change in self.changes {
            let age_s = self.now_ms.saturating_sub(change.accepted_ms).0 / 1_000;
            let id = short(change.id);
            writeln!(
                f,
                "revision {}, change {id}, {age_s} s ago",
                change.revision
            )?;
            for object in &change.objects {
                let verb = if object.object.is_some() {
                    "set"
                } else {
                    "remove"
                };
                writeln!(f, "  {verb} {}", object.name)?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match (self.is_leaving, self.is_ready) {
            (true, _) => "leaving",
            (false, true) => "ready",
            (false, false) => "not ready",
        };
        writeln!(f, "host {} in {}: {state}", self.host, self.region)?;
        writeln!(f, "revision {}", self.revision)?;
        writeln!(f, "requests in progress: {}", self.open_requests)?;
        match self.platform_ago_ms {
            Some(ago) => writeln!(f, "key-value service: responded {ago} ago")?,
            None => writeln!(f, "key-value service: no response yet")?,
        }
        writeln!(f, "regions:")?;
        for region in &self.regions {
            match region.lowest_revision {
                Some(revision) => writeln!(f, "  {}: revision {revision}", region.region)?,
                None => writeln!(f, "  {}: not reachable", region.region)?,
            }
        }
        writeln!(f, "hosts:")?;
        for host in &self.hosts {
            let leaving = if host.is_leaving { ", leaving" } else { "" };
            writeln!(
                f,
                "  {} in {}: revision {}, heard {} ago{leaving}",
                host.host, host.region, host.revision, host.heard_ago_ms
            )?;
        }
        writeln!(f, "endpoints:")?;
        self.targets.iter().try_for_each(|target| {
            writeln!(
                f,
                "  {} in {}: {} live, {} leaving, {} of {} slots busy",
                target.target,
                target.region,
                target.live,
                target.leaving,
                target.busy,
                target.slots
            )
        })
    }
}
