//! One model group: real companions beside stand-in engines that step together.

use egretstage::group::{ClaimRecord, Claims, claims_stream};
use egretstage::wire::ServiceName;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::rank_engine::{ExecutedStep, MapSelection};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of the group.
const GROUP: &str = "drafting";

/// Number of ranks.
pub(crate) const RANKS: u16 = 3;

/// The instance of one rank: a companion and the address of its engine.
#[derive(Debug)]
pub(crate) struct RankInstance {
    name: String,
    rank: u16,
    address: SocketAddr,
    sender_lock: SocketAddr,
    /// Link faults between the other companions and this one.
    pub(crate) links: FaultProxy,
    /// Link faults between the companion and its engine.
    pub(crate) engine: FaultProxy,
    pub(crate) companion: Program,
}

/// One model group with its platform.
pub(crate) struct RankFleet {
    pub(crate) fleet: Fleet,
    pub(crate) engines: Arc<RankGroupStandIn>,
    /// The present instance of each rank.
    pub(crate) ranks: Vec<RankInstance>,
    /// Instances that were replaced and may still run.
    pub(crate) replaced: Vec<RankInstance>,
    seed: u64,
}

impl RankFleet {
    /// Starts a group and waits until it steps.
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
            let instance = group.instance(rank, "a");
            group.ranks.push(instance);
        }
        group.await_steps(10);
        group
    }

    fn instance(&self, rank: u16, suffix: &str) -> RankInstance {
        let upstream = {
            let _guard = self.fleet.runtime_handle().enter();
            self.engines.engine(rank).expect("an engine")
        };
        let (address, sender_lock) = (free_address(), free_address());
        let links = self.fleet.proxy(address, self.seed);
        let engine = self.fleet.proxy(upstream, self.seed + 1);
        let name = format!("rank-{rank}-{suffix}");
        let advertise = links.address();
        let companion = self.companion(
            &name,
            rank,
            address,
            engine.address(),
            sender_lock,
            advertise,
        );
        RankInstance {
            name,
            rank,
            address,
            sender_lock,
            links,
            engine,
            companion,
        }
    }

    fn companion(
        &self,
        name: &str,
        rank: u16,
        address: SocketAddr,
        upstream: SocketAddr,
        sender_lock: SocketAddr,
        advertise: SocketAddr,
    ) -> Program {
        let place = Placement {
            instance: name,
            zone: "west",
            service: GROUP,
            kind: "engine",
            upstream,
        };
        let rank = RankPlacement {
            index: rank,
            ranks: RANKS,
            sender_lock,
            advertise,
        };
        self.fleet.rank_companion(&place, address, &rank)
    }

    /// Starts another companion beside the engine of a rank, at its own address.
    pub(crate) fn successor(&self, rank: usize) -> Program {
        self.successor_at(rank, free_address(), None)
    }

    fn successor_at(&self, rank: usize, address: SocketAddr, links: Option<SocketAddr>) -> Program {
        let old = &self.ranks[rank];
        self.companion(
            &old.name,
            old.rank,
            address,
            old.engine.address(),
            old.sender_lock,
            links.unwrap_or(address),
        )
    }

    /// Kills the companion of a rank and starts another.
    pub(crate) fn restart(&mut self, rank: usize) {
        self.ranks[rank].companion.kill();
        let (address, links) = (self.ranks[rank].address, self.ranks[rank].links.address());
        self.ranks[rank].companion = self.successor_at(rank, address, Some(links));
    }

    /// Replaces the instance of a rank; the old one stays frozen meanwhile.
    pub(crate) fn replace(&mut self, rank: usize) {
        self.ranks[rank].companion.freeze();
        let suffix = format!("b{}", self.replaced.len());
        let instance = self.instance(self.ranks[rank].rank, &suffix);
        let old = std::mem::replace(&mut self.ranks[rank], instance);
        self.replaced.push(old);
    }

    /// Returns the rank of the present instance that holds the claim.
    pub(crate) fn decider(&self) -> Option<usize> {
        let group = ServiceName::try_from(GROUP).expect("a name");
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

    /// Waits until the group has run that many more steps.
    pub(crate) fn await_steps(&self, more: usize) {
        let steps = self.engines.completed_steps();
        wait_for("the group to step", || {
            (self.engines.completed_steps() >= steps + more).then_some(())
        });
    }

    /// Waits until the group steps with another map.
    pub(crate) fn await_switch(&self) {
        let last = |ran: Vec<ExecutedStep>| ran.last().map(|step| step.map);
        let map = last(self.engines.executed_steps());
        wait_for("a switch", || {
            (last(self.engines.executed_steps()) != map).then_some(())
        });
    }

    /// Returns how many maps the group has run with.
    pub(crate) fn maps(&self) -> usize {
        let mut maps: Vec<_> = self
            .engines
            .executed_steps()
            .iter()
            .map(|step| step.map)
            .collect();
        maps.dedup();
        maps.len()
    }

    /// Checks that superseded orders took no effect after later ones.
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
