//! Bursts of calls of one urgency while others share the ranks, at several entries whose
//! reports are late.

use crate::support::{ENGINE, MAX_PAUSE, configured, upstream};
use crate::urgency::table;
use egretstage_dispatch::{
    CallHead, CallKey, DispatchEffect, DispatchEvent, DispatchLimits, Dispatcher, EngineProfile,
    LoadReport, PromptParts, RequestHash,
};
use egretstage_runtime::VirtualLoop;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 6;
const RANKS: u8 = 24;

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(10);

/// Time from a report to its arrival at the other entries.
const REPORT_DELAY: Duration = Duration::from_millis(150);

/// Time between two shifts of demand to other experts, each of which makes one pass slow.
const SHIFT_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time that a stream adds to a pass, in milliseconds, and after a shift.
const STREAM_COST_MS: (f64, f64) = (0.5, 0.95);

/// Events of a stream.
const EVENTS: u32 = 20;

/// Objective of all routes.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Budget of a call, and of one that returns.
const BUDGETS: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(5));

/// Paths of the calls, the most urgent first.
const PATHS: [&str; 3] = ["/urgent/1", "/usual/1", "/batch/1"];

/// Arrivals per second in calm, by path.
const CALM: [f64; 3] = [20.0, 26.0, 8.5];

/// Arrivals per second in bursts of the least urgent and of the most urgent calls, at the top
/// of a wave of all arrivals.
const TOP: [f64; 3] = [21.5, 28.5, 9.0];
const BATCH_BURST: [f64; 3] = [21.5, 28.5, 9.0 * 2.5];
const URGENT_BURST: [f64; 3] = [21.5 * 1.7, 28.5, 9.0];

/// What became of the calls of a path.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    answered: u32,
    in_time: u32,
}

impl Tally {
    fn in_time_share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived)
    }

    fn answered_share(self) -> f64 {
        f64::from(self.answered) / f64::from(self.arrived)
    }
}

struct Stream {
    entry: usize,
    path: usize,
    /// Phase of the run in which its caller first called.
    phase: usize,
    first_arrival: Instant,
    is_returning: bool,
    is_running: bool,
    events: u32,
    is_late: bool,
}

/// Entries that share one group, whose ranks step in lockstep.
struct Site {
    entries: Vec<VirtualLoop<Dispatcher>>,
    now: Instant,
    rng: ChaCha8Rng,
    next_call: u64,
    streams: HashMap<CallKey, Stream>,
    /// Reports under way, each with its time and its sender.
    reports: Vec<(Instant, usize, LoadReport)>,
    /// Refused callers with the times of their returns.
    returns: Vec<(Instant, Stream)>,
    last_pass: Instant,
    next_pass: Instant,
    next_shift: Instant,
    /// What became of the calls that first arrived in each phase, by path.
    phases: Vec<[Tally; 3]>,
}

impl Site {
    fn new(seed: u64, priorities: [u8; 3]) -> Self {
        let now = Instant::now();
        let engine = EngineProfile {
            stream_step_ms: 1.0,
            ..ENGINE
        };
        let table = table(priorities, engine);
        let entry = |index: u8| {
            let name = format!("entry-{index}").as_str().try_into();
            let zone = "west".try_into().expect("valid name");
            let limits = DispatchLimits::default();
            let seed = seed * 100 + u64::from(index);
            let name = name.expect("valid name");
            let dispatcher = Dispatcher::new(now, name, zone, seed, limits);
            let mut sim = VirtualLoop::starting_at(now, dispatcher);
            sim.event(configured(table.clone()));
            for rank in 0..RANKS {
                let listed = upstream(&format!("rank-{rank}"), "drafting", Some("g"));
                sim.event(DispatchEvent::Listed(Box::new(listed)));
            }
            sim
        };
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_call: 0,
            streams: HashMap::new(),
            reports: Vec::new(),
            returns: Vec::new(),
            last_pass: now,
            next_pass: now,
            next_shift: now + SHIFT_INTERVAL,
            phases: Vec::new(),
        }
    }

    /// Lets calls arrive at these rates for some time.
    fn run(&mut self, seconds: f64, rates: [f64; 3]) {
        self.phases.push([Tally::default(); 3]);
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.step(rates);
        }
    }

    fn step(&mut self, rates: [f64; 3]) {
        self.now += STEP;
        for index in 0..self.entries.len() {
            let effects = self.entries[index].advance(STEP);
            self.carry_out(index, effects);
            for (path, rate) in rates.into_iter().enumerate() {
                if self
                    .rng
                    .random_bool(rate * STEP.as_secs_f64() / f64::from(ENTRIES))
                {
                    let phase = self.phases.len() - 1;
                    self.phases[phase][path].arrived += 1;
                    self.arrive(Stream {
                        entry: index,
                        path,
                        phase,
                        first_arrival: self.now,
                        is_returning: false,
                        is_running: false,
                        events: 0,
                        is_late: false,
                    });
                }
            }
        }
        let now = self.now;
        let due: Vec<_> = self.returns.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, stream) in due {
            self.arrive(stream);
        }
        let due: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, report) in due {
            for index in (0..self.entries.len()).filter(|index| *index != from) {
                let event = DispatchEvent::PeerReported(Box::new(report.clone()));
                let effects = self.entries[index].event(event);
                self.carry_out(index, effects);
            }
        }
        if now >= self.next_pass {
            self.end_pass();
        }
    }

    fn arrive(&mut self, stream: Stream) {
        let call = CallKey(self.next_call);
        self.next_call += 1;
        let (index, path) = (stream.entry, stream.path);
        let budget = if stream.is_returning {
            BUDGETS.1
        } else {
            BUDGETS.0
        };
        self.streams.insert(call, stream);
        let request = format!("r{}", call.0);
        let head = Box::new(CallHead {
            request: request.as_str().try_into().expect("valid request id"),
            host: "desk.example".into(),
            path: PATHS[path].into(),
            api_key: Some("key".into()),
            budget,
            prompt: None,
            prompt_parts: PromptParts::new(),
        });
        let content = RequestHash(call.0);
        let effects = self.entries[index].event(DispatchEvent::Arrived {
            call,
            head,
            content,
        });
        self.carry_out(index, effects);
    }

    /// Ends a pass: each running stream has an event.
    fn end_pass(&mut self) {
        let pass = self.now - self.last_pass;
        let running = self.streams.iter().filter(|(_, s)| s.is_running);
        let mut running: Vec<CallKey> = running.map(|(call, _)| *call).collect();
        running.sort_unstable();
        let streams = u32::try_from(running.len()).expect("a few hundred");
        for call in running {
            let stream = self.streams.get_mut(&call).expect("a running stream");
            stream.events += 1;
            let event = match stream.events {
                1 => {
                    stream.is_late |= self.now - stream.first_arrival > OBJECTIVE;
                    DispatchEvent::FirstByte { call }
                }
                EVENTS => DispatchEvent::Ended { call, whole: true },
                _ => {
                    stream.is_late |= pass > MAX_PAUSE;
                    DispatchEvent::Pause { call, pause: pass }
                }
            };
            let index = stream.entry;
            if stream.events == EVENTS {
                let stream = self.streams.remove(&call).expect("a running stream");
                let tally = &mut self.phases[stream.phase][stream.path];
                tally.answered += 1;
                tally.in_time += u32::from(!stream.is_late);
            }
            let effects = self.entries[index].event(event);
            self.carry_out(index, effects);
        }
        let is_shift = self.now >= self.next_shift;
        if is_shift {
            self.next_shift += SHIFT_INTERVAL;
        }
        let cost = if is_shift {
            STREAM_COST_MS.1
        } else {
            STREAM_COST_MS.0
        };
        let pass_ms = 18.0 + cost * f64::from(streams);
        self.last_pass = self.now;
        self.next_pass = self.now + Duration::from_secs_f64(pass_ms / 1_000.0);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<DispatchEffect>) {
        for effect in effects {
            match effect {
                DispatchEffect::Send { call, .. } => {
                    let stream = self.streams.get_mut(&call).expect("a stream");
                    stream.is_running = true;
                }
                DispatchEffect::Refuse { call, refusal } => {
                    let mut stream = self.streams.remove(&call).expect("a stream");
                    let is_first = !std::mem::replace(&mut stream.is_returning, true);
                    if let Some(delay) = refusal.retry_after.filter(|_| is_first) {
                        self.returns.push((self.now + delay, stream));
                    }
                }
                DispatchEffect::Report(report) => {
                    let at = self.now + REPORT_DELAY;
                    self.reports.push((at, index, *report));
                }
                _ => {}
            }
        }
    }
}

/// Seeds of the runs.
const SEEDS: Range<u64> = 0..6;

/// Time after a burst from which all calls are in time, in seconds: the longest wait (1.4),
/// the longest delay until a return (2.6), its wait (1.4), four for which room is kept, and
/// a margin.
const SETTLED_AFTER_S: f64 = 10.0;

/// Phases of a day: what arrives in each, for how many seconds.
const DAY: [(f64, [f64; 3]); 6] = [
    (8.0, CALM),
    (6.0, BATCH_BURST),
    (2.0, TOP),
    (3.4, URGENT_BURST),
    (SETTLED_AFTER_S, CALM),
    (8.0, CALM),
];

/// Runs a day until all its calls have ended; returns what became of them in each phase.
fn play(seed: u64, phases: &[(f64, [f64; 3])]) -> Vec<[Tally; 3]> {
    let mut site = Site::new(seed, [0, 1, 2]);
    for (seconds, rates) in phases {
        site.run(*seconds, *rates);
    }
    site.run(10.0, [0.0; 3]);
    site.phases
}

/// Load pattern: the least urgent calls burst for 6 s and hold the places when the most
/// urgent ones burst for 3.4 s, two seconds later. Demand moves to other experts every
/// 2.5 s, which makes a pass slow. Of the most urgent calls of that time, nine in ten are in
/// time over all seeds.
#[test]
fn the_most_urgent_calls_are_in_time_in_bursts() {
    let mut all = Tally::default();
    for seed in SEEDS {
        for [urgent, ..] in &play(seed, &DAY)[1..4] {
            all.arrived += urgent.arrived;
            all.in_time += urgent.in_time;
        }
    }
    let share = all.in_time_share();
    assert!(share >= 0.9, "{share:.2} in time");
}

/// Load pattern: the same. In calm, before the bursts and ten seconds after them, all places
/// are open to the least urgent calls, too.
#[test]
fn all_calls_are_in_time_in_calm() {
    for seed in SEEDS {
        let phases = play(seed, &DAY);
        for phase in [0, 5] {
            let shares = phases[phase].map(Tally::in_time_share);
            let is_in_time = shares.iter().all(|share| *share >= 0.99);
            assert!(is_in_time, "{shares:?} in time in phase {phase}");
        }
    }
}

/// Load pattern: the most urgent calls alone are more than the group can run, for 20 s. The
/// least urgent ones are still answered a quarter as often as all.
#[test]
fn the_least_urgent_calls_are_answered_in_a_long_overload() {
    for seed in SEEDS {
        let phases = play(seed, &[(4.0, CALM), (20.0, [70.0, 31.0, 10.0])]);
        let [_, [urgent, usual, batch]] = phases[..2] else {
            panic!("two phases");
        };
        let all = [urgent, usual, batch].map(|t| (t.arrived, t.answered));
        let sum = |f: fn(&(u32, u32)) -> u32| f64::from(all.iter().map(f).sum::<u32>());
        let share_of_all = sum(|t| t.1) / sum(|t| t.0);
        for kind in [usual, batch] {
            let share = kind.answered_share();
            assert!(
                share * 4.0 >= share_of_all,
                "{share:.2} of a kind are answered, {share_of_all:.2} of all"
            );
        }
    }
}
