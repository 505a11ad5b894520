//! The interface between decision logic and the loop that runs it.

use std::time::Instant;

/// A state machine that turns events into effects.
///
/// A reducer does no I/O and reads no clock: it gets the time only through the
/// `now` argument, so a test can repeat a run exactly.
pub trait Reducer: 'static {
    /// Input that the reducer handles.
    type Event: Send + 'static;
    /// Action that the reducer requests from the I/O side.
    type Effect: 'static;

    /// Handles one event and appends the resulting effects.
    fn reduce(&mut self, now: Instant, event: Self::Event, effects: &mut Vec<Self::Effect>);

    /// Does the work that is due; called at or after the instant of [`next_wake`].
    ///
    /// [`next_wake`]: Reducer::next_wake
    fn wake(&mut self, now: Instant, effects: &mut Vec<Self::Effect>);

    /// Returns the next instant at which [`wake`](Reducer::wake) has work, if any.
    fn next_wake(&self) -> Option<Instant>;
}

/// Carries out the effects of a reducer.
pub trait EffectSink<E>: 'static {
    /// Carries out one effect, without blocking.
    fn carry_out(&mut self, effect: E);
}

impl<E, F: FnMut(E) + 'static> EffectSink<E> for F {
    fn carry_out(&mut self, effect: E) {
        self(effect);
    }
}
