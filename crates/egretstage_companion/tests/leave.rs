//! Planned stop of a companion that owns idempotency keys, in virtual time.

use egretstage_companion::prelude::*;
use egretstage_once::{KeyOwnerLimits, OwnersAction, OwnersRecord};
use egretstage_platform::{LogPage, LogRecord};
use egretstage_runtime::Reducer;
use egretstage_wire::prelude::*;
use std::time::{Duration, Instant};

fn member() -> Member {
    Member {
        instance: InstanceId::try_from("ledger-1").expect("valid name"),
        incarnation: Incarnation(1),
    }
}

/// Returns a page of the owners stream that ends with the member's `action`.
fn owners_page(offset: u64, action: OwnersAction) -> LogPage {
    let record = OwnersRecord {
        id: "record".into(),
        member: member(),
        base: Epoch(offset - 1),
        settled: Epoch(0),
        action,
    };
    let data = serde_json::to_value(record).expect("serialisable record");
    let id = "record".into();
    LogPage {
        first: 1,
        next: offset + 1,
        records: vec![LogRecord { offset, id, data }],
    }
}

/// Returns an owner whose join record is on the log.
fn joined_owner(now: Instant) -> CompanionReducer {
    let options = KeyOptions {
        service: ServiceName::try_from("ledger").expect("valid name"),
        member: member(),
        limits: KeyOwnerLimits::default(),
        max_answer_bytes: 1024,
        max_held_bytes: 1024,
    };
    let limits = CompanionLimits { slots: 1 };
    let mut reducer = CompanionReducer::new(now, limits).with_keys(options);
    let page = Box::new(owners_page(1, OwnersAction::Join));
    let requested_at = now;
    reduce(
        &mut reducer,
        now,
        CompanionEvent::OwnersRead { requested_at, page },
    );
    reducer
}

/// Handles an event and returns whether the companion exits.
fn reduce(reducer: &mut CompanionReducer, now: Instant, event: CompanionEvent) -> bool {
    let mut effects = Vec::new();
    reducer.reduce(now, event, &mut effects);
    effects.contains(&CompanionEffect::Exit)
}

/// Wakes the companion and returns whether it exits.
fn wake(reducer: &mut CompanionReducer, now: Instant) -> bool {
    let mut effects = Vec::new();
    reducer.wake(now, &mut effects);
    effects.contains(&CompanionEffect::Exit)
}

/// An owner that exits before its leave record is on the log stays an owner of keys
/// that nobody serves.
#[test]
fn owner_exits_once_its_leave_is_on_the_log() {
    let now = Instant::now();
    let mut reducer = joined_owner(now);
    assert!(!reduce(&mut reducer, now, CompanionEvent::Stop));
    let (requested_at, page) = (now, Box::new(owners_page(2, OwnersAction::Leave)));
    let read = CompanionEvent::OwnersRead { requested_at, page };
    assert!(reduce(&mut reducer, now, read), "the companion exits");
}

/// A leave record that never gets onto the log must not block the stop. Once the leave
/// timeout has passed, it must not remain the next wake-up either, or the event loop
/// would spin.
#[test]
fn owner_that_cannot_leave_exits_after_timeout_without_spinning() {
    let now = Instant::now();
    let mut reducer = joined_owner(now);
    assert!(!reduce(&mut reducer, now, CompanionEvent::Stop));
    assert!(!wake(&mut reducer, now + Duration::from_secs(1)));
    let later = now + Duration::from_secs(2);
    assert!(wake(&mut reducer, later), "the companion exits");
    let next = reducer.next_wake();
    assert!(next.is_none_or(|next| next > later), "wakes at {next:?}");
}
