//! Sources of the random choices of a walk.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Provides the choices of a walk; `None` ends the walk.
pub(crate) trait ChoiceSource {
    /// Picks a number below `bound`.
    fn pick(&mut self, bound: u32) -> Option<u32>;
}

/// Choices from a fixed seed; never ends.
pub(crate) struct SeededChoice(ChaCha8Rng);

impl SeededChoice {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }
}

impl ChoiceSource for SeededChoice {
    fn pick(&mut self, bound: u32) -> Option<u32> {
        Some(self.0.next_u32() % bound)
    }
}

impl ChoiceSource for arbtest::arbitrary::Unstructured<'_> {
    fn pick(&mut self, bound: u32) -> Option<u32> {
        if self.is_empty() {
            return None;
        }
        self.int_in_range(0..=bound - 1).ok()
    }
}
