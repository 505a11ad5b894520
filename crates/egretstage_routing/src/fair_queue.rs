//! Start-time fair queueing (SFQ) of waiting calls.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

/// Default weight of an organisation, in thousandths; at this weight, virtual
/// time advances by a call's cost.
const UNIT_WEIGHT_MILLI: u64 = 1000;

/// The flow that a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow<F> {
    /// Id of the flow; each organisation is one.
    pub id: F,
    /// Weight of its share relative to other flows, in thousandths.
    pub weight_milli: u32,
}

/// Order of calls within a flow: highest priority first, then arrival.
type QueuePosition = (Reverse<u8>, u64);

/// State of a flow: its waiting calls and its service so far.
#[derive(Debug)]
struct FlowState<K> {
    /// Virtual time at which the flow's next call starts.
    start_tag: u64,
    weight_milli: u64,
    /// Cost of the waiting calls.
    cost: u64,
    /// Key and cost of each waiting call.
    calls: BTreeMap<QueuePosition, (K, u64)>,
}

/// A queue that serves each flow in proportion to its weight.
///
/// While two flows both have waiting calls, the costs served, each divided by
/// the flow's weight, differ by at most the sum of each flow's largest call
/// cost divided by its weight. The bound holds at one upstream, whichever and
/// however many entries send the calls. A call's priority orders it within its
/// flow only and doesn't reduce another flow's share.
#[derive(Debug)]
pub struct FairQueue<F, K> {
    flows: HashMap<F, FlowState<K>>,
    /// Start tag, arrival number and flow of the first call of each flow.
    heads: BTreeSet<(u64, u64, F)>,
    /// Flow and queue position of each waiting call.
    positions: HashMap<K, (F, QueuePosition)>,
    /// Largest start tag of the calls served since the last reset.
    virtual_time: u64,
    arrivals: u64,
    /// Cost of all waiting calls.
    cost: u64,
    /// Sum of the weights of flows with waiting calls.
    weight_milli: u64,
}

impl<F, K> Default for FairQueue<F, K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            heads: BTreeSet::new(),
            positions: HashMap::new(),
            virtual_time: 0,
            arrivals: 0,
            cost: 0,
            weight_milli: 0,
        }
    }
}

impl<F: Clone + Ord + Hash, K: Copy + Eq + Hash> FairQueue<F, K> {
    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the cost of all waiting calls.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns whether a call waits.
    #[must_use]
    pub fn contains(&self, key: K) -> bool {
        self.positions.contains_key(&key)
    }

    /// Returns the expected cost served before a new call of a flow: the cost of
    /// the flow's waiting calls, and what the other flows with waiting calls are
    /// served in the meantime by their weights.
    #[must_use]
    pub fn cost_ahead(&self, flow: &Flow<F>) -> u64 {
        let weight = u64::from(flow.weight_milli.max(1));
        let own_state = self.flows.get(&flow.id);
        let own_cost = own_state.map_or(0, |own_state| own_state.cost);
        let own_weight = own_state
            .filter(|own_state| !own_state.calls.is_empty())
            .map_or(0, |own_state| own_state.weight_milli);
        let other_weight = self.weight_milli - own_weight;
        let others_cost = own_cost.saturating_mul(other_weight) / weight;
        self.cost.min(own_cost.saturating_add(others_cost))
    }

    /// Adds a call to the queue of its flow.
    ///
    /// The key must be unique among waiting calls. A changed weight applies once
    /// the flow has no waiting calls.
    pub fn push(&mut self, flow: Flow<F>, key: K, cost: u64, priority: u8) {
        let now = self.virtual_time;
        let weight_milli = u64::from(flow.weight_milli.max(1));
        let position = (Reverse(priority), self.arrivals);
        self.arrivals += 1;
        let flow_state = self.flows.entry(flow.id.clone()).or_insert(FlowState {
            start_tag: now,
            weight_milli,
            cost: 0,
            calls: BTreeMap::new(),
        });
        if flow_state.calls.is_empty() {
            flow_state.start_tag = flow_state.start_tag.max(now);
            flow_state.weight_milli = weight_milli;
            self.weight_milli += weight_milli;
            self.heads
                .insert((flow_state.start_tag, position.1, flow.id.clone()));
        } else {
            let head = head_key(flow_state, &flow.id);
            self.heads.remove(&head);
            flow_state.calls.insert(position, (key, cost));
            self.heads.insert(self::head_key(flow_state, &flow.id));
        }
        flow_state.calls.insert(position, (key, cost));
        flow_state.cost += cost;
        self.cost += cost;
        self.positions.insert(key, (flow.id, position));
    }

    /// Removes and returns the next call to serve.
    ///
    /// # Panics
    ///
    /// Panics if `heads` and `flows` disagree, which is a bug.
    pub fn pop(&mut self) -> Option<K> {
        let (start_tag, _, id) = self.heads.first()?.clone();
        let flow_state = self.flows.get(&id).expect("each key of `heads` has a flow");
        let (_, (key, cost)) = flow_state
            .calls
            .first_key_value()
            .expect("a flow in `heads` has a waiting call");
        let (key, cost) = (*key, *cost);
        self.virtual_time = self.virtual_time.max(start_tag);
        self.remove_and_charge(key, cost);
        if self.heads.is_empty() {
            self.reset();
        }
        Some(key)
    }

    /// Removes a waiting call without serving it; returns whether it waited.
    pub fn remove(&mut self, key: K) -> bool {
        let waits = self.positions.contains_key(&key);
        if waits {
            self.remove_and_charge(key, 0);
        }
        waits
    }

    /// Removes a waiting call and charges its flow with a cost.
    fn remove_and_charge(&mut self, key: K, charge: u64) {
        let (id, position) = self.positions.remove(&key).expect("the call waits");
        let flow_state = self.flows.get_mut(&id).expect("a waiting call has a flow");
        let head = head_key(flow_state, &id);
        self.heads.remove(&head);
        let (_, cost) = flow_state.calls.remove(&position).expect("the call waits");
        flow_state.cost -= cost;
        self.cost -= cost;
        flow_state.start_tag += charge.saturating_mul(UNIT_WEIGHT_MILLI) / flow_state.weight_milli;
        if flow_state.calls.is_empty() {
            self.weight_milli -= flow_state.weight_milli;
            if flow_state.start_tag <= self.virtual_time {
                self.flows.remove(&id);
            }
        } else {
            self.heads.insert(self::head_key(flow_state, &id));
        }
        if self.flows.len() > 2 * self.heads.len() + PRUNE_IDLE_FLOWS_ABOVE {
            let now = self.virtual_time;
            self.flows
                .retain(|_, state| !state.calls.is_empty() || state.start_tag > now);
        }
    }

    /// Forgets all flows and resets virtual time, so that earlier service no longer
    /// counts.
    fn reset(&mut self) {
        self.flows.clear();
        self.virtual_time = 0;
    }
}

/// Number by which idle flows may outnumber those with waiting calls. Above it, the
/// idle flows whose start tag isn't ahead of virtual time are removed: if they were
/// added again, they would start at virtual time as well.
const PRUNE_IDLE_FLOWS_ABOVE: usize = 64;

/// Returns the element of `heads` for a flow with waiting calls.
fn head_key<F: Clone, K>(flow_state: &FlowState<K>, id: &F) -> (u64, u64, F) {
    let (position, _) = flow_state
        .calls
        .first_key_value()
        .expect("a flow in `heads` has a waiting call");
    (flow_state.start_tag, position.1, id.clone())
}
