//! A running load test.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_std::task;
use async_std::task::JoinHandle;

use super::LoadPlan;
use super::LoadReport;
use super::load_caller::CallRecord;
use super::load_caller::LoadCaller;

/// The running callers of a load test.
pub struct LoadRun {
    began: Instant,
    callers: Vec<JoinHandle<Vec<CallRecord>>>,
    stop: Arc<AtomicBool>,
    ended: Arc<AtomicU64>,
}

impl LoadRun {
    /// Starts the callers of `plan`.
    pub fn spawn(plan: LoadPlan) -> Self {
        let plan = Arc::new(plan);
        let stop = Arc::new(AtomicBool::new(false));
        let ended = Arc::new(AtomicU64::new(0));
        let callers = (0..plan.callers)
            .map(|number| {
                let plan = Arc::clone(&plan);
                let stop = Arc::clone(&stop);
                let ended = Arc::clone(&ended);
                task::spawn(async move { call_all(&plan, number, &stop, &ended).await })
            })
            .collect();
        Self {
            began: Instant::now(),
            callers,
            stop,
            ended,
        }
    }

    /// Returns the number of requests that have a final outcome.
    pub fn completed_requests(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Makes each caller stop after its current request.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Waits for all callers and returns their combined report.
    pub async fn finish(self) -> LoadReport {
        let mut report = LoadReport::default();
        for caller in self.callers {
            for record in caller.await {
                report.record(&record);
            }
        }
        report.elapsed = self.began.elapsed();
        report
    }
}

async fn call_all(
    plan: &LoadPlan,
    number: usize,
    stop: &AtomicBool,
    ended: &AtomicU64,
) -> Vec<CallRecord> {
    let mut caller = LoadCaller::new(plan, number);
    let mut records = Vec::new();
    while records.len() < plan.requests && !stop.load(Ordering::Relaxed) {
        if !plan.pause.is_zero() {
            task::sleep(plan.pause).await;
        }
        records.push(caller.call().await);
        ended.fetch_add(1, Ordering::Relaxed);
    }
    records
}
