//! Decides when a companion claims its group.
//!
//! A claim stays current until another companion of the group suspects that its
//! holder has failed. Each rank waits for a different time before it claims, so
//! that usually only one does; if several do, the fold of the log decides.

use crate::{Claim, ClaimReason, Claims};
use egretstage_wire::{Incarnation, InstanceId, RankIndex};
use std::time::{Duration, Instant};

/// Time between two checks above which this process counts as paused. Silence of
/// the holder during a pause doesn't show that the holder has failed.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Delay before an append whose effect is unknown is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeouts that decide when a companion claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Silence of the holder after which it is suspected to have failed.
    pub suspect_after: Duration,
    /// Additional time that each rank waits compared with the rank before it, so
    /// that usually only one rank claims.
    pub stagger: Duration,
    /// Age of its claim at which the holder renews it; well below the log's
    /// retention time.
    pub renew_after: Duration,
}

/// Decides when a companion claims its group.
#[derive(Debug)]
pub struct Claimant {
    limits: ClaimLimits,
    rank: RankIndex,
    instance: InstanceId,
    incarnation: Incarnation,
    holder_last_seen: Instant,
    last_check: Instant,
    /// When the current claim was accepted.
    accepted_at: Instant,
    /// When an append may be retried.
    retry_at: Option<Instant>,
}

impl Claimant {
    /// Creates a claimant that has seen no claim yet.
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
            holder_last_seen: now,
            last_check: now,
            accepted_at: now,
            retry_at: None,
        }
    }

    /// Records that the holder has sent something.
    pub fn record_holder_activity(&mut self, now: Instant) {
        self.holder_last_seen = now;
    }

    /// Records a newly accepted claim.
    pub fn record_accepted_claim(&mut self, now: Instant) {
        self.holder_last_seen = now;
        self.accepted_at = now;
        self.retry_at = None;
    }

    /// Records the start of an append.
    pub fn record_append(&mut self, now: Instant) {
        self.retry_at = Some(now + APPEND_RETRY_DELAY);
    }

    /// Restarts the suspicion timeout if this process was paused since the last call.
    pub fn detect_process_pause(&mut self, now: Instant) {
        if now - self.last_check > PROCESS_PAUSE_THRESHOLD {
            self.holder_last_seen = now;
        }
        self.last_check = now;
    }

    /// Returns whether the holder has been silent for more than half of the
    /// suspicion timeout.
    #[must_use]
    pub fn is_holder_overdue(&self, now: Instant) -> bool {
        now - self.holder_last_seen > self.limits.suspect_after / 2
    }

    /// Returns the reason to claim now, if there is one.
    #[must_use]
    pub fn claim_reason(&self, now: Instant, claims: &Claims) -> Option<ClaimReason> {
        if self.retry_at.is_some_and(|at| at > now) {
            return None;
        }
        let stagger = self.limits.stagger * u32::from(self.rank.0);
        let silent_for = now - self.holder_last_seen;
        match claims.current() {
            None => (silent_for >= stagger).then_some(ClaimReason::Unclaimed),
            Some(claim) if claim.incarnation == self.incarnation => {
                (now - self.accepted_at >= self.limits.renew_after).then_some(ClaimReason::Renewal)
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
