//! When a companion claims its group.
//!
//! A claim stands until another companion of the group suspects its holder.
//! Ranks wait for different times before they claim, so that usually one does;
//! the fold of the log decides if several do.

use crate::{Claim, ClaimReason, Claims};
use egretstage_wire::{Incarnation, InstanceId, RankIndex};
use std::time::{Duration, Instant};

/// A gap in this process's own time after which silence of others proves nothing.
const OWN_PAUSE: Duration = Duration::from_secs(1);

/// Pause before an append without a known effect is repeated.
const APPEND_RETRY: Duration = Duration::from_millis(500);

/// Times after which a companion claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Silence of the holder after which it is suspected.
    pub suspect_after: Duration,
    /// Additional wait for each rank before this one.
    pub stagger: Duration,
    /// Age at which the holder appends its claim again, well before the log
    /// drops it.
    pub renew_after: Duration,
}

/// Decides when a companion claims its group.
#[derive(Debug)]
pub struct Claimant {
    limits: ClaimLimits,
    rank: RankIndex,
    instance: InstanceId,
    incarnation: Incarnation,
    heard: Instant,
    last_look: Instant,
    renewed: Instant,
    retry_at: Option<Instant>,
}

impl Claimant {
    /// Starts without a claim.
    #[must_use]
    pub fn new(
        now: Instant,
        limits: ClaimLimits,
        rank: RankIndex,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            limits,
            rank,
            instance,
            incarnation,
            heard: now,
            last_look: now,
            renewed: now,
            retry_at: None,
        }
    }

    /// Takes note of a sign of life of the holder.
    pub fn hear(&mut self, now: Instant) {
        self.heard = now;
    }

    /// Takes note of a newly accepted claim.
    pub fn accepted(&mut self, now: Instant) {
        self.heard = now;
        self.renewed = now;
        self.retry_at = None;
    }

    /// Takes note of an append that has begun.
    pub fn appended(&mut self, now: Instant) {
        self.retry_at = Some(now + APPEND_RETRY);
    }

    /// Takes note of the time; a pause of this process restarts the suspicion.
    pub fn look(&mut self, now: Instant) {
        if now - self.last_look > OWN_PAUSE {
            self.heard = now;
        }
        self.last_look = now;
    }

    /// Tells whether the holder has been silent for longer than usual.
    #[must_use]
    pub fn is_uneasy(&self, now: Instant) -> bool {
        now - self.heard > self.limits.suspect_after / 2
    }

    /// Returns why to claim now, if there is a reason.
    #[must_use]
    pub fn reason(&self, now: Instant, claims: &Claims) -> Option<ClaimReason> {
        if self.retry_at.is_some_and(|at| at > now) {
            return None;
        }
        let stagger = self.limits.stagger * u32::from(self.rank.0);
        let silent_for = now - self.heard;
        match claims.current() {
            None => (silent_for >= stagger).then_some(ClaimReason::Unclaimed),
            Some(claim) if claim.incarnation == self.incarnation => {
                (now - self.renewed >= self.limits.renew_after).then_some(ClaimReason::Renewal)
            }
            Some(claim) if self.is_own_predecessor(claim) => Some(ClaimReason::OwnPredecessor),
            Some(_) => {
                let suspect = silent_for >= self.limits.suspect_after + stagger;
                suspect.then_some(ClaimReason::HolderSilent)
            }
        }
    }

    fn is_own_predecessor(&self, claim: &Claim) -> bool {
        claim.instance == self.instance
    }
}
