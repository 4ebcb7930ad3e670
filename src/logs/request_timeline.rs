//! A request's lines in order, with what the host believed meanwhile.

use serde_json::Value;

use crate::sorted::SortedMap;

/// Events that change what a host believes; the last one of each is in force.
const BELIEFS: [&str; 12] = [
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
    "targets-changed",
    "targets-suspected",
];

/// What one host's log tells of one request.
#[derive(Debug, Default)]
pub struct RequestTimeline {
    request: String,
    beliefs: SortedMap<String, String>,
    waiting: Vec<String>,
    lines: Vec<String>,
    found: bool,
}

impl RequestTimeline {
    /// Begins the story of a request.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            ..Self::default()
        }
    }

    /// Takes the log's next line; what is no decision line is passed over.
    pub fn add_line(&mut self, text: &str) {
        let Ok(entry) = serde_json::from_str::<Value>(text) else {
            return;
        };
        let line = &entry["kv"]["line"];
        let Some(event) = line["event"].as_str() else {
            return;
        };
        let told = tell(&entry["timestamp"], event, line);
        let of_request = line["request"].as_str() == Some(&self.request);
        if of_request {
            self.begin();
            self.lines.append(&mut self.waiting);
            self.lines.push(told);
        } else if BELIEFS.contains(&event) {
            match self.found {
                // Only what changed before the request's end belongs to it.
                true => self.waiting.push(format!("  {told}")),
                false => _ = self.beliefs.insert(event.to_owned(), format!("  {told}")),
            }
        }
    }

    /// Returns the story; empty where no line names the request.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Puts what was in force before the request's first line.
    fn begin(&mut self) {
        if self.found {
            return;
        }
        self.found = true;
        let mut beliefs: Vec<String> = self.beliefs.iter().map(|(_, line)| line.clone()).collect();
        // Each begins with its time, of one width while a clock doesn't jump.
        beliefs.sort();
        self.lines = beliefs;
    }
}

/// Returns a line as `time event field=value ...`.
fn tell(timestamp: &Value, event: &str, line: &Value) -> String {
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, value)| *name != "event" && !value.is_null());
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("{timestamp} {event} {}", fields.join(" "))
}
