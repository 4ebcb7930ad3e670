//! When hosts and the targets of each software version served.

use std::time::Duration;
use std::time::Instant;

/// Time after its start from which a host must take streams up again.
const HOST_CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after its registration from which a target counts: hosts read the store's changes late.
const TARGET_CONTACT_TIME: Duration = Duration::from_secs(1);
/// Targets of a version that are enough for streams to go on there.
const MIN_TARGETS: usize = 2;

/// A time in which a host or a target served; without an end it still does.
#[derive(Clone, Debug)]
struct ServingSpan {
    name: String,
    version: String,
    from: Instant,
    until: Option<Instant>,
}

/// When hosts and targets served.
#[derive(Debug, Default)]
pub(crate) struct ServingLog {
    spans: Vec<ServingSpan>,
}

impl ServingSpan {
    fn covers(&self, from: Instant, until: Instant) -> bool {
        self.from <= from && self.until.is_none_or(|end| end >= until)
    }
}

impl ServingLog {
    /// Records that a target serves from now on.
    pub(crate) fn begin_target(&mut self, name: &str, version: &str) {
        self.spans.push(ServingSpan {
            name: name.to_owned(),
            version: version.to_owned(),
            from: Instant::now(),
            until: None,
        });
    }

    /// Records that a target or a host no longer serves.
    pub(crate) fn end(&mut self, name: &str) {
        let named = self.spans.iter_mut().filter(|span| span.name == name);
        for span in named {
            span.until.get_or_insert_with(Instant::now);
        }
    }

    /// Records that a host has started.
    pub(crate) fn begin_host(&mut self, host: usize) {
        let name = host_name(host);
        self.end(&name);
        self.begin_target(&name, "");
    }

    /// Records that a host was killed, stopped or paused.
    pub(crate) fn end_host(&mut self, host: usize) {
        self.end(&host_name(host));
    }

    /// Returns whether a host had started long enough before `from` and ran until `until`.
    pub(crate) fn host_served(&self, host: usize, from: Instant, until: Instant) -> bool {
        let name = host_name(host);
        let from = from.checked_sub(HOST_CONTACT_TIME).unwrap_or(from);
        let mut spans = self.spans.iter();
        spans.any(|span| span.name == name && span.covers(from, until))
    }

    /// Returns whether enough targets of a version served from before `from` until `until`.
    pub(crate) fn version_served(&self, version: &str, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(TARGET_CONTACT_TIME).unwrap_or(from);
        let serving = self.spans.iter();
        let serving = serving.filter(|span| span.version == version && span.covers(from, until));
        serving.count() >= MIN_TARGETS
    }
}

fn host_name(host: usize) -> String {
    format!("host {host}")
}
