//! One request's story, from the log lines of all processes.
//!
//! Lines may come from several files, or from standard input with a name in
//! front of each line, as collectors of logs write them. The lines of the
//! request are put in order of time, together with what the same processes came
//! to believe of the upstreams, groups and dependencies involved shortly before.

use crate::table::Table;
use chrono::{DateTime, FixedOffset, TimeDelta};
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_wire::RequestId;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::io::{self, BufRead};

/// How long before a request's first line a belief may have changed to belong
/// to its story: twice the longest time that an upstream's leaving takes.
const BEFORE: TimeDelta = TimeDelta::seconds(6);

/// Fields of a line that stand in columns of their own, or say nothing.
const OWN_COLUMNS: [&str; 5] = ["verb", "request", "reason", "what", "upstream"];

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// When it was written, by the clock of its process.
    pub time: DateTime<FixedOffset>,
    /// The process, as far as the input names it.
    pub process: CompactString,
    /// Whether it is about the request itself.
    pub own: bool,
    /// What was decided or happened.
    pub verb: CompactString,
    /// Why.
    pub reason: Option<CompactString>,
    /// The upstream.
    pub upstream: Option<CompactString>,
    /// The inputs, their ages and versions.
    pub inputs: Map<String, Value>,
}

/// What was found of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// The lines, in order of time.
    pub lines: Vec<TimelineEntry>,
    /// Lines of the input that are not JSON lines of egretstage.
    pub unreadable: u64,
}

/// Collects a story from the lines of several inputs.
#[derive(Debug)]
pub struct TimelineReader {
    request: RequestId,
    own: Vec<TimelineEntry>,
    /// Changes of belief, which may belong to the story.
    beliefs: Vec<TimelineEntry>,
    unreadable: u64,
}

impl TimelineReader {
    /// Starts a request's story.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            own: Vec::new(),
            beliefs: Vec::new(),
            unreadable: 0,
        }
    }

    /// Reads all lines of an input.
    ///
    /// `name` names the process of lines without a name in front.
    ///
    /// # Errors
    ///
    /// Returns an error if the input can't be read.
    pub fn read(&mut self, name: &str, input: impl BufRead) -> io::Result<()> {
        for line in input.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if !line.trim().is_empty() {
                self.line(name, &line);
            }
        }
        Ok(())
    }

    fn line(&mut self, name: &str, text: &str) {
        let start = text.find('{').unwrap_or(text.len());
        let (front, json) = text.split_at(start);
        // A collector may write times in front too: the name is the last word.
        let process = front.split_whitespace().next_back().unwrap_or(name);
        let Some(line) = parse(process, json) else {
            self.unreadable += 1;
            return;
        };
        let of = line.inputs.get("request").and_then(Value::as_str);
        if of == Some(self.request.as_str()) {
            self.own.push(TimelineEntry { own: true, ..line });
        } else if of.is_none() {
            self.beliefs.push(line);
        }
    }

    /// Returns the story.
    #[must_use]
    pub fn finish(mut self) -> RequestTimeline {
        let times = self.own.iter().map(|line| line.time);
        let (first, last) = (times.clone().min(), times.max());
        if let (Some(first), Some(last)) = (first, last) {
            let processes: BTreeSet<_> = self.own.iter().map(|l| l.process.clone()).collect();
            let upstreams: BTreeSet<_> =
                self.own.iter().filter_map(|l| l.upstream.clone()).collect();
            self.beliefs.retain(|line| {
                let near = line.time >= first - BEFORE && line.time <= last;
                let known = line.upstream.as_ref();
                // A group stands for its ranks: its line names one of them.
                let involved = known.is_none_or(|u| upstreams.contains(u)) || line.verb == "group";
                near && involved && processes.contains(&line.process)
            });
        } else {
            self.beliefs.clear();
        }
        let mut lines = self.own;
        lines.append(&mut self.beliefs);
        lines.sort_by_key(|line| line.time);
        for line in &mut lines {
            for column in OWN_COLUMNS {
                line.inputs.remove(column);
            }
        }
        RequestTimeline {
            lines,
            unreadable: self.unreadable,
        }
    }
}

/// Parses a line of a decision or of a dependency that is lost or regained.
///
/// Lines of another kind have no verb and are about nothing.
fn parse(process: &str, json: &str) -> Option<TimelineEntry> {
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    let time = DateTime::parse_from_rfc3339(fields.get("time")?.as_str()?).ok()?;
    let message = fields.get("message")?.as_str()?.to_compact_string();
    let inputs = if let Some(Value::Object(decision)) = fields.remove("decision") {
        decision
    } else {
        for column in ["time", "level", "target", "message"] {
            fields.remove(column);
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

/// Prints a story as a table, with times from the request's first line on.
pub(crate) fn print_story(story: &RequestTimeline) {
    let first = story.lines.iter().find(|line| line.own).map(|l| l.time);
    let mut table = Table::new(&["ms", "process", "", "what", "why", "upstream", "inputs"]);
    for line in &story.lines {
        let after = first.map_or(0, |first| (line.time - first).num_milliseconds());
        let inputs = line.inputs.iter();
        let inputs: Vec<String> = inputs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        table.row(vec![
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
    if story.unreadable > 0 {
        println!("{} lines can't be read as log lines", story.unreadable);
    }
}
