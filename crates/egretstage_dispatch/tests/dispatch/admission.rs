//! How a group's bound follows the pauses of its streams.

use egretstage_dispatch::EngineProfile;
use egretstage_dispatch::admission::PauseControl;
use std::time::{Duration, Instant};

const RANKS: u32 = 12;
const MAX_PAUSE: Duration = Duration::from_millis(120);

/// A group with its clock.
struct Group {
    control: PauseControl,
    now: Instant,
}

impl Group {
    fn new() -> Self {
        let engine = EngineProfile {
            slots: 12,
            step_ms: 4.5,
            stream_step_ms: 0.9,
            steps_per_event: 4,
            read_per_s: 60_000.0,
            experts: None,
        };
        Self {
            control: PauseControl::new(engine, MAX_PAUSE),
            now: Instant::now(),
        }
    }

    /// One pass, seen by so many streams.
    fn pass(&mut self, pass_ms: u64, streams: u32) {
        let pass = Duration::from_millis(pass_ms);
        self.now += pass;
        for _ in 0..streams {
            self.now += Duration::from_micros(100);
            self.control.observe(self.now, pass, streams, RANKS);
        }
    }

    fn passes(&mut self, count: u32, pass_ms: u64, streams: u32) {
        for _ in 0..count {
            self.pass(pass_ms, streams);
        }
    }

    fn bound(&self) -> u32 {
        self.control.bound(RANKS)
    }
}

/// Load pattern: the group stands still for seconds, since the order that lets
/// it go on is late. The streams cost what they cost before.
#[test]
fn a_stall_does_not_cut_the_bound() {
    for stall_ms in [250, 1_000, 4_300] {
        let mut group = Group::new();
        group.passes(40, 70, 60);
        let before = group.bound();
        group.pass(stall_ms, 60);
        group.passes(5, 70, 60);
        assert!(
            group.bound() + 2 >= before,
            "{} after a stall of {stall_ms} ms, {before} before it",
            group.bound()
        );
    }
}

/// Load pattern: demand moves to experts of one rank, and each pass is twice
/// as long as allowed. Only the first one looks like a stall.
#[test]
fn long_passes_in_a_row_cut_the_bound() {
    let mut group = Group::new();
    group.passes(40, 70, 60);
    let before = group.bound();
    group.passes(4, 300, 60);
    assert!(
        group.bound() < before / 2,
        "{} after long passes, {before} before them",
        group.bound()
    );
}

/// Load pattern: a group that has just started fills up within a second. The
/// short pauses of its first streams are no measure for a full group.
#[test]
fn the_first_short_pauses_do_not_open_a_group_to_all() {
    let mut group = Group::new();
    let first = group.bound();
    for streams in 1..20 {
        group.pass(30, streams);
    }
    assert!(
        group.bound() <= first + first / 10,
        "{} from {first}",
        group.bound()
    );
}

/// Load pattern: a group that runs as many streams as it may, with short
/// pauses, because its map became better.
#[test]
fn short_pauses_of_a_full_group_raise_the_bound() {
    let mut group = Group::new();
    let first = group.bound();
    group.passes(60, 60, first);
    assert!(
        group.bound() > first + first / 5,
        "{} from {first}",
        group.bound()
    );
}

/// Load pattern: the group lost a rank and was formed anew, without the
/// balanced map that it had.
#[test]
fn a_group_formed_anew_starts_with_the_first_bound() {
    let mut group = Group::new();
    let first = group.bound();
    group.passes(60, 60, 90);
    assert!(group.bound() > first);
    group.control.forget();
    assert_eq!(group.bound(), first);
}

/// Load pattern: a group was formed anew, or an entry has just started, and
/// nothing was seen of the group yet. Its work is shared by all ranks, so the
/// more ranks it has the more streams it takes; before its experts are
/// balanced, the most loaded rank has over three times the mean.
#[test]
fn a_group_that_nobody_has_seen_is_filled_to_what_its_ranks_bear() {
    /// Largest over mean rank load with the maps that groups start with.
    const UNBALANCED: f32 = 3.3;
    for (ranks, stream_step_ms, steps, max_pause_ms) in [
        (12_u16, 0.9_f32, 4_u16, 120_u16),
        (24, 1.09, 5, 150),
        (63, 1.09, 5, 150),
        (64, 1.99, 6, 200),
    ] {
        let engine = EngineProfile {
            slots: 12,
            step_ms: 4.55,
            stream_step_ms,
            steps_per_event: u32::from(steps),
            read_per_s: 60_000.0,
            experts: None,
        };
        let max_pause = Duration::from_millis(u64::from(max_pause_ms));
        let bound = PauseControl::new(engine, max_pause).bound(u32::from(ranks));
        let streams = f32::from(u16::try_from(bound).expect("a few hundred"));
        let step = 4.55 + stream_step_ms * UNBALANCED * streams / f32::from(ranks);
        let used = step * f32::from(steps) / f32::from(max_pause_ms);
        assert!(
            (0.7..=0.9).contains(&used),
            "{bound} streams at {ranks} ranks make pauses of {used:.2} of the longest"
        );
    }
}

/// Load pattern: more streams than the group bears, and other experts come
/// into demand every so often. A stream costs twice as much then, until the next
/// map is in force. Each stream lives for two seconds, so the bound that
/// is in force as a shift comes decides whether all of them are late.
#[test]
fn the_bound_plans_for_shifts_that_most_streams_meet() {
    /// Passes that are dear after each shift.
    const DEAR_PASSES: u32 = 4;
    for calm_ms in [800, 2_200, 3_500] {
        let mut group = Group::new();
        let mut longest = Vec::new();
        for _ in 0..10 {
            let streams = group.bound();
            let calm = 18 + u64::from(streams) / 2;
            let dear = 18 + u64::from(streams);
            group.passes(DEAR_PASSES, dear, streams);
            let calm_passes = u32::try_from(calm_ms / calm).expect("a few");
            group.passes(calm_passes, calm, group.bound().min(streams));
            longest.push(dear);
        }
        let settled = &longest[4..];
        assert!(
            settled
                .iter()
                .all(|ms| u128::from(*ms) <= MAX_PAUSE.as_millis()),
            "shifts each {calm_ms} ms make passes of {longest:?} ms"
        );
    }
}

/// Load pattern: a rank is slow for some seconds, once, and sound again. The
/// group bears as much as before, within a second.
#[test]
fn a_slow_time_that_has_ended_is_forgotten_within_a_second() {
    let mut group = Group::new();
    group.passes(200, 70, 60);
    let before = group.bound();
    group.passes(30, 300, 30);
    assert!(group.bound() < before / 3, "the slow time cuts the bound");
    let mut passed = Duration::ZERO;
    while group.bound() + before / 10 < before {
        let streams = group.bound();
        let pass = 18 + u64::from(streams) * 87 / 100;
        group.pass(pass, streams);
        passed += Duration::from_millis(pass);
        assert!(
            passed <= Duration::from_secs(1),
            "{} a second after the slow time, {before} before it",
            group.bound()
        );
    }
}
