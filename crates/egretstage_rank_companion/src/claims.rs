//! Claims in the platform's store, and the shape of the group.

use compact_str::CompactString;
use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_gateway::RecordDecoder;
use egretstage_passes::{DeciderClaim, GroupShape, MemberEvent};
use egretstage_platform::{
    KeyedChange, KeyedFollower, KeyedRecord, KeyedStore, KeyedTopic, PlatformError, PutAt, StoreEra,
};
use egretstage_runtime::EventSender;
use egretstage_wire::ServiceName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before the configuration is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long the store may wait for a configuration: companions start before
/// the operator writes it, and each call has its price.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(5);

/// A call to the store.
#[derive(Debug)]
pub(crate) enum ClaimCall {
    Read(CompactString),
    /// A claim, its fencing number, and where the claims shall still end.
    Write(Box<DeciderClaim>, u64, u64),
}

/// Makes the calls to the store, one after the other.
#[derive(Debug)]
pub(crate) struct ClaimCalls(Sender<ClaimCall>);

impl ClaimCalls {
    /// Starts the thread that calls the store.
    ///
    /// It first waits for a configuration that describes the group.
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
            events.send(MemberEvent::Shaped(await_shape(
                &*store, &*decoder, &service,
            )));
            run(&*store, &rx, &events);
        })?;
        Ok(Self(tx))
    }

    pub(crate) fn call(&self, call: ClaimCall) {
        // The thread ends with the process.
        drop(self.0.send(call));
    }
}

/// Follows the configuration until it describes the group's experts.
fn await_shape(
    store: &dyn KeyedStore,
    decoder: &dyn RecordDecoder,
    service: &ServiceName,
) -> GroupShape {
    let mut follower = KeyedFollower::new(KeyedTopic::Configuration);
    loop {
        match follower.poll(Instant::now(), store, CONFIGURATION_WAIT) {
            Ok(changes) => {
                let puts = changes.into_iter().rev();
                let mut shapes = puts.filter_map(|change| shape(change, decoder, service));
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

fn shape(
    change: KeyedChange,
    decoder: &dyn RecordDecoder,
    service: &ServiceName,
) -> Option<GroupShape> {
    let KeyedChange::Put { value, .. } = change else {
        return None;
    };
    let table = match decoder.decode_routing_table(&value) {
        Ok(table) => table,
        Err(e) => {
            log::error!(error:display = e; "a configuration is not readable");
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

fn run(store: &dyn KeyedStore, rx: &Receiver<ClaimCall>, events: &EventSender<MemberEvent>) {
    for call in rx {
        let done = match &call {
            ClaimCall::Read(group) => read(store, group),
            ClaimCall::Write(claim, fence, end) => write(store, claim, *fence, *end),
        };
        events.send(done.unwrap_or_else(|e| {
            log::warn!(dependency = "store", error:display = e; "a claim can't be read or written");
            MemberEvent::ClaimFailed
        }));
    }
}

fn read(store: &dyn KeyedStore, group: &str) -> Result<MemberEvent, PlatformError> {
    let mut after: Option<CompactString> = None;
    let mut claim = None;
    loop {
        let page = store.newest(KeyedTopic::Deciders, after.as_deref())?;
        for record in &page.records {
            if record.key == group {
                claim = decode(record);
            }
        }
        after = page.records.last().map(|record| record.key.clone());
        if !page.more || after.is_none() {
            let end = page.end;
            let least_fence = least_fence(page.era, end);
            return Ok(MemberEvent::ClaimRead {
                claim,
                end,
                least_fence,
            });
        }
    }
}

/// A claim as it stands in the store.
///
/// It holds its fencing number, which offsets can't tell: they are given out
/// again when the store comes back from a copy.
#[derive(Serialize, Deserialize)]
struct StoredClaim {
    claim: DeciderClaim,
    fence: u64,
}

fn decode(record: &KeyedRecord) -> Option<(DeciderClaim, u64)> {
    match ciborium::from_reader(record.value.as_deref()?) {
        Ok(StoredClaim { claim, fence }) => Some((claim, fence)),
        Err(e) => {
            log::error!(key = record.key.as_str(), error:display = e; "a claim is not readable");
            None
        }
    }
}

/// Fencing numbers from one era of the store to the next: more claims than are
/// lost when it comes back from a copy.
const FENCES_PER_ERA: u64 = 1 << 20;

/// Returns the least fencing number of a claim that is written at the end of
/// the claims: no other claim of this era has it, and none of an earlier one.
fn least_fence(era: StoreEra, end: u64) -> u64 {
    era.0 * FENCES_PER_ERA + end + 1
}

fn write(
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
    match store.put_at(KeyedTopic::Deciders, &record, end)? {
        PutAt::Written(offset) => Ok(MemberEvent::ClaimRead {
            claim: Some((claim.clone(), fence)),
            end: offset + 1,
            least_fence: fence + 1,
        }),
        PutAt::Moved(_) => read(store, &claim.group),
    }
}
