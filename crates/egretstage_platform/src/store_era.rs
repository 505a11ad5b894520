//! Eras of the store, which tell apart offsets from before and after a restore.
//!
//! Load pattern: the store is down for a moment and is restored from a copy that
//! is some seconds old. Records that it acknowledged after the copy are lost, and
//! their offsets are assigned again to other records. The era rises by one with
//! each restore, so an offset is valid only within the era in which it was read.

use crate::PlatformError;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of times that the store was restored from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// The highest era that a store has reported in its answers.
///
/// ```
/// # use egretstage_platform::{HighestEra, StoreEra};
/// let highest = HighestEra::default();
/// assert_eq!(highest.observe("/a", Some(StoreEra(2))).unwrap(), StoreEra(2));
/// // A delayed answer from an earlier era.
/// assert!(highest.observe("/a", Some(StoreEra(1))).is_err());
/// // An answer that doesn't report an era.
/// assert_eq!(highest.observe("/a", None).unwrap(), StoreEra(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HighestEra(Arc<AtomicU64>);

impl HighestEra {
    /// Returns whether any answer reported an era above the first.
    #[must_use]
    pub fn is_above_first(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    /// Records the era of an answer, and returns it; an answer without one is
    /// assumed to be of the highest era.
    ///
    /// # Errors
    ///
    /// Returns an error when the era is lower than the highest one: the answer
    /// is out of date.
    pub fn observe(&self, url: &str, era: Option<StoreEra>) -> Result<StoreEra, PlatformError> {
        let Some(StoreEra(era)) = era else {
            return Ok(StoreEra(self.0.load(Ordering::Relaxed)));
        };
        let highest = self.0.fetch_max(era, Ordering::Relaxed);
        if era < highest {
            return Err(PlatformError::StaleEra {
                url: url.to_owned(),
                era,
                highest,
            });
        }
        Ok(StoreEra(era))
    }
}
