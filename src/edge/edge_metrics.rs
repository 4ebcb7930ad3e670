//! Counters of the host in the text exposition format.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Process-wide counters of the host.
#[derive(Debug, Default)]
pub(crate) struct EdgeMetrics {
    /// Requests that a target answered.
    pub(crate) answered: AtomicU64,
    /// Requests whose caller disconnected.
    pub(crate) callers_left: AtomicU64,
    /// Requests sent to targets, including retries.
    pub(crate) attempts: AtomicU64,
    /// Requests sent to a target after the first attempt.
    pub(crate) retries: AtomicU64,
    /// Connections opened to targets.
    pub(crate) connects: AtomicU64,
    pub(crate) store_calls: AtomicU64,
    /// Targets that stated in an answer that they are leaving.
    pub(crate) leaving_targets: AtomicU64,
    /// Pauses that targets asked for, and their extensions.
    pub(crate) target_pauses: AtomicU64,
    /// Limits on what this host has outstanding at plain targets that began or ceased.
    pub(crate) window_changes: AtomicU64,
    /// Requests that targets rejected without running them.
    pub(crate) rejected_sends: AtomicU64,
    /// Losses of this host's path to the targets of a pool.
    pub(crate) lost_paths: AtomicU64,
    /// Requests forwarded to peers.
    pub(crate) forwarded: AtomicU64,
    /// Reports of slot demand that the leader answered between two rounds of gossip.
    pub(crate) slot_reports: AtomicU64,
    /// Requests that peers forwarded.
    pub(crate) served_for_peers: AtomicU64,
    /// Searches for the targets that hold a part of a prompt.
    pub(crate) holder_searches: AtomicU64,
    /// Parts of the searches of peers that this host carried out.
    pub(crate) searches_for_peers: AtomicU64,
    /// Calls that list the parts of a target.
    pub(crate) part_lists: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl EdgeMetrics {
    /// Renders all counters and the given gauges.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        let counters = [
            ("requests_answered_total", &self.answered),
            ("callers_left_total", &self.callers_left),
            ("target_sends_total", &self.attempts),
            ("target_repeats_total", &self.retries),
            ("target_connects_total", &self.connects),
            ("store_calls_total", &self.store_calls),
            ("targets_leaving_total", &self.leaving_targets),
            ("target_pauses_total", &self.target_pauses),
            ("target_window_changes_total", &self.window_changes),
            ("target_rejections_total", &self.rejected_sends),
            ("paths_lost_total", &self.lost_paths),
            ("requests_forwarded_total", &self.forwarded),
            ("requests_for_peers_total", &self.served_for_peers),
            ("slot_reports_total", &self.slot_reports),
            ("holder_searches_total", &self.holder_searches),
            ("searches_for_peers_total", &self.searches_for_peers),
            ("part_lists_total", &self.part_lists),
        ];
        for (name, counter) in counters {
            line(&mut text, name, counter.load(Ordering::Relaxed));
        }
        for (name, value) in gauges {
            line(&mut text, name, *value);
        }
        text
    }
}

fn line(text: &mut String, name: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "cardamomgw_{name} {value}");
}
