//! Decides how a node keeps its configuration current.

use crate::log_state::LogReadState;
use crate::peers::Peers;
use crate::schedule::CheckpointSchedule;
use crate::status::StatusInputs;
use crate::{CheckpointInfo, ConfigurationLogLine, ConfigurationUpdate, RelayEffect, RelayEvent};
use egretstage_config::{ConfigurationFold, MergeOutcome, Offset, Record, StateDelta, Verdict};
use egretstage_link::LinkId;
use egretstage_platform::{LogPage, LogRecord};
use egretstage_runtime::Reducer;
use egretstage_wire::{ConfigurationFrame, StateDigest};
use std::time::{Duration, Instant};

/// Time that peers have to announce their offsets, before a node that hasn't
/// reached the end of the log assumes that the highest of them covers all
/// accepted changes.
pub const PEER_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time that the log has to deliver a change before the node pulls it from a
/// peer.
const PEER_PULL_DELAY: Duration = Duration::from_secs(1);

/// Shortest time between two status snapshots.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a node's relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayOptions {
    /// Whether the node reads the log; otherwise it relies on its peers.
    pub reads_log: bool,
    /// Time between two checkpoints.
    pub checkpoint_interval: Duration,
    /// Seed of the random delays.
    pub seed: u64,
}

/// Decides what a node reads, pulls, announces and writes, and whether it holds
/// all accepted changes.
#[derive(Debug)]
pub struct RelayReducer {
    fold: ConfigurationFold,
    log: Option<LogReadState>,
    peers: Peers,
    schedule: CheckpointSchedule,
    /// Whether the node holds all changes that it knows to be accepted.
    complete: bool,
    /// Offset of the configuration that the process was last notified of.
    published_offset: Option<Offset>,
    /// Whether `PEER_SETTLE_TIME` has passed since the first announcement.
    peers_settled: bool,
    peers_settle_at: Option<Instant>,
    /// Since when a peer has held a higher offset than this node.
    behind_since: Option<Instant>,
    /// Whether a peer or a checkpoint differed from this node at one offset.
    diverged: bool,
    /// Earliest time of the next status snapshot.
    next_status_at: Instant,
    last_status: Option<StatusInputs>,
}

impl RelayReducer {
    /// Creates the reducer of a node that holds no configuration yet.
    #[must_use]
    pub fn new(now: Instant, options: RelayOptions) -> Self {
        Self {
            fold: ConfigurationFold::default(),
            log: options
                .reads_log
                .then(|| LogReadState::new(now, options.seed)),
            peers: Peers::default(),
            schedule: CheckpointSchedule::new(options.checkpoint_interval, options.seed),
            complete: false,
            published_offset: None,
            peers_settled: false,
            peers_settle_at: None,
            behind_since: None,
            diverged: false,
            next_status_at: now,
            last_status: None,
        }
    }

    /// Returns the fold of all records that the node has read.
    #[must_use]
    pub fn fold(&self) -> &ConfigurationFold {
        &self.fold
    }

    /// Returns whether the node holds all changes that it knows to be accepted.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Applies a page of log records.
    fn handle_page(&mut self, now: Instant, page: &LogPage, fx: &mut Vec<RelayEffect>) {
        let Some(log) = self.log.as_mut() else {
            return;
        };
        let held = self.fold.offset();
        let needed = Offset(page.first.saturating_sub(1));
        if needed > held {
            fx.push(log_line(ConfigurationLogLine::Gap { held, needed }));
            log.records_dropped(now, needed);
            return;
        }
        log.read_answered(now);
        for log_record in &page.records {
            self.apply_record(log_record, fx);
        }
        let last = Offset(page.next.saturating_sub(1));
        let held = self.fold.offset();
        if last < held {
            fx.push(log_line(ConfigurationLogLine::LogBehind { held, last }));
        } else if let Some(log) = self.log.as_mut().filter(|_| last == held) {
            log.reached_end = true;
        }
    }

    /// Applies a log record; skips one that isn't a configuration record.
    fn apply_record(&mut self, log_record: &LogRecord, fx: &mut Vec<RelayEffect>) {
        let offset = Offset(log_record.offset);
        if offset <= self.fold.offset() {
            return;
        }
        let record = match serde_json::from_value::<Record>(log_record.data.clone()) {
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
            if let Some(unreadable) = configuration.unreadable_object(&kind, &name) {
                let reason = unreadable.to_string();
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

    /// Merges state from a peer or a checkpoint.
    fn merge(&mut self, delta: StateDelta, fx: &mut Vec<RelayEffect>) {
        let from = self.fold.offset();
        let merge = self.fold.merge(delta);
        let diverged = merge == MergeOutcome::Diverged;
        self.diverged |= diverged;
        if diverged || merge == MergeOutcome::Advanced {
            let through = self.fold.offset();
            fx.push(log_line(ConfigurationLogLine::Merged {
                from,
                through,
                diverged,
            }));
        }
    }

    fn handle_checkpoint(
        &mut self,
        now: Instant,
        found: Option<(StateDelta, CheckpointInfo)>,
        fx: &mut Vec<RelayEffect>,
    ) {
        self.schedule
            .reschedule(now, found.as_ref().map(|(_, info)| *info));
        if let Some((delta, _)) = found {
            self.merge(delta, fx);
        }
        if let Some(log) = &mut self.log {
            log.read_answered(now);
        }
    }

    fn handle_frame(
        &mut self,
        now: Instant,
        link: LinkId,
        frame: ConfigurationFrame,
        fx: &mut Vec<RelayEffect>,
    ) {
        match frame {
            ConfigurationFrame::Announce { offset, digest } => {
                self.handle_announcement(now, link, offset, digest, fx);
            }
            ConfigurationFrame::Pull { since } => self.answer_pull(link, since, fx),
            ConfigurationFrame::Chunk(chunk) => {
                if let Some(delta) = self.peers.receive_chunk(now, link, *chunk) {
                    self.merge(delta, fx);
                }
            }
        }
    }

    /// Handles the offset and digest that a peer announced.
    fn handle_announcement(
        &mut self,
        now: Instant,
        link: LinkId,
        offset: Offset,
        digest: StateDigest,
        fx: &mut Vec<RelayEffect>,
    ) {
        self.peers.peer_announced(link, offset);
        if !self.peers_settled {
            self.peers_settle_at.get_or_insert(now + PEER_SETTLE_TIME);
        }
        if offset == self.fold.offset() && digest != self.fold.digest() {
            self.diverged = true;
            fx.push(log_line(ConfigurationLogLine::Diverged { link, offset }));
        }
    }

    /// Sends a peer the state after an offset; sends nothing if this node may
    /// lack changes itself.
    fn answer_pull(&self, link: LinkId, since: Offset, fx: &mut Vec<RelayEffect>) {
        if !self.complete || since >= self.fold.offset() {
            return;
        }
        for chunk in self.fold.delta(since).into_chunks() {
            let frame = ConfigurationFrame::Chunk(Box::new(chunk));
            fx.push(RelayEffect::Send { link, frame });
        }
    }

    /// Returns whether the node holds all changes that it knows to be accepted.
    ///
    /// A node becomes complete when a read reaches the end of the log or when it
    /// holds the highest offset that its peers announced. If it reads the log, peers
    /// count only [`PEER_SETTLE_TIME`] after their first announcement. It stays
    /// complete until it finds that the log has dropped records that it lacks.
    fn holds_all_accepted(&self) -> bool {
        let held = self.fold.offset();
        let reaches_peers = self
            .peers
            .highest_offset()
            .is_some_and(|highest| highest <= held);
        let Some(log) = &self.log else {
            return self.complete || reaches_peers;
        };
        let complete_by_peers = reaches_peers && self.peers_settled && held > Offset(0);
        let known = self.complete || log.reached_end || complete_by_peers;
        known && held >= log.needed
    }

    /// Updates the state and requests the effects that are due, after every event
    /// and wake-up.
    fn update_state(&mut self, now: Instant, fx: &mut Vec<RelayEffect>) {
        let held = self.fold.offset();
        if self.peers_settle_at.take_if(|due| *due <= now).is_some() {
            self.peers_settled = true;
        }
        self.notify(held, fx);
        if self.complete {
            let digest = self.fold.digest();
            self.peers.announce(now, held, digest, fx);
            self.write_checkpoint(now, held, fx);
        }
        self.pull_if_behind(now, held, fx);
        if let Some(log) = &mut self.log {
            fx.extend(log.take_due_read(now, held));
        }
        self.publish_status(now, fx);
    }

    /// Notifies the process of a new configuration, or that changes are missing.
    fn notify(&mut self, held: Offset, fx: &mut Vec<RelayEffect>) {
        let complete = self.holds_all_accepted();
        if self.complete && !complete {
            self.published_offset = None;
            fx.push(RelayEffect::Notify(ConfigurationUpdate::Incomplete));
        }
        self.complete = complete;
        if complete && self.published_offset != Some(held) {
            self.published_offset = Some(held);
            fx.push(RelayEffect::Notify(ConfigurationUpdate::Configured {
                offset: held,
                configuration: self.fold.configuration().clone(),
            }));
        }
    }

    /// Returns whether the node may write checkpoints.
    fn may_write_checkpoint(&self, held: Offset) -> bool {
        let log_available = self.log.as_ref().is_some_and(|log| !log.failing);
        self.complete && log_available && held > Offset(0)
    }

    fn write_checkpoint(&mut self, now: Instant, held: Offset, fx: &mut Vec<RelayEffect>) {
        if !self.may_write_checkpoint(held) {
            return;
        }
        self.schedule.offset_advanced(now, held);
        if self.schedule.take_due(now) {
            let chunks = self.fold.delta(Offset(0)).into_chunks();
            fx.push(RelayEffect::WriteCheckpoint(chunks));
        }
    }

    /// Pulls state from a peer that has held a higher offset for long enough.
    fn pull_if_behind(&mut self, now: Instant, held: Offset, fx: &mut Vec<RelayEffect>) {
        if self
            .peers
            .highest_offset()
            .is_none_or(|highest| highest <= held)
        {
            self.behind_since = None;
            return;
        }
        self.behind_since.get_or_insert(now);
        if self.pull_due_at().is_some_and(|due| due <= now) {
            self.peers.pull_state(now, held, fx);
        }
    }

    /// Returns when a node that is behind pulls state from a peer.
    fn pull_due_at(&self) -> Option<Instant> {
        let log_available = self.log.as_ref().is_some_and(|log| !log.failing);
        let wait = if log_available {
            PEER_PULL_DELAY
        } else {
            Duration::ZERO
        };
        self.behind_since.map(|since| since + wait)
    }

    fn status_inputs(&self) -> StatusInputs {
        StatusInputs {
            offset: self.fold.offset(),
            needed: self.log.as_ref().map_or(Offset(0), |log| log.needed),
            complete: self.complete,
            log_failing: self.log.as_ref().is_some_and(|log| log.failing),
            diverged: self.diverged,
        }
    }

    /// Publishes the status if it has changed, unless the last status is too
    /// recent.
    fn publish_status(&mut self, now: Instant, fx: &mut Vec<RelayEffect>) {
        let inputs = self.status_inputs();
        if self.last_status == Some(inputs) || self.next_status_at > now {
            return;
        }
        self.last_status = Some(inputs);
        self.next_status_at = now + STATUS_INTERVAL;
        fx.push(RelayEffect::Status(Box::new(inputs.status(&self.fold))));
    }
}

impl Reducer for RelayReducer {
    type Event = RelayEvent;
    type Effect = RelayEffect;

    fn reduce(&mut self, now: Instant, event: RelayEvent, fx: &mut Vec<RelayEffect>) {
        match event {
            RelayEvent::Page(page) => self.handle_page(now, &page, fx),
            RelayEvent::Checkpoint(found) => self.handle_checkpoint(now, found, fx),
            RelayEvent::LogReadFailed => {
                if let Some(log) = &mut self.log {
                    log.read_failed(now);
                }
            }
            RelayEvent::CheckpointWritten(Some(info)) => self.schedule.reschedule(now, Some(info)),
            RelayEvent::CheckpointWritten(None) => self.schedule.retry_later(now),
            RelayEvent::LinkUp(link) => self.peers.link_up(link),
            RelayEvent::LinkDown(link) => self.peers.link_down(link),
            RelayEvent::Frame { link, frame } => self.handle_frame(now, link, frame, fx),
        }
        self.update_state(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<RelayEffect>) {
        self.update_state(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let held = self.fold.offset();
        let may_write = self.may_write_checkpoint(held);
        let announce = self.peers.next_announce(held).filter(|_| self.complete);
        let pull = match self.peers.pull_deadline() {
            None => self.pull_due_at(),
            deadline => deadline,
        };
        [
            self.log.as_ref().and_then(LogReadState::next_due),
            self.peers_settle_at,
            self.schedule.next_due().filter(|_| may_write),
            announce,
            pull,
            Some(self.next_status_at).filter(|_| self.last_status != Some(self.status_inputs())),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn log_line(line: ConfigurationLogLine) -> RelayEffect {
    RelayEffect::Log(Box::new(line))
}
