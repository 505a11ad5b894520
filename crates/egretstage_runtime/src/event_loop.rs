//! The real-time loop: one thread that runs one `stakker` with one reducer.

use crate::actor::ReducerActor;
use crate::{EffectSink, Reducer};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest sleep of the loop when no timer expires earlier.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Maximum number of queued events handled, after the first one, before the timers
/// are checked again.
const MAX_EVENT_BATCH: usize = 256;

/// Sends events to a running [`EventLoop`].
#[derive(Debug)]
pub struct EventSender<E>(Sender<E>);

impl<E> Clone for EventSender<E> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<E> EventSender<E> {
    /// Queues an event; it is dropped if the loop has ended.
    pub fn send(&self, event: E) {
        let _ = self.0.send(event);
    }
}

/// A reducer that runs on a thread of its own.
///
/// The loop ends when every [`EventSender`] has been dropped.
#[derive(Debug)]
pub struct EventLoop {
    thread: JoinHandle<()>,
}

impl EventLoop {
    /// Creates the channel over which a loop receives its events.
    #[must_use]
    pub fn channel<E>() -> (EventSender<E>, Receiver<E>) {
        let (tx, rx) = unbounded();
        (EventSender(tx), rx)
    }

    /// Starts a loop on a new thread; `create` runs on that thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub fn spawn<R, F>(name: &str, rx: Receiver<R::Event>, create: F) -> std::io::Result<Self>
    where
        R: Reducer,
        F: FnOnce() -> (R, Box<dyn EffectSink<R::Effect>>) + Send + 'static,
    {
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let (reducer, sink) = create();
                run_loop(reducer, sink, &rx);
            })?;
        Ok(Self { thread })
    }

    /// Waits for the loop to end.
    ///
    /// # Panics
    ///
    /// Panics if the reducer panicked: a broken invariant stops the process.
    pub fn join(self) {
        self.thread.join().expect("the reducer's thread panicked");
    }
}

fn run_loop<R: Reducer>(reducer: R, sink: Box<dyn EffectSink<R::Effect>>, rx: &Receiver<R::Event>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let owner: ActorOwn<ReducerActor<R>> =
        actor!(s, <ReducerActor<R>>::init(reducer, sink), ret_nop!());
    s.run(Instant::now(), false);
    loop {
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match rx.recv_timeout(sleep) {
            Ok(event) => {
                call!([owner], handle_event(event));
                for event in rx.try_iter().take(MAX_EVENT_BATCH) {
                    call!([owner], handle_event(event));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        s.run(Instant::now(), false);
    }
}
