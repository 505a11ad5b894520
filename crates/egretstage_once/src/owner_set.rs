//! The owners of one epoch and the rendezvous hash over them.

use crate::KeyDigest;
use crate::key::digest_of;
use egretstage_wire::{Epoch, InstanceId, Member, OwnersView, ServiceName};

/// A member with the digest of its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ranked {
    digest: u64,
    member: Member,
}

/// The owners of a service's keys in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerSet {
    epoch: Epoch,
    members: Vec<Ranked>,
}

impl OwnerSet {
    /// Collects the members of an epoch, in the order of their instances.
    #[must_use]
    pub fn new(epoch: Epoch, mut members: Vec<Member>) -> Self {
        members.sort();
        let members = members.into_iter().map(|member| Ranked {
            digest: digest_of(member.instance.as_str()),
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

    /// Returns the members, in the order of their instances.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|ranked| &ranked.member)
    }

    /// Returns the member of an instance.
    #[must_use]
    pub fn member_of(&self, instance: &InstanceId) -> Option<&Member> {
        self.members().find(|member| member.instance == *instance)
    }

    /// Tells whether a start of a companion is a member.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.members().any(|known| known == member)
    }

    /// Returns the owner of a key.
    #[must_use]
    pub fn owner(&self, key: KeyDigest) -> Option<&Member> {
        let score = |ranked: &&Ranked| mix(key.0 ^ ranked.digest);
        self.members
            .iter()
            .max_by_key(score)
            .map(|ranked| &ranked.member)
    }

    /// Returns the form that is sent to entries.
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

/// Mixes the bits of a word (the finalizer of `SplitMix64`).
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
