//! The active configuration, indexed for requests and placement.

use crate::{
    InvalidRecord, ModelGroupBody, OrganisationBody, PlacementRuleBody, RecordBody, RecordKind,
    ServiceBody,
};
use compact_str::CompactString;
use egretstage_wire::{KindName, ModelName, ObjectName, OrganisationName, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The configuration that a node has read.
///
/// Bodies are reference-counted, so a clone copies only the indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    organisations_by_token: HashMap<CompactString, BTreeSet<OrganisationName>>,
    organisations: HashMap<OrganisationName, Arc<OrganisationBody>>,
    services: HashMap<ServiceName, Arc<ServiceBody>>,
    model_groups: HashMap<ServiceName, Arc<ModelGroupBody>>,
    groups_by_model: HashMap<ModelName, BTreeSet<ServiceName>>,
    rules: HashMap<CompactString, Arc<PlacementRuleBody>>,
    rules_by_service: HashMap<ServiceName, BTreeMap<CompactString, Arc<PlacementRuleBody>>>,
    unreadable: BTreeMap<(KindName, ObjectName), Arc<InvalidRecord>>,
}

impl Configuration {
    /// Returns the organisation that holds a token, by the token's digest.
    #[must_use]
    pub fn organisation_of_token(&self, digest: &str) -> Option<&OrganisationName> {
        self.organisations_by_token.get(digest)?.first()
    }

    /// Returns an organisation's settings.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationName) -> Option<&OrganisationBody> {
        self.organisations.get(name).map(AsRef::as_ref)
    }

    /// Returns a plain service's settings.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceBody> {
        self.services.get(name).map(AsRef::as_ref)
    }

    /// Returns a model group's settings.
    #[must_use]
    pub fn model_group(&self, name: &ServiceName) -> Option<&ModelGroupBody> {
        self.model_groups.get(name).map(AsRef::as_ref)
    }

    /// Returns the group that serves a model.
    #[must_use]
    pub fn group_of_model(&self, model: &ModelName) -> Option<&ServiceName> {
        self.groups_by_model.get(model)?.first()
    }

    /// Returns the first rule, by name, that covers an organisation's work.
    ///
    /// A rule for the organisation takes precedence over a rule for all.
    #[must_use]
    pub fn placement_rule(
        &self,
        organisation: &OrganisationName,
        service: &ServiceName,
    ) -> Option<(&CompactString, &PlacementRuleBody)> {
        let rules = self.rules_by_service.get(service)?;
        let first_rule = |covered: Option<&OrganisationName>| {
            rules
                .iter()
                .find(move |(_, rule)| rule.organisation.as_ref() == covered)
        };
        let (name, rule) = first_rule(Some(organisation)).or_else(|| first_rule(None))?;
        Some((name, rule.as_ref()))
    }

    /// Returns the accepted objects that this release can't read.
    pub fn unreadable(&self) -> impl Iterator<Item = &InvalidRecord> {
        self.unreadable.values().map(AsRef::as_ref)
    }

    /// Returns why an object can't be read.
    #[must_use]
    pub fn unreadable_object(&self, kind: &KindName, name: &ObjectName) -> Option<&InvalidRecord> {
        let key = (kind.clone(), name.clone());
        self.unreadable.get(&key).map(AsRef::as_ref)
    }

    /// Returns why an object of a kind can't be read; the first such object of
    /// the kind if no name is given.
    #[must_use]
    pub fn first_unreadable(&self, kind: RecordKind, name: Option<&str>) -> Option<&InvalidRecord> {
        let kind = kind.name();
        let matches = |object: &InvalidRecord| {
            object.kind == kind && name.is_none_or(|name| object.name.as_str() == name)
        };
        self.unreadable().find(|object| matches(object))
    }

    /// Adds an active object, after [`Self::remove`] has removed its
    /// predecessor.
    pub(crate) fn install(&mut self, body: RecordBody) {
        match body {
            RecordBody::Organisation(name, body) => self.install_organisation(name, body),
            RecordBody::Service(name, body) => {
                self.services.insert(name, Arc::new(body));
            }
            RecordBody::ModelGroup(name, body) => {
                let groups = self.groups_by_model.entry(body.model.clone());
                groups.or_default().insert(name.clone());
                self.model_groups.insert(name, Arc::new(body));
            }
            RecordBody::PlacementRule(name, body) => {
                let body = Arc::new(body);
                let rules = self.rules_by_service.entry(body.service.clone());
                rules.or_default().insert(name.clone(), Arc::clone(&body));
                self.rules.insert(name, body);
            }
        }
    }

    fn install_organisation(&mut self, name: OrganisationName, body: OrganisationBody) {
        for digest in &body.token_digests {
            let holders = self.organisations_by_token.entry(digest.clone());
            holders.or_default().insert(name.clone());
        }
        self.organisations.insert(name, Arc::new(body));
    }

    /// Adds an object that is accepted but can't be read.
    pub(crate) fn install_unreadable(&mut self, object: InvalidRecord) {
        let key = (object.kind.clone(), object.name.clone());
        self.unreadable.insert(key, Arc::new(object));
    }

    /// Removes an object, whether it could be read or not.
    pub(crate) fn remove(&mut self, kind: &KindName, name: &ObjectName) {
        self.unreadable.remove(&(kind.clone(), name.clone()));
        match RecordKind::try_from(kind) {
            Ok(RecordKind::Organisation) => self.remove_organisation(name),
            Ok(RecordKind::Service) => self.remove_service(name),
            Ok(RecordKind::ModelGroup) => self.remove_model_group(name),
            Ok(RecordKind::PlacementRule) => self.remove_rule(name),
            Err(_) => {}
        }
    }

    fn remove_organisation(&mut self, name: &ObjectName) {
        let Ok(name) = OrganisationName::try_from(name.as_str()) else {
            return;
        };
        let Some(body) = self.organisations.remove(&name) else {
            return;
        };
        for digest in &body.token_digests {
            remove_from_set(&mut self.organisations_by_token, digest, &name);
        }
    }

    fn remove_service(&mut self, name: &ObjectName) {
        if let Ok(name) = ServiceName::try_from(name.as_str()) {
            self.services.remove(&name);
        }
    }

    fn remove_model_group(&mut self, name: &ObjectName) {
        let Ok(name) = ServiceName::try_from(name.as_str()) else {
            return;
        };
        if let Some(body) = self.model_groups.remove(&name) {
            remove_from_set(&mut self.groups_by_model, &body.model, &name);
        }
    }

    fn remove_rule(&mut self, name: &ObjectName) {
        let Some(body) = self.rules.remove(name.as_str()) else {
            return;
        };
        if let Some(rules) = self.rules_by_service.get_mut(&body.service) {
            rules.remove(name.as_str());
            if rules.is_empty() {
                self.rules_by_service.remove(&body.service);
            }
        }
    }
}

/// Removes a member from the set under a key, and the set once it is empty.
fn remove_from_set<K, V>(sets: &mut HashMap<K, BTreeSet<V>>, key: &K, member: &V)
where
    K: std::hash::Hash + Eq,
    V: Ord,
{
    if let Some(set) = sets.get_mut(key) {
        set.remove(member);
        if set.is_empty() {
            sets.remove(key);
        }
    }
}
