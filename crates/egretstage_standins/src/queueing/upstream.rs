//! Upstream with its companion: slots, a queue, a serial prefill and a prefix
//! cache.

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

/// A waiting or running call of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldCall {
    pub(crate) attempt: Attempt,
    pub(crate) entry: usize,
    pub(crate) work: CallWork,
    pub(crate) cost: Duration,
    /// Times of the call; `None` while it waits.
    pub(crate) times: Option<CallTimes>,
}

/// Times of a running call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    pub(crate) started: Instant,
    pub(crate) first_token: Instant,
    pub(crate) finish: Instant,
    pub(crate) token_interval: Duration,
    pub(crate) cached_tokens: u32,
    pub(crate) has_first_token: bool,
}

/// Simulated upstream with its companion.
pub(crate) struct SimUpstream {
    pub(crate) zone: usize,
    pub(crate) alive: bool,
    /// Factor by which prefill and token interval are slowed down.
    pub(crate) slowdown: f64,
    site: Site,
    queue: FairQueue<usize, CallId>,
    held: BTreeMap<CallId, HeldCall>,
    running: u32,
    prefill_free_at: Instant,
    cache: CacheIndex,
    meter: UpstreamMeter,
    /// Number of calls received from each entry.
    received_from_entry: Vec<u64>,
    stored: Vec<BlockHash>,
    evicted: Vec<BlockHash>,
}

impl SimUpstream {
    pub(crate) fn new(site: &Site, zone: usize, now: Instant) -> Self {
        Self {
            zone,
            alive: true,
            slowdown: 1.0,
            site: site.clone(),
            queue: FairQueue::default(),
            held: BTreeMap::new(),
            running: 0,
            prefill_free_at: now,
            cache: CacheIndex::new(site.cache_blocks),
            meter: UpstreamMeter::default(),
            received_from_entry: vec![0; site.entries],
            stored: Vec::new(),
            evicted: Vec::new(),
        }
    }

    pub(crate) fn cost(&self, work: &CallWork) -> Duration {
        Duration::from_micros(expected_cost_us(&self.meter, work))
    }

    pub(crate) fn record_received(&mut self, entry: usize) {
        self.received_from_entry[entry] += 1;
    }

    /// Decides whether to admit a call, as the product's companion does.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that is not admitted.
    pub(crate) fn check_admission(
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

    pub(crate) fn enqueue(&mut self, flow: Flow<usize>, held: HeldCall) {
        let call = held.attempt.call;
        let cost = u64::try_from(held.cost.as_micros()).unwrap_or(u64::MAX);
        self.held.insert(call, held);
        self.queue.push(flow, call, cost, 0);
    }

    /// Takes the next waiting call from the queue, if a slot is free.
    pub(crate) fn pop_waiting(&mut self) -> Option<HeldCall> {
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
    ) -> CallTimes {
        self.running += 1;
        self.meter.record_start(now);
        let cached_tokens = self.cache.cached_tokens(prompt).min(prompt_tokens);
        for block in prompt.blocks().iter().rev() {
            self.evicted.extend(self.cache.touch(*block));
            self.stored.push(*block);
        }
        let uncached = f64::from(prompt_tokens - cached_tokens);
        let prefill = uncached / self.site.prefill_tokens_per_s * self.slowdown;
        let prefill_end = self.prefill_free_at.max(now) + Duration::from_secs_f64(prefill);
        self.prefill_free_at = prefill_end;
        let token_interval = self.token_interval();
        let times = CallTimes {
            started: now,
            first_token: prefill_end + token_interval,
            finish: prefill_end + token_interval * tokens,
            token_interval,
            cached_tokens,
            has_first_token: false,
        };
        let held = self.held.get_mut(&call).expect("a started call is held");
        held.times = Some(times);
        times
    }

    /// Returns the token interval at the current load.
    fn token_interval(&self) -> Duration {
        let idle = self.site.idle_token_interval.as_secs_f64();
        let full = self.site.full_token_interval.as_secs_f64();
        let share = f64::from(self.running) / f64::from(self.site.slots);
        Duration::from_secs_f64((idle + (full - idle) * share) * self.slowdown)
    }

    /// Records the first token of a call and returns whether the call is still
    /// held.
    pub(crate) fn record_first_token(&mut self, now: Instant, attempt: Attempt) -> bool {
        let Some(held) = self.held.get_mut(&attempt.call) else {
            return false;
        };
        let Some(times) = held.times.as_mut().filter(|_| held.attempt == attempt) else {
            return false;
        };
        times.has_first_token = true;
        self.meter.record_first_token(now, held.work.prefill_tokens);
        if held.work.output_tokens > 0 {
            self.meter.record_token_interval(times.token_interval);
        }
        true
    }

    /// Removes a call that has finished, timed out in the queue or was cancelled.
    pub(crate) fn remove(&mut self, now: Instant, attempt: Attempt) -> Option<HeldCall> {
        let held = self.held.get(&attempt.call).copied()?;
        if held.attempt != attempt {
            return None;
        }
        self.held.remove(&attempt.call);
        let Some(times) = held.times else {
            self.queue.remove(attempt.call);
            return Some(held);
        };
        self.running -= 1;
        if !times.has_first_token {
            self.meter.record_first_token(now, 0);
        }
        if times.finish <= now {
            self.meter.record_service_time(now - times.started);
        }
        Some(held)
    }

    pub(crate) fn is_waiting(&self, attempt: Attempt) -> bool {
        let held = self.held.get(&attempt.call);
        held.is_some_and(|held| held.attempt == attempt && held.times.is_none())
    }

    /// Fails the process, which loses its state, and returns the calls that it
    /// held.
    pub(crate) fn fail(&mut self, now: Instant) -> Vec<HeldCall> {
        let lost = std::mem::take(&mut self.held).into_values().collect();
        *self = Self {
            alive: false,
            ..Self::new(&self.site.clone(), self.zone, now)
        };
        lost
    }

    pub(crate) fn load_report(&self, entry: usize) -> LoadReport {
        let has_no_first_token =
            |held: &&HeldCall| held.times.is_none_or(|times| !times.has_first_token);
        let prefill = |held: &HeldCall| u64::from(held.work.prefill_tokens);
        let from_entry = self.held.values().filter(|held| held.entry == entry);
        LoadReport {
            running: self.running,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.site.slots,
            waiting_prompt_tokens: self
                .held
                .values()
                .filter(has_no_first_token)
                .map(prefill)
                .sum(),
            prefill_tokens_per_s: self.meter.prefill_tokens_per_s(),
            token_interval_ms: self.meter.token_interval_ms(),
            service_ms: self.meter.service_ms(),
            age_ms: 0,
            received_from_peer: self.received_from_entry[entry],
            held_from_peer: u32::try_from(from_entry.count()).unwrap_or(u32::MAX),
        }
    }

    /// Takes the blocks that the cache has stored and evicted since the last call.
    pub(crate) fn take_cache_events(&mut self) -> (Vec<BlockHash>, Vec<BlockHash>) {
        let stored = std::mem::take(&mut self.stored);
        (stored, std::mem::take(&mut self.evicted))
    }
}

/// Returns the number of tokens that a call has generated.
pub(crate) fn generated_tokens(times: &CallTimes, now: Instant) -> u64 {
    let since = now.saturating_duration_since(times.first_token);
    if now < times.first_token {
        return 0;
    }
    let generated = since.as_micros() / times.token_interval.as_micros().max(1);
    u64::try_from(generated)
        .unwrap_or(u64::MAX)
        .saturating_add(1)
}

/// Returns the zone of the instance at an index.
pub(crate) fn zone_of(index: usize, zones: usize) -> usize {
    index % zones
}
