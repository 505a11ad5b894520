//! Reads, writes and follows the claims to decide.

use super::{MemberEffect, PassLogEntry, PassMember};
use crate::{DeciderClaim, MapDecider};
use std::time::{Duration, Instant};

impl PassMember {
    /// Follows a newer claim. Otherwise claims to decide if the decider is
    /// suspected or is an earlier start of this companion.
    pub(super) fn claim_read(
        &mut self,
        now: Instant,
        claim: Option<(DeciderClaim, u64)>,
        (end, least_fence): (u64, u64),
        fx: &mut Vec<MemberEffect>,
    ) {
        self.reading_claim = false;
        self.next_claim_read = now + self.settings.limits.claim_read_interval;
        let newest = claim.as_ref().map_or(0, |(_, fence)| *fence);
        let of_earlier_start = claim
            .as_ref()
            .is_some_and(|(c, _)| self.is_from_earlier_start(c));
        if let Some((claim, fence)) = claim
            && self.is_newer(fence)
            && self.abandoned_fence != Some(fence)
            && !of_earlier_start
        {
            return self.follow(now, claim, fence, fx);
        }
        if self.decider.is_some() {
            self.next_claim_read = now + self.settings.limits.claim_check_after;
            return;
        }
        if !self.suspects_decider(now) && !of_earlier_start {
            return;
        }
        let Some(report) = self.report.as_ref().filter(|_| self.shape.is_some()) else {
            return;
        };
        let group = report.group.clone();
        fx.push(MemberEffect::Log(PassLogEntry::Claim {
            group: group.clone(),
        }));
        self.reading_claim = true;
        let claim = DeciderClaim {
            group,
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
        };
        let fence = least_fence.max(newest + 1).max(self.highest_fence + 1);
        fx.push(MemberEffect::WriteClaim(Box::new(claim), fence, end));
    }

    /// Returns whether a claim is from an earlier start of this companion. There
    /// is no need to wait for that decider.
    fn is_from_earlier_start(&self, claim: &DeciderClaim) -> bool {
        claim.address == self.settings.address && claim.incarnation != self.settings.incarnation
    }

    /// Returns whether a claim is newer than the followed one and not older
    /// than any known one. A store that was restored from a copy returns claims
    /// of deciders that were replaced.
    fn is_newer(&self, fence: u64) -> bool {
        match &self.followed_claim {
            Some((_, known)) => fence > *known,
            None => fence >= self.highest_fence,
        }
    }

    /// Follows a claim, and starts to decide if it is this member's own.
    pub(super) fn follow(
        &mut self,
        now: Instant,
        claim: DeciderClaim,
        fence: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        self.step_down(fx);
        self.highest_fence = self.highest_fence.max(fence);
        fx.push(MemberEffect::Log(PassLogEntry::Decider {
            instance: claim.instance.clone(),
            fence,
        }));
        let is_own = claim.incarnation == self.settings.incarnation;
        self.last_contact = now + self.settings.limits.new_decider_grace;
        self.peers_asked = false;
        self.silence.reset();
        let before = self.followed_claim.replace((claim, fence));
        if let (true, Some(report), Some(shape)) = (is_own, &self.report, self.shape) {
            let instance = self.settings.instance.clone();
            let limits = self.settings.limits.decider;
            let addresses = &self.addresses;
            let mut decider =
                MapDecider::new(now, fence, instance, report, addresses, shape, limits);
            if let (Some((claim, fence)), Some(map)) = (before, self.maps.newest()) {
                decider.set_predecessor(claim.address, fence, map.clone());
            }
            self.decider = Some(decider);
            self.next_heartbeat = now;
        }
        self.send_changed_state(now, fx);
    }

    pub(super) fn step_down(&mut self, fx: &mut Vec<MemberEffect>) {
        if let Some(decider) = self.decider.take() {
            let fence = decider.fence();
            fx.push(MemberEffect::Log(PassLogEntry::StandDown { fence }));
        }
    }

    pub(super) fn unfollow(&mut self, fx: &mut Vec<MemberEffect>) {
        self.step_down(fx);
        self.followed_claim = None;
    }

    /// Returns when the decider is suspected if nothing more is received from
    /// it.
    pub(super) fn suspect_at(&self) -> Instant {
        let rank = self.report.as_ref().map_or(0, |report| report.rank);
        let limits = &self.settings.limits;
        let silence = if self.followed_claim.is_some() {
            self.silence.get()
        } else {
            Duration::ZERO
        };
        let ranks = self.report.as_ref().map_or(1, |report| report.ranks.max(1));
        let stagger = limits.stagger.min(limits.max_stagger / u32::from(ranks));
        self.last_contact + silence + stagger * u32::from(rank)
    }

    pub(super) fn suspects_decider(&self, now: Instant) -> bool {
        now >= self.suspect_at()
    }

    /// Returns when to read the claims, or none while no read is needed.
    ///
    /// A follower reads them once it suspects the decider, and a decider once
    /// the reports of some ranks have been missing for `claim_check_after`.
    pub(super) fn claim_read_due(&self) -> Option<Instant> {
        if let (Some(decider), false) = (&self.decider, self.reading_claim) {
            let claim_check_after = self.settings.limits.claim_check_after;
            return Some((decider.last_complete() + claim_check_after).max(self.next_claim_read));
        }
        let skips_read = self.decider.is_some() || self.reading_claim || self.report.is_none();
        let suspect_at = if self.followed_claim.is_some() {
            self.suspect_at()
        } else {
            self.next_claim_read
        };
        (!skips_read).then(|| self.next_claim_read.max(suspect_at))
    }
}
