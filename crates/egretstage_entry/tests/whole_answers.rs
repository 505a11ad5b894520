//! Whole answers over links that are cut, in virtual time: an entry and two
//! companions with the network between them.
//!
//! An answer that ends is whole and its caller's own, whatever was delayed,
//! lost or late on the way.

mod support;

use egretstage_companion::{
    CompanionEffect, CompanionEvent, CompanionLimits, CompanionReducer, RunKey,
};
use egretstage_entry::prelude::*;
use egretstage_link::LinkKey;
use egretstage_runtime::Reducer;
use egretstage_test_cases::repeatable;
use egretstage_wire::prelude::*;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use support::{arrived, configured, hello, listed, name};

const STEPS: usize = 800;
const SEEDS: u64 = 20;
const CALLS: u64 = 12;
const CHUNKS: u32 = 90;
const MAX_STEP: Duration = Duration::from_millis(20);

/// One direction of a link: frames arrive in order, some time later.
#[derive(Default)]
struct Pipe(Vec<(Instant, Frame)>);

impl Pipe {
    fn send(&mut self, now: Instant, delay: Duration, frame: Frame) {
        let last = self.0.last().map_or(now, |(at, _)| *at);
        self.0.push((last.max(now + delay), frame));
    }

    fn take(&mut self, now: Instant) -> Option<Frame> {
        let due = self.0.first().is_some_and(|(at, _)| *at <= now);
        due.then(|| self.0.remove(0).1)
    }
}

/// A link; each side learns of its end at a time of its own.
struct Link {
    companion: usize,
    to_companion: Pipe,
    to_entry: Pipe,
    entry_ends: Option<Instant>,
    companion_ends: Option<Instant>,
}

/// An upstream's run of a draft.
struct Upstream {
    prompt: String,
    sent: u32,
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    entry: EntryReducer,
    companions: Vec<CompanionReducer>,
    upstreams: Vec<BTreeMap<RunKey, Upstream>>,
    links: BTreeMap<LinkKey, Link>,
    next_link: u64,
    answers: HashMap<CallKey, Vec<AnswerPart>>,
    read: HashMap<CallKey, u32>,
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let limits = CompanionLimits { slots: 8 };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            entry: support::entry(now),
            companions: (0..2).map(|_| CompanionReducer::new(now, limits)).collect(),
            upstreams: vec![BTreeMap::new(), BTreeMap::new()],
            links: BTreeMap::new(),
            next_link: 0,
            answers: HashMap::new(),
            read: HashMap::new(),
        };
        world.entry_event(configured());
        let list = (0..2).map(|index| listed(index, "drafting")).collect();
        world.entry_event(EntryEvent::InstancesListed(list));
        world
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.now += self.rng.random_range(Duration::ZERO..MAX_STEP);
            self.wake();
            self.deliver();
            self.generate();
            let number = step as u64 / 20;
            if step % 20 == 0 && (1..=CALLS).contains(&number) {
                let path = "/v1/chat/completions";
                let draft = arrived(CallKey(number), path, None, &body(number));
                self.entry_event(draft);
            }
            if self.rng.random_range(0..40) == 0 {
                self.cut();
            }
            self.read_answers();
        }
    }

    fn entry_event(&mut self, event: EntryEvent) {
        let mut effects = Vec::new();
        self.entry.reduce(self.now, event, &mut effects);
        self.carry_out(effects);
    }

    fn companion_event(&mut self, index: usize, event: CompanionEvent) {
        let mut effects = Vec::new();
        self.companions[index].reduce(self.now, event, &mut effects);
        self.carry_out_of(index, effects);
    }

    fn wake(&mut self) {
        let mut effects = Vec::new();
        if self.entry.next_wake().is_some_and(|at| at <= self.now) {
            self.entry.wake(self.now, &mut effects);
        }
        self.carry_out(effects);
        for index in 0..2 {
            let mut effects = Vec::new();
            let due = self.companions[index].next_wake();
            if due.is_some_and(|at| at <= self.now) {
                self.companions[index].wake(self.now, &mut effects);
            }
            self.carry_out_of(index, effects);
        }
    }

    fn delay(&mut self) -> Duration {
        self.rng.random_range(Duration::ZERO..MAX_STEP * 3)
    }

    fn carry_out(&mut self, effects: Vec<EntryEffect>) {
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

    fn carry_out_of(&mut self, index: usize, effects: Vec<CompanionEffect>) {
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
                    let upstream = Upstream { prompt, sent: 0 };
                    self.upstreams[index].insert(run, upstream);
                    let event = CompanionEvent::UpstreamHead {
                        run,
                        status: 200,
                        content_type: None,
                    };
                    self.companion_event(index, event);
                }
                CompanionEffect::CancelUpstream(run) => {
                    self.upstreams[index].remove(&run);
                }
                _ => {}
            }
        }
    }

    fn dial(&mut self, instance: &InstanceId) {
        let companion = usize::from(instance.as_str().ends_with('1'));
        self.next_link += 1;
        let link = LinkKey(self.next_link);
        self.links.insert(
            link,
            Link {
                companion,
                to_companion: Pipe::default(),
                to_entry: Pipe::default(),
                entry_ends: None,
                companion_ends: None,
            },
        );
        let up = CompanionEvent::LinkUp {
            link,
            hello: Box::new(hello(&name("entry-1"), Role::Entry)),
        };
        self.companion_event(companion, up);
        let hello = Box::new(hello(instance, Role::Companion));
        self.entry_event(EntryEvent::LinkUp { link, hello });
    }

    /// Cuts a link; frames on the way may still arrive at either side.
    fn cut(&mut self) {
        let open: Vec<_> = self.links.keys().copied().collect();
        if !open.is_empty() {
            let link = open[self.rng.random_range(0..open.len())];
            self.end_link(link);
        }
    }

    fn end_link(&mut self, link: LinkKey) {
        let (entry, companion) = (self.now + self.delay() * 3, self.now + self.delay() * 3);
        if let Some(link) = self.links.get_mut(&link) {
            link.entry_ends.get_or_insert(entry);
            link.companion_ends.get_or_insert(companion);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for key in self.links.keys().copied().collect::<Vec<_>>() {
            while let Some(link) = self.links.get_mut(&key) {
                let (companion, ended) = (link.companion, LinkKey(key.0));
                if link.companion_ends.is_some_and(|at| at <= now) {
                    link.companion_ends = Some(now + Duration::from_hours(1));
                    link.to_companion.0.clear();
                    self.companion_event(companion, CompanionEvent::LinkDown { link: ended });
                } else if link.entry_ends.is_some_and(|at| at <= now) {
                    link.entry_ends = Some(now + Duration::from_hours(1));
                    link.to_entry.0.clear();
                    self.entry_event(EntryEvent::LinkDown { link: ended });
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

    /// Has each upstream send a piece, or its end.
    fn generate(&mut self) {
        for index in 0..2 {
            for run in self.upstreams[index].keys().copied().collect::<Vec<_>>() {
                let upstream = self.upstreams[index].get_mut(&run).expect("a known run");
                if upstream.sent == CHUNKS {
                    self.upstreams[index].remove(&run);
                    self.companion_event(index, CompanionEvent::UpstreamEnded { run });
                    continue;
                }
                let bytes = piece(&upstream.prompt, upstream.sent).into_bytes();
                upstream.sent += 1;
                self.companion_event(index, CompanionEvent::UpstreamBytes { run, bytes });
            }
        }
    }

    /// Has a caller read some of what has come.
    fn read_answers(&mut self) {
        let call = CallKey(self.rng.random_range(1..=CALLS));
        let is_bytes = |part: &&AnswerPart| matches!(part, AnswerPart::Bytes(_));
        let parts = self.answers.get(&call).into_iter().flatten();
        let received = u32::try_from(parts.filter(is_bytes).count()).unwrap_or(u32::MAX);
        let read = self.read.entry(call).or_default();
        let chunks = self.rng.random_range(1..64).min(received - *read);
        *read += chunks;
        if chunks > 0 {
            self.entry_event(EntryEvent::CallerRead { call, chunks });
        }
    }

    fn check(&self) -> Result<usize, String> {
        let mut whole = 0;
        for (call, parts) in &self.answers {
            let pieces = parts.iter().filter_map(|part| match part {
                AnswerPart::Bytes(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
                _ => None,
            });
            let got: String = pieces.collect();
            let expected: String = (0..CHUNKS)
                .map(|number| piece(&body(call.0), number))
                .collect();
            if !expected.starts_with(&got) {
                return Err(format!("{call:?} got another answer"));
            }
            if parts.contains(&AnswerPart::End) {
                whole += 1;
                if got != expected {
                    return Err(format!("{call:?} ended after {} bytes", got.len()));
                }
            }
        }
        Ok(whole)
    }
}

fn body(number: u64) -> String {
    format!(r#"{{"model":"draft-1","messages":[{{"content":"duct {number}"}}]}}"#)
}

fn piece(prompt: &str, number: u32) -> String {
    format!("{prompt}-{number};")
}

proptest! {
    #![proptest_config(repeatable(300))]

    #[test]
    fn an_answer_that_ends_is_whole_and_its_callers_own(seed: u64) {
        let mut world = World::new(seed);
        world.run();
        let whole = world.check();
        prop_assert!(whole.is_ok(), "seed {seed}: {whole:?}");
    }
}

#[test]
fn all_answers_are_whole_although_links_are_cut() {
    let whole = |seed| {
        let mut world = World::new(seed);
        world.run();
        world.check().expect("whole answers")
    };
    let whole: usize = (0..SEEDS).map(whole).sum();
    assert_eq!(whole as u64, SEEDS * CALLS, "all answers are whole");
}
