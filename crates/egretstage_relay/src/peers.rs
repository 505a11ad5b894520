//! The peers of a node and what they hold.

use crate::RelayEffect;
use egretstage_config::{ChunkJoiner, Offset, StateDelta};
use egretstage_link::LinkKey;
use egretstage_wire::{ConfigurationFrame, StateChunk, StateDigest};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Shortest time between two announcements on a link.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest silence of a peer that was asked for state.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a peer has said.
#[derive(Debug, Default)]
struct Peer {
    holds: Option<Offset>,
    told: Option<Offset>,
}

/// A request for state that a peer hasn't answered in full.
#[derive(Debug)]
struct Pull {
    link: LinkKey,
    deadline: Instant,
    joiner: ChunkJoiner,
}

/// The peers of a node and what they hold.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_link: BTreeMap<LinkKey, Peer>,
    pull: Option<Pull>,
    next_announce: Option<Instant>,
}

impl Peers {
    pub(crate) fn up(&mut self, link: LinkKey) {
        self.by_link.insert(link, Peer::default());
    }

    pub(crate) fn down(&mut self, link: LinkKey) {
        self.by_link.remove(&link);
        self.pull.take_if(|pull| pull.link == link);
    }

    /// Notes what a peer holds.
    pub(crate) fn announced(&mut self, link: LinkKey, offset: Offset) {
        if let Some(peer) = self.by_link.get_mut(&link) {
            peer.holds = peer.holds.max(Some(offset));
        }
    }

    /// Returns the highest offset that a peer holds; none if none has told.
    pub(crate) fn highest(&self) -> Option<Offset> {
        self.by_link.values().filter_map(|peer| peer.holds).max()
    }

    /// Tells all peers what this node holds, unless it did so just now.
    pub(crate) fn announce(
        &mut self,
        now: Instant,
        offset: Offset,
        digest: StateDigest,
        fx: &mut Vec<RelayEffect>,
    ) {
        let untold = |peer: &Peer| peer.told.is_none_or(|told| told < offset);
        if !self.by_link.values().any(untold) || self.next_announce.is_some_and(|at| at > now) {
            return;
        }
        self.next_announce = Some(now + ANNOUNCE_INTERVAL);
        for (link, peer) in self.by_link.iter_mut().filter(|(_, peer)| untold(peer)) {
            peer.told = Some(offset);
            let link = *link;
            let frame = ConfigurationFrame::Announce { offset, digest };
            // A peer that is known to hold this much needn't hear of it.
            if peer.holds.is_none_or(|holds| holds < offset) {
                fx.push(RelayEffect::Send { link, frame });
            }
        }
    }

    /// Asks the peer that holds the most, if no peer is being asked.
    pub(crate) fn pull(&mut self, now: Instant, held: Offset, fx: &mut Vec<RelayEffect>) {
        if let Some(pull) = self.pull.take_if(|pull| pull.deadline <= now)
            && let Some(peer) = self.by_link.get_mut(&pull.link)
        {
            peer.holds = None;
        }
        if self.pull.is_some() {
            return;
        }
        let ahead = self.by_link.iter().filter_map(|(link, peer)| {
            let holds = peer.holds.filter(|holds| *holds > held)?;
            Some((holds, spread(*link, held), *link))
        });
        let Some((_, _, link)) = ahead.max() else {
            return;
        };
        self.pull = Some(Pull {
            link,
            deadline: now + PULL_TIMEOUT,
            joiner: ChunkJoiner::default(),
        });
        let frame = ConfigurationFrame::Pull { since: held };
        fx.push(RelayEffect::Send { link, frame });
    }

    /// Takes a part of an answer and returns the delta once it is whole.
    pub(crate) fn chunk(
        &mut self,
        now: Instant,
        link: LinkKey,
        chunk: StateChunk,
    ) -> Option<StateDelta> {
        let pull = self.pull.as_mut().filter(|pull| pull.link == link)?;
        pull.deadline = now + PULL_TIMEOUT;
        let delta = pull.joiner.push(chunk)?;
        self.pull = None;
        Some(delta)
    }

    /// Returns when peers may be told what they haven't heard.
    pub(crate) fn next_announce(&self, offset: Offset) -> Option<Instant> {
        let untold = |peer: &Peer| peer.told.is_none_or(|told| told < offset);
        self.next_announce
            .filter(|_| self.by_link.values().any(untold))
    }

    /// Returns when a peer that is being asked must have answered.
    pub(crate) fn pull_deadline(&self) -> Option<Instant> {
        self.pull.as_ref().map(|pull| pull.deadline)
    }
}

/// Returns a number that varies with the link and the offset, so that pulls
/// spread over peers that hold the same.
fn spread(link: LinkKey, held: Offset) -> u64 {
    /// The golden ratio in 64 bits; multiples of it are evenly spread.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    (link.0 ^ held.0.rotate_left(32)).wrapping_mul(MULTIPLIER)
}
