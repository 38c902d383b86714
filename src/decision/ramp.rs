//! Gradual ramp-up of regions that recover from a loss of capacity.
//!
//! A region that recovers has cold caches, so its first requests take longer than
//! predicted. Initially only a small share of its slots is used, which then grows
//! linearly over the ramp time.

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
    /// Share of the slots that were available before the recovery.
    warm_fraction: f64,
}

/// Capacity, and time of the last recovery, by region and target.
#[derive(Debug, Default)]
pub struct Ramps {
    capacities: BTreeMap<RegionId, BTreeMap<Target, Capacity>>,
}

impl Ramps {
    /// Creates a state without any capacity observed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the current slots of a region. Targets that `slots` does not contain
    /// have none.
    ///
    /// All slots of a region that is observed for the first time count as warm,
    /// since it is probably this host that has just started. If `max_gap_ms` is
    /// given, none of the slots of a region that was not observed for that long
    /// count as warm.
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

    /// Returns the fraction of a region's slots that may be used now, up to 1.
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
        // Less than a doubling is normal scaling and needs no ramp.
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
