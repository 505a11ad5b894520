//! The contract between decision logic and the loop that drives it.

use std::time::Instant;

/// A state machine that turns events into effects.
///
/// A reducer does no I/O and reads no clock: it sees the time only through the
/// `now` argument, so a test repeats a run exactly.
pub trait Reducer: 'static {
    /// What can happen to the reducer.
    type Event: Send + 'static;
    /// What the reducer asks the I/O side to do.
    type Effect: 'static;

    /// Handles one event and appends the effects that it calls for.
    fn reduce(&mut self, now: Instant, event: Self::Event, effects: &mut Vec<Self::Effect>);

    /// Handles the passing of time, at or after the instant of [`next_wake`].
    ///
    /// [`next_wake`]: Reducer::next_wake
    fn wake(&mut self, now: Instant, effects: &mut Vec<Self::Effect>);

    /// Returns the next instant at which [`wake`](Reducer::wake) has work.
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
