//! The faults of the model.

use crate::world::{Event, LINK_SILENCE, RESTART, World, index};
use egretstage_group::prelude::*;
use egretstage_wire::{OrderAction, RankIndex};
use std::time::Duration;

/// What goes wrong, each at its time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The companion of the decider, or else of a rank, is killed and restarted.
    Kill {
        decider: bool,
        rank: usize,
    },
    /// The same, frozen and thawed.
    Freeze {
        decider: bool,
        rank: usize,
        ms: u64,
    },
    /// The decider is killed right after it sent some frames of a kind.
    KillAfterSends {
        kind: &'static str,
        count: u32,
    },
    FreezeEngine {
        rank: usize,
        ms: u64,
    },
    ReplaceEngine {
        rank: usize,
    },
    CutLinks {
        rank: usize,
    },
    LogDown {
        ms: u64,
    },
    Order {
        rank: usize,
    },
}

impl World {
    fn decider(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let member = node.member.as_ref();
            member.is_some_and(|member| member.decider().is_some())
        })
    }

    pub(crate) fn kill(&mut self, n: usize) {
        self.end_links_of(n);
        self.nodes[n].member = None;
        self.nodes[n].frozen_until = self.now;
        self.at(RESTART, Event::Restart(n));
    }

    pub(crate) fn fault(&mut self, fault: Fault) {
        let ranks = self.nodes.len();
        let target = |decider: bool, rank: usize| {
            let found = self.decider().filter(|_| decider);
            found.unwrap_or(rank % ranks)
        };
        match fault {
            Fault::Kill { decider, rank } => {
                let n = target(decider, rank);
                self.kill(n);
            }
            Fault::Freeze { decider, rank, ms } => {
                let (n, time) = (target(decider, rank), Duration::from_millis(ms));
                self.nodes[n].frozen_until = self.now + time;
                self.at(time, Event::Thaw(n));
                if time >= LINK_SILENCE {
                    self.end_links_of(n);
                }
            }
            Fault::KillAfterSends { kind, count } => self.armed = Some((kind, count)),
            Fault::FreezeEngine { rank, ms } => {
                let e = self.engine_of[rank % ranks];
                self.engine_frozen[e] = self.now + Duration::from_millis(ms);
            }
            Fault::ReplaceEngine { rank } => self.start_engine(1 + rank % (ranks - 1), ranks),
            Fault::CutLinks { rank } => self.end_links_of(rank % ranks),
            Fault::LogDown { ms } => {
                self.log_down = true;
                self.at(Duration::from_millis(ms), Event::LogUp);
            }
            Fault::Order { rank } => {
                let action = OrderAction::Load("draft-2".into());
                for n in 0..ranks {
                    let event = MemberEvent::Order {
                        rank: RankIndex(index(rank % ranks)),
                        action: action.clone(),
                    };
                    let life = self.nodes[n].life;
                    self.at(Duration::ZERO, Event::Member(n, life, event));
                }
            }
        }
    }
}
