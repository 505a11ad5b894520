//! Tests of checkpoints on the log: concurrent writers, lost answers and size.

mod support;

use egretstage_config::{CONFIGURATION_STREAM, ConfigurationFold, Offset, Record};
use egretstage_platform::{AppendLog, AppendRequest};
use egretstage_relay::{
    CHECKPOINT_STREAM, CheckpointRecord, PublishOutcome, newest_checkpoint, publish_checkpoint,
};
use egretstage_wire::{ChangeId, StateChunk};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{Faults, MemoryLog, publish_large};

const INTERVAL: Duration = Duration::from_hours(1);

fn fold(log: &MemoryLog) -> ConfigurationFold {
    let mut fold = ConfigurationFold::default();
    for log_record in log.records(CONFIGURATION_STREAM) {
        let record: Record = serde_json::from_value(log_record.data).unwrap();
        fold.apply(Offset(log_record.offset), &record);
    }
    fold
}

fn chunks(log: &MemoryLog) -> Vec<StateChunk> {
    fold(log).delta(Offset(0)).into_chunks()
}

#[test]
fn a_large_checkpoint_is_whole_and_its_parts_are_small() {
    let log = MemoryLog::default();
    publish_large(&log, 580);
    let chunks = chunks(&log);
    let sizes = chunks.iter().map(|c| serde_json::to_vec(c).unwrap().len());
    let (bytes, largest) = (sizes.clone().sum::<usize>(), sizes.max().unwrap());
    println!(
        "checkpoint: {} parts, {bytes} bytes, largest part {largest}",
        chunks.len()
    );
    assert!(largest < 80 * 1024);
    assert!(bytes < 2 * 1024 * 1024);

    assert!(matches!(
        publish_checkpoint(&log, &chunks, INTERVAL),
        Ok(PublishOutcome::Written(_))
    ));
    let found = newest_checkpoint(&log).unwrap().expect("a checkpoint");
    assert_eq!(found.delta, fold(&log).delta(Offset(0)));
}

#[test]
fn a_second_writer_finds_the_checkpoint_of_the_first() {
    let log = MemoryLog::default();
    publish_large(&log, 3);
    let chunks = chunks(&log);
    assert!(matches!(
        publish_checkpoint(&log, &chunks, INTERVAL),
        Ok(PublishOutcome::Written(_))
    ));
    let records_before = log.records(CHECKPOINT_STREAM).len();
    assert!(matches!(
        publish_checkpoint(&log, &chunks, INTERVAL),
        Ok(PublishOutcome::AlreadyWritten(_))
    ));
    assert_eq!(log.records(CHECKPOINT_STREAM).len(), records_before);
}

#[test]
fn a_writer_stops_at_an_open_claim_of_another_writer() {
    let log = MemoryLog::default();
    publish_large(&log, 580);
    let chunks = chunks(&log);
    // The other writer fails after its first part.
    let id = "a".repeat(32);
    let first = CheckpointRecord {
        id: ChangeId::try_from(id.as_str()).unwrap(),
        base: Offset(0),
        written_unix_ms: unix_ms(),
        chunk: chunks[0].clone(),
    };
    append(&log, &first);
    let claimed = newest_checkpoint(&log).unwrap();
    assert_eq!(claimed, None, "one part alone is not a checkpoint");
    assert_eq!(
        publish_checkpoint(&log, &chunks, INTERVAL).unwrap(),
        PublishOutcome::Claimed
    );
}

#[test]
fn a_checkpoint_is_whole_despite_lost_answers_and_appends() {
    for (lost_answers, lost_appends) in [(1, 0), (3, 0), (0, 2), (2, 1)] {
        let log = MemoryLog::default();
        publish_large(&log, 580);
        let chunks = chunks(&log);
        *log.faults.lock().unwrap() = Faults {
            lost_answers,
            lost_appends,
            ..Faults::default()
        };
        let published = publish_checkpoint(&log, &chunks, INTERVAL).unwrap();
        assert!(
            matches!(published, PublishOutcome::Written(_)),
            "{published:?}"
        );
        let found = newest_checkpoint(&log).unwrap().expect("a checkpoint");
        assert_eq!(found.delta, fold(&log).delta(Offset(0)));
    }
}

#[test]
fn the_claim_of_a_failed_writer_expires() {
    let log = MemoryLog::default();
    publish_large(&log, 580);
    let chunks = chunks(&log);
    let first = CheckpointRecord {
        id: ChangeId::try_from("dead").unwrap(),
        base: Offset(0),
        written_unix_ms: unix_ms() - 60_000,
        chunk: chunks[0].clone(),
    };
    append(&log, &first);
    assert!(matches!(
        publish_checkpoint(&log, &chunks, INTERVAL),
        Ok(PublishOutcome::Written(_))
    ));
}

fn append(log: &MemoryLog, record: &CheckpointRecord) {
    let req = AppendRequest {
        id: record.id.as_str().into(),
        data: serde_json::to_value(record).unwrap(),
    };
    log.append(CHECKPOINT_STREAM, &req).unwrap();
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}
