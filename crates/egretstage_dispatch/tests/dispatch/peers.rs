//! Load reports of other entries, and the sums of the reported calls.

use crate::support::Harness;
use egretstage_dispatch::harmful_requests::RunEnd;
use egretstage_dispatch::start_limits::JOIN_DELAY;
use egretstage_dispatch::{
    CallRate, DispatchEffect, DispatchEvent, GroupCost, HarmfulParts, HarmfulRequests, LimitReport,
    LoadReport, PeerLoads, PromptPart, RequestHash, RequestReport, StartLimits, SuspectReport,
    TopicPosition, UpstreamLoad, UpstreamLoads, UpstreamStart, UpstreamTag, ZoneSet, ZoneTag,
};
use egretstage_wire::InstanceId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Bandwidth that reports may take: a twentieth of the slowest entry's link of
/// 40 Mbit/s.
const MAX_REPORT_BYTES_PER_S: usize = 5_000_000 / 20;

/// The sequence number of a report, its time of arrival, and its loads.
type ReceivedReport = (u64, Instant, Vec<(u32, u16)>);

fn name(index: u32) -> InstanceId {
    format!("i-{index:08x}")
        .as_str()
        .try_into()
        .expect("valid name")
}

fn report(entry: u32, number: u64, loads: &[(u32, u16)]) -> LoadReport {
    let load = |(upstream, calls): &(u32, u16)| UpstreamLoad {
        upstream: UpstreamTag::from(&name(*upstream)),
        calls: *calls,
    };
    LoadReport {
        entry: format!("entry-{entry}")
            .as_str()
            .try_into()
            .expect("valid name"),
        incarnation: 1,
        number,
        configuration: 1,
        loads: loads.iter().map(load).collect(),
        costs: SmallVec::new(),
        zones: None,
        suspects: SuspectReport::default(),
        limits: LimitReport::default(),
        zone: None,
        requests: egretstage_dispatch::RequestReport::default(),
    }
}

/// Load pattern: reports arrive out of order, and entries stop reporting and come
/// back. The sums include exactly the newest reports that have not expired.
#[test]
fn sums_follow_reports_that_arrive_out_of_order_and_stop() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut peers = PeerLoads::default();
        let mut now = Instant::now();
        let mut newest: HashMap<u32, ReceivedReport> = HashMap::new();
        for _ in 0..200 {
            now += Duration::from_millis(rng.random_range(1..300));
            let entry = rng.random_range(0..5);
            let number = rng.random_range(1..400);
            let load_count = rng.random_range(0..4);
            let loads: Vec<(u32, u16)> = (0..load_count)
                .map(|_| (rng.random_range(0..6), rng.random_range(0..9)))
                .collect();
            peers.apply_report(now, report(entry, number, &loads));
            if newest.get(&entry).is_none_or(|(known, ..)| *known < number) {
                newest.insert(entry, (number, now, loads));
            }
            peers.remove_expired(now);
            newest.retain(|_, (_, at, _)| now - *at < Duration::from_millis(1_500));
            for upstream in 0..6 {
                let loads = newest.values().flat_map(|(_, _, loads)| loads);
                let of_upstream = loads.filter(|(loaded, _)| *loaded == upstream);
                let sum: u32 = of_upstream.map(|(_, calls)| u32::from(*calls)).sum();
                let tag = UpstreamTag::from(&name(upstream));
                assert_eq!(peers.calls_at(tag), sum, "seed {seed}");
            }
        }
    }
}

/// Load pattern: 34 entries, each of which runs 30 calls at 30 of 192 upstreams,
/// and whose load changes each time that a call begins or ends.
#[test]
fn reports_of_many_entries_take_a_small_share_of_a_link() {
    let mut harness = Harness::ready();
    for entry in 0..33 {
        let report = Box::new(report(entry, 1, &[]));
        harness.sim.event(DispatchEvent::PeerReported(report));
    }
    let mut reports = 0;
    for step in 0..100 {
        let (_, mut effects) = harness.call("/look/1", 3_000);
        effects.extend(harness.sim.advance(Duration::from_millis(10)));
        if step % 30 == 0 {
            for entry in 0..33 {
                let report = Box::new(report(entry, 2 + step, &[]));
                effects.extend(harness.sim.event(DispatchEvent::PeerReported(report)));
            }
        }
        let sent = effects.iter();
        reports += sent
            .filter(|effect| matches!(effect, DispatchEffect::Report(_)))
            .count();
    }
    let loads: Vec<(u32, u16)> = (0..30).map(|upstream| (upstream, 1)).collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&report(0, 1 << 20, &loads), &mut bytes).expect("it can be encoded");
    let per_second = bytes.len() * 33 * reports;
    assert!(
        per_second <= MAX_REPORT_BYTES_PER_S,
        "{} bytes, {reports} times a second: {per_second}",
        bytes.len()
    );
}

/// A report of `entry-7` as the release before the suspect parts wrote it.
const REPORT_OF_OLDER_RELEASE: &str = "a6616567656e7472792d3761691851616e0c617603616c46365e77\
    2a0005616781821a53c3bd2ff93e00";

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().collect();
    let bytes = digits.chunks_exact(2).map(|pair| {
        let pair = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("a byte")
    });
    bytes.collect()
}

/// A report of `entry-7` with suspect parts, as a4e08f4 wrote it: the last build before the
/// limits of upstreams and the suspect requests.
const REPORT_WITHOUT_LIMITS: &str = "a7616567656e7472792d37616901616e0c617601616c46e00c398e0005\
    6167806170a1617382a461701b6a1bf2d5cfc7e39361751ae5ca4c11616c1ac05ccb53616100a461701b6a1bf2\
    d5cfc7e39361751ac15d1b6d616c1a495963cb616100";

#[test]
fn a_report_without_limits_is_read() {
    let bytes = decode_hex(REPORT_WITHOUT_LIMITS);
    let report: LoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    assert_eq!((report.entry.as_str(), report.number), ("entry-7", 12));
    assert!(!report.suspects.is_empty());
    assert!(report.limits.is_empty() && report.requests.is_empty());
    let mut written = Vec::new();
    ciborium::into_writer(&report, &mut written).expect("encodable");
    assert_eq!(written, bytes, "without limits, nothing has changed");
}

/// A report of `entry-7` with a limit and a suspect request, as c225cd6 wrote it: the last build
/// before the evacuated zones.
const REPORT_WITHOUT_ZONES: &str = "a8616567656e7472792d37616901616e0c617601616c46e00c398e0005\
    6167806171a1617381a461720761751ae5ca4c116161006164183c6174a26168f5616c81a461751ae5ca4c116172\
    1909c461611907d0616400";

#[test]
fn a_report_without_zones_is_read() {
    let bytes = decode_hex(REPORT_WITHOUT_ZONES);
    let report: LoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    assert_eq!((report.entry.as_str(), report.number), ("entry-7", 12));
    assert!(!report.limits.is_empty() && !report.requests.is_empty());
    assert_eq!(report.zones, None);
    let mut written = Vec::new();
    ciborium::into_writer(&report, &mut written).expect("encodable");
    assert_eq!(written, bytes, "without zones, nothing has changed");
}

/// The report as c225cd6 declares it.
#[derive(serde::Deserialize)]
struct LoadReportWithoutZones {
    #[serde(rename = "e")]
    entry: InstanceId,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "v")]
    configuration: u64,
    #[serde(rename = "l")]
    loads: UpstreamLoads,
    #[serde(rename = "g", default)]
    costs: SmallVec<[GroupCost; 4]>,
    #[serde(rename = "p", default)]
    suspects: SuspectReport,
    #[serde(rename = "q", default)]
    requests: RequestReport,
    #[serde(rename = "t", default)]
    limits: LimitReport,
}

#[test]
fn a_report_with_zones_is_read_by_an_older_release() {
    let bytes = decode_hex(REPORT_WITHOUT_ZONES);
    let report: LoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    let zones = ["east", "west"].map(|name| name.try_into().expect("valid name"));
    let position = TopicPosition { era: 1, offset: 9 };
    for zones in [zones.into_iter().collect(), SmallVec::new()] {
        let mut report = report.clone();
        report.zones = Some(ZoneSet { position, zones });
        report.zone = Some(ZoneTag::from(&"east".try_into().expect("valid name")));
        assert_read_by_both_releases(&report);
        let mut bytes = Vec::new();
        ciborium::into_writer(&report, &mut bytes).expect("encodable");
        let older: LoadReportWithoutZones = ciborium::from_reader(&bytes[..]).expect("a report");
        let read = LoadReport {
            entry: older.entry,
            incarnation: older.incarnation,
            number: older.number,
            configuration: older.configuration,
            loads: older.loads,
            costs: older.costs,
            suspects: older.suspects,
            requests: older.requests,
            limits: older.limits,
            zones: report.zones.clone(),
            zone: report.zone,
        };
        assert_eq!(read, report);
    }
}

/// Asserts that a report of `entry-7` with number 12 is read by an older release, and that
/// this one reads what it has written.
fn assert_read_by_both_releases(report: &LoadReport) {
    let mut bytes = Vec::new();
    ciborium::into_writer(report, &mut bytes).expect("encodable");
    let older: OlderLoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    assert_eq!((older.entry.as_str(), older.number), ("entry-7", 12));
    let read: LoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    assert_eq!(read, *report);
}

#[test]
fn a_report_with_limits_is_read_by_an_older_release() {
    let mut report = report(7, 12, &[(1, 5)]);
    let now = Instant::now();
    let mut limits = StartLimits::new(now, report.entry.clone(), report.incarnation);
    let upstream = crate::support::upstream("i-1", "drafting", None);
    let rate = CallRate::try_from(2.5).expect("a rate");
    limits.record_answer(now, UpstreamStart::from(&upstream), Some(rate));
    report.limits = limits.report(now + JOIN_DELAY, 1);
    assert!(!report.limits.is_empty());
    assert_read_by_both_releases(&report);
}

#[test]
fn a_report_with_suspect_requests_is_read_by_an_older_release() {
    let mut report = report(7, 12, &[(1, 5)]);
    let now = Instant::now();
    let mut requests = HarmfulRequests::default();
    let upstream = crate::support::upstream("i-1", "booking", None);
    let end = RunEnd {
        upstream: UpstreamStart::from(&upstream),
        began: now,
        at: now + Duration::from_millis(60),
    };
    requests.record_end(RequestHash(7), end);
    report.requests = requests.take_report(end.at);
    assert!(!report.requests.is_empty());
    assert_read_by_both_releases(&report);
}

#[test]
fn a_report_with_a_zone_is_read_by_an_older_release() {
    let mut report = report(7, 12, &[(1, 5)]);
    let zone = "west".try_into().expect("valid name");
    report.zone = Some(ZoneTag::from(&zone));
    assert_read_by_both_releases(&report);
}

/// Load pattern: an upgrade replaces the entries one after the other.
#[test]
fn a_report_of_an_older_release_is_read() {
    let bytes = decode_hex(REPORT_OF_OLDER_RELEASE);
    let report: LoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    assert_eq!(report.entry.as_str(), "entry-7");
    assert_eq!((report.incarnation, report.number), (81, 12));
    assert_eq!(report.loads.iter().map(|load| load.calls).sum::<u16>(), 5);
    assert!(report.suspects.is_empty());
    let mut written = Vec::new();
    ciborium::into_writer(&report, &mut written).expect("encodable");
    assert_eq!(written, bytes, "without suspects, nothing has changed");
}

/// The fields of a report that entries of the older release read.
#[derive(serde::Deserialize)]
struct OlderLoadReport {
    #[serde(rename = "e")]
    entry: InstanceId,
    #[serde(rename = "n")]
    number: u64,
}

#[test]
fn a_report_with_suspects_is_read_by_an_older_release() {
    let mut report = report(7, 12, &[(1, 5)]);
    let mut parts = HarmfulParts::default();
    let now = Instant::now();
    let prompt = ["shared", "own"].map(PromptPart::from);
    let end = UpstreamStart::from(&crate::support::upstream("i-1", "drafting", None));
    parts.record_end(now, end, &prompt.into_iter().collect());
    report.suspects = parts.take_report(now);
    assert!(!report.suspects.is_empty());
    let mut bytes = Vec::new();
    ciborium::into_writer(&report, &mut bytes).expect("encodable");
    let older: OlderLoadReport = ciborium::from_reader(&bytes[..]).expect("a report");
    assert_eq!((older.entry.as_str(), older.number), ("entry-7", 12));
}
