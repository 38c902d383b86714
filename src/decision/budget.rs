//! Spending of each caller from the part of its budget granted to this host.
//!
//! Before it is sent, a request reserves the most that an attempt can cost; it is
//! then charged the actual cost of its attempts. Charges and reservations of a
//! period never exceed the grants of that period plus the outage allowance, which
//! one instance of this host may use while no grant is available. A charge beyond its
//! reservation, caused by an endpoint that generated more than requested, counts
//! in full and reduces what later grants leave available.

use std::collections::BTreeMap;

use super::policy::{
    Policy,
    fraction, //
};
use crate::{
    intent::{
        CallerIntent,
        Intents, //
    },
    types::{
        Bytes,
        CallerId,
        CostMicros,
        Millis,
        Target,
        Tokens, //
    }, //
};

/// Ledgers kept per caller, including the current period, so that requests are
/// charged to the period in which they started.
const RETAINED_PERIODS: usize = 3;

/// Prices of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Price {
    /// Price of a thousand uncached prompt tokens.
    pub prompt_per_ktok: CostMicros,
    /// Price of a thousand generated tokens.
    pub output_per_ktok: CostMicros,
    /// Price of one call.
    pub per_call: CostMicros,
}

impl Price {
    /// Returns the price in force, or `None` if the configuration does not contain
    /// the target.
    pub fn new(intents: &Intents, target: &Target) -> Option<Self> {
        match target {
            Target::Model(id) => intents.model(id).map(|model| Self {
                prompt_per_ktok: model.prefill_micros_per_ktok,
                output_per_ktok: model.decode_micros_per_ktok,
                per_call: CostMicros(0),
            }),
            Target::Service(id) => intents.service(id).map(|service| Self {
                per_call: service.call_micros,
                ..Self::default()
            }),
        }
    }

    /// Returns the cost of one attempt, rounded up.
    pub fn cost(&self, prompt: Tokens, output: Tokens) -> CostMicros {
        let prompt = self.prompt_per_ktok.0.saturating_mul(prompt.0);
        let output = self.output_per_ktok.0.saturating_mul(output.0);
        let tokens = prompt.saturating_add(output).div_ceil(1_000);
        CostMicros(tokens) + self.per_call
    }
}

/// An amount reserved for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    caller: CallerId,
    period_start_ms: Millis,
    amount: CostMicros,
}

/// Why an amount could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// A grant has been requested, or is about to be.
    AwaitingGrant,
    /// The budget or the outage allowance is used up.
    Exhausted {
        /// When more may become available.
        retry_after_ms: Millis,
    },
}

/// Spending of one caller through this host in one period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Ledger {
    /// Amount granted by the platform's service.
    pub granted: CostMicros,
    /// Amount taken from the outage allowance.
    pub drawn: CostMicros,
    /// Amount charged for attempts.
    pub spent: CostMicros,
    /// Amount reserved for requests in progress.
    pub reserved: CostMicros,
}

impl Ledger {
    /// Amount that can still be reserved.
    pub fn available(&self) -> CostMicros {
        self.granted + self.drawn - self.spent - self.reserved
    }
}

/// Totals of work that did not contribute to a response, and of traffic between
/// regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Waste {
    /// Attempts after the first attempt of a request.
    pub retries: u64,
    /// Tokens generated for callers that had disconnected, including the most that
    /// a cancelled attempt that did not end in time can have generated.
    pub cancelled_tokens: Tokens,
    /// Bytes sent to and received from other regions.
    pub inter_region_bytes: Bytes,
}

#[derive(Debug, Default)]
struct Account {
    ledgers: BTreeMap<Millis, Ledger>,
    allowance_used: CostMicros,
    /// Charges in millionths, decaying exponentially over the time that a grant
    /// covers.
    demand: f64,
    demand_at_ms: Millis,
    requested_ms: Option<Millis>,
    /// Largest amount that a request was short of since the last reply to a grant
    /// request.
    shortfall: CostMicros,
    refused_period_ms: Option<Millis>,
    is_unavailable: bool,
}

/// Grants and spending of all callers.
#[derive(Debug, Default)]
pub struct Budget {
    accounts: BTreeMap<CallerId, Account>,
}

impl Budget {
    /// Creates a budget without grants.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the spending of a caller in the period that starts at
    /// `period_start_ms`.
    pub fn ledger(&self, caller: &CallerId, period_start_ms: Millis) -> Option<Ledger> {
        let account = self.accounts.get(caller)?;
        account.ledgers.get(&period_start_ms).copied()
    }

    /// Amount of a caller's outage allowance that this instance of the host has
    /// used.
    pub fn allowance_used(&self, caller: &CallerId) -> CostMicros {
        let account = self.accounts.get(caller);
        account.map_or(CostMicros(0), |account| account.allowance_used)
    }

    /// Reserves `amount` for a request that starts now.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if neither grants nor the outage allowance cover it.
    pub fn reserve(
        &mut self,
        now_ms: Millis,
        caller: &CallerId,
        intent: &CallerIntent,
        amount: CostMicros,
        policy: &Policy,
    ) -> Result<Reservation, Shortage> {
        let account = self.accounts.entry(caller.clone()).or_default();
        let period_start_ms = period_start(now_ms, intent);
        account.ensure_available(now_ms, period_start_ms, intent, amount, policy)?;
        let ledger = account.ledger(period_start_ms);
        ledger.reserved = ledger.reserved + amount;
        Ok(Reservation {
            caller: caller.clone(),
            period_start_ms,
            amount,
        })
    }

    /// Charges `cost` and reduces the reservation by the same amount.
    pub fn charge(
        &mut self,
        now_ms: Millis,
        reservation: &mut Reservation,
        cost: CostMicros,
        policy: &Policy,
    ) {
        let Some(account) = self.accounts.get_mut(&reservation.caller) else {
            return;
        };
        account.note_demand(now_ms, cost, policy);
        let covered = cost.min(reservation.amount);
        reservation.amount = reservation.amount - covered;
        if let Some(ledger) = account.ledgers.get_mut(&reservation.period_start_ms) {
            ledger.reserved = ledger.reserved - covered;
            ledger.spent = ledger.spent + cost;
        }
    }

    /// Releases the rest of a reservation.
    pub fn release(&mut self, reservation: Reservation) {
        let account = self.accounts.get_mut(&reservation.caller);
        let ledger =
            account.and_then(|account| account.ledgers.get_mut(&reservation.period_start_ms));
        if let Some(ledger) = ledger {
            ledger.reserved = ledger.reserved - reservation.amount;
        }
    }

    /// Returns the amount to request now if the granted amount is running low, and
    /// records the request.
    pub fn take_grant_request(
        &mut self,
        now_ms: Millis,
        caller: &CallerId,
        intent: &CallerIntent,
        policy: &Policy,
    ) -> Option<CostMicros> {
        let account = self.accounts.get_mut(caller)?;
        account.take_grant_request(now_ms, period_start(now_ms, intent), intent, policy)
    }

    /// Adds a grant to a period.
    pub fn granted(&mut self, caller: &CallerId, period_start_ms: Millis, amount: CostMicros) {
        let account = self.accounts.entry(caller.clone()).or_default();
        account.requested_ms = None;
        account.shortfall = CostMicros(0);
        account.is_unavailable = false;
        let ledger = account.ledger(period_start_ms);
        ledger.granted = ledger.granted + amount;
    }

    /// Records that the budget of a period is used up.
    pub fn refused(&mut self, caller: &CallerId, period_start_ms: Millis) {
        let account = self.accounts.entry(caller.clone()).or_default();
        account.requested_ms = None;
        account.shortfall = CostMicros(0);
        account.is_unavailable = false;
        account.refused_period_ms = Some(period_start_ms);
    }

    /// Records that grants are unavailable at the moment.
    pub fn unavailable(&mut self, caller: &CallerId) {
        let account = self.accounts.entry(caller.clone()).or_default();
        account.is_unavailable = true;
    }

    /// Clears refusals, since budgets may have been raised.
    pub fn budgets_changed(&mut self) {
        for account in self.accounts.values_mut() {
            account.refused_period_ms = None;
        }
    }
}

impl Account {
    fn ledger(&mut self, period_start_ms: Millis) -> &mut Ledger {
        while self.ledgers.len() >= RETAINED_PERIODS && !self.ledgers.contains_key(&period_start_ms)
        {
            self.ledgers.pop_first();
        }
        self.ledgers.entry(period_start_ms).or_default()
    }

    fn ensure_available(
        &mut self,
        now_ms: Millis,
        period_start_ms: Millis,
        intent: &CallerIntent,
        amount: CostMicros,
        policy: &Policy,
    ) -> Result<(), Shortage> {
        let missing = amount - self.ledger(period_start_ms).available();
        if missing == CostMicros(0) {
            return Ok(());
        }
        if self.refused_period_ms == Some(period_start_ms) {
            let end_ms = period_start_ms + intent.period_ms;
            return Err(Shortage::Exhausted {
                retry_after_ms: end_ms - now_ms,
            });
        }
        if !self.is_unavailable {
            self.shortfall = self.shortfall.max(missing);
            return Err(Shortage::AwaitingGrant);
        }
        self.draw_allowance(period_start_ms, intent, missing, policy)
    }

    fn draw_allowance(
        &mut self,
        period_start_ms: Millis,
        intent: &CallerIntent,
        missing: CostMicros,
        policy: &Policy,
    ) -> Result<(), Shortage> {
        let allowance = permille_of(intent.budget_micros, policy.outage_permille);
        if self.allowance_used + missing > allowance {
            self.shortfall = self.shortfall.max(missing);
            return Err(Shortage::Exhausted {
                retry_after_ms: policy.grant_retry_ms,
            });
        }
        self.allowance_used = self.allowance_used + missing;
        let ledger = self.ledger(period_start_ms);
        ledger.drawn = ledger.drawn + missing;
        Ok(())
    }

    fn note_demand(&mut self, now_ms: Millis, cost: CostMicros, policy: &Policy) {
        self.demand = self.decayed_demand(now_ms, policy) + cost.0 as f64;
        self.demand_at_ms = now_ms;
    }

    /// Charges of roughly the last `grant_cover_ms`.
    fn decayed_demand(&self, now_ms: Millis, policy: &Policy) -> f64 {
        let elapsed = (now_ms - self.demand_at_ms).0 as f64;
        self.demand * (-elapsed / policy.grant_cover_ms.0.max(1) as f64).exp()
    }

    fn take_grant_request(
        &mut self,
        now_ms: Millis,
        period_start_ms: Millis,
        intent: &CallerIntent,
        policy: &Policy,
    ) -> Option<CostMicros> {
        let is_refused = self.refused_period_ms == Some(period_start_ms);
        let is_pending = self
            .requested_ms
            .is_some_and(|requested_ms| now_ms - requested_ms < policy.grant_retry_ms);
        if is_refused || is_pending {
            return None;
        }
        let size = self.grant_size(now_ms, intent, policy);
        let low = permille_of(size, policy.grant_low_permille);
        let is_low = self.ledger(period_start_ms).available() < low;
        if !is_low && self.shortfall == CostMicros(0) {
            return None;
        }
        self.requested_ms = Some(now_ms);
        Some(size.max(self.shortfall))
    }

    fn grant_size(&self, now_ms: Millis, intent: &CallerIntent, policy: &Policy) -> CostMicros {
        let demand = CostMicros(self.decayed_demand(now_ms, policy).ceil() as u64);
        let largest = permille_of(intent.budget_micros, policy.grant_max_permille);
        let smallest = policy.grant_min.min(intent.budget_micros);
        demand.min(largest).max(smallest)
    }
}

fn period_start(now_ms: Millis, intent: &CallerIntent) -> Millis {
    Millis(now_ms.0 - now_ms.0 % intent.period_ms.0.max(1))
}

fn permille_of(amount: CostMicros, permille: u16) -> CostMicros {
    CostMicros((amount.0 as f64 * fraction(permille)) as u64)
}
