//! The peers of a node and the offsets that they hold.

use crate::RelayEffect;
use egretstage_config::{ChunkJoiner, Offset, StateDelta};
use egretstage_link::LinkId;
use egretstage_wire::{ConfigurationFrame, StateChunk, StateDigest};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Shortest time between two announcements on a link.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the next part of the state that a peer was asked for.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node and its peer have announced to each other.
#[derive(Debug, Default)]
struct Peer {
    /// Highest offset that the peer announced.
    held_offset: Option<Offset>,
    /// Last offset that was announced to the peer.
    announced: Option<Offset>,
}

/// A request for state that a peer hasn't answered in full.
#[derive(Debug)]
struct Pull {
    link: LinkId,
    deadline: Instant,
    joiner: ChunkJoiner,
}

/// The peers of a node and the offsets that they hold.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_link: BTreeMap<LinkId, Peer>,
    pull: Option<Pull>,
    next_announce: Option<Instant>,
}

impl Peers {
    pub(crate) fn link_up(&mut self, link: LinkId) {
        self.by_link.insert(link, Peer::default());
    }

    pub(crate) fn link_down(&mut self, link: LinkId) {
        self.by_link.remove(&link);
        self.pull.take_if(|pull| pull.link == link);
    }

    /// Records the offset that a peer announced.
    pub(crate) fn peer_announced(&mut self, link: LinkId, offset: Offset) {
        if let Some(peer) = self.by_link.get_mut(&link) {
            peer.held_offset = peer.held_offset.max(Some(offset));
        }
    }

    /// Returns the highest offset that a peer holds; none if no peer has
    /// announced one.
    pub(crate) fn highest_offset(&self) -> Option<Offset> {
        self.by_link
            .values()
            .filter_map(|peer| peer.held_offset)
            .max()
    }

    /// Announces the offset that this node holds to all peers, unless the last
    /// announcement was too recent.
    pub(crate) fn announce(
        &mut self,
        now: Instant,
        offset: Offset,
        digest: StateDigest,
        fx: &mut Vec<RelayEffect>,
    ) {
        let pending = |peer: &Peer| peer.announced.is_none_or(|announced| announced < offset);
        if !self.by_link.values().any(pending) || self.next_announce.is_some_and(|at| at > now) {
            return;
        }
        self.next_announce = Some(now + ANNOUNCE_INTERVAL);
        for (link, peer) in self.by_link.iter_mut().filter(|(_, peer)| pending(peer)) {
            peer.announced = Some(offset);
            let link = *link;
            let frame = ConfigurationFrame::Announce { offset, digest };
            // A peer that holds this offset already needs no announcement.
            if peer.held_offset.is_none_or(|held| held < offset) {
                fx.push(RelayEffect::Send { link, frame });
            }
        }
    }

    /// Asks the peer with the highest offset for state, unless a pull is in
    /// flight.
    ///
    /// A peer that didn't answer in time isn't asked again until its next
    /// announcement.
    pub(crate) fn pull_state(&mut self, now: Instant, held: Offset, fx: &mut Vec<RelayEffect>) {
        if let Some(pull) = self.pull.take_if(|pull| pull.deadline <= now)
            && let Some(peer) = self.by_link.get_mut(&pull.link)
        {
            peer.held_offset = None;
        }
        if self.pull.is_some() {
            return;
        }
        let candidates = self.by_link.iter().filter_map(|(link, peer)| {
            let held_offset = peer.held_offset.filter(|held_offset| *held_offset > held)?;
            Some((held_offset, spread_hash(*link, held), *link))
        });
        let Some((_, _, link)) = candidates.max() else {
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

    /// Adds a part of the pulled state and returns the state once it is whole.
    pub(crate) fn receive_chunk(
        &mut self,
        now: Instant,
        link: LinkId,
        chunk: StateChunk,
    ) -> Option<StateDelta> {
        let pull = self.pull.as_mut().filter(|pull| pull.link == link)?;
        pull.deadline = now + PULL_TIMEOUT;
        let delta = pull.joiner.push(chunk)?;
        self.pull = None;
        Some(delta)
    }

    /// Returns when the next announcement may be sent, if one is due.
    pub(crate) fn next_announce(&self, offset: Offset) -> Option<Instant> {
        let pending = |peer: &Peer| peer.announced.is_none_or(|announced| announced < offset);
        self.next_announce
            .filter(|_| self.by_link.values().any(pending))
    }

    /// Returns when the pull in flight times out.
    pub(crate) fn pull_deadline(&self) -> Option<Instant> {
        self.pull.as_ref().map(|pull| pull.deadline)
    }
}

/// Hashes a link and an offset, so that pulls spread over peers that hold the
/// same offset.
fn spread_hash(link: LinkId, held: Offset) -> u64 {
    /// Fraction of the golden ratio in 64 bits; its multiples are evenly spread.
    const GOLDEN_RATIO_64: u64 = 0x9E37_79B9_7F4A_7C15;
    (link.0 ^ held.0.rotate_left(32)).wrapping_mul(GOLDEN_RATIO_64)
}
