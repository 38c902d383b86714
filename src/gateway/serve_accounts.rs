//! Finds out for which client account a request runs, and applies the account's terms to its
//! route.
//!
//! The host that receives a request from its caller checks the key. Other hosts are told the
//! account in [`ACCOUNT_HEADER`], which callers cannot set.

use compact_str::CompactString;

use super::{
    account::Account,
    configuration::Configuration,
    exchange::ResolvedRoute,
    head::RequestHead,
    reactor::Reactor,
    response::{
        ACCOUNT_HEADER,
        GatewayResponse, //
    }, //
};
use crate::platform::headers::api_key;

/// Retry time for callers whose account and route have no home in common: a new configuration is
/// in force within it.
const NO_HOME_RETRY_MS: u64 = 5_000;
/// Retry time for callers of a forwarded request that this host cannot attribute to an account;
/// the host that forwarded it learns of the accounts with its next configuration.
const UNKNOWN_ACCOUNT_RETRY_MS: u64 = 500;

/// The client account for which a request runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum CallerAccount {
    /// The configuration has no accounts; headers about them are passed on.
    #[default]
    Unchecked,
    /// A public request without a valid key.
    Anonymous,
    /// The account that holds the caller's key.
    Named(CompactString),
}

impl CallerAccount {
    /// Returns the name of the account, if there is one.
    pub fn name(&self) -> Option<&CompactString> {
        match self {
            Self::Named(name) => Some(name),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Returns whether the headers of the caller that concern accounts are dropped.
    pub fn is_checked(&self) -> bool {
        *self != Self::Unchecked
    }

    /// Returns the value of [`ACCOUNT_HEADER`]; none if nothing was checked.
    pub fn header_value(&self) -> Option<&str> {
        self.is_checked()
            .then(|| self.name().map_or("", CompactString::as_str))
    }

    /// Returns the account that another host states in [`ACCOUNT_HEADER`].
    fn of_header(value: &str) -> Self {
        match value {
            "" => Self::Anonymous,
            name => Self::Named(name.into()),
        }
    }
}

/// Why a request is not started.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    /// Cause in log lines.
    pub cause: &'static str,
    /// Response to the caller.
    pub response: GatewayResponse,
    /// Account that has used its allotment, and what is left of it.
    pub account: Option<(CompactString, f64)>,
}

impl Rejection {
    fn new(cause: &'static str, response: GatewayResponse) -> Self {
        Self {
            cause,
            response,
            account: None,
        }
    }
}

/// Returns the account of a request that its caller sent to this host on a route, and applies the
/// terms of the account to the route.
///
/// # Errors
///
/// Fails with status 401 if the route needs a key and the request has none that an account holds.
pub fn identify_caller(
    configuration: &Configuration,
    head: &RequestHead,
    is_public: bool,
    route: &mut ResolvedRoute,
) -> Result<CallerAccount, Rejection> {
    if configuration.accounts.is_empty() {
        return Ok(CallerAccount::Unchecked);
    }
    let key = api_key(&head.headers).unwrap_or_default();
    match configuration.account_of_key(key) {
        Some(account) => {
            apply_terms(account, route)?;
            Ok(CallerAccount::Named(account.name.clone()))
        }
        None if is_public => Ok(CallerAccount::Anonymous),
        None => Err(Rejection::new(
            "no account holds the key",
            GatewayResponse::new(401),
        )),
    }
}

/// Returns the account of a request that another host forwarded on a route to which it has applied
/// the account's terms.
///
/// A host of the build before, or one whose configuration has no accounts yet, states no account;
/// then this host checks the key, which such a host passes on.
///
/// # Errors
///
/// Fails with status 503 if no account is stated and the key is not valid here.
pub fn identify_forwarded(
    configuration: &Configuration,
    head: &RequestHead,
    route: &mut ResolvedRoute,
) -> Result<CallerAccount, Rejection> {
    if let Some(value) = head.header(ACCOUNT_HEADER) {
        return Ok(CallerAccount::of_header(value));
    }
    let host = head.header("host").unwrap_or_default();
    let configured = configuration.route(host, head.path());
    let is_public = configured.is_some_and(|route| route.is_public);
    identify_caller(configuration, head, is_public, route).map_err(|rejection| {
        let response = GatewayResponse::refusal(UNKNOWN_ACCOUNT_RETRY_MS);
        Rejection::new(rejection.cause, response)
    })
}

/// Applies the priority and the homes of an account to a route.
///
/// # Errors
///
/// Fails with status 503 if no region is a home of both.
fn apply_terms(account: &Account, route: &mut ResolvedRoute) -> Result<(), Rejection> {
    route.priority = account.priority.or(route.priority);
    if account.home_regions.is_empty() {
        return Ok(());
    }
    if route.home_regions.is_empty() {
        route.home_regions = account.home_regions.clone();
        return Ok(());
    }
    let homes = &account.home_regions;
    route.home_regions.retain(|region| homes.contains(region));
    match route.home_regions.is_empty() {
        true => Err(Rejection::new(
            "no region is a home of both the account and the route",
            GatewayResponse::refusal(NO_HOME_RETRY_MS),
        )),
        false => Ok(()),
    }
}

impl Reactor {
    /// Answers a request that is not started.
    pub(super) fn reject_request(&mut self, key: usize, attempt: &str, rejection: Rejection) {
        let response = rejection.response;
        let account = rejection.account.as_ref();
        let now_ms = self.now_ms();
        if self.telemetry.admits_rejection_line(now_ms) {
            tracing::info!(
                request = attempt,
                account = account.map(|(name, _)| name.as_str()),
                level = account.map(|(_, level)| *level),
                cause = rejection.cause,
                retry_ms = response.retry_after_ms,
                outcome = "refused",
                status = response.status,
                "request answered"
            );
        }
        let account = account.map(|(name, _)| name.as_str());
        self.telemetry.count_rejected(account, response.status);
        self.respond(key, response);
    }
}
