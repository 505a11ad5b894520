//! Runs the relay reducer, its log reads and its checkpoint writes, each on a
//! thread of its own.

use crate::checkpoint::{newest_checkpoint, publish_checkpoint};
use crate::{
    ConfigurationLogLine, ConfigurationUpdate, PublishOutcome, RelayEffect, RelayEvent,
    RelayOptions, RelayReducer,
};
use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_config::{CONFIGURATION_STREAM, Offset};
use egretstage_link::{LinkId, LinkTable};
use egretstage_observe::StatusBoard;
use egretstage_platform::{AppendLog, PlatformError};
use egretstage_runtime::{EventLoop, EventSender};
use egretstage_wire::{ConfigurationFrame, Frame, StateChunk};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time for which one read waits for a new record.
const LOG_WAIT: Duration = Duration::from_secs(2);

/// Handle to the running relay of a node.
#[derive(Clone, Debug)]
pub struct Relay {
    events: EventSender<RelayEvent>,
}

impl Relay {
    /// Starts the relay, which calls `on_update` when a configuration becomes
    /// active or incomplete.
    ///
    /// A node without a log receives its configuration from its peers.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a thread can't be started.
    pub fn start(
        log: Option<Arc<dyn AppendLog>>,
        checkpoint_interval: Duration,
        table: LinkTable,
        board: StatusBoard,
        on_update: impl FnMut(ConfigurationUpdate) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (events, rx) = EventLoop::channel();
        let (reads, reads_rx) = unbounded();
        let (writes, writes_rx) = unbounded();
        let options = RelayOptions {
            reads_log: log.is_some(),
            checkpoint_interval,
            seed: rand::random(),
        };
        if let Some(log) = log {
            start_log_threads(&log, checkpoint_interval, &events, reads_rx, writes_rx)?;
        }
        let mut executor = EffectExecutor {
            reads,
            writes,
            table,
            board,
            on_update: Box::new(on_update),
        };
        EventLoop::spawn("configuration", rx, move || {
            let reducer = RelayReducer::new(Instant::now(), options);
            (reducer, Box::new(move |effect| executor.execute(effect)))
        })?;
        Ok(Self { events })
    }

    /// Reports that a link opened.
    pub fn link_up(&self, link: LinkId) {
        self.events.send(RelayEvent::LinkUp(link));
    }

    /// Reports that a link closed.
    pub fn link_down(&self, link: LinkId) {
        self.events.send(RelayEvent::LinkDown(link));
    }

    /// Reports a configuration frame that arrived on a link.
    pub fn frame_received(&self, link: LinkId, frame: ConfigurationFrame) {
        self.events.send(RelayEvent::Frame { link, frame });
    }
}

/// A read that the reader thread carries out.
enum ReadCommand {
    Checkpoint,
    Records { from: Offset },
}

/// Starts the threads that read records and write checkpoints, so that a slow
/// write doesn't delay a read.
fn start_log_threads(
    log: &Arc<dyn AppendLog>,
    interval: Duration,
    events: &EventSender<RelayEvent>,
    reads: Receiver<ReadCommand>,
    writes: Receiver<Vec<StateChunk>>,
) -> std::io::Result<()> {
    let (record_log, tx) = (Arc::clone(log), events.clone());
    std::thread::Builder::new()
        .name("log-reader".to_owned())
        .spawn(move || {
            for command in reads {
                tx.send(run_read(record_log.as_ref(), &command));
            }
        })?;
    let (checkpoint_log, tx) = (Arc::clone(log), events.clone());
    std::thread::Builder::new()
        .name("checkpoints".to_owned())
        .spawn(move || {
            for chunks in writes {
                tx.send(run_write(checkpoint_log.as_ref(), &chunks, interval));
            }
        })?;
    Ok(())
}

/// Carries out a read and returns the event with the result.
fn run_read(log: &dyn AppendLog, command: &ReadCommand) -> RelayEvent {
    let answer = match command {
        ReadCommand::Checkpoint => read_checkpoint(log),
        ReadCommand::Records { from } => log
            .read(CONFIGURATION_STREAM, from.0, LOG_WAIT)
            .map(RelayEvent::Page),
    };
    answer.unwrap_or_else(|e| {
        log::warn!(error:display = e; "configuration log read failed");
        RelayEvent::LogReadFailed
    })
}

fn read_checkpoint(log: &dyn AppendLog) -> Result<RelayEvent, PlatformError> {
    let found = newest_checkpoint(log)?;
    Ok(RelayEvent::Checkpoint(found.map(|found| {
        let info = found.info();
        (found.delta, info)
    })))
}

/// Writes a checkpoint and returns the event with the result.
fn run_write(log: &dyn AppendLog, chunks: &[StateChunk], interval: Duration) -> RelayEvent {
    match publish_checkpoint(log, chunks, interval) {
        Ok(PublishOutcome::Written(info)) => {
            log::info!(through = info.through.0, parts = chunks.len(); "checkpoint written");
            RelayEvent::CheckpointWritten(Some(info))
        }
        Ok(PublishOutcome::AlreadyWritten(info)) => RelayEvent::CheckpointWritten(Some(info)),
        Ok(PublishOutcome::Claimed) => RelayEvent::CheckpointWritten(None),
        Err(e) => {
            log::warn!(error:display = e; "configuration checkpoint write failed");
            RelayEvent::CheckpointWritten(None)
        }
    }
}

/// Executes the effects of the reducer.
struct EffectExecutor {
    reads: Sender<ReadCommand>,
    writes: Sender<Vec<StateChunk>>,
    table: LinkTable,
    board: StatusBoard,
    on_update: Box<dyn FnMut(ConfigurationUpdate) + Send>,
}

impl EffectExecutor {
    fn execute(&mut self, effect: RelayEffect) {
        match effect {
            RelayEffect::ReadCheckpoint => {
                let _ = self.reads.send(ReadCommand::Checkpoint);
            }
            RelayEffect::ReadLog { from } => {
                let _ = self.reads.send(ReadCommand::Records { from });
            }
            RelayEffect::WriteCheckpoint(chunks) => {
                let _ = self.writes.send(chunks);
            }
            RelayEffect::Send { link, frame } => {
                self.table.send(link, Frame::Configuration(frame));
            }
            RelayEffect::Log(line) => write_log_line(&line),
            RelayEffect::Notify(update) => (self.on_update)(update),
            RelayEffect::Status(status) => self.board.set_configuration(*status),
        }
    }
}

fn write_log_line(line: &ConfigurationLogLine) {
    match line {
        ConfigurationLogLine::Applied {
            offset,
            kind,
            name,
            verdict,
        } => {
            log::info!(
                offset = offset.0,
                kind:display = kind,
                name:display = name,
                verdict:display = verdict;
                "configuration record"
            );
        }
        ConfigurationLogLine::Unreadable { offset, reason } => {
            log::error!(offset = offset.0, reason = reason.as_str(); "an accepted body can't be read");
        }
        ConfigurationLogLine::Malformed { offset, reason } => {
            log::warn!(offset = offset.0, reason = reason.as_str(); "log record is not a configuration record; skipped");
        }
        ConfigurationLogLine::Merged {
            from,
            through,
            diverged,
        } => {
            log::info!(from = from.0, through = through.0, diverged = *diverged; "configuration merged");
        }
        ConfigurationLogLine::Gap { held, needed } => {
            log::error!(held = held.0, needed = needed.0; "the log has dropped records that are needed");
        }
        ConfigurationLogLine::LogBehind { held, last } => {
            log::warn!(held = held.0, last = last.0; "the log ends below what is held");
        }
        ConfigurationLogLine::Diverged { link, offset } => {
            log::error!(link = link.0, offset = offset.0; "a peer holds another state");
        }
    }
}
