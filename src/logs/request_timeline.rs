//! Extracts the log lines of one request, with the host's state at the time.

use serde_json::Value;

use crate::sorted::SortedMap;

/// Events that change the host's state or its view of the fleet; the last one of each kind
/// is the current state.
const STATE_EVENTS: [&str; 16] = [
    "catalog-in-force",
    "leaving",
    "members-changed",
    "peers-changed",
    "settings-refused",
    "settings-reloaded",
    "started",
    "store-back",
    "store-lost",
    "target-crashed",
    "target-leaving",
    "target-limited",
    "target-paused",
    "targets-changed",
    "targets-ejected",
    "targets-suspected",
];

/// The lines of one host's log that concern one request, in order.
#[derive(Debug, Default)]
pub struct RequestTimeline {
    request: String,
    state: SortedMap<String, String>,
    pending: Vec<String>,
    lines: Vec<String>,
    found: bool,
}

impl RequestTimeline {
    /// Creates an empty timeline of a request.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            ..Self::default()
        }
    }

    /// Processes the log's next line; ignores anything but decision lines.
    pub fn add_line(&mut self, text: &str) {
        let Ok(entry) = serde_json::from_str::<Value>(text) else {
            return;
        };
        let line = &entry["kv"]["line"];
        let Some(event) = line["event"].as_str() else {
            return;
        };
        let row = format_line(&entry["timestamp"], event, line);
        let of_request = line["request"].as_str() == Some(&self.request);
        if of_request {
            self.begin();
            self.lines.append(&mut self.pending);
            self.lines.push(row);
        } else if STATE_EVENTS.contains(&event) {
            match self.found {
                // Kept only if another line of the request follows.
                true => self.pending.push(format!("  {row}")),
                false => _ = self.state.insert(event.to_owned(), format!("  {row}")),
            }
        }
    }

    /// Returns the timeline; empty if no line has the request's id.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Inserts the current state before the request's first line.
    fn begin(&mut self) {
        if self.found {
            return;
        }
        self.found = true;
        let mut state: Vec<String> = self.state.iter().map(|(_, line)| line.clone()).collect();
        // Lines begin with their timestamps, which sort as text: they have the same width unless
        // the clock jumps.
        state.sort();
        self.lines = state;
    }
}

/// Formats a line as `time event field=value ...`.
fn format_line(timestamp: &Value, event: &str, line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, value)| *name != "event" && !value.is_null());
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("{timestamp} {event} {}", fields.join(" "))
}
