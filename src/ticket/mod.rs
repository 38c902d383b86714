//! Tickets: at-most-once execution of calls that must not be repeated.
//!
//! A ticket names the one host instance that may run a call: a host together
//! with its incarnation, which changes with each restart. The
//! [`TicketTable`](table::TicketTable) of that instance is the only place where
//! the ticket changes its state, so a call starts at most once even if messages
//! are lost, repeated or late. This module opens no sockets, starts no threads
//! and reads no clocks. At-most-once and `not_run` do not depend on clocks.
//! Clocks only decide when a ticket expires, when a state is forgotten, and
//! when a forwarding host may report a ticket as permanently unknown.
//!
//! # States
//!
//! ```text
//! issued --begin--> started --finish---------> finished (response kept)
//!   |  ^               | |----finish_unknown-> unknown
//!   |  '---release-----' '----give_up--------> closed (given up)
//!   |----cancel------------------------------> closed (cancelled)
//!   '----expiry------------------------------> closed (expired)
//! ```
//!
//! Of the run states (see [`crate::outcome`]), only a closed ticket has
//! `not_run`. An issued ticket does not: a repeat that is still in transit
//! could start it after the caller has acted on the response. A finished
//! response is kept until the ticket expires, every state until
//! [`STATE_RETENTION_MS`] later. A ticket that the table has forgotten, or that
//! an earlier instance of the host issued, is unknown.
//!
//! # Use by the request path
//!
//! At the host that accepts the call, for a method that needs a ticket:
//!
//! 1. Authenticate the caller, compute its [`AllowedRegions`], and read the
//!    complete request, because the ticket is bound to the digest of its body.
//! 2. Without a ticket, [`issue`] one and respond with
//!    [`TicketRefusal::ticket_required`] and the ticket in the field
//!    `Idempotency-Key` and in the body, or with
//!    [`TicketRefusal::cannot_issue`].
//! 3. With one, [`verify`] it; on failure respond with
//!    [`TicketError::status`] and [`TicketError::run_state`]. A key that is no
//!    ticket is 428 as well and gets a new ticket.
//! 4. Call [`route`]. It selects the ticket's holder, the instance that is
//!    responsible for it now, or returns a refusal. A forwarding host passes on
//!    the holder's response. If that is missing or incomplete the forwarding
//!    host responds with [`TicketRefusal::unreachable`], also if it could not
//!    connect: an earlier copy of the call may have arrived. It must never turn
//!    its own [`Unsent`] into `not_run`.
//!
//! At the holder, `route` is called again with `is_forwarded`, and then:
//!
//! 1. [`begin`] before admission, so that a repeat of a queued call is found.
//! 2. On [`Begin::Started`], keep the permit, and run admission and the choice
//!    of an endpoint with the `Unsent`. While no byte has been sent, another
//!    endpoint may be tried with the same permit.
//! 3. Call [`Unsent::mark_sent`] before the first byte is written.
//! 4. When the response is complete, call [`finish`], whatever its status,
//!    before its last byte is relayed, so that a repeat finds it.
//! 5. When it is not, call [`finish_unknown`]; the caller gets 502 `unknown`.
//! 6. When no byte was sent and the call is refused (admission, deadline, no
//!    endpoint), call [`give_up`]; the caller gets 503 `not_run`, `Retry-After`
//!    and a new ticket. If nobody receives a response, because the caller has
//!    disconnected, call [`release`] instead: the caller may repeat the call
//!    with this ticket.
//!
//! A permit that is lost with its thread leaves the ticket started, which is
//! safe. A [`StalePermit`](table::StalePermit) means that the table was handed
//! over; relay the response, but report `unknown` instead of `not_run`.
//!
//! # Responses
//!
//! Status, run state and `Retry-After` come from [`TicketRefusal`]:
//!
//! | state of the ticket | status | `run_state` | `Retry-After` |
//! |---|---|---|---|
//! | no ticket on the call | 428 with a new ticket | `not_run` | |
//! | key that is no ticket | 428 with a new ticket | `not_run` | |
//! | forged, of another caller or service | 403 | `unknown` | |
//! | owner outside the allowed regions | 421 | `unknown` | |
//! | no ticket, none can be issued | 503 | `not_run` | until one is forgotten |
//! | no ticket, host outside the allowed regions | 421 | `not_run` | |
//! | started | 409 | `unknown` | 1 s |
//! | finished, response kept | as kept, `Idempotent-Replayed: true` | | |
//! | finished, response not kept | 409 | `unknown` | |
//! | closed: cancelled (`voided`), expired or given up | 410 with a new ticket | `not_run` | |
//! | unknown | 409 | `unknown` | |
//! | bound to a call with another digest | 409 | `unknown` | |
//! | issued, host is leaving | 503 | `unknown` | 3 s, same ticket |
//! | issued, no room for a response | 503 | `unknown` | until room is freed |
//! | holder not reachable | 502 | `unknown` | 2 s |
//! | earlier instance, a successor may still import its table | 409 | `unknown` | 2 s |
//!
//! The call with another digest is not run, yet the response is not `not_run`:
//! a caller that builds its body again for a repeat would take that as the
//! outcome of its first call. `GET /v1/tickets/TICKET` returns 200 with
//! [`TicketState::as_str`](table::TicketState::as_str), `DELETE` returns 200
//! `not_run` if [`cancel`] succeeds.
//!
//! # Handover at shutdown
//!
//! [`start_handover`] names the successor and stops issuing tickets and
//! starting calls. When [`started_count`] is zero or the drain limit is
//! reached, [`export`] makes the message; from then on this instance is
//! responsible for no tickets. The message may be sent any number of times, and
//! `AlreadyImported` in return counts as success. The successor announces
//! [`owners`] with its heartbeats. If the message is lost, or arrives later
//! than [`HANDOVER_VALID_MS`](handover::HANDOVER_VALID_MS), its tickets are
//! unknown. The message must be authenticated, because an import relies on the
//! exporter having given up its tickets.
//!
//! [`AllowedRegions`]: crate::decision::residency::AllowedRegions
//! [`Begin::Started`]: table::Begin::Started
//! [`TicketError::run_state`]: token::TicketError::run_state
//! [`TicketError::status`]: token::TicketError::status
//! [`TicketRefusal::cannot_issue`]: refusal::TicketRefusal::cannot_issue
//! [`TicketRefusal::ticket_required`]: refusal::TicketRefusal::ticket_required
//! [`TicketRefusal::unreachable`]: refusal::TicketRefusal::unreachable
//! [`TicketRefusal`]: refusal::TicketRefusal
//! [`Unsent::mark_sent`]: crate::outcome::Unsent::mark_sent
//! [`Unsent`]: crate::outcome::Unsent
//! [`begin`]: table::TicketTable::begin
//! [`cancel`]: table::TicketTable::cancel
//! [`export`]: table::TicketTable::export
//! [`finish_unknown`]: table::TicketTable::finish_unknown
//! [`finish`]: table::TicketTable::finish
//! [`give_up`]: table::TicketTable::give_up
//! [`issue`]: table::TicketTable::issue
//! [`owners`]: table::TicketTable::owners
//! [`release`]: table::TicketTable::release
//! [`route`]: route::route
//! [`start_handover`]: table::TicketTable::start_handover
//! [`started_count`]: table::TicketTable::started_count
//! [`verify`]: token::TicketSigner::verify

pub mod call;
pub mod handover;
pub mod refusal;
pub mod route;
pub mod table;
pub mod token;

use crate::types::Millis;

/// How long a state is kept after its ticket has expired.
///
/// A caller whose connection broke shortly before the expiry can still query
/// the outcome. After this time every host reports `unknown`.
pub const STATE_RETENTION_MS: Millis = Millis(10 * 60 * 1000);
