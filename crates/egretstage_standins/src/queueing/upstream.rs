//! A upstream with its companion: slots, a queue, a serial prefill, a cache.

use super::call::CallId;
use super::event_queue::Attempt;
use super::options::Site;
use egretstage_routing::{
    AdmissionRefusal, BlockHash, CacheIndex, FairQueue, Flow, PrefixFingerprint, UpstreamMeter,
    admit, expected_cost_us,
};
use egretstage_wire::{CallWork, LoadReport};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A call that a upstream holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) attempt: Attempt,
    pub(crate) entry: usize,
    pub(crate) work: CallWork,
    pub(crate) cost: Duration,
    pub(crate) run: Option<Running>,
}

/// The times of a call that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) started: Instant,
    pub(crate) first_token: Instant,
    pub(crate) finish: Instant,
    pub(crate) interval: Duration,
    pub(crate) cached_tokens: u32,
    pub(crate) first_made: bool,
}

/// A upstream with its companion.
pub(crate) struct SimUpstream {
    pub(crate) zone: usize,
    pub(crate) alive: bool,
    pub(crate) slow: f64,
    site: Site,
    queue: FairQueue<usize, CallId>,
    held: BTreeMap<CallId, Held>,
    running: u32,
    prefill_free: Instant,
    cache: CacheIndex,
    meter: UpstreamMeter,
    received: Vec<u64>,
    stored: Vec<BlockHash>,
    evicted: Vec<BlockHash>,
}

impl SimUpstream {
    pub(crate) fn new(site: &Site, zone: usize, now: Instant) -> Self {
        Self {
            zone,
            alive: true,
            slow: 1.0,
            site: site.clone(),
            queue: FairQueue::default(),
            held: BTreeMap::new(),
            running: 0,
            prefill_free: now,
            cache: CacheIndex::new(site.cache_blocks),
            meter: UpstreamMeter::default(),
            received: vec![0; site.entries],
            stored: Vec::new(),
            evicted: Vec::new(),
        }
    }

    pub(crate) fn cost(&self, work: &CallWork) -> Duration {
        Duration::from_micros(expected_cost_us(&self.meter, work))
    }

    pub(crate) fn receive(&mut self, entry: usize) {
        self.received[entry] += 1;
    }

    /// Decides on a call as the product's companion does.
    pub(crate) fn admits(
        &self,
        flow: &Flow<usize>,
        work: &CallWork,
        budget: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let slots = self.site.slots;
        let free = slots.saturating_sub(self.running);
        let cost = expected_cost_us(&self.meter, work);
        admit(&self.queue, flow, slots, free, cost, budget)
    }

    pub(crate) fn enqueue(&mut self, flow: Flow<usize>, held: Held) {
        let call = held.attempt.call;
        let cost = u64::try_from(held.cost.as_micros()).unwrap_or(u64::MAX);
        self.held.insert(call, held);
        self.queue.push(flow, call, cost, 0);
    }

    /// Takes the next waiting call if a slot is free.
    pub(crate) fn next(&mut self) -> Option<Held> {
        if self.running >= self.site.slots {
            return None;
        }
        let call = self.queue.pop()?;
        self.held.get(&call).copied()
    }

    /// Starts a call and returns its times.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        call: CallId,
        prompt: &PrefixFingerprint,
        prompt_tokens: u32,
        tokens: u32,
    ) -> Running {
        self.running += 1;
        self.meter.record_start(now);
        let cached_tokens = self.cache.cached_tokens(prompt).min(prompt_tokens);
        for block in prompt.blocks().iter().rev() {
            self.evicted.extend(self.cache.touch(*block));
            self.stored.push(*block);
        }
        let uncached = f64::from(prompt_tokens - cached_tokens);
        let prefill = uncached / self.site.prefill_tokens_per_s * self.slow;
        let done = self.prefill_free.max(now) + Duration::from_secs_f64(prefill);
        self.prefill_free = done;
        let interval = self.interval();
        let run = Running {
            started: now,
            first_token: done + interval,
            finish: done + interval * tokens,
            interval,
            cached_tokens,
            first_made: false,
        };
        let held = self.held.get_mut(&call).expect("a started call is held");
        held.run = Some(run);
        run
    }

    fn interval(&self) -> Duration {
        let idle = self.site.idle_interval.as_secs_f64();
        let full = self.site.full_interval.as_secs_f64();
        let share = f64::from(self.running) / f64::from(self.site.slots);
        Duration::from_secs_f64((idle + (full - idle) * share) * self.slow)
    }

    /// Notes a call's first token; returns false for a call that is gone.
    pub(crate) fn first_token(&mut self, now: Instant, attempt: Attempt) -> bool {
        let Some(held) = self.held.get_mut(&attempt.call) else {
            return false;
        };
        let Some(run) = held.run.as_mut().filter(|_| held.attempt == attempt) else {
            return false;
        };
        run.first_made = true;
        self.meter.record_first_token(now, held.work.prefill_tokens);
        if held.work.output_tokens > 0 {
            self.meter.record_token_interval(run.interval);
        }
        true
    }

    /// Removes a call that has finished, was given up or cancelled.
    pub(crate) fn remove(&mut self, now: Instant, attempt: Attempt) -> Option<Held> {
        let held = self.held.get(&attempt.call).copied()?;
        if held.attempt != attempt {
            return None;
        }
        self.held.remove(&attempt.call);
        let Some(run) = held.run else {
            self.queue.remove(attempt.call);
            return Some(held);
        };
        self.running -= 1;
        if !run.first_made {
            self.meter.record_first_token(now, 0);
        }
        if run.finish <= now {
            self.meter.record_service_time(now - run.started);
        }
        Some(held)
    }

    pub(crate) fn is_waiting(&self, attempt: Attempt) -> bool {
        let held = self.held.get(&attempt.call);
        held.is_some_and(|held| held.attempt == attempt && held.run.is_none())
    }

    /// Loses everything, as when the process dies.
    pub(crate) fn die(&mut self, now: Instant) -> Vec<Held> {
        let lost = std::mem::take(&mut self.held).into_values().collect();
        *self = Self {
            alive: false,
            ..Self::new(&self.site.clone(), self.zone, now)
        };
        lost
    }

    pub(crate) fn report(&self, entry: usize) -> LoadReport {
        let unstarted = |held: &&Held| held.run.is_none_or(|run| !run.first_made);
        let prefill = |held: &Held| u64::from(held.work.prefill_tokens);
        let from_entry = self.held.values().filter(|held| held.entry == entry);
        LoadReport {
            running: self.running,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.site.slots,
            waiting_prompt_tokens: self.held.values().filter(unstarted).map(prefill).sum(),
            prefill_tokens_per_s: self.meter.prefill_tokens_per_s(),
            token_interval_ms: self.meter.token_interval_ms(),
            service_ms: self.meter.service_ms(),
            age_ms: 0,
            received_from_peer: self.received[entry],
            held_from_peer: u32::try_from(from_entry.count()).unwrap_or(u32::MAX),
        }
    }

    /// Takes what the cache has stored and dropped since the last time.
    pub(crate) fn take_cache_events(&mut self) -> (Vec<BlockHash>, Vec<BlockHash>) {
        let stored = std::mem::take(&mut self.stored);
        (stored, std::mem::take(&mut self.evicted))
    }
}

/// Returns the tokens that a run has made.
pub(crate) fn tokens_made(run: &Running, now: Instant) -> u64 {
    let since = now.saturating_duration_since(run.first_token);
    if now < run.first_token {
        return 0;
    }
    let made = since.as_micros() / run.interval.as_micros().max(1);
    u64::try_from(made).unwrap_or(u64::MAX).saturating_add(1)
}

/// Returns the zone of the n-th instance.
pub(crate) fn zone_of(index: usize, zones: usize) -> usize {
    index % zones
}
