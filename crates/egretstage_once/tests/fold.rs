//! Tests of the fold of an owners stream and of a key owner's limits.

use egretstage_once::{
    Admission, CallFingerprint, FingerprintParts, Handover, KeyDigest, KeyHistory, KeyName,
    KeyOwner, KeyOwnerLimits, KeyRefusal, KeyedCall, OwnersAction, OwnersRecord, OwnersVerdict,
    OwnershipFold,
};
use egretstage_wire::{Epoch, Incarnation, InstanceId, KeyClaim, Member, OrganisationName};
use std::time::{Duration, Instant};

const EMBARGO: Duration = Duration::from_mins(1);

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        instance: InstanceId::try_from(name).expect("a name"),
        incarnation: Incarnation(incarnation),
    }
}

fn record(member: Member, base: u64, action: OwnersAction) -> OwnersRecord {
    OwnersRecord {
        id: "record".into(),
        member,
        base: Epoch(base),
        settled: Epoch(0),
        action,
    }
}

fn list(covers: u64, part: u16, parts: u16, keys: &[u64]) -> OwnersAction {
    OwnersAction::Handover(Handover {
        covers: Some(Epoch(covers)),
        list: 1,
        part,
        parts,
        keys: keys.iter().copied().map(KeyDigest).collect(),
    })
}

#[test]
fn only_the_first_of_two_changes_on_one_epoch_is_accepted() {
    let (now, mut fold) = (Instant::now(), OwnershipFold::default());
    let join = |name| record(member(name, 1), 0, OwnersAction::Join);
    assert_eq!(fold.apply(now, 1, &join("a")), OwnersVerdict::Accepted);
    assert_eq!(fold.apply(now, 2, &join("b")), OwnersVerdict::Rejected);
    assert_eq!(fold.apply(now, 3, &join("a")), OwnersVerdict::Rejected);
    assert_eq!(fold.apply(now, 1, &join("a")), OwnersVerdict::Repeated);
    let again = record(member("b", 1), 1, OwnersAction::Join);
    assert_eq!(fold.apply(now, 4, &again), OwnersVerdict::Accepted);
    assert_eq!(fold.epoch(), Epoch(4));
    let members: Vec<_> = fold.owners().expect("owners").members().cloned().collect();
    assert_eq!(members, [member("a", 1), member("b", 1)]);
}

#[test]
fn removing_an_earlier_incarnation_has_no_effect() {
    let (now, mut fold) = (Instant::now(), OwnershipFold::default());
    fold.apply(now, 1, &record(member("a", 1), 0, OwnersAction::Join));
    fold.apply(now, 2, &record(member("a", 2), 1, OwnersAction::Join));
    let removal = record(member("a", 1), 2, OwnersAction::Remove);
    assert_eq!(fold.apply(now, 3, &removal), OwnersVerdict::Rejected);
    assert!(fold.owners().expect("owners").contains(&member("a", 2)));
}

#[test]
fn a_reader_without_the_first_records_starts_from_an_accepted_refresh() {
    let (now, mut fold) = (Instant::now(), OwnershipFold::default());
    fold.set_log_start(now, 10);
    assert!(!fold.knows_members(now, EMBARGO));
    let members = vec![member("a", 1), member("b", 1)];
    let refresh = |members| record(member("a", 1), 7, OwnersAction::Refresh(members));
    fold.apply(now, 10, &refresh(members.clone()));
    fold.apply(now, 11, &refresh(vec![member("stale", 1)]));
    assert_eq!(fold.owners(), None, "no record builds on either refresh");
    let next = record(member("c", 1), 10, OwnersAction::Join);
    assert_eq!(fold.apply(now, 12, &next), OwnersVerdict::Accepted);
    let known: Vec<_> = fold.owners().expect("owners").members().cloned().collect();
    assert_eq!(known, [members, vec![member("c", 1)]].concat());
    let history = fold.history(now, KeyDigest(1), &member("c", 1), EMBARGO);
    assert!(matches!(history, KeyHistory::Embargo { .. }), "{history:?}");
}

#[test]
fn a_key_list_takes_effect_once_all_its_parts_are_read() {
    let (now, mut fold) = (Instant::now(), OwnershipFold::default());
    let (a, b) = (member("a", 1), member("b", 1));
    fold.apply(now, 1, &record(a.clone(), 0, OwnersAction::Join));
    fold.apply(now, 2, &record(b.clone(), 1, OwnersAction::Join));
    let owned_by_b = |key: &u64| fold.owners().and_then(|o| o.owner(KeyDigest(*key))) == Some(&b);
    let mut keys = (0..100).filter(owned_by_b);
    let (listed, unlisted) = (keys.next().expect("a key"), keys.next().expect("a key"));
    let history = |fold: &OwnershipFold, key| fold.history(now, KeyDigest(key), &b, EMBARGO);
    assert_eq!(history(&fold, listed), KeyHistory::AwaitsHandover);
    fold.apply(now, 3, &record(a.clone(), 2, list(2, 0, 2, &[listed])));
    assert_eq!(history(&fold, unlisted), KeyHistory::AwaitsHandover);
    fold.apply(now, 4, &record(a.clone(), 2, list(2, 1, 2, &[])));
    fold.apply(now, 5, &record(a.clone(), 2, list(2, 1, 2, &[])));
    assert_eq!(
        history(&fold, listed),
        KeyHistory::FormerOwner(a.instance.clone())
    );
    assert_eq!(history(&fold, unlisted), KeyHistory::Clear);
}

fn call(key: &str) -> KeyedCall {
    let parts = FingerprintParts {
        method: "POST",
        path: "/",
        body: b"body",
    };
    let organisation = OrganisationName::try_from("desk").expect("a name");
    KeyedCall {
        name: KeyName {
            organisation,
            key: key.into(),
        },
        digest: KeyDigest(7),
        fingerprint: CallFingerprint::from(parts),
        claim: KeyClaim {
            epoch: Epoch(1),
            run_without_log: false,
            recall: false,
        },
    }
}

#[test]
fn a_full_owner_refuses_new_keys_and_admits_remembered_ones() {
    let now = Instant::now();
    let limits = KeyOwnerLimits {
        max_keys: 1,
        ..KeyOwnerLimits::default()
    };
    let mut owner = KeyOwner::new(member("a", 1), limits);
    let join = record(member("a", 1), 0, OwnersAction::Join);
    owner.apply(now, 1, Some(&join));
    let refused = |refusal| Admission::Refused(refusal);
    assert_eq!(
        owner.admit(now, &call("k")),
        refused(KeyRefusal::Unconfirmed)
    );
    owner.renew_lease(now);
    assert_eq!(owner.admit(now, &call("k")), Admission::New);
    let id = owner.insert(call("k"), 17);
    assert_eq!(owner.admit(now, &call("l")), refused(KeyRefusal::Full));
    owner.run_ended(now, id);
    let later = now + limits.window;
    assert_eq!(owner.admit(later, &call("k")), Admission::Join(17));
    assert_eq!(
        owner.admit(later, &call("l")),
        refused(KeyRefusal::Unconfirmed)
    );
    assert_eq!(owner.expire(later), [17]);
    owner.renew_lease(later);
    assert_eq!(owner.admit(later, &call("k")), Admission::New);
}
