//! Guards against tickets that are accepted from a caller that they were not
//! issued to, and against a text that another host with the same key cannot
//! verify.

use base64::{
    Engine,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use cardamombridge::{
    decision::residency::AllowedRegions,
    outcome::{
        RunState,
        RunStateWord,
        Unsent, //
    },
    ticket::{
        STATE_RETENTION_MS,
        table::{
            IssueRequest,
            TicketTable, //
        },
        token::{
            HostInstance,
            MAX_TICKET_TEXT_BYTES,
            MIN_KEY_BYTES,
            TEXT_PREFIX,
            Ticket,
            TicketError,
            TicketId,
            TicketOwner,
            TicketSigner,
            VerifyContext, //
        }, //
    },
    types::{
        CallerId,
        Incarnation,
        MAX_ID_BYTES,
        Millis,
        RequestId,
        ServiceId, //
    }, //
};
use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use proptest::prelude::*;
use sha2::Sha256;

const KEY: [u8; MIN_KEY_BYTES] = [7; MIN_KEY_BYTES];
const NOW_MS: Millis = Millis(1_000_000);

fn regions(names: &[&str]) -> AllowedRegions {
    serde_json::from_value(serde_json::json!(names)).expect("regions")
}

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("id")
}

fn issue(caller: &str, service: &str, host: &str) -> Ticket {
    let owner = TicketOwner {
        instance: HostInstance {
            host: id(host),
            incarnation: Incarnation(u64::MAX),
        },
        region: id("stred"),
        peer_address: "[2001:db8::ffff:1]:65535".parse().expect("address"),
    };
    let mut table = TicketTable::new(owner, NOW_MS);
    let issue_request = IssueRequest {
        caller: &id(caller),
        service: &id(service),
        allowed: &regions(&["stred"]),
    };
    table
        .issue(TicketId(RequestId(u128::MAX)), &issue_request, NOW_MS)
        .expect("ticket")
}

struct Presenter {
    caller: CallerId,
    service: ServiceId,
    allowed: AllowedRegions,
    now_ms: Millis,
}

impl Presenter {
    fn new() -> Self {
        Self {
            caller: id("drevoton"),
            service: id("orders"),
            allowed: regions(&["stred", "zapad"]),
            now_ms: NOW_MS,
        }
    }

    fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        let context = VerifyContext {
            caller: &self.caller,
            service: Some(&self.service),
            allowed: &self.allowed,
            now_ms: self.now_ms,
        };
        signer().verify(text, &context)
    }
}

fn signer() -> TicketSigner {
    TicketSigner::new(&KEY).expect("key")
}

fn text() -> String {
    let ticket = issue("drevoton", "orders", "host-1");
    signer().encode(&ticket).expect("text")
}

/// Guards against hosts that cannot verify each other's tickets.
#[test]
fn a_ticket_is_verified_by_another_signer_with_the_same_key() {
    let ticket = issue("drevoton", "orders", "host-1");

    let verified = Presenter::new().verify(&text()).expect("authentic");

    assert_eq!(verified, ticket);
}

/// Guards against a ticket with valid ids whose text is rejected as too long.
#[test]
fn the_longest_ids_fit_the_longest_text() {
    let name = "x".repeat(MAX_ID_BYTES);

    let ticket = issue(&name, &name, &name);
    let text = signer().encode(&ticket).expect("text");

    // The region of the fixture is shorter than the longest one.
    let spare_bytes = (MAX_ID_BYTES - "stred".len()).div_ceil(3) * 4;
    assert!(text.len() + spare_bytes <= MAX_TICKET_TEXT_BYTES);
}

/// Guards against a ticket that is accepted outside the caller, service,
/// regions and time that it is valid for.
#[test]
fn a_ticket_of_another_caller_service_region_or_time_is_refused() {
    let text = text();
    let expires_ms = Presenter::new()
        .verify(&text)
        .expect("authentic")
        .body()
        .expires_ms;
    let last_ms = expires_ms + STATE_RETENTION_MS;
    let with = |change: fn(&mut Presenter, Millis)| {
        let mut presenter = Presenter::new();
        change(&mut presenter, last_ms);
        presenter.verify(&text).map(|_| ())
    };

    let caller = with(|presenter, _| presenter.caller = id("marcos"));
    let service = with(|presenter, _| presenter.service = id("other"));
    let region = with(|presenter, _| presenter.allowed = regions(&["zapad"]));
    let just_before = with(|presenter, last_ms| presenter.now_ms = last_ms - Millis(1));
    let expired = with(|presenter, last_ms| presenter.now_ms = last_ms);

    assert_eq!(caller, Err(TicketError::WrongCaller));
    assert_eq!(service, Err(TicketError::WrongService));
    assert_eq!(region, Err(TicketError::OutsideResidency));
    assert_eq!(just_before, Ok(()));
    assert_eq!(expired, Err(TicketError::Expired));
}

/// Guards against an unknown run state for a key that a caller's HTTP library
/// generated, and against `not_run` for a damaged ticket.
#[test]
fn a_generated_key_is_no_ticket_and_nothing_ran_under_it() {
    let uuid = "6f1c0b9e-4d1f-4e0a-9a55-0c1de1b2a3f4";

    let error = Presenter::new().verify(uuid).expect_err("no ticket");
    let damaged = Presenter::new().verify(&text()[..40]).expect_err("damaged");

    assert_eq!((error, error.status()), (TicketError::Malformed, 428));
    assert_eq!(error.run_state(Unsent::new()).word(), RunStateWord::NotRun);
    assert_eq!(damaged, TicketError::Forged);
    assert_eq!(damaged.run_state(Unsent::new()), RunState::Unknown);
}

/// Guards against tickets that were signed with another or a weak key.
#[test]
fn another_key_and_a_short_key_are_refused() {
    let other = TicketSigner::new(&[8; MIN_KEY_BYTES]).expect("key");
    let ticket = issue("drevoton", "orders", "host-1");
    let forged = other.encode(&ticket).expect("text");

    let verified = Presenter::new().verify(&forged);
    let short = TicketSigner::new(&KEY[1..]);

    assert_eq!(verified, Err(TicketError::Forged));
    assert_eq!(short.expect_err("short").bytes, MIN_KEY_BYTES - 1);
}

/// Guards against a tag of another kind of message being accepted for a ticket.
#[test]
fn a_tag_over_the_same_bytes_without_the_domain_is_refused() {
    let ticket = issue("drevoton", "orders", "host-1");
    let mut bytes = postcard::to_allocvec(ticket.body()).expect("bytes");
    let mut mac = Hmac::<Sha256>::new_from_slice(&KEY).expect("key");
    mac.update(&bytes);
    bytes.extend_from_slice(&mac.finalize().into_bytes()[..16]);
    let text = format!("{TEXT_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));

    let verified = Presenter::new().verify(&text);

    assert_eq!(verified, Err(TicketError::Forged));
}

proptest! {
    /// Guards against a byte of the text that the tag does not authenticate.
    #[test]
    fn a_changed_text_is_never_accepted(position in any::<prop::sample::Index>(), byte: u8) {
        let text = text();
        let mut bytes = text.clone().into_bytes();
        let position = position.index(bytes.len());
        prop_assume!(bytes[position] != byte);
        bytes[position] = byte;

        let verified = Presenter::new().verify(&String::from_utf8_lossy(&bytes));

        prop_assert!(matches!(verified, Err(TicketError::Malformed | TicketError::Forged)));
    }

    /// Guards against a panic on arbitrary input from callers.
    #[test]
    fn any_text_is_refused(text in ".{0,700}") {
        prop_assert!(Presenter::new().verify(&text).is_err());
    }
}
