//! An engine's cache of prompt prefixes, with LRU eviction.

use crate::ids::TokenCount;

/// An engine's cache of prompt prefixes; the capacity is in tokens.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: TokenCount,
    /// Ordered from the least to the most recently used.
    entries: Vec<CacheEntry>,
}

#[derive(Debug)]
struct CacheEntry {
    prefix: u64,
    tokens: TokenCount,
}

impl PrefixCache {
    pub(super) const fn new(capacity: TokenCount) -> Self {
        Self {
            capacity,
            entries: Vec::new(),
        }
    }

    /// Returns the number of cached tokens of the prefix, and marks it as used.
    pub(super) fn look_up(&mut self, prefix: u64) -> TokenCount {
        let Some(index) = self.entries.iter().position(|e| e.prefix == prefix) else {
            return 0;
        };
        let entry = self.entries.remove(index);
        let tokens = entry.tokens;
        self.entries.push(entry);
        tokens
    }

    /// Inserts a prefix, and evicts the least recently used ones above the capacity.
    pub(super) fn insert(&mut self, prefix: u64, tokens: TokenCount) {
        if tokens == 0 || tokens > self.capacity {
            return;
        }
        self.entries.retain(|entry| entry.prefix != prefix);
        self.entries.push(CacheEntry { prefix, tokens });
        while self.entries.iter().map(|entry| entry.tokens).sum::<u32>() > self.capacity {
            self.entries.remove(0);
        }
    }
}
