//! Folds the claim records of a group into its current claim.
//!
//! Each group has its own stream on the platform's log. A claim names the claim
//! that it replaces, its base; the fold accepts it if that base is still
//! current. All readers fold the same records in offset order, so all accept the
//! same claim. The offset of an accepted claim is its fencing number.

use egretstage_wire::{Fence, Incarnation, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Returns the name of the log stream that holds a group's claims.
#[must_use]
pub fn claims_stream(group: &ServiceName) -> String {
    format!("claims-{group}")
}

/// A claim as written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimant's instance.
    pub instance: InstanceId,
    /// The claimant's incarnation.
    pub incarnation: Incarnation,
    /// Address at which the claimant accepts links.
    pub address: SocketAddr,
    /// Offset of the claim record that this one replaces; 0 if it replaces none.
    pub base: u64,
    /// For a renewal by the holder: the fencing number, which stays the same.
    pub renews: Option<Fence>,
}

/// The current claim of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The claim's fencing number.
    pub fence: Fence,
    /// Offset of the claim's latest record, which a replacing claim names as its base.
    pub offset: u64,
    /// The holder's instance.
    pub instance: InstanceId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Address at which the holder accepts links.
    pub address: SocketAddr,
}

/// Result of folding a claim record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is now current.
    Accepted,
    /// The claim's base is no longer current.
    Superseded,
    /// A record with this offset or a higher one was folded before.
    Repeated,
}

/// Fold of the claims stream of one group, as far as it has been read.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    current: Option<Claim>,
    /// Base of the current claim, if this reader has not seen the base's record.
    expired_base: Option<u64>,
    /// Offset of the last record read; 0 if none was read.
    last_offset: u64,
}

impl Claims {
    /// Returns the current claim.
    #[must_use]
    pub fn current(&self) -> Option<&Claim> {
        self.current.as_ref()
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.last_offset + 1
    }

    /// Skips a record that isn't a claim.
    pub fn skip(&mut self, offset: u64) {
        self.last_offset = self.last_offset.max(offset);
    }

    /// Folds the record at `offset`; `first` is the oldest offset that the log
    /// still holds.
    pub fn apply(&mut self, offset: u64, first: u64, record: ClaimRecord) -> ClaimVerdict {
        if offset <= self.last_offset {
            return ClaimVerdict::Repeated;
        }
        self.last_offset = offset;
        if !self.accepts(&record, first) {
            return ClaimVerdict::Superseded;
        }
        let known = self.current.as_ref().map_or(0, |claim| claim.offset);
        let unseen = record.base != known || (known == 0 && first > 1);
        self.expired_base = unseen.then_some(record.base);
        self.current = Some(Claim {
            fence: record.renews.unwrap_or(Fence(offset)),
            offset,
            instance: record.instance,
            incarnation: record.incarnation,
            address: record.address,
        });
        ClaimVerdict::Accepted
    }

    /// Returns whether a record replaces the current claim.
    fn accepts(&self, record: &ClaimRecord, first: u64) -> bool {
        let base_expired = record.base != 0 && record.base < first;
        match &self.current {
            None => record.base == 0 || base_expired,
            Some(claim) if record.base == claim.offset => {
                record.renews.is_none()
                    || (record.renews == Some(claim.fence)
                        && record.incarnation == claim.incarnation)
            }
            // The current claim was accepted on an expired base. A record with a
            // later expired base shows that it had already been superseded.
            Some(_) => base_expired && self.expired_base.is_some_and(|base| base < record.base),
        }
    }
}
