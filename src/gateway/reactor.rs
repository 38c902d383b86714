//! Event loop of the thread that serves all connections of a host.
//!
//! A single thread owns all connections and makes all decisions, so that it
//! takes no lock and no request waits for another thread. The store, logs and
//! signals have threads of their own, which send to this one through a bounded
//! channel.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    io::{
        self,
        ErrorKind, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compact_str::CompactString;
use crossbeam::channel::{
    Receiver,
    Sender, //
};
use mio::{
    Events,
    Interest,
    Poll,
    Token,
    Waker,
    event::Event,
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    }, //
};
use rand::{
    Rng,
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use slab::Slab;

use super::{
    allotment_state::AllotmentState,
    answer_lengths::AnswerLengths,
    answer_record::ConnectionId,
    answer_times::AnswerTimes,
    buffer_budget::{
        BufferBudget,
        ByteCount, //
    },
    commands::PendingCommands,
    configuration::Configuration,
    connection::{
        InboundConnection,
        Role,
        UpstreamConnection,
        UpstreamPhase, //
    },
    copy_checks::CopyChecks,
    crash_records::CrashRecords,
    endpoint_reach::EndpointReach,
    exchange::Exchange,
    fleet::Fleet,
    gap_goal::GapGoal,
    hosts::{
        Hosts,
        RegionView, //
    },
    known_state::KnownState,
    load_updates::PendingUpdate,
    origin_exchange::OriginCatchUp,
    permit_exchange::PermitExchange,
    request_sizes::RequestSizes,
    retry_budget::RetryBudget,
    route_history::RouteHistory,
    serve_crashes::SuspectedCrash,
    serve_health::HealthChecks,
    serve_limits::LimitState,
    serve_reach::UnreachedEndpoint,
    serve_starts::StartChecks,
    serve_streams::VersionSearch,
    serve_upstream::{
        CONNECT_LIMIT_MS,
        UpstreamError, //
    },
    settings::GatewaySettings,
    store_replica::{
        ReplicaReader,
        Update, //
    },
    stored_verdicts::{
        StoredWrite,
        VerdictItems, //
    },
    stored_versions::VersionItems,
    stream_origins::{
        PendingOrigins,
        StreamOrigins, //
    },
    telemetry::Telemetry, //
};

const WAKER: Token = Token(0);
const BEACONS: Token = Token(1);
/// First token of a connection; lower ones belong to listeners and fixed sockets.
const FIRST_CONNECTION: usize = 16;
const FIRST_LISTENER: usize = 2;
/// Maximum interval between timer checks while requests are in progress.
const BUSY_TICK: Duration = Duration::from_millis(15);
/// Maximum interval between timer checks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Most updates that are applied between two polls.
const MAX_UPDATES_PER_TURN: usize = 64;
/// Interval at which connections are checked for timeouts.
const SWEEP_INTERVAL_MS: u64 = 250;
/// Interval at which all endpoints are looked at in case that the change of one was missed.
const RESCAN_INTERVAL_MS: u64 = 1_000;
/// Minimum time between the stop signal and the end of the process, in which
/// callers with a cached directory response still reach the host.
const MIN_SHUTDOWN_MS: u64 = 4_200;
/// How the reactor ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReactorExit {
    /// Number of requests that were cut off.
    pub cut_off_count: usize,
}

/// State of the serving thread.
pub struct Reactor {
    pub(super) poll: Poll,
    listeners: Vec<(TcpListener, Role)>,
    pub(super) beacon_socket: UdpSocket,
    updates: Receiver<Update>,
    commands: Arc<PendingCommands>,
    pub(super) inbound: Slab<InboundConnection>,
    pub(super) upstreams: Slab<UpstreamConnection>,
    pub(super) exchanges: Slab<Exchange>,
    /// Keys of idle upstream connections by address, the most recently used last.
    pub(super) idle_upstreams: HashMap<SocketAddr, Vec<usize>>,
    /// Keys of the connections of which a turn has left data unread.
    pub(super) unread_inbound: Vec<usize>,
    pub(super) unread_upstreams: Vec<usize>,
    /// Keys of the exchanges that wait for an endpoint.
    pub(super) waiting: Vec<usize>,
    pub(super) settings: GatewaySettings,
    /// Memory that connections and exchanges may use together.
    pub(super) buffers: BufferBudget,
    pub(super) configuration: Option<Arc<Configuration>>,
    /// Goals for pauses of the configuration, by service; each placement needs them.
    pub(super) gap_goals: BTreeMap<CompactString, GapGoal>,
    pub(super) fleet: Fleet,
    pub(super) hosts: Hosts,
    /// View of this region from `hosts`, updated together with the peer loads.
    pub(super) region_view: RegionView,
    pub(super) retry_budget: RetryBudget,
    pub(super) telemetry: Telemetry,
    pub(super) request_sizes: RequestSizes,
    pub(super) answer_lengths: AnswerLengths,
    pub(super) answer_times: AnswerTimes,
    pub(super) random: Pcg64Mcg,
    /// Regions other than this host's, in order.
    pub(super) other_regions: Vec<CompactString>,
    /// Moving average of the round trip to each other region.
    pub(super) round_trip_ms: BTreeMap<CompactString, f64>,
    pub(super) started: Instant,
    pub(super) instance_started_ms: u64,
    pub(super) beacon_sequence: u64,
    pub(super) next_beacon_ms: u64,
    pub(super) next_remote_beacon_ms: u64,
    pub(super) next_serial: u64,
    next_connection: u64,
    pub(super) is_synchronised: bool,
    pub(super) shutdown_started_ms: Option<u64>,
    pub(super) reload: Option<Box<dyn Fn() -> Option<GatewaySettings>>>,
    /// Local copy of the store's items, also served to other hosts.
    pub(super) replica: Option<ReplicaReader>,
    /// Requests to fetch store changes from the host at an address.
    pub(super) resync_requests: Option<Sender<SocketAddr>>,
    /// Time at which this host fell behind another one, and what it knew then.
    pub(super) lag_since: Option<(u64, KnownState)>,
    /// Time at which the store became reachable; none while it is unreachable.
    pub(super) store_recovered_ms: Option<u64>,
    /// Up to when the copy of the store is known to be complete.
    pub(super) copy_checks: CopyChecks,
    /// Taken-up streams that wait for a check of the copy.
    pub(super) version_searches: Vec<VersionSearch>,
    pub(super) next_resync_ms: u64,
    /// Loads of other hosts have arrived since the last update of the peer loads.
    pub(super) has_new_peer_loads: bool,
    pub(super) next_peer_load_update_ms: u64,
    pub(super) pending_update: PendingUpdate,
    /// Software versions at which streams began.
    pub(super) origins: StreamOrigins,
    pub(super) pending_origins: PendingOrigins,
    pub(super) origin_catch_up: OriginCatchUp,
    pub(super) route_history: RouteHistory,
    pub(super) crash_records: CrashRecords,
    /// Requests whose endpoint may have ended because of them.
    pub(super) suspected_crashes: VecDeque<SuspectedCrash>,
    pub(super) next_crash_exchange_ms: u64,
    pub(super) verdict_items: VerdictItems,
    pub(super) version_items: VersionItems,
    pub(super) limits: LimitState,
    pub(super) allotments: AllotmentState,
    pub(super) next_relay_choice_ms: u64,
    pub(super) permits: PermitExchange,
    pub(super) health_checks: HealthChecks,
    pub(super) start_checks: StartChecks,
    pub(super) reach: EndpointReach,
    /// Endpoints that could not be reached, which other hosts have not been told.
    pub(super) unreached: Vec<UnreachedEndpoint>,
    /// Number of live hosts in the region, for the thread that follows the store.
    host_count: Arc<AtomicU64>,
    next_sweep_ms: u64,
    next_rescan_ms: u64,
    /// Earliest time at which a connection may not have been established in time.
    pub(super) next_connecting_check_ms: u64,
    latest_poll_ms: u64,
    /// Time of the poll before the latest one; events that are handled came after it.
    pub(super) earlier_poll_ms: u64,
}

impl Reactor {
    /// Opens the sockets of a reactor that receives updates from `updates`.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound or registered.
    pub fn new(
        settings: GatewaySettings,
        updates: Receiver<Update>,
        telemetry: Telemetry,
    ) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        let addresses = [
            (Some(settings.host.caller_address), Role::Caller),
            (Some(settings.host.peer_address), Role::Peer),
            (Some(settings.directory_address), Role::Directory),
            (Some(settings.ready_address), Role::Ready),
            (settings.metrics_address, Role::Metrics),
        ];
        for (address, role) in addresses {
            let Some(address) = address else {
                continue;
            };
            let mut listener = TcpListener::bind(address)?;
            let token = Token(FIRST_LISTENER + listeners.len());
            poll.registry()
                .register(&mut listener, token, Interest::READABLE)?;
            listeners.push((listener, role));
        }
        let mut beacon_socket = UdpSocket::bind(settings.host.peer_address)?;
        poll.registry()
            .register(&mut beacon_socket, BEACONS, Interest::READABLE)?;
        let fleet = Fleet::new(
            settings.host.region.clone(),
            settings.regions.clone(),
            settings.cold,
        );
        let permits = PermitExchange::new(settings.host.name.clone());
        let instance_started_ms = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let allotments = AllotmentState::new(settings.host.clone(), instance_started_ms);
        let mut other_regions: Vec<CompactString> = settings.regions.values().cloned().collect();
        other_regions.sort_unstable();
        other_regions.dedup();
        other_regions.retain(|region| *region != settings.host.region);
        let seed = xxhash_rust::xxh3::xxh3_64(settings.host.name.as_bytes()) ^ instance_started_ms;
        Ok(Self {
            poll,
            listeners,
            beacon_socket,
            updates,
            commands: Arc::default(),
            inbound: Slab::new(),
            upstreams: Slab::new(),
            exchanges: Slab::new(),
            idle_upstreams: HashMap::new(),
            unread_inbound: Vec::new(),
            unread_upstreams: Vec::new(),
            waiting: Vec::new(),
            other_regions,
            hosts: Hosts::new(settings.host.clone()),
            region_view: RegionView::default(),
            retry_budget: RetryBudget::new(settings.retry),
            buffers: BufferBudget::new(settings.memory_mb),
            settings,
            configuration: None,
            gap_goals: BTreeMap::new(),
            fleet,
            telemetry,
            request_sizes: RequestSizes::default(),
            answer_lengths: AnswerLengths::default(),
            answer_times: AnswerTimes::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            round_trip_ms: BTreeMap::new(),
            started: Instant::now(),
            instance_started_ms,
            beacon_sequence: 0,
            next_beacon_ms: 0,
            next_remote_beacon_ms: 0,
            next_serial: 0,
            next_connection: 0,
            is_synchronised: false,
            shutdown_started_ms: None,
            reload: None,
            replica: None,
            resync_requests: None,
            lag_since: None,
            store_recovered_ms: None,
            copy_checks: CopyChecks::default(),
            version_searches: Vec::new(),
            next_resync_ms: 0,
            has_new_peer_loads: false,
            next_peer_load_update_ms: 0,
            pending_update: PendingUpdate::default(),
            origins: StreamOrigins::new(),
            pending_origins: PendingOrigins::default(),
            origin_catch_up: OriginCatchUp::default(),
            route_history: RouteHistory::default(),
            crash_records: CrashRecords::new(),
            suspected_crashes: VecDeque::new(),
            next_crash_exchange_ms: 0,
            verdict_items: VerdictItems::default(),
            version_items: VersionItems::default(),
            limits: LimitState::default(),
            allotments,
            next_relay_choice_ms: 0,
            permits,
            health_checks: HealthChecks::default(),
            start_checks: StartChecks::default(),
            reach: EndpointReach::new(),
            unreached: Vec::new(),
            host_count: Arc::new(AtomicU64::new(1)),
            next_sweep_ms: 0,
            next_rescan_ms: 0,
            next_connecting_check_ms: u64::MAX,
            latest_poll_ms: 0,
            earlier_poll_ms: 0,
        })
    }

    /// Creates a waker for the threads that send updates.
    ///
    /// # Errors
    ///
    /// Fails if the waker cannot be registered.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Waker::new(self.poll.registry(), WAKER).map(Arc::new)
    }

    /// Returns the commands that the reactor takes, for the threads that give them.
    pub fn commands(&self) -> Arc<PendingCommands> {
        Arc::clone(&self.commands)
    }

    /// Returns the number of live hosts in the region, updated continuously.
    pub fn host_count(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.host_count)
    }

    /// Sets the function that reads the settings again.
    pub fn with_reload(mut self, reload: Box<dyn Fn() -> Option<GatewaySettings>>) -> Self {
        self.reload = Some(reload);
        self
    }

    /// Sets the store replica and the channel for requests to fetch changes from
    /// other hosts.
    pub fn set_replica(&mut self, replica: ReplicaReader, resync_requests: Sender<SocketAddr>) {
        self.replica = Some(replica);
        self.resync_requests = Some(resync_requests);
    }

    /// Sets the channel of the thread that fetches the origins of streams from other hosts.
    pub fn set_origin_requests(&mut self, requests: Sender<SocketAddr>) {
        self.origin_catch_up.set_requests(requests);
    }

    /// Sets the channel of the thread that checks the copy of the store.
    pub fn set_copy_questions(&mut self, questions: Sender<Instant>) {
        self.copy_checks.set_questions(questions);
    }

    /// Sets the channel of the thread that writes suspects that crash endpoints to the store.
    pub fn set_verdict_writes(&mut self, writes: Sender<StoredWrite>) {
        self.verdict_items.set_writes(writes);
    }

    /// Returns the monotonic time since the start of the reactor.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Serves until the host has shut down.
    ///
    /// # Errors
    ///
    /// Fails if polling for events fails.
    pub fn run(&mut self) -> io::Result<ReactorExit> {
        let mut events = Events::with_capacity(256);
        loop {
            let timeout = match self.has_unfinished_turn() {
                true => Duration::ZERO,
                false if self.exchanges.is_empty() => IDLE_TICK,
                false => BUSY_TICK,
            };
            let timeout = timeout.min(self.allotment_wait());
            match self.poll.poll(&mut events, Some(timeout)) {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            self.earlier_poll_ms = self.latest_poll_ms;
            self.latest_poll_ms = self.now_ms();
            for event in &events {
                self.handle_event(event);
            }
            self.read_unread();
            self.receive_commands();
            self.receive_updates();
            self.tick();
            if let Some(exit) = self.exit_if_done() {
                for (_, inbound) in &self.inbound {
                    inbound.prepare_close();
                }
                return Ok(exit);
            }
        }
    }

    /// Returns whether a turn has left data unread or updates in the queue.
    fn has_unfinished_turn(&self) -> bool {
        !self.unread_inbound.is_empty()
            || !self.unread_upstreams.is_empty()
            || !self.updates.is_empty()
    }

    /// Goes on reading connections after the others had their turn.
    fn read_unread(&mut self) {
        for key in std::mem::take(&mut self.unread_inbound) {
            self.read_inbound(key);
        }
        for key in std::mem::take(&mut self.unread_upstreams) {
            self.read_upstream(key);
        }
    }

    fn handle_event(&mut self, event: &Event) {
        match event.token() {
            WAKER => {}
            BEACONS => self.receive_packets(),
            Token(index) if index < FIRST_CONNECTION => self.accept(index - FIRST_LISTENER),
            Token(index) => {
                let key = (index - FIRST_CONNECTION) / 2;
                if (index - FIRST_CONNECTION).is_multiple_of(2) {
                    self.inbound_event(key, event);
                } else {
                    self.upstream_event(key, event);
                }
            }
        }
    }

    fn accept(&mut self, index: usize) {
        loop {
            let Some((listener, role)) = self.listeners.get(index) else {
                return;
            };
            let role = *role;
            match listener.accept() {
                Ok((stream, _)) => self.add_inbound(stream, role),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection; the listener continues");
                    return;
                }
            }
        }
    }

    fn add_inbound(&mut self, stream: TcpStream, role: Role) {
        let now_ms = self.now_ms();
        let key = self
            .inbound
            .insert(InboundConnection::new(stream, role, now_ms));
        let token = Token(FIRST_CONNECTION + key * 2);
        if !register(&self.poll, &mut self.inbound[key].socket.stream, token) {
            self.inbound.remove(key);
        }
    }

    /// Starts to connect to an endpoint, or to a host if there is none; returns none if that
    /// fails immediately.
    pub(super) fn connect(
        &mut self,
        address: SocketAddr,
        endpoint: Option<&CompactString>,
    ) -> Option<usize> {
        let now_ms = self.now_ms();
        let stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(%address, %error, "could not open a connection");
                if let Some(id) = endpoint {
                    self.record_unreached(id, now_ms);
                }
                return None;
            }
        };
        self.next_connection += 1;
        let id = ConnectionId(self.next_connection);
        let connection = UpstreamConnection::new(stream, address, now_ms).with_id(id);
        let key = self
            .upstreams
            .insert(connection.with_endpoint(endpoint.cloned()));
        self.check_connecting_by(now_ms + CONNECT_LIMIT_MS);
        let token = Token(FIRST_CONNECTION + key * 2 + 1);
        if !register(&self.poll, &mut self.upstreams[key].socket.stream, token) {
            self.upstreams.remove(key);
            return None;
        }
        Some(key)
    }

    /// Opens a connection in place of one that is closed for it, and takes over its request.
    pub(super) fn reconnect(&mut self, key: usize) {
        let now_ms = self.now_ms();
        let Some(earlier) = self.upstreams.get_mut(key) else {
            return;
        };
        // The request ended while it waited.
        if earlier.exchange.is_none() {
            return self.close_upstream(key);
        }
        let stream = match TcpStream::connect(earlier.address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(address = %earlier.address, %error, "could not open a connection");
                return self.upstream_broken(key, UpstreamError::Unreachable);
            }
        };
        self.next_connection += 1;
        let connection = UpstreamConnection::new(stream, earlier.address, now_ms)
            .with_id(ConnectionId(self.next_connection))
            .with_endpoint(earlier.endpoint.clone())
            .with_request_of(earlier, now_ms);
        let mut closed = std::mem::replace(earlier, connection);
        // Closing the socket deregisters it in any case.
        let _ = self.poll.registry().deregister(&mut closed.socket.stream);
        drop(closed);
        self.check_connecting_by(now_ms + CONNECT_LIMIT_MS);
        let token = Token(FIRST_CONNECTION + key * 2 + 1);
        if !register(&self.poll, &mut self.upstreams[key].socket.stream, token) {
            self.upstream_broken(key, UpstreamError::Unreachable);
        }
    }

    fn receive_commands(&mut self) {
        for command in Arc::clone(&self.commands).take() {
            self.carry_out(command);
        }
    }

    /// Applies the updates of a turn; others wait until connections had their turn.
    fn receive_updates(&mut self) {
        for _ in 0..MAX_UPDATES_PER_TURN {
            let Ok(update) = self.updates.try_recv() else {
                return;
            };
            self.apply_update(update);
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.send_beacons(now_ms);
        self.update_peer_loads(now_ms);
        self.resync_from_seeds(now_ms);
        self.look_for_crashes(now_ms);
        self.exchange_crash_reports(now_ms);
        self.follow_reach(now_ms);
        self.check_exchanges(now_ms);
        self.catch_up_origins(now_ms);
        self.continue_version_searches(now_ms);
        self.follow_limits(now_ms);
        self.follow_allotments(now_ms);
        self.check_health(now_ms);
        self.check_starts(now_ms);
        self.store_versions(now_ms);
        self.serve_waiting(now_ms);
        self.refuse_unread(now_ms);
        self.send_load_update(now_ms);
        if now_ms >= self.next_rescan_ms {
            self.next_rescan_ms = now_ms + RESCAN_INTERVAL_MS;
            self.rescan_endpoints(now_ms);
        }
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
            self.sweep(now_ms);
        }
    }

    /// Looks at all endpoints, so that a missed change hides nothing for long.
    fn rescan_endpoints(&mut self, now_ms: u64) {
        let missed_count = self.fleet.rescan(now_ms);
        if missed_count > 0 {
            tracing::warn!(
                endpoints = missed_count,
                "changes of endpoints were missed; found by looking at all"
            );
        }
    }

    /// Closes connections that have been idle for too long.
    fn sweep(&mut self, now_ms: u64) {
        self.count_buffers();
        self.sweep_inbound(now_ms);
        self.fleet.drop_withdrawn(now_ms);
        let expired: Vec<usize> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                upstream.phase == UpstreamPhase::Idle && now_ms >= upstream.idle_deadline_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.close_upstream(key);
        }
        let host_count = self.region_view.host_count as u64;
        self.host_count.store(host_count, Ordering::Relaxed);
    }

    /// Records bytes that were read, and counts all buffers if that is due.
    pub(super) fn record_read(&mut self, count: ByteCount) {
        self.buffers.record_read(count);
        if self.buffers.is_count_due() {
            self.count_buffers();
        }
    }

    fn count_buffers(&mut self) {
        let inbound = self.inbound.iter().map(|(_, one)| one.held().0);
        let upstreams = self.upstreams.iter().map(|(_, one)| one.socket.held().0);
        let exchanges = self.exchanges.iter().map(|(_, one)| one.held().0);
        let held = inbound.chain(upstreams).chain(exchanges).sum();
        self.buffers.set_held(ByteCount(held));
    }

    /// Returns whether the process can end; before its forced end, ends the requests
    /// that are left.
    fn exit_if_done(&mut self) -> Option<ReactorExit> {
        let started_ms = self.shutdown_started_ms?;
        let now_ms = self.now_ms();
        if self.exits_at_ms().is_some_and(|at_ms| now_ms >= at_ms) {
            let cut_off_count = self.end_all_exchanges();
            return Some(ReactorExit { cut_off_count });
        }
        let is_idle = self.exchanges.is_empty()
            && self
                .upstreams
                .iter()
                .all(|(_, upstream)| upstream.phase != UpstreamPhase::Busy);
        let is_done = is_idle && now_ms >= started_ms + MIN_SHUTDOWN_MS;
        is_done.then_some(ReactorExit { cut_off_count: 0 })
    }

    /// Returns a random number in `0.0..1.0`.
    pub(super) fn random_fraction(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns a random index below `count`.
    pub(super) fn random_index(&mut self, count: usize) -> usize {
        (self.random.next_u64() % count.max(1) as u64) as usize
    }
}

/// Wakes a reactor; if that fails, it goes on at its next tick.
pub(super) fn wake(waker: &Waker) {
    if let Err(error) = waker.wake() {
        tracing::warn!(%error, "could not wake the reactor; it goes on at its next tick");
    }
}

/// Registers a connection for reading and writing; false if that fails.
fn register(poll: &Poll, stream: &mut TcpStream, token: Token) -> bool {
    let interest = Interest::READABLE | Interest::WRITABLE;
    match poll.registry().register(stream, token, interest) {
        Ok(()) => true,
        Err(error) => {
            tracing::warn!(%error, "could not register a connection for polling; it is closed");
            false
        }
    }
}
