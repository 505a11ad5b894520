//! Handlers for the signals of a planned stop and of changed settings.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls `stop` on a separate thread at each `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Returns the system's error if the signal handlers can't be installed.
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

/// Calls `changed` on a separate thread at each `SIGHUP`.
///
/// Without a handler the signal would terminate the process.
///
/// # Errors
///
/// Returns the system's error if the signal handler can't be installed.
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
