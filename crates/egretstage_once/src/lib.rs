//! Runs calls that must not be repeated at most once.
//!
//! Each idempotency key of a plain service has one owner among the service's
//! companions. The set of owners is folded from the service's stream on the
//! log; rendezvous hashing picks the owner of a key from that set.
//! [`KeyOwner`] decides for one companion whether a call may run; it does no
//! I/O and reads no clock.

mod changes;
mod fold;
mod handovers;
mod key;
mod limits;
mod owner;
mod owner_set;
mod record;
mod table;

pub use fold::{KeyHistory, OwnersVerdict, OwnershipFold};
pub use key::{CallFingerprint, FingerprintParts, KeyDigest};
pub use limits::KeyOwnerLimits;
pub use owner::{Admission, KeyOwner, KeyRefusal, KeyedCall};
pub use owner_set::OwnerSet;
pub use record::{Handover, OwnersAction, OwnersRecord, owners_stream};
pub use table::{KeyId, KeyName};

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        Admission, CallFingerprint, KeyDigest, KeyHistory, KeyOwner, KeyOwnerLimits, KeyRefusal,
        KeyedCall, OwnerSet, OwnersAction, OwnersRecord, OwnershipFold,
    };
}
