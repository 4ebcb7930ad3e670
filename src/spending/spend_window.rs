//! What was spent in the last window, by parts of it.

use std::time::Duration;

/// Into how many parts a window is divided; what was spent leaves the count part
/// by part, at most one part late.
const WINDOW_PARTS: usize = 16;

/// What was spent in the last window.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpendWindow {
    window: Duration,
    parts: [f64; WINDOW_PARTS + 1],
    /// The number of the part that is counted now, since the clock's zero.
    current: u64,
}

impl SpendWindow {
    /// Makes a window in which nothing was spent.
    pub(super) fn new(window: Duration, now: Duration) -> Self {
        let mut made = Self {
            window,
            parts: [0.0; WINDOW_PARTS + 1],
            current: 0,
        };
        made.current = made.part_at(now);
        made
    }

    /// Returns the sum over the window.
    pub(super) fn sum(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.parts.iter().sum()
    }

    /// Counts what is spent now.
    pub(super) fn add(&mut self, spent: f64, now: Duration) {
        self.advance(now);
        let index = self.index(self.current);
        self.parts[index] += spent;
    }

    /// Counts what was spent at even pace over the last window.
    pub(super) fn add_spread(&mut self, spent: f64, now: Duration) {
        self.advance(now);
        for part in &mut self.parts {
            *part += spent / (WINDOW_PARTS + 1) as f64;
        }
    }

    /// Returns how long it takes until the sum has fallen to `level`.
    pub(super) fn time_until(&mut self, level: f64, now: Duration) -> Duration {
        let mut sum = self.sum(now);
        let mut parts = 0;
        while sum > level && parts <= WINDOW_PARTS as u32 {
            parts += 1;
            // The oldest part is the one behind the current one.
            sum -= self.parts[self.index(self.current + u64::from(parts))];
        }
        self.part_length() * parts
    }

    /// Drops what is older than the window.
    fn advance(&mut self, now: Duration) {
        let target = self.part_at(now);
        let steps = target.saturating_sub(self.current);
        for step in 1..=steps.min(self.parts.len() as u64) {
            let index = self.index(self.current + step);
            self.parts[index] = 0.0;
        }
        self.current = self.current.max(target);
    }

    fn part_at(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.part_length().as_nanos().max(1)) as u64
    }

    fn part_length(&self) -> Duration {
        self.window / WINDOW_PARTS as u32
    }

    fn index(&self, part: u64) -> usize {
        (part % self.parts.len() as u64) as usize
    }
}
