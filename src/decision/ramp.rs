//! Gradual return of regions that had lost their capacity.
//!
//! A region that returns has cold caches, so the work it takes at first is
//! slower than the prediction says. It is given a small share of its slots at
//! once and the rest over some time.

use std::collections::BTreeMap;

use super::policy::{
    Policy,
    share, //
};
use crate::types::{
    Millis,
    RegionId,
    Target, //
};

#[derive(Debug, Clone, Copy, PartialEq)]
struct Capacity {
    slots: u32,
    seen_ms: Millis,
    returned: Option<Returned>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Returned {
    at_ms: Millis,
    /// Share of the slots that were there all along.
    warm: f64,
}

/// When the capacity of each region and target has returned.
#[derive(Debug, Default)]
pub struct Ramps {
    capacities: BTreeMap<RegionId, BTreeMap<Target, Capacity>>,
}

impl Ramps {
    /// Nothing seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the slots that a region has now; targets not named have none.
    ///
    /// A region seen for the first time counts as warm, since it is this host
    /// that is new. With `max_gap_ms`, a region not seen for as long has
    /// returned with all its slots.
    pub fn observe(
        &mut self,
        now_ms: Millis,
        region: &RegionId,
        slots: &BTreeMap<Target, u32>,
        max_gap_ms: Option<Millis>,
    ) {
        let known = self.capacities.entry(region.clone()).or_default();
        for (target, capacity) in known.iter_mut() {
            let slots = slots.get(target).copied().unwrap_or(0);
            capacity.observe(now_ms, slots, max_gap_ms);
        }
        for (target, slots) in slots {
            known.entry(target.clone()).or_insert(Capacity {
                slots: *slots,
                seen_ms: now_ms,
                returned: None,
            });
        }
    }

    /// Share of the slots of a region that may be used now, up to 1.
    pub fn factor(
        &self,
        now_ms: Millis,
        region: &RegionId,
        target: &Target,
        policy: &Policy,
    ) -> f64 {
        let targets = self.capacities.get(region);
        let capacity = targets.and_then(|targets| targets.get(target));
        let Some(returned) = capacity.and_then(|capacity| capacity.returned) else {
            return 1.0;
        };
        let elapsed = (now_ms - returned.at_ms).0 as f64;
        let done = elapsed / policy.ramp_ms.0.max(1) as f64;
        let start = share(policy.ramp_start_permille).max(returned.warm);
        (start + (1.0 - start) * done).min(1.0)
    }
}

impl Capacity {
    fn observe(&mut self, now_ms: Millis, slots: u32, max_gap_ms: Option<Millis>) {
        let gap_ms = now_ms - self.seen_ms;
        let warm_slots = match max_gap_ms {
            Some(max_gap_ms) if gap_ms >= max_gap_ms => 0,
            _ => self.slots,
        };
        // Less than a doubling is ordinary scaling, which needs no ramp.
        if slots > 0 && warm_slots <= slots / 2 {
            self.returned = Some(Returned {
                at_ms: now_ms,
                warm: f64::from(warm_slots) / f64::from(slots),
            });
        }
        self.slots = slots;
        self.seen_ms = now_ms;
    }
}
