//! The kinds of configuration objects that this release knows.

use egretstage_wire::KindName;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Kind of the object that a record describes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordKind {
    /// A customer with its tokens and shares.
    Organisation,
    /// A plain service.
    Service,
    /// A group of ranks that serves one model.
    ModelGroup,
    /// The zones in which an organisation's work may run.
    PlacementRule,
}

impl RecordKind {
    /// Returns the newest schema version of this kind that this release reads.
    #[must_use]
    pub fn newest_schema(self) -> u16 {
        match self {
            Self::Service => 2,
            Self::Organisation | Self::ModelGroup | Self::PlacementRule => 1,
        }
    }

    /// Returns the kind's name as written in an envelope.
    ///
    /// # Panics
    ///
    /// Never; the names of the known kinds are valid.
    #[must_use]
    pub fn name(self) -> KindName {
        let text: &'static str = self.into();
        KindName::try_from(text).expect("a known kind has a valid name")
    }

    /// Returns the names of all known kinds.
    pub fn names() -> impl Iterator<Item = &'static str> {
        Self::iter().map(Into::into)
    }
}

/// A kind that this release doesn't know.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("kind {0} is not known to this release")]
pub struct UnknownKind(pub KindName);

impl TryFrom<&KindName> for RecordKind {
    type Error = UnknownKind;

    fn try_from(name: &KindName) -> Result<Self, UnknownKind> {
        name.as_str().parse().map_err(|_| UnknownKind(name.clone()))
    }
}
