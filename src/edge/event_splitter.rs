//! Splits a stream into whole events.

/// Splits a stream into whole events (`text/event-stream`).
///
/// A target may stop in the middle of an event. A caller that got half of one
/// could not be given the rest by another target, so only whole events go on.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in and returns all whole events that are there.
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

    /// Returns what is left behind the last whole event, at the stream's proven end.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the place behind the last empty line.
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
