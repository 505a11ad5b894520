//! The engine of one rank, which steps together with those of the other ranks.
//!
//! The same rules run behind HTTP in [`crate::rank_group`] and, in virtual
//! time, in the tests of the reducers.

use egretstage_group::{EngineCall, EngineReply};
use egretstage_wire::{
    EngineBoot, EngineOrder, Fence, Generation, Grant, MapVersion, RankState, Segment, Step,
    VersionedMap,
};
use std::collections::{BTreeMap, BTreeSet};

/// How an engine keeps to what it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapSelection {
    /// It steps with the map that the grant names.
    Granted,
    /// It uses a map as soon as it holds it; a check has to notice.
    Latest,
}

/// A step that a rank really ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutedStep {
    /// The step.
    pub step: Step,
    /// The rank.
    pub rank: u16,
    /// The generation in which it ran.
    pub generation: Generation,
    /// The map that it ran with.
    pub map: MapVersion,
}

/// The ranks that have begun each step: all must, before it runs on any.
#[derive(Debug, Default)]
pub struct StepBarrier(BTreeMap<(Generation, Step), BTreeSet<u16>>);

impl StepBarrier {
    fn enter(&mut self, generation: Generation, step: Step, rank: u16) {
        self.0.entry((generation, step)).or_default().insert(rank);
    }

    fn is_complete(&self, generation: Generation, step: Step, ranks: u16) -> bool {
        let entered = self.0.get(&(generation, step));
        entered.is_some_and(|entered| entered.len() == usize::from(ranks))
    }
}

/// What an engine is.
#[derive(Clone, Copy, Debug)]
pub struct RankEngineOptions {
    /// Its rank.
    pub rank: u16,
    /// Number of ranks in its group.
    pub ranks: u16,
    /// How it keeps to what it was granted.
    pub map_selection: MapSelection,
    /// Whether it refuses calls with an old fencing number.
    pub checks_fences: bool,
}

/// The engine of one rank.
#[derive(Debug)]
pub struct RankEngine {
    options: RankEngineOptions,
    boot: EngineBoot,
    generation: Option<Generation>,
    segments: Vec<Segment>,
    entered: Step,
    active: Option<MapVersion>,
    /// The step that this engine has begun and not ended.
    open: Option<(Step, MapVersion)>,
    /// Whether it has begun a step in its generation.
    stepped: bool,
    held: Vec<VersionedMap>,
    orders: Vec<EngineOrder>,
}

impl RankEngine {
    /// Starts an engine that holds nothing.
    #[must_use]
    pub fn new(options: RankEngineOptions, boot: EngineBoot) -> Self {
        Self {
            options,
            boot,
            generation: None,
            segments: Vec::new(),
            entered: Step::default(),
            active: None,
            open: None,
            stepped: false,
            held: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Returns the engine's rank.
    #[must_use]
    pub fn rank(&self) -> u16 {
        self.options.rank
    }

    /// Returns the generation that the engine has joined.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// Returns the orders that took effect, in that order.
    #[must_use]
    pub fn orders(&self) -> &[EngineOrder] {
        &self.orders
    }

    /// Returns the fencing numbers of the orders that took effect.
    #[must_use]
    pub fn order_fences(&self) -> Vec<Fence> {
        self.orders.iter().map(|order| order.fence).collect()
    }

    /// Ends the open step if all ranks have begun it, and begins the next.
    pub fn tick(&mut self, barrier: &mut StepBarrier, ran: &mut Vec<ExecutedStep>) {
        self.finish(barrier, ran);
        let Some(generation) = self.generation.filter(|_| self.open.is_none()) else {
            return;
        };
        let next = self.next_step();
        let covers = |segment: &&Segment| (segment.from..=segment.through).contains(&next);
        let Some(map) = self.segments.iter().find(covers).map(|s| self.map_of(s)) else {
            return;
        };
        if !self.holds(map) {
            return;
        }
        self.open = Some((next, map));
        self.entered = next;
        self.active = Some(map);
        self.stepped = true;
        barrier.enter(generation, next, self.options.rank);
    }

    fn next_step(&self) -> Step {
        let next = Step(self.entered.0 + 1);
        let first = self.segments.first().map(|segment| segment.from);
        first
            .filter(|_| !self.stepped)
            .map_or(next, |f| f.max(next))
    }

    fn map_of(&self, segment: &Segment) -> MapVersion {
        match self.options.map_selection {
            MapSelection::Granted => segment.map,
            MapSelection::Latest => self.held.last().map_or(segment.map, |map| map.version),
        }
    }

    fn finish(&mut self, barrier: &StepBarrier, ran: &mut Vec<ExecutedStep>) {
        let (Some(generation), Some((step, map))) = (self.generation, self.open) else {
            return;
        };
        if barrier.is_complete(generation, step, self.options.ranks) {
            self.open = None;
            ran.push(ExecutedStep {
                step,
                rank: self.options.rank,
                generation,
                map,
            });
        }
    }

    /// Answers a call.
    pub fn handle_call(
        &mut self,
        call: EngineCall,
        barrier: &StepBarrier,
        ran: &mut Vec<ExecutedStep>,
    ) -> EngineReply {
        let mut map = None;
        let effective = match call {
            EngineCall::Probe => true,
            EngineCall::Join { generation, have } => {
                self.join(generation, barrier, ran);
                map = self.active_map().filter(|map| Some(map.version) != have);
                self.generation == Some(generation)
            }
            EngineCall::Stage { map, .. } => {
                if !self.holds(map.version) {
                    self.held.push(map);
                }
                true
            }
            EngineCall::Grant(grant) => self.grant(&grant),
            EngineCall::Order(order) => self.order(order),
        };
        EngineReply {
            effective,
            state: self.state(),
            map,
        }
    }

    fn join(&mut self, generation: Generation, barrier: &StepBarrier, ran: &mut Vec<ExecutedStep>) {
        let older = self.generation.is_some_and(|held| held > generation);
        let refused = older && self.options.checks_fences;
        if refused || self.generation == Some(generation) {
            return;
        }
        self.finish(barrier, ran);
        self.generation = Some(generation);
        self.open = None;
        self.segments.clear();
        self.stepped = false;
    }

    fn grant(&mut self, grant: &Grant) -> bool {
        if self.generation != Some(grant.generation) {
            return false;
        }
        let through = |segments: &[Segment]| segments.last().map(|segment| segment.through);
        if through(&self.segments) <= through(&grant.segments) {
            self.segments = grant.segments.to_vec();
        }
        grant.segments.iter().all(|segment| self.holds(segment.map))
    }

    fn order(&mut self, order: EngineOrder) -> bool {
        let joined = self.generation.map_or(Fence::default(), |g| g.fence);
        let ordered = self.orders.last().map_or(Fence::default(), |o| o.fence);
        if self.options.checks_fences && order.fence < joined.max(ordered) {
            return false;
        }
        self.orders.push(order);
        true
    }

    fn holds(&self, map: MapVersion) -> bool {
        self.held.iter().any(|held| held.version == map)
    }

    /// Returns the map of the last step that the engine has begun.
    #[must_use]
    pub fn active_map(&self) -> Option<VersionedMap> {
        let active = self.active?;
        self.held.iter().find(|map| map.version == active).cloned()
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
