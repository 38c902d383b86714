//! Prompt prefixes that an endpoint has probably cached.

use std::collections::{
    HashMap,
    VecDeque, //
};

/// A bounded set of recently sent prefix hashes that drops the oldest first.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrefixMemory {
    stamps: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    next_stamp: u64,
}

impl PrefixMemory {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a prompt with these prefixes was sent, and keeps at most
    /// `capacity` hashes.
    pub fn note(&mut self, prefix_hashes: &[u64], capacity: usize) {
        // Longest prefix first, so that shared leading blocks are dropped last.
        for hash in prefix_hashes.iter().rev() {
            self.stamps.insert(*hash, self.next_stamp);
            self.order.push_back((*hash, self.next_stamp));
            self.next_stamp += 1;
        }
        while self.stamps.len() > capacity || self.order.len() > capacity * 2 {
            self.drop_oldest();
        }
    }

    /// Returns the number of leading blocks of the prompt that were sent before.
    pub fn known_blocks(&self, prefix_hashes: &[u64]) -> usize {
        let known = prefix_hashes
            .iter()
            .rposition(|hash| self.stamps.contains_key(hash));
        known.map_or(0, |index| index + 1)
    }

    /// Removes all hashes, for an endpoint that has restarted with an empty cache.
    pub fn clear(&mut self) {
        self.stamps.clear();
        self.order.clear();
    }

    fn drop_oldest(&mut self) {
        let Some((hash, stamp)) = self.order.pop_front() else {
            return;
        };
        if self.stamps.get(&hash) == Some(&stamp) {
            self.stamps.remove(&hash);
        }
    }
}
