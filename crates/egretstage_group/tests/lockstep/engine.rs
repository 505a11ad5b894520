//! A model of engine ranks that step together.

use egretstage_group::{EngineCall, EngineReply};
use egretstage_wire::{
    EngineBoot, Fence, Generation, MapVersion, RankState, Segment, Step, VersionedMap,
};
use std::collections::{BTreeMap, BTreeSet};

/// How an engine errs on purpose, to see the checks fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Discipline {
    /// It steps with the map that the grant names.
    Granted,
    /// It uses a map as soon as it holds it.
    EagerMap,
}

/// A step that a rank really ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ran {
    pub(crate) step: Step,
    pub(crate) rank: usize,
    pub(crate) generation: Generation,
    pub(crate) map: MapVersion,
}

/// Ranks that have begun each step: all must, before it runs anywhere.
#[derive(Debug, Default)]
pub(crate) struct Barrier(BTreeMap<(Generation, Step), BTreeSet<usize>>);

impl Barrier {
    fn enter(&mut self, generation: Generation, step: Step, rank: usize) {
        self.0.entry((generation, step)).or_default().insert(rank);
    }

    fn is_complete(&self, generation: Generation, step: Step, ranks: usize) -> bool {
        self.0
            .get(&(generation, step))
            .is_some_and(|entered| entered.len() == ranks)
    }
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) rank: usize,
    ranks: usize,
    discipline: Discipline,
    checks_fences: bool,
    boot: EngineBoot,
    generation: Option<Generation>,
    segments: Vec<Segment>,
    entered: Step,
    active: Option<MapVersion>,
    /// The step that this engine has begun and not ended.
    open: Option<(Step, MapVersion)>,
    stepped: bool,
    held: Vec<VersionedMap>,
    pub(crate) orders: Vec<Fence>,
}

impl Engine {
    pub(crate) fn new(
        rank: usize,
        ranks: usize,
        boot: u64,
        discipline: Discipline,
        checks: bool,
    ) -> Self {
        Self {
            rank,
            ranks,
            discipline,
            checks_fences: checks,
            boot: EngineBoot(boot),
            generation: None,
            segments: Vec::new(),
            entered: Step(0),
            active: None,
            open: None,
            stepped: false,
            held: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Ends the open step if all ranks have begun it, and begins the next.
    pub(crate) fn tick(&mut self, barrier: &mut Barrier, ran: &mut Vec<Ran>) {
        self.finish(barrier, ran);
        let Some(generation) = self.generation.filter(|_| self.open.is_none()) else {
            return;
        };
        let first = self.segments.first().map_or(0, |segment| segment.from.0);
        let next = Step(if self.stepped {
            self.entered.0 + 1
        } else {
            first.max(self.entered.0 + 1)
        });
        let granted = self
            .segments
            .iter()
            .find(|s| (s.from..=s.through).contains(&next));
        let Some(map) = granted.map(|segment| segment.map) else {
            return;
        };
        let map = match self.discipline {
            Discipline::Granted => map,
            Discipline::EagerMap => self.held.last().map_or(map, |held| held.version),
        };
        if self.held.iter().any(|held| held.version == map) {
            self.open = Some((next, map));
            self.entered = next;
            self.active = Some(map);
            self.stepped = true;
            barrier.enter(generation, next, self.rank);
        }
    }

    fn finish(&mut self, barrier: &Barrier, ran: &mut Vec<Ran>) {
        let (Some(generation), Some((step, map))) = (self.generation, self.open) else {
            return;
        };
        if barrier.is_complete(generation, step, self.ranks) {
            self.open = None;
            ran.push(Ran {
                step,
                rank: self.rank,
                generation,
                map,
            });
        }
    }

    pub(crate) fn call(
        &mut self,
        call: EngineCall,
        barrier: &Barrier,
        ran: &mut Vec<Ran>,
    ) -> EngineReply {
        let mut map = None;
        let effective = match call {
            EngineCall::Probe => true,
            EngineCall::Join { generation, have } => {
                let older = self.generation.is_some_and(|held| held > generation);
                if !(older && self.checks_fences) {
                    self.join(generation, barrier, ran);
                }
                let active = self.active.filter(|active| Some(*active) != have);
                map = self
                    .held
                    .iter()
                    .find(|held| Some(held.version) == active)
                    .cloned();
                self.generation == Some(generation)
            }
            EngineCall::Stage { map, .. } => {
                if !self.held.iter().any(|held| held.version == map.version) {
                    self.held.push(map);
                }
                true
            }
            EngineCall::Grant(grant) => {
                let through = |segments: &[Segment]| segments.last().map(|s| s.through);
                let ours = self.generation == Some(grant.generation);
                if ours && through(&self.segments) <= through(&grant.segments) {
                    self.segments = grant.segments.to_vec();
                }
                ours && grant.segments.iter().all(|s| self.holds(s.map))
            }
            EngineCall::Order(order) => {
                let known = self.generation.map_or(Fence(0), |g| g.fence);
                let lowest = self.orders.last().copied().unwrap_or_default().max(known);
                let accepted = !self.checks_fences || order.fence >= lowest;
                if accepted {
                    self.orders.push(order.fence);
                }
                accepted
            }
        };
        EngineReply {
            effective,
            state: self.state(),
            map,
        }
    }

    fn holds(&self, map: MapVersion) -> bool {
        self.held.iter().any(|held| held.version == map)
    }

    fn join(&mut self, generation: Generation, barrier: &Barrier, ran: &mut Vec<Ran>) {
        if self.generation != Some(generation) {
            self.finish(barrier, ran);
            self.generation = Some(generation);
            self.open = None;
            self.segments.clear();
            self.stepped = false;
        }
    }

    fn state(&self) -> RankState {
        RankState {
            boot: self.boot,
            generation: self.generation,
            entered: self.entered,
            held: self.held.iter().map(|map| map.version).collect(),
            active: self.active,
        }
    }
}
