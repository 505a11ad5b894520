//! Cuts a stream of server-sent events at the borders of its events.

use compact_str::CompactString;

/// Largest event, in bytes: one that doesn't end by then isn't an event. An
/// entry holds the rest of hundreds of streams.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, the empty line at its end included.
    pub bytes: Vec<u8>,
    /// Its id.
    pub id: Option<CompactString>,
}

impl StreamEvent {
    /// Tells whether it carries data: a comment only keeps a connection open.
    #[must_use]
    pub fn carries_data(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data"))
    }
}

/// An event is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has over {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Cuts bytes into whole events.
///
/// An upstream may stop in the middle of an event; the rest is never passed
/// on, so that another upstream can go on at a border.
///
/// ```
/// # use egretstage_gateway::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// assert!(splitter.push(b"id: 1\ndata: a").unwrap().is_empty());
/// let events = splitter.push(b"\n\nid: 2\n").unwrap();
/// assert_eq!(events[0].id.as_deref(), Some("1"));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
    /// Bytes of `rest` that hold no border.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are whole now.
    ///
    /// # Errors
    ///
    /// Returns an error when an event doesn't end in time.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, EventTooLarge> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.border() {
            let rest = self.rest.split_off(end);
            let bytes = std::mem::replace(&mut self.rest, rest);
            self.searched = 0;
            let id = event_id(&bytes);
            events.push(StreamEvent { bytes, id });
        }
        if self.rest.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(events)
    }

    /// Tells whether an event has begun and not ended.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns the end of the first event.
    fn border(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let found = (from..self.rest.len()).find_map(|at| {
            let tail = &self.rest[at..];
            [&b"\n\n"[..], b"\r\n\r\n"]
                .iter()
                .find(|border| tail.starts_with(border))
                .map(|border| at + border.len())
        });
        self.searched = self.rest.len();
        found
    }
}

fn event_id(event: &[u8]) -> Option<CompactString> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().into())
}
