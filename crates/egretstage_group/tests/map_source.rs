//! A decider tells its source of maps what the ranks use.

use egretstage_group::{Decider, DeciderLimits, MapSource, Output, Peer};
use egretstage_wire::{EngineBoot, Fence, GroupFrame, MapVersion, RankIndex, RankState, Step};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_secs(1);
const HORIZON: u64 = 10;

/// What a source was told or asked.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Heard {
    Initial,
    Resumed(Vec<u8>),
    Polled,
    InUse,
}

/// Returns a new map at each poll.
struct Eager(Arc<Mutex<Vec<Heard>>>);

impl Eager {
    fn note(&self, heard: Heard) {
        self.0.lock().expect("one thread").push(heard);
    }
}

impl MapSource for Eager {
    fn initial_map(&mut self) -> Vec<u8> {
        self.note(Heard::Initial);
        vec![0]
    }

    fn generation_started(&mut self, map: &[u8]) {
        self.note(Heard::Resumed(map.to_vec()));
    }

    fn poll(&mut self, _: Instant) -> Option<Vec<u8>> {
        self.note(Heard::Polled);
        Some(vec![1])
    }

    fn map_activated(&mut self, _: Instant) {
        self.note(Heard::InUse);
    }
}

/// A group of one rank, whose frames the test writes.
struct Group {
    now: Instant,
    decider: Decider,
    heard: Arc<Mutex<Vec<Heard>>>,
    out: Vec<Output>,
}

impl Group {
    fn start() -> Self {
        let (now, heard, mut out) = (Instant::now(), Arc::default(), Vec::new());
        let limits = DeciderLimits {
            ranks: 1,
            horizon_steps: HORIZON,
            heartbeat: HEARTBEAT,
        };
        let source = Box::new(Eager(Arc::clone(&heard)));
        let decider = Decider::new(now, Fence(7), limits, source, None, &mut out);
        Self {
            now,
            decider,
            heard,
            out,
        }
    }

    fn frame(&mut self, frame: GroupFrame) {
        let (now, out) = (self.now, &mut self.out);
        assert!(self.decider.frame(now, Peer::Local, frame, out));
    }

    fn staged(&mut self, number: u32) {
        let generation = self.decider.generation();
        let fence = Fence(7);
        let version = MapVersion { fence, number };
        self.frame(GroupFrame::Staged {
            generation,
            version,
        });
    }

    fn entered(&mut self, step: u64) {
        let generation = self.decider.generation();
        let entered = Step(step);
        self.frame(GroupFrame::Progress {
            generation,
            entered,
        });
        self.now += HEARTBEAT;
        self.decider.wake(self.now, &mut self.out);
    }
}

#[test]
fn a_source_is_asked_again_when_all_ranks_use_its_map() {
    let mut group = Group::start();
    let state = RankState {
        boot: EngineBoot(1),
        generation: None,
        entered: Step(0),
        held: smallvec::SmallVec::new(),
        active: None,
    };
    let rank = RankIndex(0);
    group.frame(GroupFrame::Attach {
        rank,
        state: state.clone(),
    });
    let generation = group.decider.generation();
    group.frame(GroupFrame::Joined {
        generation,
        state,
        map: None,
    });
    group.staged(1);
    group.entered(1);
    group.staged(2);
    // Granted through step 11 with the first map, from 12 with the second.
    group.entered(11);
    group.entered(12);

    let expected = [
        Heard::Initial,
        Heard::Resumed(vec![0]),
        Heard::Polled,
        Heard::InUse,
        Heard::Polled,
    ];
    assert_eq!(*group.heard.lock().expect("one thread"), expected);
}
