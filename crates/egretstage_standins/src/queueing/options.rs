//! Options of a simulation.

use std::time::Duration;

/// An organisation's share of the workload.
#[derive(Clone, Copy, Debug)]
pub struct OrganisationShape {
    /// Share of all requests.
    pub share: f64,
    /// Whether it counts as a small organisation.
    pub small: bool,
}

/// The upstreams, the entries and the requests of a simulation.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name in tables.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of upstreams, spread over the zones.
    pub upstreams: usize,
    /// Number of entries, spread over the zones.
    pub entries: usize,
    /// Maximum number of concurrent calls of an upstream.
    pub slots: u32,
    /// Token interval of an idle upstream.
    pub idle_token_interval: Duration,
    /// Token interval of an upstream whose slots are all taken.
    pub full_token_interval: Duration,
    /// Prefill rate of an upstream, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Capacity of an upstream's prefix cache, in blocks.
    pub cache_blocks: usize,
    /// The organisations; their shares add up to 1.
    pub organisations: Vec<OrganisationShape>,
    /// Number of prompt prefixes that the requests of an organisation share.
    pub prefixes_per_organisation: usize,
    /// Minimum and maximum length of a shared prefix, in blocks.
    pub prefix_blocks: (usize, usize),
    /// Minimum and maximum number of blocks that only one request has.
    pub unique_blocks: (usize, usize),
    /// Mean token limit of a request.
    pub max_tokens: u32,
    /// Part of a request's budget that is for its first token.
    pub first_token_budget: Duration,
    /// Part of a request's budget for each token of its limit.
    pub token_budget: Duration,
    /// Whether a request may be sent again after its answer was lost.
    pub repeatable: bool,
    /// Delay of a message within a zone.
    pub same_zone_delay: Duration,
    /// Delay of a message between zones.
    pub cross_zone_delay: Duration,
}

impl Site {
    /// Returns the requests per second that keep every slot busy.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let tokens = f64::from(self.max_tokens) * MEAN_OUTPUT_SHARE;
        let decode = tokens * self.full_token_interval.as_secs_f64();
        let slots = f64::from(self.slots) * count_to_f64(self.upstreams);
        slots / (decode + self.prefill_seconds())
    }

    /// Returns the mean prefill time of a request without cache hits, in seconds.
    fn prefill_seconds(&self) -> f64 {
        let mean = |range: (usize, usize)| count_to_f64(range.0 + range.1) / 2.0;
        let blocks = mean(self.prefix_blocks) + mean(self.unique_blocks);
        blocks * f64::from(egretstage_routing::BLOCK_TOKENS) / self.prefill_tokens_per_s
    }
}

/// Mean share of a request's token limit that is generated.
pub(crate) const MEAN_OUTPUT_SHARE: f64 = 0.9;

/// Converts a small count to a float.
pub(crate) fn count_to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Routing policy of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// Round robin.
    RoundRobin,
    /// Random choice.
    Random,
    /// The upstream with the least load in the last reports.
    LeastLoaded,
    /// The one of two random upstreams with the lower load in the last reports.
    PowerOfTwo,
    /// The policy of the product.
    Predicted,
}

/// Decision mechanisms that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// The policy of every entry.
    pub policy: PolicyKind,
    /// Fair queueing at the upstreams and refusal of calls that can't finish in
    /// time.
    pub limits: bool,
    /// Ejection of outliers by the entries.
    pub ejection: bool,
    /// Retry budget of the entries.
    pub retry_budget: bool,
}

impl Mechanisms {
    /// Returns the mechanisms of the product.
    #[must_use]
    pub fn product() -> Self {
        Self {
            policy: PolicyKind::Predicted,
            limits: true,
            ejection: true,
            retry_budget: true,
        }
    }

    /// Returns a policy with first-come-first-served queues, no ejection and
    /// unlimited retries.
    #[must_use]
    pub fn without_limits(policy: PolicyKind) -> Self {
        Self {
            policy,
            limits: false,
            ejection: false,
            retry_budget: false,
        }
    }

    /// Returns a policy with the other mechanisms of the product.
    #[must_use]
    pub fn with_limits(policy: PolicyKind) -> Self {
        Self {
            policy,
            ..Self::product()
        }
    }

    /// Returns the name in tables.
    #[must_use]
    pub fn name(&self) -> String {
        match (self.policy, self.limits) {
            (PolicyKind::Predicted, true) => "own".to_owned(),
            (policy, true) => format!("{policy}+limits"),
            (policy, false) => policy.to_string(),
        }
    }
}

/// Fault of a run, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An upstream becomes slower by a factor.
    SlowUpstream {
        /// Index of the upstream.
        upstream: usize,
        /// Factor by which it becomes slower.
        factor: f64,
    },
    /// An upstream fails; its links are closed when the failure is detected.
    UpstreamFailure {
        /// Index of the upstream.
        upstream: usize,
    },
    /// All upstreams of a zone fail.
    ZoneOutage {
        /// Index of the zone.
        zone: usize,
    },
    /// All upstreams fail.
    FullOutage,
    /// All upstreams are alive again, with empty queues and caches.
    FullRecovery,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// How often callers retry a request that was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRetries {
    /// Callers don't retry.
    Never,
    /// Callers retry up to this many times: after a refusal, half of them after
    /// the time that the refusal asks for; in all other cases after a second.
    UpTo(u32),
}

/// Scenario of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The site.
    pub site: Site,
    /// Request rate relative to [`Site::capacity`].
    pub load: f64,
    /// Delay of a load report.
    pub report_delay: Duration,
    /// Delay of a cache event.
    pub cache_delay: Duration,
    /// Share of the cache event messages that are lost.
    pub cache_loss: f64,
    /// Faults and their times.
    pub faults: Vec<ScheduledFault>,
    /// Retries of the callers.
    pub caller_retries: CallerRetries,
    /// Time after which requests are counted.
    pub warm_up: Duration,
    /// Time after which no more requests arrive.
    pub duration: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Duration of an outage of all upstreams.
pub const OUTAGE: Duration = Duration::from_secs(10);

impl Scenario {
    /// Returns a run without faults at a load. All cache events are lost, because
    /// the product's entries learn of caches only from their own calls.
    #[must_use]
    pub fn steady(site: Site, load: f64, seed: u64) -> Self {
        Self {
            site,
            load,
            report_delay: Duration::from_millis(100),
            cache_delay: Duration::from_millis(500),
            cache_loss: 1.0,
            faults: Vec::new(),
            caller_retries: CallerRetries::Never,
            warm_up: Duration::from_secs(20),
            duration: Duration::from_mins(1),
            seed,
        }
    }

    /// Adds a fault at a time of the run.
    #[must_use]
    pub fn with_fault(mut self, at: Duration, fault: Fault) -> Self {
        self.faults.push(ScheduledFault { at, fault });
        self
    }

    /// Adds an outage of all upstreams for [`OUTAGE`], with callers that retry up
    /// to 8 times, and a duration that shows the recovery.
    #[must_use]
    pub fn with_outage(self, at: Duration) -> Self {
        Self {
            caller_retries: CallerRetries::UpTo(8),
            duration: Duration::from_mins(2),
            ..self
                .with_fault(at, Fault::FullOutage)
                .with_fault(at + OUTAGE, Fault::FullRecovery)
        }
    }
}
