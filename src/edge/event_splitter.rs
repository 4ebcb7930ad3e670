//! Splits an event stream into complete events.

/// Splits a stream (`text/event-stream`) into complete events.
///
/// A target may fail in the middle of an event. Another target can't continue a partial
/// event, so only complete events are forwarded.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Consumes bytes and returns all events that are complete.
    pub(crate) fn take_events(&mut self, bytes: &mut Vec<u8>) -> Vec<u8> {
        self.pending.append(bytes);
        let Some(end) = last_event_end(&self.pending) else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end);
        let events = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns the bytes after the last complete event. They are forwarded only when the
    /// stream has ended properly.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the offset after the last empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends =
        |end: &usize| bytes[..*end].ends_with(b"\n\n") || bytes[..*end].ends_with(b"\r\n\r\n");
    (1..=bytes.len()).rev().find(ends)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = std::str::from_utf8(values.next()?).ok()?;
    Some(value.trim().to_owned())
}
