//! Software versions of streams: which one began a stream, and where it may continue.

use std::time::Instant;

use compact_str::CompactString;

use super::{
    configuration::{
        RetryPolicy,
        Route, //
    },
    copy_checks::WAIT_LIMIT,
    exchange::{
        Destination,
        Dispatch,
        Exchange, //
    },
    origin_exchange::OriginLookup,
    reactor::Reactor,
    request::RequestMetadata,
    serve_completion::UNREACHABLE_RETRY_MS,
    software_version::SoftwareVersion,
    stream_origins::{
        AttemptHash,
        ServiceVersion,
        StreamOrigin, //
    }, //
};

/// A stream that its caller takes up and whose beginning is unknown, while other hosts are asked
/// for it, and the store whether another software version may have begun it.
#[derive(Debug)]
pub(super) struct VersionSearch {
    key: usize,
    serial: u64,
    /// Versions that join later have not begun the stream.
    arrived_at: Instant,
    /// Question to other hosts.
    pub(super) lookup: OriginLookup,
}

/// What is known of the software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StreamVersion {
    /// The version.
    Known(ServiceVersion),
    /// The version, unless the copy of the store lacks another one.
    Only(ServiceVersion),
    /// Unknown.
    Unknown,
}

impl Reactor {
    /// Places a request, or refuses it if it takes up a stream whose software version is
    /// unknown.
    pub(super) fn place_at_version(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if !exchange.is_taken_up() || exchange.route.software_version.is_some() {
            self.count_request(key, now_ms);
            return self.place_exchange(key);
        }
        let begun_by = exchange.request.metadata.begun_by.as_deref();
        let begun_by = begun_by.and_then(AttemptHash::of_stated);
        let search = VersionSearch {
            key,
            serial: exchange.serial,
            arrived_at: Instant::now(),
            lookup: OriginLookup::new(begun_by, now_ms),
        };
        if !self.try_place_at_version(&search, now_ms) {
            self.version_searches.push(search);
        }
    }

    /// Goes on with the streams whose software version other hosts or the store were asked for.
    pub(super) fn continue_version_searches(&mut self, now_ms: u64) {
        let mut searches = std::mem::take(&mut self.version_searches);
        self.look_up_origins(&mut searches, now_ms);
        for search in searches {
            let exchange = self.exchanges.get(search.key);
            let is_open = exchange.is_some_and(|exchange| exchange.serial == search.serial);
            if is_open && !self.try_place_at_version(&search, now_ms) {
                self.version_searches.push(search);
            }
        }
    }

    /// Places or refuses a taken-up stream; returns false if other hosts or the store have to be
    /// asked first.
    fn try_place_at_version(&mut self, search: &VersionSearch, now_ms: u64) -> bool {
        let exchange = &self.exchanges[search.key];
        let begun_by = exchange.request.metadata.begun_by.as_deref();
        let begun_at = match self.stream_version(begun_by, exchange, now_ms) {
            StreamVersion::Known(begun_at) => begun_at,
            _ if !search.lookup.is_over(now_ms) => return false,
            StreamVersion::Only(only) if self.copy_checks.covers(search.arrived_at) => only,
            StreamVersion::Only(_) if self.may_search(search) => return false,
            StreamVersion::Only(_) | StreamVersion::Unknown => {
                self.refuse_unknown_version(search);
                return true;
            }
        };
        if !self.is_sent_to(exchange, &begun_at.service) {
            let cause = "the stream's service is not one of its route";
            self.refuse(search.key, cause, UNREACHABLE_RETRY_MS);
            return true;
        }
        let route = &mut self.exchanges[search.key].route;
        route.service = begun_at.service;
        route.software_version = Some(begun_at.version);
        self.count_request(search.key, now_ms);
        self.place_exchange(search.key);
        true
    }

    /// Returns whether the configuration in force lets a request go to a service.
    fn is_sent_to(&self, exchange: &Exchange, service: &str) -> bool {
        let route = self.configured_route(exchange);
        route.is_some_and(|route| route.sends_to(service))
    }

    fn configured_route(&self, exchange: &Exchange) -> Option<&Route> {
        let head = &exchange.request.head;
        let host = head.header("host").unwrap_or_default();
        self.configuration.as_ref()?.route(host, head.path())
    }

    /// Returns the only service at which a stream can have begun that a request takes up; none if
    /// there are several, in the configuration in force and in those a moment ago.
    fn only_service(&self, exchange: &Exchange, now_ms: u64) -> Option<&CompactString> {
        let head = &exchange.request.head;
        let host = head.header("host").unwrap_or_default();
        let service = self.configured_route(exchange)?.only_service()?;
        let history = &self.route_history;
        let is_only = history.allows_only(service, host, head.path(), now_ms);
        is_only.then_some(service)
    }

    /// Returns the service at which the stream began that a request takes up; none if it begins
    /// a new one, or if the service is unknown or no longer one of the route.
    pub(super) fn service_of_stream(
        &self,
        route: &Route,
        metadata: &RequestMetadata,
    ) -> Option<&CompactString> {
        let is_taken_up =
            route.retry_policy == RetryPolicy::Resume && metadata.last_event_id.is_some();
        let begun_by = metadata.begun_by.as_deref().filter(|_| is_taken_up)?;
        let service = &self.origins.begun_at(begun_by)?.service;
        route.sends_to(service).then_some(service)
    }

    fn refuse_unknown_version(&mut self, search: &VersionSearch) {
        let checked_at = self.copy_checks.complete_until();
        let metadata = &self.exchanges[search.key].request.metadata;
        tracing::info!(
            request = %metadata.attempt_id,
            begun_by = metadata.begun_by.as_deref(),
            waited_ms = search.arrived_at.elapsed().as_millis() as u64,
            copy_age_ms = checked_at.map(|at| at.elapsed().as_millis() as u64),
            "software version that began a stream is unknown"
        );
        let cause = "software version of the stream is unknown";
        self.refuse(search.key, cause, UNREACHABLE_RETRY_MS);
    }

    /// Asks the store whether the copy lacks a software version; returns false if no answer is
    /// to be expected in time.
    fn may_search(&mut self, search: &VersionSearch) -> bool {
        let now = Instant::now();
        let is_late = now >= search.arrived_at + WAIT_LIMIT;
        let is_asked = self.copy_checks.begin(now);
        is_asked && !is_late && !self.copy_checks.has_failed(now)
    }

    /// Returns the software version at which the stream of an attempt began, as far as this
    /// host knows.
    ///
    /// If the attempt is unknown, it is the only version of the only service that the request can
    /// have had since, unless the host may not know all versions.
    fn stream_version(
        &self,
        begun_by: Option<&str>,
        exchange: &Exchange,
        now_ms: u64,
    ) -> StreamVersion {
        let known = begun_by.and_then(|attempt| self.origins.begun_at(attempt));
        if let Some(begun_at) = known {
            return StreamVersion::Known(begun_at.clone());
        }
        let only = self.only_service(exchange, now_ms).and_then(|service| {
            let version = self.fleet.only_version(service, now_ms)?;
            let has_other = self.origins.has_other(service, version, now_ms);
            (!has_other).then(|| ServiceVersion {
                service: service.clone(),
                version: version.clone(),
            })
        });
        let only = only.filter(|_| self.store_recovered_ms.is_some());
        only.map_or(StreamVersion::Unknown, StreamVersion::Only)
    }

    /// Returns whether a region has an endpoint of the software version to which a request
    /// is bound.
    pub(super) fn serves_version_of(&self, exchange: &Exchange, region: &str, now_ms: u64) -> bool {
        let route = &exchange.route;
        route.software_version.as_ref().is_none_or(|version| {
            self.fleet
                .has_version(region, &route.service, version, now_ms)
        })
    }

    /// Returns whether a request may go to any software version, or a region that may serve
    /// it has an endpoint of the one to which it is bound.
    pub(super) fn is_version_served(&self, exchange: &Exchange, now_ms: u64) -> bool {
        let mut regions = self.settings.regions.values();
        let is_served_in = |region: &CompactString| {
            exchange.route.allows_region(region) && self.serves_version_of(exchange, region, now_ms)
        };
        exchange.route.software_version.is_none() || regions.any(is_served_in)
    }

    /// Returns the software version that serves a dispatch, if it is known by now.
    fn served_version(&self, dispatch: &Dispatch) -> Option<SoftwareVersion> {
        let stated = dispatch.software_version.clone();
        let Destination::Endpoint(choice) = &dispatch.destination else {
            return stated;
        };
        let endpoint = self.fleet.get(&choice.endpoint)?;
        if dispatch.start != Some(endpoint.start()) {
            return stated;
        }
        let upstream = self.upstreams.get(dispatch.upstream);
        let established_ms = upstream.and_then(|upstream| upstream.established_ms);
        let is_served_by_start = match endpoint.start_doubt().filter(|doubt| doubt.has_sign()) {
            Some(doubt) => established_ms.is_some_and(|at_ms| doubt.is_before_sign(at_ms)),
            None => true,
        };
        is_served_by_start.then(|| endpoint.announcement.software_version.clone())
    }

    /// Binds a stream that can be taken up to the software version of its first event,
    /// and informs the other hosts.
    pub(super) fn record_origin(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get(key) else {
            return;
        };
        if !exchange.route.is_resumable || exchange.route.software_version.is_some() {
            return;
        }
        let dispatch = exchange.dispatch.as_ref();
        let version = dispatch.and_then(|dispatch| self.served_version(dispatch));
        let Some(version) = version else {
            return;
        };
        let exchange = &mut self.exchanges[key];
        exchange.route.software_version = Some(version.clone());
        let origin = StreamOrigin {
            attempt: AttemptHash::new(&exchange.request.metadata.attempt_id),
            service: exchange.route.service.clone(),
            version,
        };
        if self.origins.record(&origin, now_ms) {
            self.pending_origins.add_own(origin);
        }
    }

    /// Records streams that began in another region, for the hosts of this one as well.
    pub(super) fn relay_origins(&mut self, origins: Vec<StreamOrigin>, now_ms: u64) {
        for origin in origins {
            // Also if this host knows it by now: its region has been told of it by no other.
            self.origins.record(&origin, now_ms);
            self.pending_origins.add_relayed(origin);
        }
    }
}
