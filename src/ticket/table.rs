//! The table in which one host instance keeps its tickets: the only place where
//! a ticket changes its state.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use thiserror::Error;

use super::{
    STATE_RETENTION_MS,
    call::{
        CallDigest,
        KeptResponse, //
    },
    handover::{
        HANDOVER_VALID_MS,
        Handover,
        HandoverError,
        HandoverState,
        HandoverTicket,
        ImportError,
        Imported, //
    },
    refusal::{
        Closed,
        ClosedReason,
        TicketRefusal,
        TicketRefusalReason,
        UNREACHABLE_RETRY_MS, //
    },
    route::HANDOVER_SETTLE_MS,
    token::{
        HostInstance,
        Ticket,
        TicketBody,
        TicketId,
        TicketOwner, //
    }, //
};
use crate::{
    decision::residency::AllowedRegions,
    outcome::{
        Sent,
        Unsent, //
    },
    types::{
        Bytes,
        CallerId,
        Millis,
        ServiceId, //
    }, //
};

/// Limits of one table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketLimits {
    /// How long after its issue the call of a ticket can start.
    pub lifetime_ms: Millis,
    /// Maximum number of tickets in the table, whatever their state.
    pub max_tickets: usize,
    /// Maximum number of tickets of one caller, so that one caller cannot fill
    /// the table.
    pub max_tickets_per_caller: usize,
    /// Maximum size of a response that is kept.
    pub max_response_bytes: Bytes,
    /// Maximum total of the kept responses and the room reserved for the
    /// responses of calls in progress.
    pub max_kept_bytes: Bytes,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            lifetime_ms: Millis(10 * 60 * 1000),
            max_tickets: 16_384,
            max_tickets_per_caller: 4_096,
            max_response_bytes: Bytes(64 * 1024),
            max_kept_bytes: Bytes(8 * 1024 * 1024),
        }
    }
}

/// Who requests a ticket and for what.
#[derive(Debug, Clone)]
pub struct IssueRequest<'a> {
    /// The authenticated caller.
    pub caller: &'a CallerId,
    /// The service that it will call.
    pub service: &'a ServiceId,
    /// Regions that the caller's intent allows.
    pub allowed: &'a AllowedRegions,
}

/// Why no ticket is issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IssueError {
    /// The host is leaving the cluster; another host can issue tickets.
    #[error("host is leaving and issues no tickets")]
    Leaving,
    /// The table is full.
    #[error("ticket table is full; the next ticket expires or is forgotten in {retry_after_ms}")]
    Full {
        /// Time until the next ticket expires or is forgotten.
        retry_after_ms: Millis,
    },
    /// The caller has too many tickets.
    #[error(
        "caller has too many tickets; the next ticket expires or is forgotten in {retry_after_ms}"
    )]
    CallerFull {
        /// Time until the next ticket of any caller expires or is forgotten.
        retry_after_ms: Millis,
    },
    /// The caller's data must not reach this region.
    #[error("region of this host is outside the regions of the caller")]
    OutsideResidency,
    /// The id is already in use; draw another one.
    #[error("ticket id is already in use")]
    DuplicateId,
}

impl IssueError {
    /// Returns the time after which this host may issue a ticket, if it ever
    /// may.
    pub fn retry_after_ms(self) -> Option<Millis> {
        match self {
            Self::Full { retry_after_ms } | Self::CallerFull { retry_after_ms } => {
                Some(retry_after_ms)
            }
            Self::Leaving | Self::DuplicateId => Some(Millis(0)),
            Self::OutsideResidency => None,
        }
    }

    /// Returns the error code for the body of the response.
    pub fn code(self) -> &'static str {
        match self {
            Self::Leaving => "ticket_host_leaving",
            Self::Full { .. } => "ticket_table_full",
            Self::CallerFull { .. } => "ticket_caller_limit",
            Self::OutsideResidency => "outside_residency",
            Self::DuplicateId => "ticket_id_in_use",
        }
    }
}

/// The right to run one call once; a ticket has at most one at a time.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    id: TicketId,
    table: HostInstance,
}

impl Permit {
    /// Returns the ticket that the permit belongs to.
    pub fn id(&self) -> TicketId {
        self.id
    }
}

/// Error for a permit that is no longer valid: it comes from another table, or
/// the table has handed over its tickets or forgotten this one. The state of
/// the ticket is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("ticket {0} is no longer in progress in this table")]
pub struct StalePermit(pub TicketId);

/// Result of [`TicketTable::begin`].
#[derive(Debug)]
#[must_use]
pub enum Begin {
    /// The call has started and must be sent.
    Started {
        /// Records the end of the call.
        permit: Permit,
        /// Proof that no byte of the call has been sent.
        unsent: Unsent,
    },
    /// The call has already finished; its kept response is sent again.
    Replay(Arc<KeptResponse>),
    /// The call must not be sent.
    Refused(TicketRefusal),
}

/// State of a ticket, as returned by `GET /v1/tickets/TICKET`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// Not started; it may still start, so this is not `not_run`.
    Issued,
    /// In progress.
    Started,
    /// Finished; the response if it is still kept.
    Finished(Option<Arc<KeptResponse>>),
    /// Never ran and never will.
    Closed(Closed),
    /// May have run; this will not be known later either.
    Unknown,
}

impl TicketState {
    /// Returns the name of the state in responses to callers.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Issued => "issued",
            Self::Started => "started",
            Self::Finished(_) => "finished",
            Self::Closed(closed) => match closed.reason {
                ClosedReason::Cancelled => "voided",
                ClosedReason::Expired => "expired",
                ClosedReason::GivenUp => "given_up",
            },
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Debug)]
enum State {
    /// Contains the only `Unsent` of the ticket until a call begins.
    Issued(Unsent),
    /// One permit exists.
    Started,
    Finished(Option<Arc<KeptResponse>>),
    Closed(Closed),
    Unknown,
}

#[derive(Debug)]
struct Entry {
    body: TicketBody,
    digest: Option<CallDigest>,
    state: State,
}

impl Entry {
    /// Whether the ticket is bound to a call other than that of `digest`.
    fn is_bound_to_other_call(&self, digest: CallDigest) -> bool {
        self.digest.is_some_and(|bound| bound != digest)
    }

    fn forget_at_ms(&self) -> Millis {
        self.body.expires_ms + STATE_RETENTION_MS
    }
}

#[derive(Debug)]
enum Phase {
    Serving,
    Leaving(HostInstance),
    Exported(Arc<Handover>),
}

/// The tickets that one host instance has issued or imported.
///
/// All times are instants on the host's clock. The table's time never goes back
/// behind the latest instant passed to it, so a clock that is set back cannot
/// make a ticket valid again that was reported as expired.
#[derive(Debug)]
pub struct TicketTable {
    this_host: TicketOwner,
    limits: TicketLimits,
    started_ms: Millis,
    now_ms: Millis,
    phase: Phase,
    entries: BTreeMap<TicketId, Entry>,
    /// Next instant at which each ticket expires or is forgotten.
    due: BTreeSet<(Millis, TicketId)>,
    per_caller: BTreeMap<CallerId, usize>,
    kept_bytes: Bytes,
    imported: BTreeSet<HostInstance>,
    owners: BTreeSet<HostInstance>,
}

impl TicketTable {
    /// Returns an empty table for an instance that starts at `now_ms`.
    pub fn new(this_host: TicketOwner, now_ms: Millis) -> Self {
        let owners = BTreeSet::from([this_host.instance.clone()]);
        Self {
            this_host,
            limits: TicketLimits::default(),
            started_ms: now_ms,
            now_ms,
            phase: Phase::Serving,
            entries: BTreeMap::new(),
            due: BTreeSet::new(),
            per_caller: BTreeMap::new(),
            kept_bytes: Bytes(0),
            imported: BTreeSet::new(),
            owners,
        }
    }

    /// Replaces the limits.
    pub fn with_limits(mut self, limits: TicketLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the host instance that this table belongs to.
    pub fn this_host(&self) -> &TicketOwner {
        &self.this_host
    }

    /// Returns the number of tickets in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no tickets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of the kept responses and of the room reserved for the
    /// responses of calls in progress.
    pub fn kept_bytes(&self) -> Bytes {
        self.kept_bytes
    }

    /// Returns the number of calls in progress.
    pub fn started_count(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| matches!(entry.state, State::Started))
            .count()
    }

    /// Returns the owners of the tickets that this table is responsible for,
    /// for the heartbeat: this instance and those whose tickets it has
    /// imported; none after the export.
    pub fn owners(&self) -> &BTreeSet<HostInstance> {
        &self.owners
    }

    /// Returns whether this table is responsible for `ticket`.
    pub fn holds(&self, ticket: &Ticket) -> bool {
        self.owners.contains(&ticket.body().owner.instance)
    }

    /// Issues a ticket; `id` must be drawn at random.
    pub fn issue(
        &mut self,
        id: TicketId,
        issue_request: &IssueRequest<'_>,
        now_ms: Millis,
    ) -> Result<Ticket, IssueError> {
        self.advance(now_ms);
        self.check_issue(id, issue_request)?;
        let body = TicketBody {
            id,
            owner: self.this_host.clone(),
            caller: issue_request.caller.clone(),
            service: issue_request.service.clone(),
            issued_ms: self.now_ms,
            expires_ms: self.now_ms + self.limits.lifetime_ms,
        };
        self.insert(Entry {
            body: body.clone(),
            digest: None,
            state: State::Issued(Unsent::new()),
        });
        Ok(Ticket::new(body))
    }

    fn check_issue(
        &self,
        id: TicketId,
        issue_request: &IssueRequest<'_>,
    ) -> Result<(), IssueError> {
        if !matches!(self.phase, Phase::Serving) {
            return Err(IssueError::Leaving);
        }
        if !issue_request.allowed.contains(&self.this_host.region) {
            return Err(IssueError::OutsideResidency);
        }
        if self.entries.contains_key(&id) {
            return Err(IssueError::DuplicateId);
        }
        let retry_after_ms = self.next_due_ms() - self.now_ms;
        if self.entries.len() >= self.limits.max_tickets {
            return Err(IssueError::Full { retry_after_ms });
        }
        let of_caller = self.per_caller.get(issue_request.caller).copied();
        if of_caller.unwrap_or(0) >= self.limits.max_tickets_per_caller {
            return Err(IssueError::CallerFull { retry_after_ms });
        }
        Ok(())
    }

    /// Starts the call of a ticket, unless it has already started.
    ///
    /// The start is recorded before this returns. `request` proves that the
    /// code that calls this has not sent the call itself; it is consumed, so
    /// that a refused duplicate cannot be reported as `not_run`.
    pub fn begin(
        &mut self,
        ticket: &Ticket,
        digest: CallDigest,
        request: Unsent,
        now_ms: Millis,
    ) -> Begin {
        self.advance(now_ms);
        let _consumed = request;
        match self.refuse_begin(ticket, digest) {
            Some(refused) => refused,
            None => self.start(ticket.body().id, digest),
        }
    }

    fn refuse_begin(&self, ticket: &Ticket, digest: CallDigest) -> Option<Begin> {
        let entry = match self.find(ticket) {
            Ok(entry) => entry,
            Err(refusal) => return Some(Begin::Refused(refusal)),
        };
        if let State::Closed(closed) = entry.state {
            return Some(refused(TicketRefusalReason::Closed(closed)));
        }
        if entry.is_bound_to_other_call(digest) {
            return Some(refused(TicketRefusalReason::OtherCall));
        }
        match &entry.state {
            State::Issued(_) => self.refuse_start(),
            State::Started => Some(Begin::Refused(TicketRefusal::in_progress())),
            State::Finished(Some(response)) => Some(Begin::Replay(Arc::clone(response))),
            State::Finished(None) => Some(refused(TicketRefusalReason::AlreadyFinished)),
            State::Closed(closed) => Some(refused(TicketRefusalReason::Closed(*closed))),
            State::Unknown => Some(refused(TicketRefusalReason::Unknown)),
        }
    }

    fn refuse_start(&self) -> Option<Begin> {
        if !matches!(self.phase, Phase::Serving) {
            return Some(Begin::Refused(TicketRefusal::leaving()));
        }
        let needed_bytes = self.kept_bytes + self.limits.max_response_bytes;
        if needed_bytes > self.limits.max_kept_bytes {
            let retry_after_ms = self.next_due_ms() - self.now_ms;
            let refusal = TicketRefusal::new(TicketRefusalReason::ResponsesFull)
                .with_retry_after(retry_after_ms);
            return Some(Begin::Refused(refusal));
        }
        None
    }

    fn start(&mut self, id: TicketId, digest: CallDigest) -> Begin {
        let Some(entry) = self.entries.get_mut(&id) else {
            return refused(TicketRefusalReason::Unknown);
        };
        let before = std::mem::replace(&mut entry.state, State::Started);
        let State::Issued(unsent) = before else {
            entry.state = before;
            return refused(TicketRefusalReason::Unknown);
        };
        entry.digest = Some(digest);
        self.kept_bytes = self.kept_bytes + self.limits.max_response_bytes;
        let table = self.this_host.instance.clone();
        let permit = Permit { id, table };
        Begin::Started { permit, unsent }
    }

    /// Ends a call that was sent and has a complete response, whatever its
    /// status.
    ///
    /// A response above [`TicketLimits::max_response_bytes`] is not kept; a
    /// repeat is then refused as already finished.
    pub fn finish(
        &mut self,
        permit: Permit,
        sent: Sent,
        response: KeptResponse,
        now_ms: Millis,
    ) -> Result<(), StalePermit> {
        self.advance(now_ms);
        let _consumed = sent;
        let size_bytes = response.size_bytes();
        let is_kept = size_bytes <= self.limits.max_response_bytes;
        let now_ms = self.now_ms;
        let entry = self.end(permit)?;
        let is_kept = is_kept && now_ms < entry.body.expires_ms;
        entry.state = State::Finished(is_kept.then(|| Arc::new(response)));
        if is_kept {
            self.kept_bytes = self.kept_bytes + size_bytes;
        }
        Ok(())
    }

    /// Ends a call that may have been sent and has no complete response.
    pub fn finish_unknown(&mut self, permit: Permit, now_ms: Millis) -> Result<(), StalePermit> {
        self.advance(now_ms);
        self.end(permit)?;
        Ok(())
    }

    /// Ends a call of which no byte was sent and returns its ticket to the
    /// state issued, so that the call can start again.
    ///
    /// This must not be reported as `not_run`, because the same ticket may run
    /// later. A ticket that has expired meanwhile is closed.
    pub fn release(
        &mut self,
        permit: Permit,
        unsent: Unsent,
        now_ms: Millis,
    ) -> Result<(), StalePermit> {
        self.advance(now_ms);
        let now_ms = self.now_ms;
        let entry = self.end(permit)?;
        entry.state = if now_ms < entry.body.expires_ms {
            State::Issued(unsent)
        } else {
            State::Closed(Closed::new(ClosedReason::Expired, unsent))
        };
        Ok(())
    }

    /// Gives up a call of which no byte was sent and closes its ticket, so that
    /// `not_run` can be reported to the caller.
    pub fn give_up(
        &mut self,
        permit: Permit,
        unsent: Unsent,
        now_ms: Millis,
    ) -> Result<Closed, StalePermit> {
        self.advance(now_ms);
        let entry = self.end(permit)?;
        let closed = Closed::new(ClosedReason::GivenUp, unsent);
        entry.state = State::Closed(closed);
        Ok(closed)
    }

    /// Ends the call of `permit` with the state `Unknown`, which the methods
    /// that use this replace if they know more.
    fn end(&mut self, permit: Permit) -> Result<&mut Entry, StalePermit> {
        let stale = StalePermit(permit.id);
        if permit.table != self.this_host.instance {
            return Err(stale);
        }
        let entry = self.entries.get_mut(&permit.id).ok_or(stale)?;
        match entry.state {
            State::Started => {
                entry.state = State::Unknown;
                self.kept_bytes = self.kept_bytes - self.limits.max_response_bytes;
                Ok(entry)
            }
            _ => Err(stale),
        }
    }

    /// Cancels a ticket whose call has not started, so that it never runs.
    pub fn cancel(&mut self, ticket: &Ticket, now_ms: Millis) -> Result<Closed, TicketRefusal> {
        self.advance(now_ms);
        self.find(ticket)?;
        let unknown = TicketRefusal::new(TicketRefusalReason::Unknown);
        let entry = self.entries.get_mut(&ticket.body().id).ok_or(unknown)?;
        match std::mem::replace(&mut entry.state, State::Unknown) {
            State::Issued(unsent) => {
                let closed = Closed::new(ClosedReason::Cancelled, unsent);
                entry.state = State::Closed(closed);
                Ok(closed)
            }
            before => {
                entry.state = before;
                refuse_cancel(&entry.state)
            }
        }
    }

    /// Returns the state of a ticket, or a refusal if this table is not
    /// responsible for it.
    pub fn state(&mut self, ticket: &Ticket, now_ms: Millis) -> Result<TicketState, TicketRefusal> {
        self.advance(now_ms);
        let entry = self.find(ticket)?;
        Ok(match &entry.state {
            State::Issued(_) => TicketState::Issued,
            State::Started => TicketState::Started,
            State::Finished(response) => TicketState::Finished(response.clone()),
            State::Closed(closed) => TicketState::Closed(*closed),
            State::Unknown => TicketState::Unknown,
        })
    }

    /// Expires and forgets tickets that are due, and returns the number of
    /// tickets that are left. Every method that takes `now_ms` does this first.
    pub fn sweep(&mut self, now_ms: Millis) -> usize {
        self.advance(now_ms);
        self.entries.len()
    }

    /// Stops issuing tickets and starting calls. `successor` can be replaced
    /// until the export.
    pub fn start_handover(&mut self, successor: HostInstance) -> Result<(), HandoverError> {
        if successor == self.this_host.instance {
            return Err(HandoverError::ToItself(successor));
        }
        if let Phase::Exported(handover) = &self.phase {
            return Err(HandoverError::AlreadyExported(handover.to.clone()));
        }
        self.phase = Phase::Leaving(successor);
        Ok(())
    }

    /// Empties the table into a message for the successor.
    ///
    /// Calls that are still in progress become unknown, so wait for
    /// [`started_count`](Self::started_count) to reach zero first, up to the
    /// drain limit. From then on this table is responsible for no tickets. A
    /// further export returns the same message, so that it can be sent again.
    /// Tickets of callers for which `may_receive` is false, because their data
    /// must not reach the successor, are left out and become unknown.
    pub fn export<F>(
        &mut self,
        may_receive: F,
        now_ms: Millis,
    ) -> Result<Arc<Handover>, HandoverError>
    where
        F: Fn(&CallerId) -> bool,
    {
        self.advance(now_ms);
        let successor = match &self.phase {
            Phase::Serving => return Err(HandoverError::NotLeaving),
            Phase::Leaving(successor) => successor.clone(),
            Phase::Exported(handover) => return Ok(Arc::clone(handover)),
        };
        let entries = std::mem::take(&mut self.entries).into_values();
        let handover = Arc::new(Handover {
            from: self.this_host.instance.clone(),
            to: successor,
            owners: std::mem::take(&mut self.owners).into_iter().collect(),
            valid_until_ms: self.now_ms + HANDOVER_VALID_MS,
            tickets: entries
                .filter(|entry| may_receive(&entry.body.caller))
                .map(to_handover_ticket)
                .collect(),
        });
        self.due.clear();
        self.per_caller.clear();
        self.kept_bytes = Bytes(0);
        self.phase = Phase::Exported(Arc::clone(&handover));
        Ok(handover)
    }

    /// Adds the tickets of a leaving instance.
    ///
    /// Tickets that an earlier instance of this host issued can only become
    /// finished or unknown, because this host may already have reported them as
    /// permanently unknown.
    pub fn import(&mut self, handover: &Handover, now_ms: Millis) -> Result<Imported, ImportError> {
        self.advance(now_ms);
        self.check_import(handover)?;
        self.imported.insert(handover.from.clone());
        let other_owners = handover
            .owners
            .iter()
            .filter(|owner| **owner != self.this_host.instance);
        self.owners.extend(other_owners.cloned());
        let mut imported = Imported::default();
        for ticket in &handover.tickets {
            if self.has_room_to_import(ticket) {
                self.insert_imported(ticket);
                imported.accepted += 1;
            } else {
                imported.dropped += 1;
            }
        }
        Ok(imported)
    }

    fn check_import(&self, handover: &Handover) -> Result<(), ImportError> {
        let from = handover.from.clone();
        if handover.to != self.this_host.instance {
            return Err(ImportError::NotAddressed {
                to: handover.to.clone(),
                receiver: self.this_host.instance.clone(),
            });
        }
        if self.imported.contains(&from) {
            return Err(ImportError::AlreadyImported(from));
        }
        if matches!(self.phase, Phase::Exported(_)) {
            return Err(ImportError::AlreadyExported(from));
        }
        if self.now_ms >= handover.valid_until_ms {
            return Err(ImportError::Late {
                from,
                valid_until_ms: handover.valid_until_ms,
            });
        }
        Ok(())
    }

    /// The limit for imports is twice [`TicketLimits::max_tickets`], so that a
    /// full table can import a full table.
    fn has_room_to_import(&self, ticket: &HandoverTicket) -> bool {
        let has_room = self.entries.len() < self.limits.max_tickets.saturating_mul(2);
        has_room && !self.entries.contains_key(&ticket.body.id)
    }

    fn insert_imported(&mut self, ticket: &HandoverTicket) {
        let is_of_this_host = ticket.body.owner.instance.host == self.this_host.instance.host;
        let state = match &ticket.state {
            HandoverState::Finished(kept) => State::Finished(self.keep_imported(kept.as_ref())),
            _ if is_of_this_host => State::Unknown,
            // The exporter dropped its own `Unsent` with the export.
            HandoverState::Issued => State::Issued(Unsent::new()),
            HandoverState::Closed(reason) => State::Closed(Closed::new(*reason, Unsent::new())),
            HandoverState::Unknown => State::Unknown,
        };
        self.insert(Entry {
            body: ticket.body.clone(),
            digest: ticket.digest,
            state,
        });
    }

    fn keep_imported(&mut self, response: Option<&KeptResponse>) -> Option<Arc<KeptResponse>> {
        let response = response?;
        let kept_bytes = self.kept_bytes + response.size_bytes();
        if kept_bytes > self.limits.max_kept_bytes {
            return None;
        }
        self.kept_bytes = kept_bytes;
        Some(Arc::new(response.clone()))
    }

    fn find(&self, ticket: &Ticket) -> Result<&Entry, TicketRefusal> {
        if matches!(self.phase, Phase::Exported(_)) {
            return Err(TicketRefusal::leaving());
        }
        let body = ticket.body();
        let entry = self.entries.get(&body.id);
        entry
            .filter(|entry| entry.body == *body)
            .ok_or_else(|| self.refuse_missing(&body.owner.instance))
    }

    /// Refusal for a ticket that is not in the table.
    fn refuse_missing(&self, owner: &HostInstance) -> TicketRefusal {
        let unknown = TicketRefusal::new(TicketRefusalReason::Unknown);
        if self.owners.contains(owner) {
            // Forgotten, or left out of a handover.
            return unknown;
        }
        if owner.host != self.this_host.instance.host {
            return unknown.with_retry_after(UNREACHABLE_RETRY_MS);
        }
        // A successor of the earlier instance may not have announced itself
        // yet.
        if self.now_ms < self.started_ms + HANDOVER_SETTLE_MS {
            return unknown.with_retry_after(UNREACHABLE_RETRY_MS);
        }
        unknown
    }

    fn insert(&mut self, entry: Entry) {
        let id = entry.body.id;
        self.due.insert((entry.body.expires_ms, id));
        *self
            .per_caller
            .entry(entry.body.caller.clone())
            .or_default() += 1;
        self.entries.insert(id, entry);
    }

    fn next_due_ms(&self) -> Millis {
        self.due.first().map_or(self.now_ms, |(due_ms, _)| *due_ms)
    }

    fn advance(&mut self, now_ms: Millis) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((due_ms, id)) = self.due.first().copied() {
            if due_ms > self.now_ms {
                break;
            }
            self.due.remove(&(due_ms, id));
            self.expire_or_forget(id, due_ms);
        }
    }

    fn expire_or_forget(&mut self, id: TicketId, due_ms: Millis) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let forget_at_ms = entry.forget_at_ms();
        if due_ms >= forget_at_ms {
            self.forget(id);
            return;
        }
        self.due.insert((forget_at_ms, id));
        let freed_bytes = expire(&mut entry.state);
        self.kept_bytes = self.kept_bytes - freed_bytes;
    }

    fn forget(&mut self, id: TicketId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        let freed_bytes = match &entry.state {
            State::Started => self.limits.max_response_bytes,
            State::Finished(Some(response)) => response.size_bytes(),
            _ => Bytes(0),
        };
        self.kept_bytes = self.kept_bytes - freed_bytes;
        if let Some(count) = self.per_caller.get_mut(&entry.body.caller) {
            *count -= 1;
            if *count == 0 {
                self.per_caller.remove(&entry.body.caller);
            }
        }
    }
}

fn refused(reason: TicketRefusalReason) -> Begin {
    Begin::Refused(TicketRefusal::new(reason))
}

fn refuse_cancel(state: &State) -> Result<Closed, TicketRefusal> {
    match state {
        State::Closed(closed) => Ok(*closed),
        State::Started => Err(TicketRefusal::in_progress()),
        State::Finished(_) => Err(TicketRefusal::new(TicketRefusalReason::AlreadyFinished)),
        State::Issued(_) | State::Unknown => Err(TicketRefusal::new(TicketRefusalReason::Unknown)),
    }
}

/// Applies the expiry to a state and returns the bytes of the response that is
/// dropped.
fn expire(state: &mut State) -> Bytes {
    match std::mem::replace(state, State::Unknown) {
        State::Issued(unsent) => {
            *state = State::Closed(Closed::new(ClosedReason::Expired, unsent));
            Bytes(0)
        }
        State::Finished(response) => {
            *state = State::Finished(None);
            response.map_or(Bytes(0), |response| response.size_bytes())
        }
        before => {
            *state = before;
            Bytes(0)
        }
    }
}

fn to_handover_ticket(entry: Entry) -> HandoverTicket {
    let state = match entry.state {
        State::Issued(_) => HandoverState::Issued,
        State::Started | State::Unknown => HandoverState::Unknown,
        State::Finished(response) => HandoverState::Finished(response.as_deref().cloned()),
        State::Closed(closed) => HandoverState::Closed(closed.reason),
    };
    HandoverTicket {
        body: entry.body,
        digest: entry.digest,
        state,
    }
}
