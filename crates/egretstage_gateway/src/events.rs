//! Splits a stream of server-sent events into events.

use compact_str::CompactString;

/// Largest event in bytes; longer data isn't considered an event. It limits
/// memory, since an entry buffers the partial events of hundreds of streams.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Names of the fields of the event stream format.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes, including the empty line at its end.
    pub bytes: Vec<u8>,
    /// The event's id.
    pub id: Option<CompactString>,
}

impl StreamEvent {
    /// Returns whether the bytes are an event: a field of the event stream format or
    /// nothing but comments, and no head of an HTTP answer.
    ///
    /// ```
    /// # use egretstage_gateway::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// let bytes = b"id: 1\ndata: a\n\n: idle\n\nHTTP/1.1 503 Busy\r\n\r\n";
    /// let events = splitter.push(bytes).unwrap();
    /// let valid: Vec<bool> = events.iter().map(|event| event.is_valid()).collect();
    /// assert_eq!(valid, [true, true, false]);
    /// ```
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let lines = || {
            let lines = self.bytes.split(|byte| *byte == b'\n');
            lines
                .map(<[u8]>::trim_ascii_end)
                .filter(|line| !line.is_empty())
        };
        let name = |line: &[u8]| line.split(|byte| *byte == b':').next().map(<[u8]>::to_vec);
        let is_field = |line: &[u8]| {
            let name = name(line);
            name.is_some_and(|name| FIELDS.contains(&name.as_slice()))
        };
        let is_head = lines().any(|line| line.starts_with(b"HTTP/"));
        !is_head && (lines().any(is_field) || lines().all(|line| line.starts_with(b":")))
    }

    /// Returns whether the event carries data; a comment only keeps the
    /// connection open.
    #[must_use]
    pub fn carries_data(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data"))
    }
}

/// Error for data that exceeds the largest event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has over {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Splits bytes into complete events.
///
/// An upstream may stop in the middle of an event. A partial event is never
/// passed on, so that another upstream can resume after a complete event.
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
    partial: Vec<u8>,
    /// Bytes of `partial` already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error when a partial event exceeds the largest size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, EventTooLarge> {
        self.partial.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_event_end() {
            let remaining = self.partial.split_off(end);
            let bytes = std::mem::replace(&mut self.partial, remaining);
            self.searched = 0;
            let id = event_id(&bytes);
            events.push(StreamEvent { bytes, id });
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(events)
    }

    /// Returns whether an event has begun and not ended.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the end of the first complete event.
    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let found = (start..self.partial.len()).find_map(|at| {
            let tail = &self.partial[at..];
            [&b"\n\n"[..], b"\r\n\r\n"]
                .iter()
                .find(|separator| tail.starts_with(separator))
                .map(|separator| at + separator.len())
        });
        self.searched = self.partial.len();
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
