//! An entry: the product's policy, trackers, budgets and ejection.

use super::options::{Mechanisms, PolicyKind, Site};
use super::workload::Request;
use egretstage_routing::{
    CallResult, Candidate, Choice, Demand, InFlightCall, LeastLoaded, OutlierDetector,
    OutputLengthEstimate, PowerOfTwo, PredictedFirstToken, PredictedFirstTokenParams, RandomChoice,
    RetryBudget, RoundRobin, RoutingPolicy, UpstreamTracker, blend_with_peer_means,
};
use egretstage_wire::OrganisationName;
use std::time::Instant;

/// An entry.
pub(crate) struct SimEntry {
    pub(crate) zone: usize,
    pub(crate) trackers: Vec<UpstreamTracker>,
    pub(crate) linked: Vec<bool>,
    zones: Vec<usize>,
    policy: Box<dyn RoutingPolicy>,
    detector: OutlierDetector,
    retries: RetryBudget,
    output: OutputLengthEstimate,
    mechanisms: Mechanisms,
    names: Vec<OrganisationName>,
}

/// Where an entry sends a request.
pub(crate) struct Route {
    pub(crate) upstream: usize,
    pub(crate) work: InFlightCall,
    pub(crate) output_tokens: u32,
    pub(crate) same_zone: bool,
}

impl SimEntry {
    pub(crate) fn new(
        site: &Site,
        zone: usize,
        zones: Vec<usize>,
        mechanisms: Mechanisms,
        seed: u64,
    ) -> Self {
        let names = (0..site.organisations.len()).map(|index| {
            let name = format!("organisation-{index}");
            OrganisationName::try_from(name.as_str()).expect("the name is allowed")
        });
        Self {
            zone,
            trackers: vec![UpstreamTracker::default(); zones.len()],
            linked: vec![true; zones.len()],
            zones,
            policy: policy(mechanisms.policy, seed),
            detector: OutlierDetector::default(),
            retries: RetryBudget::default(),
            output: OutputLengthEstimate::default(),
            mechanisms,
            names: names.collect(),
        }
    }

    pub(crate) fn requested(&mut self) {
        self.retries.record_request();
    }

    /// Takes a retry from the budget, if there is one.
    pub(crate) fn may_retry(&mut self) -> bool {
        !self.mechanisms.retry_budget || self.retries.try_take()
    }

    pub(crate) fn completed(&mut self, req: &Request) {
        self.output.record_completed(req.tokens, req.max_tokens);
    }

    /// Chooses a upstream for a request.
    pub(crate) fn route(
        &mut self,
        now: Instant,
        req: &Request,
        deadline: Instant,
    ) -> Result<Route, Choice> {
        self.eject(now);
        let plain = req.prompt_tokens == 0;
        let demand = Demand {
            budget: deadline.saturating_duration_since(now),
            prompt_tokens: req.prompt_tokens,
            output_tokens: if plain {
                0
            } else {
                self.output.likely_max_tokens(req.max_tokens)
            },
        };
        let (upstreams, mut candidates) = self.candidates(now, req);
        blend_with_peer_means(&mut candidates);
        match self.policy.choose(&demand, &candidates) {
            Choice::Send { index, .. } => {
                let upstream = upstreams[index];
                Ok(Route {
                    upstream,
                    work: self.trackers[upstream].record_sent(now, &demand, &req.prompt),
                    output_tokens: demand.output_tokens,
                    same_zone: candidates[index].same_zone,
                })
            }
            refuse @ Choice::Refuse { .. } => Err(refuse),
        }
    }

    fn candidates(&self, now: Instant, req: &Request) -> (Vec<usize>, Vec<Candidate>) {
        let name = &self.names[req.organisation];
        let return_time = self.detector.limits().slow_start_window;
        (0..self.trackers.len())
            .filter(|upstream| self.linked[*upstream])
            .map(|upstream| {
                let same_zone = self.zones[upstream] == self.zone;
                let tracker = &self.trackers[upstream];
                let candidate = tracker.candidate(now, same_zone, name, &req.prompt, return_time);
                (upstream, candidate)
            })
            .unzip()
    }

    fn eject(&mut self, now: Instant) {
        if !self.mechanisms.ejection || !self.detector.begin_check_if_due(now) {
            return;
        }
        let linked = self.linked.iter();
        let mut members: Vec<_> = self
            .trackers
            .iter_mut()
            .zip(linked)
            .filter_map(|(tracker, linked)| linked.then_some(tracker))
            .collect();
        self.detector.check(now, &mut members);
    }

    pub(crate) fn refused(
        &mut self,
        now: Instant,
        upstream: usize,
        organisation: usize,
        time: std::time::Duration,
    ) {
        let name = &self.names[organisation];
        self.trackers[upstream].record_refusal(now, name, time);
    }

    pub(crate) fn ended(&mut self, upstream: usize, work: InFlightCall, result: CallResult) {
        self.trackers[upstream].record_end(work, result);
    }
}

fn policy(kind: PolicyKind, seed: u64) -> Box<dyn RoutingPolicy> {
    match kind {
        PolicyKind::RoundRobin => Box::new(RoundRobin::default()),
        PolicyKind::Random => Box::new(RandomChoice::new(seed)),
        PolicyKind::LeastLoaded => Box::new(LeastLoaded),
        PolicyKind::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
        PolicyKind::Predicted => {
            let limits = PredictedFirstTokenParams::default();
            Box::new(PredictedFirstToken::new(limits, seed))
        }
    }
}
