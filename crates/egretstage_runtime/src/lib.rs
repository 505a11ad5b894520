//! Runs a reducer inside a `stakker` loop, in real or in virtual time.
//!
//! All decisions of a process are made by one [`Reducer`]: a state machine
//! that takes events and returns effects as data. I/O threads send it events
//! over a channel and carry out its effects, so the decision logic shares no
//! locks with them. The same reducer runs under [`EventLoop`] in a daemon, under
//! [`LocalLoop`] in a daemon whose I/O runs on the same thread, and under
//! [`VirtualLoop`] in tests, where the clock moves only on request.

mod actor;
mod event_loop;
mod listener;
mod local_loop;
mod outgoing;
mod reducer;
mod signals;
mod virtual_loop;

pub use event_loop::{EventLoop, EventSender};
pub use listener::bind_listener;
pub use local_loop::LocalLoop;
pub use outgoing::reset_on_close;
pub use reducer::{EffectSink, Reducer};
pub use signals::{on_settings_signal, on_stop_signal};
pub use virtual_loop::VirtualLoop;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        EffectSink, EventLoop, EventSender, LocalLoop, Reducer, VirtualLoop, on_stop_signal,
    };
}
