//! Runs gossip on a UDP socket with one thread to receive and one to send.
//!
//! The receive thread checks and applies datagrams and passes the events to a
//! closure. The send thread runs the gossip rounds, takes the updates of this host
//! from a bounded queue and writes to the socket.

use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    TrySendError,
    bounded, //
};

use super::{
    gossip::{
        Gossip,
        GossipConfig,
        GossipCounts,
        GossipEvent,
        OutgoingDatagram, //
    },
    wire::{
        ClusterKey,
        MAX_DATAGRAM_BYTES, //
    }, //
};
use crate::{
    clock,
    decision::view::{
        EndpointReport,
        Heartbeat,
        RegionSummary, //
    },
};

/// Capacity of the queues of replies and of local updates; when one is full, its
/// oldest entry is dropped.
const QUEUE_ENTRIES: usize = 64;
/// Longest wait of either thread before it checks whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An update that originates at this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalUpdate {
    /// Heartbeat of this host.
    Heartbeat(Heartbeat),
    /// Report that this host measured at an endpoint.
    Report(EndpointReport),
    /// Summary of this host's region.
    Summary(RegionSummary),
    /// Addresses of hosts to contact.
    Seeds(Vec<SocketAddr>),
}

/// Numbers of updates and datagrams that were dropped because a queue was full or
/// sending failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SocketCounts {
    /// Local updates that were dropped because their queue was full.
    pub dropped_updates: u64,
    /// Replies that were dropped because their queue was full.
    pub dropped_datagrams: u64,
    /// Datagrams that could not be written to the socket.
    pub failed_sends: u64,
}

#[derive(Debug, Default)]
struct DropCounters {
    updates: AtomicU64,
    datagrams: AtomicU64,
    failed_sends: AtomicU64,
}

/// A bounded queue that drops its oldest entry when it is full.
#[derive(Debug)]
struct DropOldestQueue<T> {
    sender: Sender<T>,
    receiver: Receiver<T>,
}

impl<T> DropOldestQueue<T> {
    fn new(entries: usize) -> Self {
        let (sender, receiver) = bounded(entries);
        Self { sender, receiver }
    }

    fn push(&self, entry: T, dropped: &AtomicU64) {
        let mut entry = entry;
        while let Err(TrySendError::Full(back)) = self.sender.try_send(entry) {
            entry = back;
            if self.receiver.try_recv().is_ok() {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

#[derive(Debug)]
struct Shared {
    gossip: Mutex<Gossip>,
    socket: UdpSocket,
    updates: DropOldestQueue<LocalUpdate>,
    replies: DropOldestQueue<OutgoingDatagram>,
    drops: DropCounters,
    is_stopping: AtomicBool,
}

impl Shared {
    /// Locks the gossip state. A poisoned lock is still used: a panic while it was held
    /// leaves records that are at worst stale.
    fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }
}

/// Gossip of this host while its threads run.
#[derive(Debug)]
pub struct GossipSocket {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl GossipSocket {
    /// Starts the threads on a bound socket. `on_event` runs on the receive thread
    /// for events from other hosts and on the send thread for this host's reports.
    ///
    /// Fails if the socket cannot be configured or a thread cannot be started.
    pub fn start<F>(
        socket: UdpSocket,
        config: GossipConfig,
        key: &ClusterKey,
        on_event: F,
    ) -> io::Result<Self>
    where
        F: Fn(GossipEvent) + Send + Sync + 'static,
    {
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let shared = Arc::new(Shared {
            gossip: Mutex::new(Gossip::new(config, key)),
            socket,
            updates: DropOldestQueue::new(QUEUE_ENTRIES),
            replies: DropOldestQueue::new(QUEUE_ENTRIES),
            drops: DropCounters::default(),
            is_stopping: AtomicBool::new(false),
        });
        let on_event = Arc::new(on_event);
        let mut running = Self {
            shared: Arc::clone(&shared),
            threads: Vec::new(),
        };
        let (receiver, events) = (Arc::clone(&shared), Arc::clone(&on_event));
        running.spawn("gossip receive", move || receive_loop(&receiver, &*events))?;
        running.spawn("gossip send", move || send_loop(&shared, &*on_event))?;
        Ok(running)
    }

    fn spawn<F>(&mut self, name: &str, run: F) -> io::Result<()>
    where
        F: FnOnce() + Send + 'static,
    {
        let builder = thread::Builder::new().name(name.into());
        self.threads.push(builder.spawn(run)?);
        Ok(())
    }

    /// Queues an update for gossip.
    pub fn publish(&self, update: LocalUpdate) {
        self.shared.updates.push(update, &self.shared.drops.updates);
    }

    /// Returns the totals of gossip.
    pub fn counts(&self) -> GossipCounts {
        self.shared.gossip().counts()
    }

    /// Returns the numbers of dropped updates and datagrams.
    pub fn socket_counts(&self) -> SocketCounts {
        let drops = &self.shared.drops;
        SocketCounts {
            dropped_updates: drops.updates.load(Ordering::Relaxed),
            dropped_datagrams: drops.datagrams.load(Ordering::Relaxed),
            failed_sends: drops.failed_sends.load(Ordering::Relaxed),
        }
    }

    /// Stops both threads and waits for them.
    pub fn stop(mut self) {
        self.stop_threads();
    }

    fn stop_threads(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("a gossip thread had panicked before gossip was stopped");
            }
        }
    }
}

impl Drop for GossipSocket {
    fn drop(&mut self) {
        self.stop_threads();
    }
}

fn receive_loop<F>(shared: &Shared, on_event: &F)
where
    F: Fn(GossipEvent),
{
    // One byte more than the limit, so that a datagram over it is detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    while !shared.is_stopping() {
        match shared.socket.recv_from(&mut buffer) {
            Ok((length, from)) => handle_datagram(shared, from, &buffer[..length], on_event),
            Err(error) if is_timeout(&error) => {}
            Err(error) => {
                // The kernel also reports ICMP errors of sent datagrams here.
                tracing::debug!(%error, "could not receive a datagram");
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

fn handle_datagram<F>(shared: &Shared, from: SocketAddr, bytes: &[u8], on_event: &F)
where
    F: Fn(GossipEvent),
{
    let mut events = Vec::new();
    let mut out = Vec::new();
    let now_ms = clock::now();
    let result = shared
        .gossip()
        .receive(now_ms, from, bytes, &mut events, &mut out);
    if let Err(error) = result {
        tracing::debug!(%error, %from, "refused a datagram from another host");
    }
    for reply in out {
        shared.replies.push(reply, &shared.drops.datagrams);
    }
    events.into_iter().for_each(on_event);
}

fn send_loop<F>(shared: &Shared, on_event: &F)
where
    F: Fn(GossipEvent),
{
    while !shared.is_stopping() {
        let mut out = Vec::new();
        shared.gossip().poll(clock::now(), &mut out);
        for datagram in &out {
            send(shared, datagram);
        }
        wait(shared, on_event);
    }
    // Updates that were published before the stop are still sent, such as the
    // heartbeat that says that this host is leaving.
    while let Ok(update) = shared.updates.receiver.try_recv() {
        apply_update(shared, update, on_event);
    }
    let mut out = Vec::new();
    shared.gossip().poll(clock::now(), &mut out);
    out.iter().for_each(|datagram| send(shared, datagram));
}

/// Waits until the next round is due or a reply or local update arrives, and
/// handles that one.
fn wait<F>(shared: &Shared, on_event: &F)
where
    F: Fn(GossipEvent),
{
    let next_ms = shared.gossip().next_round_ms();
    let wait_ms = (next_ms - clock::now()).0;
    let timeout = Duration::from_millis(wait_ms).min(STOP_CHECK_INTERVAL);
    let received = crossbeam::channel::select! {
        recv(shared.replies.receiver) -> reply => reply.map(|reply| send(shared, &reply)).ok(),
        recv(shared.updates.receiver) -> update => update.map(|update| apply_update(shared, update, on_event)).ok(),
        default(timeout) => None,
    };
    if received.is_none() && wait_ms == 0 {
        // Prevents a busy loop when a round is due but has no targets.
        match shared
            .replies
            .receiver
            .recv_timeout(Duration::from_millis(1))
        {
            Ok(reply) => send(shared, &reply),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
}

fn apply_update<F>(shared: &Shared, update: LocalUpdate, on_event: &F)
where
    F: Fn(GossipEvent),
{
    let now_ms = clock::now();
    let mut events = Vec::new();
    {
        let mut gossip = shared.gossip();
        match update {
            LocalUpdate::Heartbeat(heartbeat) => gossip.set_own_heartbeat(now_ms, heartbeat),
            LocalUpdate::Report(report) => gossip.apply_local_report(now_ms, report, &mut events),
            LocalUpdate::Summary(summary) => gossip.set_own_summary(now_ms, summary),
            LocalUpdate::Seeds(addresses) => gossip.add_seeds(&addresses),
        }
    }
    events.into_iter().for_each(on_event);
}

fn send(shared: &Shared, datagram: &OutgoingDatagram) {
    if let Err(error) = shared.socket.send_to(&datagram.bytes, datagram.to) {
        shared.drops.failed_sends.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(%error, to = %datagram.to, "could not send a datagram");
    }
}
