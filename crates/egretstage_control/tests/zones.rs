//! The evacuated zones from log lines as the entries write them.

use egretstage_control::{EvacuatedZone, TimelineReader, ZoneReader};

/// Returns the line of a change of a zone at a second.
fn zone(second: u32, zone: &str, reason: &str) -> String {
    format!(
        r#"{{"time":"2026-12-04T10:00:{second:02}.000000Z","level":"INFO","target":"decision","message":"zone","decision":{{"verb":"zone","zone":"{zone}","reason":"{reason}","evacuated":1,"position":{{"r":0,"o":5}}}}}}"#
    )
}

/// Returns another line of a process at a second.
fn message(second: u32, text: &str) -> String {
    format!(
        r#"{{"time":"2026-12-04T10:00:{second:02}.000000Z","level":"INFO","target":"entry","message":"{text}"}}"#
    )
}

fn zones(inputs: &[(&str, &[String])]) -> Vec<EvacuatedZone> {
    let mut reader = ZoneReader::default();
    for (name, lines) in inputs {
        let read = reader.read(name, lines.join("\n").as_bytes());
        read.expect("text can be read");
    }
    reader.finish()
}

/// Returns each zone with the entries that know it, since which second and from where, and the
/// others.
fn summary(zones: &[EvacuatedZone]) -> Vec<String> {
    let zones = zones.iter().map(|zone| {
        let known = zone.entries.iter().map(|at| {
            let second = at.since.format("%S");
            format!("{}@{second}:{}", at.entry, at.reason)
        });
        let known: Vec<String> = known.collect();
        format!(
            "{}: {}; {}",
            zone.zone,
            known.join(" "),
            zone.others.join(" ")
        )
    });
    zones.collect()
}

#[test]
fn a_zone_is_shown_with_the_entries_that_know_it() {
    let started = message(1, "entry started");
    let zones = zones(&[
        (
            "c",
            &[started.clone(), zone(9, "west", "reported-evacuated")],
        ),
        (
            "a",
            &[
                started.clone(),
                zone(7, "west", "evacuated"),
                zone(8, "east", "evacuated"),
                zone(11, "east", "taken-back"),
                "not a log line".to_owned(),
            ],
        ),
        ("b", &[started]),
    ]);
    let expected = ["west: a@07:evacuated c@09:reported-evacuated; b"];
    assert_eq!(summary(&zones), expected);
}

/// The store was restored from a copy: the zone is evacuated without a gap.
#[test]
fn a_kept_zone_is_evacuated_since_its_first_line() {
    let lines = [zone(7, "west", "evacuated"), zone(9, "west", "kept")];
    assert_eq!(summary(&zones(&[("a", &lines)])), ["west: a@07:kept; "]);
    let ended = [lines.as_slice(), &[zone(14, "west", "not-restored")]].concat();
    assert_eq!(summary(&zones(&[("a", &ended)])), [""; 0]);
}

/// A process that has started again, or has stopped, knows what its lines since tell.
#[test]
fn a_start_and_a_stop_end_what_an_entry_knew() {
    let evacuated = zone(7, "west", "evacuated");
    let restarted = [evacuated.clone(), message(8, "entry started")];
    let stopped = [evacuated.clone(), message(8, "entry stopped")];
    let zones = zones(&[("a", &restarted), ("b", &stopped), ("c", &[evacuated])]);
    assert_eq!(summary(&zones), ["west: c@07:evacuated; a"]);
}

/// The line of an evacuation may be much older than the request that it explains.
#[test]
fn a_requests_timeline_tells_the_evacuations_before_it() {
    let refused = r#"{"time":"2026-12-04T10:00:50.000000Z","level":"INFO","target":"decision","message":"refuse","decision":{"verb":"refuse","request":"r1","reason":"no-upstream"}}"#;
    let lines = [zone(7, "west", "evacuated"), refused.to_owned()];
    let mut reader = TimelineReader::new("r1".try_into().expect("an id"));
    let read = reader.read("a", lines.join("\n").as_bytes());
    read.expect("text can be read");
    let timeline = reader.finish();
    let verbs: Vec<&str> = timeline
        .lines
        .iter()
        .map(|line| line.verb.as_str())
        .collect();
    assert_eq!(verbs, ["zone", "refuse"]);
}
