//! Load pattern: the operator evacuates availability zones under load and takes them back,
//! while the store refuses some entries, serves stale lists or is restored from a copy.

use crate::support::{
    Harness, configured, refused, report_of, reports, sent, sent_calls, table, table_with_cold,
    upstream,
};
use egretstage_dispatch::cold_starts::{CAUTION_TIME, JOIN_DELAY};
use egretstage_dispatch::evacuated_zones::{MAX_EVACUATED_ZONES, RESTORE_GRACE};
use egretstage_dispatch::waiting::StartRate;
use egretstage_dispatch::{
    AttemptEnd, CallKey, CallRate, ColdProfile, DecisionLine, DispatchEffect, DispatchEvent,
    LoadReport, NotRunCause, RefusalKind, TopicPosition, UnknownCause, UpstreamSignal, ZoneSet,
};
use egretstage_wire::{InstanceId, MAX_NAME_BYTES, ZoneName};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longest time from the acknowledgement of an evacuation until nothing is sent to the zone.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Zones of the upstreams.
const ZONES: [&str; 2] = ["west", "east"];

/// Slots of a rank.
const SLOTS: usize = 12;

fn zone(name: &str) -> ZoneName {
    name.try_into().expect("valid name")
}

fn set(era: u64, offset: u64, zones: &[&str]) -> ZoneSet {
    let zones = zones.iter().map(|name| zone(name)).collect();
    let position = TopicPosition { era, offset };
    ZoneSet { position, zones }
}

/// Creates an entry with one group of two ranks in each zone, and an upstream without a
/// group in each.
fn two_zones() -> Harness {
    let mut harness = Harness::unready();
    harness.sim.event(configured(table(1, "key")));
    for name in ZONES {
        for (index, service, group) in [
            (0, "drafting", Some("g")),
            (1, "drafting", Some("g")),
            (2, "booking", None),
        ] {
            let mut listed = upstream(&format!("{name}-{index}"), service, group);
            listed.zone = zone(name);
            harness.list(listed);
        }
    }
    harness
}

/// Returns the calls that the effects refuse.
fn refused_calls(effects: &[DispatchEffect]) -> Vec<CallKey> {
    let refused = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Refuse { call, .. } => Some(*call),
        _ => None,
    });
    refused.collect()
}

/// Passes on the set as it was read in the store.
fn read(harness: &mut Harness, set: ZoneSet) -> Vec<DispatchEffect> {
    harness.sim.event(DispatchEvent::ZonesRead(Box::new(set)))
}

/// Passes on the set that a peer reports.
fn hear(harness: &mut Harness, number: u64, set: Option<ZoneSet>) -> Vec<DispatchEffect> {
    let DispatchEvent::PeerReported(mut report) = report_of("peer", number, 1) else {
        panic!("a report");
    };
    report.zones = set;
    harness.sim.event(DispatchEvent::PeerReported(report))
}

/// Returns the zone of the upstream that the effects send a call to.
fn zone_of(effects: &[DispatchEffect], call: CallKey) -> Option<String> {
    let attempt = sent(effects, call)?;
    let (zone, _) = attempt.instance.as_str().split_once('-')?;
    Some(zone.to_owned())
}

/// Sends as many calls as an upstream without a group takes, and ends them; returns the zones
/// that they went to.
fn zones_called(harness: &mut Harness, path: &str) -> BTreeSet<String> {
    let mut zones = BTreeSet::new();
    let mut calls = Vec::new();
    for _ in 0..8 {
        let (call, effects) = harness.call(path, 3_000);
        zones.extend(zone_of(&effects, call));
        calls.push(call);
    }
    for call in calls {
        let whole = true;
        harness.sim.event(DispatchEvent::Ended { call, whole });
    }
    zones
}

fn names(zones: &[&str]) -> BTreeSet<String> {
    zones.iter().map(ToString::to_string).collect()
}

fn zone_lines(effects: &[DispatchEffect]) -> Vec<DecisionLine> {
    let lines = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Log(line) if line.verb == "zone" => Some((**line).clone()),
        _ => None,
    });
    lines.collect()
}

fn reasons(effects: &[DispatchEffect]) -> Vec<(String, &'static str)> {
    let lines = zone_lines(effects).into_iter();
    let line = |line: DecisionLine| {
        (
            line.zone.expect("a zone").to_string(),
            line.reason.expect("one"),
        )
    };
    lines.map(line).collect()
}

#[test]
fn no_call_starts_in_an_evacuated_zone() {
    let mut harness = two_zones();
    for path in ["/look/1", "/draft/1"] {
        assert_eq!(zones_called(&mut harness, path), names(&ZONES));
    }
    let effects = read(&mut harness, set(0, 7, &["west"]));
    assert_eq!(reasons(&effects), [("west".to_owned(), "evacuated")]);
    assert_eq!(zone_lines(&effects)[0].evacuated, Some(1));
    for path in ["/look/1", "/draft/1"] {
        assert_eq!(zones_called(&mut harness, path), names(&["east"]));
    }
    let closed = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::CloseIdle(instance) => Some(instance.as_str()),
        _ => None,
    });
    let closed: BTreeSet<&str> = closed.collect();
    assert_eq!(closed, BTreeSet::from(["west-0", "west-1", "west-2"]));
}

/// Load pattern: instances are replaced while their zone is evacuated.
#[test]
fn an_upstream_that_is_listed_in_an_evacuated_zone_gets_no_call() {
    let mut harness = two_zones();
    read(&mut harness, set(0, 7, &["west"]));
    let mut new = upstream("west-9", "booking", None);
    new.zone = zone("west");
    for slots in [60, 61] {
        new.slots = slots;
        harness.list(new.clone());
        assert_eq!(zones_called(&mut harness, "/look/1"), names(&["east"]));
    }
}

/// An attempt that provably didn't run is repeated, but not in the evacuated zone.
#[test]
fn repeats_stay_out_of_an_evacuated_zone() {
    let mut harness = two_zones();
    let (call, effects) = harness.call("/look/1", 3_000);
    let first = zone_of(&effects, call).expect("it is sent");
    let other = ZONES.iter().find(|name| **name != first).expect("one");
    read(&mut harness, set(0, 7, &[other]));
    let cause = NotRunCause::Full;
    let end = AttemptEnd::NotRun { cause };
    let effects = harness.sim.event(DispatchEvent::AttemptEnded { call, end });
    assert_ne!(zone_of(&effects, call).as_deref(), Some(*other));
}

/// Load pattern: streams run in the zone when it is evacuated. They end by themselves; one
/// that breaks off resumes elsewhere.
#[test]
fn running_streams_end_by_themselves_and_resume_elsewhere() {
    let mut harness = two_zones();
    let mut streams = Vec::new();
    for _ in 0..8 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        harness.sim.event(DispatchEvent::FirstByte { call });
        if zone_of(&effects, call).as_deref() == Some("west") {
            streams.push(call);
        }
    }
    let mut effects = read(&mut harness, set(0, 7, &["west"]));
    let pause = Duration::from_millis(60);
    for _ in 0..20 {
        effects.extend(harness.sim.advance(pause));
        for call in streams.clone() {
            effects.extend(harness.sim.event(DispatchEvent::Pause { call, pause }));
        }
    }
    let is_touched = |effect: &DispatchEffect| {
        let (DispatchEffect::Abandon { call, .. } | DispatchEffect::Refuse { call, .. }) = effect
        else {
            return false;
        };
        streams.contains(call)
    };
    assert!(!effects.iter().any(is_touched));
    for call in streams {
        let cause = UnknownCause::ConnectionLost;
        let end = AttemptEnd::Unknown { cause };
        let effects = harness.sim.event(DispatchEvent::AttemptEnded { call, end });
        assert_eq!(zone_of(&effects, call).as_deref(), Some("east"));
    }
}

/// Sends streams until some wait; returns those that run, with their zones, and the number of
/// those that wait.
fn fill(harness: &mut Harness) -> (BTreeMap<CallKey, String>, usize) {
    let mut running = BTreeMap::new();
    let mut waiting = 0;
    for _ in 0..80 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        match zone_of(&effects, call) {
            Some(zone) => drop(running.insert(call, zone)),
            None if refused(&effects, call).is_none() => waiting += 1,
            None => {}
        }
    }
    (running, waiting)
}

/// Load pattern: the group is full, with ranks in two zones, when one of them is evacuated.
/// Places that its streams leave there are none; those in the other zone go to waiting calls.
#[test]
fn waiting_calls_take_no_place_in_an_evacuated_zone() {
    let mut harness = two_zones();
    let (running, waiting) = fill(&mut harness);
    assert!(waiting > 4, "{waiting} calls wait");
    read(&mut harness, set(0, 7, &["west"]));
    let mut started_in_east = 0;
    for (call, zone) in running {
        let whole = true;
        let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
        let sent = sent_calls(&effects);
        if zone == "west" {
            assert_eq!(sent, [], "a place in the evacuated zone is used");
        }
        for started in sent {
            assert_eq!(zone_of(&effects, started).as_deref(), Some("east"));
            started_in_east += 1;
        }
    }
    assert!(started_in_east > 0, "places in the other zone are used");
}

/// The ranks in the other zone take the streams that they have room for, and no more: with
/// all slots of the group as bound, the ranks that are left would be overrun.
#[test]
fn only_the_slots_outside_an_evacuated_zone_are_room() {
    let mut harness = two_zones();
    read(&mut harness, set(0, 7, &["west"]));
    let (running, _) = fill(&mut harness);
    assert!(running.values().all(|zone| zone == "east"));
    let room = 2 * SLOTS;
    assert!(running.len() < room, "{} of {room} slots", running.len());

    // Streams that still run in the zone use no room outside it.
    let mut harness = two_zones();
    let first: Vec<String> = (0..12)
        .filter_map(|_| {
            let (call, effects) = harness.call("/draft/1", 8_000);
            zone_of(&effects, call)
        })
        .collect();
    let in_east = |zones: &[String]| zones.iter().filter(|zone| *zone == "east").count();
    assert!(in_east(&first) < first.len(), "some run in the zone");
    read(&mut harness, set(0, 7, &["west"]));
    let more: Vec<String> = fill(&mut harness).0.into_values().collect();
    assert_eq!(in_east(&first) + in_east(&more), running.len());
}

/// Load pattern: the only zone with room is evacuated, then the last one. Calls are refused at
/// once as not run, with a time to return.
#[test]
fn calls_are_refused_at_once_when_no_zone_is_left() {
    let mut harness = two_zones();
    let (_, waiting) = fill(&mut harness);
    read(&mut harness, set(0, 7, &["west"]));
    let effects = read(&mut harness, set(0, 8, &["east", "west"]));
    let refusals = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    });
    let refusals: Vec<_> = refusals.collect();
    assert_eq!(refusals.len(), waiting);
    for path in ["/look/1", "/draft/1"] {
        let (call, effects) = harness.call(path, 3_000);
        let refusal = refused(&effects, call).expect("a refusal at once");
        assert_eq!(refusal.kind, RefusalKind::NoUpstream);
        assert!(refusal.retry_after.is_some());
    }
    for refusal in refusals {
        assert_eq!(refusal.kind, RefusalKind::NoUpstream);
        assert!(refusal.retry_after.is_some());
    }
    let effects = read(&mut harness, set(0, 9, &["west"]));
    assert_eq!(reasons(&effects), [("east".to_owned(), "taken-back")]);
    assert_eq!(zones_called(&mut harness, "/look/1"), names(&["east"]));
}

/// Load pattern: an evacuation is taken back within a second, and the calls that wait for it
/// begin at once.
#[test]
fn a_zone_that_is_taken_back_within_a_second_gets_calls() {
    let mut harness = two_zones();
    read(&mut harness, set(0, 7, &["west"]));
    let (_, waiting) = fill(&mut harness);
    assert!(waiting > 0);
    harness.sim.advance(Duration::from_millis(700));
    let effects = read(&mut harness, set(0, 8, &[]));
    assert_eq!(reasons(&effects), [("west".to_owned(), "taken-back")]);
    let started = sent_calls(&effects);
    assert!(!started.is_empty());
    for call in started {
        assert_eq!(zone_of(&effects, call).as_deref(), Some("west"));
    }
}

/// Load pattern: a zone's upstreams turn cold while it is empty, and it is taken back before
/// their records are read: the known ones say that they are warm.
#[test]
fn a_zone_that_is_taken_back_gets_no_more_starts_than_cold_upstreams_tolerate() {
    let take_back_ways: [fn(&mut Harness) -> Vec<DispatchEffect>; 3] = [
        |harness| read(harness, set(0, 8, &[])),
        |harness| hear(harness, 1, Some(set(0, 8, &[]))),
        |harness| {
            read(harness, set(1, 2, &[]));
            harness
                .sim
                .advance(RESTORE_GRACE + Duration::from_millis(20))
        },
    ];
    let rate = 2.0;
    let time = Duration::from_secs(3);
    for (take_back, expected) in take_back_ways.into_iter().zip([2, 1, 2]) {
        let mut harness = Harness::unready();
        let cold = Some(ColdProfile { time, rate });
        harness
            .sim
            .event(configured(table_with_cold(1, "key", cold)));
        for name in ZONES {
            let mut listed = upstream(&format!("{name}-2"), "booking", None);
            listed.zone = zone(name);
            listed.cold_for = Some(Duration::ZERO);
            harness.list(listed);
        }
        harness.sim.advance(JOIN_DELAY);
        read(&mut harness, set(0, 7, &["west"]));
        harness.sim.advance(Duration::from_secs(1));
        take_back(&mut harness);
        let in_west = |harness: &mut Harness| {
            let zones = (0..8).filter_map(|_| {
                let (call, effects) = harness.call("/look/1", 3_000);
                zone_of(&effects, call)
            });
            zones.filter(|zone| zone == "west").count()
        };
        assert_eq!(in_west(&mut harness), expected);
        // The calls expire meanwhile.
        harness.sim.advance(CAUTION_TIME);
        assert_eq!(in_west(&mut harness), 4, "the records hold again");
    }
}

/// Load pattern: a service's only upstreams outside an evacuated zone ask for no calls for a
/// moment, and other zones change meanwhile. Calls wait for that moment.
#[test]
fn a_change_of_zones_refuses_no_call_that_waits_for_the_end_of_a_back_off() {
    let mut harness = two_zones();
    read(&mut harness, set(0, 7, &["north", "west"]));
    let mut waiting = Vec::new();
    let mut attempts = Vec::new();
    for _ in 0..12 {
        let (call, effects) = harness.call("/look/1", 3_000);
        match sent(&effects, call) {
            Some(attempt) => attempts.push((call, attempt)),
            None if refused(&effects, call).is_none() => waiting.push(call),
            None => {}
        }
    }
    assert!(!waiting.is_empty());
    let back_off = Duration::from_millis(300);
    let upstream = attempts[0].1.upstream;
    let signal = UpstreamSignal::BackOff(back_off);
    harness
        .sim
        .event(DispatchEvent::SignalReceived { upstream, signal });
    for (offset, zones) in [(8, &["west"][..]), (9, &["north", "west"])] {
        let effects = read(&mut harness, set(0, offset, zones));
        assert_eq!(refused_calls(&effects), [], "{zones:?}");
    }
    harness.sim.advance(back_off);
    let whole = true;
    let call = attempts[0].0;
    let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
    assert_eq!(sent_calls(&effects), waiting[..1]);

    // Without the back-off, none is left to wait for.
    let effects = read(&mut harness, set(0, 10, &["east", "north", "west"]));
    assert_eq!(refused_calls(&effects), waiting[1..]);
}

/// Nothing starts in an evacuated zone, also once an upstream's back-off there is over: this
/// entry asks for no starts at one that limits them.
#[test]
fn an_entry_demands_no_starts_in_an_evacuated_zone() {
    for back_off in [None, Some(Duration::from_secs(5))] {
        let mut harness = two_zones();
        let mut west = None;
        for _ in 0..8 {
            let (call, effects) = harness.call("/look/1", 3_000);
            let attempt = sent(&effects, call).expect("an attempt");
            if attempt.instance.as_str() == "west-2" {
                west = Some(attempt.upstream);
            }
        }
        let upstream = west.expect("a call in the zone");
        let limit = UpstreamSignal::Limit(Some(CallRate::try_from(2.0).expect("a rate")));
        let back_off = back_off.map(UpstreamSignal::BackOff);
        for signal in [limit].into_iter().chain(back_off) {
            harness
                .sim
                .event(DispatchEvent::SignalReceived { upstream, signal });
        }
        let demands = |harness: &mut Harness| {
            let report = reports(harness).pop().expect("a report");
            format!("{:?}", report.limits)
        };
        let before = demands(&mut harness);
        assert!(!before.contains("demand: 0"), "{before}");
        read(&mut harness, set(0, 7, &["west"]));
        let after = demands(&mut harness);
        assert!(after.contains("demand: 0"), "{after}");
    }
}

/// The starts of the last seconds tell how long calls wait; those of an evacuated zone don't
/// come again.
#[test]
fn starts_in_an_evacuated_zone_do_not_count_as_a_rate() {
    let mut rate = StartRate::new(Duration::from_secs(2));
    let now = Instant::now();
    for _ in 0..30 {
        rate.record_start(now);
    }
    let before = rate.time_for(now, 6).expect("a rate");
    rate.reduce(2, 3);
    assert_eq!(rate.time_for(now, 6), Some(before * 3 / 2));
    rate.reduce(0, 3);
    assert_eq!(rate.time_for(now, 6), None);
}

/// Fault: the store serves lists that are seconds old, and a report arrives late.
#[test]
fn an_older_set_changes_nothing() {
    let mut harness = two_zones();
    read(&mut harness, set(0, 7, &["west"]));
    assert_eq!(reasons(&read(&mut harness, set(0, 6, &[]))), []);
    assert_eq!(
        reasons(&hear(&mut harness, 1, Some(set(0, 5, &["east"])))),
        []
    );
    assert_eq!(zones_called(&mut harness, "/look/1"), names(&["east"]));
}

/// Fault: the store refuses this entry, which knows the zones from a peer alone, then from
/// one of an older release.
#[test]
fn an_entry_that_the_store_refuses_learns_the_zones_from_its_peers() {
    let mut harness = two_zones();
    let effects = hear(&mut harness, 1, Some(set(0, 7, &["west"])));
    assert_eq!(
        reasons(&effects),
        [("west".to_owned(), "reported-evacuated")]
    );
    assert_eq!(
        zone_lines(&effects)[0]
            .peer
            .as_ref()
            .map(InstanceId::as_str),
        Some("peer")
    );
    assert_eq!(zones_called(&mut harness, "/look/1"), names(&["east"]));
    assert_eq!(
        reasons(&hear(&mut harness, 2, None)),
        [],
        "an older release"
    );
    let effects = hear(&mut harness, 3, Some(set(0, 9, &["east"])));
    let expected = [
        ("east", "reported-evacuated"),
        ("west", "reported-taken-back"),
    ];
    assert_eq!(
        reasons(&effects),
        expected.map(|(zone, reason)| (zone.to_owned(), reason))
    );
    assert_eq!(zones_called(&mut harness, "/look/1"), names(&["west"]));
}

/// Fault: the store is restored from a copy that lacks the evacuation. The operator writes it
/// again, or doesn't.
#[test]
fn an_evacuation_holds_while_the_operator_may_write_it_again_after_a_restore() {
    for is_written_again in [false, true] {
        let mut harness = two_zones();
        read(&mut harness, set(0, 70, &["west"]));
        let effects = read(&mut harness, set(1, 60, &[]));
        assert_eq!(reasons(&effects), [("west".to_owned(), "kept")]);
        harness.sim.advance(RESTORE_GRACE.mul_f32(0.999));
        assert_eq!(zones_called(&mut harness, "/look/1"), names(&["east"]));
        if is_written_again {
            assert_eq!(reasons(&read(&mut harness, set(1, 61, &["west"]))), []);
        }
        let effects = harness.sim.advance(Duration::from_millis(20));
        let ended = [("west".to_owned(), "not-restored")];
        assert_eq!(reasons(&effects), ended[usize::from(is_written_again)..]);
        let expected = names(&ZONES[usize::from(is_written_again)..]);
        assert_eq!(zones_called(&mut harness, "/look/1"), expected);
    }
}

/// Offsets of an earlier era tell nothing.
#[test]
fn a_newer_era_wins_over_a_higher_offset() {
    let mut harness = two_zones();
    read(&mut harness, set(0, 70, &["west"]));
    read(&mut harness, set(1, 60, &["east"]));
    harness.sim.advance(RESTORE_GRACE);
    read(&mut harness, set(0, 71, &["west"]));
    hear(&mut harness, 1, Some(set(0, 72, &["west"])));
    assert_eq!(zones_called(&mut harness, "/look/1"), names(&["west"]));
}

/// Reports are those of earlier releases until a zone has been evacuated, and taking back
/// spreads too.
#[test]
fn reports_hold_the_zones_once_one_was_evacuated() {
    let zones = |harness: &mut Harness| reports(harness).pop().expect("a report").zones;
    let mut harness = two_zones();
    read(&mut harness, set(0, 6, &[]));
    assert_eq!(zones(&mut harness), None);
    read(&mut harness, set(0, 7, &["west"]));
    assert_eq!(zones(&mut harness), Some(set(0, 7, &["west"])));
    read(&mut harness, set(0, 8, &[]));
    assert_eq!(zones(&mut harness), Some(set(0, 8, &[])));
    // An entry that has started since hears that there was one.
    let mut started = two_zones();
    read(&mut started, set(0, 8, &[]));
    assert_eq!(zones(&mut started), None);
    hear(&mut started, 1, Some(set(0, 7, &["west"])));
    assert_eq!(zones(&mut started), Some(set(0, 8, &[])));
    assert_eq!(zones_called(&mut started, "/look/1"), names(&ZONES));
}

/// Load pattern: the operator's topic names more zones than there can be. Reports still fit
/// into a datagram, and the log says once which zones aren't in force.
#[test]
fn zones_beyond_the_most_are_passed_over_and_logged() {
    let names: Vec<String> = (0..200)
        .map(|index| format!("{index:0>MAX_NAME_BYTES$}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let passed_over = |effects: &[DispatchEffect]| {
        let reasons = reasons(effects).into_iter();
        let passed_over = reasons.filter(|(_, reason)| *reason == "passed-over");
        passed_over.map(|(zone, _)| zone).collect::<Vec<_>>()
    };
    let mut harness = two_zones();
    let effects = read(&mut harness, set(0, 7, &names));
    assert_eq!(passed_over(&effects), names[MAX_EVACUATED_ZONES..]);
    assert_eq!(reasons(&effects).len(), names.len());
    for report in reports(&mut harness) {
        let zones = report.zones.as_ref().expect("the zones");
        assert_eq!(zones.zones.len(), MAX_EVACUATED_ZONES);
        let mut bytes = Vec::new();
        ciborium::into_writer(&report, &mut bytes).expect("encodable");
        assert!(bytes.len() < 4_096, "{} bytes", bytes.len());
    }
    assert_eq!(passed_over(&read(&mut harness, set(0, 8, &names))), [""; 0]);
    // One that was in force gives way to one that comes before it in the order of names.
    let before: Vec<&str> = names.iter().copied().chain(["-"]).collect();
    let effects = read(&mut harness, set(0, 9, &before));
    let expected = [
        ("-", "evacuated"),
        (names[MAX_EVACUATED_ZONES - 1], "passed-over"),
    ];
    let expected = expected.map(|(zone, reason)| (zone.to_owned(), reason));
    assert_eq!(reasons(&effects), expected);
    // Entries that hear of the set know the same zones.
    let mut peer = two_zones();
    hear(&mut peer, 1, Some(set(0, 9, &before)));
    let zones = |harness: &mut Harness| reports(harness).pop().expect("a report").zones;
    assert_eq!(zones(&mut peer), zones(&mut harness));
    let effects = read(&mut harness, set(0, 10, &[]));
    assert_eq!(reasons(&effects).len(), MAX_EVACUATED_ZONES);
}

/// An evacuation is reported as soon as a changed load would be.
#[test]
fn a_change_of_a_zone_is_reported_at_once() {
    let mut harness = two_zones();
    harness.sim.advance(Duration::from_millis(410));
    for (offset, zones) in [(7, &["west"][..]), (8, &[])] {
        let mut effects = read(&mut harness, set(0, offset, zones));
        effects.extend(harness.sim.advance(Duration::from_millis(60)));
        let expected = Some(set(0, offset, zones));
        let is_reported = |effect: &DispatchEffect| matches!(effect, DispatchEffect::Report(report) if report.zones == expected);
        assert!(effects.iter().any(is_reported), "{zones:?}");
    }
}

/// The operator's topic, as a list of writes.
#[derive(Default)]
struct Topic(Vec<(&'static str, bool)>);

impl Topic {
    /// Returns the set as of an offset.
    fn as_of(&self, offset: usize) -> ZoneSet {
        let mut zones = BTreeSet::new();
        for (zone, evacuated) in &self.0[..offset] {
            if *evacuated {
                zones.insert(*zone);
            } else {
                zones.remove(zone);
            }
        }
        let zones: Vec<&str> = zones.into_iter().collect();
        set(0, offset as u64, &zones)
    }
}

struct FleetEntry {
    harness: Harness,
    is_refused: bool,
    is_ready: bool,
}

/// Load pattern: random evacuations of two zones, some taken back within a second, at four
/// entries under calls. Fault: the store refuses all entries but one, by turns; lists are
/// stale; three in ten reports are lost; entries start again, all at once too.
#[test]
fn no_entry_sends_to_a_zone_that_was_evacuated_for_seconds() {
    for seed in 0..6 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let step = Duration::from_millis(100);
        let mut topic = Topic::default();
        let mut since: BTreeMap<&str, u32> = BTreeMap::new();
        let start = || FleetEntry {
            harness: two_zones(),
            is_refused: false,
            is_ready: false,
        };
        let mut entries: Vec<FleetEntry> = (0..4).map(|_| start()).collect();
        let mut in_flight: Vec<(usize, LoadReport)> = Vec::new();
        let mut served = BTreeSet::new();
        for tick in 0..600_u32 {
            if rng.random_bool(0.03) {
                let zone = *ZONES.choose(&mut rng).expect("zones");
                let evacuated = !since.contains_key(zone);
                topic.0.push((zone, evacuated));
                if evacuated {
                    since.insert(zone, tick);
                } else {
                    since.remove(zone);
                }
            }
            if rng.random_bool(0.05) {
                let spared = rng.random_range(0..entries.len());
                for (index, entry) in entries.iter_mut().enumerate() {
                    entry.is_refused = index != spared && rng.random_bool(0.5);
                }
            }
            if rng.random_bool(0.01) {
                entries = (0..4).map(|_| start()).collect();
            } else if rng.random_bool(0.05) {
                let index = rng.random_range(0..entries.len());
                let is_refused = entries[index].is_refused;
                entries[index] = FleetEntry {
                    is_refused,
                    ..start()
                };
            }
            let arrived = std::mem::take(&mut in_flight);
            for (index, entry) in entries.iter_mut().enumerate() {
                if !entry.is_refused && rng.random_bool(0.3) {
                    let is_stale = entry.is_ready && rng.random_bool(0.2);
                    let behind = if is_stale { rng.random_range(0..3) } else { 0 };
                    let offset = topic.0.len().saturating_sub(behind);
                    read(&mut entry.harness, topic.as_of(offset));
                    entry.is_ready = true;
                }
                for (_, report) in arrived.iter().filter(|(from, _)| *from != index) {
                    if rng.random_bool(0.7) {
                        let mut report = report.clone();
                        report.entry = format!("entry-{}", report.number % 7)
                            .as_str()
                            .try_into()
                            .expect("a name");
                        entry.is_ready = true;
                        let event = DispatchEvent::PeerReported(Box::new(report));
                        entry.harness.sim.event(event);
                    }
                }
                let (call, effects) = entry.harness.call("/look/1", 3_000);
                let called = zone_of(&effects, call).filter(|_| entry.is_ready);
                let whole = true;
                let mut effects = entry
                    .harness
                    .sim
                    .event(DispatchEvent::Ended { call, whole });
                effects.extend(entry.harness.sim.advance(step));
                let reports = effects.into_iter().filter_map(|effect| match effect {
                    DispatchEffect::Report(report) => Some((index, *report)),
                    _ => None,
                });
                in_flight.extend(reports.filter(|_| entry.is_ready));
                let Some(called) = called else {
                    continue;
                };
                let evacuated_for = since.get(called.as_str()).map(|at| step * (tick - at));
                let is_late = evacuated_for.is_some_and(|time| time > MAX_DELAY);
                assert!(
                    !is_late,
                    "seed {seed}, {tick}: {called} for {evacuated_for:?}"
                );
                served.insert(called);
            }
        }
        assert_eq!(served, names(&ZONES), "seed {seed}: both zones get calls");
    }
}
