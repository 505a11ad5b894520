//! Explains which placement rule and upstreams apply to a request, and why.

use crate::nodes::NodeReport;
use crate::table::Table;
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_config::{Configuration, PlacementRuleBody, RecordKind};
use egretstage_observe::UpstreamStatus;
use egretstage_wire::{InstanceId, OrganisationName, ServiceName, ZoneName};
use serde::Serialize;

/// Which placement rule and upstreams apply to a request.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The service or model group.
    pub service: ServiceName,
    /// Why all such requests are refused; none if they may run.
    pub refused: Option<CompactString>,
    /// The placement rule that applies.
    pub rule: Option<CompactString>,
    /// Why that rule applies.
    pub rule_reason: CompactString,
    /// Zones where the work may run; empty means all.
    pub zones: Vec<ZoneName>,
    /// The upstreams of the service, by entry.
    #[serde(rename = "runners")]
    pub upstreams: Vec<ExplainedUpstream>,
}

/// Whether an entry may send a request to an upstream.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainedUpstream {
    /// The entry that is linked to the upstream.
    pub entry: InstanceId,
    /// The upstream's status at the entry.
    #[serde(flatten)]
    pub upstream: UpstreamStatus,
    /// Whether it is a candidate.
    pub candidate: bool,
    /// Why it is or isn't a candidate.
    pub reason: CompactString,
}

/// Explains which placement rule and upstreams apply to an organisation's
/// requests for a service.
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
        upstreams: explained_upstreams(nodes, &service, &zones),
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
        let object = cfg.first_unreadable(kind, name)?;
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

fn explained_upstreams(
    nodes: &[NodeReport],
    service: &ServiceName,
    zones: &[ZoneName],
) -> Vec<ExplainedUpstream> {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    statuses
        .flat_map(|status| {
            let upstreams = status.work.runners.iter();
            upstreams.map(move |upstream| (&status.instance, upstream))
        })
        .filter(|(_, upstream)| upstream.service == *service)
        .map(|(entry, upstream)| {
            let exclusion = exclusion_reason(upstream, zones);
            ExplainedUpstream {
                entry: entry.clone(),
                upstream: upstream.clone(),
                candidate: exclusion.is_none(),
                reason: exclusion.unwrap_or_else(|| "may be chosen".into()),
            }
        })
        .collect()
}

/// Returns why an upstream is no candidate; none if it is one.
fn exclusion_reason(upstream: &UpstreamStatus, zones: &[ZoneName]) -> Option<CompactString> {
    if upstream.link != "up" {
        return Some(format_compact!("its link is {}", upstream.link));
    }
    if upstream.leaving {
        return Some("it is leaving".into());
    }
    let allowed = zones.is_empty() || zones.contains(&upstream.zone);
    (!allowed).then(|| format_compact!("the rule does not allow zone {}", upstream.zone))
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
    if explanation.upstreams.is_empty() {
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
    for explained in &explanation.upstreams {
        let upstream = &explained.upstream;
        table.add_row(vec![
            explained.entry.to_compact_string(),
            upstream.instance.to_compact_string(),
            upstream.zone.to_compact_string(),
            if explained.candidate { "yes" } else { "no" }.into(),
            explained.reason.clone(),
            upstream.load.running.to_compact_string(),
            upstream.load.slots.to_compact_string(),
        ]);
    }
    table.print();
}
