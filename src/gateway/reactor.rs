//! The thread that serves all connections of a host.
//!
//! One thread owns every connection and every decision, so that no lock is held
//! and no request waits for another thread. Store, logs and signals have
//! threads of their own and reach this one through a bounded channel.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
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
    configuration::Configuration,
    connection::{
        Client,
        Role,
        Upstream,
        UpstreamPhase, //
    },
    exchange::Exchange,
    fleet::Fleet,
    hosts::{
        Hosts,
        RegionView, //
    },
    load_updates::PendingUpdate,
    retry_budget::RetryBudget,
    settings::GatewaySettings,
    store_replica::{
        StoreReplica,
        Update, //
    },
    telemetry::Telemetry, //
};

const WAKER: Token = Token(0);
const BEACONS: Token = Token(1);
/// Tokens below this one belong to listeners and fixed sockets.
const FIRST_CONNECTION: usize = 16;
const FIRST_LISTENER: usize = 2;
/// Interval of timers while requests are in progress.
const BUSY_TICK: Duration = Duration::from_millis(15);
/// Interval of timers otherwise.
const QUIET_TICK: Duration = Duration::from_millis(100);
/// Interval at which connections are checked for time limits.
const SWEEP_MS: u64 = 250;
/// Pause between the end of the last request and the end of the process, in
/// which callers that hold an older directory answer still reach the host.
const MIN_LEAVE_MS: u64 = 4_200;
/// Time after the signal to stop from which new requests are refused. The
/// platform excuses the end of requests that arrive up to three seconds after
/// it, and callers have asked the directory again by then.
const REFUSE_AFTER_MS: u64 = 2_700;
/// Time before the forced end at which the process ends by itself.
const END_BEFORE_KILL_MS: u64 = 500;

/// How the reactor ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Requests that were cut off.
    pub cut_off_count: usize,
}

/// All state of the serving thread.
pub struct Reactor {
    pub(super) poll: Poll,
    listeners: Vec<(TcpListener, Role)>,
    pub(super) beacon_socket: UdpSocket,
    updates: Receiver<Update>,
    pub(super) clients: Slab<Client>,
    pub(super) upstreams: Slab<Upstream>,
    pub(super) exchanges: Slab<Exchange>,
    /// Idle connections by address, the latest last.
    pub(super) idle: HashMap<SocketAddr, Vec<usize>>,
    /// Requests that wait for an endpoint.
    pub(super) waiting: Vec<usize>,
    pub(super) settings: GatewaySettings,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) fleet: Fleet,
    pub(super) hosts: Hosts,
    /// What `hosts` says about the own region, renewed with the shares.
    pub(super) region_view: RegionView,
    pub(super) budget: RetryBudget,
    pub(super) telemetry: Telemetry,
    pub(super) random: Pcg64Mcg,
    pub(super) round_trip_ms: BTreeMap<CompactString, f64>,
    pub(super) started: Instant,
    pub(super) run_started_ms: u64,
    pub(super) beacon_sequence: u64,
    pub(super) next_beacon_ms: u64,
    pub(super) next_away_beacon_ms: u64,
    pub(super) next_serial: u64,
    pub(super) is_synchronised: bool,
    pub(super) leave_started_ms: Option<u64>,
    pub(super) reload: Option<Box<dyn Fn() -> Option<GatewaySettings>>>,
    /// What the host believes, to tell other hosts.
    pub(super) replica: Option<StoreReplica>,
    /// Hosts to ask because they know more.
    pub(super) behind: Option<Sender<SocketAddr>>,
    /// When the host fell behind, and the revision it knew.
    pub(super) behind_since: Option<(u64, u64)>,
    /// When the store was regained; none while it does not answer.
    pub(super) store_back_ms: Option<u64>,
    pub(super) next_ask_ms: u64,
    /// Beacons arrived since the last sum over what other hosts told.
    pub(super) has_new_shares: bool,
    pub(super) next_share_update_ms: u64,
    pub(super) pending_update: PendingUpdate,
    /// Live hosts of the region, for the thread that follows the store.
    host_count: Arc<AtomicU64>,
    next_sweep_ms: u64,
}

impl Reactor {
    /// Opens the sockets; updates arrive through `updates`.
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
            settings.host.name.clone(),
            settings.host.region.clone(),
            settings.regions.clone(),
            settings.cold,
        );
        let run_started_ms = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let seed = xxhash_rust::xxh3::xxh3_64(settings.host.name.as_bytes()) ^ run_started_ms;
        Ok(Self {
            poll,
            listeners,
            beacon_socket,
            updates,
            clients: Slab::new(),
            upstreams: Slab::new(),
            exchanges: Slab::new(),
            idle: HashMap::new(),
            waiting: Vec::new(),
            hosts: Hosts::new(settings.host.clone()),
            region_view: RegionView::default(),
            budget: RetryBudget::new(settings.retry),
            settings,
            configuration: None,
            fleet,
            telemetry,
            random: Pcg64Mcg::seed_from_u64(seed),
            round_trip_ms: BTreeMap::new(),
            started: Instant::now(),
            run_started_ms,
            beacon_sequence: 0,
            next_beacon_ms: 0,
            next_away_beacon_ms: 0,
            next_serial: 0,
            is_synchronised: false,
            leave_started_ms: None,
            reload: None,
            replica: None,
            behind: None,
            behind_since: None,
            store_back_ms: None,
            next_ask_ms: 0,
            has_new_shares: false,
            next_share_update_ms: 0,
            pending_update: PendingUpdate::default(),
            host_count: Arc::new(AtomicU64::new(1)),
            next_sweep_ms: 0,
        })
    }

    /// A waker for the threads that send updates.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Waker::new(self.poll.registry(), WAKER).map(Arc::new)
    }

    /// Number of live hosts in the region, kept up to date.
    pub fn host_count(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.host_count)
    }

    /// Sets what reads the settings again.
    pub fn with_reload(mut self, reload: Box<dyn Fn() -> Option<GatewaySettings>>) -> Self {
        self.reload = Some(reload);
        self
    }

    /// Sets what the host believes and where it asks others for more.
    pub fn set_replica(&mut self, replica: StoreReplica, behind: Sender<SocketAddr>) {
        self.replica = Some(replica);
        self.behind = Some(behind);
    }

    /// Steady time since the start of the reactor.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Serves until the process has to end.
    pub fn run(&mut self) -> io::Result<Ended> {
        let mut events = Events::with_capacity(256);
        loop {
            let timeout = if self.exchanges.is_empty() {
                QUIET_TICK
            } else {
                BUSY_TICK
            };
            match self.poll.poll(&mut events, Some(timeout)) {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            for event in &events {
                self.dispatch(event);
            }
            self.take_updates();
            self.tick();
            if let Some(ended) = self.ended() {
                return Ok(ended);
            }
        }
    }

    fn dispatch(&mut self, event: &Event) {
        match event.token() {
            WAKER => {}
            BEACONS => self.receive_packets(),
            Token(index) if index < FIRST_CONNECTION => self.accept(index - FIRST_LISTENER),
            Token(index) => {
                let key = (index - FIRST_CONNECTION) / 2;
                if (index - FIRST_CONNECTION).is_multiple_of(2) {
                    self.client_event(key, event);
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
                Ok((stream, _)) => self.add_client(stream, role),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection");
                    return;
                }
            }
        }
    }

    fn add_client(&mut self, stream: TcpStream, role: Role) {
        let now_ms = self.now_ms();
        let key = self.clients.insert(Client::new(stream, role, now_ms));
        let token = Token(FIRST_CONNECTION + key * 2);
        if !register(&self.poll, &mut self.clients[key].wire.stream, token) {
            self.clients.remove(key);
        }
    }

    /// Opens a connection to an endpoint or a host; none if that fails at once.
    pub(super) fn connect(&mut self, address: SocketAddr) -> Option<usize> {
        let now_ms = self.now_ms();
        let stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(%address, %error, "could not open a connection");
                return None;
            }
        };
        let key = self
            .upstreams
            .insert(Upstream::new(stream, address, now_ms));
        let token = Token(FIRST_CONNECTION + key * 2 + 1);
        if !register(&self.poll, &mut self.upstreams[key].wire.stream, token) {
            self.upstreams.remove(key);
            return None;
        }
        Some(key)
    }

    fn take_updates(&mut self) {
        while let Ok(update) = self.updates.try_recv() {
            self.apply_update(update);
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.send_beacons(now_ms);
        self.update_peer_loads(now_ms);
        self.resync_from_seeds(now_ms);
        self.check_exchanges(now_ms);
        self.serve_waiting(now_ms);
        self.send_load_update(now_ms);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_MS;
            self.sweep(now_ms);
        }
    }

    /// Closes connections that are idle for too long.
    fn sweep(&mut self, now_ms: u64) {
        self.sweep_clients(now_ms);
        self.fleet.drop_withdrawn(now_ms);
        let stale: Vec<usize> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| {
                upstream.phase == UpstreamPhase::Idle && now_ms >= upstream.idle_limit_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in stale {
            self.close_upstream(key);
        }
        let host_count = self.region_view.host_count as u64;
        self.host_count.store(host_count, Ordering::Relaxed);
    }

    /// Whether new requests are refused because the process ends soon.
    pub(super) fn refuses_new(&self, now_ms: u64) -> bool {
        self.leave_started_ms
            .is_some_and(|started_ms| now_ms >= started_ms + REFUSE_AFTER_MS)
    }

    fn ended(&self) -> Option<Ended> {
        let started_ms = self.leave_started_ms?;
        let now_ms = self.now_ms();
        let is_forced = now_ms + END_BEFORE_KILL_MS >= started_ms + self.settings.shutdown_ms;
        let is_idle = self.exchanges.is_empty()
            && self
                .upstreams
                .iter()
                .all(|(_, upstream)| upstream.phase != UpstreamPhase::Busy);
        let is_done = is_idle && now_ms >= started_ms + MIN_LEAVE_MS;
        (is_forced || is_done).then(|| Ended {
            cut_off_count: self.exchanges.len(),
        })
    }

    /// A random number in `0.0..1.0`.
    pub(super) fn draw(&mut self) -> f64 {
        self.random.random()
    }

    /// A random index below `count`.
    pub(super) fn draw_index(&mut self, count: usize) -> usize {
        (self.random.next_u64() % count.max(1) as u64) as usize
    }
}

/// Registers a connection for both directions; false if that fails.
fn register(poll: &Poll, stream: &mut TcpStream, token: Token) -> bool {
    let interest = Interest::READABLE | Interest::WRITABLE;
    match poll.registry().register(stream, token, interest) {
        Ok(()) => true,
        Err(error) => {
            tracing::warn!(%error, "could not register a connection");
            false
        }
    }
}
