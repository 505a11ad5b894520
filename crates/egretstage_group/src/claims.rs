//! The fold of claim records into the claim that holds.
//!
//! Each group has a stream of its own on the platform's log. A claim names the
//! claim that it replaces, its base; the fold accepts it if that base still
//! holds. All readers fold the same records in the order of their offsets, so
//! all accept the same claim, and its offset is its fencing number.

use egretstage_wire::{Fence, Incarnation, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Returns the stream that holds a group's claims.
#[must_use]
pub fn claims_stream(group: &ServiceName) -> String {
    format!("claims-{group}")
}

/// A claim on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimant.
    pub instance: InstanceId,
    /// The claimant's incarnation.
    pub incarnation: Incarnation,
    /// Address of the claimant's links.
    pub address: SocketAddr,
    /// Offset of the claim record that this one replaces; 0 for none.
    pub base: u64,
    /// For a renewal by the holder, the fencing number that it keeps.
    pub renews: Option<Fence>,
}

/// The claim that holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Its fencing number.
    pub fence: Fence,
    /// Offset of its latest record: the base of a claim that replaces it.
    pub offset: u64,
    /// The holder.
    pub instance: InstanceId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Address of the holder's links.
    pub address: SocketAddr,
}

/// What the fold made of a claim record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimVerdict {
    /// It holds.
    Accepted,
    /// Its base no longer holds.
    Superseded,
    /// Its offset was folded before.
    Repeated,
}

/// The claims of one group, as read so far.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    current: Option<Claim>,
    /// Base of the current claim, if this reader has not seen its record.
    expired_base: Option<u64>,
    last_offset: u64,
}

impl Claims {
    /// Returns the claim that holds.
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

    /// Folds the record at an offset; `first` is the oldest offset held.
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

    fn accepts(&self, record: &ClaimRecord, first: u64) -> bool {
        let base_expired = record.base != 0 && record.base < first;
        match &self.current {
            None => record.base == 0 || base_expired,
            Some(claim) if record.base == claim.offset => {
                record.renews.is_none()
                    || (record.renews == Some(claim.fence)
                        && record.incarnation == claim.incarnation)
            }
            // A later base that has expired too shows that the current claim,
            // accepted on an expired base, was already superseded.
            Some(_) => base_expired && self.expired_base.is_some_and(|base| base < record.base),
        }
    }
}
