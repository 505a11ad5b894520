//! Memory and insertion time of the keys that a companion remembers.

use super::measure::{bytes_per_item, mean_micros, print_slope};
use egretstage_once::{
    CallFingerprint, FingerprintParts, KeyDigest, KeyName, KeyOwner, KeyOwnerLimits, KeyedCall,
};
use egretstage_wire::{
    Epoch, Incarnation, InstanceId, KeyClaim, Member, OrganisationName, ServiceName,
};

/// Number of remembered keys.
const REMEMBERED_KEYS: usize = 50_000;

pub(crate) fn print() {
    let member = Member {
        instance: InstanceId::try_from("ledger-1").expect("valid"),
        incarnation: Incarnation(1),
    };
    let mut owner: KeyOwner<u64> = KeyOwner::new(member, KeyOwnerLimits::default());
    let calls: Vec<KeyedCall> = (0..REMEMBERED_KEYS).map(keyed_call).collect();
    let mut calls = calls.into_iter();
    let mut time = 0.0;
    let bytes = bytes_per_item(REMEMBERED_KEYS, || {
        time = mean_micros(REMEMBERED_KEYS, |_| {
            owner.insert(calls.next().expect("a call for each key"), 0);
        });
    });
    print_slope("remembered key, without its answer", bytes, "B");
    print_slope("remembered key, insert", time, "µs");
}

fn keyed_call(index: usize) -> KeyedCall {
    let organisation = format!("organisation-{}", index % 580);
    let organisation = OrganisationName::try_from(&*organisation).expect("valid");
    let service = ServiceName::try_from("booking").expect("valid");
    let key = format!("booking-{index:012}-7f3a9c");
    let parts = FingerprintParts {
        method: "POST",
        path: "/bookings",
        body: key.as_bytes(),
    };
    KeyedCall {
        digest: KeyDigest::new(&organisation, &service, &key),
        name: KeyName {
            organisation,
            key: key.as_str().into(),
        },
        fingerprint: CallFingerprint::from(parts),
        claim: KeyClaim {
            epoch: Epoch(1),
            run_without_log: false,
            recall: false,
        },
    }
}
