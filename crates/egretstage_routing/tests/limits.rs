//! Retry budget, ejections, early refusals, cached prefixes and recovery of idle
//! upstreams.

use egretstage_routing::{
    CallResult, Candidate, Choice, Demand, EjectionLimits, FairQueue, Flow, OutlierDetector,
    PredictedFirstToken, PredictedFirstTokenParams, PrefixFingerprint, RetryBudget, RetryLimits,
    RoutingPolicy, UpstreamTracker, admit, blend_with_peer_means, max_ejected,
};
use egretstage_test_cases::repeatable;
use egretstage_wire::{LoadReport, NotRunReason, OrganisationName};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const DEMAND: Demand = Demand {
    budget: Duration::from_secs(3),
    prompt_tokens: 1000,
    output_tokens: 50,
};

fn report(token_interval_ms: f32) -> LoadReport {
    LoadReport {
        slots: 32,
        prefill_tokens_per_s: 20_000.0,
        token_interval_ms,
        service_ms: 2000.0,
        ..LoadReport::default()
    }
}

fn candidate(tracker: &UpstreamTracker, now: Instant) -> Candidate {
    let organisation = OrganisationName::try_from("desk").expect("the name is valid");
    let none = PrefixFingerprint::default();
    tracker.candidate(now, true, &organisation, &none, Duration::from_secs(10))
}

fn fail(tracker: &mut UpstreamTracker, now: Instant) {
    let call = tracker.record_sent(now, &DEMAND, &PrefixFingerprint::default());
    tracker.record_end(call, CallResult::Failed);
}

proptest! {
    #![proptest_config(repeatable(256))]

    /// Retries never exceed the burst plus their share of the requests so far.
    #[test]
    fn retries_stay_within_their_share(
        share in 1..1000_u32,
        burst in 0..20_u32,
        steps in prop::collection::vec(any::<bool>(), 1..500),
    ) {
        let mut budget = RetryBudget::new(RetryLimits { retries_per_thousand: share, burst });
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for is_request in steps {
            if is_request {
                budget.record_request();
                requests += 1;
            } else if budget.try_take() {
                retries += 1;
            }
            let allowed = u64::from(burst) * 1000 + requests * u64::from(share);
            prop_assert!(retries * 1000 <= allowed);
        }
    }

    /// However many upstreams fail, the limit on ejections holds and at least one
    /// upstream is left.
    #[test]
    fn ejections_stay_within_the_limit(
        members in 1..30_usize,
        share in 0.0..1.0_f32,
        failing in prop::collection::vec((0..30_usize, 0..4000_u64), 1..400),
    ) {
        let start = Instant::now();
        let limits = EjectionLimits { max_ejected_share: share, ..EjectionLimits::default() };
        let detector = OutlierDetector::new(limits);
        let mut trackers = vec![UpstreamTracker::default(); members];
        let mut now = start;
        for (index, pause) in failing {
            now += Duration::from_millis(pause);
            let failing = &mut trackers[index % members];
            (0..4).for_each(|_| fail(failing, now));
            let mut all: Vec<_> = trackers.iter_mut().collect();
            detector.check(now, &mut all);
            let ejected = trackers.iter().filter(|t| t.health().is_ejected(now)).count();
            prop_assert!(ejected <= max_ejected(members, share));
            prop_assert!(ejected < members);
        }
    }
}

#[test]
fn a_slow_upstream_is_ejected_and_returns_with_slow_start() {
    let start = Instant::now();
    let detector = OutlierDetector::default();
    let mut trackers = vec![UpstreamTracker::default(); 4];
    for (index, tracker) in trackers.iter_mut().enumerate() {
        tracker.record_report(start, report(if index == 2 { 300.0 } else { 30.0 }));
    }
    detector.check(start, &mut trackers.iter_mut().collect::<Vec<_>>());
    let ejected = trackers.iter().map(|t| t.health().is_ejected(start));
    assert_eq!(ejected.collect::<Vec<_>>(), vec![false, false, true, false]);

    trackers[2].record_report(start, report(30.0));
    let back = start + detector.limits().base_ejection_time + Duration::from_secs(1);
    detector.check(back, &mut trackers.iter_mut().collect::<Vec<_>>());
    let share = candidate(&trackers[2], back).admitted_share;
    assert!(share > 0.0 && share < 0.5, "{share}");
    let fully_back = back + detector.limits().slow_start_window;
    detector.check(fully_back, &mut trackers.iter_mut().collect::<Vec<_>>());
    let share = candidate(&trackers[2], fully_back).admitted_share;
    assert!((share - 1.0).abs() < f32::EPSILON, "{share}");
}

#[test]
fn a_request_that_cannot_finish_is_refused_with_a_retry_time() {
    let now = Instant::now();
    let mut tracker = UpstreamTracker::default();
    tracker.record_report(now, report(30.0));
    let demand = Demand {
        budget: Duration::from_secs(1),
        ..DEMAND
    };
    let mut policy = PredictedFirstToken::new(PredictedFirstTokenParams::default(), 1);
    let choice = policy.choose(&demand, &[candidate(&tracker, now)]);
    let Choice::Refuse {
        reason,
        retry_after,
    } = choice
    else {
        panic!("50 tokens at 30 ms don't fit in 1 s: {choice:?}");
    };
    assert_eq!(reason, NotRunReason::DeadlineTooClose);
    assert!(!retry_after.is_zero());
}

#[test]
fn an_organisation_over_its_share_is_refused_and_another_is_admitted() {
    let mut queue = FairQueue::default();
    let flow = |id: &'static str| Flow {
        id,
        weight_milli: 1000,
    };
    for call in 0..100 {
        queue.push(flow("large"), call, 1_000_000, 0);
    }
    let budget = Duration::from_secs(3);
    let refused = admit(&queue, &flow("large"), 8, 0, 1_000_000, budget);
    let refused = refused.expect_err("100 s of work wait ahead of it on 8 slots");
    assert_eq!(refused.reason, NotRunReason::Overloaded);
    assert!(refused.retry_after > Duration::from_secs(1));
    admit(&queue, &flow("small"), 8, 0, 1_000_000, budget).expect("it is within its share");
}

#[test]
fn a_cached_prefix_counts_only_for_the_prefill_time_it_saves() {
    let now = Instant::now();
    let prompt = PrefixFingerprint::from_text(&[b'x'; 4096]);
    let organisation = OrganisationName::try_from("desk").expect("the name is valid");
    let mut trackers = vec![UpstreamTracker::default(); 2];
    for tracker in &mut trackers {
        tracker.record_report(now, report(30.0));
    }
    let call = trackers[0].record_sent(now, &DEMAND, &prompt);
    trackers[0].record_end(call, CallResult::Completed);
    let choose = |trackers: &[UpstreamTracker]| {
        let slow_start_window = Duration::from_secs(10);
        let candidates: Vec<_> = trackers
            .iter()
            .map(|t| t.candidate(now, true, &organisation, &prompt, slow_start_window))
            .collect();
        let mut policy = PredictedFirstToken::new(PredictedFirstTokenParams::default(), 1);
        match policy.choose(&DEMAND, &candidates) {
            Choice::Send { index, .. } => index,
            refused @ Choice::Refuse { .. } => panic!("{refused:?}"),
        }
    };
    assert_eq!(choose(&trackers), 0);
    let busy = LoadReport {
        running: 32,
        waiting: 4,
        ..report(30.0)
    };
    trackers[0].record_report(now, busy);
    assert_eq!(choose(&trackers), 1);
}

/// Time within which the rates of an idle upstream must return to those of its
/// peers, so that it gets its share of the work again within seconds.
const MAX_IDLE_RECOVERY: Duration = Duration::from_secs(10);

/// Maximum ratio of a recovered upstream's service time to that of its peer.
const MAX_RECOVERED_RATIO: f32 = 1.01;

/// Guards against an upstream that gets no calls for good: one that was slow once
/// gets none while it counts as slow, and without calls it isn't measured again.
#[test]
fn an_idle_upstream_that_was_slow_once_recovers() {
    let now = Instant::now();
    let report_with = |service_ms| LoadReport {
        service_ms,
        ..report(0.0)
    };
    let mut slow_once = UpstreamTracker::default();
    slow_once.record_report(now, report_with(118.0));
    let mut peer = UpstreamTracker::default();
    let service_times_ms = |at: Instant, slow_once: &UpstreamTracker, peer: &UpstreamTracker| {
        let mut candidates = [candidate(slow_once, at), candidate(peer, at)];
        blend_with_peer_means(&mut candidates);
        candidates.map(|candidate| candidate.load.service_ms)
    };
    peer.record_report(now, report_with(6.0));
    let [at_first, _] = service_times_ms(now, &slow_once, &peer);
    assert!(at_first > 100.0, "a fresh measurement counts: {at_first}");
    let later = now + MAX_IDLE_RECOVERY;
    peer.record_report(later, report_with(6.0));
    let [recovered, normal] = service_times_ms(later, &slow_once, &peer);
    assert!(
        recovered <= normal * MAX_RECOVERED_RATIO + 1.0,
        "{recovered} ms"
    );
    let call = slow_once.record_sent(later, &DEMAND, &PrefixFingerprint::default());
    let [busy, _] = service_times_ms(later, &slow_once, &peer);
    assert!(
        busy > 100.0,
        "an upstream with calls counts as measured: {busy}"
    );
    slow_once.record_end(call, CallResult::Neutral);
}
