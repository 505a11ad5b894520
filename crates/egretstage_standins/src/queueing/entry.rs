//! Entry of the simulation, with the product's policy, trackers, retry budget
//! and outlier ejection.

use super::options::{Mechanisms, PolicyKind, Site};
use super::workload::Request;
use egretstage_routing::{
    CallResult, Candidate, Choice, Demand, InFlightCall, LeastLoaded, OutlierDetector,
    OutputLengthEstimate, PowerOfTwo, PredictedFirstToken, PredictedFirstTokenParams, RandomChoice,
    RetryBudget, RoundRobin, RoutingPolicy, UpstreamTracker, blend_with_peer_means,
};
use egretstage_wire::OrganisationName;
use std::time::Instant;

/// Simulated entry.
pub(crate) struct SimEntry {
    pub(crate) zone: usize,
    pub(crate) trackers: Vec<UpstreamTracker>,
    /// Whether the entry has a link to each upstream.
    pub(crate) has_link: Vec<bool>,
    upstream_zones: Vec<usize>,
    policy: Box<dyn RoutingPolicy>,
    detector: OutlierDetector,
    retry_budget: RetryBudget,
    output_length: OutputLengthEstimate,
    mechanisms: Mechanisms,
    organisation_names: Vec<OrganisationName>,
}

/// Decision of an entry to send a request to an upstream.
pub(crate) struct Route {
    pub(crate) upstream: usize,
    pub(crate) in_flight: InFlightCall,
    pub(crate) output_tokens: u32,
    pub(crate) same_zone: bool,
}

impl SimEntry {
    pub(crate) fn new(
        site: &Site,
        zone: usize,
        upstream_zones: Vec<usize>,
        mechanisms: Mechanisms,
        seed: u64,
    ) -> Self {
        let organisation_names = (0..site.organisations.len()).map(|index| {
            let name = format!("organisation-{index}");
            OrganisationName::try_from(name.as_str()).expect("the name is allowed")
        });
        Self {
            zone,
            trackers: vec![UpstreamTracker::default(); upstream_zones.len()],
            has_link: vec![true; upstream_zones.len()],
            upstream_zones,
            policy: new_policy(mechanisms.policy, seed),
            detector: OutlierDetector::default(),
            retry_budget: RetryBudget::default(),
            output_length: OutputLengthEstimate::default(),
            mechanisms,
            organisation_names: organisation_names.collect(),
        }
    }

    pub(crate) fn record_request(&mut self) {
        self.retry_budget.record_request();
    }

    /// Takes a retry from the budget and returns whether one was left; without
    /// a retry budget, retries are unlimited.
    pub(crate) fn try_take_retry(&mut self) -> bool {
        !self.mechanisms.retry_budget || self.retry_budget.try_take()
    }

    pub(crate) fn record_completed(&mut self, req: &Request) {
        self.output_length
            .record_completed(req.tokens, req.max_tokens);
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns the choice of the policy to refuse the request.
    pub(crate) fn route(
        &mut self,
        now: Instant,
        req: &Request,
        deadline: Instant,
    ) -> Result<Route, Choice> {
        self.eject_outliers(now);
        let has_no_prompt = req.prompt_tokens == 0;
        let demand = Demand {
            budget: deadline.saturating_duration_since(now),
            prompt_tokens: req.prompt_tokens,
            output_tokens: if has_no_prompt {
                0
            } else {
                self.output_length.likely_max_tokens(req.max_tokens)
            },
        };
        let (upstreams, mut candidates) = self.candidates(now, req);
        blend_with_peer_means(&mut candidates);
        match self.policy.choose(&demand, &candidates) {
            Choice::Send { index, .. } => {
                let upstream = upstreams[index];
                Ok(Route {
                    upstream,
                    in_flight: self.trackers[upstream].record_sent(now, &demand, &req.prompt),
                    output_tokens: demand.output_tokens,
                    same_zone: candidates[index].same_zone,
                })
            }
            refusal @ Choice::Refuse { .. } => Err(refusal),
        }
    }

    /// Returns the linked upstreams with their candidates.
    fn candidates(&self, now: Instant, req: &Request) -> (Vec<usize>, Vec<Candidate>) {
        let name = &self.organisation_names[req.organisation];
        let slow_start_window = self.detector.limits().slow_start_window;
        (0..self.trackers.len())
            .filter(|upstream| self.has_link[*upstream])
            .map(|upstream| {
                let same_zone = self.upstream_zones[upstream] == self.zone;
                let tracker = &self.trackers[upstream];
                let candidate =
                    tracker.candidate(now, same_zone, name, &req.prompt, slow_start_window);
                (upstream, candidate)
            })
            .unzip()
    }

    /// Ejects outliers, if a check is due.
    fn eject_outliers(&mut self, now: Instant) {
        if !self.mechanisms.ejection || !self.detector.begin_check_if_due(now) {
            return;
        }
        let has_link = self.has_link.iter();
        let mut linked_trackers: Vec<_> = self
            .trackers
            .iter_mut()
            .zip(has_link)
            .filter_map(|(tracker, has_link)| has_link.then_some(tracker))
            .collect();
        self.detector.check(now, &mut linked_trackers);
    }

    pub(crate) fn record_refusal(
        &mut self,
        now: Instant,
        upstream: usize,
        organisation: usize,
        retry_after: std::time::Duration,
    ) {
        let name = &self.organisation_names[organisation];
        self.trackers[upstream].record_refusal(now, name, retry_after);
    }

    pub(crate) fn record_end(
        &mut self,
        upstream: usize,
        in_flight: InFlightCall,
        result: CallResult,
    ) {
        self.trackers[upstream].record_end(in_flight, result);
    }
}

fn new_policy(kind: PolicyKind, seed: u64) -> Box<dyn RoutingPolicy> {
    match kind {
        PolicyKind::RoundRobin => Box::new(RoundRobin::default()),
        PolicyKind::Random => Box::new(RandomChoice::new(seed)),
        PolicyKind::LeastLoaded => Box::new(LeastLoaded),
        PolicyKind::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
        PolicyKind::Predicted => {
            let params = PredictedFirstTokenParams::default();
            Box::new(PredictedFirstToken::new(params, seed))
        }
    }
}
