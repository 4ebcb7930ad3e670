//! A model of an engine with continuous batching.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::TokenCount;
use crate::policy::WorkId;

use super::TargetPace;
use super::prefix_cache::PrefixCache;

/// A model of an engine, advanced step by step.
///
/// Each step prefills up to `chunk_tokens` tokens of the pending prompts, first come
/// first served, and generates one token for each sequence whose prompt is complete.
#[derive(Debug)]
pub(super) struct EngineModel {
    pace: TargetPace,
    slots: usize,
    /// The factor by which the engine is slower than its pace.
    pub(super) factor: u32,
    waiting: VecDeque<EngineSequence>,
    running: Vec<EngineSequence>,
    step_running: bool,
    cache: PrefixCache,
}

/// A request inside an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineSequence {
    pub(super) work: WorkId,
    pub(super) prompt_tokens: TokenCount,
    pub(super) output_tokens: TokenCount,
    pub(super) prefix: u64,
    pub(super) prefix_tokens: TokenCount,
    /// Prompt tokens prefilled so far, including cached ones.
    prefilled: TokenCount,
    /// Prompt tokens taken from the prefix cache.
    cached: TokenCount,
    /// Answer tokens generated so far.
    generated: TokenCount,
    /// Prompt tokens prefilled by the current step.
    step_prefill: TokenCount,
    /// Whether the current step generates a token.
    generates_token: bool,
}

/// A change of one request's state in an engine.
#[derive(Debug)]
pub(super) enum EngineEvent {
    /// The request was added to the batch.
    Admitted(WorkId),
    /// The whole prompt is prefilled; `prefix_tokens` of the computed tokens belong to a
    /// prefix that was not in the cache.
    Prefilled {
        work: WorkId,
        prefix: u64,
        prefix_tokens: TokenCount,
    },
    /// A token was generated; the answer now has this many.
    Generated(WorkId, TokenCount),
    /// The answer is complete.
    Done(WorkId),
}

impl EngineSequence {
    pub(super) const fn new(
        work: WorkId,
        prompt_tokens: TokenCount,
        output_tokens: TokenCount,
        prefix: u64,
        prefix_tokens: TokenCount,
    ) -> Self {
        Self {
            work,
            prompt_tokens,
            output_tokens,
            prefix,
            prefix_tokens,
            prefilled: 0,
            cached: 0,
            generated: 0,
            step_prefill: 0,
            generates_token: false,
        }
    }

    /// Returns the number of prompt tokens that the engine computed for this request.
    pub(super) const fn computed(&self) -> TokenCount {
        self.prefilled - self.cached
    }
}

impl EngineModel {
    pub(super) const fn new(pace: TargetPace, slots: u32) -> Self {
        Self {
            pace,
            slots: slots as usize,
            factor: 1,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_running: false,
            cache: PrefixCache::new(pace.cache_tokens),
        }
    }

    pub(super) fn push(&mut self, sequence: EngineSequence) {
        self.waiting.push_back(sequence);
    }

    /// Removes a request and returns its state.
    pub(super) fn cancel(&mut self, work: WorkId) -> Option<EngineSequence> {
        if let Some(index) = self.waiting.iter().position(|s| s.work == work) {
            return self.waiting.remove(index);
        }
        let index = self.running.iter().position(|s| s.work == work)?;
        Some(self.running.remove(index))
    }

    pub(super) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Starts a step and returns its duration; `None` if a step is running or there is no
    /// work.
    pub(super) fn start_step(&mut self, events: &mut Vec<EngineEvent>) -> Option<Duration> {
        if self.step_running {
            return None;
        }
        self.admit_waiting(events);
        if self.running.is_empty() {
            return None;
        }
        let mut budget = self.pace.chunk_tokens;
        let mut step_us = self.pace.step_us;
        for sequence in &mut self.running {
            let step_prefill = budget.min(sequence.prompt_tokens - sequence.prefilled);
            sequence.step_prefill = step_prefill;
            budget -= step_prefill;
            sequence.generates_token = sequence.prefilled + step_prefill == sequence.prompt_tokens;
            step_us += u64::from(step_prefill) * self.pace.prefill_us;
            step_us += self.pace.sequence_us;
        }
        self.step_running = true;
        Some(Duration::from_micros(step_us * u64::from(self.factor)))
    }

    /// Completes the current step.
    pub(super) fn end_step(&mut self, events: &mut Vec<EngineEvent>) {
        self.step_running = false;
        for sequence in &mut self.running {
            let prompt_complete = sequence.step_prefill > 0 && sequence.generates_token;
            sequence.prefilled += sequence.step_prefill;
            sequence.step_prefill = 0;
            if prompt_complete {
                let missed = sequence.prefix_tokens.min(sequence.computed());
                events.push(EngineEvent::Prefilled {
                    work: sequence.work,
                    prefix: sequence.prefix,
                    prefix_tokens: if sequence.cached > 0 { 0 } else { missed },
                });
                self.cache.insert(sequence.prefix, sequence.prefix_tokens);
            }
            if !sequence.generates_token {
                continue;
            }
            sequence.generates_token = false;
            sequence.generated += 1;
            events.push(EngineEvent::Generated(sequence.work, sequence.generated));
            if sequence.generated >= sequence.output_tokens {
                events.push(EngineEvent::Done(sequence.work));
            }
        }
    }

    /// Moves waiting requests into the batch while there are free slots.
    fn admit_waiting(&mut self, events: &mut Vec<EngineEvent>) {
        while self.running.len() < self.slots {
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            // The last prompt token is always computed: it yields the first answer token.
            let cached = self.cache.look_up(sequence.prefix);
            sequence.cached = cached.min(sequence.prompt_tokens.saturating_sub(1));
            sequence.prefilled = sequence.cached;
            events.push(EngineEvent::Admitted(sequence.work));
            self.running.push(sequence);
        }
    }
}
