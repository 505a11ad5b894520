//! Heartbeats of the decider, and what is believed of it in silence.
//!
//! Load pattern: with 64 ranks, heartbeats that hold all addresses fill the
//! decider's link; they come late, another companion takes over and does the
//! same. A heartbeat is a few bytes, and names the addresses of two ranks in
//! turn. A companion that hears nothing asks others before it takes over, and
//! takes its own stalls for what they are.

use super::{MemberEffect, PassLogEntry, PassMember};
use crate::{DeciderClaim, PassMessage, RankAddresses};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Companions that are asked whether they hear the decider.
const ASKED: usize = 3;

/// Heartbeats that are sent at one moment: with more they and what goes out
/// beside them overflow the queue of a narrow link.
const BEATS_AT_ONCE: usize = 32;

/// Time without any wake-up after which a member has stood still itself: its
/// timers run each fifty milliseconds.
const OWN_STALL: Duration = Duration::from_millis(300);

impl PassMember {
    /// Sends the heartbeats of the own decider, to some ranks at a time.
    pub(super) fn beat(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let ranks = self.report.as_ref().map_or(1, |r| usize::from(r.ranks));
        let slices = ranks.div_ceil(BEATS_AT_ONCE).max(1);
        self.heard = now;
        self.beats = (self.beats + 1) % slices;
        let pause = self.settings.limits.heartbeat_interval / u32::try_from(slices).unwrap_or(1);
        self.heartbeat_at = now + pause;
        let (Some(decider), Some((claim, fence))) = (&mut self.decider, &self.holder) else {
            return;
        };
        let own = self.settings.address;
        let addresses = decider.next_addresses();
        for (to, follows) in decider
            .companions(self.beats, slices)
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

    /// Notes that the decider lives.
    pub(super) fn hear(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
        self.asked = false;
        self.silence.record_heartbeat(now);
    }

    /// Hears of the decider, perhaps of a new one before its claim is read.
    pub(super) fn heartbeat(
        &mut self,
        now: Instant,
        claim: DeciderClaim,
        fence: u64,
        addresses: &RankAddresses,
        fx: &mut Vec<MemberEffect>,
    ) {
        let known = self.fence();
        let own_group = self.report.as_ref().is_some_and(|r| r.group == claim.group);
        if fence < known || !own_group {
            return;
        }
        if fence > known {
            self.follow(now, claim, fence, fx);
        }
        self.alive(now, fence, addresses);
    }

    /// Hears the decider that is followed.
    pub(super) fn alive(&mut self, now: Instant, fence: u64, addresses: &RankAddresses) {
        if fence != self.fence() {
            return;
        }
        self.hear(now);
        for (rank, address) in addresses {
            let rank = usize::from(*rank);
            if rank >= self.addresses.len() {
                self.addresses.resize(rank + 1, None);
            }
            self.addresses[rank] = Some(*address);
        }
    }

    /// Asks others, shortly before the decider would be suspected.
    pub(super) fn ask_others(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let ahead = self.settings.limits.query_lead;
        let follows = self.decider.is_none() && self.holder.is_some();
        if !follows || self.asked || now + ahead < self.suspect_at() {
            return;
        }
        self.asked = true;
        let fence = self.fence();
        let silent_ms = now.saturating_duration_since(self.heard).as_millis();
        fx.push(MemberEffect::Log(PassLogEntry::Silent {
            fence,
            silent_ms: u64::try_from(silent_ms).unwrap_or(u64::MAX),
        }));
        for to in self.askable() {
            let message = PassMessage::Hear { fence };
            fx.push(MemberEffect::Send(to, Box::new(message)));
        }
    }

    /// Returns the companions to ask: the next ones by their ranks.
    fn askable(&self) -> SmallVec<[SocketAddr; ASKED]> {
        let own = self.settings.address;
        let holder = self.holder.as_ref().map(|(claim, _)| claim.address);
        let rank = self.report.as_ref().map_or(0, |r| usize::from(r.rank));
        let (before, after) = self.addresses.split_at(rank.min(self.addresses.len()));
        let in_turn = after.iter().chain(before).flatten().map(|s| s.companion);
        in_turn
            .filter(|address| *address != own && Some(*address) != holder)
            .take(ASKED)
            .collect()
    }

    /// Answers whether the decider is heard here; one who lags behind is told
    /// who decides now.
    pub(super) fn asked_for(
        &mut self,
        now: Instant,
        from: SocketAddr,
        fence: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        let Some((claim, known)) = &self.holder else {
            return;
        };
        let age = now.saturating_duration_since(self.heard);
        let hears = self.decider.is_some() || age < self.silence.get() / 2;
        if *known < fence || !hears {
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

    /// Hears that another companion hears the decider.
    pub(super) fn heard_elsewhere(&mut self, now: Instant, fence: u64, age_ms: u32) {
        if fence != self.fence() {
            return;
        }
        let age = Duration::from_millis(u64::from(age_ms));
        let heard = now.checked_sub(age).unwrap_or(now);
        if heard > self.heard {
            self.heard = heard;
            self.asked = false;
        }
    }

    /// Doesn't take the own stall for a silence of the decider: what it sent
    /// meanwhile is still to be read.
    pub(super) fn notice_own_stall(&mut self, now: Instant) {
        let stood = now.saturating_duration_since(self.polled) > OWN_STALL;
        self.polled = now;
        if let (true, Some(decider)) = (stood, &mut self.decider) {
            decider.note_suspension(now);
        } else if stood {
            let limit = self.silence.get();
            let earliest = (now + OWN_STALL).checked_sub(limit).unwrap_or(now);
            self.heard = self.heard.max(earliest);
        }
    }

    /// Ends the own decider when no other companion reaches it: those that it
    /// reaches must not wait for it.
    pub(super) fn stand_down_if_deaf(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let limits = self.settings.limits;
        let alone = self.report.as_ref().is_none_or(|r| r.ranks <= 1);
        let deaf = self.decider.as_ref().is_some_and(|decider| {
            now.saturating_duration_since(decider.last_contact()) >= limits.isolated_after
        });
        if deaf && !alone {
            self.retired = Some(self.fence());
            self.forget_holder(fx);
            self.claim_at = now + limits.isolated_after;
        }
    }
}
