//! Checks the rules of the ticket table that the search over interleavings does
//! not vary: binding, limits, clocks, handover contents, routes and responses.

use std::net::SocketAddr;

use cardamombridge::{
    decision::residency::AllowedRegions,
    outcome::{
        RunStateWord,
        Unsent, //
    },
    ticket::{
        STATE_RETENTION_MS,
        call::{
            CallDigest,
            KeptResponse, //
        },
        handover::{
            HANDOVER_VALID_MS,
            Handover,
            HandoverError,
            ImportError,
            Imported, //
        },
        refusal::{
            ClosedReason,
            TicketRefusal,
            TicketRefusalReason, //
        },
        route::{
            HANDOVER_SETTLE_MS,
            KnownHost,
            Route,
            RouteView,
            route, //
        },
        table::{
            Begin,
            IssueError,
            IssueRequest,
            Permit,
            TicketLimits,
            TicketState,
            TicketTable, //
        },
        token::{
            HostInstance,
            Ticket,
            TicketId,
            TicketOwner, //
        }, //
    },
    types::{
        Bytes,
        Incarnation,
        Millis,
        RequestId, //
    }, //
};

const START_MS: Millis = Millis(1_000_000);
const LIMITS: TicketLimits = TicketLimits {
    lifetime_ms: Millis(60_000),
    max_tickets: 4,
    max_tickets_per_caller: 3,
    max_response_bytes: Bytes(10),
    max_kept_bytes: Bytes(25),
};

fn instance(host: &str, incarnation: u64) -> HostInstance {
    HostInstance {
        host: host.parse().expect("host"),
        incarnation: Incarnation(incarnation),
    }
}

fn owner(host: &str, incarnation: u64) -> TicketOwner {
    TicketOwner {
        instance: instance(host, incarnation),
        region: "stred".parse().expect("region"),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7000)),
    }
}

fn regions(names: &[&str]) -> AllowedRegions {
    serde_json::from_value(serde_json::json!(names)).expect("regions")
}

fn table(host: &str, incarnation: u64) -> TicketTable {
    TicketTable::new(owner(host, incarnation), START_MS).with_limits(LIMITS)
}

fn issue_to(table: &mut TicketTable, id: u128, caller: &str) -> Result<Ticket, IssueError> {
    let issue_request = IssueRequest {
        caller: &caller.parse().expect("caller"),
        service: &"orders".parse().expect("service"),
        allowed: &regions(&["stred"]),
    };
    table.issue(TicketId(RequestId(id)), &issue_request, START_MS)
}

fn issue(table: &mut TicketTable, id: u128) -> Ticket {
    issue_to(table, id, "drevoton").expect("ticket")
}

fn order() -> CallDigest {
    CallDigest::new("POST", "/orders", b"one frame")
}

fn begin_at(table: &mut TicketTable, ticket: &Ticket, now_ms: Millis) -> Begin {
    table.begin(ticket, order(), Unsent::new(), now_ms)
}

fn start(table: &mut TicketTable, ticket: &Ticket) -> (Permit, Unsent) {
    match begin_at(table, ticket, START_MS) {
        Begin::Started { permit, unsent } => (permit, unsent),
        other => panic!("expected a start: {other:?}"),
    }
}

fn finish(table: &mut TicketTable, ticket: &Ticket, body: &str) {
    let (permit, unsent) = start(table, ticket);
    let response = KeptResponse::new(200, body.into());
    let finished = table.finish(permit, unsent.mark_sent(), response, START_MS);
    finished.expect("in progress");
}

fn refusal(begin: Begin) -> TicketRefusal {
    match begin {
        Begin::Refused(refusal) => refusal,
        other => panic!("expected a refusal: {other:?}"),
    }
}

fn status_and_run_state(refusal: &TicketRefusal) -> (u16, RunStateWord) {
    (refusal.status(), refusal.run_state().word())
}

fn hand_over(table: &mut TicketTable, to: HostInstance) -> Handover {
    table.start_handover(to).expect("start");
    let handover = table.export(|_| true, START_MS).expect("export");
    // Encodes and decodes it as hosts do when they exchange it.
    let bytes = postcard::to_allocvec(handover.as_ref()).expect("bytes");
    let received: Handover = postcard::from_bytes(&bytes).expect("handover");
    assert_eq!(received, *handover);
    received
}

/// Guards against a ticket that is used again for a call with another body.
#[test]
fn a_ticket_is_bound_to_its_first_call_even_after_a_release() {
    let mut table = table("host-1", 1);
    let ticket = issue(&mut table, 1);
    let (permit, unsent) = start(&mut table, &ticket);
    table.release(permit, unsent, START_MS).expect("release");
    let moved_byte = CallDigest::new("POST", "/orderso", b"ne frame");

    let other = table.begin(&ticket, moved_byte, Unsent::new(), START_MS);
    let same = begin_at(&mut table, &ticket, START_MS);

    let other = refusal(other);
    assert_eq!(other.reason, TicketRefusalReason::OtherCall);
    assert_eq!(status_and_run_state(&other), (409, RunStateWord::Unknown));
    assert!(matches!(same, Begin::Started { .. }));
}

/// Guards against responses that report less or more than is known about a
/// call.
#[test]
fn each_state_has_its_response() {
    let mut table = table("host-1", 1);
    let in_progress = issue(&mut table, 1);
    let (_permit, _unsent) = start(&mut table, &in_progress);
    let finished = issue(&mut table, 2);
    finish(&mut table, &finished, "done");
    let cancelled = issue_to(&mut table, 3, "marcos").expect("ticket");
    table.cancel(&cancelled, START_MS).expect("cancelled");

    let repeat = refusal(begin_at(&mut table, &in_progress, START_MS));
    let replay = begin_at(&mut table, &finished, START_MS);
    let after_cancel = refusal(begin_at(&mut table, &cancelled, START_MS));
    let cancel_started = table.cancel(&in_progress, START_MS).expect_err("started");

    assert_eq!(status_and_run_state(&repeat), (409, RunStateWord::Unknown));
    assert_eq!(repeat.retry_after_s(), Some(1));
    assert!(matches!(replay, Begin::Replay(response) if response.body == b"done"));
    assert_eq!(
        status_and_run_state(&after_cancel),
        (410, RunStateWord::NotRun)
    );
    assert_eq!(cancel_started.reason, TicketRefusalReason::InProgress);
    let required = TicketRefusal::ticket_required(Unsent::new());
    assert_eq!(status_and_run_state(&required), (428, RunStateWord::NotRun));
}

/// Guards against a call that is given up and run later with the same ticket.
#[test]
fn a_call_that_was_given_up_never_starts_again() {
    let mut table = table("host-1", 1);
    let ticket = issue(&mut table, 1);
    let (permit, unsent) = start(&mut table, &ticket);

    let closed = table.give_up(permit, unsent, START_MS).expect("closed");
    let again = refusal(begin_at(&mut table, &ticket, START_MS));

    assert_eq!(closed.reason, ClosedReason::GivenUp);
    assert_eq!(again.reason, TicketRefusalReason::Closed(closed));
    assert_eq!(table.kept_bytes(), Bytes(0));
}

/// Guards against an expired ticket that is valid again when the host's clock
/// is set back.
#[test]
fn an_expired_ticket_stays_expired_when_the_clock_is_set_back() {
    let mut table = table("host-1", 1);
    let ticket = issue(&mut table, 1);
    let expires_ms = ticket.body().expires_ms;

    let before = table.state(&ticket, expires_ms - Millis(1));
    let at = table.state(&ticket, expires_ms);
    let again = refusal(begin_at(&mut table, &ticket, START_MS));

    assert_eq!(before, Ok(TicketState::Issued));
    assert_eq!(at.expect("in the table").as_str(), "expired");
    assert_eq!(status_and_run_state(&again), (410, RunStateWord::NotRun));
}

/// Guards against a call that is released after the expiry and starts again,
/// also when the clock is set back in between.
#[test]
fn a_call_that_is_released_after_the_expiry_is_closed() {
    let mut table = table("host-1", 1);
    let ticket = issue(&mut table, 1);
    let (permit, unsent) = start(&mut table, &ticket);
    table.sweep(ticket.body().expires_ms);

    table.release(permit, unsent, START_MS).expect("release");
    let again = refusal(begin_at(&mut table, &ticket, START_MS));

    assert_eq!(again.code(), "ticket_expired");
}

/// Guards against a response that arrives after the expiry and is kept for the
/// complete retention time.
#[test]
fn a_response_after_the_expiry_is_not_kept() {
    let mut table = table("host-1", 1);
    let ticket = issue(&mut table, 1);
    let (permit, unsent) = start(&mut table, &ticket);
    let response = KeptResponse::new(200, b"done".to_vec());
    let expires_ms = ticket.body().expires_ms;

    let ended = table.finish(permit, unsent.mark_sent(), response, expires_ms);

    assert_eq!(ended, Ok(()));
    let state = table.state(&ticket, expires_ms);
    assert_eq!(state, Ok(TicketState::Finished(None)));
    assert_eq!(table.kept_bytes(), Bytes(0));
}

/// Guards against a call that is ended by the permit of another table, or whose
/// state is reported for another host's ticket with the same id.
#[test]
fn a_permit_of_another_table_changes_nothing() {
    let mut table_1 = table("host-1", 1);
    let mut table_2 = table("host-2", 5);
    let ticket_1 = issue(&mut table_1, 1);
    let ticket_2 = issue(&mut table_2, 1);
    let (foreign_permit, unsent) = start(&mut table_1, &ticket_1);
    let (_permit, _unsent) = start(&mut table_2, &ticket_2);

    let released = table_2.release(foreign_permit, unsent, START_MS);

    assert!(released.is_err());
    assert!(table_2.state(&ticket_1, START_MS).is_err());
    assert_eq!(table_2.state(&ticket_2, START_MS), Ok(TicketState::Started));
}

/// Guards against a started call that is forgotten when its ticket expires, and
/// against memory that is never freed.
#[test]
fn a_started_call_is_kept_until_the_end_of_the_retention_time() {
    let mut table = table("host-1", 1);
    let ticket = issue(&mut table, 1);
    let (permit, _unsent) = start(&mut table, &ticket);
    let forget_ms = ticket.body().expires_ms + STATE_RETENTION_MS;

    let kept = table.state(&ticket, forget_ms - Millis(1));
    let forgotten = table.state(&ticket, forget_ms).expect_err("forgotten");
    let late = table.finish_unknown(permit, forget_ms);

    assert_eq!(kept, Ok(TicketState::Started));
    assert_eq!(forgotten.reason, TicketRefusalReason::Unknown);
    assert_eq!(forgotten.retry_after_ms, None);
    assert!(late.is_err());
    assert!(table.is_empty());
    assert_eq!(table.kept_bytes(), Bytes(0));
}

/// Guards against callers that fill the memory of a host with tickets.
#[test]
fn a_full_table_returns_when_a_ticket_can_be_issued() {
    let mut table = table("host-1", 1);
    for id in 0..3 {
        issue(&mut table, id);
    }
    let retry_after_ms = LIMITS.lifetime_ms;

    let same_caller = issue_to(&mut table, 3, "drevoton");
    let other_caller = issue_to(&mut table, 4, "marcos");
    let any_caller = issue_to(&mut table, 5, "third");

    assert_eq!(same_caller, Err(IssueError::CallerFull { retry_after_ms }));
    assert!(other_caller.is_ok());
    assert_eq!(any_caller, Err(IssueError::Full { retry_after_ms }));
    let refusal = TicketRefusal::cannot_issue(Unsent::new(), any_caller.expect_err("full"));
    assert_eq!(status_and_run_state(&refusal), (503, RunStateWord::NotRun));
    assert_eq!(refusal.retry_after_s(), Some(60));
}

/// Guards against responses that grow beyond the limit, and against a call that
/// runs although its response could not be kept.
#[test]
fn room_for_a_response_is_reserved_before_the_call_starts() {
    let mut table = table("host-1", 1);
    let first = issue(&mut table, 1);
    let second = issue(&mut table, 2);
    let third = issue(&mut table, 3);
    finish(&mut table, &first, "0123456789");
    let (permit, unsent) = start(&mut table, &second);

    let full = refusal(begin_at(&mut table, &third, START_MS));
    let too_large = KeptResponse::new(200, vec![0; 11]);
    let ended = table.finish(permit, unsent.mark_sent(), too_large, START_MS);
    let repeat = refusal(begin_at(&mut table, &second, START_MS));

    assert_eq!(full.reason, TicketRefusalReason::ResponsesFull);
    assert_eq!(status_and_run_state(&full), (503, RunStateWord::Unknown));
    assert_eq!(ended, Ok(()));
    assert_eq!(repeat.reason, TicketRefusalReason::AlreadyFinished);
    assert_eq!(table.state(&third, START_MS), Ok(TicketState::Issued));
    assert_eq!(table.kept_bytes(), Bytes(10));
}

/// Guards against a ticket owned by a host that the caller's data must not
/// reach.
#[test]
fn no_ticket_is_issued_outside_the_regions_of_the_caller() {
    let mut table = table("host-1", 1);
    let issue_request = IssueRequest {
        caller: &"drevoton".parse().expect("caller"),
        service: &"orders".parse().expect("service"),
        allowed: &regions(&["zapad"]),
    };

    let issued = table.issue(TicketId::default(), &issue_request, START_MS);

    assert_eq!(issued, Err(IssueError::OutsideResidency));
}

/// Guards against a handover that loses responses or sends data outside the
/// regions of its caller, and against calls in progress that the successor
/// would run again.
#[test]
fn a_handover_keeps_responses_and_leaves_out_excluded_callers() {
    let mut old = table("host-1", 1);
    let finished = issue(&mut old, 1);
    finish(&mut old, &finished, "done");
    let started = issue(&mut old, 2);
    let (permit, unsent) = start(&mut old, &started);
    let foreign = issue_to(&mut old, 3, "marcos").expect("ticket");
    old.start_handover(instance("host-2", 5)).expect("start");
    let leaving = refusal(begin_at(&mut old, &foreign, START_MS));
    let handover = old
        .export(|caller| caller.as_str() != "marcos", START_MS)
        .expect("export");
    let resent = old.export(|_| true, START_MS).expect("again");
    let mut new = table("host-2", 5);

    let imported = new.import(&handover, START_MS).expect("import");
    let late_release = old.release(permit, unsent, START_MS);

    assert_eq!(leaving.reason, TicketRefusalReason::Leaving);
    assert_eq!(resent, handover);
    assert_eq!(imported.accepted, 2);
    assert!(late_release.is_err());
    let replay = begin_at(&mut new, &finished, START_MS);
    assert!(matches!(replay, Begin::Replay(response) if response.body == b"done"));
    assert_eq!(new.state(&started, START_MS), Ok(TicketState::Unknown));
    let left_out = new.state(&foreign, START_MS).expect_err("left out");
    assert_eq!(left_out.reason, TicketRefusalReason::Unknown);
    let settled_ms = START_MS + HANDOVER_SETTLE_MS;
    let exported = refusal(begin_at(&mut old, &foreign, settled_ms));
    assert_eq!(exported.reason, TicketRefusalReason::Leaving);
    assert!(!old.holds(&finished) && new.holds(&finished));
}

/// Guards against a handover that is imported by the wrong instance, twice or
/// late.
#[test]
fn a_handover_is_imported_once_by_its_addressee_in_time() {
    let mut old = table("host-1", 1);
    let ticket = issue(&mut old, 1);
    assert_eq!(
        old.export(|_| true, START_MS),
        Err(HandoverError::NotLeaving)
    );
    let handover = hand_over(&mut old, instance("host-2", 5));
    let mut next_instance = table("host-2", 6);
    let mut late = table("host-2", 5);
    let mut new = table("host-2", 5);

    let wrong_instance = next_instance.import(&handover, START_MS);
    let too_late = late.import(&handover, START_MS + HANDOVER_VALID_MS);
    let first = new.import(&handover, START_MS);
    new.cancel(&ticket, START_MS).expect("cancelled");
    let second = new.import(&handover, START_MS);

    assert!(matches!(
        wrong_instance,
        Err(ImportError::NotAddressed { .. })
    ));
    assert!(matches!(too_late, Err(ImportError::Late { .. })));
    let one = Imported {
        accepted: 1,
        dropped: 0,
    };
    assert_eq!(first, Ok(one));
    assert_eq!(
        second,
        Err(ImportError::AlreadyImported(instance("host-1", 1)))
    );
    let state = new.state(&ticket, START_MS).expect("in the table");
    assert_eq!(state.as_str(), "voided");
}

/// Guards against handovers that fill the memory of the successor.
#[test]
fn an_import_is_limited_and_what_it_drops_is_unknown() {
    let mut new = table("host-2", 5);
    for incarnation in 1..=3 {
        let mut old = table("host-1", incarnation);
        let first_id = u128::from(incarnation) * 10;
        let finished = issue(&mut old, first_id);
        finish(&mut old, &finished, "0123456789");
        for id in 1..3 {
            issue(&mut old, first_id + id);
        }
        let handover = hand_over(&mut old, instance("host-2", 5));

        let imported = new.import(&handover, START_MS).expect("import");

        assert_eq!(imported.accepted, if incarnation < 3 { 3 } else { 2 });
        assert_eq!(imported.dropped, usize::from(incarnation == 3));
    }
    assert_eq!(new.len(), 2 * LIMITS.max_tickets);
    assert_eq!(new.kept_bytes(), Bytes(20));
}

/// Guards against a restarted host that gets the tickets of its earlier
/// instance back through its successor and then contradicts what it reported
/// about them.
#[test]
fn a_restarted_host_never_reports_not_run_for_its_earlier_instance() {
    let mut first = table("host-1", 1);
    let issued = issue(&mut first, 1);
    let finished = issue(&mut first, 2);
    finish(&mut first, &finished, "done");
    let mut second = table("host-2", 5);
    let to_second = hand_over(&mut first, instance("host-2", 5));
    second.import(&to_second, START_MS).expect("import");
    let to_restarted = hand_over(&mut second, instance("host-1", 2));
    let mut restarted = table("host-1", 2);

    let before = restarted
        .state(&issued, START_MS)
        .expect_err("not in the table");
    let settled_ms = START_MS + HANDOVER_SETTLE_MS;
    restarted
        .import(&to_restarted, START_MS)
        .expect("import in time");

    assert_eq!(before.reason, TicketRefusalReason::Unknown);
    assert!(before.retry_after_ms.is_some());
    let state = restarted.state(&issued, settled_ms);
    assert_eq!(state, Ok(TicketState::Unknown));
    let replay = begin_at(&mut restarted, &finished, settled_ms);
    assert!(matches!(replay, Begin::Replay(_)));
    assert_eq!(restarted.owners().len(), 3);
}

struct Case {
    this_host: TicketOwner,
    is_held_here: bool,
    is_forwarded: bool,
    holder: HostInstance,
    known_host: Option<KnownHost>,
    allowed: AllowedRegions,
    now_ms: Millis,
}

/// Returns the view of a host that receives heartbeats of the owner, long after
/// the ticket was issued.
fn case() -> Case {
    let late_ms = START_MS + HANDOVER_SETTLE_MS + HANDOVER_SETTLE_MS;
    Case {
        this_host: owner("host-3", 9),
        is_held_here: false,
        is_forwarded: false,
        holder: instance("host-1", 1),
        known_host: Some(KnownHost {
            incarnation: Incarnation(1),
            first_seen_ms: START_MS,
            last_seen_ms: late_ms,
            region: "stred".parse().expect("region"),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 7001)),
            is_reachable: true,
        }),
        allowed: regions(&["stred"]),
        now_ms: late_ms,
    }
}

fn route_with(change: fn(&mut Case, &mut KnownHost)) -> Route {
    let ticket = issue(&mut table("host-1", 1), 1);
    let mut case = case();
    let mut known_host = case.known_host.clone().expect("a known host");
    change(&mut case, &mut known_host);
    let known_host = case.known_host.as_ref().map(|_| known_host);
    let view = RouteView {
        this_host: &case.this_host,
        started_ms: START_MS,
        is_held_here: case.is_held_here,
        is_forwarded: case.is_forwarded,
        holder: &case.holder,
        known_host: known_host.as_ref(),
        allowed: &case.allowed,
        now_ms: case.now_ms,
    };
    route(&ticket, &view)
}

fn refused_with(route: Route) -> (TicketRefusalReason, Option<Millis>) {
    match route {
        Route::Refused(refusal) => (refusal.reason, refusal.retry_after_ms),
        other => panic!("expected a refusal: {other:?}"),
    }
}

/// Guards against a ticket that is served by an instance other than its holder.
#[test]
fn a_ticket_goes_to_its_holder_and_no_further() {
    let local = route_with(|case, _| case.is_held_here = true);
    let live = route_with(|_, _| {});
    let unknown_host = route_with(|case, _| case.known_host = None);
    let forwarded = route_with(|case, _| case.is_forwarded = true);
    let outside = route_with(|_, known_host| known_host.region = "zapad".parse().expect("region"));
    let successor = route_with(|case, known_host| {
        case.holder = instance("host-2", 5);
        known_host.incarnation = Incarnation(5);
    });

    assert_eq!(local, Route::Local);
    assert!(matches!(live, Route::Forward(to) if to.instance == instance("host-1", 1)));
    assert_eq!(unknown_host, Route::Forward(owner("host-1", 1)));
    assert_eq!(refused_with(forwarded).0, TicketRefusalReason::Unreachable);
    assert_eq!(refused_with(outside).0, TicketRefusalReason::Unreachable);
    assert!(matches!(successor, Route::Forward(to) if to.instance == instance("host-2", 5)));
}

/// Guards against a ticket that is reported as permanently unknown too early,
/// or never.
#[test]
fn only_a_certainly_newer_instance_makes_a_ticket_permanently_unknown() {
    let unreachable = route_with(|_, known_host| known_host.is_reachable = false);
    let other_instance = route_with(|_, known_host| known_host.incarnation = Incarnation(2));
    let last_seen_before_issue = route_with(|_, known_host| {
        known_host.incarnation = Incarnation(2);
        known_host.last_seen_ms = START_MS;
    });
    let just_restarted = route_with(|case, known_host| {
        known_host.incarnation = Incarnation(2);
        known_host.first_seen_ms = case.now_ms;
    });
    let own_just_started = route_with(|case, _| {
        case.this_host = owner("host-1", 2);
        case.now_ms = START_MS;
    });
    let own_earlier_instance = route_with(|case, _| case.this_host = owner("host-1", 2));
    let own_after_export = route_with(|case, _| case.this_host = owner("host-1", 1));

    assert!(refused_with(unreachable).1.is_some());
    let final_unknown = (TicketRefusalReason::Unknown, None);
    assert_eq!(refused_with(other_instance), final_unknown);
    assert!(matches!(last_seen_before_issue, Route::Forward(_)));
    assert!(matches!(just_restarted, Route::Forward(_)));
    assert!(refused_with(own_just_started).1.is_some());
    assert_eq!(refused_with(own_earlier_instance), final_unknown);
    assert!(refused_with(own_after_export).1.is_some());
}
