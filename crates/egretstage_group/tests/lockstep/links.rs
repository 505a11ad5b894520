//! The links of the model: messages are delayed, lost and repeated.

use crate::world::{Event, FASTEST, FIRST_PORT, LINK_SILENCE, World};
use egretstage_group::prelude::*;
use egretstage_wire::{Frame, GroupFrame, Incarnation, encode};
use std::net::SocketAddr;

impl World {
    pub(crate) fn send(&mut self, n: usize, link: PeerLink, frame: &GroupFrame) -> bool {
        let kind: &'static str = frame.into();
        if self.nodes[n]
            .member
            .as_ref()
            .is_some_and(|m| m.decider().is_some())
        {
            let encoded = encode(&Frame::Group(Box::new(frame.clone())));
            self.sent.decider_bytes += encoded.expect("a small frame").len();
            self.sent.decider_frames += 1;
        } else {
            self.sent.rank_frames += 1;
        }
        if let Some((a, b)) = self.links.get(&link).copied() {
            let to = if a == n { b } else { a };
            let life = self.nodes[to].life;
            let copies = if self.chance(self.network.loss) {
                0
            } else {
                1 + usize::from(self.chance(self.network.repeats))
            };
            for _ in 0..copies {
                let (delay, frame) = (self.delay(), frame.clone());
                self.at(
                    delay,
                    Event::Member(to, life, MemberEvent::Frame { link, frame }),
                );
            }
        }
        if let Some((armed, count)) = self.armed.filter(|(armed, _)| *armed == kind) {
            self.armed = (count > 1).then_some((armed, count - 1));
            if count <= 1 {
                self.kill(n);
                return false;
            }
        }
        true
    }

    pub(crate) fn dial(&mut self, n: usize, life: u64, address: SocketAddr) {
        let to = usize::from(address.port() - FIRST_PORT);
        if self.nodes[to].member.is_none() || self.is_frozen(to) {
            self.at(LINK_SILENCE, Event::Member(n, life, MemberEvent::DialEnded));
            return;
        }
        let link = PeerLink(self.next_link);
        self.next_link += 1;
        self.links.insert(link, (n, to));
        for (at, peer) in [(n, to), (to, n)] {
            let up = MemberEvent::LinkUp {
                link,
                dialed: at == n,
                incarnation: Incarnation(peer as u64 * 1_000 + self.nodes[peer].life),
            };
            let life = self.nodes[at].life;
            self.at(FASTEST, Event::Member(at, life, up));
        }
    }

    pub(crate) fn end_link(&mut self, link: PeerLink) {
        if let Some((a, b)) = self.links.remove(&link) {
            for n in [a, b] {
                let life = self.nodes[n].life;
                let down = MemberEvent::LinkDown(link);
                self.at(FASTEST, Event::Member(n, life, down));
            }
            let life = self.nodes[a].life;
            let ended = MemberEvent::DialEnded;
            self.at(FASTEST, Event::Member(a, life, ended));
        }
    }

    pub(crate) fn end_links_of(&mut self, n: usize) {
        let links: Vec<_> = self
            .links
            .iter()
            .map(|(link, ends)| (*link, *ends))
            .collect();
        for (link, (a, b)) in links {
            if a == n || b == n {
                self.end_link(link);
            }
        }
    }
}
