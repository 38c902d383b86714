//! The operators' configuration: routes, services and caller limits.
//!
//! A [`Configuration`] is immutable. A host replaces it as a unit, and only by one
//! with a higher version, so that it never handles a request according to an older
//! version after a newer one took effect.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::{
    account::{
        Account,
        account_of_key, //
    },
    gap_goal::GapGoal, //
};
use crate::types::counter;

counter!(
    /// Version of the operators' configuration.
    ConfigurationVersion,
    "configuration version"
);

/// Whether a request that may have run may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Never,
    /// The response is a stream that another endpoint can continue after the last
    /// event.
    Resume,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: CompactString,
    /// Share of the requests, relative to the other targets.
    pub weight: f64,
}

/// Services and rules for the requests with a `Host` header and a path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in log lines.
    pub name: CompactString,
    /// Value of the `Host` header.
    pub host: CompactString,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Time limit of a request.
    pub timeout_ms: u64,
    /// Latency goal of the response, or of its first event.
    pub goal_ms: u64,
    /// Largest number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: Option<u8>,
    /// Services that serve the route.
    pub targets: Vec<RouteTarget>,
    /// Regions that may serve the route; any region if empty.
    pub home_regions: Vec<CompactString>,
    /// Whether requests need no key of a client account.
    pub is_public: bool,
    /// Longest pause between events of an answer that is on time; none if any is.
    pub gap_goal_ms: Option<u64>,
}

/// A group of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Path of health checks of its endpoints; none if they have none.
    pub health_path: Option<CompactString>,
    /// Time for which an endpoint is cold after its start.
    pub cold_ms: u64,
    /// Requests a second that a cold endpoint tolerates; 0 for no limit.
    pub cold_per_s: f64,
    /// Properties of its endpoints, if they are model engines.
    pub engine: Option<Engine>,
}

/// Properties of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory for prompts and responses, in tokens.
    pub memory_tokens: u64,
    /// Time to copy a cached token to another engine; none if engines do not copy.
    pub copy_ms_per_token: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request.
    pub max_head_bytes: usize,
    /// Longest body of a request.
    pub max_body_bytes: usize,
    /// Longest time between the first byte of a request and the end of its head.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits before a configuration is known: those of common HTTP
    /// servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Version; a higher one replaces a lower one.
    pub version: ConfigurationVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: Vec<Account>,
}

impl Configuration {
    /// Returns the client account that holds a key.
    pub fn account_of_key(&self, key: &str) -> Option<&Account> {
        account_of_key(&self.accounts, key)
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// Returns the route of the host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the number of routes that are restricted to some regions, of which
    /// `region` is one.
    pub fn home_route_count(&self, region: &str) -> usize {
        self.routes
            .iter()
            .filter(|route| !route.home_regions.is_empty() && route.allows_region(region))
            .count()
    }

    /// Returns the strictest goal for pauses of the routes that each service serves; nothing for
    /// a service without one.
    pub fn gap_goals(&self) -> BTreeMap<CompactString, GapGoal> {
        let mut goals: BTreeMap<CompactString, GapGoal> = BTreeMap::new();
        for route in &self.routes {
            let Some(goal) = route.gap_goal_ms.and_then(GapGoal::from_ms) else {
                continue;
            };
            for target in &route.targets {
                let strictest = goals.entry(target.service.clone()).or_insert(goal);
                if goal < *strictest {
                    *strictest = goal;
                }
            }
        }
        goals
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// Returns the service for a request, chosen by weight with the random number
    /// `draw` in `0.0..1.0`.
    pub fn pick_service(&self, draw: f64) -> Option<&CompactString> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }

    /// Returns the service to which all requests go; none if there are several.
    pub fn only_service(&self) -> Option<&CompactString> {
        let targets = self.targets.iter().map(|target| &target.service);
        let mut services = targets.filter(|service| self.sends_to(service));
        let first = services.next()?;
        services.all(|service| service == first).then_some(first)
    }

    /// Returns whether requests may go to a service.
    pub fn sends_to(&self, service: &str) -> bool {
        let is_any_weighted = self.targets.iter().any(|target| target.weight > 0.0);
        match is_any_weighted {
            true => {
                let mut targets = self.targets.iter();
                targets.any(|target| target.service == service && target.weight > 0.0)
            }
            false => self.pick_service(0.0).is_some_and(|only| only == service),
        }
    }

    /// Returns whether a region may serve the route.
    pub fn allows_region(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}
