//! The thread that owns the decisions, and the ring that leads to it.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
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
use thiserror::Error;

use crate::{
    clock,
    decision::{
        Gateway,
        event::{
            Action,
            Arrival,
            AttemptOutcome,
            Event, //
        }, //
    },
    types::{
        Attempt,
        RequestId, //
    }, //
};

const RING_EVENTS: usize = 4_096;
/// Actions that one request can have outstanding.
const REQUEST_RING_ACTIONS: usize = 8;
const TICK: Duration = Duration::from_millis(20);
/// Longest wait for room when a request reports its end, which must not be lost.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// The ring to the decider is full or the decider is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the decider takes no more events")]
pub struct RingFull;

type Query = Box<dyn FnOnce(&Gateway) + Send>;

enum Message {
    Arrived(Box<Arrival>, Sender<Action>),
    Event(Box<Event>),
    Query(Query),
}

/// Leads events to the decider.
#[derive(Clone)]
pub struct DeciderHandle {
    ring: Sender<Message>,
    dropped: Arc<AtomicU64>,
}

impl DeciderHandle {
    /// Submits a request; its actions come through the returned ring.
    pub fn submit(&self, arrival: Arrival) -> Result<Receiver<Action>, RingFull> {
        let (sender, receiver) = bounded(REQUEST_RING_ACTIONS);
        self.try_send(Message::Arrived(Box::new(arrival), sender))?;
        Ok(receiver)
    }

    /// Reports an event that may be dropped when the ring is full.
    pub fn report(&self, event: Event) -> Result<(), RingFull> {
        self.try_send(Message::Event(Box::new(event)))
    }

    /// Reports the end of an attempt.
    pub fn ended(&self, request: RequestId, attempt: Attempt, outcome: AttemptOutcome) {
        let event = Event::Ended {
            request,
            attempt,
            outcome,
        };
        let message = Message::Event(Box::new(event));
        if self.ring.send_timeout(message, END_TIMEOUT).is_err() {
            tracing::error!(%request, "could not report the end of an attempt");
        }
    }

    /// Events that were refused because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Runs `query` on the decisions and returns its result.
    pub fn query<F, T>(&self, query: F) -> Result<T, RingFull>
    where
        F: FnOnce(&Gateway) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (sender, receiver) = bounded(1);
        let run: Query = Box::new(move |gateway| {
            let _ = sender.send(query(gateway));
        });
        self.try_send(Message::Query(run))?;
        receiver.recv().map_err(|_| RingFull)
    }

    fn try_send(&self, message: Message) -> Result<(), RingFull> {
        self.ring.try_send(message).map_err(|error| match error {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                RingFull
            }
        })
    }
}

/// Starts the decider; `on_action` takes the actions that belong to no request.
///
/// The thread ends when the last handle is dropped.
pub fn start<F>(gateway: Gateway, on_action: F) -> (DeciderHandle, JoinHandle<()>)
where
    F: Fn(Action) + Send + 'static,
{
    let (ring, events) = bounded(RING_EVENTS);
    let decider = Decider {
        gateway,
        requests: HashMap::new(),
        on_action,
    };
    let thread = thread::Builder::new()
        .name("decider".into())
        .spawn(move || decider.run(&events))
        .expect("the decider thread must start");
    let dropped = Arc::new(AtomicU64::new(0));
    (DeciderHandle { ring, dropped }, thread)
}

struct Decider<F> {
    gateway: Gateway,
    requests: HashMap<RequestId, Sender<Action>>,
    on_action: F,
}

impl<F> Decider<F>
where
    F: Fn(Action),
{
    fn run(mut self, events: &Receiver<Message>) {
        let mut actions = Vec::new();
        let mut next_tick = std::time::Instant::now() + TICK;
        loop {
            match events.recv_deadline(next_tick) {
                Ok(message) => self.take(message, &mut actions),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // A busy ring must not starve the ticks, which end expired waits.
            let now = std::time::Instant::now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.gateway.handle(clock::now(), Event::Tick, &mut actions);
            }
            self.deliver(&mut actions);
        }
    }

    fn take(&mut self, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Arrived(arrival, sender) => {
                self.requests.insert(arrival.request, sender);
                self.gateway
                    .handle(clock::now(), Event::Arrived(*arrival), actions);
            }
            Message::Event(event) => {
                let ended = is_final(&event);
                self.gateway.handle(clock::now(), *event, actions);
                if let Some(request) = ended {
                    self.requests.remove(&request);
                }
            }
            Message::Query(query) => query(&self.gateway),
        }
    }

    fn deliver(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            let Some(request) = action.request() else {
                (self.on_action)(action);
                continue;
            };
            let is_last = matches!(action, Action::Refuse { .. });
            if let Some(sender) = self.requests.get(&request) {
                // A full ring means that the connection thread is gone.
                let _ = sender.try_send(action);
            }
            if is_last {
                self.requests.remove(&request);
            }
        }
    }
}

fn is_final(event: &Event) -> Option<RequestId> {
    match event {
        Event::Ended {
            request, outcome, ..
        } => match outcome {
            AttemptOutcome::Complete { .. }
            | AttemptOutcome::Truncated { .. }
            | AttemptOutcome::Failed { .. }
            | AttemptOutcome::CallerDisconnected { .. } => Some(*request),
            AttemptOutcome::NotSent
            | AttemptOutcome::Rejected { .. }
            | AttemptOutcome::Interrupted { .. } => None,
        },
        _ => None,
    }
}
