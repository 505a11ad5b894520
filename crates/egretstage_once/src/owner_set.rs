//! The owners of one epoch and rendezvous hashing of keys over them.

use crate::KeyDigest;
use crate::key::stable_digest;
use egretstage_wire::{Epoch, InstanceId, Member, OwnersView, ServiceName};

/// A member with the digest of its instance name.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HashedMember {
    digest: u64,
    member: Member,
}

/// The owners of a service's keys in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerSet {
    epoch: Epoch,
    members: Vec<HashedMember>,
}

impl OwnerSet {
    /// Creates the owner set of an epoch; sorts the members by instance.
    #[must_use]
    pub fn new(epoch: Epoch, mut members: Vec<Member>) -> Self {
        members.sort();
        let members = members.into_iter().map(|member| HashedMember {
            digest: stable_digest(member.instance.as_str()),
            member,
        });
        Self {
            epoch,
            members: members.collect(),
        }
    }

    /// Returns the epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the members, sorted by instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|hashed| &hashed.member)
    }

    /// Returns the member that an instance runs as.
    #[must_use]
    pub fn member_of(&self, instance: &InstanceId) -> Option<&Member> {
        self.members().find(|member| member.instance == *instance)
    }

    /// Returns whether an incarnation of a companion is a member.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.members().any(|known| known == member)
    }

    /// Returns the owner of a key; none if the set is empty.
    #[must_use]
    pub fn owner(&self, key: KeyDigest) -> Option<&Member> {
        let score = |hashed: &&HashedMember| mix_bits(key.0 ^ hashed.digest);
        self.members
            .iter()
            .max_by_key(score)
            .map(|hashed| &hashed.member)
    }

    /// Returns the wire message that entries receive.
    #[must_use]
    pub fn to_view(&self, service: ServiceName) -> OwnersView {
        OwnersView {
            service,
            epoch: self.epoch,
            members: self.members().cloned().collect(),
        }
    }
}

impl From<OwnersView> for OwnerSet {
    fn from(view: OwnersView) -> Self {
        Self::new(view.epoch, view.members)
    }
}

/// Mixes the bits of a word with the finalizer of `SplitMix64`.
fn mix_bits(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
