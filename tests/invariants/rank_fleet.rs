//! A model group of real companions and stand-in engines that step together.

use egretstage::group::{ClaimRecord, Claims, claims_stream};
use egretstage::wire::ServiceName;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::rank_engine::{ExecutedStep, MapSelection};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of the model group.
const GROUP_NAME: &str = "drafting";

/// Number of ranks of the model group.
pub(crate) const RANKS: u16 = 3;

/// The instance of one rank: a companion and the proxies of its links and its
/// engine.
#[derive(Debug)]
pub(crate) struct RankInstance {
    name: String,
    rank: u16,
    address: SocketAddr,
    sender_lock: SocketAddr,
    /// Proxy between the other companions and this one.
    pub(crate) link_proxy: FaultProxy,
    /// Proxy between the companion and its engine.
    pub(crate) engine_proxy: FaultProxy,
    pub(crate) companion: Program,
}

/// A model group and the platform's stand-ins.
pub(crate) struct RankFleet {
    pub(crate) fleet: Fleet,
    pub(crate) engines: Arc<RankGroupStandIn>,
    /// The current instance of each rank.
    pub(crate) ranks: Vec<RankInstance>,
    /// Replaced instances, which may still run.
    pub(crate) replaced: Vec<RankInstance>,
    seed: u64,
}

impl RankFleet {
    /// Starts a group and waits until it has run ten steps.
    pub(crate) fn start(seed: u64, checks_fences: bool) -> Self {
        let fleet = Fleet::start(programs!());
        let engines = {
            let _guard = fleet.runtime_handle().enter();
            RankGroupStandIn::start(RankGroupOptions {
                ranks: RANKS,
                tick: Duration::from_millis(10),
                map_selection: MapSelection::Granted,
                checks_fences,
            })
        };
        let mut group = Self {
            fleet,
            engines,
            ranks: Vec::new(),
            replaced: Vec::new(),
            seed,
        };
        for rank in 0..RANKS {
            let instance = group.start_instance(rank, "a");
            group.ranks.push(instance);
        }
        group.wait_for_steps(10);
        group
    }

    fn start_instance(&self, rank: u16, suffix: &str) -> RankInstance {
        let upstream = {
            let _guard = self.fleet.runtime_handle().enter();
            self.engines.engine(rank).expect("an engine")
        };
        let (address, sender_lock) = (free_address(), free_address());
        let link_proxy = self.fleet.proxy(address, self.seed);
        let engine_proxy = self.fleet.proxy(upstream, self.seed + 1);
        let name = format!("rank-{rank}-{suffix}");
        let advertise = link_proxy.address();
        let companion = self.start_companion(
            &name,
            rank,
            address,
            engine_proxy.address(),
            sender_lock,
            advertise,
        );
        RankInstance {
            name,
            rank,
            address,
            sender_lock,
            link_proxy,
            engine_proxy,
            companion,
        }
    }

    fn start_companion(
        &self,
        name: &str,
        rank: u16,
        address: SocketAddr,
        upstream: SocketAddr,
        sender_lock: SocketAddr,
        advertise: SocketAddr,
    ) -> Program {
        let placement = Placement {
            instance: name,
            zone: "west",
            service: GROUP_NAME,
            kind: "engine",
            upstream,
        };
        let rank = RankPlacement {
            index: rank,
            ranks: RANKS,
            sender_lock,
            advertise,
        };
        self.fleet.rank_companion(&placement, address, &rank)
    }

    /// Starts another companion for the engine of a rank, with the same name but at
    /// a new address.
    pub(crate) fn start_successor(&self, rank: usize) -> Program {
        self.start_successor_at(rank, free_address(), None)
    }

    fn start_successor_at(
        &self,
        rank: usize,
        address: SocketAddr,
        advertise: Option<SocketAddr>,
    ) -> Program {
        let old = &self.ranks[rank];
        self.start_companion(
            &old.name,
            old.rank,
            address,
            old.engine_proxy.address(),
            old.sender_lock,
            advertise.unwrap_or(address),
        )
    }

    /// Kills the companion of a rank and starts another at the same address.
    pub(crate) fn restart(&mut self, rank: usize) {
        self.ranks[rank].companion.kill();
        let (address, advertise) = (
            self.ranks[rank].address,
            self.ranks[rank].link_proxy.address(),
        );
        self.ranks[rank].companion = self.start_successor_at(rank, address, Some(advertise));
    }

    /// Freezes the instance of a rank and starts another in its place.
    pub(crate) fn replace(&mut self, rank: usize) {
        self.ranks[rank].companion.freeze();
        let suffix = format!("b{}", self.replaced.len());
        let instance = self.start_instance(self.ranks[rank].rank, &suffix);
        let old = std::mem::replace(&mut self.ranks[rank], instance);
        self.replaced.push(old);
    }

    /// Returns the rank whose current instance holds the claim.
    pub(crate) fn decider(&self) -> Option<usize> {
        let group = ServiceName::try_from(GROUP_NAME).expect("a name");
        let mut claims = Claims::default();
        for (data, offset) in self
            .fleet
            .log
            .records(&claims_stream(&group))
            .into_iter()
            .zip(1..)
        {
            let record: ClaimRecord = serde_json::from_value(data).expect("a claim");
            claims.apply(offset, 1, record);
        }
        let holder = claims.current()?.instance.as_str().to_owned();
        self.ranks
            .iter()
            .position(|instance| instance.name == holder)
    }

    /// Waits until the group has run a number of further steps.
    pub(crate) fn wait_for_steps(&self, more: usize) {
        let steps = self.engines.completed_steps();
        wait_for("the group to step", || {
            (self.engines.completed_steps() >= steps + more).then_some(())
        });
    }

    /// Waits until the group steps with another map than now.
    pub(crate) fn wait_for_map_switch(&self) {
        let last_map = |steps: Vec<ExecutedStep>| steps.last().map(|step| step.map);
        let map = last_map(self.engines.executed_steps());
        wait_for("a map switch", || {
            (last_map(self.engines.executed_steps()) != map).then_some(())
        });
    }

    /// Returns the number of maps that the group has used one after another; a map
    /// that it uses again counts again.
    pub(crate) fn map_count(&self) -> usize {
        let mut maps: Vec<_> = self
            .engines
            .executed_steps()
            .iter()
            .map(|step| step.map)
            .collect();
        maps.dedup();
        maps.len()
    }

    /// Checks that no engine carried out an order of a superseded companion after
    /// an order of its successor.
    pub(crate) fn check_orders(&self) -> Result<(), String> {
        for orders in self.engines.orders() {
            let fences: Vec<_> = orders.iter().map(|order| order.fence).collect();
            if !fences.is_sorted() {
                return Err(format!("a superseded order took effect: {fences:?}"));
            }
        }
        Ok(())
    }
}
