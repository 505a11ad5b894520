//! The share of a zone's calls that leaves it, over several entries.

use crate::fleet::{Fleet, ZoneLayout};
use crate::support::upstream;
use egretstage_dispatch::placement::{ZonePreference, choose};
use egretstage_dispatch::zone_shares::{ShareReason, ZoneLoad, ZoneShare, plan};
use egretstage_dispatch::{CallRate, DispatchLimits, UpstreamState, Upstreams};
use egretstage_wire::ZoneName;
use smallvec::{SmallVec, smallvec};
use std::time::{Duration, Instant};

/// Time of a call in a slot.
const WORK: Duration = Duration::from_millis(200);

/// Objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Wait at home that outweighs the bytes of a call that leaves.
const COST: Duration = Duration::from_millis(10);

/// Calls per second that the upstreams of one zone serve: two of six slots each.
const ZONE_ROOM: f64 = 60.0;

/// Time in which the shares follow a change of the load: the smoothing, and sixteen steps
/// back.
const SETTLE: Duration = Duration::from_secs(7);

/// Time over which calls are counted.
const SPAN: Duration = Duration::from_secs(10);

/// Age of reports at entries that hear each other late.
const OLD: Duration = Duration::from_secs(1);

/// Most that leaves a zone in calm.
const MAX_CALM_SHARE: f64 = 0.02;

const ZONES: [&str; 3] = ["east", "mid", "west"];
const PLAIN: &str = "/look/1";
const STREAM: &str = "/draft/1";

fn new_fleet(seed: u64, cost: Option<Duration>, is_group_over_zones: bool) -> Fleet {
    let layout = ZoneLayout {
        zones: ZONES.to_vec(),
        entries: 2,
        desks: 2,
        ranks: 8,
        is_group_over_zones,
    };
    let limits = DispatchLimits {
        cross_zone_cost: cost,
        ..DispatchLimits::default()
    };
    let mut fleet = Fleet::in_zones(seed, &layout, limits);
    fleet.work = Some(WORK);
    fleet
}

/// Returns two entries and two upstreams without a group in each of three zones.
fn fleet(seed: u64) -> Fleet {
    new_fleet(seed, Some(COST), true)
}

/// Returns the rates of the entries if the zones' callers want these shares of their room.
fn rates(wanted: [f64; 3]) -> [f64; 6] {
    let of_entry = |entry: usize| wanted[entry / 2] * ZONE_ROOM / 2.0;
    std::array::from_fn(of_entry)
}

/// What the callers of a zone got in a span of time.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Share of the calls that left the zone.
    out: f64,
    /// Share of the answers that were in time.
    in_time: f64,
    /// Calls that upstreams of the zone got.
    arrivals: usize,
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn share(part: usize, all: usize) -> f64 {
    part as f64 / all.max(1) as f64
}

/// Returns what the callers of each zone got from a time on.
fn seen(fleet: &Fleet, from: Instant) -> [Seen; 3] {
    ZONES.map(|zone| {
        let sent = fleet.sent.iter().filter(|sent| sent.at >= from);
        let of_zone = sent
            .clone()
            .filter(|s| fleet.zone_of_entry(s.entry) == zone);
        let out = of_zone
            .clone()
            .filter(|s| fleet.zone_of(&s.instance) != zone);
        let answered = fleet.answered.iter().filter(|answer| answer.at >= from);
        let answered = answered.filter(|a| fleet.zone_of_entry(a.entry) == zone);
        let in_time = answered.clone().filter(|a| a.latency <= OBJECTIVE);
        Seen {
            out: share(out.count(), of_zone.count()),
            in_time: share(in_time.count(), answered.count()),
            arrivals: sent.filter(|s| fleet.zone_of(&s.instance) == zone).count(),
        }
    })
}

/// Runs a load until the shares have settled, and then for a span.
fn play(fleet: &mut Fleet, path: &str, wanted: [f64; 3]) -> [Seen; 3] {
    fleet.run(SETTLE, path, &rates(wanted));
    let from = fleet.now();
    fleet.run(SPAN, path, &rates(wanted));
    seen(fleet, from)
}

/// Runs a load for a span; returns the share of the calls that left the first zone, in each
/// second.
fn shares_by_second(fleet: &mut Fleet, wanted: [f64; 3]) -> Vec<f64> {
    let seconds = 0..SPAN.as_secs();
    let of_second = |_| {
        let from = fleet.now();
        fleet.run(Duration::from_secs(1), PLAIN, &rates(wanted));
        seen(fleet, from)[0].out
    };
    seconds.map(of_second).collect()
}

/// Load pattern: calm, with reports that are new or a second old. Nearly nothing leaves a
/// zone.
#[test]
fn calls_stay_at_home_in_calm() {
    for (seed, delay) in [(1, Duration::from_millis(10)), (2, OLD)] {
        let mut fleet = fleet(seed);
        fleet.report_delay = delay;
        for zone in play(&mut fleet, PLAIN, [0.4, 0.3, 0.4]) {
            assert!(zone.out <= MAX_CALM_SHARE, "{zone:?}");
            assert!(zone.in_time >= 0.99, "{zone:?}");
        }
    }
}

/// Load pattern: a zone at 1.5 times its room beside two idle ones. Calls leave it, its own
/// upstreams stay in use, and all callers are in time; the others' callers stay at home.
/// After the peak, the calls return.
#[test]
fn calls_leave_a_zone_beyond_its_room_and_return() {
    for seed in 0..3 {
        let mut fleet = fleet(seed);
        let [busy, idle @ ..] = play(&mut fleet, PLAIN, [1.5, 0.2, 0.2]);
        let zones = [
            load("east", 12.0, 18.0),
            load("mid", 12.0, 2.4),
            load("west", 12.0, 2.4),
        ];
        let planned = plan(&zones[0].zone, &zones, 200.0, 10.0).out;
        let difference = (busy.out - f64::from(planned)).abs();
        assert!(difference <= 0.125, "{busy:?}, planned {planned}");
        let in_use = share(busy.arrivals, 1) / (ZONE_ROOM * SPAN.as_secs_f64());
        assert!(in_use >= 0.5, "home stays in use: {in_use}");
        assert!(busy.in_time >= 0.99, "{busy:?}");
        for zone in idle {
            assert!(zone.in_time >= 0.99, "{zone:?}");
            assert!(zone.out <= MAX_CALM_SHARE, "{zone:?}");
        }
        for zone in play(&mut fleet, PLAIN, [0.3, 0.2, 0.2]) {
            assert!(zone.out <= MAX_CALM_SHARE, "{zone:?}");
        }
    }
}

/// Load pattern: waves of another phase in each zone, of 0.5 to 1.1 times the room. In sum,
/// there is room: callers are in time, and fewer calls leave than stay.
#[test]
fn waves_of_another_phase_are_evened_out() {
    let mut fleet = fleet(5);
    fleet.run(SETTLE, PLAIN, &rates([0.5, 0.5, 0.5]));
    let from = fleet.now();
    for high in [0, 1, 2, 0, 1, 2] {
        let mut wanted = [0.5; 3];
        wanted[high] = 1.1;
        fleet.run(Duration::from_secs(4), PLAIN, &rates(wanted));
    }
    for zone in seen(&fleet, from) {
        assert!(zone.in_time >= 0.95, "{zone:?}");
        assert!(zone.out < 0.5, "{zone:?}");
    }
}

/// Load pattern: all zones want 1.2 times their room. Nobody leaves for nothing, nor do calls
/// cross each other when reports are old.
#[test]
fn nobody_leaves_when_all_zones_are_full() {
    for (seed, delay, most_out) in [
        (1, Duration::from_millis(10), MAX_CALM_SHARE),
        // The view of who has room is a second old.
        (2, OLD, 0.25),
    ] {
        let mut fleet = fleet(seed);
        fleet.report_delay = delay;
        for zone in play(&mut fleet, PLAIN, [1.2, 1.2, 1.2]) {
            assert!(zone.out <= most_out, "{zone:?}");
        }
    }
}

/// Load pattern: a zone at 1.5 times its room, on reports that are a second old, some of
/// which are lost. All entries decide at once; the share doesn't swing.
#[test]
fn shares_do_not_swing_on_old_reports() {
    for (seed, lost) in [(1, 0), (2, 30)] {
        let mut fleet = fleet(seed);
        fleet.report_delay = OLD;
        fleet.lost_reports = lost;
        let zones = play(&mut fleet, PLAIN, [1.5, 0.2, 0.2]);
        let shares = shares_by_second(&mut fleet, [1.5, 0.2, 0.2]);
        let lowest = shares.iter().copied().fold(1.0, f64::min);
        let highest = shares.iter().copied().fold(0.0, f64::max);
        assert!(lowest >= 0.25 && highest <= 0.8, "{shares:?}");
        for zone in zones {
            assert!(zone.in_time >= 0.85, "{zone:?}");
        }
    }
}

/// Fault: one entry isn't heard. Its calls count nowhere, yet the others' callers are served
/// in time.
#[test]
fn an_entry_that_is_not_heard_does_not_mislead_the_others() {
    let mut fleet = fleet(4);
    fleet.set_cut_off(1, true);
    let zones = play(&mut fleet, PLAIN, [1.4, 0.2, 0.2]);
    for zone in zones {
        assert!(zone.in_time >= 0.9, "{zone:?}");
    }
    assert!(zones[0].out > 0.1, "{zones:?}");
}

/// Fault: the upstreams of a zone take no calls. All of its calls leave; those of the other
/// zones stay, and all are in time. Afterwards its calls return.
#[test]
fn all_calls_leave_a_zone_without_upstreams() {
    let mut fleet = fleet(6);
    fleet.run(SETTLE, PLAIN, &rates([0.6, 0.4, 0.4]));
    let set = |fleet: &mut Fleet, state| {
        fleet.change_upstreams(|listed| {
            if listed.zone.as_str() == ZONES[0] {
                listed.state = state;
            }
        });
    };
    set(&mut fleet, UpstreamState::Draining);
    let [lost, others @ ..] = play(&mut fleet, PLAIN, [0.6, 0.4, 0.4]);
    assert!(lost.out >= 1.0 && lost.arrivals == 0, "{lost:?}");
    let mut lines = fleet.share_lines.iter();
    let (_, line) = lines.rfind(|(entry, _)| *entry == 0).expect("a log line");
    assert_eq!(
        (line.reason, line.share_out),
        (Some("home-is-lost"), Some(1.0))
    );
    for zone in others {
        assert!(zone.out <= 0.1 && zone.in_time >= 0.99, "{zone:?}");
    }
    set(&mut fleet, UpstreamState::Ready);
    let [back, ..] = play(&mut fleet, PLAIN, [0.4, 0.3, 0.3]);
    assert!(back.out <= MAX_CALM_SHARE, "{back:?}");
}

/// Load pattern: the operator evacuates a zone under load and takes it back. All of its calls
/// leave while it is evacuated, those of the other zones stay, and it gets its calls back.
#[test]
fn all_calls_leave_an_evacuated_zone_and_return() {
    let wanted = [0.6, 0.4, 0.4];
    let mut fleet = fleet(10);
    fleet.run(SETTLE, PLAIN, &rates(wanted));
    fleet.read_zones(1, &[ZONES[0]]);
    let [evacuated, others @ ..] = play(&mut fleet, PLAIN, wanted);
    assert!(evacuated.arrivals == 0, "{evacuated:?}");
    for zone in others.iter().chain([&evacuated]) {
        assert!(zone.in_time >= 0.99, "{zone:?}");
    }
    for zone in others {
        // As without upstreams there: at 0.7 of the room, a home is full at times.
        assert!(zone.out <= 0.1, "{zone:?}");
    }
    fleet.read_zones(2, &[]);
    for zone in play(&mut fleet, PLAIN, [0.4, 0.3, 0.3]) {
        assert!(zone.out <= MAX_CALM_SHARE, "{zone:?}");
        assert!(zone.arrivals > 0 && zone.in_time >= 0.99, "{zone:?}");
    }
    assert!(fleet.refusals.is_empty(), "{:?}", fleet.refusals);
}

/// Returns the answers in time for callers of a zone in which so many of four upstreams are
/// left, beside zones at this part of their room; a limit holds for the first upstream.
fn answers_in_time(left: usize, others: f64, limit: Option<CallRate>) -> usize {
    let layout = ZoneLayout {
        zones: ZONES.to_vec(),
        entries: 2,
        desks: 4,
        ranks: 8,
        is_group_over_zones: true,
    };
    let limits = DispatchLimits {
        cross_zone_cost: Some(COST),
        ..DispatchLimits::default()
    };
    let of_seed = |seed| {
        let mut fleet = Fleet::in_zones(seed, &layout, limits);
        fleet.work = Some(WORK);
        let desks = (0..4).map(|desk| format!("desk-{}-{desk}", ZONES[0]));
        let desks: Vec<String> = desks.collect();
        if let Some(limit) = limit {
            let name = desks[0].as_str().try_into().expect("valid name");
            fleet.limits.insert(name, limit);
        }
        fleet.change_upstreams(|listed| {
            if desks[left..].iter().any(|d| d == listed.instance.as_str()) {
                listed.state = UpstreamState::Draining;
            }
        });
        // Four upstreams are twice the room that the rates count with.
        let wanted = rates([1.6, others * 2.0, others * 2.0]);
        fleet.run(SETTLE, PLAIN, &wanted);
        let from = fleet.now();
        fleet.run(SPAN, PLAIN, &wanted);
        let answered = fleet.answered.iter().filter(|a| a.at >= from);
        let of_zone = answered.filter(|a| fleet.zone_of_entry(a.entry) == ZONES[0]);
        of_zone.filter(|a| a.latency <= OBJECTIVE).count()
    };
    (0..2).map(of_seed).sum()
}

/// Fault: one of four upstreams of a zone remains beside nearly full zones, with or without a
/// limit of one call per second. The zone's callers get no fewer answers in time than with none
/// left.
#[test]
fn one_upstream_left_at_home_is_no_worse_than_none() {
    let limit = CallRate::try_from(1.0).expect("a rate");
    for others in [0.85, 0.95] {
        let none = answers_in_time(0, others, None);
        for limit in [None, Some(limit)] {
            let one = answers_in_time(1, others, limit);
            assert!(one >= none, "{one} with one left, {none} with none");
        }
    }
}

/// Fault: no upstream with an answer time is left. The share doesn't stay as it was.
#[test]
fn a_share_ends_when_no_answer_time_is_known() {
    let mut fleet = fleet(11);
    fleet.run(SETTLE, PLAIN, &rates([1.5, 0.2, 0.2]));
    fleet.change_upstreams(|listed| listed.state = UpstreamState::Draining);
    fleet.run(Duration::from_secs(2), PLAIN, &[0.0]);
    let mut lines = fleet.share_lines.iter();
    let (_, line) = lines.rfind(|(entry, _)| *entry == 0).expect("a log line");
    assert_eq!(
        (line.reason, line.share_out),
        (Some("home-has-room"), Some(0.0))
    );
}

/// Load pattern: a zone without upstreams wants more than the others have left after their own
/// callers, who must not wait for it.
#[test]
fn a_lost_zone_does_not_push_out_the_callers_of_others() {
    let mut fleet = fleet(7);
    fleet.change_upstreams(|listed| {
        if listed.zone.as_str() == ZONES[0] {
            listed.state = UpstreamState::Draining;
        }
    });
    let [lost, others @ ..] = play(&mut fleet, PLAIN, [1.2, 0.7, 0.7]);
    for zone in others {
        assert!(zone.in_time > lost.in_time, "{lost:?}, {zone:?}");
        assert!(zone.in_time >= 0.99, "{zone:?}");
        assert!(zone.out <= 0.1, "{zone:?}");
    }
}

/// Returns the streams of the ranks of a group, by the zone of each rank, from all entries.
fn most_and_mean(fleet: &Fleet) -> (f64, f64) {
    let counts = fleet.running_streams();
    let most = counts.iter().copied().max().unwrap_or(0);
    (share(most, 1), share(counts.iter().sum(), counts.len()))
}

/// Load pattern: one group over three zones, and one zone with a third more callers, or with
/// five times as many. No rank carries more than with the slight preference; most streams run
/// at home if that is possible.
#[test]
fn streams_run_at_home_without_an_uneven_group() {
    let observe = |cost: Option<Duration>, wanted: [f64; 3]| {
        let mut fleet = new_fleet(8, cost, true);
        fleet.work = None;
        fleet.run(SETTLE, STREAM, &rates(wanted));
        let from = fleet.now();
        let mut excess = 0.0;
        for _ in 0..100 {
            fleet.run(Duration::from_millis(100), STREAM, &rates(wanted));
            let (most, mean) = most_and_mean(&fleet);
            excess += most - mean;
        }
        (seen(&fleet, from), excess / 100.0)
    };
    for (wanted, most_out) in [([1.0, 1.0, 1.33], 0.7), ([0.3, 0.3, 1.5], 1.0)] {
        let (slight, slight_excess) = observe(None, wanted);
        let (chosen, excess) = observe(Some(COST), wanted);
        // A stream of one rank is a pass that is longer for all.
        assert!(excess <= slight_excess + 0.5, "{excess}, {slight_excess}");
        for (chosen, slight) in chosen.iter().zip(&slight) {
            assert!(chosen.out < slight.out * most_out, "{chosen:?}, {slight:?}");
        }
    }
}

/// Each pass waits for the most loaded rank: a stream runs at home if that makes no rank carry
/// more than an even share, and with a group under load, at the least loaded rank.
#[test]
fn bytes_do_not_count_in_a_group_under_load() {
    let now = Instant::now();
    let mut upstreams = Upstreams::default();
    for (rank, zone, calls) in [
        (0, "east", 2),
        (1, "east", 3),
        (2, "west", 1),
        (3, "west", 3),
    ] {
        let mut listed = upstream(&format!("rank-{rank}"), "drafting", Some("g"));
        listed.zone = zone.try_into().expect("valid name");
        listed.address.set_port(1_000 + rank);
        let key = upstreams.upsert(listed);
        upstreams.get_mut(key).expect("an upstream").own_calls = calls;
    }
    let home = "east".try_into().expect("valid name");
    let service = "drafting".try_into().expect("valid name");
    for (ranks_may_differ, expected) in [(true, "rank-0"), (false, "rank-2")] {
        let zone = ZonePreference::Chosen {
            home: &home,
            chosen: &home,
            ranks_may_differ,
        };
        let key = choose(&upstreams, now, &service, zone, &[], |u| u.listed.slots, 1);
        let chosen = upstreams.get(key.expect("a rank")).expect("an upstream");
        assert_eq!(chosen.listed.instance.as_str(), expected);
    }
}

/// Load pattern: one group over three zones runs more than half of its bound. The choice of the
/// rank is that without a cost: as many streams leave.
#[test]
fn ranks_at_home_do_not_go_first_under_load() {
    let wanted = [2.5; 3];
    let out = |cost| {
        let mut fleet = new_fleet(12, cost, true);
        fleet.work = None;
        fleet.run(Duration::from_secs(2), STREAM, &rates(wanted));
        let from = fleet.now();
        fleet.run(Duration::from_secs(4), STREAM, &rates(wanted));
        seen(&fleet, from).map(|zone| zone.out)
    };
    let (slight, chosen) = (out(None), out(Some(COST)));
    for (chosen, slight) in chosen.iter().zip(slight) {
        // Three standard errors of the difference between two shares of 600 streams.
        assert!((chosen - slight).abs() <= 0.085, "{chosen}, {slight}");
    }
}

/// Load pattern: each group lies in one zone, and one zone has a third more callers. Streams
/// run at home as far as the groups stay even.
#[test]
fn groups_of_one_zone_stay_even() {
    let mut fleet = new_fleet(9, Some(COST), false);
    fleet.work = None;
    let zones = play(&mut fleet, STREAM, [0.9, 0.9, 1.2]);
    let all: usize = zones.iter().map(|zone| zone.arrivals).sum();
    for zone in zones {
        // Without a preference, two of three streams leave.
        assert!(zone.out <= 0.4, "{zone:?}");
        let arrivals = share(zone.arrivals * ZONES.len(), all);
        assert!((0.9..=1.1).contains(&arrivals), "{zone:?} of {all}");
    }
}

fn load(zone: &str, slots: f32, demand: f32) -> ZoneLoad {
    ZoneLoad {
        zone: zone.try_into().expect("valid name"),
        slots,
        demand,
        unknown: 0.0,
    }
}

/// The plans of all zones together, and the shares that follow them from none, never send more
/// to a zone than it has left after its own callers.
#[test]
fn plans_of_all_zones_fit_the_room_that_is_left() {
    for (east, mid, west) in [
        (18.0, 1.0, 1.0),
        (20.0, 17.0, 2.0),
        (9.0, 9.0, 9.0),
        (30.0, 5.0, 11.9),
        (30.0, 11.0, 11.0),
    ] {
        let zones = [
            load("east", 12.0, east),
            load("mid", 12.0, mid),
            load("west", 12.0, west),
        ];
        let mut received = [[0.0; 3]; 2];
        for home in &zones {
            let plan = plan(&home.zone, &zones, 200.0, 10.0);
            let followed = followed_share(&home.zone, &zones);
            let total: f32 = plan.to.iter().map(|(_, left)| left).sum();
            for (zone, left) in &plan.to {
                let index = zones.iter().position(|load| load.zone == *zone);
                let index = index.expect("a zone");
                for (received, out) in received.iter_mut().zip([plan.out, followed]) {
                    received[index] += out * home.demand * left / total;
                }
            }
        }
        for received in received {
            for (zone, received) in zones.iter().zip(received) {
                let left = (zone.slots - zone.demand).max(0.0);
                assert!(received <= left + 0.01, "{received} at {zone:?}");
            }
        }
    }
}

/// Returns the share that follows a plan which doesn't change.
fn followed_share(home: &ZoneName, zones: &[ZoneLoad]) -> f32 {
    let mut share = ZoneShare::default();
    follow(&mut share, Instant::now(), home, zones);
    share.out()
}

/// Lets a share follow loads that don't change until it has settled; returns the time then.
fn follow(share: &mut ZoneShare, mut now: Instant, home: &ZoneName, zones: &[ZoneLoad]) -> Instant {
    let end = now + SETTLE;
    while now < end {
        now += Duration::from_millis(100);
        share.update(now, home, zones.iter().cloned().collect(), 200.0, 10.0);
    }
    now
}

/// A plan of less than half a step ends the share; a larger one of less than a step is
/// followed as it is.
#[test]
fn a_share_follows_a_plan_below_a_step_or_ends() {
    let zones = |west| [load("east", 12.0, 30.0), load("west", 12.0, west)];
    let planned = |west| {
        let zones = zones(west);
        plan(&zones[0].zone, &zones, 200.0, 10.0).out
    };
    let (small, tiny) = (10.3, 11.6);
    assert!(
        planned(small) > 1.0 / 32.0 && planned(small) < 1.0 / 16.0,
        "{}",
        planned(small)
    );
    assert!(
        planned(tiny) > 0.0 && planned(tiny) < 1.0 / 32.0,
        "{}",
        planned(tiny)
    );
    let home = zones(small)[0].zone.clone();
    let mut share = ZoneShare::default();
    let now = follow(&mut share, Instant::now(), &home, &zones(small));
    let difference = (share.out() - planned(small)).abs();
    assert!(difference < 0.001, "{} of {}", share.out(), planned(small));
    follow(&mut share, now, &home, &zones(tiny));
    assert!(share.out() <= 0.0, "{}", share.out());
}

/// A zone without slots is lost, one beyond its slots is busy, and nobody goes where no room
/// is left.
#[test]
fn a_plan_says_why() {
    let reason = |east: (f32, f32), west: (f32, f32)| {
        let zones = [load("east", east.0, east.1), load("west", west.0, west.1)];
        plan(&zones[0].zone, &zones, 200.0, 10.0).reason
    };
    assert_eq!(reason((12.0, 2.0), (12.0, 0.0)), ShareReason::HomeHasRoom);
    assert_eq!(reason((12.0, 14.0), (12.0, 0.0)), ShareReason::HomeIsBusy);
    assert_eq!(reason((0.0, 4.0), (12.0, 0.0)), ShareReason::HomeIsLost);
    assert_eq!(reason((3.0, 8.0), (12.0, 13.0)), ShareReason::HomeIsLost);
    // All are full.
    assert_eq!(
        reason((12.0, 30.0), (12.0, 30.0)),
        ShareReason::NoRoomElsewhere
    );
    assert_eq!(
        reason((12.0, 14.0), (12.0, 13.0)),
        ShareReason::NoRoomElsewhere
    );
}

/// Load pattern: the room elsewhere comes and goes with each report. Calls leave a full home
/// only after there was room for three plans; a lost home isn't held back.
#[test]
fn calls_leave_a_full_home_only_for_room_that_lasts() {
    let zones = |slots, west| -> SmallVec<[ZoneLoad; 4]> {
        smallvec![load("east", slots, 14.0), load("west", 12.0, west)]
    };
    let home = zones(12.0, 0.0)[0].zone.clone();
    let mut share = ZoneShare::default();
    let mut now = Instant::now();
    let mut reason = |slots, west| {
        now += Duration::from_millis(100);
        share.update(now, &home, zones(slots, west), 200.0, 10.0);
        share.reason()
    };
    assert_eq!(reason(12.0, 13.0), ShareReason::NoRoomElsewhere);
    let mut plans = 0;
    while reason(12.0, 0.0) == ShareReason::NoRoomElsewhere {
        plans += 1;
    }
    assert!((2..=5).contains(&plans), "{plans} plans");
    assert_eq!(reason(0.0, 0.0), ShareReason::HomeIsLost);
}

/// Calls leave in the planned share, and to each zone as much as its room allows.
#[test]
fn calls_are_drawn_by_the_share_and_the_room_of_each_zone() {
    let home = "east".try_into().expect("valid name");
    let mut share_out = ZoneShare::default();
    let mut now = Instant::now();
    for _ in 0..20 {
        let (mid, west) = (load("mid", 6.0, 0.0), load("west", 12.0, 0.0));
        share_out.update(
            now,
            &home,
            smallvec![load("east", 0.0, 2.0), mid, west],
            200.0,
            10.0,
        );
        now += Duration::from_millis(200);
    }
    assert!(share_out.out() >= 1.0, "{}", share_out.out());
    let draws = (0..1_000_u64).map(|draw| draw.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let zones: Vec<&str> = draws
        .map(|d| share_out.zone_for(&home, d).as_str())
        .collect();
    let count = |name: &str| zones.iter().filter(|zone| **zone == name).count();
    assert_eq!(count("east"), 0);
    // Twice as many slots wait far less at the same use.
    assert!(
        count("west") > count("mid") && count("mid") > 100,
        "{}",
        count("mid")
    );
}

/// Load pattern: the demand swings around the room within a second. The share changes in few
/// steps, and returns to none after the peak.
#[test]
fn the_share_changes_in_steps_and_returns() {
    let home = "east".try_into().expect("valid name");
    let mut share = ZoneShare::default();
    let mut now = Instant::now();
    let mut follow = |share: &mut ZoneShare, time: Duration, demand: &dyn Fn(u64) -> f32| {
        let mut steps = 0;
        for tick in 0..time.as_millis() / 100 {
            now += Duration::from_millis(100);
            let demand = demand(u64::try_from(tick).expect("a count"));
            let zones: SmallVec<[ZoneLoad; 4]> =
                smallvec![load("east", 12.0, demand), load("west", 12.0, 1.0)];
            steps += u32::from(share.update(now, &home, zones, 200.0, 10.0));
        }
        steps
    };
    let swings = |tick: u64| if tick % 4 < 2 { 10.0 } else { 14.0 };
    follow(&mut share, Duration::from_secs(3), &swings);
    let steps = follow(&mut share, SPAN, &swings);
    assert!(share.out() > 0.1 && steps <= 10, "{steps} steps");
    follow(&mut share, SETTLE, &|_| 1.0);
    assert!(share.out() <= 0.0, "{}", share.out());
}
