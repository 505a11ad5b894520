//! Simulated links, which delay, lose and duplicate messages.

use crate::simulation::{Event, FIRST_PORT, LINK_TIMEOUT, MIN_DELAY, Simulation};
use egretstage_group::prelude::*;
use egretstage_wire::{Frame, GroupFrame, Incarnation, encode};
use std::net::SocketAddr;

impl Simulation {
    /// Sends a frame; returns whether the sender is still alive.
    pub(crate) fn send(&mut self, node: usize, link: PeerLink, frame: &GroupFrame) -> bool {
        let kind: &'static str = frame.into();
        if self.nodes[node]
            .member
            .as_ref()
            .is_some_and(|m| m.decider().is_some())
        {
            let encoded = encode(&Frame::Group(Box::new(frame.clone())));
            self.metrics.decider_bytes += encoded.expect("a small frame").len();
            self.metrics.decider_frames += 1;
        } else {
            self.metrics.rank_frames += 1;
        }
        if let Some((a, b)) = self.links.get(&link).copied() {
            let to = if a == node { b } else { a };
            let run_id = self.nodes[to].run_id;
            let copies = if self.chance(self.network.loss_percent) {
                0
            } else {
                1 + usize::from(self.chance(self.network.duplicate_percent))
            };
            for _ in 0..copies {
                let (delay, frame) = (self.random_delay(), frame.clone());
                self.schedule(
                    delay,
                    Event::Member(to, run_id, MemberEvent::Frame { link, frame }),
                );
            }
        }
        if let Some((trigger_kind, count)) = self
            .kill_trigger
            .filter(|(trigger_kind, _)| *trigger_kind == kind)
        {
            self.kill_trigger = (count > 1).then_some((trigger_kind, count - 1));
            if count <= 1 {
                self.kill(node);
                return false;
            }
        }
        true
    }

    /// Opens a link to the node at an address. A dial to a node that is down or
    /// frozen fails.
    pub(crate) fn dial(&mut self, node: usize, run_id: u64, address: SocketAddr) {
        let to = usize::from(address.port() - FIRST_PORT);
        if self.nodes[to].member.is_none() || self.is_frozen(to) {
            self.schedule(
                LINK_TIMEOUT,
                Event::Member(node, run_id, MemberEvent::DialEnded),
            );
            return;
        }
        let link = PeerLink(self.next_link);
        self.next_link += 1;
        self.links.insert(link, (node, to));
        for (at, peer) in [(node, to), (to, node)] {
            let link_up = MemberEvent::LinkUp {
                link,
                dialed: at == node,
                incarnation: Incarnation(peer as u64 * 1_000 + self.nodes[peer].run_id),
            };
            let run_id = self.nodes[at].run_id;
            self.schedule(MIN_DELAY, Event::Member(at, run_id, link_up));
        }
    }

    /// Ends a link and reports that to both nodes.
    pub(crate) fn end_link(&mut self, link: PeerLink) {
        if let Some((a, b)) = self.links.remove(&link) {
            for node in [a, b] {
                let run_id = self.nodes[node].run_id;
                let down = MemberEvent::LinkDown(link);
                self.schedule(MIN_DELAY, Event::Member(node, run_id, down));
            }
            let run_id = self.nodes[a].run_id;
            let ended = MemberEvent::DialEnded;
            self.schedule(MIN_DELAY, Event::Member(a, run_id, ended));
        }
    }

    /// Ends all links of a node.
    pub(crate) fn end_links_of(&mut self, node: usize) {
        let links: Vec<_> = self
            .links
            .iter()
            .map(|(link, ends)| (*link, *ends))
            .collect();
        for (link, (a, b)) in links {
            if a == node || b == node {
                self.end_link(link);
            }
        }
    }
}
