//! Gradual return of regions that had lost their capacity.
//!
//! A region that returns has cold caches, so the work it takes at first is
//! slower than the prediction says. It is given a small share of its slots at
//! once and the rest over some time.

use std::collections::BTreeMap;

use super::policy::{
    Policy,
    fraction, //
};
use crate::types::{
    Millis,
    RegionId,
    Target, //
};

#[derive(Debug, Clone, Copy, PartialEq)]
struct Capacity {
    slots: u32,
    updated_ms: Millis,
    recovery: Option<Recovery>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Recovery {
    started_ms: Millis,
    /// Share of the slots that were there all along.
    warm_fraction: f64,
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
                updated_ms: now_ms,
                recovery: None,
            });
        }
    }

    /// Share of the slots of a region that may be used now, up to 1.
    pub fn usable_fraction(
        &self,
        now_ms: Millis,
        region: &RegionId,
        target: &Target,
        policy: &Policy,
    ) -> f64 {
        let targets = self.capacities.get(region);
        let capacity = targets.and_then(|targets| targets.get(target));
        let Some(recovery) = capacity.and_then(|capacity| capacity.recovery) else {
            return 1.0;
        };
        let elapsed = (now_ms - recovery.started_ms).0 as f64;
        let progress = elapsed / policy.ramp_ms.0.max(1) as f64;
        let start = fraction(policy.ramp_start_permille).max(recovery.warm_fraction);
        (start + (1.0 - start) * progress).min(1.0)
    }
}

impl Capacity {
    fn observe(&mut self, now_ms: Millis, slots: u32, max_gap_ms: Option<Millis>) {
        let gap_ms = now_ms - self.updated_ms;
        let warm_slots = match max_gap_ms {
            Some(max_gap_ms) if gap_ms >= max_gap_ms => 0,
            _ => self.slots,
        };
        // Less than a doubling is ordinary scaling, which needs no ramp.
        if slots > 0 && warm_slots <= slots / 2 {
            self.recovery = Some(Recovery {
                started_ms: now_ms,
                warm_fraction: f64::from(warm_slots) / f64::from(slots),
            });
        }
        self.slots = slots;
        self.updated_ms = now_ms;
    }
}
