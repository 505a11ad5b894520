//! The timeline of one request, from the log lines of all processes.
//!
//! Lines may come from several files, or from standard input with the process's
//! name before each line, as log collectors write them. The request's lines are
//! put in order of time, together with state changes of the involved upstreams,
//! groups and dependencies that the same processes logged shortly before.

use crate::table::Table;
use chrono::{DateTime, FixedOffset, TimeDelta};
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_wire::RequestId;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::io::{self, BufRead};

/// Time before a request's first line from which state changes are included:
/// twice the longest time that an upstream takes to leave.
const LOOKBACK: TimeDelta = TimeDelta::seconds(6);

/// Fields of a line that have columns of their own or add no information.
const COLUMN_FIELDS: [&str; 5] = ["verb", "request", "reason", "what", "upstream"];

/// One log line of a timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Time at which it was written, by the clock of its process.
    pub time: DateTime<FixedOffset>,
    /// The process, or the input's name if the line names none.
    pub process: CompactString,
    /// Whether it is about the request itself.
    pub own: bool,
    /// The decision or event.
    pub verb: CompactString,
    /// The reason.
    pub reason: Option<CompactString>,
    /// The upstream.
    pub upstream: Option<CompactString>,
    /// Inputs of the decision, with their ages and versions.
    pub inputs: Map<String, Value>,
}

/// The log lines about one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// The lines, in order of time.
    pub lines: Vec<TimelineEntry>,
    /// Number of input lines that are not JSON log lines of egretstage.
    pub unreadable: u64,
}

/// Builds a timeline from the lines of several inputs.
#[derive(Debug)]
pub struct TimelineReader {
    request: RequestId,
    own: Vec<TimelineEntry>,
    /// Lines about no request, which may belong to the timeline.
    state_changes: Vec<TimelineEntry>,
    unreadable: u64,
}

impl TimelineReader {
    /// Starts the timeline of a request.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            own: Vec::new(),
            state_changes: Vec::new(),
            unreadable: 0,
        }
    }

    /// Reads all lines of an input.
    ///
    /// `name` is the process of lines that have no name before them.
    ///
    /// # Errors
    ///
    /// Returns an error if the input can't be read.
    pub fn read(&mut self, name: &str, input: impl BufRead) -> io::Result<()> {
        for line in input.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if !line.trim().is_empty() {
                self.add_line(name, &line);
            }
        }
        Ok(())
    }

    fn add_line(&mut self, name: &str, text: &str) {
        let Some(line) = parse_line(name, text) else {
            self.unreadable += 1;
            return;
        };
        let request = line.inputs.get("request").and_then(Value::as_str);
        if request == Some(self.request.as_str()) {
            self.own.push(TimelineEntry { own: true, ..line });
        } else if request.is_none() {
            self.state_changes.push(line);
        }
    }

    /// Returns the timeline.
    #[must_use]
    pub fn finish(mut self) -> RequestTimeline {
        let times = self.own.iter().map(|line| line.time);
        let (first, last) = (times.clone().min(), times.max());
        if let (Some(first), Some(last)) = (first, last) {
            let processes: BTreeSet<_> = self.own.iter().map(|l| l.process.clone()).collect();
            let upstreams: BTreeSet<_> =
                self.own.iter().filter_map(|l| l.upstream.clone()).collect();
            self.state_changes.retain(|line| {
                // An evacuation lasts; its line may be much older.
                let is_recent = line.time >= first - LOOKBACK || line.verb == "zone";
                let in_period = is_recent && line.time <= last;
                let upstream = line.upstream.as_ref();
                // The line of a group names only one of its ranks, so its upstream
                // is not compared.
                let involved =
                    upstream.is_none_or(|u| upstreams.contains(u)) || line.verb == "group";
                in_period && involved && processes.contains(&line.process)
            });
        } else {
            self.state_changes.clear();
        }
        let mut lines = self.own;
        lines.append(&mut self.state_changes);
        lines.sort_by_key(|line| line.time);
        for line in &mut lines {
            for field in COLUMN_FIELDS {
                line.inputs.remove(field);
            }
        }
        RequestTimeline {
            lines,
            unreadable: self.unreadable,
        }
    }
}

/// Parses a line of an input; none if it isn't a log line of egretstage.
///
/// `name` is the process of lines that have no name before them.
pub(crate) fn parse_line(name: &str, text: &str) -> Option<TimelineEntry> {
    let start = text.find('{').unwrap_or(text.len());
    let (prefix, json) = text.split_at(start);
    // A collector may also write the time; the name is the word before the JSON.
    let process = prefix.split_whitespace().next_back().unwrap_or(name);
    parse(process, json)
}

/// Parses a log line; none if it isn't one of egretstage.
///
/// A line without a decision, such as that of a lost or regained dependency, has
/// its message as verb.
fn parse(process: &str, json: &str) -> Option<TimelineEntry> {
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    let time = DateTime::parse_from_rfc3339(fields.get("time")?.as_str()?).ok()?;
    let message = fields.get("message")?.as_str()?.to_compact_string();
    let inputs = if let Some(Value::Object(decision)) = fields.remove("decision") {
        decision
    } else {
        for field in ["time", "level", "target", "message"] {
            fields.remove(field);
        }
        fields
    };
    let text = |name: &str| inputs.get(name)?.as_str().map(CompactString::from);
    Some(TimelineEntry {
        time,
        process: process.into(),
        own: false,
        verb: text("verb").unwrap_or(message),
        reason: text("reason"),
        upstream: text("upstream"),
        inputs,
    })
}

/// Prints a timeline as a table, with times in milliseconds relative to the
/// request's first line.
pub(crate) fn print_timeline(timeline: &RequestTimeline) {
    let first = timeline.lines.iter().find(|line| line.own).map(|l| l.time);
    let mut table = Table::new(&["ms", "process", "", "what", "why", "upstream", "inputs"]);
    for line in &timeline.lines {
        let after = first.map_or(0, |first| (line.time - first).num_milliseconds());
        let inputs = line.inputs.iter();
        let inputs: Vec<String> = inputs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        table.add_row(vec![
            format_compact!("{after}"),
            line.process.clone(),
            if line.own { "*" } else { "" }.into(),
            line.verb.clone(),
            line.reason.clone().unwrap_or_default(),
            line.upstream.clone().unwrap_or_default(),
            inputs.join(" ").into(),
        ]);
    }
    table.print();
    if timeline.unreadable > 0 {
        println!("{} lines can't be read as log lines", timeline.unreadable);
    }
}
