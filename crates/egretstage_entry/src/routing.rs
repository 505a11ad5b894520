//! Routing state of each service: retry budget, outlier ejection and estimated
//! output length.

use crate::calls::Call;
use crate::event::CandidateLine;
use crate::upstreams::{Upstream, UpstreamKey, Upstreams};
use crate::{EntryLimits, Target};
use compact_str::CompactString;
use egretstage_config::Configuration;
use egretstage_routing::{
    Candidate, Choice, Demand, OutlierDetector, OutputLengthEstimate, Prediction,
    PrefixFingerprint, RetryBudget, RoutingPolicy, blend_with_peer_means,
};
use egretstage_wire::{DEFAULT_WEIGHT_MILLI, OrganisationName, ServiceName, ZoneName};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::sync::LazyLock;
use std::time::Instant;

/// Maximum number of candidates in a log line; the chosen one is always
/// included.
const MAX_LOGGED_CANDIDATES: usize = 16;

/// Routing state of one service.
#[derive(Debug)]
struct ServiceState {
    outlier_detector: OutlierDetector,
    retry_budget: RetryBudget,
    output_length: OutputLengthEstimate,
}

/// The placement rule that applies to a call.
#[derive(Debug, Default)]
pub(crate) struct AppliedRule {
    pub(crate) name: Option<CompactString>,
    zones: SmallVec<[ZoneName; 3]>,
}

impl AppliedRule {
    /// Finds the rule for an organisation's calls to a service.
    pub(crate) fn find(
        cfg: Option<&Configuration>,
        organisation: &OrganisationName,
        service: &ServiceName,
    ) -> Self {
        let rule = cfg.and_then(|cfg| cfg.placement_rule(organisation, service));
        rule.map_or_else(Self::default, |(name, rule)| Self {
            name: Some(name.clone()),
            zones: rule.zones.clone(),
        })
    }

    fn allows(&self, upstream: &Upstream) -> bool {
        self.zones.is_empty() || self.zones.contains(&upstream.zone)
    }
}

/// Upstreams that may run a call, with the metrics that the policy compares.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) keys: Vec<UpstreamKey>,
    pub(crate) metrics: Vec<Candidate>,
}

/// Chooses upstreams and keeps the routing state of each service.
pub(crate) struct Router {
    zone: ZoneName,
    limits: EntryLimits,
    policy: Box<dyn RoutingPolicy>,
    services: HashMap<ServiceName, ServiceState>,
}

impl Router {
    pub(crate) fn new(zone: ZoneName, limits: EntryLimits, policy: Box<dyn RoutingPolicy>) -> Self {
        Self {
            zone,
            limits,
            policy,
            services: HashMap::new(),
        }
    }

    pub(crate) fn limits(&self) -> &EntryLimits {
        &self.limits
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceState {
        let limits = self.limits;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceState {
                outlier_detector: OutlierDetector::new(limits.ejection),
                retry_budget: RetryBudget::new(limits.retries),
                output_length: OutputLengthEstimate::default(),
            })
    }

    /// Records a new call, which adds to the retry budget of its service.
    pub(crate) fn record_request(&mut self, service: &ServiceName) {
        self.service(service).retry_budget.record_request();
    }

    /// Takes a retry from a service's budget; returns whether there was one.
    pub(crate) fn take_retry(&mut self, service: &ServiceName) -> bool {
        self.service(service).retry_budget.try_take()
    }

    /// Records the output length of a complete answer.
    pub(crate) fn record_completed(&mut self, call: &Call) {
        if let Target::Chat { max_tokens, .. } = call.req.target
            && call.received_events > 0
        {
            let tokens = call.received_events.saturating_sub(1);
            self.service(&call.service)
                .output_length
                .record_completed(tokens, max_tokens);
        }
    }

    /// Returns what a call needs of an upstream.
    pub(crate) fn demand(&mut self, now: Instant, call: &Call) -> Demand {
        let budget = call.deadline.saturating_duration_since(now);
        match call.req.target {
            Target::Chat {
                prompt_tokens,
                max_tokens,
                ..
            } => Demand {
                budget,
                prompt_tokens,
                output_tokens: self
                    .service(&call.service)
                    .output_length
                    .likely_max_tokens(max_tokens),
            },
            Target::Plain { .. } => Demand {
                budget,
                prompt_tokens: 0,
                output_tokens: 0,
            },
        }
    }

    /// Ejects the outliers of a service, if a check is due.
    pub(crate) fn eject_outliers(
        &mut self,
        now: Instant,
        service: &ServiceName,
        upstreams: &mut Upstreams,
    ) {
        let state = self.service(service);
        if state.outlier_detector.begin_check_if_due(now) {
            let members = upstreams.iter_mut().filter(|u| u.service == *service);
            let mut trackers: Vec<_> = members.map(|upstream| &mut upstream.tracker).collect();
            state.outlier_detector.check(now, &mut trackers);
        }
    }

    /// Returns the upstreams that may run a call now.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        call: &Call,
        rule: &AppliedRule,
        upstreams: &Upstreams,
    ) -> Candidates {
        let slow_start_window = self.limits.ejection.slow_start_window;
        let (keys, mut metrics): (Vec<_>, Vec<_>) = upstreams
            .iter_active()
            .filter(|(_, u)| u.service == call.service && u.link_for_new_calls().is_some())
            .filter(|(_, u)| rule.allows(u))
            .map(|(key, u)| {
                let same_zone = u.zone == self.zone;
                let prompt = prompt_fingerprint(call);
                let org = &call.organisation;
                let metrics = u
                    .tracker
                    .candidate(now, same_zone, org, prompt, slow_start_window);
                (key, metrics)
            })
            .unzip();
        blend_with_peer_means(&mut metrics);
        Candidates { keys, metrics }
    }

    pub(crate) fn choose(&mut self, demand: &Demand, candidates: &Candidates) -> Choice {
        self.policy.choose(demand, &candidates.metrics)
    }
}

/// Returns the fingerprint of a call's prompt.
pub(crate) fn prompt_fingerprint(call: &Call) -> &PrefixFingerprint {
    static NONE: LazyLock<PrefixFingerprint> = LazyLock::new(PrefixFingerprint::default);
    match &call.req.target {
        Target::Chat { prompt, .. } => prompt,
        Target::Plain { .. } => &NONE,
    }
}

/// Returns the weight of an organisation, in thousandths.
pub(crate) fn weight_milli(cfg: Option<&Configuration>, organisation: &OrganisationName) -> u32 {
    let body = cfg.and_then(|cfg| cfg.organisation(organisation));
    body.map_or(DEFAULT_WEIGHT_MILLI, |body| to_milli(body.weight))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn to_milli(weight: f64) -> u32 {
    ((weight * 1000.0).round() as u32).max(1)
}

/// Counts the event ends (blank lines) in the bytes of a stream.
pub(crate) fn count_events(bytes: &[u8]) -> u32 {
    let ends = bytes.windows(2).filter(|pair| *pair == b"\n\n").count();
    u32::try_from(ends).unwrap_or(u32::MAX)
}

/// Returns the candidates for a decision's log line, the chosen one first.
pub(crate) fn candidate_lines(
    demand: &Demand,
    candidates: &Candidates,
    chosen: Option<usize>,
    upstreams: &Upstreams,
) -> Vec<CandidateLine> {
    let others = (0..candidates.keys.len()).filter(|index| Some(*index) != chosen);
    let line = |index: usize| {
        let metrics = candidates.metrics[index];
        Some(CandidateLine {
            instance: upstreams.get(candidates.keys[index])?.instance.clone(),
            metrics,
            predicted: Prediction::new(demand, &metrics),
        })
    };
    chosen
        .into_iter()
        .chain(others)
        .take(MAX_LOGGED_CANDIDATES)
        .filter_map(line)
        .collect()
}
