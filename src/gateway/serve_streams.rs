//! Software versions of streams: which one began a stream, and where it may continue.

use compact_str::CompactString;

use super::{
    exchange::Exchange,
    reactor::Reactor,
    software_version::SoftwareVersion,
    stream_origins::{
        AttemptHash,
        StreamOrigin, //
    }, //
};

impl Reactor {
    /// Sets the software version of a stream that its caller takes up; returns false if
    /// it is unknown.
    pub(super) fn find_stream_version(&mut self, key: usize, now_ms: u64) -> bool {
        let Some(exchange) = self.exchanges.get(key) else {
            return false;
        };
        if !exchange.is_taken_up() || exchange.route.software_version.is_some() {
            return true;
        }
        let begun_by = exchange.request.metadata.begun_by.as_deref();
        let version = self.stream_version(begun_by, &exchange.route.service, now_ms);
        self.exchanges[key].route.software_version = version;
        self.exchanges[key].route.software_version.is_some()
    }

    /// Returns the software version at which the stream of an attempt began.
    ///
    /// If the attempt is unknown, it is the only version that has served since, unless
    /// this host may not know all versions.
    fn stream_version(
        &self,
        begun_by: Option<&str>,
        service: &str,
        now_ms: u64,
    ) -> Option<SoftwareVersion> {
        let known = begun_by.and_then(|attempt| self.origins.version_of(attempt));
        if let Some(version) = known {
            return Some(version.clone());
        }
        self.store_recovered_ms?;
        let only = self.fleet.only_version(service, now_ms)?;
        (!self.origins.has_other(service, only, now_ms)).then(|| only.clone())
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

    /// Binds a stream that can be taken up to the software version of its first event,
    /// and informs the other hosts.
    pub(super) fn record_origin(&mut self, key: usize, now_ms: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        if !exchange.route.is_resumable || exchange.route.software_version.is_some() {
            return;
        }
        let dispatch = exchange.dispatch.as_ref();
        let Some(version) = dispatch.and_then(|dispatch| dispatch.software_version.clone()) else {
            return;
        };
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
            if self.origins.record(&origin, now_ms) {
                self.pending_origins.add_relayed(origin);
            }
        }
    }
}
