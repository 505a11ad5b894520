//! The timeline of a request from log lines as the daemons write them.

use egretstage_control::{RequestTimeline, TimelineReader};

/// Lines of an entry, with the time and name that a collector writes before them.
const ENTRY_A: &str = r#"
  12.0 edge-a {"time":"2026-12-04T10:00:12.000000Z","level":"INFO","target":"decision","message":"upstream","decision":{"verb":"upstream","upstream":"i-7","reason":"draining"}}
  12.1 edge-a {"time":"2026-12-04T10:00:12.100000Z","level":"INFO","target":"decision","message":"upstream","decision":{"verb":"upstream","upstream":"i-9","reason":"gone"}}
  12.2 edge-a {"time":"2026-12-04T10:00:12.200000Z","level":"WARN","target":"feeds","message":"lost","dependency":"store","topic":"servers","error":"busy"}
  12.4 edge-a {"time":"2026-12-04T10:00:12.400000Z","level":"INFO","target":"decision","message":"attempt","decision":{"verb":"attempt","request":"r1","upstream":"i-7","reason":"connection-lost","attempts":1}}
  12.3 edge-a {"time":"2026-12-04T10:00:12.300000Z","level":"INFO","target":"decision","message":"place","decision":{"verb":"place","request":"r1","upstream":"i-7","reason":"in-time","attempts":1,"peers_age_ms":40}}
  12.3 edge-a {"time":"2026-12-04T10:00:12.300000Z","level":"INFO","target":"decision","message":"place","decision":{"verb":"place","request":"r2","upstream":"i-7","reason":"in-time","attempts":1}}
  12.5 edge-a {"time":"2026-12-04T10:00:12.500000Z","level":"INFO","target":"decision","message":"refuse","decision":{"verb":"refuse","request":"r1","reason":"unknown","attempts":1}}
  19.0 edge-a {"time":"2026-12-04T10:00:19.000000Z","level":"INFO","target":"decision","message":"upstream","decision":{"verb":"upstream","upstream":"i-7","reason":"gone"}}
not a log line
"#;

/// Lines of another process, without a name before them.
const ENTRY_B: &str = r#"
{"time":"2026-12-04T10:00:12.250000Z","level":"INFO","target":"decision","message":"upstream","decision":{"verb":"upstream","upstream":"i-7","reason":"draining"}}
"#;

fn timeline(request: &str) -> RequestTimeline {
    let mut reader = TimelineReader::new(request.try_into().expect("an id"));
    for (name, text) in [("a.log", ENTRY_A), ("b.log", ENTRY_B)] {
        reader
            .read(name, text.as_bytes())
            .expect("text can be read");
    }
    reader.finish()
}

#[test]
fn a_timeline_is_in_order_with_state_changes_of_the_same_process() {
    let timeline = timeline("r1");
    let lines: Vec<(&str, &str, bool)> = timeline
        .lines
        .iter()
        .map(|l| (l.verb.as_str(), l.reason.as_deref().unwrap_or(""), l.own))
        .collect();
    assert_eq!(
        lines,
        [
            ("upstream", "draining", false),
            ("lost", "", false),
            ("place", "in-time", true),
            ("attempt", "connection-lost", true),
            ("refuse", "unknown", true),
        ]
    );
    assert!(timeline.lines.iter().all(|line| line.process == "edge-a"));
    let place = &timeline.lines[2];
    assert_eq!(place.inputs.get("peers_age_ms"), Some(&40.into()));
    assert_eq!(
        timeline.lines[1].inputs.get("dependency"),
        Some(&"store".into())
    );
    assert_eq!(timeline.unreadable, 1);
}

#[test]
fn an_unknown_request_has_no_timeline() {
    assert!(timeline("r3").lines.is_empty());
}
