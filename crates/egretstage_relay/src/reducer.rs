//! All decisions on a node's configuration.

use crate::log_state::LogState;
use crate::peers::Peers;
use crate::schedule::CheckpointSchedule;
use crate::shown::ShownState;
use crate::{CheckpointInfo, ConfigurationLogLine, ConfigurationUpdate, RelayEffect, RelayEvent};
use egretstage_config::{ConfigurationFold, Merge, Offset, Record, StateDelta, Verdict};
use egretstage_link::LinkKey;
use egretstage_platform::{LogPage, LogRecord};
use egretstage_runtime::Reducer;
use egretstage_wire::{ConfigurationFrame, StateDigest};
use std::time::{Duration, Instant};

/// Time that peers have to tell what they hold, before a node without the log
/// takes the highest offset for all that was accepted.
pub const PEER_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time that the log has to deliver a change before a peer is asked for it.
const LOG_HEAD_START: Duration = Duration::from_secs(1);

/// Shortest time between two status snapshots.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// How a node keeps its configuration.
#[derive(Clone, Copy, Debug)]
pub struct RelayOptions {
    /// Whether the node reads the log; otherwise it relies on its peers.
    pub reads_log: bool,
    /// Time between two checkpoints.
    pub checkpoint_interval: Duration,
    /// Seed of the random waits.
    pub seed: u64,
}

/// Makes all decisions on a node's configuration.
#[derive(Debug)]
pub struct RelayReducer {
    fold: ConfigurationFold,
    log: Option<LogState>,
    peers: Peers,
    schedule: CheckpointSchedule,
    complete: bool,
    told: Option<Offset>,
    settled: bool,
    settle_due: Option<Instant>,
    behind_since: Option<Instant>,
    diverged: bool,
    next_status: Instant,
    shown: Option<ShownState>,
}

impl RelayReducer {
    /// Starts a node that holds nothing yet.
    #[must_use]
    pub fn new(now: Instant, options: RelayOptions) -> Self {
        Self {
            fold: ConfigurationFold::default(),
            log: options.reads_log.then(|| LogState::new(now, options.seed)),
            peers: Peers::default(),
            schedule: CheckpointSchedule::new(options.checkpoint_interval, options.seed),
            complete: false,
            told: None,
            settled: false,
            settle_due: None,
            behind_since: None,
            diverged: false,
            next_status: now,
            shown: None,
        }
    }

    /// Returns the fold of all that the node has read.
    #[must_use]
    pub fn fold(&self) -> &ConfigurationFold {
        &self.fold
    }

    /// Tells whether the node holds all that it knows to be accepted.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    fn page(&mut self, now: Instant, page: &LogPage, fx: &mut Vec<RelayEffect>) {
        let Some(log) = self.log.as_mut() else {
            return;
        };
        let held = self.fold.offset();
        let needed = Offset(page.first.saturating_sub(1));
        if needed > held {
            fx.push(log_line(ConfigurationLogLine::Gap { held, needed }));
            log.gap(now, needed);
            return;
        }
        log.answered(now);
        for record in &page.records {
            self.record(record, fx);
        }
        let last = Offset(page.next.saturating_sub(1));
        let held = self.fold.offset();
        if last < held {
            fx.push(log_line(ConfigurationLogLine::LogBehind { held, last }));
        } else if let Some(log) = self.log.as_mut().filter(|_| last == held) {
            log.reached_end = true;
        }
    }

    fn record(&mut self, held: &LogRecord, fx: &mut Vec<RelayEffect>) {
        let offset = Offset(held.offset);
        if offset <= self.fold.offset() {
            return;
        }
        let record = match serde_json::from_value::<Record>(held.data.clone()) {
            Ok(record) => record,
            Err(e) => {
                self.fold.skip(offset);
                let reason = e.to_string();
                fx.push(log_line(ConfigurationLogLine::Malformed { offset, reason }));
                return;
            }
        };
        let verdict = self.fold.apply(offset, &record);
        let (kind, name) = (record.envelope.kind.clone(), record.envelope.name.clone());
        if verdict == Verdict::Accepted {
            let configuration = self.fold.configuration();
            if let Some(invalid) = configuration.unreadable_object(&kind, &name) {
                let reason = invalid.to_string();
                fx.push(log_line(ConfigurationLogLine::Unreadable {
                    offset,
                    reason,
                }));
            }
        }
        fx.push(log_line(ConfigurationLogLine::Applied {
            offset,
            kind,
            name,
            verdict,
        }));
    }

    fn merge(&mut self, delta: StateDelta, fx: &mut Vec<RelayEffect>) {
        let from = self.fold.offset();
        let merge = self.fold.merge(delta);
        let diverged = merge == Merge::Diverged;
        self.diverged |= diverged;
        if diverged || merge == Merge::Advanced {
            let through = self.fold.offset();
            fx.push(log_line(ConfigurationLogLine::Merged {
                from,
                through,
                diverged,
            }));
        }
    }

    fn checkpoint(
        &mut self,
        now: Instant,
        found: Option<(StateDelta, CheckpointInfo)>,
        fx: &mut Vec<RelayEffect>,
    ) {
        self.schedule
            .found(now, found.as_ref().map(|(_, news)| *news));
        if let Some((delta, _)) = found {
            self.merge(delta, fx);
        }
        if let Some(log) = &mut self.log {
            log.answered(now);
        }
    }

    fn frame(
        &mut self,
        now: Instant,
        link: LinkKey,
        frame: ConfigurationFrame,
        fx: &mut Vec<RelayEffect>,
    ) {
        match frame {
            ConfigurationFrame::Announce { offset, digest } => {
                self.announced(now, link, offset, digest, fx);
            }
            ConfigurationFrame::Pull { since } => self.answer(link, since, fx),
            ConfigurationFrame::Chunk(chunk) => {
                if let Some(delta) = self.peers.chunk(now, link, *chunk) {
                    self.merge(delta, fx);
                }
            }
        }
    }

    fn announced(
        &mut self,
        now: Instant,
        link: LinkKey,
        offset: Offset,
        digest: StateDigest,
        fx: &mut Vec<RelayEffect>,
    ) {
        self.peers.announced(link, offset);
        if !self.settled {
            self.settle_due.get_or_insert(now + PEER_SETTLE_TIME);
        }
        if offset == self.fold.offset() && digest != self.fold.digest() {
            self.diverged = true;
            fx.push(log_line(ConfigurationLogLine::Diverged { link, offset }));
        }
    }

    fn answer(&self, link: LinkKey, since: Offset, fx: &mut Vec<RelayEffect>) {
        if !self.complete || since >= self.fold.offset() {
            return;
        }
        for chunk in self.fold.delta(since).into_chunks() {
            let frame = ConfigurationFrame::Chunk(Box::new(chunk));
            fx.push(RelayEffect::Send { link, frame });
        }
    }

    /// Tells whether the node holds all that it knows to be accepted.
    fn holds_all(&self) -> bool {
        let held = self.fold.offset();
        let heard = self.peers.highest().is_some_and(|highest| highest <= held);
        let Some(log) = &self.log else {
            return self.complete || heard;
        };
        let by_peers = heard && self.settled && held > Offset(0);
        let known = self.complete || log.reached_end || by_peers;
        known && held >= log.needed
    }

    /// Does what follows every event.
    fn settle(&mut self, now: Instant, fx: &mut Vec<RelayEffect>) {
        let held = self.fold.offset();
        if self.settle_due.take_if(|due| *due <= now).is_some() {
            self.settled = true;
        }
        self.tell(held, fx);
        if self.complete {
            let digest = self.fold.digest();
            self.peers.announce(now, held, digest, fx);
            self.write_checkpoint(now, held, fx);
        }
        self.pull(now, held, fx);
        if let Some(log) = &mut self.log {
            fx.extend(log.take_due(now, held));
        }
        self.show(now, fx);
    }

    fn tell(&mut self, held: Offset, fx: &mut Vec<RelayEffect>) {
        let complete = self.holds_all();
        if self.complete && !complete {
            self.told = None;
            fx.push(RelayEffect::Notify(ConfigurationUpdate::Incomplete));
        }
        self.complete = complete;
        if complete && self.told != Some(held) {
            self.told = Some(held);
            fx.push(RelayEffect::Notify(ConfigurationUpdate::Configured {
                offset: held,
                configuration: self.fold.configuration().clone(),
            }));
        }
    }

    fn may_write(&self, held: Offset) -> bool {
        let log_answers = self.log.as_ref().is_some_and(|log| !log.failing);
        self.complete && log_answers && held > Offset(0)
    }

    fn write_checkpoint(&mut self, now: Instant, held: Offset, fx: &mut Vec<RelayEffect>) {
        if !self.may_write(held) {
            return;
        }
        self.schedule.folded(now, held);
        if self.schedule.take_due(now) {
            let chunks = self.fold.delta(Offset(0)).into_chunks();
            fx.push(RelayEffect::WriteCheckpoint(chunks));
        }
    }

    fn pull(&mut self, now: Instant, held: Offset, fx: &mut Vec<RelayEffect>) {
        if self.peers.highest().is_none_or(|highest| highest <= held) {
            self.behind_since = None;
            return;
        }
        self.behind_since.get_or_insert(now);
        if self.pull_due().is_some_and(|due| due <= now) {
            self.peers.pull(now, held, fx);
        }
    }

    /// Returns when a node that is behind asks a peer.
    fn pull_due(&self) -> Option<Instant> {
        let log_reads = self.log.as_ref().is_some_and(|log| !log.failing);
        let wait = if log_reads {
            LOG_HEAD_START
        } else {
            Duration::ZERO
        };
        self.behind_since.map(|since| since + wait)
    }

    fn state(&self) -> ShownState {
        ShownState {
            offset: self.fold.offset(),
            needed: self.log.as_ref().map_or(Offset(0), |log| log.needed),
            complete: self.complete,
            log_failing: self.log.as_ref().is_some_and(|log| log.failing),
            diverged: self.diverged,
        }
    }

    /// Shows a changed state to operators, unless it did so just now.
    fn show(&mut self, now: Instant, fx: &mut Vec<RelayEffect>) {
        let state = self.state();
        if self.shown == Some(state) || self.next_status > now {
            return;
        }
        self.shown = Some(state);
        self.next_status = now + STATUS_INTERVAL;
        fx.push(RelayEffect::Status(Box::new(state.status(&self.fold))));
    }
}

impl Reducer for RelayReducer {
    type Event = RelayEvent;
    type Effect = RelayEffect;

    fn reduce(&mut self, now: Instant, event: RelayEvent, fx: &mut Vec<RelayEffect>) {
        match event {
            RelayEvent::Page(page) => self.page(now, &page, fx),
            RelayEvent::Checkpoint(found) => self.checkpoint(now, found, fx),
            RelayEvent::LogReadFailed => {
                if let Some(log) = &mut self.log {
                    log.failed(now);
                }
            }
            RelayEvent::CheckpointWritten(Some(news)) => self.schedule.found(now, Some(news)),
            RelayEvent::CheckpointWritten(None) => self.schedule.failed(now),
            RelayEvent::LinkUp(link) => self.peers.up(link),
            RelayEvent::LinkDown(link) => self.peers.down(link),
            RelayEvent::Frame { link, frame } => self.frame(now, link, frame, fx),
        }
        self.settle(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<RelayEffect>) {
        self.settle(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let held = self.fold.offset();
        let writes = self.may_write(held);
        let announce = self.peers.next_announce(held).filter(|_| self.complete);
        let pull = match self.peers.pull_deadline() {
            None => self.pull_due(),
            deadline => deadline,
        };
        [
            self.log.as_ref().and_then(LogState::next_due),
            self.settle_due,
            self.schedule.next_due().filter(|_| writes),
            announce,
            pull,
            Some(self.next_status).filter(|_| self.shown != Some(self.state())),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn log_line(line: ConfigurationLogLine) -> RelayEffect {
    RelayEffect::Log(Box::new(line))
}
