//! The thread that takes spending grants from the platform's service.

use crossbeam::channel::{
    Receiver,
    Sender,
    TrySendError,
    bounded, //
};

use crate::{
    clock,
    consul::KeyValue,
    decider::DeciderHandle,
    decision::event::{
        Action,
        Event, //
    },
    grant::{
        self,
        GrantId,
        GrantOutcome,
        GrantRequest, //
    },
    in_force::InForceCell,
    types::{
        CallerId,
        CostMicros,
        Incarnation, //
    }, //
};

const RING_ASKS: usize = 64;
/// Tries with the same id before the decisions hear that there is no answer.
const MAX_TRIES: usize = 2;

/// A grant that the decisions ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ask {
    caller: CallerId,
    amount_micros: CostMicros,
}

/// Leads asks to the thread; a full ring drops them, and the decisions ask again.
#[derive(Debug, Clone)]
pub struct AskRing(Sender<Ask>);

/// The other end of an [`AskRing`].
#[derive(Debug)]
pub struct Asks(Receiver<Ask>);

/// A ring for asks.
pub fn ring() -> (AskRing, Asks) {
    let (sender, receiver) = bounded(RING_ASKS);
    (AskRing(sender), Asks(receiver))
}

impl AskRing {
    /// Passes on an action that belongs to no request.
    pub fn take(&self, action: Action) {
        let Action::RequestGrant {
            caller,
            amount_micros,
        } = action
        else {
            return;
        };
        let ask = Ask {
            caller,
            amount_micros,
        };
        if let Err(TrySendError::Full(ask)) = self.0.try_send(ask) {
            tracing::warn!(caller = %ask.caller, "too many grants are asked for");
        }
    }
}

/// Takes grants until the ring is closed.
pub fn run(
    asks: &Asks,
    incarnation: Incarnation,
    kv: &KeyValue,
    in_force: &InForceCell,
    decider: &DeciderHandle,
) {
    for (sequence, ask) in (0..).zip(&asks.0) {
        let id = GrantId {
            incarnation,
            sequence,
        };
        let Some(event) = answer(&ask, id, kv, in_force) else {
            continue;
        };
        if decider.report(event).is_err() {
            tracing::warn!(caller = %ask.caller, "a grant was taken but could not be used");
        }
    }
}

fn answer(ask: &Ask, id: GrantId, kv: &KeyValue, in_force: &InForceCell) -> Option<Event> {
    let current = in_force.get()?;
    let intent = current.intents.caller(&ask.caller)?;
    let request = GrantRequest {
        caller: ask.caller.clone(),
        period_start_ms: grant::period_start(clock::now(), intent.period_ms),
        amount_micros: ask.amount_micros,
        budget_micros: intent.budget_micros,
        id,
    };
    let mut outcome = grant::take_grant(kv, &request);
    for _ in 1..MAX_TRIES {
        if !matches!(outcome, GrantOutcome::Unavailable) {
            break;
        }
        outcome = grant::take_grant(kv, &request);
    }
    let caller = request.caller;
    let period_start_ms = request.period_start_ms;
    Some(match outcome {
        GrantOutcome::Granted(amount_micros) => Event::Granted {
            caller,
            period_start_ms,
            amount_micros,
        },
        GrantOutcome::Refused => Event::GrantRefused {
            caller,
            period_start_ms,
        },
        GrantOutcome::Unavailable => Event::GrantUnavailable { caller },
    })
}
