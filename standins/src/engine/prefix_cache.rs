//! LRU cache of prompt prefixes, in fixed-size blocks.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Prompt bytes per token in the simulated tokenizer.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens per cache block.
const TOKENS_PER_BLOCK: usize = 16;

/// Returns the number of tokens in a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Hashes of cached blocks, least recently used first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks: VecDeque<u64>,
    capacity: usize,
}

impl PrefixCache {
    /// Creates an empty cache with room for `tokens`.
    pub(crate) fn new(tokens: u32) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity: tokens as usize / TOKENS_PER_BLOCK,
        }
    }

    /// Returns the length of the cached prefix in tokens, and caches the whole prompt.
    pub(crate) fn lookup_and_insert(&mut self, prompt: &str) -> u32 {
        let hashes = block_hashes(prompt);
        let mut hit_blocks = 0;
        let mut contiguous = true;
        for block in hashes {
            let hit = self.touch(block);
            contiguous &= hit;
            hit_blocks += u32::from(contiguous);
        }
        hit_blocks * TOKENS_PER_BLOCK as u32
    }

    /// Marks a block as the most recently used; returns whether it was cached.
    fn touch(&mut self, block: u64) -> bool {
        let position = self.blocks.iter().rposition(|cached| *cached == block);
        if let Some(index) = position {
            self.blocks.remove(index);
        }
        self.blocks.push_back(block);
        while self.blocks.len() > self.capacity {
            self.blocks.pop_front();
        }
        position.is_some()
    }
}

/// Returns for each full block the hash of the prompt up to its end.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    prompt
        .as_bytes()
        .chunks_exact(BYTES_PER_TOKEN * TOKENS_PER_BLOCK)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
