//! Which copy of its records the store serves.
//!
//! Load pattern: the store is away for a moment and comes back from a copy that
//! is some seconds old. What it had acknowledged since is lost, and its offsets
//! are given out again for other records. Its era rises by one each time, so an
//! offset says something only together with the era in which it was read.

use crate::PlatformError;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the times that the store came back from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// The highest era that calls to a store were answered in.
///
/// ```
/// # use egretstage_platform::{HighestEra, StoreEra};
/// let highest = HighestEra::default();
/// assert_eq!(highest.observe("/a", Some(StoreEra(2))).unwrap(), StoreEra(2));
/// // An answer of before, on its way for long.
/// assert!(highest.observe("/a", Some(StoreEra(1))).is_err());
/// // One that doesn't tell its era.
/// assert_eq!(highest.observe("/a", None).unwrap(), StoreEra(2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HighestEra(Arc<AtomicU64>);

impl HighestEra {
    /// Tells whether any answer told an era above the first.
    #[must_use]
    pub fn is_above_first(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    /// Notes the era of an answer, and returns it; an answer without one is
    /// taken as of the last era.
    ///
    /// # Errors
    ///
    /// Returns an error for an answer of an earlier era than one that was seen:
    /// what it tells no longer holds.
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
