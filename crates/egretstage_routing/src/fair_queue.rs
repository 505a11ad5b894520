//! Start-time fair queueing of waiting calls.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

/// Weight of an organisation that has no other, in thousandths.
const ONE: u64 = 1000;

/// The flow that a call belongs to, and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow<F> {
    /// The flow, which is an organisation.
    pub id: F,
    /// Its share relative to others, in thousandths.
    pub weight_milli: u32,
}

/// Order of calls within a flow: priority, then arrival.
type Place = (Reverse<u8>, u64);

#[derive(Debug)]
struct Backlog<K> {
    tag: u64,
    weight_milli: u64,
    cost: u64,
    calls: BTreeMap<Place, (K, u64)>,
}

/// A queue that gives each flow its share of the cost served.
///
/// While two flows wait, what they were served, each divided by its weight,
/// differs by at most the largest cost of a call of either divided by its
/// weight. The bound holds at one upstream whichever entries send the calls,
/// and doesn't depend on their number. A call's priority orders it within its
/// flow and never takes from another flow's share.
#[derive(Debug)]
pub struct FairQueue<F, K> {
    flows: HashMap<F, Backlog<K>>,
    heads: BTreeSet<(u64, u64, F)>,
    places: HashMap<K, (F, Place)>,
    virtual_time: u64,
    arrivals: u64,
    cost: u64,
    weight_milli: u64,
}

impl<F, K> Default for FairQueue<F, K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            heads: BTreeSet::new(),
            places: HashMap::new(),
            virtual_time: 0,
            arrivals: 0,
            cost: 0,
            weight_milli: 0,
        }
    }
}

impl<F: Clone + Ord + Hash, K: Copy + Eq + Hash> FairQueue<F, K> {
    /// Returns how many calls wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the cost of all waiting calls.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Tells whether a call waits.
    #[must_use]
    pub fn contains(&self, key: K) -> bool {
        self.places.contains_key(&key)
    }

    /// Returns the cost that is served before a new call of a flow, at most:
    /// that of its own waiting calls and, meanwhile, of the other flows'
    /// shares.
    #[must_use]
    pub fn cost_ahead(&self, flow: &Flow<F>) -> u64 {
        let weight = u64::from(flow.weight_milli.max(1));
        let own = self.flows.get(&flow.id);
        let own_cost = own.map_or(0, |own| own.cost);
        let own_weight = own
            .filter(|own| !own.calls.is_empty())
            .map_or(0, |own| own.weight_milli);
        let others = self.weight_milli - own_weight;
        let meanwhile = own_cost.saturating_mul(others) / weight;
        self.cost.min(own_cost.saturating_add(meanwhile))
    }

    /// Adds a call.
    pub fn push(&mut self, flow: Flow<F>, key: K, cost: u64, priority: u8) {
        let now = self.virtual_time;
        let weight_milli = u64::from(flow.weight_milli.max(1));
        let place = (Reverse(priority), self.arrivals);
        self.arrivals += 1;
        let backlog = self.flows.entry(flow.id.clone()).or_insert(Backlog {
            tag: now,
            weight_milli,
            cost: 0,
            calls: BTreeMap::new(),
        });
        if backlog.calls.is_empty() {
            backlog.tag = backlog.tag.max(now);
            backlog.weight_milli = weight_milli;
            self.weight_milli += weight_milli;
            self.heads.insert((backlog.tag, place.1, flow.id.clone()));
        } else {
            let head = head(backlog, &flow.id);
            self.heads.remove(&head);
            backlog.calls.insert(place, (key, cost));
            self.heads.insert(self::head(backlog, &flow.id));
        }
        backlog.calls.insert(place, (key, cost));
        backlog.cost += cost;
        self.cost += cost;
        self.places.insert(key, (flow.id, place));
    }

    /// Takes the call that is next.
    ///
    /// # Panics
    ///
    /// Panics if the heads and the flows disagree, which is a broken invariant.
    pub fn pop(&mut self) -> Option<K> {
        let (tag, _, id) = self.heads.first()?.clone();
        let backlog = self.flows.get(&id).expect("a head has a flow");
        let (_, (key, cost)) = backlog.calls.first_key_value().expect("a head has a call");
        let (key, cost) = (*key, *cost);
        self.virtual_time = self.virtual_time.max(tag);
        self.take(key, cost);
        if self.heads.is_empty() {
            self.rest();
        }
        Some(key)
    }

    /// Removes a waiting call without serving it.
    pub fn remove(&mut self, key: K) -> bool {
        let known = self.places.contains_key(&key);
        if known {
            self.take(key, 0);
        }
        known
    }

    /// Removes a call and charges its flow.
    fn take(&mut self, key: K, charge: u64) {
        let (id, place) = self.places.remove(&key).expect("the call waits");
        let backlog = self.flows.get_mut(&id).expect("a waiting call has a flow");
        let head = head(backlog, &id);
        self.heads.remove(&head);
        let (_, cost) = backlog.calls.remove(&place).expect("the call waits");
        backlog.cost -= cost;
        self.cost -= cost;
        backlog.tag += charge.saturating_mul(ONE) / backlog.weight_milli;
        if backlog.calls.is_empty() {
            self.weight_milli -= backlog.weight_milli;
            if backlog.tag <= self.virtual_time {
                self.flows.remove(&id);
            }
        } else {
            self.heads.insert(self::head(backlog, &id));
        }
        if self.flows.len() > 2 * self.heads.len() + IDLE_FLOWS {
            let now = self.virtual_time;
            self.flows.retain(|_, b| !b.calls.is_empty() || b.tag > now);
        }
    }

    /// Starts anew once nothing waits: what was served before counts no more.
    fn rest(&mut self) {
        self.flows.clear();
        self.virtual_time = 0;
    }
}

/// Idle flows that are kept before those that are owed nothing are dropped.
const IDLE_FLOWS: usize = 64;

fn head<F: Clone, K>(backlog: &Backlog<K>, id: &F) -> (u64, u64, F) {
    let (place, _) = backlog.calls.first_key_value().expect("a head has a call");
    (backlog.tag, place.1, id.clone())
}
