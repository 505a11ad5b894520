//! Engine of one rank, which runs its steps together with the other ranks.
//!
//! [`crate::rank_group`] serves it over HTTP; the tests of the reducers run it
//! in virtual time.

use egretstage_group::{EngineCall, EngineReply};
use egretstage_wire::{
    EngineBoot, EngineOrder, Fence, Generation, Grant, MapVersion, RankState, Segment, Step,
    VersionedMap,
};
use std::collections::{BTreeMap, BTreeSet};

/// How an engine selects the map of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapSelection {
    /// The map that the grant names.
    Granted,
    /// The map that was staged last, whatever the grant names: a fault that the
    /// checks must detect.
    Latest,
}

/// A step that a rank executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutedStep {
    /// The step.
    pub step: Step,
    /// The rank.
    pub rank: u16,
    /// The generation in which it was executed.
    pub generation: Generation,
    /// The map that it was executed with.
    pub map: MapVersion,
}

/// Barrier between the ranks: a step runs only after all ranks have begun it.
///
/// Holds the ranks that have begun each step.
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

/// Options of an engine.
#[derive(Clone, Copy, Debug)]
pub struct RankEngineOptions {
    /// The rank of the engine.
    pub rank: u16,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// How it selects the map of a step.
    pub map_selection: MapSelection,
    /// Whether it refuses joins and orders with an old fencing number.
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
    /// The step that the engine has begun and not ended, with its map.
    open_step: Option<(Step, MapVersion)>,
    /// Whether the engine has begun a step in its generation.
    has_stepped: bool,
    /// Maps in the order in which they were staged.
    held: Vec<VersionedMap>,
    orders: Vec<EngineOrder>,
}

impl RankEngine {
    /// Creates an engine without maps, grants or a generation.
    #[must_use]
    pub fn new(options: RankEngineOptions, boot: EngineBoot) -> Self {
        Self {
            options,
            boot,
            generation: None,
            segments: Vec::new(),
            entered: Step::default(),
            active: None,
            open_step: None,
            has_stepped: false,
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

    /// Returns the orders that took effect, in the order in which they did.
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
    pub fn tick(&mut self, barrier: &mut StepBarrier, executed: &mut Vec<ExecutedStep>) {
        self.finish_step(barrier, executed);
        let Some(generation) = self.generation.filter(|_| self.open_step.is_none()) else {
            return;
        };
        let next = self.next_step();
        let covers = |segment: &&Segment| (segment.from..=segment.through).contains(&next);
        let Some(map) = self.segments.iter().find(covers).map(|s| self.step_map(s)) else {
            return;
        };
        if !self.holds_map(map) {
            return;
        }
        self.open_step = Some((next, map));
        self.entered = next;
        self.active = Some(map);
        self.has_stepped = true;
        barrier.enter(generation, next, self.options.rank);
    }

    /// Returns the next step; the first step of a generation may skip to the
    /// start of the granted segments.
    fn next_step(&self) -> Step {
        let next = Step(self.entered.0 + 1);
        let first = self.segments.first().map(|segment| segment.from);
        first
            .filter(|_| !self.has_stepped)
            .map_or(next, |f| f.max(next))
    }

    /// Returns the map with which a step of the segment runs.
    fn step_map(&self, segment: &Segment) -> MapVersion {
        match self.options.map_selection {
            MapSelection::Granted => segment.map,
            MapSelection::Latest => self.held.last().map_or(segment.map, |map| map.version),
        }
    }

    /// Ends the open step if all ranks have begun it.
    fn finish_step(&mut self, barrier: &StepBarrier, executed: &mut Vec<ExecutedStep>) {
        let (Some(generation), Some((step, map))) = (self.generation, self.open_step) else {
            return;
        };
        if barrier.is_complete(generation, step, self.options.ranks) {
            self.open_step = None;
            executed.push(ExecutedStep {
                step,
                rank: self.options.rank,
                generation,
                map,
            });
        }
    }

    /// Handles a call and returns the reply.
    pub fn handle_call(
        &mut self,
        call: EngineCall,
        barrier: &StepBarrier,
        executed: &mut Vec<ExecutedStep>,
    ) -> EngineReply {
        let mut map = None;
        let effective = match call {
            EngineCall::Probe => true,
            EngineCall::Join { generation, have } => {
                self.join(generation, barrier, executed);
                map = self.active_map().filter(|map| Some(map.version) != have);
                self.generation == Some(generation)
            }
            EngineCall::Stage { map, .. } => {
                if !self.holds_map(map.version) {
                    self.held.push(map);
                }
                true
            }
            EngineCall::Grant(grant) => self.apply_grant(&grant),
            EngineCall::Order(order) => self.apply_order(order),
        };
        EngineReply {
            effective,
            state: self.state(),
            map,
        }
    }

    fn join(
        &mut self,
        generation: Generation,
        barrier: &StepBarrier,
        executed: &mut Vec<ExecutedStep>,
    ) {
        let older = self.generation.is_some_and(|held| held > generation);
        let refused = older && self.options.checks_fences;
        if refused || self.generation == Some(generation) {
            return;
        }
        self.finish_step(barrier, executed);
        self.generation = Some(generation);
        self.open_step = None;
        self.segments.clear();
        self.has_stepped = false;
    }

    /// Adopts the granted segments unless they end earlier than the current ones.
    ///
    /// Returns whether the grant is for the joined generation and the engine
    /// holds all maps that it names.
    fn apply_grant(&mut self, grant: &Grant) -> bool {
        if self.generation != Some(grant.generation) {
            return false;
        }
        let through = |segments: &[Segment]| segments.last().map(|segment| segment.through);
        if through(&self.segments) <= through(&grant.segments) {
            self.segments = grant.segments.to_vec();
        }
        grant
            .segments
            .iter()
            .all(|segment| self.holds_map(segment.map))
    }

    /// Applies an order and returns whether its fencing number was accepted.
    fn apply_order(&mut self, order: EngineOrder) -> bool {
        let joined_fence = self.generation.map_or(Fence::default(), |g| g.fence);
        let last_order_fence = self.orders.last().map_or(Fence::default(), |o| o.fence);
        if self.options.checks_fences && order.fence < joined_fence.max(last_order_fence) {
            return false;
        }
        self.orders.push(order);
        true
    }

    fn holds_map(&self, map: MapVersion) -> bool {
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
