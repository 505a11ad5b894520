//! What is simulated.

use std::time::Duration;

/// An organisation's part of the workload.
#[derive(Clone, Copy, Debug)]
pub struct OrganisationShape {
    /// Share of all requests.
    pub share: f64,
    /// Whether it counts among the small ones.
    pub small: bool,
}

/// The upstreams, the entries and the usual requests.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name in tables.
    pub name: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// Runners, spread over the zones.
    pub upstreams: usize,
    /// Entries, spread over the zones.
    pub entries: usize,
    /// Calls that a upstream runs at once.
    pub slots: u32,
    /// Token interval of an idle upstream.
    pub idle_interval: Duration,
    /// Token interval of a full upstream.
    pub full_interval: Duration,
    /// Prefill rate of a upstream in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Blocks that a upstream's prefix cache holds.
    pub cache_blocks: usize,
    /// The organisations.
    pub organisations: Vec<OrganisationShape>,
    /// Prompt prefixes that each organisation shares among its requests.
    pub prefixes: usize,
    /// Fewest and most blocks of a shared prefix.
    pub prefix_blocks: (usize, usize),
    /// Fewest and most blocks of a request's own.
    pub own_blocks: (usize, usize),
    /// Mean of the most tokens that a request allows.
    pub max_tokens: u32,
    /// Budget of a request for its first token.
    pub first_token_budget: Duration,
    /// Budget of a request for each token.
    pub token_budget: Duration,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Delay of a message within a zone.
    pub near_delay: Duration,
    /// Delay of a message between zones.
    pub far_delay: Duration,
}

impl Site {
    /// Returns the requests in a second that keep every slot busy.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let tokens = f64::from(self.max_tokens) * MEAN_OUTPUT_SHARE;
        let decode = tokens * self.full_interval.as_secs_f64();
        let slots = f64::from(self.slots) * count(self.upstreams);
        slots / (decode + self.prefill_seconds())
    }

    fn prefill_seconds(&self) -> f64 {
        let mean = |range: (usize, usize)| count(range.0 + range.1) / 2.0;
        let blocks = mean(self.prefix_blocks) + mean(self.own_blocks);
        blocks * f64::from(egretstage_routing::BLOCK_TOKENS) / self.prefill_tokens_per_s
    }
}

/// Mean share of the allowed tokens that is generated.
pub(crate) const MEAN_OUTPUT_SHARE: f64 = 0.9;

/// Converts a small count.
pub(crate) fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// A policy under measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// In turn.
    RoundRobin,
    /// At random.
    Random,
    /// The least loaded by the last report.
    LeastLoaded,
    /// The less loaded of two by the last report.
    PowerOfTwo,
    /// The product's own.
    Predicted,
}

/// Which decisions are on.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// The policy of every entry.
    pub policy: PolicyKind,
    /// Fair queueing at the upstreams and refusal of what can't finish in time.
    pub limits: bool,
    /// Ejection of outliers.
    pub ejection: bool,
    /// A budget for retries.
    pub retry_budget: bool,
}

impl Mechanisms {
    /// Returns the product's own decisions.
    #[must_use]
    pub fn product() -> Self {
        Self {
            policy: PolicyKind::Predicted,
            limits: true,
            ejection: true,
            retry_budget: true,
        }
    }

    /// Returns a policy with a queue by arrival and unlimited retries.
    #[must_use]
    pub fn without_limits(policy: PolicyKind) -> Self {
        Self {
            policy,
            limits: false,
            ejection: false,
            retry_budget: false,
        }
    }

    /// Returns a policy with the product's limits.
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

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A upstream gets slower by a factor.
    SlowUpstream {
        /// The upstream.
        upstream: usize,
        /// The factor.
        factor: f64,
    },
    /// A upstream dies; its links end when the death is noticed.
    UpstreamFailure {
        /// The upstream.
        upstream: usize,
    },
    /// All upstreams of a zone die.
    ZoneOutage {
        /// The zone.
        zone: usize,
    },
    /// All upstreams die.
    FullOutage,
    /// All upstreams are back, empty.
    FullRecovery,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time since the start.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// What callers do with a request that was refused or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRetries {
    /// They give up.
    Never,
    /// They ask again so many times: half of them at the time that they were
    /// told, the others a second later.
    UpTo(u32),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The site.
    pub site: Site,
    /// Requests relative to the capacity.
    pub load: f64,
    /// Age of a load report on its arrival.
    pub report_delay: Duration,
    /// Age of a cache event on its arrival.
    pub cache_delay: Duration,
    /// Share of the cache events that are lost.
    pub cache_loss: f64,
    /// What goes wrong.
    pub faults: Vec<ScheduledFault>,
    /// What callers do.
    pub caller_retries: CallerRetries,
    /// Time after which requests are counted.
    pub warm_up: Duration,
    /// Time until the last request.
    pub duration: Duration,
    /// The seed of everything random.
    pub seed: u64,
}

/// How long all upstreams are lost in an outage.
pub const OUTAGE: Duration = Duration::from_secs(10);

impl Scenario {
    /// Returns an undisturbed run at a load, with entries that learn of caches
    /// from their own calls alone, as the product's do.
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

    /// Loses all upstreams for [`OUTAGE`], while callers ask again up to eight
    /// times, and runs long enough to see the load come back.
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
