//! Writes a trace file without delaying requests.

use std::sync::OnceLock;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::fs::File;
use async_std::io;
use async_std::io::WriteExt;
use async_std::task;
use serde::Serialize;

use crate::clock::boot_now;
use crate::fleet::FleetView;
use crate::gateway::ClassifiedRequest;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::TokenCount;
use crate::replay::TRACE_FORMAT;
use crate::replay::TargetPace;
use crate::replay::TraceAccount;
use crate::replay::TraceArrival;
use crate::replay::TraceClass;
use crate::replay::TraceHeader;
use crate::replay::TraceTarget;

/// Maximum number of lines waiting to be written. Further ones are dropped, so that a
/// slow disk doesn't delay requests.
const MAX_WAITING_LINES: usize = 4096;

/// Writes each request of one host to a file when the request ends.
#[derive(Debug)]
pub(crate) struct TraceRecorder {
    host: HostName,
    start: Duration,
    header: OnceLock<()>,
    lines: Sender<String>,
}

/// The data of a request at its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordedRequest<'r> {
    pub(crate) request: &'r ClassifiedRequest,
    /// Time of arrival, on the boot clock.
    pub(crate) arrived: Duration,
    /// Length of the prompt.
    pub(crate) prompt_tokens: TokenCount,
    /// Length of the answer; 0 if its tokens were not counted.
    pub(crate) output_tokens: TokenCount,
    /// Hash of the first bytes of the prompt.
    pub(crate) prefix: u64,
}

impl TraceRecorder {
    /// Creates or truncates the file and starts the task that writes to it.
    ///
    /// # Errors
    ///
    /// The file can't be created.
    pub(crate) async fn open(path: &str, host: HostName) -> io::Result<Self> {
        let file = File::create(path).await?;
        let (lines, queued_lines) = async_channel::bounded(MAX_WAITING_LINES);
        task::spawn(write_lines(file, queued_lines));
        Ok(Self {
            host,
            start: boot_now(),
            header: OnceLock::new(),
            lines,
        })
    }

    /// Records a request that has ended.
    pub(crate) fn record(&self, view: &FleetView, recorded: &RecordedRequest<'_>) {
        // The header must be the first line: concurrent calls wait until it is queued.
        self.header
            .get_or_init(|| self.enqueue_line(&trace_header(view, &self.host)));
        self.enqueue_line(&self.trace_arrival(recorded));
    }

    fn enqueue_line(&self, line: &impl Serialize) {
        if let Ok(mut text) = serde_json::to_string(line) {
            text.push('\n');
            self.lines.try_send(text).ok();
        }
    }

    fn trace_arrival(&self, recorded: &RecordedRequest<'_>) -> TraceArrival {
        let request = recorded.request;
        let elapsed = recorded.arrived.saturating_sub(self.start);
        let allowed = request.deadline.saturating_sub(recorded.arrived);
        let output_tokens = match recorded.output_tokens {
            0 => request.expected_output,
            counted => counted,
        };
        TraceArrival {
            at_us: elapsed.as_micros() as u64,
            host: self.host.clone(),
            account: request.account.clone(),
            class: request.class.clone(),
            tier: request.tier,
            prompt_tokens: recorded.prompt_tokens,
            output_tokens,
            expected_tokens: request.expected_output,
            prefix: recorded.prefix,
            prefix_tokens: 0,
            deadline_ms: allowed.as_millis() as u64,
            first_token_goal_ms: None,
        }
    }
}

async fn write_lines(mut file: File, queued_lines: Receiver<String>) {
    while let Ok(line) = queued_lines.recv().await {
        if file.write_all(line.as_bytes()).await.is_err() {
            return;
        }
        if queued_lines.is_empty() && file.flush().await.is_err() {
            return;
        }
    }
}

fn trace_header(view: &FleetView, host: &HostName) -> TraceHeader {
    let document = view.document();
    TraceHeader {
        format: TRACE_FORMAT,
        name: format!("recorded at {host}"),
        hosts: document
            .roster
            .seats
            .iter()
            .map(|seat| seat.host.clone())
            .collect(),
        targets: view
            .targets()
            .iter()
            .map(|target| trace_target(&target.target))
            .collect(),
        classes: trace_classes(view),
        accounts: document
            .accounts
            .iter()
            .map(|account| TraceAccount {
                name: account.name.clone(),
                weight: account.weight,
            })
            .collect(),
        faults: Vec::new(),
        network_ms: 1,
        report_lag_ms: 500,
        list_lag_ms: 3000,
    }
}

fn trace_target(target: &crate::fleet::FleetTarget) -> TraceTarget {
    TraceTarget {
        name: target.name.clone(),
        kind: target.kind,
        slots: target.slots,
        availability_zone: target.availability_zone.clone(),
        pace: TargetPace::default(),
    }
}

/// Returns the classes with their targets. The trace format has no targets by account,
/// so a class lists every target that any account may use for it.
fn trace_classes(view: &FleetView) -> Vec<TraceClass> {
    view.classes()
        .iter()
        .map(|class| {
            let mut targets: Vec<TargetName> = view
                .accounts()
                .iter()
                .flat_map(|account| view.allowed_targets(class, account).to_vec())
                .collect();
            targets.sort();
            targets.dedup();
            TraceClass {
                name: class.rule.name.clone(),
                targets,
            }
        })
        .collect()
}
