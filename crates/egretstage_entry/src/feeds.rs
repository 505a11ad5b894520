//! The thread that reads the platform's instance list.

use crate::EntryEvent;
use egretstage_platform::InstanceList;
use egretstage_runtime::EventSender;
use std::time::Duration;

/// Minimum pause between two reads of the instance list.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(500);

/// Pause per listed instance, which bounds the bytes read per second.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(12);

/// Reads the instance list periodically, for as long as the process runs.
pub(crate) fn poll_list(list: &dyn InstanceList, events: &EventSender<EntryEvent>) {
    let mut pause = MIN_POLL_PAUSE;
    loop {
        match list.instances() {
            Ok(listed) => {
                pause = poll_pause(listed.len());
                events.send(EntryEvent::InstancesListed(listed));
            }
            Err(e) => log::warn!(error:display = e; "the instance list can't be read"),
        }
        std::thread::sleep(pause);
    }
}

/// Returns the pause after reading a list of `instances` instances.
fn poll_pause(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    PAUSE_PER_INSTANCE
        .saturating_mul(instances)
        .max(MIN_POLL_PAUSE)
}
