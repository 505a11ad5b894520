//! Runs the relay on threads of its own.

use crate::checkpoint::{newest_checkpoint, publish_checkpoint};
use crate::{
    ConfigurationLogLine, ConfigurationUpdate, PublishOutcome, RelayEffect, RelayEvent,
    RelayOptions, RelayReducer,
};
use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_config::{CONFIGURATION_STREAM, Offset};
use egretstage_link::{LinkKey, LinkTable};
use egretstage_observe::StatusBoard;
use egretstage_platform::{AppendLog, PlatformError};
use egretstage_runtime::{EventLoop, EventSender};
use egretstage_wire::{ConfigurationFrame, Frame, StateChunk};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait of one read for a new record.
const LOG_WAIT: Duration = Duration::from_secs(2);

/// The running relay of a node.
#[derive(Clone, Debug)]
pub struct Relay {
    events: EventSender<RelayEvent>,
}

impl Relay {
    /// Starts the relay; `tell` hears of each configuration.
    ///
    /// A node without a log gets its configuration from its peers.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a thread can't be started.
    pub fn start(
        log: Option<Arc<dyn AppendLog>>,
        checkpoint_interval: Duration,
        table: LinkTable,
        board: StatusBoard,
        tell: impl FnMut(ConfigurationUpdate) + Send + 'static,
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
        let mut sink = Sink {
            reads,
            writes,
            table,
            board,
            tell: Box::new(tell),
        };
        EventLoop::spawn("configuration", rx, move || {
            let reducer = RelayReducer::new(Instant::now(), options);
            (reducer, Box::new(move |effect| sink.carry_out(effect)))
        })?;
        Ok(Self { events })
    }

    /// Passes on that a link is open.
    pub fn link_up(&self, link: LinkKey) {
        self.events.send(RelayEvent::LinkUp(link));
    }

    /// Passes on that a link has ended.
    pub fn link_down(&self, link: LinkKey) {
        self.events.send(RelayEvent::LinkDown(link));
    }

    /// Passes a frame on.
    pub fn frame_received(&self, link: LinkKey, frame: ConfigurationFrame) {
        self.events.send(RelayEvent::Frame { link, frame });
    }
}

/// What the reading thread is asked for.
enum ReadCommand {
    Checkpoint,
    Records { from: Offset },
}

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
                tx.send(read(record_log.as_ref(), &command));
            }
        })?;
    let (checkpoint_log, tx) = (Arc::clone(log), events.clone());
    std::thread::Builder::new()
        .name("checkpoints".to_owned())
        .spawn(move || {
            for chunks in writes {
                tx.send(write(checkpoint_log.as_ref(), &chunks, interval));
            }
        })?;
    Ok(())
}

fn read(log: &dyn AppendLog, command: &ReadCommand) -> RelayEvent {
    let answer = match command {
        ReadCommand::Checkpoint => read_checkpoint(log),
        ReadCommand::Records { from } => log
            .read(CONFIGURATION_STREAM, from.0, LOG_WAIT)
            .map(RelayEvent::Page),
    };
    answer.unwrap_or_else(|e| {
        log::warn!(error:display = e; "the log can't be read");
        RelayEvent::LogReadFailed
    })
}

fn read_checkpoint(log: &dyn AppendLog) -> Result<RelayEvent, PlatformError> {
    let found = newest_checkpoint(log)?;
    Ok(RelayEvent::Checkpoint(found.map(|found| {
        let news = found.info();
        (found.delta, news)
    })))
}

fn write(log: &dyn AppendLog, chunks: &[StateChunk], interval: Duration) -> RelayEvent {
    match publish_checkpoint(log, chunks, interval) {
        Ok(PublishOutcome::Written(news)) => {
            log::info!(through = news.through.0, parts = chunks.len(); "checkpoint written");
            RelayEvent::CheckpointWritten(Some(news))
        }
        Ok(PublishOutcome::AlreadyWritten(news)) => RelayEvent::CheckpointWritten(Some(news)),
        Ok(PublishOutcome::Claimed) => RelayEvent::CheckpointWritten(None),
        Err(e) => {
            log::warn!(error:display = e; "a checkpoint can't be written");
            RelayEvent::CheckpointWritten(None)
        }
    }
}

/// Carries out the reducer's effects.
struct Sink {
    reads: Sender<ReadCommand>,
    writes: Sender<Vec<StateChunk>>,
    table: LinkTable,
    board: StatusBoard,
    tell: Box<dyn FnMut(ConfigurationUpdate) + Send>,
}

impl Sink {
    fn carry_out(&mut self, effect: RelayEffect) {
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
            RelayEffect::Log(line) => log_change(&line),
            RelayEffect::Notify(news) => (self.tell)(news),
            RelayEffect::Status(status) => self.board.set_configuration(*status),
        }
    }
}

fn log_change(line: &ConfigurationLogLine) {
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
            log::warn!(offset = offset.0, reason = reason.as_str(); "not a configuration record");
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
