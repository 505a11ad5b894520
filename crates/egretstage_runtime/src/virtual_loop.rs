//! The virtual-time loop, whose clock moves only when a test advances it.

use crate::Reducer;
use crate::actor::ReducerActor;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Runs a reducer in virtual time and collects its effects.
///
/// ```
/// # use egretstage_runtime::prelude::*;
/// # use std::time::{Duration, Instant};
/// struct Echo;
/// impl Reducer for Echo {
///     type Event = u32;
///     type Effect = u32;
///     fn reduce(&mut self, _: Instant, event: u32, effects: &mut Vec<u32>) {
///         effects.push(event + 1);
///     }
///     fn wake(&mut self, _: Instant, _: &mut Vec<u32>) {}
///     fn next_wake(&self) -> Option<Instant> {
///         None
///     }
/// }
/// let mut run = VirtualLoop::new(Echo);
/// assert_eq!(run.event(1), vec![2]);
/// run.advance(Duration::from_secs(5));
/// assert_eq!(run.elapsed(), Duration::from_secs(5));
/// ```
pub struct VirtualLoop<R: Reducer> {
    stakker: Stakker,
    owner: ActorOwn<ReducerActor<R>>,
    effects: Rc<RefCell<Vec<R::Effect>>>,
    start: Instant,
    now: Instant,
}

impl<R: Reducer> VirtualLoop<R> {
    /// Starts the reducer with the clock paused.
    #[must_use]
    pub fn new(reducer: R) -> Self {
        Self::starting_at(Instant::now(), reducer)
    }

    /// Starts the reducer with the clock paused at `start`.
    ///
    /// Loops that start at the same instant share a timeline.
    #[must_use]
    pub fn starting_at(start: Instant, reducer: R) -> Self {
        let mut stakker = Stakker::new(start);
        let effects = Rc::new(RefCell::new(Vec::new()));
        let collected = Rc::clone(&effects);
        let sink = Box::new(move |effect| collected.borrow_mut().push(effect));
        let s = &mut stakker;
        let owner = actor!(s, <ReducerActor<R>>::init(reducer, sink), ret_nop!());
        s.run(start, false);
        Self {
            stakker,
            owner,
            effects,
            start,
            now: start,
        }
    }

    /// Returns the current virtual time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the virtual time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Handles an event at the current virtual time and returns its effects.
    pub fn event(&mut self, event: R::Event) -> Vec<R::Effect> {
        call!([self.owner], handle_event(event));
        self.stakker.run(self.now, false);
        self.effects.take()
    }

    /// Advances the clock, runs each timer when it expires, and returns all effects.
    pub fn advance(&mut self, by: Duration) -> Vec<R::Effect> {
        let end = self.now + by;
        while let Some(at) = self.stakker.next_expiry().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.stakker.run(self.now, false);
        }
        self.now = end;
        self.stakker.run(end, false);
        self.effects.take()
    }
}
