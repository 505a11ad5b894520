//! Which rule and runners a request would meet, and why.

use crate::nodes::NodeReport;
use crate::table::Table;
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_config::{Configuration, PlacementRuleBody, RecordKind};
use egretstage_observe::UpstreamStatus;
use egretstage_wire::{InstanceId, OrganisationName, ServiceName, ZoneName};
use serde::Serialize;

/// Which rule and runners a request would meet.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The service or model group.
    pub service: ServiceName,
    /// Why each request is refused; none if it may run.
    pub refused: Option<CompactString>,
    /// The placement rule that applies.
    pub rule: Option<CompactString>,
    /// Why that rule applies.
    pub rule_reason: CompactString,
    /// Zones where the work may run; empty stands for all.
    pub zones: Vec<ZoneName>,
    /// The runners of the service, by entry.
    pub runners: Vec<ExplainedRunner>,
}

/// Whether an entry may send a request to a runner.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainedRunner {
    /// The entry that knows the runner.
    pub entry: InstanceId,
    /// The runner.
    #[serde(flatten)]
    pub runner: UpstreamStatus,
    /// Whether it is a candidate.
    pub candidate: bool,
    /// Why.
    pub reason: CompactString,
}

/// Explains what a request would meet.
#[must_use]
pub fn explain(
    cfg: &Configuration,
    nodes: &[NodeReport],
    organisation: OrganisationName,
    service: ServiceName,
) -> Explanation {
    let rule = cfg.placement_rule(&organisation, &service);
    let zones = rule.map_or_else(Vec::new, |(_, rule)| rule.zones.to_vec());
    Explanation {
        refused: refusal(cfg, &organisation, &service),
        rule: rule.map(|(name, _)| name.clone()),
        rule_reason: rule_reason(rule.map(|(_, rule)| rule)),
        runners: runners(nodes, &service, &zones),
        zones,
        organisation,
        service,
    }
}

fn refusal(
    cfg: &Configuration,
    organisation: &OrganisationName,
    service: &ServiceName,
) -> Option<CompactString> {
    let unreadable = |kind, name| {
        let object = cfg.unreadable_of(kind, name)?;
        Some(format_compact!("this release can't read {object}"))
    };
    let known_service = cfg.service(service).is_some() || cfg.model_group(service).is_some();
    unreadable(RecordKind::Organisation, Some(organisation.as_str()))
        .or_else(|| unreadable(RecordKind::Service, Some(service.as_str())))
        .or_else(|| unreadable(RecordKind::ModelGroup, Some(service.as_str())))
        .or_else(|| unreadable(RecordKind::PlacementRule, None))
        .or_else(|| {
            let unknown = cfg.organisation(organisation).is_none();
            unknown.then(|| format_compact!("organisation {organisation} is not configured"))
        })
        .or_else(|| {
            (!known_service)
                .then(|| format_compact!("no service or model group {service} is configured"))
        })
}

fn rule_reason(rule: Option<&PlacementRuleBody>) -> CompactString {
    match rule {
        None => "no rule names the service, so all zones are allowed",
        Some(rule) if rule.organisation.is_some() => {
            "the first rule by name for the organisation and the service"
        }
        Some(_) => "no rule names the organisation; the first rule by name for all",
    }
    .into()
}

fn runners(
    nodes: &[NodeReport],
    service: &ServiceName,
    zones: &[ZoneName],
) -> Vec<ExplainedRunner> {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    statuses
        .flat_map(|status| {
            let runners = status.work.runners.iter();
            runners.map(move |runner| (&status.instance, runner))
        })
        .filter(|(_, runner)| runner.service == *service)
        .map(|(entry, runner)| {
            let excluded = exclusion(runner, zones);
            ExplainedRunner {
                entry: entry.clone(),
                runner: runner.clone(),
                candidate: excluded.is_none(),
                reason: excluded.unwrap_or_else(|| "may be chosen".into()),
            }
        })
        .collect()
}

fn exclusion(runner: &UpstreamStatus, zones: &[ZoneName]) -> Option<CompactString> {
    if runner.link != "up" {
        return Some(format_compact!("its link is {}", runner.link));
    }
    if runner.leaving {
        return Some("it is leaving".into());
    }
    let allowed = zones.is_empty() || zones.contains(&runner.zone);
    (!allowed).then(|| format_compact!("the rule does not allow zone {}", runner.zone))
}

pub(crate) fn print_explanation(explanation: &Explanation) {
    let Explanation {
        organisation,
        service,
        ..
    } = explanation;
    println!("work of {organisation} on {service}");
    if let Some(reason) = &explanation.refused {
        println!("refused: {reason}");
    }
    let rule = explanation.rule.as_deref().unwrap_or("none");
    println!("rule: {rule} ({})", explanation.rule_reason);
    let zones: Vec<&str> = explanation.zones.iter().map(ZoneName::as_str).collect();
    let zones = if zones.is_empty() {
        "all".to_owned()
    } else {
        zones.join(", ")
    };
    println!("zones: {zones}");
    if explanation.runners.is_empty() {
        println!("runners: no entry that was asked knows one");
        return;
    }
    println!();
    let mut table = Table::new(&[
        "ENTRY",
        "RUNNER",
        "ZONE",
        "CANDIDATE",
        "WHY",
        "RUNNING",
        "SLOTS",
    ]);
    for explained in &explanation.runners {
        let runner = &explained.runner;
        table.row(vec![
            explained.entry.to_compact_string(),
            runner.instance.to_compact_string(),
            runner.zone.to_compact_string(),
            if explained.candidate { "yes" } else { "no" }.into(),
            explained.reason.clone(),
            runner.load.running.to_compact_string(),
            runner.load.slots.to_compact_string(),
        ]);
    }
    table.print();
}
