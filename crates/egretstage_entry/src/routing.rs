//! What an entry adds to a policy: budgets, ejection and estimates by service.

use crate::calls::Call;
use crate::event::CandidateLine;
use crate::runners::{Runner, RunnerKey, Runners};
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

/// Most candidates in a log line; the chosen one is always among them.
const MAX_LOGGED_CANDIDATES: usize = 16;

/// What an entry learns of one service.
#[derive(Debug)]
struct ServiceState {
    detector: OutlierDetector,
    retries: RetryBudget,
    output: OutputLengthEstimate,
}

/// The placement rule that applies to a call.
#[derive(Debug, Default)]
pub(crate) struct AppliedRule {
    pub(crate) name: Option<CompactString>,
    zones: SmallVec<[ZoneName; 3]>,
}

impl AppliedRule {
    /// Finds the rule for an organisation's calls of a service.
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

    fn allows(&self, runner: &Runner) -> bool {
        self.zones.is_empty() || self.zones.contains(&runner.zone)
    }
}

/// Upstreams that may run a call, with the figures that a policy sees.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) keys: Vec<RunnerKey>,
    pub(crate) figures: Vec<Candidate>,
}

/// Chooses upstreams and keeps the budgets of each service.
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
                detector: OutlierDetector::new(limits.ejection),
                retries: RetryBudget::new(limits.retries),
                output: OutputLengthEstimate::default(),
            })
    }

    /// Notes a call that is sent for the first time.
    pub(crate) fn requested(&mut self, service: &ServiceName) {
        self.service(service).retries.record_request();
    }

    /// Takes a retry from a service's budget; returns false when none is left.
    pub(crate) fn take_retry(&mut self, service: &ServiceName) -> bool {
        self.service(service).retries.try_take()
    }

    /// Notes a whole answer.
    pub(crate) fn completed(&mut self, call: &Call) {
        if let Target::Chat { max_tokens, .. } = call.req.target
            && call.events > 0
        {
            let tokens = call.events.saturating_sub(1);
            self.service(&call.service)
                .output
                .record_completed(tokens, max_tokens);
        }
    }

    /// Returns what a call needs.
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
                    .output
                    .likely_max_tokens(max_tokens),
            },
            Target::Plain { .. } => Demand {
                budget,
                prompt_tokens: 0,
                output_tokens: 0,
            },
        }
    }

    /// Ejects the outliers of a service, if a look at them is due.
    pub(crate) fn eject(&mut self, now: Instant, service: &ServiceName, runners: &mut Runners) {
        let state = self.service(service);
        if state.detector.begin_check_if_due(now) {
            let members = runners.iter_mut().filter(|r| r.service == *service);
            let mut members: Vec<_> = members.map(|runner| &mut runner.tracker).collect();
            state.detector.check(now, &mut members);
        }
    }

    /// Lists the upstreams that may run a call now.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        call: &Call,
        rule: &AppliedRule,
        runners: &Runners,
    ) -> Candidates {
        let return_time = self.limits.ejection.slow_start_window;
        let (keys, mut figures): (Vec<_>, Vec<_>) = runners
            .iter()
            .filter(|(_, r)| r.service == call.service && r.open_link().is_some())
            .filter(|(_, r)| rule.allows(r))
            .map(|(key, r)| {
                let same_zone = r.zone == self.zone;
                let prompt = prompt(call);
                let org = &call.organisation;
                let figures = r
                    .tracker
                    .candidate(now, same_zone, org, prompt, return_time);
                (key, figures)
            })
            .unzip();
        blend_with_peer_means(&mut figures);
        Candidates { keys, figures }
    }

    pub(crate) fn choose(&mut self, demand: &Demand, candidates: &Candidates) -> Choice {
        self.policy.choose(demand, &candidates.figures)
    }
}

/// Returns the fingerprint of a call's prompt.
pub(crate) fn prompt(call: &Call) -> &PrefixFingerprint {
    static NONE: LazyLock<PrefixFingerprint> = LazyLock::new(PrefixFingerprint::default);
    match &call.req.target {
        Target::Chat { prompt, .. } => prompt,
        Target::Plain { .. } => &NONE,
    }
}

/// Returns the weight of a call's organisation, in thousandths.
pub(crate) fn weight_milli(cfg: Option<&Configuration>, organisation: &OrganisationName) -> u32 {
    let body = cfg.and_then(|cfg| cfg.organisation(organisation));
    body.map_or(DEFAULT_WEIGHT_MILLI, |body| milli(body.weight))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn milli(weight: f64) -> u32 {
    ((weight * 1000.0).round() as u32).max(1)
}

/// Counts the ends of events in the bytes of a stream.
pub(crate) fn count_events(bytes: &[u8]) -> u32 {
    let ends = bytes.windows(2).filter(|pair| *pair == b"\n\n").count();
    u32::try_from(ends).unwrap_or(u32::MAX)
}

/// Returns the figures for a decision's log line, the chosen one first.
pub(crate) fn candidate_lines(
    demand: &Demand,
    candidates: &Candidates,
    chosen: Option<usize>,
    runners: &Runners,
) -> Vec<CandidateLine> {
    let others = (0..candidates.keys.len()).filter(|index| Some(*index) != chosen);
    let line = |index: usize| {
        let figures = candidates.figures[index];
        Some(CandidateLine {
            instance: runners.get(candidates.keys[index])?.instance.clone(),
            figures,
            predicted: Prediction::new(demand, &figures),
        })
    };
    chosen
        .into_iter()
        .chain(others)
        .take(MAX_LOGGED_CANDIDATES)
        .filter_map(line)
        .collect()
}
