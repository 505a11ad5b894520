//! Frames that a decider sends, and resends until the rank replies.

use super::{Decider, Phase};
use crate::rank_view::RankView;
use crate::{Output, Peer};
use egretstage_wire::{Generation, GroupFrame, VersionedMap};

impl Decider {
    /// Sends to each rank the frames that it may not have received.
    pub(super) fn resend(&self, out: &mut Vec<Output>) {
        for rank in 0..self.rank_views.len() {
            self.resend_to(rank, out);
        }
    }

    /// Sends to one rank the frames that it may not have received.
    pub(super) fn resend_to(&self, rank: usize, out: &mut Vec<Output>) {
        let view = &self.rank_views[rank];
        let Some(peer) = view.peer else {
            return;
        };
        let generation = self.generation;
        let lacks = |map: &&VersionedMap| !view.held_maps.contains(&map.version);
        match &self.phase {
            Phase::Joining if view.joined_state.is_none() && self.all_attached() => {
                let have = self.active_map.as_ref().map(|map| map.version);
                out.push(Output::ToRank(peer, GroupFrame::Join { generation, have }));
            }
            Phase::Joining => out.push(Output::ToRank(peer, GroupFrame::Heartbeat)),
            Phase::Staging { .. } => match self.active_map.as_ref().filter(lacks) {
                Some(map) => out.push(stage_frame(peer, generation, map)),
                None => out.push(Output::ToRank(peer, GroupFrame::Heartbeat)),
            },
            Phase::Running(schedule) => {
                out.push(Output::ToRank(peer, GroupFrame::Grant(schedule.grant())));
                if let Some(map) = self.pending_map.as_ref().filter(lacks) {
                    out.push(stage_frame(peer, generation, map));
                }
            }
        }
        send_order(view, out);
    }
}

fn stage_frame(peer: Peer, generation: Generation, map: &VersionedMap) -> Output {
    let map = map.clone();
    Output::ToRank(peer, GroupFrame::Stage { generation, map })
}

/// Sends a rank's first pending order, once its engine has joined the generation.
pub(super) fn send_order(view: &RankView, out: &mut Vec<Output>) {
    if let (Some(peer), Some(_), Some(order)) =
        (view.peer, &view.joined_state, view.pending_orders.front())
    {
        out.push(Output::ToRank(peer, GroupFrame::Order(order.clone())));
    }
}
