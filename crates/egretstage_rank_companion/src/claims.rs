//! Reads and writes claims in the platform's store, and reads the shape of the
//! group from the configuration.

use compact_str::CompactString;
use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_gateway::{RecordDecoder, decode_entry_address};
use egretstage_passes::{DeciderClaim, GroupShape, MemberEvent};
use egretstage_platform::{
    ConditionalPut, KeyedChange, KeyedFollower, KeyedRecord, KeyedStore, KeyedTopic, NewestRecords,
    PlatformError, StoreEra, read_newest,
};
use egretstage_runtime::EventSender;
use egretstage_wire::ServiceName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before the configuration is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest time for which a call to the store waits for a configuration.
/// Companions start before the operator writes one, and each call has a cost.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(5);

/// A call to the store.
#[derive(Debug)]
pub(crate) enum StoreCall {
    /// Reads the newest claim of a group.
    Read(CompactString),
    /// Writes a claim with its fencing number, if the claims still end at the
    /// given offset.
    Write(Box<DeciderClaim>, u64, u64),
    /// Reads the addresses of the entries.
    ReadEntries,
}

/// Queue of calls to the store, which a thread makes one after the other.
#[derive(Debug)]
pub(crate) struct StoreCalls(Sender<StoreCall>);

impl StoreCalls {
    /// Starts the thread that calls the store.
    ///
    /// The thread first waits for a configuration that describes the group.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub(crate) fn start(
        store: Box<dyn KeyedStore>,
        decoder: Arc<dyn RecordDecoder>,
        service: ServiceName,
        events: EventSender<MemberEvent>,
    ) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let thread = std::thread::Builder::new().name("claims".to_owned());
        thread.spawn(move || {
            events.send(MemberEvent::GroupConfigured(await_group_shape(
                &*store, &decoder, &service,
            )));
            run(&*store, &rx, &events);
        })?;
        Ok(Self(tx))
    }

    /// Queues a call.
    pub(crate) fn call(&self, call: StoreCall) {
        // The send can't fail: the thread ends only with the process.
        drop(self.0.send(call));
    }
}

/// Follows the configuration until it describes the service's experts.
fn await_group_shape(
    store: &dyn KeyedStore,
    decoder: &Arc<dyn RecordDecoder>,
    service: &ServiceName,
) -> GroupShape {
    let mut follower = KeyedFollower::new(KeyedTopic::Configuration, decoder.clone());
    loop {
        match follower.poll(Instant::now(), store, CONFIGURATION_WAIT) {
            Ok(changes) => {
                let newest_first = changes.into_iter().rev();
                let mut shapes =
                    newest_first.filter_map(|change| group_shape(change, &**decoder, service));
                if let Some(shape) = shapes.next() {
                    return shape;
                }
            }
            Err(e) => {
                log::debug!(error:display = e; "the configuration can't be read");
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Returns the shape of the group from a change of the configuration, if that
/// describes the service's experts.
fn group_shape(
    change: KeyedChange,
    decoder: &dyn RecordDecoder,
    service: &ServiceName,
) -> Option<GroupShape> {
    let KeyedChange::Put { key, value, .. } = change else {
        return None;
    };
    let table = match decoder.decode_routing_table(&key, &value) {
        Ok(table) => table?,
        Err(e) => {
            log::error!(error:display = e; "a configuration can't be decoded");
            return None;
        }
    };
    let experts = table.service(service)?.engine?.experts?;
    Some(GroupShape {
        layers: experts.layers,
        experts: experts.experts,
        slots_per_rank: experts.slots_per_rank,
        copies_per_layer: experts.copies_per_layer,
        copy_time: experts.copy_time,
    })
}

/// Makes the queued calls and sends their results to the member.
fn run(store: &dyn KeyedStore, rx: &Receiver<StoreCall>, events: &EventSender<MemberEvent>) {
    for call in rx {
        let result = match &call {
            StoreCall::Read(group) => read_claim(store, group),
            StoreCall::Write(claim, fence, end) => write_claim(store, claim, *fence, *end),
            StoreCall::ReadEntries => Ok(MemberEvent::EntriesRead(
                read_entries(store)
                    .inspect_err(|e| {
                        log::warn!(dependency = "store", error:display = e; "the entries can't be read");
                    })
                    .ok(),
            )),
        };
        events.send(result.unwrap_or_else(|e| {
            log::warn!(dependency = "store", error:display = e; "a claim can't be read or written");
            MemberEvent::ClaimFailed
        }));
    }
}

/// Reads the newest claim of a group.
fn read_claim(store: &dyn KeyedStore, group: &str) -> Result<MemberEvent, PlatformError> {
    let NewestRecords { records, end, era } = read_newest(store, KeyedTopic::Deciders)?;
    let mut of_group = records.iter().filter(|record| record.key == group);
    Ok(MemberEvent::ClaimRead {
        claim: of_group.next().and_then(decode_claim),
        end,
        least_fence: least_fence(era, end),
    })
}

/// Reads the addresses of the entries.
fn read_entries(store: &dyn KeyedStore) -> Result<Vec<SocketAddr>, PlatformError> {
    let records = read_newest(store, KeyedTopic::Entries)?.records;
    let values = records.iter().filter_map(|record| record.value.as_deref());
    Ok(values.filter_map(decode_entry_address).collect())
}

/// A claim as stored.
///
/// It holds its fencing number, which can't be derived from the claim's offset:
/// offsets are assigned again after the store is restored from a copy.
#[derive(Serialize, Deserialize)]
struct StoredClaim {
    claim: DeciderClaim,
    fence: u64,
}

fn decode_claim(record: &KeyedRecord) -> Option<(DeciderClaim, u64)> {
    match ciborium::from_reader(record.value.as_deref()?) {
        Ok(StoredClaim { claim, fence }) => Some((claim, fence)),
        Err(e) => {
            log::error!(key = record.key.as_str(), error:display = e; "a claim can't be decoded");
            None
        }
    }
}

/// Fencing numbers per era of the store: more than the claims that are lost
/// when the store is restored from a copy.
const FENCES_PER_ERA: u64 = 1 << 20;

/// Returns the lowest fencing number of a claim that is written at offset
/// `end`. No other claim of this era or of an earlier one has it.
fn least_fence(era: StoreEra, end: u64) -> u64 {
    era.0 * FENCES_PER_ERA + end + 1
}

/// Writes a claim if the claims still end at `end`, or else reads the newest.
fn write_claim(
    store: &dyn KeyedStore,
    claim: &DeciderClaim,
    fence: u64,
    end: u64,
) -> Result<MemberEvent, PlatformError> {
    let mut value = Vec::new();
    let stored = StoredClaim {
        claim: claim.clone(),
        fence,
    };
    ciborium::into_writer(&stored, &mut value).map_err(|e| PlatformError::Malformed {
        url: claim.group.to_string(),
        reason: e.to_string(),
    })?;
    let record = KeyedRecord {
        key: claim.group.clone(),
        value: Some(value),
        offset: end,
    };
    match store.put_if_end(KeyedTopic::Deciders, &record, end)? {
        ConditionalPut::Written(offset) => Ok(MemberEvent::ClaimRead {
            claim: Some((claim.clone(), fence)),
            end: offset + 1,
            least_fence: fence + 1,
        }),
        ConditionalPut::Conflict(_) => read_claim(store, &claim.group),
    }
}
