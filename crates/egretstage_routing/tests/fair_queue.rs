//! The error bound of the fair queue.

use egretstage_routing::{FairQueue, Flow};
use egretstage_test_cases::repeatable;
use proptest::prelude::*;
use std::collections::HashMap;

fn flow(id: u8, weight_milli: u32) -> Flow<u8> {
    Flow { id, weight_milli }
}

/// A flow with a weight and the costs of its calls.
fn backlog() -> impl Strategy<Value = (u32, Vec<u64>)> {
    (100..10_000_u32, prop::collection::vec(1..5_000_u64, 20..60))
}

proptest! {
    #![proptest_config(repeatable(256))]

    /// While two flows wait, their service by weight differs by at most one
    /// call of each.
    #[test]
    fn two_waiting_flows_differ_by_a_call_of_each(
        flows in prop::collection::vec(backlog(), 2..5),
        order in prop::collection::vec(any::<u32>(), 300),
    ) {
        let mut queue = FairQueue::default();
        let mut calls: Vec<(u32, u8, u64)> = Vec::new();
        for (id, (_, costs)) in (0_u8..).zip(&flows) {
            calls.extend(costs.iter().map(|cost| (0, id, *cost)));
        }
        for (call, rank) in calls.iter_mut().zip(&order) {
            call.0 = *rank;
        }
        calls.sort_unstable();
        for (key, (_, id, cost)) in calls.iter().enumerate() {
            queue.push(flow(*id, flows[usize::from(*id)].0), key, *cost, 0);
        }
        let mut left: HashMap<u8, usize> = HashMap::new();
        for (_, id, _) in &calls {
            *left.entry(*id).or_default() += 1;
        }
        let mut served: HashMap<u8, f64> = HashMap::new();
        while left.values().all(|left| *left > 0) {
            let key = queue.pop().expect("calls wait");
            let (_, id, cost) = calls[key];
            *left.get_mut(&id).expect("the flow is known") -= 1;
            let weight = f64::from(flows[usize::from(id)].0);
            let cost = f64::from(u32::try_from(cost).expect("costs are small"));
            *served.entry(id).or_default() += cost * 1000.0 / weight;
            for (a, (weight_a, costs_a)) in (0_u8..).zip(&flows) {
                for (b, (weight_b, costs_b)) in (0_u8..).zip(&flows) {
                    let largest = |costs: &[u64], weight: u32| {
                        let most = u32::try_from(*costs.iter().max().expect("a flow has calls"));
                        f64::from(most.expect("costs are small")) * 1000.0 / f64::from(weight)
                    };
                    let bound = largest(costs_a, *weight_a) + largest(costs_b, *weight_b);
                    let rounding = 1.0 * f64::from(u32::try_from(calls.len()).expect("few"));
                    let of = |id| served.get(&id).copied().unwrap_or(0.0);
                    prop_assert!((of(a) - of(b)).abs() <= bound + rounding);
                }
            }
        }
    }

    /// Every call leaves the queue once, by its turn or by removal, and the
    /// sums stay right.
    #[test]
    fn every_call_leaves_once(
        calls in prop::collection::vec((0..5_u8, 1..100_u64, any::<u8>(), any::<bool>()), 1..200),
    ) {
        let mut queue = FairQueue::default();
        let mut removed = 0;
        for (key, (id, cost, priority, remove)) in calls.iter().enumerate() {
            queue.push(flow(*id, 1000), key, *cost, *priority);
            if *remove {
                prop_assert!(queue.remove(key / 2) || key > 0);
                removed = calls.len();
            }
        }
        let mut popped = Vec::new();
        while let Some(key) = queue.pop() {
            popped.push(key);
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(queue.cost(), 0);
        popped.sort_unstable();
        let all = popped.len();
        popped.dedup();
        prop_assert_eq!(popped.len(), all);
        prop_assert!(removed > 0 || all == calls.len());
    }
}

#[test]
fn priority_orders_a_flow_and_takes_nothing_from_another() {
    let mut queue = FairQueue::default();
    queue.push(flow(1, 1000), "a-low", 10, 0);
    queue.push(flow(1, 1000), "a-high", 10, 9);
    queue.push(flow(2, 1000), "b-1", 10, 0);
    queue.push(flow(2, 1000), "b-2", 10, 0);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order.iter().position(|call| *call == "a-high"), Some(0));
    assert_eq!(order.iter().position(|call| *call == "b-1"), Some(1));
}

#[test]
fn a_new_flow_waits_for_no_backlog_of_another() {
    let mut queue = FairQueue::default();
    for call in 0..1000 {
        queue.push(flow(1, 1000), call, 10, 0);
    }
    assert_eq!(queue.cost_ahead(&flow(1, 1000)), 10_000);
    assert_eq!(queue.cost_ahead(&flow(2, 1000)), 0);
    for _ in 0..10 {
        queue.pop();
    }
    queue.push(flow(2, 1000), 1000, 10, 0);
    let turns = std::iter::from_fn(|| queue.pop()).take(2);
    assert!(turns.into_iter().any(|call| call == 1000));
}
