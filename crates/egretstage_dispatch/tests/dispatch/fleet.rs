//! Test harness: several entries in virtual time that share upstreams and exchange reports.

use crate::support::{configured, table_with_cold, upstream};
use egretstage_dispatch::{
    CallHead, CallKey, CallRate, ColdProfile, DecisionLine, DispatchEffect, DispatchEvent,
    DispatchLimits, Dispatcher, ListedUpstream, LoadReport, PromptParts, Refusal, RequestHash,
    TopicPosition, UpstreamKey, UpstreamSignal, ZoneSet,
};
use egretstage_runtime::VirtualLoop;
use egretstage_wire::InstanceId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(10);

/// Time from a call's start to the head of its answer.
const HEAD_DELAY: Duration = Duration::from_millis(20);

/// Time from a call's start to the end of its answer.
const ANSWER_DELAY: Duration = Duration::from_millis(400);

/// Zones, each with its upstreams of the service without a group.
#[derive(Clone, Debug)]
pub(crate) struct ZoneLayout {
    /// Names of the zones.
    pub(crate) zones: Vec<&'static str>,
    /// Entries in each zone.
    pub(crate) entries: usize,
    /// Upstreams in each zone.
    pub(crate) desks: usize,
    /// Ranks in each zone.
    pub(crate) ranks: usize,
    /// Whether the ranks of all zones are one group; else each zone has its own.
    pub(crate) is_group_over_zones: bool,
}

/// An answer that has ended.
pub(crate) struct Answered {
    /// Index of the entry.
    pub(crate) entry: usize,
    /// Time from the arrival of the call to the end of its answer.
    pub(crate) latency: Duration,
    /// When it ended.
    pub(crate) at: Instant,
}

/// A call that was sent.
pub(crate) struct Sent {
    /// Index of the entry.
    pub(crate) entry: usize,
    pub(crate) instance: InstanceId,
    pub(crate) at: Instant,
}

/// Something that happens at an entry after a delay.
enum Later {
    Head(CallKey, UpstreamKey, InstanceId),
    End(CallKey),
    Report(Box<LoadReport>),
    Listed(Box<ListedUpstream>),
}

struct FleetEntry {
    sim: VirtualLoop<Dispatcher>,
    name: InstanceId,
    /// Number of the start, from which all pending events of earlier ones are ignored.
    incarnation: u64,
    is_cut_off: bool,
}

/// Gives each upstream an address of its own.
fn with_addresses(upstreams: impl Iterator<Item = ListedUpstream>) -> Vec<ListedUpstream> {
    let mut upstreams: Vec<ListedUpstream> = upstreams.collect();
    for (port, listed) in (1_000..).zip(&mut upstreams) {
        listed.address.set_port(port);
    }
    upstreams
}

/// Entries that share upstreams.
pub(crate) struct Fleet {
    entries: Vec<FleetEntry>,
    upstreams: Vec<ListedUpstream>,
    cold: Option<ColdProfile>,
    /// The zone of each entry; the first one for the others.
    zones: Vec<&'static str>,
    dispatch_limits: DispatchLimits,
    /// When each slot of an upstream becomes free, if calls wait for slots there.
    slots: HashMap<InstanceId, Vec<Instant>>,
    /// Time of a call in a slot; answers take no longer than the work if `None`.
    pub(crate) work: Option<Duration>,
    /// Age of a report when it arrives.
    pub(crate) report_delay: Duration,
    pub(crate) sent: Vec<Sent>,
    pub(crate) answered: Vec<Answered>,
    /// Log lines of shares that leave a zone, by entry.
    pub(crate) share_lines: Vec<(usize, DecisionLine)>,
    now: Instant,
    rng: ChaCha8Rng,
    later: BTreeMap<(Instant, u64), (usize, u64, Later)>,
    next_event: u64,
    next_call: u64,
    /// Share of the reports that are lost, in percent.
    pub(crate) lost_reports: u32,
    /// Limits that upstreams name.
    pub(crate) limits: HashMap<InstanceId, CallRate>,
    /// When calls arrived at each upstream.
    pub(crate) arrivals: HashMap<InstanceId, Vec<Instant>>,
    /// The refusals, each with the time since the call's arrival.
    pub(crate) refusals: Vec<(Refusal, Duration)>,
    pub(crate) arrived: HashMap<CallKey, Instant>,
    pub(crate) completed: usize,
}

impl Fleet {
    /// Creates entries and the upstreams of both services: `ranks` ranks of one group, and
    /// three upstreams without a group.
    pub(crate) fn new(seed: u64, entries: usize, ranks: usize) -> Self {
        Self::with_cold(seed, entries, ranks, None)
    }

    /// Creates entries and upstreams at which calls are bounded while they are cold.
    pub(crate) fn with_cold(
        seed: u64,
        entries: usize,
        ranks: usize,
        cold: Option<ColdProfile>,
    ) -> Self {
        let ranks = (0..ranks).map(|rank| upstream(&format!("rank-{rank}"), "drafting", Some("g")));
        let desks = (0..3).map(|desk| upstream(&format!("desk-{desk}"), "booking", None));
        let upstreams = with_addresses(ranks.chain(desks));
        Self::of(
            seed,
            upstreams,
            vec!["west"; entries],
            DispatchLimits::default(),
            cold,
        )
    }

    /// Creates entries and upstreams in several zones.
    pub(crate) fn in_zones(seed: u64, layout: &ZoneLayout, limits: DispatchLimits) -> Self {
        let in_zone = |zone: &&'static str| {
            let zone = *zone;
            let desks = (0..layout.desks)
                .map(move |desk| upstream(&format!("desk-{zone}-{desk}"), "booking", None));
            let group = if layout.is_group_over_zones {
                "g"
            } else {
                zone
            };
            let ranks = (0..layout.ranks).map(move |rank| {
                let name = format!("rank-{zone}-{rank}");
                upstream(&name, "drafting", Some(group))
            });
            desks.chain(ranks).map(move |listed| ListedUpstream {
                zone: zone.try_into().expect("valid name"),
                ..listed
            })
        };
        let upstreams = with_addresses(layout.zones.iter().flat_map(in_zone));
        let entries = layout.zones.iter();
        let entries = entries.flat_map(|zone| vec![*zone; layout.entries]);
        Self::of(seed, upstreams, entries.collect(), limits, None)
    }

    fn of(
        seed: u64,
        upstreams: Vec<ListedUpstream>,
        zones: Vec<&'static str>,
        dispatch_limits: DispatchLimits,
        cold: Option<ColdProfile>,
    ) -> Self {
        let entries = zones.len();
        let mut fleet = Self {
            entries: Vec::new(),
            cold,
            upstreams,
            zones,
            dispatch_limits,
            slots: HashMap::new(),
            work: None,
            report_delay: STEP,
            sent: Vec::new(),
            answered: Vec::new(),
            share_lines: Vec::new(),
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            later: BTreeMap::new(),
            next_event: 0,
            next_call: 0,
            lost_reports: 0,
            limits: HashMap::new(),
            arrivals: HashMap::new(),
            refusals: Vec::new(),
            arrived: HashMap::new(),
            completed: 0,
        };
        for index in 0..entries {
            let entry = fleet.start_entry(index, 1);
            fleet.entries.push(entry);
        }
        fleet
    }

    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    fn start_entry(&self, index: usize, incarnation: u64) -> FleetEntry {
        let name: InstanceId = format!("entry-{index}")
            .as_str()
            .try_into()
            .expect("a name");
        let zone = self.zones[index].try_into().expect("valid name");
        let limits = self.dispatch_limits;
        let seed = incarnation * 1_000 + index as u64;
        let dispatcher = Dispatcher::new(self.now, name.clone(), zone, seed, limits);
        let mut sim = VirtualLoop::starting_at(self.now, dispatcher);
        sim.event(configured(table_with_cold(1, "key", self.cold)));
        for listed in &self.upstreams {
            sim.event(DispatchEvent::Listed(Box::new(listed.clone())));
        }
        FleetEntry {
            sim,
            name,
            incarnation,
            is_cut_off: false,
        }
    }

    /// Restarts an entry; its calls are gone.
    pub(crate) fn restart(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation + 1;
        self.entries[index] = self.start_entry(index, incarnation);
    }

    /// Cuts an entry off from the others, or connects it again.
    pub(crate) fn set_cut_off(&mut self, index: usize, is_cut_off: bool) {
        self.entries[index].is_cut_off = is_cut_off;
    }

    /// Changes the record of an upstream, by its name.
    pub(crate) fn change_upstreams(&mut self, change: impl Fn(&mut ListedUpstream)) {
        for known in 0..self.upstreams.len() {
            let listed = &mut self.upstreams[known];
            change(listed);
            let listed = listed.clone();
            for index in 0..self.entries.len() {
                let event = DispatchEvent::Listed(Box::new(listed.clone()));
                let effects = self.entries[index].sim.event(event);
                self.carry_out(index, effects);
            }
        }
    }

    /// Lets each entry read the set of the evacuated zones at an offset in the store.
    pub(crate) fn read_zones(&mut self, offset: u64, zones: &[&str]) {
        let position = TopicPosition { era: 0, offset };
        let zones = zones.iter().map(|name| (*name).try_into());
        let zones = zones.collect::<Result<_, _>>().expect("valid names");
        let set = ZoneSet { position, zones };
        for index in 0..self.entries.len() {
            let event = DispatchEvent::ZonesRead(Box::new(set.clone()));
            let effects = self.entries[index].sim.event(event);
            self.carry_out(index, effects);
        }
    }

    /// Returns the zone of an upstream.
    pub(crate) fn zone_of(&self, instance: &InstanceId) -> &str {
        let mut known = self.upstreams.iter().filter(|u| u.instance == *instance);
        known.next().map_or("", |listed| listed.zone.as_str())
    }

    /// Returns the calls that run at each upstream with a group.
    pub(crate) fn running_streams(&self) -> Vec<usize> {
        let ranks = self.upstreams.iter().filter(|u| u.membership.is_some());
        let running = |rank: &ListedUpstream| {
            let sent = self.sent.iter().rev();
            let recent = sent.take_while(|sent| sent.at + ANSWER_DELAY > self.now);
            recent.filter(|sent| sent.instance == rank.instance).count()
        };
        ranks.map(running).collect()
    }

    /// Returns the zone of an entry.
    pub(crate) fn zone_of_entry(&self, index: usize) -> &str {
        self.zones[index]
    }

    /// Returns when a call that arrives now at an upstream gets a slot.
    fn slot_at(&mut self, instance: &InstanceId, work: Duration) -> Instant {
        let mut known = self.upstreams.iter().filter(|u| u.instance == *instance);
        let slots = known.next().map_or(1, |listed| listed.slots as usize);
        let now = self.now;
        let free = self.slots.entry(instance.clone());
        let free = free.or_insert_with(|| vec![now; slots]);
        let next = free.iter_mut().min().expect("a slot");
        let start = (*next).max(now);
        *next = start + work;
        start
    }

    /// Restarts an upstream under the name that it had.
    pub(crate) fn restart_upstream(&mut self, name: &str) {
        let known = self.upstreams.iter_mut();
        let mut known = known.filter(|u| u.instance.as_str() == name);
        let listed = known.next().expect("an upstream");
        listed.started_ms = listed.started_ms.map(|at| at + 1);
        let listed = listed.clone();
        for index in 0..self.entries.len() {
            let event = DispatchEvent::Listed(Box::new(listed.clone()));
            let effects = self.entries[index].sim.event(event);
            self.carry_out(index, effects);
        }
    }

    /// Restarts upstreams under the names that they had, cold for a time. Each entry has read
    /// all their records after a delay of up to `max_read_delay`, and knows none before.
    pub(crate) fn return_cold(&mut self, names: &[&str], time: Duration, max_read_delay: Duration) {
        let returns = |u: &&mut ListedUpstream| names.contains(&u.instance.as_str());
        for listed in self.upstreams.iter_mut().filter(returns) {
            listed.started_ms = listed.started_ms.map(|at| at + 1);
            listed.cold_for = Some(time);
        }
        let listed = self.upstreams.iter();
        let listed = listed.filter(|u| names.contains(&u.instance.as_str()));
        let listed: Vec<ListedUpstream> = listed.cloned().collect();
        for index in 0..self.entries.len() {
            let delay = max_read_delay.mul_f64(self.rng.random_range(0.0..1.0));
            for listed in &listed {
                let gone = DispatchEvent::Unlisted(listed.instance.clone());
                let effects = self.entries[index].sim.event(gone);
                self.carry_out(index, effects);
                self.add_later(delay, index, Later::Listed(Box::new(listed.clone())));
            }
        }
    }

    fn add_later(&mut self, delay: Duration, entry: usize, later: Later) {
        let incarnation = self.entries[entry].incarnation;
        self.next_event += 1;
        let key = (self.now + delay, self.next_event);
        self.later.insert(key, (entry, incarnation, later));
    }

    /// Lets calls arrive for a time, at each entry at this rate per second, and passes on all
    /// events.
    pub(crate) fn run(&mut self, time: Duration, path: &str, rates: &[f64]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.entries.len() {
                let effects = self.entries[index].sim.advance(STEP);
                self.carry_out(index, effects);
                if self
                    .rng
                    .random_bool(rates[index % rates.len()] * STEP.as_secs_f64())
                {
                    self.arrive(index, path);
                }
            }
            while let Some(next) = self.later.first_entry().filter(|e| e.key().0 <= self.now) {
                let (index, incarnation, later) = next.remove();
                if self.entries[index].incarnation == incarnation {
                    self.happen(index, later);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, path: &str) {
        let call = CallKey(self.next_call);
        self.next_call += 1;
        self.arrived.insert(call, self.now);
        let request = format!("r{}", call.0);
        let head = Box::new(CallHead {
            request: request.as_str().try_into().expect("valid request id"),
            host: "desk.example".into(),
            path: path.into(),
            api_key: Some("key".into()),
            budget: Duration::from_secs(if path.starts_with("/draft") { 8 } else { 3 }),
            prompt: None,
            prompt_parts: PromptParts::new(),
        });
        let content = RequestHash(call.0);
        let event = DispatchEvent::Arrived {
            call,
            head,
            content,
        };
        let effects = self.entries[index].sim.event(event);
        self.carry_out(index, effects);
    }

    fn happen(&mut self, index: usize, later: Later) {
        let sim = &mut self.entries[index].sim;
        let effects = match later {
            Later::Head(call, upstream, instance) => {
                let limit = self.limits.get(&instance).copied();
                let signal = UpstreamSignal::Limit(limit);
                let mut effects = sim.event(DispatchEvent::SignalReceived { upstream, signal });
                effects.extend(sim.event(DispatchEvent::FirstByte { call }));
                effects
            }
            Later::End(call) => {
                self.completed += 1;
                self.answered.push(Answered {
                    entry: index,
                    latency: self.now - self.arrived[&call],
                    at: self.now,
                });
                let sim = &mut self.entries[index].sim;
                sim.event(DispatchEvent::Ended { call, whole: true })
            }
            Later::Report(report) => sim.event(DispatchEvent::PeerReported(report)),
            Later::Listed(listed) => sim.event(DispatchEvent::Listed(listed)),
        };
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<DispatchEffect>) {
        for effect in effects {
            match effect {
                DispatchEffect::Send { call, attempt } => {
                    let instance = attempt.instance.clone();
                    let arrivals = self.arrivals.entry(instance.clone()).or_default();
                    arrivals.push(self.now);
                    self.sent.push(Sent {
                        entry: index,
                        instance: instance.clone(),
                        at: self.now,
                    });
                    let delays = match self.work {
                        None => (HEAD_DELAY, ANSWER_DELAY),
                        Some(work) => {
                            let ends = self.slot_at(&instance, work) + work - self.now;
                            (ends, ends)
                        }
                    };
                    let head = Later::Head(call, attempt.upstream, instance);
                    self.add_later(delays.0, index, head);
                    self.add_later(delays.1, index, Later::End(call));
                }
                DispatchEffect::Refuse { call, refusal } => {
                    let waited = self.now - self.arrived[&call];
                    self.refusals.push((refusal, waited));
                }
                DispatchEffect::Report(report) => self.spread(index, &report),
                DispatchEffect::Log(line) if line.verb == "zone-share" => {
                    self.share_lines.push((index, *line));
                }
                _ => {}
            }
        }
    }

    fn spread(&mut self, from: usize, report: &LoadReport) {
        for to in 0..self.entries.len() {
            let is_cut = self.entries[from].is_cut_off || self.entries[to].is_cut_off;
            if to == from || is_cut || self.rng.random_range(0..100) < self.lost_reports {
                continue;
            }
            self.add_later(
                self.report_delay,
                to,
                Later::Report(Box::new(report.clone())),
            );
        }
    }

    /// Returns the name of an entry.
    pub(crate) fn name(&self, index: usize) -> &InstanceId {
        &self.entries[index].name
    }

    /// Returns the largest number of calls that arrived at an upstream within any window,
    /// from a time on.
    pub(crate) fn most_arrivals(&self, name: &str, window: Duration, from: Instant) -> usize {
        let arrivals = self.arrivals.iter();
        let mut arrivals = arrivals.filter(|(instance, _)| instance.as_str() == name);
        let Some((_, times)) = arrivals.next() else {
            return 0;
        };
        let windows = times.iter().enumerate().filter(|(_, at)| **at >= from);
        let counts = windows.map(|(index, start)| {
            let later = times[index..].iter();
            later.take_while(|at| **at < *start + window).count()
        });
        counts.max().unwrap_or(0)
    }
}
