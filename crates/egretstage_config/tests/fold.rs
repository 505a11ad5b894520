//! Properties of the fold: every reader accepts the same changes, whichever
//! pages, checkpoints and deltas it reads, and whatever its release.

use egretstage_config::prelude::*;
use egretstage_config::{ChunkJoiner, DEDUP_WINDOW_OFFSETS, MergeOutcome, read_body};
use egretstage_wire::{ChangeId, KindName, ObjectName, OrganisationName, ServiceName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use std::collections::HashMap;

/// Number of cases of each property.
const CASES: u32 = 2_000;

/// Kinds that this release knows, and one of a newer release.
const KINDS: [&str; 3] = ["organisation", "service", "route-policy"];

/// A generated record, whose base is resolved when the log is built.
#[derive(Clone, Debug)]
struct Change {
    id: u8,
    kind: usize,
    name: u8,
    base: Base,
    schema: u16,
    removed: bool,
}

#[derive(Clone, Copy, Debug)]
enum Base {
    Current,
    None,
    Fixed(u64),
}

fn change() -> impl Strategy<Value = Change> {
    let base = prop_oneof![
        4 => Just(Base::Current),
        1 => Just(Base::None),
        1 => (0..80_u64).prop_map(Base::Fixed),
    ];
    (
        0..60_u8,
        0..KINDS.len(),
        0..3_u8,
        base,
        1..4_u16,
        any::<bool>(),
    )
        .prop_map(|(id, kind, name, base, schema, removed)| Change {
            id,
            kind,
            name,
            base,
            schema,
            removed: removed && id % 3 == 0,
        })
}

/// Builds the log of generated records; `Base::Current` becomes the revision
/// that a writer would read at that point.
fn build_log(changes: &[Change]) -> Vec<Record> {
    let mut fold = ConfigurationFold::default();
    let mut log: Vec<Record> = Vec::new();
    for (at, change) in (1..).zip(changes) {
        let repeated = log
            .iter()
            .find(|r| r.envelope.id == change_id(change))
            .cloned();
        let record = repeated.unwrap_or_else(|| build_record(change, &fold));
        fold.apply(Offset(at), &record);
        log.push(record);
    }
    log
}

fn change_id(change: &Change) -> ChangeId {
    ChangeId::try_from(format!("id-{}", change.id).as_str()).unwrap()
}

fn build_record(change: &Change, fold: &ConfigurationFold) -> Record {
    let kind = KindName::try_from(KINDS[change.kind]).unwrap();
    let name = ObjectName::try_from(format!("object-{}", change.name).as_str()).unwrap();
    let base = match change.base {
        Base::Current => fold.revision(&kind, &name),
        Base::None => Offset(0),
        Base::Fixed(offset) => Offset(offset),
    };
    let body = match change.kind {
        0 => json!({"token_digests": [format!("{:064x}", change.name % 2)]}),
        1 if change.schema == 1 => json!({"repeatable": []}),
        1 => json!({"idempotent": [{"methods": ["PUT"], "path_prefix": "/a"}]}),
        _ => json!({"anything": change.id}),
    };
    Record {
        envelope: Envelope {
            id: change_id(change),
            kind,
            name,
            base,
            schema: change.schema,
            removed: change.removed,
        },
        body,
    }
}

fn fold_all(log: &[Record]) -> (ConfigurationFold, Vec<Verdict>) {
    fold_into(ConfigurationFold::default(), log, 0)
}

fn fold_into(
    mut fold: ConfigurationFold,
    log: &[Record],
    from: usize,
) -> (ConfigurationFold, Vec<Verdict>) {
    let records = (1..).zip(log).skip(from);
    let verdicts = records.map(|(at, r)| fold.apply(Offset(at), r)).collect();
    (fold, verdicts)
}

/// Asserts that two folds hold the same state and configuration.
fn assert_same_state(a: &ConfigurationFold, b: &ConfigurationFold) {
    assert_eq!(a.delta(Offset(0)), b.delta(Offset(0)));
    assert_eq!(a.configuration(), b.configuration());
}

/// Reads bodies as an older release does that knows one kind and one schema
/// version.
fn old_reader(envelope: &Envelope, body: &serde_json::Value) -> Result<RecordBody, InvalidRecord> {
    if envelope.kind.as_str() == "organisation" && envelope.schema == 1 {
        return read_body(envelope, body);
    }
    let mut unknown = envelope.clone();
    unknown.schema = u16::MAX;
    read_body(&unknown, body)
}

/// Returns the configuration of a property test; its seed is fixed, so that
/// every run tests the same cases. `EGRET_PROPTEST_SEED` sets another seed.
fn property_config(cases: u32) -> ProptestConfig {
    let seed = std::env::var("EGRET_PROPTEST_SEED").ok();
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed.and_then(|text| text.parse().ok()).unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(property_config(CASES))]

    #[test]
    fn a_checkpoint_and_the_later_records_equal_the_whole_log(
        changes in prop::collection::vec(change(), 1..60),
        cut in 0..60_usize,
        older in 0..60_usize,
        newer in 0..60_usize,
    ) {
        let log = build_log(&changes);
        let (whole, verdicts) = fold_all(&log);
        let cut = cut.min(log.len());
        let (source, _) = fold_all(&log[..cut]);

        let mut joiner = ChunkJoiner::default();
        let chunks = source.delta(Offset(0)).into_chunks();
        let delta = chunks.into_iter().rev().find_map(|chunk| joiner.push(chunk)).unwrap();
        let mut fresh = ConfigurationFold::default();
        fresh.merge(delta);
        assert_same_state(&fresh, &source);
        let (fresh, tail) = fold_into(fresh, &log, cut);
        assert_same_state(&fresh, &whole);
        prop_assert_eq!(&tail[..], &verdicts[cut..]);

        // A delta since an older offset, for a node at any offset above it.
        let older = older.min(cut);
        let (mut behind, _) = fold_all(&log[..newer.clamp(older, cut)]);
        let merge = behind.merge(source.delta(Offset(older as u64)));
        prop_assert!(matches!(merge, MergeOutcome::Advanced | MergeOutcome::Older));
        assert_same_state(&behind, &source);
    }

    #[test]
    fn old_and_new_releases_accept_the_same_records(
        changes in prop::collection::vec(change(), 1..60),
    ) {
        let log = build_log(&changes);
        let (new, new_verdicts) = fold_all(&log);
        let (old, old_verdicts) = fold_into(ConfigurationFold::with_reader(old_reader), &log, 0);
        prop_assert_eq!(new_verdicts, old_verdicts);
        prop_assert_eq!(new.delta(Offset(0)), old.delta(Offset(0)));
    }

    #[test]
    fn each_identity_is_accepted_at_most_once_and_revisions_grow(
        changes in prop::collection::vec(change(), 1..60),
        late in prop::collection::vec(0..60_usize, 0..20),
    ) {
        let mut log = build_log(&changes);
        // Repeats long after the fold has forgotten their identity.
        let repeats: Vec<Record> = late.iter().filter_map(|at| log.get(*at).cloned()).collect();
        let mut fold = ConfigurationFold::default();
        let mut accepted: HashMap<ChangeId, u64> = HashMap::new();
        let mut revisions: HashMap<(KindName, ObjectName), Offset> = HashMap::new();
        let first = log.len() as u64;
        log.extend(repeats);
        for (at, record) in (1..).zip(&log) {
            let offset = Offset(if at > first { at + DEDUP_WINDOW_OFFSETS + 100 } else { at });
            if fold.apply(offset, record) != Verdict::Accepted {
                continue;
            }
            let Envelope { id, kind, name, base, .. } = record.envelope.clone();
            prop_assert_eq!(accepted.insert(id, offset.0), None);
            let previous = revisions.insert((kind, name), offset).unwrap_or(Offset(0));
            prop_assert_eq!(previous, base);
            prop_assert!(previous < offset);
        }
    }

    #[test]
    fn readers_of_repeated_pages_and_deltas_reach_the_same_state(
        changes in prop::collection::vec(change(), 1..40),
        steps in prop::collection::vec((0..4_usize, 0..4_usize, 0..6_usize), 0..60),
    ) {
        let log = build_log(&changes);
        let (whole, _) = fold_all(&log);
        let mut nodes = vec![ConfigurationFold::default(); 4];
        for (node, peer, count) in steps {
            let before = nodes[node].offset();
            if count == 0 {
                let delta = nodes[peer].delta(Offset(before.0.min(nodes[peer].offset().0)));
                let merge = nodes[node].merge(delta);
                prop_assert!(matches!(merge, MergeOutcome::Advanced | MergeOutcome::Older));
            } else {
                // Reads a page that starts too early, as a stale answer does.
                let from = usize::try_from(before.0).unwrap().saturating_sub(2);
                let records = (1_u64..).zip(&log).skip(from).take(count + 2);
                for (at, record) in records {
                    let held = nodes[node].offset();
                    let verdict = nodes[node].apply(Offset(at), record);
                    prop_assert_eq!(verdict == Verdict::OutOfOrder, Offset(at) <= held);
                    prop_assert!(nodes[node].offset() >= held);
                }
            }
            prop_assert!(nodes[node].offset() >= before);
        }
        for node in nodes {
            let from = usize::try_from(node.offset().0).unwrap();
            let (node, _) = fold_into(node, &log, from);
            assert_same_state(&node, &whole);
        }
    }

    #[test]
    fn the_incremental_configuration_equals_a_merged_one(
        changes in prop::collection::vec(change(), 1..60),
    ) {
        let (fold, _) = fold_all(&build_log(&changes));
        let mut fresh = ConfigurationFold::default();
        fresh.merge(fold.delta(Offset(0)));
        prop_assert_eq!(fresh.configuration(), fold.configuration());
    }
}

fn record(kind: &str, name: &str, base: u64, schema: u16, body: serde_json::Value) -> Record {
    Record {
        envelope: Envelope {
            id: ChangeId::try_from(format!("{kind}-{name}-{base}-{schema}").as_str()).unwrap(),
            kind: KindName::try_from(kind).unwrap(),
            name: ObjectName::try_from(name).unwrap(),
            base: Offset(base),
            schema,
            removed: false,
        },
        body,
    }
}

#[test]
fn an_unreadable_body_makes_the_object_unavailable_without_a_fallback() {
    let mut fold = ConfigurationFold::default();
    let booking = ServiceName::try_from("booking").unwrap();
    let old = record("service", "booking", 0, 1, json!({}));
    assert_eq!(fold.apply(Offset(1), &old), Verdict::Accepted);
    assert!(fold.configuration().service(&booking).is_some());

    let newer = record("service", "booking", 1, 99, json!({"shape": "unknown"}));
    assert_eq!(fold.apply(Offset(2), &newer), Verdict::Accepted);
    assert!(fold.configuration().service(&booking).is_none());
    let unreadable = fold
        .configuration()
        .first_unreadable(RecordKind::Service, Some("booking"));
    let text = unreadable.expect("listed as unreadable").to_string();
    assert_eq!(
        text,
        "service booking: schema: version 99 is not supported, allowed are 1 to 2"
    );

    let stale = record("service", "booking", 1, 1, json!({}));
    let verdict = fold.apply(Offset(3), &stale);
    assert_eq!(verdict, Verdict::Conflict { current: Offset(2) });
    let repaired = record("service", "booking", 2, 2, json!({}));
    assert_eq!(fold.apply(Offset(4), &repaired), Verdict::Accepted);
    assert!(fold.configuration().service(&booking).is_some());
    assert_eq!(fold.configuration().unreadable().count(), 0);
}

#[test]
fn a_removed_object_leaves_the_indexes_and_keeps_its_revision() {
    let mut fold = ConfigurationFold::default();
    let digest = "a".repeat(64);
    let body = json!({"token_digests": [digest]});
    fold.apply(
        Offset(1),
        &record("organisation", "one", 0, 1, body.clone()),
    );
    fold.apply(Offset(2), &record("organisation", "two", 0, 1, body));
    let holder = |fold: &ConfigurationFold| {
        let cfg = fold.configuration();
        cfg.organisation_of_token(&digest)
            .map(|name| name.as_str().to_owned())
    };
    assert_eq!(holder(&fold).as_deref(), Some("one"));
    let mut removal = record("organisation", "one", 1, 1, json!(null));
    removal.envelope.removed = true;
    assert_eq!(fold.apply(Offset(3), &removal), Verdict::Accepted);
    assert_eq!(holder(&fold).as_deref(), Some("two"));
    let one = OrganisationName::try_from("one").unwrap();
    assert!(fold.configuration().organisation(&one).is_none());

    let mut again = record("organisation", "one", 0, 1, json!({"token_digests": []}));
    again.envelope.id = ChangeId::try_from("created-again").unwrap();
    let verdict = fold.apply(Offset(4), &again);
    assert_eq!(verdict, Verdict::Conflict { current: Offset(3) });
}
