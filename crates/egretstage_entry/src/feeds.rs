//! The thread that reads the platform's instance list.

use crate::EntryEvent;
use egretstage_platform::InstanceList;
use egretstage_runtime::EventSender;
use std::time::Duration;

/// Shortest pause between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Pause for each instance on the list, which bounds the bytes a second that
/// reading it takes.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(12);

/// Reads the instance list forever.
pub(crate) fn follow_list(list: &dyn InstanceList, events: &EventSender<EntryEvent>) {
    let mut pause = LIST_INTERVAL;
    loop {
        match list.instances() {
            Ok(listed) => {
                pause = pause_after(listed.len());
                events.send(EntryEvent::InstancesListed(listed));
            }
            Err(e) => log::warn!(error:display = e; "the instance list can't be read"),
        }
        std::thread::sleep(pause);
    }
}

/// Returns the pause after a list of so many instances.
fn pause_after(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    PAUSE_PER_INSTANCE
        .saturating_mul(instances)
        .max(LIST_INTERVAL)
}
