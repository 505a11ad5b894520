//! Fairness and order of the queue.

use egretstage_routing::{FairQueue, Flow};
use egretstage_test_cases::repeatable;
use proptest::prelude::*;
use std::collections::HashMap;

fn flow(id: u8, weight_milli: u32) -> Flow<u8> {
    Flow { id, weight_milli }
}

/// Generates a flow's weight, in thousandths, and the costs of its calls.
fn weight_and_costs() -> impl Strategy<Value = (u32, Vec<u64>)> {
    (100..10_000_u32, prop::collection::vec(1..5_000_u64, 20..60))
}

proptest! {
    #![proptest_config(repeatable(256))]

    /// While all flows have waiting calls, the costs served of any two, each divided
    /// by its flow's weight, differ by at most the largest call of each.
    #[test]
    fn two_waiting_flows_differ_by_at_most_a_call_of_each(
        flows in prop::collection::vec(weight_and_costs(), 2..5),
        order in prop::collection::vec(any::<u32>(), 300),
    ) {
        let mut queue = FairQueue::default();
        let mut calls: Vec<(u32, u8, u64)> = Vec::new();
        for (id, (_, costs)) in (0_u8..).zip(&flows) {
            calls.extend(costs.iter().map(|cost| (0, id, *cost)));
        }
        for (call, sort_key) in calls.iter_mut().zip(&order) {
            call.0 = *sort_key;
        }
        calls.sort_unstable();
        for (key, (_, id, cost)) in calls.iter().enumerate() {
            queue.push(flow(*id, flows[usize::from(*id)].0), key, *cost, 0);
        }
        let mut remaining: HashMap<u8, usize> = HashMap::new();
        for (_, id, _) in &calls {
            *remaining.entry(*id).or_default() += 1;
        }
        let mut served: HashMap<u8, f64> = HashMap::new();
        while remaining.values().all(|remaining| *remaining > 0) {
            let key = queue.pop().expect("each flow has a waiting call");
            let (_, id, cost) = calls[key];
            *remaining.get_mut(&id).expect("the flow is known") -= 1;
            let weight = f64::from(flows[usize::from(id)].0);
            let cost = f64::from(u32::try_from(cost).expect("a cost fits in 32 bits"));
            *served.entry(id).or_default() += cost * 1000.0 / weight;
            for (a, (weight_a, costs_a)) in (0_u8..).zip(&flows) {
                for (b, (weight_b, costs_b)) in (0_u8..).zip(&flows) {
                    let largest = |costs: &[u64], weight: u32| {
                        let max_cost = u32::try_from(*costs.iter().max().expect("a flow has calls"));
                        f64::from(max_cost.expect("a cost fits in 32 bits")) * 1000.0
                            / f64::from(weight)
                    };
                    let bound = largest(costs_a, *weight_a) + largest(costs_b, *weight_b);
                    let rounding =
                        1.0 * f64::from(u32::try_from(calls.len()).expect("there are few calls"));
                    let served_to = |id| served.get(&id).copied().unwrap_or(0.0);
                    prop_assert!((served_to(a) - served_to(b)).abs() <= bound + rounding);
                }
            }
        }
    }

    /// Each call leaves the queue once, served or removed, and the sums stay
    /// consistent.
    #[test]
    fn each_call_leaves_the_queue_once(
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
        let popped_count = popped.len();
        popped.dedup();
        prop_assert_eq!(popped.len(), popped_count);
        prop_assert!(removed > 0 || popped_count == calls.len());
    }
}

#[test]
fn priority_orders_calls_within_a_flow_only() {
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
fn a_new_flow_does_not_wait_for_the_backlog_of_another() {
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
    let next_calls = std::iter::from_fn(|| queue.pop()).take(2);
    assert!(next_calls.into_iter().any(|call| call == 1000));
}
