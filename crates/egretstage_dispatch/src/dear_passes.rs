//! How dear the passes of a model group are that keep coming back.
//!
//! Load pattern: every few seconds other experts come into demand, and until the
//! next map is in force a few passes take half as long again. A stream lives
//! about as long as the time between two shifts, so nearly each one meets such
//! passes, and one pause over the objective makes it late. A bound that follows
//! the cheap passes in between lets the next shift make all streams late; one
//! that remembers the dearest pass for long turns callers away long after a
//! rank that was slow for once has recovered.
//!
//! So a cost counts by how often passes rise to it, not by how long they stay
//! there: a stream should seldom meet one that is dearer than planned for.

use std::collections::VecDeque;
use std::time::Duration;

/// Span of which the dearest pass is kept: a few passes, and a fraction of the
/// time for which those after a shift are dear.
const WINDOW: Duration = Duration::from_millis(250);

/// Windows that are kept: 24 s, several times the longest usual time between
/// two shifts of demand.
const WINDOWS: usize = 96;

/// Share of the streams that may meet passes dearer than planned for. A late
/// answer is worth about half of one in time, and a bound made for the dear
/// passes runs a tenth to a quarter fewer streams, for whom others wait.
const MET_BY: f32 = 0.5;

/// Share of a cost below which passes must fall before they can rise to it
/// again: those of a steady group differ by less.
const FALLEN: f32 = 0.8;

/// Learns which costs of a stream recur.
///
/// ```
/// # use egretstage_dispatch::dear_passes::DearPasses;
/// # use std::time::Duration;
/// let mut passes = DearPasses::default();
/// let pass = Duration::from_millis(80);
/// let life = Duration::from_secs(2);
/// for _ in 0..4 {
///     for cost in [1.6; 5].into_iter().chain([1.0; 30]) {
///         passes.note(pass, cost, life);
///     }
/// }
/// assert_eq!(passes.recurring(), 1.6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DearPasses {
    /// Dearest cost of each past window, the newest last.
    windows: VecDeque<f32>,
    /// Time and dearest cost of the window that is open.
    open: (Duration, f32),
    /// The dearest cost that enough streams meet.
    recurring: f32,
}

impl DearPasses {
    /// Notes what a stream costs after a time in which the group was full;
    /// `life` is how long streams last.
    pub fn note(&mut self, passed: Duration, cost: f32, life: Duration) {
        let (time, dearest) = self.open;
        self.open = (time + passed, dearest.max(cost));
        if self.open.0 < WINDOW {
            return;
        }
        self.windows.push_back(self.open.1);
        self.open = (Duration::ZERO, 0.0);
        if self.windows.len() > WINDOWS {
            self.windows.pop_front();
        }
        self.recurring = self.find_recurring(life);
    }

    /// Returns the dearest cost that enough of the streams meet; 0 if there is
    /// none.
    #[must_use]
    pub fn recurring(&self) -> f32 {
        self.recurring
    }

    fn find_recurring(&self, life: Duration) -> f32 {
        let span = WINDOW.as_secs_f32() * to_f32(self.windows.len());
        let is_met = |cost: &f32| {
            let rises = to_f32(self.rises_to(*cost));
            rises * life.as_secs_f32() >= MET_BY * span
        };
        let met = self.windows.iter().copied().filter(is_met);
        met.fold(0.0, f32::max)
    }

    /// Returns how often the cost rose to a level.
    fn rises_to(&self, level: f32) -> usize {
        let mut rises = 0;
        let mut above = false;
        for cost in &self.windows {
            if !above && *cost >= level {
                rises += 1;
                above = true;
            } else if *cost < level * FALLEN {
                above = false;
            }
        }
        rises
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f32(count: usize) -> f32 {
    count as f32
}
