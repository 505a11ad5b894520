//! The thread that reads the platform's instance list.

use crate::EntryEvent;
use egretstage_platform::InstanceList;
use egretstage_runtime::EventSender;
use std::time::Duration;

/// Pause between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the instance list forever.
pub(crate) fn follow_list(list: &dyn InstanceList, events: &EventSender<EntryEvent>) {
    loop {
        match list.instances() {
            Ok(listed) => events.send(EntryEvent::Listed(listed)),
            Err(e) => log::warn!(error:display = e; "the instance list can't be read"),
        }
        std::thread::sleep(LIST_INTERVAL);
    }
}
