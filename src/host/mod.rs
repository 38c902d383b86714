//! A running entry host: its threads and the rings between them.

mod components;

use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use oxhttp::ListeningServer;
use rand::RngExt;
use thiserror::Error;

use self::components::{
    listen,
    refuse_connection,
    start_gossip,
    start_poller,
    start_recorder,
    start_tickets, //
};
use crate::{
    admin::{
        Admin,
        IN_FORCE_WAIT,
        OperatorKey,
        Status, //
    },
    announce::Announcer,
    burn_collector::BurnCollector,
    byte_pool::BytePool,
    caller::{
        self,
        CallerContext, //
    },
    catch_up::{
        self,
        Sources, //
    },
    clock,
    config::{
        self,
        Config,
        ConfigError, //
    },
    consul::{
        KeyValue,
        ServiceList, //
    },
    contact::PlatformContact,
    decider::{
        self,
        DeciderHandle, //
    },
    decision::{
        Gateway,
        GatewayConfig,
        event::Event,
        policy::Policy, //
    },
    http::server::Acceptor,
    in_force::InForceCell,
    leave::Handover,
    metrics::MetricsSetupError,
    peer::{
        client::PeerClient,
        link::PeerIdentity,
        server::PeerServer,
        socket::{
            GossipSocket,
            LocalUpdate, //
        },
        wire::ClusterKey, //
    },
    peer_requests::{
        self,
        PeerContext, //
    },
    plan::PlanRules,
    poller::Poller,
    recorder::RecorderHandle,
    relay::RelayContext,
    sample::Sampler,
    spending::{
        self,
        Asks, //
    },
    status,
    ticket::token::KeyError,
    ticketed_calls::TicketContext,
    types::{
        Incarnation,
        RegionId, //
    },
    watch::{
        self,
        Configuration,
        ListFollower,
        StopFlag, //
    }, //
};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Memory for all buffered responses, beyond the first part of each: four of the largest.
const RESPONSE_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// Keys of one host, read from files.
#[derive(Clone)]
pub struct HostKeys {
    /// Key that all hosts of the cluster share.
    pub cluster_key: Vec<u8>,
    /// Key that operators present to the admin interface.
    pub operator_key: OperatorKey,
}

impl HostKeys {
    /// Reads the key files that the settings name.
    pub fn load(config: &Config) -> Result<Self, ConfigError> {
        let operator_key = config::read_key(&config.operator_key_file)?;
        Ok(Self {
            cluster_key: config::read_key(&config.cluster_key_file)?,
            operator_key: OperatorKey::new(&operator_key),
        })
    }
}

/// Why a host could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("could not listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Purpose of the listener.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The cluster key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] MetricsSetupError),
    /// A thread could not be started.
    #[error("could not start thread {name:?}: {source}")]
    Thread {
        /// The thread.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A running host.
pub struct Host {
    config: Config,
    incarnation: Incarnation,
    caller_address: SocketAddr,
    acceptor: Acceptor,
    decider: DeciderHandle,
    tickets: TicketContext,
    recorder: RecorderHandle,
    poller: Arc<Poller>,
    admin: Option<ListeningServer>,
    gossip: Arc<GossipSocket>,
    peers: PeerClient,
    relay: RelayContext,
    peer_server: Arc<PeerServer>,
    is_leaving: Arc<AtomicBool>,
    open_requests: Arc<AtomicUsize>,
    in_force: InForceCell,
    contact: PlatformContact,
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
}

impl Host {
    /// Binds the addresses and starts the threads.
    pub fn start(config: Config, keys: &HostKeys) -> Result<Self, StartError> {
        let callers = listen(config.caller_address, "callers")?;
        let caller_address = callers.local_addr().unwrap_or(config.caller_address);
        let incarnation = Incarnation(rand::rng().random());
        let (grant_request_ring, grant_requests) = spending::ring();
        let gateway = Gateway::new(GatewayConfig {
            host: config.host.clone(),
            incarnation,
            region: config.region.clone(),
            links: config.links.clone(),
            seed: rand::rng().random(),
        })
        .with_policy(Policy::new(config.weight));
        let (decider, decider_thread) =
            decider::start(gateway, move |action| grant_request_ring.take(action));
        let peer_listener = listen(config.peer_address, "hosts")?;
        let (source_ring, sources) = catch_up::ring();
        let gossip = start_gossip(&config, incarnation, keys, &decider, source_ring)?;
        let key = ClusterKey::new(&keys.cluster_key);
        let identity = PeerIdentity {
            host: config.host.clone(),
            incarnation,
        };
        let peers = PeerClient::new(key.clone(), identity.clone())
            .with_source_address(config.peer_address.ip());
        let relay = RelayContext {
            decider: decider.clone(),
            peers: peers.clone(),
            host: config.host.clone(),
            region: config.region.clone(),
            response_memory: BytePool::new(RESPONSE_MEMORY_BYTES),
        };
        let (tickets, ticket_thread) = start_tickets(&config, incarnation, keys, relay.clone())?;
        let gossip = Arc::new(gossip);
        let poller = Arc::new(start_poller(&gossip)?);
        let in_force = InForceCell::new();
        let peer_server = Arc::new(PeerServer::new(key, identity));
        let sampler = Sampler::new(
            decider.clone(),
            in_force.clone(),
            Arc::clone(&gossip),
            peers.clone(),
            Arc::clone(&peer_server),
            Arc::clone(&poller),
        );
        let (recorder, recorder_thread) = start_recorder(&config, sampler)?;
        let mut host = Self {
            acceptor: Acceptor::new(config.max_connections, Arc::default()),
            incarnation,
            caller_address,
            decider,
            admin: None,
            gossip,
            peers,
            relay,
            tickets,
            peer_server,
            recorder,
            poller,
            is_leaving: Arc::default(),
            open_requests: Arc::default(),
            in_force,
            contact: PlatformContact::new(),
            stop: StopFlag::new(),
            threads: vec![decider_thread, ticket_thread, recorder_thread],
            config,
        };
        host.start_platform(grant_requests)?;
        host.start_catch_up(sources)?;
        host.start_peer_server(peer_listener)?;
        host.start_announcer()?;
        host.start_admin(keys)?;
        host.start_acceptor(callers)?;
        Ok(host)
    }

    /// Address on which callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns whether a configuration is in force and the endpoint list is known.
    pub fn is_ready(&self) -> bool {
        self.in_force.get().is_some() && self.contact.has_list()
    }

    /// Number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Stops accepting new requests; requests in progress continue.
    pub fn begin_shutdown(&self) {
        self.is_leaving.store(true, Ordering::Release);
        if self.decider.report(Event::Leaving).is_err() {
            tracing::warn!("could not notify the decider that this host is shutting down");
        }
    }

    /// Waits for the requests in progress, then hands the ticket table over to
    /// another host. Returns the number of requests still in progress when the
    /// wait ended.
    pub fn drain<F>(&self, is_interrupted: F) -> usize
    where
        F: Fn() -> bool,
    {
        let handover = Handover {
            tickets: &self.tickets,
            peers: &self.peers,
            in_force: &self.in_force,
        };
        let successor = handover.start();
        let limit = Duration::from_millis(self.config.drain_limit_ms.0);
        let deadline = Instant::now() + limit;
        let is_finished = || Instant::now() >= deadline || is_interrupted();
        while self.open_requests() > 0 && !is_finished() {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let unfinished = self.open_requests();
        if let Some(successor) = successor.filter(|_| !is_interrupted()) {
            let host = &successor.instance.host;
            match handover.finish(&successor) {
                true => tracing::info!(%host, "ticket table handed over to the successor"),
                false => tracing::warn!(%host, "ticket handover failed; ticket state is uncertain"),
            }
        }
        unfinished
    }

    /// Stops the listeners and waits for the threads, except those that outlive the
    /// caller connections.
    pub fn stop(self) {
        self.stop.set();
        self.acceptor.stop(self.caller_address);
        self.peer_server.stop(self.config.peer_address);
        for thread in self.threads {
            // These threads end when the last caller connection is closed.
            let waits_for_callers = matches!(
                thread.thread().name(),
                Some("decider" | "spending" | "catch-up" | "tickets" | "recorder")
            );
            if !waits_for_callers && thread.join().is_err() {
                tracing::error!("a thread of this host panicked");
            }
        }
    }

    fn start_acceptor(&mut self, listener: TcpListener) -> Result<(), StartError> {
        let context = CallerContext {
            relay: self.relay.clone(),
            tickets: self.tickets.clone(),
            recorder: self.recorder.clone(),
            in_force: self.in_force.clone(),
            contact: self.contact.clone(),
            is_leaving: Arc::clone(&self.is_leaving),
            open_requests: Arc::clone(&self.open_requests),
        };
        let acceptor = self.acceptor.clone();
        self.spawn("caller-acceptor", move || {
            acceptor.run(
                listener,
                move |connection, _peer| caller::serve(&context, connection),
                refuse_connection,
            );
        })
    }

    fn start_peer_server(&mut self, listener: TcpListener) -> Result<(), StartError> {
        let context = PeerContext {
            relay: self.relay.clone(),
            tickets: self.tickets.clone(),
            recorder: self.recorder.clone(),
            in_force: self.in_force.clone(),
            open_requests: Arc::clone(&self.open_requests),
        };
        let server = Arc::clone(&self.peer_server);
        self.spawn("peer-acceptor", move || {
            server.run(&listener, move |exchange| {
                peer_requests::serve(&context, exchange)
            });
        })
    }

    fn start_catch_up(&mut self, sources: Sources) -> Result<(), StartError> {
        let peers = self.peers.clone();
        let configuration = self.configuration();
        self.spawn("catch-up", move || {
            catch_up::run(&sources, &peers, &configuration);
        })
    }

    fn start_announcer(&mut self) -> Result<(), StartError> {
        let announcer = Announcer {
            config: self.config.clone(),
            incarnation: self.incarnation,
            caller_address: self.caller_address,
            in_force: self.in_force.clone(),
            contact: self.contact.clone(),
            is_leaving: Arc::clone(&self.is_leaving),
            open_requests: Arc::clone(&self.open_requests),
            tickets: self.tickets.clone(),
        };
        let poller = Arc::clone(&self.poller);
        let gossip = Arc::clone(&self.gossip);
        let decider = self.decider.clone();
        let stop = self.stop.clone();
        self.spawn("announcer", move || {
            announcer.run(&gossip, &poller, &decider, &stop);
        })
    }

    fn start_admin(&mut self, keys: &HostKeys) -> Result<(), StartError> {
        let in_force = self.in_force.clone();
        let (for_regions, for_status) = (self.decider.clone(), self.decider.clone());
        let contact = self.contact.clone();
        let burn = BurnCollector {
            recorder: self.recorder.clone(),
            decider: self.decider.clone(),
            peers: self.peers.clone(),
        };
        let admin = Admin {
            operator_key: keys.operator_key,
            kv: KeyValue::new(self.config.platform_address),
            rules: PlanRules {
                regions: self.all_regions(),
            },
            in_force_wait: IN_FORCE_WAIT,
            in_force: Arc::new(move || {
                let current = in_force.get();
                current.map_or_else(Arc::default, |current| Arc::clone(&current.intents))
            }),
            accepted: Arc::new(|_revision| {}),
            regions: Arc::new(move || {
                let regions = for_regions.query(|gateway| status::regions(gateway, clock::now()));
                regions.unwrap_or_default()
            }),
            status: Arc::new(move || {
                let current = for_status.query(|gateway| status::status(gateway, clock::now()));
                let platform_ago_ms = contact.response_age_ms();
                current.ok().map(|status| Status {
                    is_ready: status.is_ready && contact.has_list(),
                    platform_ago_ms,
                    ..status
                })
            }),
            burn: Arc::new(move || burn.collect()),
        };
        let address = self.config.admin_address;
        let server = admin.serve(address).map_err(|source| StartError::Listen {
            address,
            purpose: "operators",
            source,
        })?;
        self.admin = Some(server);
        Ok(())
    }

    fn all_regions(&self) -> Vec<RegionId> {
        let others = self.config.links.iter().map(|link| link.region.clone());
        std::iter::once(self.config.region.clone())
            .chain(others)
            .collect()
    }

    fn start_platform(&mut self, grant_requests: Asks) -> Result<(), StartError> {
        let list = ServiceList::new(self.config.platform_address);
        let kv = KeyValue::new(self.config.platform_address);
        let configuration = self.configuration();
        let (decider, stop) = (self.decider.clone(), self.stop.clone());
        let peers = self.peers.clone();
        let gossip = Arc::clone(&self.gossip);
        let own_address = self.config.peer_address_for_others();
        let contact = self.contact.clone();
        self.spawn("list", move || {
            let on_hosts = |mut addresses: Vec<SocketAddr>| {
                addresses.retain(|address| *address != own_address);
                gossip.publish(LocalUpdate::Seeds(addresses));
            };
            let follower = ListFollower {
                list,
                decider,
                peers,
                contact,
            };
            follower.follow(on_hosts, &stop);
        })?;

        let (watch_kv, stop) = (kv.clone(), self.stop.clone());
        let decider = self.decider.clone();
        let is_watcher = move || decider.query(watch::is_watcher).unwrap_or(false);
        self.spawn("configuration", move || {
            configuration.follow(&watch_kv, is_watcher, &stop);
        })?;

        let (in_force, decider) = (self.in_force.clone(), self.decider.clone());
        let incarnation = self.incarnation;
        self.spawn("spending", move || {
            spending::run(&grant_requests, incarnation, &kv, &in_force, &decider);
        })
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            in_force: self.in_force.clone(),
            decider: self.decider.clone(),
            contact: self.contact.clone(),
        }
    }

    fn spawn<F>(&mut self, name: &'static str, run: F) -> Result<(), StartError>
    where
        F: FnOnce() + Send + 'static,
    {
        let thread = thread::Builder::new()
            .name(name.into())
            .spawn(run)
            .map_err(|source| StartError::Thread { name, source })?;
        self.threads.push(thread);
        Ok(())
    }
}
