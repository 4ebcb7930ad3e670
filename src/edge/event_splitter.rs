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
    /// The last event of the former target, while the current one may repeat it or earlier ones.
    resumed_after: Option<String>,
}

impl EventSplitter {
    /// Consumes bytes and returns all events that are complete.
    pub(crate) fn take_events(&mut self, bytes: &mut Vec<u8>) -> Vec<u8> {
        self.pending.append(bytes);
        let Some(end) = last_event_end(&self.pending) else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end);
        let mut events = std::mem::replace(&mut self.pending, rest);
        self.remove_repeated(&mut events);
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Prepares for the rest of the stream from another target, which sends a partial event again
    /// from its start.
    pub(crate) fn resume(&mut self) {
        self.pending.clear();
        self.resumed_after.clone_from(&self.last_id);
    }

    /// Removes the events up to the one after which the stream was resumed. Without this the
    /// caller gets events twice from a target that repeats them.
    fn remove_repeated(&mut self, events: &mut Vec<u8>) {
        let Some(held) = self.resumed_after.take() else {
            return;
        };
        let mut kept = Vec::with_capacity(events.len());
        let mut start = 0;
        let mut is_past = false;
        for end in event_ends(events) {
            let event = &events[start..end];
            let id = last_event_id(event);
            let repeats = id.as_ref().is_some_and(|id| is_repeated(id, &held));
            // Ids increase, so no repeated event follows another one.
            is_past |= id.is_some() && !repeats;
            if !repeats {
                kept.extend_from_slice(event);
            }
            start = end;
        }
        *events = kept;
        self.resumed_after = (!is_past).then_some(held);
    }

    /// Ends the stream and returns the rest of it: an event of which the end of the stream shows
    /// that it is complete, blank lines or comments.
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

/// Returns whether an event with `id` is the event `held` or one before it.
fn is_repeated(id: &str, held: &str) -> bool {
    match (id.parse::<u64>(), held.parse::<u64>()) {
        (Ok(id), Ok(held)) => id <= held,
        _ => id == held,
    }
}

/// Returns the offset after the last event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    event_ends(bytes).last()
}

/// Returns the offset after each empty line. A line ends with LF, CR or both.
fn event_ends(bytes: &[u8]) -> impl Iterator<Item = usize> {
    let mut line_start = 0;
    std::iter::from_fn(move || {
        loop {
            let rest = &bytes[line_start..];
            let length = rest.iter().position(|byte| is_line_end(*byte))?;
            let line_end = match &rest[length..] {
                // The LF of this line end may not have arrived yet.
                [b'\r'] => return None,
                [b'\r', b'\n', ..] => length + 2,
                _ => length + 1,
            };
            line_start += line_end;
            if length == 0 {
                return Some(line_start);
            }
        }
    })
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
