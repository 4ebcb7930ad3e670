//! Splits an event stream into complete events.

/// Maximum size of an event, in bytes. Without it, a target that never ends one would exhaust the
/// host's memory.
pub(super) const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OversizedEvent;

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
    /// Start of the last line of `pending`, and the offset up to which it has no line end. A long
    /// event would otherwise be searched from its start with each read.
    line_start: usize,
    searched: usize,
    last_id: Option<String>,
    /// The event behind which the caller asks for the stream.
    requested_after: Option<String>,
    /// The last event that the caller has, in the response of a target that resumes the stream: it may
    /// repeat this one or earlier ones.
    resumed_after: Option<ResumePoint>,
    /// Whether the next bytes are the first of another target, which may begin with a byte order
    /// mark.
    is_at_restart: bool,
    /// Whether the current target has sent an event that the caller did not have.
    has_new_event: bool,
}

/// The place in a stream from which a target is asked to go on.
#[derive(Debug)]
struct ResumePoint {
    /// The last event that the caller has.
    held: String,
    /// Whether the target repeats events before that one, as it did with the last one.
    is_before: bool,
}

/// The byte order mark that may precede a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

impl EventSplitter {
    /// Creates a splitter of a stream for a caller that already has the event `id`, and all before
    /// it.
    pub(crate) fn behind(id: Option<String>) -> Self {
        Self {
            requested_after: id.filter(|id| decimal_order(id).is_some()),
            ..Self::default()
        }
    }

    /// Consumes bytes and returns all events that are complete.
    ///
    /// # Errors
    ///
    /// The next event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn take_events(&mut self, bytes: &mut Vec<u8>) -> Result<Vec<u8>, OversizedEvent> {
        self.pending.append(bytes);
        if self.is_at_restart && !self.skip_mark() {
            return Ok(Vec::new());
        }
        let end = self.search_events_end().unwrap_or(0);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        if end == 0 {
            return Ok(Vec::new());
        }
        let rest = self.pending.split_off(end);
        self.line_start -= end;
        self.searched -= end;
        let mut events = std::mem::replace(&mut self.pending, rest);
        self.accept_events(&mut events);
        Ok(events)
    }

    /// Removes a byte order mark, which has a meaning at the start of the response only. Returns
    /// false while the bytes may be the start of one.
    fn skip_mark(&mut self) -> bool {
        if self.pending.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.pending)
        {
            return false;
        }
        if self.pending.starts_with(BYTE_ORDER_MARK) {
            self.pending.drain(..BYTE_ORDER_MARK.len());
        }
        self.is_at_restart = false;
        true
    }

    /// Removes repeated events, and records the last one.
    fn accept_events(&mut self, events: &mut Vec<u8>) {
        self.remove_repeated(events);
        let mut start = 0;
        for end in event_ends(events) {
            match event_id(&events[start..end]) {
                EventId::Known(id) => self.record_event(Some(id)),
                EventId::Missing => self.record_event(None),
                EventId::NoEvent => {}
            }
            start = end;
        }
    }

    fn record_event(&mut self, id: Option<String>) {
        self.last_id = id;
        self.has_new_event = true;
    }

    /// Searches the bytes that were not searched yet, and returns the offset after the last event
    /// that ends in them.
    fn search_events_end(&mut self) -> Option<usize> {
        // The LF behind a CR may not have arrived yet.
        let has_cr = self.pending.ends_with(b"\r");
        let searchable = &self.pending[..self.pending.len() - usize::from(has_cr)];
        let mut events_end = None;
        while let Some(line) = next_line(searchable, self.searched) {
            self.searched = line.end;
            if line.text_end == self.line_start {
                events_end = Some(line.end);
            }
            self.line_start = line.end;
        }
        self.searched = searchable.len();
        events_end
    }

    /// Prepares for the rest of the stream from another target, which sends a partial event again
    /// from its start.
    pub(crate) fn resume(&mut self) {
        self.take_pending();
        self.has_new_event = false;
        self.is_at_restart = self.last_id.is_some();
        let held = self.last_id.as_ref().or(self.requested_after.as_ref());
        self.resumed_after = held.map(|held| ResumePoint {
            held: held.clone(),
            is_before: false,
        });
    }

    /// Removes the events up to the one after which the stream was resumed. Without this the
    /// caller gets events twice from a target that repeats them.
    fn remove_repeated(&mut self, events: &mut Vec<u8>) {
        let Some(mut point) = self.resumed_after.take() else {
            return;
        };
        let mut kept = Vec::with_capacity(events.len());
        let mut start = 0;
        for end in event_ends(events) {
            let event = &events[start..end];
            let repeats = match event_id(event) {
                EventId::Known(id) => {
                    let repeats = is_repeated(&id, &point.held);
                    point.is_before = repeats && !is_repeated(&point.held, &id);
                    if !repeats {
                        point.held = id;
                    }
                    repeats
                }
                EventId::Missing => point.is_before,
                EventId::NoEvent => false,
            };
            if !repeats {
                kept.extend_from_slice(event);
            }
            start = end;
        }
        *events = kept;
        self.resumed_after = Some(point);
    }

    /// Ends the stream and returns the rest of it: an event of which the end of the stream shows
    /// that it is complete, blank lines or comments.
    ///
    /// # Errors
    ///
    /// The stream ended inside an event, so it was broken off.
    pub(crate) fn finish(&mut self) -> Result<Vec<u8>, IncompleteEvent> {
        let mut events = self.take_pending();
        let mut after = events.split_off(last_event_end(&events).unwrap_or(0));
        let ends_line = after.last().is_none_or(|byte| is_line_end(*byte));
        let mut lines = after.split(|byte| is_line_end(*byte));
        if !ends_line || !lines.all(|line| line.is_empty() || line.starts_with(b":")) {
            return Err(IncompleteEvent);
        }
        self.accept_events(&mut events);
        events.append(&mut after);
        Ok(events)
    }

    /// Returns the memory of the event that is not complete, in bytes.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending.capacity()
    }

    fn take_pending(&mut self) -> Vec<u8> {
        self.line_start = 0;
        self.searched = 0;
        std::mem::take(&mut self.pending)
    }

    /// Returns whether the current target has sent an event that the caller did not have.
    pub(crate) const fn has_new_event(&self) -> bool {
        self.has_new_event
    }

    /// Returns the id of the last complete event; `None` if the stream can't go on behind it.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns whether an event with `id` is the event `held` or one before it.
fn is_repeated(id: &str, held: &str) -> bool {
    match (decimal_order(id), decimal_order(held)) {
        (Some(id), Some(held)) => id <= held,
        _ => id == held,
    }
}

/// Returns the digits of a decimal number and their count, by which numbers of any size compare.
fn decimal_order(text: &str) -> Option<(usize, &str)> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let digits = text.trim_start_matches('0');
    is_decimal.then_some((digits.len(), digits))
}

/// Returns the offset after the last event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    event_ends(bytes).last()
}

/// Returns the offset after each empty line.
fn event_ends(bytes: &[u8]) -> impl Iterator<Item = usize> {
    let mut line_start = 0;
    std::iter::from_fn(move || {
        loop {
            let line = next_line(bytes, line_start)?;
            let is_empty = line.text_end == line_start;
            line_start = line.end;
            if is_empty {
                return Some(line_start);
            }
        }
    })
}

/// Offsets of the end of a line.
struct LineEnd {
    /// The end of its text.
    text_end: usize,
    /// The start of the next line.
    end: usize,
}

/// Returns the first line end at `start` or later. A line ends with LF, CR or both. A CR at the end
/// of `bytes` is a line end: no LF may follow.
fn next_line(bytes: &[u8], start: usize) -> Option<LineEnd> {
    let length = bytes[start..].iter().position(|byte| is_line_end(*byte))?;
    let text_end = start + length;
    let end = match &bytes[text_end..] {
        [b'\r', b'\n', ..] => text_end + 2,
        _ => text_end + 1,
    };
    Some(LineEnd { text_end, end })
}

/// What an event says of its place in the stream.
enum EventId {
    Known(String),
    /// It has data and no id, or one that can't be sent to a target: no stream goes on behind it.
    Missing,
    /// It has neither data nor an id.
    NoEvent,
}

fn event_id(event: &[u8]) -> EventId {
    let mut has_data = false;
    let mut id = None;
    for line in event.split(|byte| is_line_end(*byte)) {
        let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        let name_end = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(name_end.unwrap_or(line.len()));
        match name {
            b"id" => id = Some(value.strip_prefix(b":").unwrap_or_default()),
            b"data" => has_data = true,
            _ => {}
        }
    }
    match id.map(|value| str::from_utf8(value).map(str::trim)) {
        Some(Ok(id)) if !id.is_empty() => EventId::Known(id.to_owned()),
        None if !has_data => EventId::NoEvent,
        _ => EventId::Missing,
    }
}

const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
