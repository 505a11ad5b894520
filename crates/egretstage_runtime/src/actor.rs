//! The `stakker` actor that owns a reducer.

use crate::{EffectSink, Reducer};
use stakker::{CX, MinTimerKey, timer_min};

/// Owns a reducer, its effect sink and the timer for its next wake-up.
pub(crate) struct ReducerActor<R: Reducer> {
    reducer: R,
    sink: Box<dyn EffectSink<R::Effect>>,
    effects: Vec<R::Effect>,
    timer: MinTimerKey,
}

impl<R: Reducer> ReducerActor<R> {
    /// Creates the actor and sets its first timer.
    #[expect(
        clippy::unnecessary_wraps,
        reason = "the signature that stakker requires"
    )]
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
        actor.set_timer(cx);
        Some(actor)
    }

    /// Passes one event to the reducer.
    pub(crate) fn handle_event(&mut self, cx: CX![], event: R::Event) {
        self.reducer.reduce(cx.now(), event, &mut self.effects);
        self.apply_effects(cx);
    }

    fn wake(&mut self, cx: CX![]) {
        self.reducer.wake(cx.now(), &mut self.effects);
        self.apply_effects(cx);
    }

    fn apply_effects(&mut self, cx: CX![]) {
        for effect in self.effects.drain(..) {
            self.sink.carry_out(effect);
        }
        self.set_timer(cx);
    }

    fn set_timer(&mut self, cx: CX![]) {
        if let Some(at) = self.reducer.next_wake() {
            // A timer can't be set to an instant in the past.
            let at = at.max(cx.now());
            timer_min!(&mut self.timer, at, [cx], wake());
        }
    }
}
