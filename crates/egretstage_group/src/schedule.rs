//! Steps that a decider has granted in its generation.

use egretstage_wire::{Generation, Grant, MapVersion, Segment, Step};
use smallvec::SmallVec;

/// Granted steps of one generation; the map of a granted step never changes.
#[derive(Clone, Debug)]
pub struct Schedule {
    generation: Generation,
    /// The steps granted with the previous map, until a step with the current
    /// one has begun.
    previous: Option<Segment>,
    current: Segment,
}

impl Schedule {
    /// Creates a schedule that grants `horizon_steps` steps, starting with `from`.
    #[must_use]
    pub fn new(generation: Generation, map: MapVersion, from: Step, horizon_steps: u64) -> Self {
        let through = Step(from.0 + horizon_steps - 1);
        Self {
            generation,
            previous: None,
            current: Segment { map, from, through },
        }
    }

    /// Returns the map of the last granted step.
    #[must_use]
    pub fn map(&self) -> MapVersion {
        self.current.map
    }

    /// Extends the grant to `horizon_steps` steps beyond `last_begun`.
    pub fn extend(&mut self, last_begun: Step, horizon_steps: u64) {
        let through = self.current.through.max(Step(last_begun.0 + horizon_steps));
        self.current.through = through;
        if last_begun >= self.current.from {
            self.previous = None;
        }
    }

    /// Returns whether all ranks have passed the latest switch, which is known
    /// once a step with the new map has begun.
    #[must_use]
    pub fn is_switch_complete(&self) -> bool {
        self.previous.is_none()
    }

    /// Grants `horizon_steps` more steps with another map and returns the first
    /// of them.
    ///
    /// That step is the one after the last step granted with the old map, so no
    /// granted step changes its map.
    pub fn switch(&mut self, map: MapVersion, horizon_steps: u64) -> Step {
        let from = Step(self.current.through.0 + 1);
        let through = Step(self.current.through.0 + horizon_steps);
        let next = Segment { map, from, through };
        self.previous = Some(std::mem::replace(&mut self.current, next));
        from
    }

    /// Returns the grant to send.
    #[must_use]
    pub fn grant(&self) -> Grant {
        let segments: SmallVec<_> = self.previous.into_iter().chain([self.current]).collect();
        Grant {
            generation: self.generation,
            segments,
        }
    }
}
