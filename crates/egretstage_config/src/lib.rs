//! Configuration records, their fold over the log, and process settings.
//!
//! Operators publish [`Record`]s on the log's `configuration` stream. Every
//! node folds the same records in the order of their offsets with a
//! [`ConfigurationFold`], so all accept the same changes. Process settings are
//! TOML files, checked by [`settings`].

mod body;
mod fold;
mod record;
pub mod settings;

pub use body::{
    ModelGroupBody, OrganisationBody, PlacementRuleBody, RecordBody, RepeatableRule, ServiceBody,
    token_digest,
};
pub use fold::{Configuration, ConfigurationFold, Verdict};
pub use record::{
    CONFIGURATION_STREAM, Envelope, InvalidRecord, Offset, Record, RecordKind, SCHEMA_VERSION,
};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        CONFIGURATION_STREAM, Configuration, ConfigurationFold, Envelope, InvalidRecord,
        ModelGroupBody, Offset, OrganisationBody, PlacementRuleBody, Record, RecordBody,
        RecordKind, RepeatableRule, ServiceBody, Verdict, token_digest,
    };
}
