//! The schema versions of plain services.

use crate::{RepeatableRule, ServiceBody};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};

/// Version 1: each rule has one method, the list is named `repeatable`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceBodyV1 {
    #[serde(default)]
    repeatable: SmallVec<[RepeatableRule; 2]>,
}

/// Version 2: each rule has several methods, the list is named `idempotent`;
/// owners of idempotency keys may be allowed to run calls without the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceBodyV2 {
    #[serde(default)]
    idempotent: SmallVec<[IdempotentRule; 2]>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    run_without_log: bool,
}

/// Calls that may run more than once.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct IdempotentRule {
    methods: SmallVec<[CompactString; 2]>,
    path_prefix: CompactString,
}

impl From<ServiceBodyV1> for ServiceBody {
    fn from(body: ServiceBodyV1) -> Self {
        Self {
            repeatable: body.repeatable,
            run_without_log: false,
        }
    }
}

impl From<ServiceBodyV2> for ServiceBody {
    fn from(body: ServiceBodyV2) -> Self {
        let run_without_log = body.run_without_log;
        let rules = body.idempotent.into_iter().flat_map(|rule| {
            let path_prefix = rule.path_prefix;
            rule.methods.into_iter().map(move |method| RepeatableRule {
                method,
                path_prefix: path_prefix.clone(),
            })
        });
        Self {
            repeatable: rules.collect(),
            run_without_log,
        }
    }
}

impl From<ServiceBody> for ServiceBodyV2 {
    fn from(body: ServiceBody) -> Self {
        let mut idempotent: SmallVec<[IdempotentRule; 2]> = SmallVec::new();
        for rule in body.repeatable {
            match idempotent.last_mut() {
                Some(last) if last.path_prefix == rule.path_prefix => {
                    last.methods.push(rule.method);
                }
                _ => idempotent.push(IdempotentRule {
                    methods: smallvec![rule.method],
                    path_prefix: rule.path_prefix,
                }),
            }
        }
        Self {
            idempotent,
            run_without_log: body.run_without_log,
        }
    }
}
