//! Rates of calls that upstreams take.

use serde::{Deserialize, Serialize};

/// Number of units of a [`CallRate`] that make one call per second.
const UNITS_PER_CALL: f64 = 1000.0;

/// Why a number is no rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidCallRate(f64);

impl std::fmt::Display for InvalidCallRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is no rate of calls", self.0)
    }
}

impl std::error::Error for InvalidCallRate {}

/// Rate of calls, in thousandths of a call per second. A higher one than it can hold is
/// reduced to the highest one.
///
/// ```
/// # use egretstage_dispatch::CallRate;
/// let rate = CallRate::try_from(2.5).expect("a rate");
/// assert_eq!(rate.per_second(), 2.5);
/// assert!(CallRate::try_from(f64::NAN).is_err());
/// assert!(CallRate::try_from(-1.0).is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallRate(u32);

impl TryFrom<f64> for CallRate {
    type Error = InvalidCallRate;

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    fn try_from(per_second: f64) -> Result<Self, InvalidCallRate> {
        if per_second.is_nan() || per_second < 0.0 {
            return Err(InvalidCallRate(per_second));
        }
        Ok(Self((per_second * UNITS_PER_CALL) as u32))
    }
}

impl CallRate {
    /// Returns the number of calls per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / UNITS_PER_CALL
    }
}
