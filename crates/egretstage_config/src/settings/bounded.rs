//! Numbers with an allowed range.

use serde::{Deserialize, Deserializer, de};

/// A number between two inclusive bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "i64")]
pub struct Bounded<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Bounded<MIN, MAX> {
    /// Returns the number.
    #[must_use]
    pub fn get(self) -> u64 {
        self.0
    }
}

/// A number outside its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{value} is not allowed, allowed are {min} to {max}")]
pub struct OutOfRange {
    value: i64,
    min: u64,
    max: u64,
}

impl<const MIN: u64, const MAX: u64> TryFrom<i64> for Bounded<MIN, MAX> {
    type Error = OutOfRange;

    fn try_from(value: i64) -> Result<Self, OutOfRange> {
        let out_of_range = OutOfRange {
            value,
            min: MIN,
            max: MAX,
        };
        let number = u64::try_from(value).map_err(|_| out_of_range)?;
        if (MIN..=MAX).contains(&number) {
            Ok(Self(number))
        } else {
            Err(out_of_range)
        }
    }
}

/// Deserializes a plain number and checks it against inclusive bounds.
pub(super) fn bounded<'de, D, T, const MIN: u64, const MAX: u64>(
    deserializer: D,
) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
    T::Error: std::fmt::Display,
{
    let number = Bounded::<MIN, MAX>::deserialize(deserializer)?;
    T::try_from(number.get()).map_err(de::Error::custom)
}
