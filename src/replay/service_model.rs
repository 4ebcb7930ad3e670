//! A model of a plain service: calls of constant duration, with limited concurrency.

use std::collections::VecDeque;
use std::time::Duration;

use crate::policy::WorkId;

use super::TargetPace;

/// A model of a plain service with a FIFO queue.
#[derive(Debug)]
pub(super) struct ServiceModel {
    call_time: Duration,
    slots: usize,
    /// The factor by which the service is slower than its pace.
    pub(super) factor: u32,
    waiting: VecDeque<WorkId>,
    running: Vec<WorkId>,
}

impl ServiceModel {
    pub(super) const fn new(pace: TargetPace, slots: u32) -> Self {
        Self {
            call_time: Duration::from_micros(pace.call_us),
            slots: slots as usize,
            factor: 1,
            waiting: VecDeque::new(),
            running: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, work: WorkId) {
        self.waiting.push_back(work);
    }

    /// Starts waiting calls while there are free slots, and returns them with their
    /// durations.
    pub(super) fn start_calls(&mut self) -> Vec<(WorkId, Duration)> {
        let mut started_calls = Vec::new();
        while self.running.len() < self.slots {
            let Some(work) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(work);
            started_calls.push((work, self.call_time * self.factor));
        }
        started_calls
    }

    pub(super) fn remove(&mut self, work: WorkId) {
        self.waiting.retain(|other| *other != work);
        self.running.retain(|other| *other != work);
    }

    pub(super) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }
}
