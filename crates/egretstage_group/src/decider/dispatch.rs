//! What a decider sends, and repeats until it is answered.

use super::{Decider, Phase};
use crate::seat::Seat;
use crate::{Output, Peer};
use egretstage_wire::{Generation, GroupFrame, VersionedMap};

impl Decider {
    /// Sends all ranks what they may lack.
    pub(super) fn resend(&self, out: &mut Vec<Output>) {
        for rank in 0..self.seats.len() {
            self.resend_to(rank, out);
        }
    }

    /// Sends a rank what it may lack.
    pub(super) fn resend_to(&self, rank: usize, out: &mut Vec<Output>) {
        let seat = &self.seats[rank];
        let Some(peer) = seat.peer else {
            return;
        };
        let generation = self.generation;
        let lacks = |map: &&VersionedMap| !seat.held.contains(&map.version);
        match &self.phase {
            Phase::Joining if seat.joined.is_none() && self.all_attached() => {
                let have = self.active.as_ref().map(|map| map.version);
                out.push(Output::ToRank(peer, GroupFrame::Join { generation, have }));
            }
            Phase::Joining => out.push(Output::ToRank(peer, GroupFrame::Heartbeat)),
            Phase::Staging { .. } => match self.active.as_ref().filter(lacks) {
                Some(map) => out.push(stage(peer, generation, map)),
                None => out.push(Output::ToRank(peer, GroupFrame::Heartbeat)),
            },
            Phase::Running(schedule) => {
                out.push(Output::ToRank(peer, GroupFrame::Grant(schedule.grant())));
                if let Some(map) = self.next.as_ref().filter(lacks) {
                    out.push(stage(peer, generation, map));
                }
            }
        }
        send_order(seat, out);
    }
}

fn stage(peer: Peer, generation: Generation, map: &VersionedMap) -> Output {
    let map = map.clone();
    Output::ToRank(peer, GroupFrame::Stage { generation, map })
}

/// Sends a rank's first order, once its engine has joined the generation.
pub(super) fn send_order(seat: &Seat, out: &mut Vec<Output>) {
    if let (Some(peer), Some(_), Some(order)) = (seat.peer, &seat.joined, seat.orders.front()) {
        out.push(Output::ToRank(peer, GroupFrame::Order(order.clone())));
    }
}
