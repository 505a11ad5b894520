//! Planned stop of a companion that owns idempotency keys, in virtual time.

use egretstage_companion::prelude::*;
use egretstage_once::{OnceLimits, OwnersAction, OwnersRecord};
use egretstage_platform::{LogPage, LogRecord};
use egretstage_runtime::Reducer;
use egretstage_wire::prelude::*;
use std::time::{Duration, Instant};

fn member() -> Member {
    Member {
        instance: InstanceId::try_from("ledger-1").expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn page(offset: u64, action: OwnersAction) -> LogPage {
    let record = OwnersRecord {
        id: "record".into(),
        member: member(),
        base: Epoch(offset - 1),
        settled: Epoch(0),
        action,
    };
    let data = serde_json::to_value(record).expect("plain data");
    let id = "record".into();
    LogPage {
        first: 1,
        next: offset + 1,
        records: vec![LogRecord { offset, id, data }],
    }
}

/// Returns an owner whose join record is on the log.
fn joined(now: Instant) -> CompanionReducer {
    let options = KeyOptions {
        service: ServiceName::try_from("ledger").expect("a name"),
        member: member(),
        limits: OnceLimits::default(),
        max_answer_bytes: 1024,
        max_held_bytes: 1024,
    };
    let limits = CompanionLimits { slots: 1 };
    let mut reducer = CompanionReducer::new(now, limits).with_keys(options);
    let page = Box::new(page(1, OwnersAction::Join));
    let requested_at = now;
    reduce(
        &mut reducer,
        now,
        CompanionEvent::OwnersRead { requested_at, page },
    );
    reducer
}

fn reduce(reducer: &mut CompanionReducer, now: Instant, event: CompanionEvent) -> bool {
    let mut effects = Vec::new();
    reducer.reduce(now, event, &mut effects);
    effects.contains(&CompanionEffect::Exit)
}

fn wake(reducer: &mut CompanionReducer, now: Instant) -> bool {
    let mut effects = Vec::new();
    reducer.wake(now, &mut effects);
    effects.contains(&CompanionEffect::Exit)
}

#[test]
fn an_owner_ends_once_its_leave_is_on_the_log() {
    let now = Instant::now();
    let mut reducer = joined(now);
    assert!(!reduce(&mut reducer, now, CompanionEvent::Stop));
    let (requested_at, page) = (now, Box::new(page(2, OwnersAction::Leave)));
    let read = CompanionEvent::OwnersRead { requested_at, page };
    assert!(reduce(&mut reducer, now, read), "the process ends");
}

#[test]
fn an_owner_that_can_not_leave_ends_after_a_while_and_does_not_spin() {
    let now = Instant::now();
    let mut reducer = joined(now);
    assert!(!reduce(&mut reducer, now, CompanionEvent::Stop));
    assert!(!wake(&mut reducer, now + Duration::from_secs(1)));
    let later = now + Duration::from_secs(2);
    assert!(wake(&mut reducer, later), "the process ends");
    let next = reducer.next_wake();
    assert!(next.is_none_or(|next| next > later), "wakes at {next:?}");
}
