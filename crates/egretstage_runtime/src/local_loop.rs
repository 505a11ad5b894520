//! The loop for a reducer that shares its thread with I/O.

use crate::actor::ReducerActor;
use crate::{EffectSink, Reducer};
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use std::time::{Duration, Instant};

/// Longest time between two checks of the timers.
const MAX_TIMER_WAIT: Duration = Duration::from_secs(1);

/// Runs a reducer on the thread of its I/O.
///
/// An event is handled, with all its effects, before [`event`] returns: on an
/// instance with a fraction of a core this saves the two thread switches that
/// an [`EventLoop`] costs for each event. The owner calls [`wake`] when
/// [`next_wake`] has passed.
///
/// [`event`]: LocalLoop::event
/// [`wake`]: LocalLoop::wake
/// [`next_wake`]: LocalLoop::next_wake
/// [`EventLoop`]: crate::EventLoop
///
/// ```
/// # use egretstage_runtime::prelude::*;
/// # use std::{cell::Cell, rc::Rc, time::Instant};
/// struct Count(u32);
/// impl Reducer for Count {
///     type Event = u32;
///     type Effect = u32;
///     fn reduce(&mut self, _: Instant, event: u32, effects: &mut Vec<u32>) {
///         self.0 += event;
///         effects.push(self.0);
///     }
///     fn wake(&mut self, _: Instant, _: &mut Vec<u32>) {}
///     fn next_wake(&self) -> Option<Instant> {
///         None
///     }
/// }
/// let sum = Rc::new(Cell::new(0));
/// let seen = Rc::clone(&sum);
/// let mut run = LocalLoop::new(Count(1), Box::new(move |effect| seen.set(effect)));
/// run.event(Instant::now(), 2);
/// assert_eq!(sum.get(), 3);
/// ```
pub struct LocalLoop<R: Reducer> {
    stakker: Stakker,
    owner: ActorOwn<ReducerActor<R>>,
}

impl<R: Reducer> LocalLoop<R> {
    /// Starts a reducer.
    #[must_use]
    pub fn new(reducer: R, sink: Box<dyn EffectSink<R::Effect>>) -> Self {
        let now = Instant::now();
        let mut stakker = Stakker::new(now);
        let s = &mut stakker;
        let owner = actor!(s, <ReducerActor<R>>::init(reducer, sink), ret_nop!());
        s.run(now, false);
        Self { stakker, owner }
    }

    /// Handles an event and carries out its effects.
    pub fn event(&mut self, now: Instant, event: R::Event) {
        call!([self.owner], handle_event(event));
        self.stakker.run(now, false);
    }

    /// Runs the timers that have expired.
    pub fn wake(&mut self, now: Instant) {
        self.stakker.run(now, false);
    }

    /// Returns the instant by which [`wake`](Self::wake) must be called.
    #[must_use]
    pub fn next_wake(&mut self, now: Instant) -> Instant {
        now + self.stakker.next_wait_max(now, MAX_TIMER_WAIT, false)
    }
}

impl<R: Reducer> std::fmt::Debug for LocalLoop<R> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LocalLoop").finish_non_exhaustive()
    }
}
