//! Planned stops and changed settings, by signal.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls `stop` at each `SIGTERM` or `SIGINT`, on a thread of its own.
///
/// # Errors
///
/// Returns the system's error when the signals can't be watched.
pub fn on_stop_signal(mut stop: impl FnMut() + Send + 'static) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                stop();
            }
        })?;
    Ok(())
}

/// Calls `changed` at each `SIGHUP`, on a thread of its own.
///
/// Without this the signal would end the process.
///
/// # Errors
///
/// Returns the system's error when the signal can't be watched.
pub fn on_settings_signal(mut changed: impl FnMut() + Send + 'static) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGHUP])?;
    std::thread::Builder::new()
        .name("settings-signal".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                changed();
            }
        })?;
    Ok(())
}
