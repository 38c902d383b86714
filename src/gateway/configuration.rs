//! The operators' configuration: routes, services and caller limits.
//!
//! A [`Configuration`] is immutable. A host replaces it as a whole, and only by
//! one with a higher version, so that it never handles a request as an older
//! version would after a newer one took effect.

use compact_str::CompactString;

/// Whether a request may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    Never,
    /// A stream that another endpoint may continue after the last event.
    Resume,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: CompactString,
    /// Share, relative to the other targets.
    pub weight: f64,
}

/// Where requests with a host and a path prefix go, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Value of the `Host` header.
    pub host: CompactString,
    /// Start of the path; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether the answer is a series of events.
    pub is_stream: bool,
    /// Whether requests may run again.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time.
    pub goal_ms: u64,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: Option<u8>,
    /// Services that serve the route.
    pub targets: Vec<RouteTarget>,
    /// Regions that may serve the route; any region if empty.
    pub home_regions: Vec<CompactString>,
}

/// A group of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// How long an endpoint is cold after it starts.
    pub cold_ms: u64,
    /// Requests a second that a cold endpoint tolerates; 0 for no limit.
    pub cold_per_s: f64,
    /// What its endpoints are, if they are model engines.
    pub engine: Option<Engine>,
}

/// Properties of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and answers.
    pub memory_tokens: u64,
    /// Time to copy a cached token to another engine; none if they do not copy.
    pub copy_ms_per_token: Option<f64>,
}

/// What callers may send.
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
    /// Limits until a configuration is known: those of common HTTP servers.
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
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The route with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Number of routes that only some regions may serve, this one among them.
    pub fn home_route_count(&self, region: &str) -> usize {
        self.routes
            .iter()
            .filter(|route| !route.home_regions.is_empty() && route.allows_region(region))
            .count()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// The service for a request, chosen by weight from `draw` in `0.0..1.0`.
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

    /// Whether a region may serve the route.
    pub fn allows_region(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}
