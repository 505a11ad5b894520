//! Threads that read the platform's log and instance list.

use crate::EntryEvent;
use egretstage_config::{CONFIGURATION_STREAM, ConfigurationFold, Offset, Record};
use egretstage_platform::{AppendLog, InstanceList, LogRecord};
use egretstage_runtime::EventSender;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of one read for a new record.
const LOG_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Pause between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the configuration stream forever.
pub(crate) fn follow_log(log: &dyn AppendLog, events: &EventSender<EntryEvent>) {
    let mut fold = ConfigurationFold::default();
    let mut known = false;
    loop {
        match log.read(CONFIGURATION_STREAM, fold.offset().0 + 1, LOG_WAIT) {
            Ok(page) => {
                let changed = !page.records.is_empty();
                for record in &page.records {
                    apply(&mut fold, record);
                }
                if changed || !known {
                    known = true;
                    events.send(EntryEvent::Configured {
                        offset: fold.offset(),
                        configuration: Arc::new(fold.configuration().clone()),
                    });
                }
            }
            Err(e) => {
                log::warn!(error:display = e; "the log can't be read");
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

fn apply(fold: &mut ConfigurationFold, record: &LogRecord) {
    match serde_json::from_value::<Record>(record.data.clone()) {
        Ok(change) => {
            let verdict = fold.apply(Offset(record.offset), &change);
            log::info!(
                offset = record.offset,
                kind:display = change.envelope.kind,
                name = change.envelope.name.as_str(),
                verdict:display = verdict;
                "configuration record"
            );
        }
        Err(e) => {
            fold.skip(Offset(record.offset));
            log::warn!(offset = record.offset, error:display = e; "not a configuration record");
        }
    }
}

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
