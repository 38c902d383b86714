//! A wire between two processes that can be made to fail.
//!
//! A [`Wire`] listens on one loopback port for TCP and UDP and passes
//! everything to one target. Its faults are switched while it runs:
//!
//! - a delay of everything, as over a wide-area network;
//! - a held direction, as in a partition: bytes of a connection wait until the
//!   direction passes again, datagrams are lost;
//! - a cut: all connections break and new ones are closed at once;
//! - an entry that refuses new connections, or never answers them, while those that are open
//!   go on or are held;
//! - answers that are lost after the request has reached the target;
//! - datagrams that are lost, duplicated or overtaken.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
    io::{
        self,
        Read,
        Write as _, //
    },
    net::{
        IpAddr,
        Ipv4Addr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        PoisonError, //
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

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    bounded, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;

use super::listener::{
    STANDIN_IP,
    lock, //
};
use crate::types::Bytes;

/// Bytes passed on at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// Pieces that wait in one direction of a connection.
const MAX_WAITING_PIECES: usize = 256;
/// Datagrams that wait for their delay.
const MAX_WAITING_DATAGRAMS: usize = 4_096;
/// Senders of datagrams that are told apart.
const MAX_UDP_PEERS: usize = 64;
/// How often a thread that waits for datagrams looks whether it must stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// By how much an overtaken datagram is held back.
const REORDER_DELAY: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a connection that only wakes the accepting thread.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);
/// Connections that wait for the accepting thread while the entry is open.
const BACKLOG: i32 = 128;
/// Pause after a connection that failed, since the next one may fail at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
const WIRE_STACK_BYTES: usize = 128 * 1024;
/// Attempts to find a port that is free for TCP and for UDP.
const PORT_ATTEMPTS: u32 = 20;

/// One way along the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the process that connects to the target.
    ToTarget,
    /// Back to the process that connected.
    ToCaller,
}

/// Whether a direction lets anything through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Flow {
    /// Everything passes.
    #[default]
    Pass,
    /// Bytes wait until the direction passes again; datagrams are lost.
    Hold,
}

/// What happens to new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Entry {
    /// They are accepted.
    #[default]
    Open,
    /// They are refused, as by a port without a listener.
    Refusing,
    /// They are not answered, as behind a partition.
    Silent,
}

/// How often datagrams suffer what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramFaults {
    /// Share that is lost, in thousandths.
    pub lost_permille: u16,
    /// Share that arrives twice, in thousandths.
    pub duplicated_permille: u16,
    /// Share that later ones overtake, in thousandths.
    pub reordered_permille: u16,
}

#[derive(Debug)]
struct State {
    delay: Duration,
    to_target: Flow,
    to_caller: Flow,
    is_cut: bool,
    is_stopping: bool,
    entry: Entry,
    /// What the accepting thread does now.
    entry_in_effect: Entry,
    answers_to_drop: u32,
    datagrams: DatagramFaults,
    rng: Pcg64Mcg,
    passed_to_target: Bytes,
    passed_to_caller: Bytes,
    connections: u64,
    streams: HashMap<u64, Ends>,
    blocked: Vec<IpAddr>,
    sightings: HashMap<Vec<u8>, u64>,
}

impl State {
    fn is_blocked(&self, source: SocketAddr) -> bool {
        self.is_cut || self.blocked.contains(&source.ip())
    }

    fn flow(&self, direction: Direction) -> Flow {
        match direction {
            Direction::ToTarget => self.to_target,
            Direction::ToCaller => self.to_caller,
        }
    }

    fn count(&mut self, direction: Direction, length: usize) {
        let counter = match direction {
            Direction::ToTarget => &mut self.passed_to_target,
            Direction::ToCaller => &mut self.passed_to_caller,
        };
        *counter = *counter + Bytes(length as u64);
    }

    fn look_for_markers(&mut self, bytes: &[u8]) {
        for (marker, count) in &mut self.sightings {
            let seen = bytes.windows(marker.len()).filter(|part| part == marker);
            *count += seen.count() as u64;
        }
    }

    fn happens(&mut self, permille: u16) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }

    fn break_connections(&mut self) {
        for ends in self.streams.values() {
            ends.close();
        }
    }
}

/// Both sockets of one connection through the wire, shared by the threads of both directions.
#[derive(Debug, Clone)]
struct Ends {
    caller: Arc<TcpStream>,
    target: Arc<TcpStream>,
}

impl Ends {
    fn close(&self) {
        // An error means that the socket is closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn is_stopping(&self) -> bool {
        lock(&self.state).is_stopping
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut State),
    {
        change(&mut lock(&self.state));
        self.changed.notify_all();
    }

    /// Waits until `due` and until the direction passes; false after a cut.
    fn wait_to_pass(&self, direction: Direction, due: Instant) -> bool {
        let mut state = lock(&self.state);
        loop {
            if state.is_stopping || state.is_cut {
                return false;
            }
            let is_held = state.flow(direction) == Flow::Hold;
            let left = due.saturating_duration_since(Instant::now());
            if !is_held && left.is_zero() {
                return true;
            }
            state = if is_held {
                let waited = self.changed.wait(state);
                waited.unwrap_or_else(PoisonError::into_inner)
            } else {
                let waited = self.changed.wait_timeout(state, left);
                waited.unwrap_or_else(PoisonError::into_inner).0
            };
        }
    }

    fn wait_for_entry(&self, entry: Entry) {
        let mut state = lock(&self.state);
        while state.entry_in_effect != entry && !state.is_stopping {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn wait_while_closed(&self) {
        let mut state = lock(&self.state);
        while state.entry != Entry::Open && !state.is_stopping {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn takes_answer_to_drop(&self) -> bool {
        let mut state = lock(&self.state);
        let is_dropped = state.answers_to_drop > 0;
        state.answers_to_drop = state.answers_to_drop.saturating_sub(1);
        is_dropped
    }
}

/// A running wire; it ends with this handle.
#[derive(Debug)]
pub struct Wire {
    address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    /// Connections that fill the queue of a silent entry.
    fillers: Mutex<Vec<TcpStream>>,
}

impl Wire {
    /// Starts a wire to `target`; `seed` decides which datagrams suffer.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let (listener, socket) = bind_both()?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                delay: Duration::ZERO,
                to_target: Flow::Pass,
                to_caller: Flow::Pass,
                is_cut: false,
                is_stopping: false,
                entry: Entry::Open,
                entry_in_effect: Entry::Open,
                answers_to_drop: 0,
                datagrams: DatagramFaults::default(),
                rng: Pcg64Mcg::seed_from_u64(seed),
                passed_to_target: Bytes(0),
                passed_to_caller: Bytes(0),
                connections: 0,
                streams: HashMap::new(),
                blocked: Vec::new(),
                sightings: HashMap::new(),
            }),
            changed: Condvar::new(),
        });
        let (sender, receiver) = bounded(MAX_WAITING_DATAGRAMS);
        let udp = UdpSide {
            shared: Arc::clone(&shared),
            socket: Arc::new(socket),
            target,
            queue: sender,
        };
        let acceptor = Arc::clone(&shared);
        let deliverer = Arc::clone(&shared);
        let threads = vec![
            spawn(move || accept(&acceptor, listener, target))?,
            spawn(move || udp.receive())?,
            spawn(move || deliver(&deliverer, &receiver))?,
        ];
        Ok(Self {
            address,
            shared,
            threads,
            fillers: Mutex::default(),
        })
    }

    /// Where it listens for TCP and UDP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays everything that is read from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.change(|state| state.delay = delay);
    }

    /// Holds one direction, or lets it pass again.
    pub fn set_flow(&self, direction: Direction, flow: Flow) {
        self.shared.change(|state| match direction {
            Direction::ToTarget => state.to_target = flow,
            Direction::ToCaller => state.to_caller = flow,
        });
    }

    /// Holds both directions, or lets them pass again.
    pub fn set_frozen(&self, is_frozen: bool) {
        let flow = if is_frozen { Flow::Hold } else { Flow::Pass };
        self.set_flow(Direction::ToTarget, flow);
        self.set_flow(Direction::ToCaller, flow);
    }

    /// Breaks all connections and closes new ones, or lets them in again.
    pub fn set_cut(&self, is_cut: bool) {
        self.shared.change(|state| {
            state.is_cut = is_cut;
            if is_cut {
                state.break_connections();
            }
        });
    }

    /// Changes what happens to new connections; open ones are not affected.
    ///
    /// # Errors
    ///
    /// Fails if the queue of a silent entry can't be filled.
    pub fn set_entry(&self, entry: Entry) -> io::Result<()> {
        self.shared.change(|state| state.entry = entry);
        lock(&self.fillers).clear();
        // The blocking accept returns only for a connection.
        let _ = TcpStream::connect_timeout(&self.address, FILL_TIMEOUT);
        self.shared.wait_for_entry(entry);
        if entry == Entry::Silent {
            // A queue without room drops the next request for a connection.
            let filler = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
            lock(&self.fillers).push(filler);
        }
        Ok(())
    }

    /// Lets nothing through that comes from these addresses, and breaks their
    /// connections; an empty list lets everything in again.
    pub fn set_blocked_sources(&self, sources: &[IpAddr]) {
        self.shared.change(|state| {
            state.blocked = sources.to_vec();
            for ends in state.streams.values() {
                let source = ends.caller.peer_addr();
                if source.is_ok_and(|source| state.blocked.contains(&source.ip())) {
                    ends.close();
                }
            }
        });
    }

    /// Breaks the next `count` connections on which the target answers, instead
    /// of passing the answer on.
    pub fn drop_answers(&self, count: u32) {
        self.shared.change(|state| state.answers_to_drop = count);
    }

    /// Sets what datagrams suffer.
    pub fn set_datagram_faults(&self, faults: DatagramFaults) {
        self.shared.change(|state| state.datagrams = faults);
    }

    /// Bytes that have passed in one direction, TCP and UDP together.
    pub fn passed(&self, direction: Direction) -> Bytes {
        let state = lock(&self.shared.state);
        match direction {
            Direction::ToTarget => state.passed_to_target,
            Direction::ToCaller => state.passed_to_caller,
        }
    }

    /// Connections that were accepted so far.
    pub fn connections(&self) -> u64 {
        lock(&self.shared.state).connections
    }

    /// Counts from now on how often `marker` passes whole in one piece of a
    /// connection; data to be found should repeat it.
    pub fn watch_for(&self, marker: &str) {
        let bytes = marker.as_bytes().to_vec();
        self.shared.change(|state| {
            state.sightings.insert(bytes, 0);
        });
    }

    /// How often `marker` has passed in either direction since it is watched for.
    pub fn sightings(&self, marker: &str) -> u64 {
        let state = lock(&self.shared.state);
        let count = state.sightings.get(marker.as_bytes());
        count.copied().unwrap_or_default()
    }

    /// Stops listening and breaks all connections.
    pub fn stop(&mut self) {
        self.shared.change(|state| {
            state.is_stopping = true;
            state.break_connections();
        });
        // The blocking accept returns only for a connection.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        for thread in self.threads.drain(..) {
            // A panic of the thread was printed when it happened.
            let _ = thread.join();
        }
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last_error = None;
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind((STANDIN_IP, 0))?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

fn spawn<F>(run: F) -> io::Result<JoinHandle<()>>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new()
        .name("wire".into())
        .stack_size(WIRE_STACK_BYTES)
        .spawn(run)
}

fn accept(shared: &Arc<Shared>, listener: TcpListener, target: SocketAddr) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    while !shared.is_stopping() {
        let entry = lock(&shared.state).entry;
        let prepared = prepare_entry(entry, &mut listener, address);
        shared.change(|state| state.entry_in_effect = entry);
        if entry != Entry::Open {
            shared.wait_while_closed();
            continue;
        }
        let accepted = match (&listener, prepared) {
            (Some(listener), Ok(())) => listener.accept(),
            (_, Err(error)) => Err(error),
            (None, Ok(())) => return,
        };
        if shared.is_stopping() || lock(&shared.state).entry != Entry::Open {
            continue;
        }
        let result = accepted.and_then(|(caller, source)| connect(shared, caller, source, target));
        if let Err(error) = result {
            tracing::debug!(%error, %target, "wire could not pass a connection on");
            thread::sleep(ACCEPT_RETRY_DELAY);
        }
    }
}

/// Opens or closes the listener, or leaves its queue no room.
fn prepare_entry(
    entry: Entry,
    listener: &mut Option<TcpListener>,
    address: SocketAddr,
) -> io::Result<()> {
    if entry == Entry::Refusing {
        *listener = None;
        return Ok(());
    }
    let listener = match listener {
        Some(listener) => listener,
        None => listener.insert(TcpListener::bind(address)?),
    };
    let backlog = match entry {
        Entry::Silent => 0,
        _ => BACKLOG,
    };
    SockRef::from(&*listener).listen(backlog)
}

fn connect(
    shared: &Arc<Shared>,
    caller: TcpStream,
    source: SocketAddr,
    target: SocketAddr,
) -> io::Result<()> {
    if lock(&shared.state).is_blocked(source) {
        return caller.shutdown(Shutdown::Both);
    }
    let target = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let ends = Ends {
        caller: Arc::new(caller),
        target: Arc::new(target),
    };
    let id = {
        let mut state = lock(&shared.state);
        // A cut that came in between did not see this connection.
        if state.is_blocked(source) || state.is_stopping {
            ends.close();
            return Ok(());
        }
        let id = state.connections;
        state.connections += 1;
        state.streams.insert(id, ends.clone());
        id
    };
    let alive = Arc::new(AliveConnection {
        shared: Arc::clone(shared),
        id,
    });
    for direction in [Direction::ToTarget, Direction::ToCaller] {
        start_pump(shared, &alive, ends.clone(), direction)?;
    }
    Ok(())
}

/// Forgets the connection when the last of its threads ends.
struct AliveConnection {
    shared: Arc<Shared>,
    id: u64,
}

impl Drop for AliveConnection {
    fn drop(&mut self) {
        if let Some(ends) = lock(&self.shared.state).streams.remove(&self.id) {
            ends.close();
        }
    }
}

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

fn start_pump(
    shared: &Arc<Shared>,
    alive: &Arc<AliveConnection>,
    ends: Ends,
    direction: Direction,
) -> io::Result<()> {
    let (source, sink) = match direction {
        Direction::ToTarget => (Arc::clone(&ends.caller), Arc::clone(&ends.target)),
        Direction::ToCaller => (Arc::clone(&ends.target), Arc::clone(&ends.caller)),
    };
    let (sender, receiver) = bounded(MAX_WAITING_PIECES);
    let for_reader = (Arc::clone(shared), Arc::clone(alive));
    let for_writer = (Arc::clone(shared), Arc::clone(alive));
    spawn(move || {
        let (shared, _alive) = for_reader;
        read_pieces(&shared, &source, &sender);
    })?;
    spawn(move || {
        let (shared, _alive) = for_writer;
        let writer = Writer {
            shared: &shared,
            ends: &ends,
            direction,
        };
        writer.write_pieces(&sink, &receiver);
    })?;
    Ok(())
}

fn read_pieces(shared: &Shared, mut source: &TcpStream, queue: &Sender<Piece>) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        // An empty piece stands for the end, which is delayed like the rest.
        let count = source.read(&mut buffer).unwrap_or(0);
        let piece = Piece {
            due: Instant::now() + lock(&shared.state).delay,
            bytes: buffer[..count].to_vec(),
        };
        if queue.send(piece).is_err() || count == 0 {
            return;
        }
    }
}

struct Writer<'a> {
    shared: &'a Shared,
    ends: &'a Ends,
    direction: Direction,
}

impl Writer<'_> {
    fn write_pieces(&self, mut sink: &TcpStream, queue: &Receiver<Piece>) {
        for piece in queue {
            if !self.shared.wait_to_pass(self.direction, piece.due) {
                self.ends.close();
                return;
            }
            if piece.bytes.is_empty() {
                // The other direction may still be in use.
                let _ = sink.shutdown(Shutdown::Write);
                return;
            }
            let is_answer = self.direction == Direction::ToCaller;
            if is_answer && self.shared.takes_answer_to_drop() {
                self.ends.close();
                return;
            }
            // Counted before it is written, so that whoever has received a
            // byte finds it counted.
            {
                let mut state = lock(&self.shared.state);
                state.count(self.direction, piece.bytes.len());
                state.look_for_markers(&piece.bytes);
            }
            if sink.write_all(&piece.bytes).is_err() {
                self.ends.close();
                return;
            }
        }
    }
}

struct Datagram {
    due: Instant,
    direction: Direction,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

struct UdpSide {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    queue: Sender<Datagram>,
}

impl UdpSide {
    fn receive(&self) {
        // Each sender gets a socket of its own, so that answers find their way.
        let mut peers = HashMap::new();
        self.receive_from(&self.socket, |from, bytes| {
            if lock(&self.shared.state).is_blocked(from) {
                return;
            }
            if !peers.contains_key(&from) && peers.len() < MAX_UDP_PEERS {
                match self.start_peer(from) {
                    Ok(socket) => {
                        peers.insert(from, socket);
                    }
                    Err(error) => tracing::debug!(%error, "wire could not open a socket"),
                }
            }
            if let Some(socket) = peers.get(&from) {
                self.schedule(Direction::ToTarget, socket, self.target, bytes);
            }
        });
    }

    fn start_peer(&self, peer: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?);
        let back = Self {
            shared: Arc::clone(&self.shared),
            socket: Arc::clone(&self.socket),
            target: self.target,
            queue: self.queue.clone(),
        };
        let source = Arc::clone(&socket);
        spawn(move || {
            back.receive_from(&source, |_, bytes| {
                back.schedule(Direction::ToCaller, &back.socket, peer, bytes);
            });
        })?;
        Ok(socket)
    }

    fn receive_from<F>(&self, source: &UdpSocket, mut take: F)
    where
        F: FnMut(SocketAddr, &[u8]),
    {
        if let Err(error) = source.set_read_timeout(Some(STOP_CHECK_INTERVAL)) {
            tracing::warn!(%error, "wire cannot receive datagrams");
            return;
        }
        let mut buffer = vec![0; PIECE_BYTES];
        while !self.shared.is_stopping() {
            // Besides a timeout, loopback reports that the target is not there.
            if let Ok((count, from)) = source.recv_from(&mut buffer) {
                take(from, &buffer[..count]);
            }
        }
    }

    fn schedule(
        &self,
        direction: Direction,
        socket: &Arc<UdpSocket>,
        to: SocketAddr,
        bytes: &[u8],
    ) {
        let mut state = lock(&self.shared.state);
        let faults = state.datagrams;
        if state.is_cut
            || state.flow(direction) == Flow::Hold
            || state.happens(faults.lost_permille)
        {
            return;
        }
        let copies = 1 + u32::from(state.happens(faults.duplicated_permille));
        for _ in 0..copies {
            let mut due = Instant::now() + state.delay;
            if state.happens(faults.reordered_permille) {
                due += REORDER_DELAY;
            }
            let datagram = Datagram {
                due,
                direction,
                socket: Arc::clone(socket),
                to,
                bytes: bytes.to_vec(),
            };
            // A full queue loses datagrams, as a full router does.
            let _ = self.queue.try_send(datagram);
        }
    }
}

fn deliver(shared: &Shared, queue: &Receiver<Datagram>) {
    let mut waiting = BinaryHeap::new();
    let mut datagrams = HashMap::new();
    let mut next_id = 0_u64;
    while !shared.is_stopping() {
        let now = Instant::now();
        while waiting.peek().is_some_and(|Reverse((due, _))| *due <= now) {
            let Some(Reverse((_, id))) = waiting.pop() else {
                break;
            };
            if let Some(datagram) = datagrams.remove(&id) {
                send(shared, &datagram);
            }
        }
        let check = now + STOP_CHECK_INTERVAL;
        let until = waiting
            .peek()
            .map_or(check, |Reverse((due, _))| check.min(*due));
        match queue.recv_deadline(until) {
            Ok(datagram) => {
                waiting.push(Reverse((datagram.due, next_id)));
                datagrams.insert(next_id, datagram);
                next_id += 1;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn send(shared: &Shared, datagram: &Datagram) {
    lock(&shared.state).count(datagram.direction, datagram.bytes.len());
    if let Err(error) = datagram.socket.send_to(&datagram.bytes, datagram.to) {
        tracing::debug!(%error, to = %datagram.to, "wire could not send a datagram");
    }
}
