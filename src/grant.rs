//! Spending grants: shares of a caller's budget, taken from the key-value service.
//!
//! The key `cardamombridge/spend/CALLER` holds the period, the total granted in
//! it and the last grants. Every grant raises the total by compare-and-swap, so
//! the total never exceeds the budget. After a lost response the id of the grant
//! tells whether it was taken. A grant whose id is no longer among the last ones
//! may be taken twice; the first then counts as spent, which keeps the total
//! within the budget.

use std::{
    collections::VecDeque,
    thread,
    time::Duration, //
};

use rand::RngExt;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    consul::{
        CasOutcome,
        KeyState,
        KeyValue,
        PlatformError, //
    },
    types::{
        CallerId,
        CostMicros,
        Incarnation,
        Millis, //
    }, //
};

/// Grants whose ids are kept for settling lost responses.
const MAX_RECENT: usize = 64;
/// Tries of a grant that loses races or responses.
const MAX_ATTEMPTS: u32 = 16;
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Key of a caller's spending.
pub fn spend_key(caller: &CallerId) -> String {
    format!("cardamombridge/spend/{caller}")
}

/// Identifies one grant of one run of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// Run of the host.
    pub incarnation: Incarnation,
    /// Counts the grants of this run.
    pub sequence: u64,
}

/// A grant that has been taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Identifies the grant.
    pub id: GrantId,
    /// Granted amount.
    pub amount_micros: CostMicros,
}

/// Value of a caller's spending key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spend {
    /// Start of the budget period.
    pub period_start_ms: Millis,
    /// Total granted in the period.
    pub granted_micros: CostMicros,
    /// Last grants of the period, oldest first.
    pub recent: VecDeque<Grant>,
}

/// How taking a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The amount may be spent, at most what was asked for.
    Granted(CostMicros),
    /// The budget is used up or the period is over.
    Refused,
    /// The service cannot tell; ask again with the same id.
    Unavailable,
}

/// A grant to be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRequest {
    /// Whose budget.
    pub caller: CallerId,
    /// Start of the budget period, the same at every host.
    pub period_start_ms: Millis,
    /// Amount asked for.
    pub amount_micros: CostMicros,
    /// Budget of the period.
    pub budget_micros: CostMicros,
    /// Identifies the grant; the same for every try.
    pub id: GrantId,
}

/// A grant that has not been written.
#[derive(Debug)]
struct NewGrant {
    spend: Spend,
    amount_micros: CostMicros,
}

/// Start of the budget period that `now_ms` falls into.
pub fn period_start(now_ms: Millis, period_ms: Millis) -> Millis {
    let length = period_ms.0.max(1);
    Millis(now_ms.0 - now_ms.0 % length)
}

impl Spend {
    /// The spending after a new grant, or the outcome if there is no new one.
    fn with_grant(mut self, request: &GrantRequest) -> Result<NewGrant, GrantOutcome> {
        if self.period_start_ms > request.period_start_ms {
            return Err(GrantOutcome::Refused);
        }
        if self.period_start_ms < request.period_start_ms {
            self = Self {
                period_start_ms: request.period_start_ms,
                ..Self::default()
            };
        }
        let mut taken = self.recent.iter().filter(|grant| grant.id == request.id);
        if let Some(grant) = taken.next() {
            return Err(GrantOutcome::Granted(grant.amount_micros));
        }
        let left = request.budget_micros.saturating_sub(self.granted_micros);
        let amount_micros = request.amount_micros.min(left);
        if amount_micros == CostMicros(0) {
            return Err(GrantOutcome::Refused);
        }
        self.granted_micros = self.granted_micros + amount_micros;
        let id = request.id;
        self.recent.push_back(Grant { id, amount_micros });
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        Ok(NewGrant {
            spend: self,
            amount_micros,
        })
    }
}

fn decode(state: &KeyState) -> Result<Spend, serde_json::Error> {
    state
        .value
        .as_deref()
        .map_or_else(|| Ok(Spend::default()), serde_json::from_slice)
}

/// Reads a caller's spending; an invalid value is reported as an error.
pub fn read_spend(kv: &KeyValue, caller: &CallerId) -> Result<Spend, PlatformError> {
    let key = spend_key(caller);
    let state = kv.read(&key)?;
    decode(&state).map_err(|error| PlatformError::InvalidAnswer {
        path: key.into(),
        reason: compact_str::format_compact!("{error}"),
    })
}

/// Takes a grant from a caller's budget.
pub fn take_grant(kv: &KeyValue, request: &GrantRequest) -> GrantOutcome {
    let key = spend_key(&request.caller);
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            thread::sleep(MAX_PAUSE.mul_f64(rand::rng().random()));
        }
        match try_grant(kv, &key, request) {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(caller = %request.caller, %error, "grant is not available");
                return GrantOutcome::Unavailable;
            }
        }
    }
    GrantOutcome::Unavailable
}

/// One try; none means that the key has changed or the response was lost.
fn try_grant(
    kv: &KeyValue,
    key: &str,
    request: &GrantRequest,
) -> Result<Option<GrantOutcome>, PlatformError> {
    let invalid = |error: serde_json::Error| PlatformError::InvalidAnswer {
        path: key.into(),
        reason: compact_str::format_compact!("{error}"),
    };
    let state = kv.read(key)?;
    let spend = decode(&state).map_err(invalid)?;
    let new = match spend.with_grant(request) {
        Ok(granted) => granted,
        Err(outcome) => return Ok(Some(outcome)),
    };
    let bytes = serde_json::to_vec(&new.spend).map_err(invalid)?;
    let written = kv.compare_and_swap(key, state.modify_index, bytes)?;
    let is_written = matches!(written, CasOutcome::Written);
    Ok(is_written.then_some(GrantOutcome::Granted(new.amount_micros)))
}
