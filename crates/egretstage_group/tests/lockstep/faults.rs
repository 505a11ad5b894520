//! Simulated faults.

use crate::simulation::{Event, LINK_TIMEOUT, RESTART_DELAY, Simulation, to_u16};
use egretstage_group::prelude::*;
use egretstage_wire::{OrderAction, RankIndex};
use std::time::Duration;

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Kills and restarts the decider's companion, or that of `rank` if there is no
    /// decider or `decider` is false.
    Kill { decider: bool, rank: usize },
    /// Freezes a companion, chosen as for `Kill`, and thaws it after `ms`.
    Freeze { decider: bool, rank: usize, ms: u64 },
    /// Kills the sender of the `count`th frame of a kind, right after it was sent.
    KillAfterSends { kind: &'static str, count: u32 },
    /// Freezes the engine of a rank for `ms`.
    FreezeEngine { rank: usize, ms: u64 },
    /// Starts a new engine for a rank other than 0.
    ReplaceEngine { rank: usize },
    /// Ends all links of a node.
    CutLinks { rank: usize },
    /// Makes the log unavailable for `ms`.
    LogDown { ms: u64 },
    /// Requests an order to the engine of a rank.
    Order { rank: usize },
}

impl Simulation {
    /// Returns the node of the first member that acts as decider.
    fn decider_node(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let member = node.member.as_ref();
            member.is_some_and(|member| member.decider().is_some())
        })
    }

    /// Kills the member of a node and schedules its restart.
    pub(crate) fn kill(&mut self, node: usize) {
        self.end_links_of(node);
        self.nodes[node].member = None;
        self.nodes[node].frozen_until = self.now;
        self.schedule(RESTART_DELAY, Event::Restart(node));
    }

    /// Injects a fault now.
    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        let ranks = self.nodes.len();
        let target = |decider: bool, rank: usize| {
            let found = self.decider_node().filter(|_| decider);
            found.unwrap_or(rank % ranks)
        };
        match fault {
            Fault::Kill { decider, rank } => {
                let node = target(decider, rank);
                self.kill(node);
            }
            Fault::Freeze { decider, rank, ms } => {
                let (node, time) = (target(decider, rank), Duration::from_millis(ms));
                self.nodes[node].frozen_until = self.now + time;
                self.schedule(time, Event::Thaw(node));
                if time >= LINK_TIMEOUT {
                    self.end_links_of(node);
                }
            }
            Fault::KillAfterSends { kind, count } => self.kill_trigger = Some((kind, count)),
            Fault::FreezeEngine { rank, ms } => {
                let engine = self.engine_of[rank % ranks];
                self.engine_frozen[engine] = self.now + Duration::from_millis(ms);
            }
            Fault::ReplaceEngine { rank } => self.start_engine(1 + rank % (ranks - 1), ranks),
            Fault::CutLinks { rank } => self.end_links_of(rank % ranks),
            Fault::LogDown { ms } => {
                self.log_down = true;
                self.schedule(Duration::from_millis(ms), Event::LogUp);
            }
            Fault::Order { rank } => {
                let action = OrderAction::Load("draft-2".into());
                for node in 0..ranks {
                    let event = MemberEvent::Order {
                        rank: RankIndex(to_u16(rank % ranks)),
                        action: action.clone(),
                    };
                    let run_id = self.nodes[node].run_id;
                    self.schedule(Duration::ZERO, Event::Member(node, run_id, event));
                }
            }
        }
    }
}
