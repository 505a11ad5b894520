//! Planned stops by signal.

use signal_hook::consts::{SIGINT, SIGTERM};
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
