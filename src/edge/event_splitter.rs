//! Splits an event stream into complete events.

/// A stream that ended inside an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct IncompleteEvent;

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

    /// Discards a partial event: the next target sends it again from its start.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Ends the stream and returns the rest of it: blank lines, comments, or an event whose line
    /// ends are those of the end of the stream.
    ///
    /// # Errors
    ///
    /// The stream ended inside an event, so it was broken off.
    pub(crate) fn finish(&mut self) -> Result<Vec<u8>, IncompleteEvent> {
        if self.pending.ends_with(b"\r") {
            // No LF follows, so this is the end of a line.
            self.pending.push(b'\n');
        }
        let rest = std::mem::take(&mut self.pending);
        let (_, after) = rest.split_at(last_event_end(&rest).unwrap_or(0));
        let ends_line = after.last().is_none_or(|byte| is_line_end(*byte));
        let mut lines = after.split(|byte| is_line_end(*byte));
        match ends_line && lines.all(|line| line.is_empty() || line.starts_with(b":")) {
            true => Ok(rest),
            false => Err(IncompleteEvent),
        }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the offset after the last empty line. A line ends with LF, CR or both.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut last_end = None;
    let mut line_start = 0;
    let mut index = 0;
    while index < bytes.len() {
        let end = match &bytes[index..] {
            [b'\r', b'\n', ..] => index + 2,
            // The LF of this line end may not have arrived yet.
            [b'\r'] => break,
            [b'\r' | b'\n', ..] => index + 1,
            _ => {
                index += 1;
                continue;
            }
        };
        if index == line_start {
            last_end = Some(end);
        }
        line_start = end;
        index = end;
    }
    last_end
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| is_line_end(*byte));
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = std::str::from_utf8(values.next()?).ok()?;
    Some(value.trim().to_owned())
}

const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
