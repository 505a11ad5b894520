//! The fold of configuration records into the configuration in force.

use crate::{Envelope, Offset, Record, RecordBody, RecordKind};
use crate::{ModelGroupBody, OrganisationBody, PlacementRuleBody, ServiceBody};
use compact_str::CompactString;
use egretstage_wire::{ModelName, OrganisationName, ServiceName};
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the fold made of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The record is in force.
    Accepted,
    /// Its identity was seen before; the first one counts.
    Repeated,
    /// Its base isn't the accepted revision; another change came first.
    Conflict {
        /// Offset of the accepted record.
        current: Offset,
    },
    /// Its offset isn't above the last one.
    OutOfOrder,
}

/// One object of the configuration.
#[derive(Clone, Debug)]
struct Object {
    revision: Offset,
    body: Option<RecordBody>,
}

/// The configuration that a node has read.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    organisations_by_token: HashMap<CompactString, OrganisationName>,
    organisations: HashMap<OrganisationName, OrganisationBody>,
    services: HashMap<ServiceName, ServiceBody>,
    model_groups: HashMap<ServiceName, ModelGroupBody>,
    groups_by_model: HashMap<ModelName, ServiceName>,
    placement_rules: BTreeMap<CompactString, PlacementRuleBody>,
}

impl Configuration {
    /// Returns the organisation that holds a token, by the token's digest.
    #[must_use]
    pub fn organisation_of_token(&self, digest: &str) -> Option<&OrganisationName> {
        self.organisations_by_token.get(digest)
    }

    /// Returns an organisation's settings.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationName) -> Option<&OrganisationBody> {
        self.organisations.get(name)
    }

    /// Returns a plain service's settings.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceBody> {
        self.services.get(name)
    }

    /// Returns a model group's settings.
    #[must_use]
    pub fn model_group(&self, name: &ServiceName) -> Option<&ModelGroupBody> {
        self.model_groups.get(name)
    }

    /// Returns the group that serves a model.
    #[must_use]
    pub fn group_of_model(&self, model: &ModelName) -> Option<&ServiceName> {
        self.groups_by_model.get(model)
    }

    /// Returns the first rule, by name, that covers an organisation's work.
    #[must_use]
    pub fn placement_rule(
        &self,
        organisation: &OrganisationName,
        service: &ServiceName,
    ) -> Option<(&CompactString, &PlacementRuleBody)> {
        let matches = |own: bool| {
            self.placement_rules.iter().find(move |(_, rule)| {
                rule.service == *service
                    && match &rule.organisation {
                        Some(name) => own && name == organisation,
                        None => !own,
                    }
            })
        };
        matches(true).or_else(|| matches(false))
    }

    fn rebuild(objects: &BTreeMap<(RecordKind, CompactString), Object>) -> Self {
        let mut cfg = Self::default();
        for object in objects.values() {
            match object.body.clone() {
                Some(RecordBody::Organisation(name, body)) => {
                    for digest in &body.token_digests {
                        cfg.organisations_by_token
                            .insert(digest.clone(), name.clone());
                    }
                    cfg.organisations.insert(name, body);
                }
                Some(RecordBody::Service(name, body)) => {
                    cfg.services.insert(name, body);
                }
                Some(RecordBody::ModelGroup(name, body)) => {
                    cfg.groups_by_model.insert(body.model.clone(), name.clone());
                    cfg.model_groups.insert(name, body);
                }
                Some(RecordBody::PlacementRule(name, body)) => {
                    cfg.placement_rules.insert(name, body);
                }
                None => {}
            }
        }
        cfg
    }
}

/// Folds records in the order of their offsets.
///
/// Acceptance is a compare-and-set on the object's revision and reads only the
/// envelope. An accepted body that this release can't read takes the object
/// out of use; the fold never falls back to an older body.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFold {
    objects: BTreeMap<(RecordKind, CompactString), Object>,
    seen: HashSet<CompactString>,
    offset: Offset,
    configuration: Configuration,
}

impl ConfigurationFold {
    /// Returns the offset of the last record folded.
    #[must_use]
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the accepted revision of an object, 0 for none.
    #[must_use]
    pub fn revision(&self, kind: RecordKind, name: &str) -> Offset {
        let key = (kind, CompactString::from(name));
        self.objects.get(&key).map_or(Offset(0), |o| o.revision)
    }

    /// Passes over an offset that holds no configuration record.
    pub fn skip(&mut self, offset: Offset) {
        self.offset = self.offset.max(offset);
    }

    /// Folds the record at an offset.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset <= self.offset {
            return Verdict::OutOfOrder;
        }
        self.offset = offset;
        let Envelope { id, kind, name, .. } = &record.envelope;
        if !self.seen.insert(id.clone()) {
            return Verdict::Repeated;
        }
        let current = self.revision(*kind, name);
        if record.envelope.base != current {
            return Verdict::Conflict { current };
        }
        let body = (!record.envelope.removed)
            .then(|| RecordBody::try_from(record))
            .and_then(Result::ok);
        let object = Object {
            revision: offset,
            body,
        };
        self.objects.insert((*kind, name.clone()), object);
        self.configuration = Configuration::rebuild(&self.objects);
        Verdict::Accepted
    }
}
