//! The steps that a decider has granted in its generation.

use egretstage_wire::{Generation, Grant, MapVersion, Segment, Step};
use smallvec::SmallVec;

/// The granted steps of one generation; each step has one map for good.
#[derive(Clone, Debug)]
pub struct Schedule {
    generation: Generation,
    previous: Option<Segment>,
    current: Segment,
}

impl Schedule {
    /// Grants `horizon` steps from `from` on.
    #[must_use]
    pub fn new(generation: Generation, map: MapVersion, from: Step, horizon: u64) -> Self {
        let through = Step(from.0 + horizon - 1);
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

    /// Extends the grant to `horizon` steps beyond the last step begun.
    pub fn extend(&mut self, entered: Step, horizon: u64) {
        let through = self.current.through.max(Step(entered.0 + horizon));
        self.current.through = through;
        if entered >= self.current.from {
            self.previous = None;
        }
    }

    /// Tells whether all ranks have gone past the latest switch.
    #[must_use]
    pub fn switch_is_past(&self) -> bool {
        self.previous.is_none()
    }

    /// Grants `horizon` more steps with another map.
    ///
    /// The switch is decided here: the first step with the new map is the one
    /// after the last granted with the old map. Returns that step.
    pub fn switch(&mut self, map: MapVersion, horizon: u64) -> Step {
        let from = Step(self.current.through.0 + 1);
        let through = Step(self.current.through.0 + horizon);
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
