//! Configuration records, their fold over the log, and process settings.
//!
//! Operators publish [`Record`]s on the log's `configuration` stream. Every
//! node folds the same records in offset order with a [`ConfigurationFold`],
//! so all nodes accept the same changes. A [`StateDelta`] transfers the state
//! of a fold to a peer that is behind, or to the log as a checkpoint.
//! [`settings`] reads and checks process settings, which are TOML files.

mod balance_settings;
mod body;
mod chunks;
mod configuration;
mod fold;
mod kind;
mod rank_settings;
mod record;
mod schema;
pub mod settings;
pub mod suggest;

pub use balance_settings::{BalancePreset, BalanceSettings, InvalidBalanceSettings};
pub use body::{
    ModelGroupBody, OrganisationBody, PlacementRuleBody, RecordBody, RepeatableRule, ServiceBody,
    token_digest,
};
pub use chunks::{ChunkJoiner, MAX_CHUNK_BYTES};
pub use configuration::Configuration;
pub use egretstage_wire::{Envelope, Offset};
pub use fold::{ConfigurationFold, DEDUP_WINDOW_OFFSETS, MergeOutcome, StateDelta, Verdict};
pub use kind::{RecordKind, UnknownKind};
pub use rank_settings::{InvalidRankSettings, RankSettings};
pub use record::{
    BodyReader, CONFIGURATION_STREAM, InvalidReason, InvalidRecord, Record, read_body,
};
pub use schema::write_newest_schema;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        CONFIGURATION_STREAM, Configuration, ConfigurationFold, Envelope, InvalidRecord,
        ModelGroupBody, Offset, OrganisationBody, PlacementRuleBody, Record, RecordBody,
        RecordKind, RepeatableRule, ServiceBody, StateDelta, Verdict, token_digest,
    };
}
