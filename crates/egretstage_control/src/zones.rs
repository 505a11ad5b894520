//! The evacuated zones, from the log lines of all entries.

use crate::story::{TimelineEntry, parse_line};
use crate::table::Table;
use chrono::{DateTime, FixedOffset};
use compact_str::{CompactString, ToCompactString};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

/// Reasons of lines from which on an entry sends nothing to a zone.
const EVACUATED: [&str; 3] = ["evacuated", "reported-evacuated", "kept"];

/// What an entry knows of an evacuated zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneAtEntry {
    /// The entry.
    pub entry: CompactString,
    /// Since when it sends nothing there, by its clock.
    pub since: DateTime<FixedOffset>,
    /// Where it knows that from.
    pub reason: CompactString,
}

/// A zone that is evacuated at one entry at least.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: CompactString,
    /// The entries that send nothing there, the first one to know it first.
    pub entries: Vec<ZoneAtEntry>,
    /// The other entries: they don't know the evacuation, or that the zone was taken back.
    pub others: Vec<CompactString>,
}

/// Finds the evacuated zones in the lines of several inputs.
#[derive(Debug, Default)]
pub struct ZoneReader {
    /// By zone and entry.
    evacuated: BTreeMap<(CompactString, CompactString), ZoneAtEntry>,
    entries: BTreeSet<CompactString>,
}

impl ZoneReader {
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
            if let Some(line) = parse_line(name, &String::from_utf8_lossy(&line)) {
                self.add(line);
            }
        }
        Ok(())
    }

    fn add(&mut self, line: TimelineEntry) {
        let entry = line.process;
        match line.verb.as_str() {
            "entry started" => {
                // A new process knows nothing yet.
                self.evacuated.retain(|(_, at), _| *at != entry);
                self.entries.insert(entry);
            }
            "entry stopped" => {
                self.evacuated.retain(|(_, at), _| *at != entry);
                self.entries.remove(&entry);
            }
            "zone" => {
                let zone = line.inputs.get("zone").and_then(|zone| zone.as_str());
                let Some((zone, reason)) = zone.zip(line.reason) else {
                    return;
                };
                self.entries.insert(entry.clone());
                let key = (zone.to_compact_string(), entry.clone());
                if EVACUATED.contains(&reason.as_str()) {
                    let since = line.time;
                    let known = self.evacuated.entry(key).or_insert(ZoneAtEntry {
                        entry,
                        since,
                        reason: reason.clone(),
                    });
                    known.reason = reason;
                } else {
                    self.evacuated.remove(&key);
                }
            }
            _ => {}
        }
    }

    /// Returns the zones that are evacuated after the last line of each entry.
    #[must_use]
    pub fn finish(self) -> Vec<EvacuatedZone> {
        let mut zones: BTreeMap<CompactString, Vec<ZoneAtEntry>> = BTreeMap::new();
        for ((zone, _), known) in self.evacuated {
            zones.entry(zone).or_default().push(known);
        }
        let entries = self.entries;
        let zones = zones.into_iter().map(|(zone, mut known)| {
            known.sort_by_key(|known| known.since);
            let knows = |entry: &CompactString| known.iter().any(|at| at.entry == *entry);
            let others = entries.iter().filter(|entry| !knows(entry));
            EvacuatedZone {
                zone,
                others: others.cloned().collect(),
                entries: known,
            }
        });
        zones.collect()
    }
}

/// Prints evacuated zones as a table.
pub(crate) fn print_zones(zones: &[EvacuatedZone]) {
    let mut table = Table::new(&["zone", "entry", "since", "known from"]);
    for zone in zones {
        for known in &zone.entries {
            table.add_row(vec![
                zone.zone.clone(),
                known.entry.clone(),
                known.since.to_rfc3339().into(),
                known.reason.clone(),
            ]);
        }
        for entry in &zone.others {
            let none = CompactString::default();
            table.add_row(vec![zone.zone.clone(), entry.clone(), "-".into(), none]);
        }
    }
    table.print();
}
