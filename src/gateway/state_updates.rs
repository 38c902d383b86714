//! Changes of the reactor's state: updates of the store replica, and beacons.

use std::{
    io::ErrorKind,
    time::Instant, //
};

use super::{
    commands::Command,
    configuration::{
        Configuration,
        Service, //
    },
    endpoint::Endpoint,
    fleet::EndpointQuery,
    hosts::{
        Beacon,
        QueueLoad,
        ServiceLoad, //
    },
    known_state::KnownState,
    load_updates::{
        EndpointLoadShare,
        MAX_LEAVING,
        Packet, //
    },
    reactor::Reactor,
    request::RequestMetadata,
    service_room::{
        RegionRoom,
        ServiceRoom, //
    },
    store_replica::{
        ReplicaReader,
        Update, //
    },
};

/// Largest packet between hosts; it fits into one IP packet on common links.
const MAX_PACKET_BYTES: usize = 1_400;
/// Interval of beacons to the hosts of the region, per host, so that a host
/// receives about as many a second whatever the size of the region.
const BEACON_INTERVAL_PER_HOST_MS: u64 = 9;
/// Shortest interval of beacons to the region.
const MIN_BEACON_INTERVAL_MS: u64 = 100;
/// Longest interval of beacons to the region; a few of them fit into the time
/// without packets after which a host counts as lost.
const MAX_BEACON_INTERVAL_MS: u64 = 900;
/// Shortest interval of sums over the loads of other hosts, while new loads
/// arrive.
const LOAD_SUM_INTERVAL_MS: u64 = 10;
/// Shortest interval of sums over the loads of other hosts otherwise.
const IDLE_LOAD_SUM_INTERVAL_MS: u64 = 100;
/// Time for which this host's revision has to lag before it fetches changes: a
/// change takes a round trip between regions to reach all hosts.
const LAG_BEFORE_RESYNC_MS: u64 = 400;
/// Shortest interval between two such fetches.
const RESYNC_INTERVAL_MS: u64 = 400;
/// Time after the start in which only the store is asked.
const SEED_DELAY_MS: u64 = 1_000;
/// Time within which announcements that expired during an outage of the store are
/// renewed: the platform's two seconds and the network latency.
pub(super) const ANNOUNCEMENT_RENEWAL_MS: u64 = 2_200;
/// Most stream origins in a beacon, so that it fits into one packet.
const MAX_REMOTE_ORIGINS: usize = 24;
/// Interval of beacons to one host of each other region.
const REMOTE_BEACON_INTERVAL_MS: u64 = 400;
/// The same while a region does not know all streams that this host began: a caller may
/// take one up there at any moment.
const ORIGIN_BEACON_INTERVAL_MS: u64 = 50;

impl Reactor {
    /// Applies a change of the replica.
    pub(super) fn apply_update(&mut self, update: Update) {
        let now_ms = self.now_ms();
        match update {
            Update::Configuration(configuration) => self.configure(configuration),
            Update::Endpoint(id, announcement) => {
                let stage = announcement.stage;
                let known = self
                    .fleet
                    .get(&id)
                    .map(|endpoint| endpoint.announcement.stage);
                if known != Some(stage) {
                    tracing::info!(
                        endpoint = %id,
                        service = %announcement.service,
                        address = %announcement.address,
                        software_version = %announcement.software_version,
                        start = announcement.order.started_ms,
                        stage = ?stage,
                        cold_left_ms = announcement.cold_left_ms,
                        "endpoint announced"
                    );
                }
                let order = announcement.order;
                if self
                    .fleet
                    .get(&id)
                    .is_some_and(|known| known.announcement.order.started_ms != order.started_ms)
                {
                    self.confirm_crash(&id, now_ms);
                }
                let was_cold = self.is_cold(&id, now_ms);
                let was_known = self.fleet.get(&id).is_some();
                if !self.fleet.apply_announcement(&id, announcement, now_ms) {
                    tracing::warn!(
                        endpoint = %id,
                        "announcement ignored; the endpoint is in an unknown data centre"
                    );
                }
                if !was_cold {
                    self.log_cold(&id, "announcement", now_ms);
                }
                if !was_known {
                    self.doubt_as_new_host(&id, now_ms);
                }
                self.resume_start_check(&id, now_ms);
            }
            Update::EndpointRemoved(id) => {
                let delay_ms = self.withdrawal_delay_ms(now_ms);
                tracing::info!(endpoint = %id, delay_ms, "endpoint is no longer announced");
                self.fleet.withdraw(&id, now_ms + delay_ms);
            }
            Update::Evacuated(data_centre, is_evacuated) => {
                tracing::info!(%data_centre, is_evacuated, "evacuation changed");
                let configuration = self.configuration.clone().unwrap_or_default();
                let cold_count =
                    self.fleet
                        .set_evacuated(&data_centre, is_evacuated, &configuration, now_ms);
                if cold_count > 0 {
                    tracing::info!(
                        %data_centre,
                        endpoints = cold_count,
                        source = "evacuation",
                        "endpoints count as cold"
                    );
                }
            }
            Update::Host(info) => {
                tracing::info!(host = %info.name, "host registered");
                self.hosts.register(info);
            }
            Update::HostRemoved(name) => {
                tracing::info!(host = %name, "host is no longer registered");
                self.hosts.unregister(&name);
            }
            Update::Verdict(suspect, verdict) => {
                tracing::info!(
                    %suspect,
                    crashes = verdict.crashes.len(),
                    "item of a crashing request read"
                );
                self.apply_stored_verdict(suspect, &verdict);
            }
            Update::VerdictRemoved(suspect) => {
                tracing::info!(%suspect, "item of a crashing request was deleted");
                self.forget_stored_verdict(suspect);
            }
            Update::StoreReachable(is_reachable) => {
                self.hosts.set_store_reachable(is_reachable);
                self.health_checks.record_store(is_reachable, now_ms);
                self.store_recovered_ms = is_reachable.then_some(now_ms);
            }
            Update::ServedVersions(service, served) => self.apply_served_versions(service, served),
            Update::ServedVersionsRemoved(service) => self.forget_served_versions(&service),
            Update::CopyChecked(check) => {
                self.copy_checks.record(check, Instant::now());
                self.continue_version_searches(now_ms);
            }
            Update::Origins(fetched) => self.apply_fetched_origins(fetched),
            Update::StoreReturned => {
                // Announcements that the copy lacks are renewed as after an outage.
                if self.store_recovered_ms.is_some() {
                    self.store_recovered_ms = Some(now_ms);
                }
            }
            Update::Synchronised => {
                self.is_synchronised = true;
                // The other hosts are known now, and have to know this one.
                self.next_beacon_ms = 0;
            }
        }
    }

    /// Carries out a command to the process.
    pub(super) fn carry_out(&mut self, command: Command) {
        match command {
            Command::RecordFailedRenewal => self.record_failed_renewal(),
            Command::Reload => self.reload_settings(),
            Command::Stop => self.begin_shutdown(self.now_ms()),
        }
    }

    pub(super) fn is_cold(&self, id: &str, now_ms: u64) -> bool {
        let endpoint = self.fleet.get(id);
        endpoint.is_some_and(|endpoint| endpoint.is_cold(now_ms))
    }

    /// Logs that an endpoint is cold, if it is, and how this host knows that.
    pub(super) fn log_cold(&self, id: &str, source: &str, now_ms: u64) {
        let Some(endpoint) = self.fleet.get(id).filter(|one| one.is_cold(now_ms)) else {
            return;
        };
        tracing::info!(
            endpoint = id,
            cold_left_ms = endpoint.cold_left_ms(now_ms),
            source,
            "endpoint counts as cold"
        );
    }

    /// Returns the time for which an endpoint stays in use after its announcement
    /// ended.
    ///
    /// While the store is unreachable, announcements expire although the endpoints
    /// are alive; they are renewed shortly after the store has recovered.
    fn withdrawal_delay_ms(&self, now_ms: u64) -> u64 {
        let is_settled = self
            .store_recovered_ms
            .is_some_and(|recovered_ms| now_ms >= recovered_ms + ANNOUNCEMENT_RENEWAL_MS);
        if is_settled {
            0
        } else {
            ANNOUNCEMENT_RENEWAL_MS
        }
    }

    fn configure(&mut self, configuration: std::sync::Arc<Configuration>) {
        let known = self.configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| configuration.version <= known) {
            tracing::info!(
                version = configuration.version.0,
                in_force = known.map(|known| known.0),
                "older configuration ignored"
            );
            return;
        }
        tracing::info!(
            version = configuration.version.0,
            before = known.map(|known| known.0),
            routes = configuration.routes.len(),
            "configuration in force"
        );
        self.fleet.configure(&configuration);
        let now_ms = self.now_ms();
        let possible_count = self.hosts.possible_count(now_ms);
        let accounts = &configuration.accounts;
        self.allotments.configure(accounts, possible_count, now_ms);
        self.gap_goals = configuration.gap_goals();
        self.route_history.configure(&configuration, now_ms);
        self.configuration = Some(configuration);
    }

    fn reload_settings(&mut self) {
        let Some(settings) = self.reload.as_ref().and_then(|read| read()) else {
            return;
        };
        tracing::info!(host = %settings.host.name, "settings reloaded");
        self.settings.cold = settings.cold;
        self.settings.shutdown_ms = settings.shutdown_ms;
    }

    fn begin_shutdown(&mut self, now_ms: u64) {
        if self.shutdown_started_ms.is_some() {
            return;
        }
        tracing::info!(
            requests = self.exchanges.len(),
            limit_ms = self.settings.shutdown_ms,
            "shutting down; waiting for requests in progress"
        );
        self.shutdown_started_ms = Some(now_ms);
        self.hosts.set_leaving(now_ms);
        self.next_beacon_ms = 0;
        self.next_remote_beacon_ms = 0;
    }

    /// Sends the beacons that are due.
    pub(super) fn send_beacons(&mut self, now_ms: u64) {
        if now_ms >= self.next_beacon_ms {
            let running = self.hosts.running_in_region(now_ms);
            let peers: Vec<std::net::SocketAddr> = running.map(|host| host.peer_address).collect();
            let interval_ms = (peers.len() as u64 * BEACON_INTERVAL_PER_HOST_MS)
                .clamp(MIN_BEACON_INTERVAL_MS, MAX_BEACON_INTERVAL_MS);
            self.next_beacon_ms = now_ms + interval_ms;
            if !peers.is_empty() {
                let beacon = self.local_beacon();
                self.send_packet(&Packet::Beacon(beacon), &peers);
            }
        }
        let early_ms = match self.pending_origins.has_remote() {
            true => REMOTE_BEACON_INTERVAL_MS - ORIGIN_BEACON_INTERVAL_MS,
            false => 0,
        };
        if now_ms + early_ms >= self.next_remote_beacon_ms {
            self.next_remote_beacon_ms = now_ms + REMOTE_BEACON_INTERVAL_MS;
            let peers = self.one_host_of_each_region(now_ms);
            if !peers.is_empty() {
                let beacon = self.remote_beacon(now_ms);
                self.send_packet(&Packet::Beacon(beacon), &peers);
                if let Some(room) = self.region_room(now_ms) {
                    self.send_packet(&Packet::RegionRoom(room), &peers);
                }
            }
        }
    }

    /// Returns the peer addresses of the other live hosts of a region.
    pub(super) fn peers_in(&self, region: &str, now_ms: u64) -> Vec<std::net::SocketAddr> {
        self.hosts
            .live_in(region, now_ms)
            .map(|host| host.peer_address)
            .collect()
    }

    pub(super) fn one_host_of_each_region(&mut self, now_ms: u64) -> Vec<std::net::SocketAddr> {
        let regions = self.other_regions.clone();
        regions
            .iter()
            .filter_map(|region| self.random_host(region, now_ms))
            .map(|host| host.peer_address)
            .collect()
    }

    /// Returns the state of the store that this host knows.
    fn known(&self) -> KnownState {
        let replica = self.replica.as_ref();
        replica.map_or_else(KnownState::default, ReplicaReader::known)
    }

    /// Requests changes from the sender of a beacon if this host has lagged behind for
    /// some time.
    ///
    /// Changes reach hosts at different times, so a short lag is normal.
    fn check_lag(&mut self, beacon: &Beacon, now_ms: u64) {
        let known = self.known();
        if !known.lags_behind(beacon.known()) {
            return;
        }
        // Other hosts may lag as much, so the lag ends only when this host itself
        // advances.
        let (since_ms, _) = *self
            .lag_since
            .filter(|(_, at_start)| *at_start == known)
            .get_or_insert((now_ms, known));
        self.lag_since = Some((since_ms, known));
        if now_ms >= since_ms + LAG_BEFORE_RESYNC_MS {
            self.request_resync(beacon.host.peer_address, now_ms);
        }
    }

    /// Requests changes from a seed while the replica is empty, because the store may
    /// be unreachable.
    pub(super) fn resync_from_seeds(&mut self, now_ms: u64) {
        if self.is_synchronised || self.settings.seeds.is_empty() || now_ms < SEED_DELAY_MS {
            return;
        }
        let index = self.random_index(self.settings.seeds.len());
        let seed = self.settings.seeds[index];
        if seed != self.settings.host.peer_address {
            self.request_resync(seed, now_ms);
        }
    }

    fn request_resync(&mut self, peer: std::net::SocketAddr, now_ms: u64) {
        if now_ms < self.next_resync_ms {
            return;
        }
        self.next_resync_ms = now_ms + RESYNC_INTERVAL_MS;
        if let Some(requests) = &self.resync_requests {
            // The channel is full while a fetch is in progress; one is enough.
            let _ = requests.try_send(peer);
        }
    }

    fn new_beacon(&mut self) -> Beacon {
        self.beacon_sequence += 1;
        let known = self.known();
        Beacon {
            host: self.settings.host.clone(),
            started_ms: self.instance_started_ms,
            sequence: self.beacon_sequence,
            revision: known.position.revision,
            is_leaving: self.shutdown_started_ms.is_some(),
            shares: Vec::new(),
            queues: Vec::new(),
            services: Vec::new(),
            era: known.position.era,
            configuration: known.configuration,
            leaving: Vec::new(),
            origins: Vec::new(),
            is_cut_off: self.is_cut_off(),
        }
    }

    fn local_beacon(&mut self) -> Beacon {
        let mut beacon = self.new_beacon();
        beacon.shares = self
            .fleet
            .busy()
            .map(|endpoint| EndpointLoadShare::new(endpoint.hash, endpoint.own_load))
            .collect();
        beacon.queues = self.own_queues();
        beacon.leaving = self.fleet.leaving().take(MAX_LEAVING).collect();
        beacon
    }

    fn own_queues(&self) -> Vec<QueueLoad> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let configuration = self.configuration.clone().unwrap_or_default();
        let now_ms = self.now_ms();
        let queues = configuration.services.iter().map(|service| QueueLoad {
            service: service.name.clone(),
            work_ms: self.own_queue_ms(service, None, now_ms) as u32,
        });
        queues.filter(|queue| queue.work_ms > 0).collect()
    }

    fn remote_beacon(&mut self, now_ms: u64) -> Beacon {
        let mut beacon = self.new_beacon();
        beacon.origins = self.pending_origins.take_remote(MAX_REMOTE_ORIGINS);
        let Some(configuration) = self.configuration.clone().filter(|_| !beacon.is_cut_off) else {
            return beacon;
        };
        beacon.services = configuration
            .services
            .iter()
            .map(|service| self.service_load(service, now_ms))
            .collect();
        beacon
    }

    /// Returns the room for streams in this region, as other regions are told; none if no route
    /// sets a goal for pauses.
    fn region_room(&self, now_ms: u64) -> Option<RegionRoom> {
        let is_cut_off = self.is_cut_off();
        let configuration = self.configuration.as_ref().filter(|_| !is_cut_off)?;
        let services = configuration.services.iter();
        let paced = services.filter(|service| self.gap_goal(&service.name).is_some());
        let rooms: Vec<ServiceRoom> = paced
            .filter_map(|service| self.fleet.room(service, now_ms))
            .collect();
        (!rooms.is_empty()).then(|| RegionRoom {
            region: self.settings.host.region.clone(),
            services: rooms,
        })
    }

    /// Returns the load of a service in this region, as other regions are told.
    ///
    /// Endpoints with a limit are offered to them only if there is no other.
    fn service_load(&self, service: &Service, now_ms: u64) -> ServiceLoad {
        let is_warm =
            |endpoint: &&Endpoint| !endpoint.bound(now_ms).is_some_and(|one| one.is_cold());
        let usable = self.fleet.usable(&service.name, now_ms);
        let (limited, free): (Vec<&Endpoint>, Vec<&Endpoint>) = usable
            .filter(is_warm)
            .partition(|endpoint| endpoint.limit().is_some());
        let mean_ms = match free.is_empty() {
            true => self.limit_wait_ms(service, now_ms),
            false => {
                let backlogs = free.iter();
                let backlogs =
                    backlogs.map(|endpoint| self.fleet.backlog_ms(endpoint, service, now_ms));
                let queue_ms = self.queue_ms(service, None, now_ms);
                backlogs.sum::<f64>() / free.len() as f64 + queue_ms
            }
        };
        let offered = if free.is_empty() { limited } else { free };
        ServiceLoad {
            service: service.name.clone(),
            endpoint_count: offered.len() as u32,
            backlog_ms: mean_ms as u32,
        }
    }

    /// Returns the wait of a new request if all endpoints of a service have a limit.
    fn limit_wait_ms(&self, service: &Service, now_ms: u64) -> f64 {
        let metadata = RequestMetadata::default();
        let query = EndpointQuery {
            waiting_ahead: self.waiting_count(&service.name, None, now_ms),
            ..EndpointQuery::new(service, &metadata, &self.region_view)
        };
        let wait = self.fleet.limit_wait(&query, now_ms);
        wait.map_or(0.0, |wait| wait.wait_ms)
    }

    /// Sends a packet to each of `peers`.
    pub(super) fn send_packet(&mut self, packet: &Packet, peers: &[std::net::SocketAddr]) {
        let bytes = match postcard::to_allocvec(packet) {
            Ok(bytes) if bytes.len() <= MAX_PACKET_BYTES => bytes,
            Ok(bytes) => {
                tracing::warn!(
                    bytes = bytes.len(),
                    "packet exceeds the largest size and was not sent"
                );
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "could not encode a packet; it was not sent");
                return;
            }
        };
        for peer in peers {
            // The next packet makes up for a lost one.
            if let Err(error) = self.beacon_socket.send_to(&bytes, *peer) {
                tracing::debug!(%peer, %error, "could not send a packet");
            }
        }
    }

    /// Sums the loads of the region's other hosts at each endpoint, if that is due.
    pub(super) fn update_peer_loads(&mut self, now_ms: u64) {
        if now_ms < self.next_peer_load_update_ms {
            return;
        }
        let interval_ms = match std::mem::take(&mut self.has_new_peer_loads) {
            true => LOAD_SUM_INTERVAL_MS,
            false => IDLE_LOAD_SUM_INTERVAL_MS,
        };
        self.next_peer_load_update_ms = now_ms + interval_ms;
        self.region_view = self.hosts.region_view(now_ms);
        let shares = self.hosts.peer_load_shares(now_ms);
        self.fleet.set_peer_loads(&shares);
        self.fleet
            .set_host_count(self.region_view.host_count, now_ms);
        self.fleet.update_paces(now_ms);
    }

    /// Applies all packets that have arrived.
    pub(super) fn receive_packets(&mut self) {
        let now_ms = self.now_ms();
        let mut buffer = [0_u8; MAX_PACKET_BYTES + 1];
        let mut is_changed = false;
        loop {
            match self.beacon_socket.recv_from(&mut buffer) {
                Ok((count, from)) => match postcard::from_bytes::<Packet>(&buffer[..count]) {
                    Ok(Packet::Beacon(mut beacon)) => {
                        self.relay_origins(std::mem::take(&mut beacon.origins), now_ms);
                        self.check_lag(&beacon, now_ms);
                        self.apply_peer_leaving(&beacon.leaving, &beacon.host.name);
                        is_changed |= self.hosts.apply_beacon(beacon, now_ms);
                    }
                    Ok(Packet::LoadUpdate(update)) => {
                        is_changed |= self.apply_load_update(&update, now_ms)
                    }
                    Ok(Packet::CrashReports(sent)) => self.apply_crash_reports(sent, from),
                    Ok(Packet::LimitReports(sent)) => self.apply_limit_reports(sent, from),
                    Ok(Packet::PermitQuestion(asked)) => self.answer_permit_question(&asked),
                    Ok(Packet::PermitAnswer(answer)) => self.apply_permit_answer(&answer),
                    Ok(Packet::StartReports(sent)) => self.apply_start_reports(&sent),
                    Ok(Packet::UsageReport(report)) => {
                        self.allotments.apply_report(&report, now_ms);
                    }
                    Ok(Packet::UsageSummary(summary)) => {
                        self.allotments.apply_summary(&summary, now_ms);
                    }
                    Ok(Packet::RegionUsage(sent)) => self.allotments.apply_region(&sent, now_ms),
                    Ok(Packet::RegionRoom(sent)) => self.hosts.apply_region_room(sent, now_ms),
                    Ok(Packet::OriginQuestion(asked)) => self.answer_origin_question(&asked, from),
                    Ok(Packet::OriginAnswer(answer)) => self.apply_origin_answer(&answer, now_ms),
                    Err(error) => tracing::debug!(%error, "could not decode a packet"),
                },
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => {
                    tracing::debug!(%error, "could not receive packets");
                    break;
                }
            }
        }
        self.has_new_peer_loads |= is_changed;
    }
}
