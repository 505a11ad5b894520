//! The `stakker` actor that owns a reducer.

use crate::{EffectSink, Reducer};
use stakker::{CX, MinTimerKey, timer_min};

/// Owns a reducer, its effect sink and the timer of its next wake-up.
pub(crate) struct ReducerActor<R: Reducer> {
    reducer: R,
    sink: Box<dyn EffectSink<R::Effect>>,
    effects: Vec<R::Effect>,
    timer: MinTimerKey,
}

impl<R: Reducer> ReducerActor<R> {
    /// Starts the actor and arms the first timer.
    #[expect(clippy::unnecessary_wraps, reason = "the shape that stakker asks for")]
    pub(crate) fn init(
        cx: CX![],
        reducer: R,
        sink: Box<dyn EffectSink<R::Effect>>,
    ) -> Option<Self> {
        let mut actor = Self {
            reducer,
            sink,
            effects: Vec::new(),
            timer: MinTimerKey::default(),
        };
        actor.arm(cx);
        Some(actor)
    }

    /// Passes one event to the reducer.
    pub(crate) fn event(&mut self, cx: CX![], event: R::Event) {
        self.reducer.reduce(cx.now(), event, &mut self.effects);
        self.finish(cx);
    }

    fn wake(&mut self, cx: CX![]) {
        self.reducer.wake(cx.now(), &mut self.effects);
        self.finish(cx);
    }

    fn finish(&mut self, cx: CX![]) {
        for effect in self.effects.drain(..) {
            self.sink.carry_out(effect);
        }
        self.arm(cx);
    }

    fn arm(&mut self, cx: CX![]) {
        if let Some(at) = self.reducer.next_wake() {
            // Timers don't take instants that have passed.
            let at = at.max(cx.now());
            timer_min!(&mut self.timer, at, [cx], wake());
        }
    }
}
