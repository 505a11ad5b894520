//! Checks that all readers of a claims stream accept the same claims.

use egretstage_group::{ClaimRecord, ClaimVerdict, Claims};
use egretstage_test_cases::repeatable;
use egretstage_wire::{Fence, Incarnation, InstanceId};
use proptest::prelude::*;
use std::net::SocketAddr;

fn record(writer: u64, base: u64, renews: Option<Fence>) -> ClaimRecord {
    ClaimRecord {
        instance: InstanceId::try_from(format!("c{writer}").as_str()).expect("a name"),
        incarnation: Incarnation(writer),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000)),
        base,
        renews,
    }
}

/// One append to the claims stream, relative to the current claim.
#[derive(Clone, Copy, Debug)]
enum Write {
    /// A claim by a writer, based on the current claim.
    Claim(u64),
    /// A claim by a writer that lost a race, based on an earlier claim.
    StaleClaim(u64, prop::sample::Index),
    /// A renewal by the holder.
    Renew,
}

fn write_strategy() -> impl Strategy<Value = Write> {
    prop_oneof![
        (0..4_u64).prop_map(Write::Claim),
        (0..4_u64, any::<prop::sample::Index>())
            .prop_map(|(writer, at)| Write::StaleClaim(writer, at)),
        Just(Write::Renew),
    ]
}

/// Folds the writes into `claims` and returns the records in log order.
fn records(writes: &[Write], claims: &mut Claims) -> Vec<ClaimRecord> {
    let mut records = Vec::new();
    let mut accepted = vec![0];
    for (write, offset) in writes.iter().zip(1..) {
        let current = claims.current().cloned();
        let base = current.as_ref().map_or(0, |claim| claim.offset);
        let record = match (write, current) {
            (Write::Claim(claimant), _) => record(*claimant, base, None),
            (Write::StaleClaim(claimant, at), _) => record(*claimant, *at.get(&accepted), None),
            (Write::Renew, Some(claim)) => record(claim.incarnation.0, base, Some(claim.fence)),
            (Write::Renew, None) => record(0, base, None),
        };
        if claims.apply(offset, 1, record.clone()) == ClaimVerdict::Accepted {
            accepted.push(offset);
        }
        records.push(record);
    }
    records
}

proptest! {
    #![proptest_config(repeatable(5_000))]

    #[test]
    fn a_reader_that_starts_after_records_expired_agrees(
        writes in prop::collection::vec(write_strategy(), 1..30),
        first in any::<prop::sample::Index>(),
    ) {
        let mut full_reader = Claims::default();
        let records = records(&writes, &mut full_reader);
        let current_offset = full_reader.current().expect("the first write is accepted").offset;
        let first = 1 + first.index(usize::try_from(current_offset).expect("a short log")) as u64;
        let mut late_reader = Claims::default();
        for (record, offset) in records.into_iter().zip(1..).filter(|(_, at)| *at >= first) {
            late_reader.apply(offset, first, record);
        }
        prop_assert_eq!(late_reader.current(), full_reader.current());
    }

    #[test]
    fn fencing_numbers_only_grow(writes in prop::collection::vec(write_strategy(), 1..30)) {
        let mut claims = Claims::default();
        let records = records(&writes, &mut claims);
        let (mut reader, mut last) = (Claims::default(), Fence(0));
        for (record, offset) in records.into_iter().zip(1..) {
            reader.apply(offset, 1, record);
            let fence = reader.current().expect("a claim").fence;
            prop_assert!(fence >= last);
            last = fence;
        }
    }
}

#[test]
fn a_repeated_record_changes_nothing() {
    let mut claims = Claims::default();
    assert_eq!(
        claims.apply(1, 1, record(1, 0, None)),
        ClaimVerdict::Accepted
    );
    assert_eq!(
        claims.apply(1, 1, record(2, 0, None)),
        ClaimVerdict::Repeated
    );
    assert_eq!(
        claims.apply(2, 1, record(1, 0, None)),
        ClaimVerdict::Superseded
    );
    assert_eq!(claims.current().map(|claim| claim.fence), Some(Fence(1)));
}
