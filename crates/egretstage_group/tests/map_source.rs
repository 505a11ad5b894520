//! Checks that a decider reports to its map source which map the ranks use.

use egretstage_group::{Decider, DeciderLimits, MapSource, Output, Peer};
use egretstage_wire::{EngineBoot, Fence, GroupFrame, MapVersion, RankIndex, RankState, Step};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_secs(1);
const HORIZON_STEPS: u64 = 10;

/// A call to the map source.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SourceCall {
    InitialMap,
    GenerationStarted(Vec<u8>),
    Poll,
    MapActivated,
}

/// A source that returns a new map at each poll and records its calls.
struct EagerSource(Arc<Mutex<Vec<SourceCall>>>);

impl EagerSource {
    fn record(&self, call: SourceCall) {
        self.0.lock().expect("one thread").push(call);
    }
}

impl MapSource for EagerSource {
    fn initial_map(&mut self) -> Vec<u8> {
        self.record(SourceCall::InitialMap);
        vec![0]
    }

    fn generation_started(&mut self, map: &[u8]) {
        self.record(SourceCall::GenerationStarted(map.to_vec()));
    }

    fn poll(&mut self, _: Instant) -> Option<Vec<u8>> {
        self.record(SourceCall::Poll);
        Some(vec![1])
    }

    fn map_activated(&mut self, _: Instant) {
        self.record(SourceCall::MapActivated);
    }
}

/// A group of one rank, whose frames the test sends.
struct Group {
    now: Instant,
    decider: Decider,
    calls: Arc<Mutex<Vec<SourceCall>>>,
    out: Vec<Output>,
}

impl Group {
    fn start() -> Self {
        let (now, calls, mut out) = (Instant::now(), Arc::default(), Vec::new());
        let limits = DeciderLimits {
            ranks: 1,
            horizon_steps: HORIZON_STEPS,
            heartbeat: HEARTBEAT,
        };
        let source = Box::new(EagerSource(Arc::clone(&calls)));
        let decider = Decider::new(now, Fence(7), limits, source, None, &mut out);
        Self {
            now,
            decider,
            calls,
            out,
        }
    }

    fn frame(&mut self, frame: GroupFrame) {
        let (now, out) = (self.now, &mut self.out);
        assert!(self.decider.handle_frame(now, Peer::Local, frame, out));
    }

    fn report_staged(&mut self, number: u32) {
        let generation = self.decider.generation();
        let fence = Fence(7);
        let version = MapVersion { fence, number };
        self.frame(GroupFrame::Staged {
            generation,
            version,
        });
    }

    fn report_begun_step(&mut self, step: u64) {
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
fn a_source_is_polled_again_when_all_ranks_use_its_map() {
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
    group.report_staged(1);
    group.report_begun_step(1);
    group.report_staged(2);
    // The first map is granted through step 11, the second from step 12 on.
    group.report_begun_step(11);
    group.report_begun_step(12);

    let expected = [
        SourceCall::InitialMap,
        SourceCall::GenerationStarted(vec![0]),
        SourceCall::Poll,
        SourceCall::MapActivated,
        SourceCall::Poll,
    ];
    assert_eq!(*group.calls.lock().expect("one thread"), expected);
}
