//! One entry host: its threads and the rings between them.

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

use rand::RngExt;
use thiserror::Error;

use crate::{
    auth::KeyDigest,
    caller::{
        self,
        CallerContext, //
    },
    config::{
        self,
        Config,
        ConfigError, //
    },
    decider::{
        self,
        DeciderHandle, //
    },
    decision::{
        Gateway,
        GatewayConfig,
        event::{
            Event,
            Refusal,
            RefusalReason, //
        }, //
    },
    http::{
        connection::Connection,
        server::Acceptor, //
    },
    in_force::InForceCell,
    openai::ErrorAnswer,
    outcome::{
        RunState,
        Unsent, //
    },
    platform::ServiceList,
    sink::AnswerSink,
    types::{
        Incarnation,
        Millis,
        RequestId, //
    },
    watch::{
        self,
        StopFlag, //
    }, //
};

const DRAIN_POLL: Duration = Duration::from_millis(20);
/// When to come back after the connection limit was reached.
const OVERLOAD_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Keys of one host, read from files.
#[derive(Clone)]
pub struct HostKeys {
    /// The key that all hosts share.
    pub cluster_key: Vec<u8>,
    /// Digest of the operators' key.
    pub operator_key_digest: KeyDigest,
}

impl HostKeys {
    /// Reads the key files that the settings name.
    pub fn load(config: &Config) -> Result<Self, ConfigError> {
        let operator_key = config::read_key(&config.operator_key_file)?;
        Ok(Self {
            cluster_key: config::read_key(&config.cluster_key_file)?,
            operator_key_digest: crate::auth::digest(&operator_key),
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
        /// Who was to connect there.
        purpose: &'static str,
        /// What the system reported.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("could not start thread {name:?}: {source}")]
    Thread {
        /// The thread.
        name: &'static str,
        /// What the system reported.
        source: io::Error,
    },
}

/// A running host.
pub struct Host {
    config: Config,
    caller_address: SocketAddr,
    acceptor: Acceptor,
    decider: DeciderHandle,
    is_leaving: Arc<AtomicBool>,
    open_requests: Arc<AtomicUsize>,
    in_force: InForceCell,
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
}

impl Host {
    /// Binds the addresses and starts the threads.
    pub fn start(config: Config, _keys: HostKeys) -> Result<Self, StartError> {
        let listener = listen(config.caller_address, "callers")?;
        let caller_address = listener.local_addr().unwrap_or(config.caller_address);
        let gateway = Gateway::new(GatewayConfig {
            host: config.host.clone(),
            incarnation: Incarnation(rand::rng().random()),
            region: config.region.clone(),
            links: config.links.clone(),
            seed: rand::rng().random(),
        });
        let (decider, decider_thread) = decider::start(gateway, |_action| {});
        let is_stopping = Arc::new(AtomicBool::new(false));
        let mut host = Self {
            acceptor: Acceptor::new(config.max_connections, is_stopping),
            caller_address,
            decider,
            is_leaving: Arc::new(AtomicBool::new(false)),
            open_requests: Arc::new(AtomicUsize::new(0)),
            in_force: InForceCell::new(),
            stop: StopFlag::new(),
            threads: vec![decider_thread],
            config,
        };
        host.start_acceptor(listener)?;
        host.start_list()?;
        Ok(host)
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Requests that are being answered.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Takes no new work from now on; requests in progress go on.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
        if self.decider.report(Event::Leaving).is_err() {
            tracing::warn!("could not tell the decider that this host is leaving");
        }
    }

    /// Waits for the requests in progress; returns how many are left.
    pub fn drain<F>(&self, is_cut_short: F) -> usize
    where
        F: Fn() -> bool,
    {
        let limit = Duration::from_millis(self.config.drain_limit_ms.0);
        let deadline = Instant::now() + limit;
        while self.open_requests() > 0 && Instant::now() < deadline && !is_cut_short() {
            thread::sleep(DRAIN_POLL);
        }
        self.open_requests()
    }

    /// Ends the threads.
    pub fn stop(self) {
        self.stop.set();
        self.acceptor.stop(self.caller_address);
        let Self {
            threads, decider, ..
        } = self;
        drop(decider);
        for thread in threads {
            // The decider ends when the last connection has gone.
            if thread.thread().name() != Some("decider") && thread.join().is_err() {
                tracing::error!("a thread panicked");
            }
        }
    }

    fn start_acceptor(&mut self, listener: TcpListener) -> Result<(), StartError> {
        let context = CallerContext {
            region: self.config.region.clone(),
            decider: self.decider.clone(),
            in_force: self.in_force.clone(),
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

    fn start_list(&mut self) -> Result<(), StartError> {
        let list = ServiceList::new(self.config.platform_address);
        let decider = self.decider.clone();
        let stop = self.stop.clone();
        self.spawn("list", move || watch::follow_list(&list, &decider, &stop))
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

fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen {
        address,
        purpose,
        source,
    })
}

/// Answers a connection over the limit.
fn refuse_connection(connection: Connection) {
    let state = RunState::NotRun(Unsent::new().give_up());
    let refusal = Refusal::new(RefusalReason::Overloaded).with_retry_after(OVERLOAD_RETRY_AFTER_MS);
    let answer = ErrorAnswer::from_refusal(refusal, state);
    AnswerSink::new(connection, RequestId::default())
        .with_closing(true)
        .give_up(&answer);
}
