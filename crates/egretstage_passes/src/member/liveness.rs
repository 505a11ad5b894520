//! Heartbeats of the decider, and the detection of its failure.
//!
//! Load pattern: with 64 ranks, heartbeats that hold all addresses fill the
//! decider's link. They arrive late, and another companion takes over and does
//! the same. So a heartbeat is only a few bytes and holds the addresses of two
//! ranks, in rotation. A companion that receives nothing asks peers before it
//! takes over, and doesn't mistake its own stalls for a silent decider.

use super::{MemberEffect, PassLogEntry, PassMember};
use crate::{DeciderClaim, PassMessage, RankAddresses};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Peers that are asked whether the decider reaches them.
const PEERS_ASKED: usize = 3;

/// Heartbeats sent at once. More of them, together with other datagrams,
/// overflow the queue of a narrow link.
const HEARTBEATS_AT_ONCE: usize = 32;

/// Time between two wake-ups above which the member itself has stalled. Its
/// timers run every 50 milliseconds.
const MIN_OWN_STALL: Duration = Duration::from_millis(300);

impl PassMember {
    /// Sends the decider's heartbeats to the next slice of ranks.
    pub(super) fn send_heartbeats(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let ranks = self.report.as_ref().map_or(1, |r| usize::from(r.ranks));
        let slice_count = ranks.div_ceil(HEARTBEATS_AT_ONCE).max(1);
        self.last_contact = now;
        self.heartbeat_slice = (self.heartbeat_slice + 1) % slice_count;
        let pause =
            self.settings.limits.heartbeat_interval / u32::try_from(slice_count).unwrap_or(1);
        self.next_heartbeat = now + pause;
        let (Some(decider), Some((claim, fence))) = (&mut self.decider, &self.followed_claim)
        else {
            return;
        };
        let own = self.settings.address;
        let addresses = decider.next_addresses();
        for (to, follows) in decider
            .companions(self.heartbeat_slice, slice_count)
            .filter(|(to, _)| *to != own)
        {
            let addresses = addresses.clone();
            let fence = *fence;
            let message = if follows {
                PassMessage::Alive { fence, addresses }
            } else {
                PassMessage::Heartbeat {
                    claim: Box::new(claim.clone()),
                    fence,
                    addresses,
                }
            };
            fx.push(MemberEffect::Send(to, Box::new(message)));
        }
    }

    /// Records that the decider is alive.
    pub(super) fn record_contact(&mut self, now: Instant) {
        self.last_contact = self.last_contact.max(now);
        self.peers_asked = false;
        self.silence.record_heartbeat(now);
    }

    /// Receives a heartbeat, perhaps of a new decider whose claim hasn't been
    /// read yet.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Instant,
        claim: DeciderClaim,
        fence: u64,
        addresses: &RankAddresses,
        fx: &mut Vec<MemberEffect>,
    ) {
        let known = self.followed_fence();
        let own_group = self.report.as_ref().is_some_and(|r| r.group == claim.group);
        if fence < known || !own_group {
            return;
        }
        if fence > known {
            self.follow(now, claim, fence, fx);
        }
        self.receive_alive(now, fence, addresses);
    }

    /// Records a heartbeat of the followed decider and the addresses in it.
    pub(super) fn receive_alive(&mut self, now: Instant, fence: u64, addresses: &RankAddresses) {
        if fence != self.followed_fence() {
            return;
        }
        self.record_contact(now);
        for (rank, address) in addresses {
            let rank = usize::from(*rank);
            if rank >= self.addresses.len() {
                self.addresses.resize(rank + 1, None);
            }
            self.addresses[rank] = Some(*address);
        }
    }

    /// Asks peers about the decider shortly before it would be suspected.
    pub(super) fn ask_peers(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let ahead = self.settings.limits.query_lead;
        let is_follower = self.decider.is_none() && self.followed_claim.is_some();
        if !is_follower || self.peers_asked || now + ahead < self.suspect_at() {
            return;
        }
        self.peers_asked = true;
        let fence = self.followed_fence();
        let silent_ms = now.saturating_duration_since(self.last_contact).as_millis();
        fx.push(MemberEffect::Log(PassLogEntry::Silent {
            fence,
            silent_ms: u64::try_from(silent_ms).unwrap_or(u64::MAX),
        }));
        for to in self.peers_to_ask() {
            let message = PassMessage::Hear { fence };
            fx.push(MemberEffect::Send(to, Box::new(message)));
        }
    }

    /// Returns the companions to ask: those of the ranks after this one, then
    /// those of the first ranks.
    fn peers_to_ask(&self) -> SmallVec<[SocketAddr; PEERS_ASKED]> {
        let own = self.settings.address;
        let decider = self.followed_claim.as_ref().map(|(claim, _)| claim.address);
        let rank = self.report.as_ref().map_or(0, |r| usize::from(r.rank));
        let (before, after) = self.addresses.split_at(rank.min(self.addresses.len()));
        let in_turn = after
            .iter()
            .chain(before)
            .flatten()
            .map(|address| address.companion);
        in_turn
            .filter(|address| *address != own && Some(*address) != decider)
            .take(PEERS_ASKED)
            .collect()
    }

    /// Answers a peer's question whether the decider is reachable from here. A
    /// peer that follows an older claim is sent the newer one.
    pub(super) fn answer_query(
        &mut self,
        now: Instant,
        from: SocketAddr,
        fence: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        let Some((claim, known)) = &self.followed_claim else {
            return;
        };
        let age = now.saturating_duration_since(self.last_contact);
        let is_in_contact = self.decider.is_some() || age < self.silence.get() / 2;
        if *known < fence || !is_in_contact {
            return;
        }
        let message = if *known > fence {
            PassMessage::Heartbeat {
                claim: Box::new(claim.clone()),
                fence: *known,
                addresses: RankAddresses::new(),
            }
        } else {
            PassMessage::Heard {
                fence,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        };
        fx.push(MemberEffect::Send(from, Box::new(message)));
    }

    /// Receives a peer's answer that the decider is reachable from there.
    pub(super) fn receive_heard(&mut self, now: Instant, fence: u64, age_ms: u32) {
        if fence != self.followed_fence() {
            return;
        }
        let age = Duration::from_millis(u64::from(age_ms));
        let last_contact = now.checked_sub(age).unwrap_or(now);
        if last_contact > self.last_contact {
            self.last_contact = last_contact;
            self.peers_asked = false;
        }
    }

    /// Prevents a stall of this member from counting as a silence of the
    /// decider: what the decider sent meanwhile is still unread.
    pub(super) fn detect_own_stall(&mut self, now: Instant) {
        let stalled = now.saturating_duration_since(self.last_poll) > MIN_OWN_STALL;
        self.last_poll = now;
        if let (true, Some(decider)) = (stalled, &mut self.decider) {
            decider.note_suspension(now);
        } else if stalled {
            let limit = self.silence.get();
            let earliest = (now + MIN_OWN_STALL).checked_sub(limit).unwrap_or(now);
            self.last_contact = self.last_contact.max(earliest);
        }
    }

    /// Steps down if no other companion reaches this decider, so that those
    /// which it reaches don't wait for it.
    pub(super) fn step_down_if_isolated(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let limits = self.settings.limits;
        let alone = self.report.as_ref().is_none_or(|r| r.ranks <= 1);
        let isolated = self.decider.as_ref().is_some_and(|decider| {
            now.saturating_duration_since(decider.last_contact()) >= limits.isolated_after
        });
        if isolated && !alone {
            self.abandoned_fence = Some(self.followed_fence());
            self.unfollow(fx);
            self.next_claim_read = now + limits.isolated_after;
        }
    }
}
