//! Complete answers over links that are cut: an entry and two companions with
//! a simulated network between them, in virtual time.
//!
//! Guards against an answer that ends although it is incomplete or another
//! caller's. It could come about when a link is cut, and frames are delayed or
//! lost, while an answer is being sent or resumed.

mod support;

use egretstage_companion::{
    CompanionEffect, CompanionEvent, CompanionLimits, CompanionReducer, RunKey,
};
use egretstage_entry::prelude::*;
use egretstage_link::LinkId;
use egretstage_runtime::Reducer;
use egretstage_test_cases::repeatable;
use egretstage_wire::prelude::*;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use support::{configuration_changed, hello, listed_companion, name, request_arrived};

const STEPS: usize = 800;
const SEEDS: u64 = 20;
const CALLS: u64 = 12;
const CHUNKS_PER_ANSWER: u32 = 90;
const MAX_STEP: Duration = Duration::from_millis(20);

/// One direction of a link: frames arrive in order, after a delay.
#[derive(Default)]
struct DelayedFrames(Vec<(Instant, Frame)>);

impl DelayedFrames {
    fn send(&mut self, now: Instant, delay: Duration, frame: Frame) {
        let last = self.0.last().map_or(now, |(at, _)| *at);
        self.0.push((last.max(now + delay), frame));
    }

    fn take(&mut self, now: Instant) -> Option<Frame> {
        let due = self.0.first().is_some_and(|(at, _)| *at <= now);
        due.then(|| self.0.remove(0).1)
    }
}

/// A link; each side detects its end at a different time.
struct Link {
    companion: usize,
    to_companion: DelayedFrames,
    to_entry: DelayedFrames,
    entry_down_at: Option<Instant>,
    companion_down_at: Option<Instant>,
}

/// A draft that an upstream is generating.
struct DraftRun {
    prompt: String,
    sent: u32,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Instant,
    entry: EntryReducer,
    companions: Vec<CompanionReducer>,
    draft_runs: Vec<BTreeMap<RunKey, DraftRun>>,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    answers: HashMap<CallKey, Vec<AnswerPart>>,
    read_chunks: HashMap<CallKey, u32>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let limits = CompanionLimits { slots: 8 };
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            entry: support::entry(now),
            companions: (0..2).map(|_| CompanionReducer::new(now, limits)).collect(),
            draft_runs: vec![BTreeMap::new(), BTreeMap::new()],
            links: BTreeMap::new(),
            next_link: 0,
            answers: HashMap::new(),
            read_chunks: HashMap::new(),
        };
        simulation.entry_event(configuration_changed());
        let list = (0..2)
            .map(|index| listed_companion(index, "drafting"))
            .collect();
        simulation.entry_event(EntryEvent::InstancesListed(list));
        simulation
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.now += self.rng.random_range(Duration::ZERO..MAX_STEP);
            self.wake_reducers();
            self.deliver_frames();
            self.advance_upstreams();
            let number = step as u64 / 20;
            if step % 20 == 0 && (1..=CALLS).contains(&number) {
                let path = "/v1/chat/completions";
                let draft = request_arrived(CallKey(number), path, None, &draft_body(number));
                self.entry_event(draft);
            }
            if self.rng.random_range(0..40) == 0 {
                self.cut_random_link();
            }
            self.read_answers();
        }
    }

    fn entry_event(&mut self, event: EntryEvent) {
        let mut effects = Vec::new();
        self.entry.reduce(self.now, event, &mut effects);
        self.execute_entry_effects(effects);
    }

    fn companion_event(&mut self, index: usize, event: CompanionEvent) {
        let mut effects = Vec::new();
        self.companions[index].reduce(self.now, event, &mut effects);
        self.execute_companion_effects(index, effects);
    }

    fn wake_reducers(&mut self) {
        let mut effects = Vec::new();
        if self.entry.next_wake().is_some_and(|at| at <= self.now) {
            self.entry.wake(self.now, &mut effects);
        }
        self.execute_entry_effects(effects);
        for index in 0..2 {
            let mut effects = Vec::new();
            let due = self.companions[index].next_wake();
            if due.is_some_and(|at| at <= self.now) {
                self.companions[index].wake(self.now, &mut effects);
            }
            self.execute_companion_effects(index, effects);
        }
    }

    fn delay(&mut self) -> Duration {
        self.rng.random_range(Duration::ZERO..MAX_STEP * 3)
    }

    fn execute_entry_effects(&mut self, effects: Vec<EntryEffect>) {
        for effect in effects {
            let (now, delay) = (self.now, self.delay());
            match effect {
                EntryEffect::Answer { call, part } => {
                    self.answers.entry(call).or_default().push(part);
                }
                EntryEffect::Send { link, frame } => {
                    if let Some(link) = self.links.get_mut(&link) {
                        link.to_companion.send(now, delay, frame);
                    }
                }
                EntryEffect::Dial { instance, .. } => self.dial(&instance),
                EntryEffect::Close(link) => self.end_link(link),
                _ => {}
            }
        }
    }

    fn execute_companion_effects(&mut self, index: usize, effects: Vec<CompanionEffect>) {
        for effect in effects {
            let (now, delay) = (self.now, self.delay());
            match effect {
                CompanionEffect::Send { link, frame } => {
                    if let Some(link) = self.links.get_mut(&link) {
                        link.to_entry.send(now, delay, frame);
                    }
                }
                CompanionEffect::Close(link) => self.end_link(link),
                CompanionEffect::StartUpstream { run, req } => {
                    let prompt = String::from_utf8_lossy(&req.body).into_owned();
                    let draft_run = DraftRun { prompt, sent: 0 };
                    self.draft_runs[index].insert(run, draft_run);
                    let event = CompanionEvent::UpstreamHead {
                        run,
                        status: 200,
                        content_type: None,
                    };
                    self.companion_event(index, event);
                }
                CompanionEffect::CancelUpstream(run) => {
                    self.draft_runs[index].remove(&run);
                }
                _ => {}
            }
        }
    }

    fn dial(&mut self, instance: &InstanceId) {
        let companion = usize::from(instance.as_str().ends_with('1'));
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links.insert(
            link,
            Link {
                companion,
                to_companion: DelayedFrames::default(),
                to_entry: DelayedFrames::default(),
                entry_down_at: None,
                companion_down_at: None,
            },
        );
        let link_up = CompanionEvent::LinkUp {
            link,
            hello: Box::new(hello(&name("entry-1"), Role::Entry)),
        };
        self.companion_event(companion, link_up);
        let hello = Box::new(hello(instance, Role::Companion));
        self.entry_event(EntryEvent::LinkUp { link, hello });
    }

    /// Cuts a random link; frames in transit may still arrive at either side.
    fn cut_random_link(&mut self) {
        let open: Vec<_> = self.links.keys().copied().collect();
        if !open.is_empty() {
            let link = open[self.rng.random_range(0..open.len())];
            self.end_link(link);
        }
    }

    fn end_link(&mut self, link: LinkId) {
        let (entry, companion) = (self.now + self.delay() * 3, self.now + self.delay() * 3);
        if let Some(link) = self.links.get_mut(&link) {
            link.entry_down_at.get_or_insert(entry);
            link.companion_down_at.get_or_insert(companion);
        }
    }

    fn deliver_frames(&mut self) {
        let now = self.now;
        for key in self.links.keys().copied().collect::<Vec<_>>() {
            while let Some(link) = self.links.get_mut(&key) {
                let (companion, down_link) = (link.companion, LinkId(key.0));
                if link.companion_down_at.is_some_and(|at| at <= now) {
                    link.companion_down_at = Some(now + Duration::from_hours(1));
                    link.to_companion.0.clear();
                    self.companion_event(companion, CompanionEvent::LinkDown { link: down_link });
                } else if link.entry_down_at.is_some_and(|at| at <= now) {
                    link.entry_down_at = Some(now + Duration::from_hours(1));
                    link.to_entry.0.clear();
                    self.entry_event(EntryEvent::LinkDown { link: down_link });
                } else if let Some(frame) = link.to_companion.take(now) {
                    let event = CompanionEvent::Frame { link: key, frame };
                    self.companion_event(companion, event);
                } else if let Some(frame) = link.to_entry.take(now) {
                    self.entry_event(EntryEvent::Frame { link: key, frame });
                } else {
                    break;
                }
            }
        }
    }

    /// Makes each upstream send the next chunk of its drafts, or their end.
    fn advance_upstreams(&mut self) {
        for index in 0..2 {
            for run in self.draft_runs[index].keys().copied().collect::<Vec<_>>() {
                let draft_run = self.draft_runs[index].get_mut(&run).expect("a known run");
                if draft_run.sent == CHUNKS_PER_ANSWER {
                    self.draft_runs[index].remove(&run);
                    self.companion_event(index, CompanionEvent::UpstreamEnded { run });
                    continue;
                }
                let bytes = chunk_text(&draft_run.prompt, draft_run.sent).into_bytes();
                draft_run.sent += 1;
                self.companion_event(index, CompanionEvent::UpstreamBytes { run, bytes });
            }
        }
    }

    /// Makes a random caller read some of the chunks received.
    fn read_answers(&mut self) {
        let call = CallKey(self.rng.random_range(1..=CALLS));
        let is_bytes = |part: &&AnswerPart| matches!(part, AnswerPart::Bytes(_));
        let parts = self.answers.get(&call).into_iter().flatten();
        let received = u32::try_from(parts.filter(is_bytes).count()).unwrap_or(u32::MAX);
        let read = self.read_chunks.entry(call).or_default();
        let chunks = self.rng.random_range(1..64).min(received - *read);
        *read += chunks;
        if chunks > 0 {
            self.entry_event(EntryEvent::CallerRead { call, chunks });
        }
    }

    fn count_complete_answers(&self) -> Result<usize, String> {
        let mut complete = 0;
        for (call, parts) in &self.answers {
            let chunks = parts.iter().filter_map(|part| match part {
                AnswerPart::Bytes(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
                _ => None,
            });
            let received: String = chunks.collect();
            let expected: String = (0..CHUNKS_PER_ANSWER)
                .map(|number| chunk_text(&draft_body(call.0), number))
                .collect();
            if !expected.starts_with(&received) {
                return Err(format!("{call:?} received bytes of another answer"));
            }
            if parts.contains(&AnswerPart::End) {
                complete += 1;
                if received != expected {
                    return Err(format!("{call:?} ended early: {} bytes", received.len()));
                }
            }
        }
        Ok(complete)
    }
}

fn draft_body(number: u64) -> String {
    format!(r#"{{"model":"draft-1","messages":[{{"content":"duct {number}"}}]}}"#)
}

fn chunk_text(prompt: &str, number: u32) -> String {
    format!("{prompt}-{number};")
}

proptest! {
    #![proptest_config(repeatable(300))]

    #[test]
    fn an_answer_that_ends_is_whole_and_its_callers_own(seed: u64) {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        let complete = simulation.count_complete_answers();
        prop_assert!(complete.is_ok(), "seed {seed}: {complete:?}");
    }
}

#[test]
fn all_answers_are_whole_although_links_are_cut() {
    let complete_answers = |seed| {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        simulation
            .count_complete_answers()
            .expect("complete answers")
    };
    let complete: usize = (0..SEEDS).map(complete_answers).sum();
    assert_eq!(complete as u64, SEEDS * CALLS, "all answers are complete");
}
