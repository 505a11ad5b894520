//! Answers on their way to entries: credit, lost links, resumed streams.

use crate::reducer::{CompanionReducer, end};
use crate::runs::RunState;
use crate::timers::Timer;
use crate::{CallDecision, CompanionEffect, RunKey};
use egretstage_link::LinkKey;
use egretstage_wire::{NotRunReason, Outcome, StreamId, UnknownReason};
use std::time::{Duration, Instant};

/// How long an answer is held for an entry that lost its link or may have
/// lost the end.
const RESUME_GRACE: Duration = Duration::from_secs(5);

impl CompanionReducer {
    /// Sends the readers of a call what their entries let in.
    pub(crate) fn deliver(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let mut ended = Vec::new();
        for reader in run.readers.iter_mut().filter(|reader| !reader.ended) {
            reader.send(&run.answer, &run.state, fx);
            if reader.ended {
                ended.push(reader.stream);
            }
        }
        let chunks = run.trim();
        if chunks > 0 && run.state == RunState::Running {
            fx.push(CompanionEffect::ReadUpstream { run: key, chunks });
        }
        for stream in ended {
            self.runs.set_grace(stream, Some(now + RESUME_GRACE));
        }
        self.forget_if_unread(key);
    }

    /// Lets more chunks of a stream in.
    pub(crate) fn credit(
        &mut self,
        now: Instant,
        link: LinkKey,
        (stream, chunks): (StreamId, u32),
        fx: &mut Vec<CompanionEffect>,
    ) {
        let Some(key) = self.runs.of_stream(stream) else {
            return;
        };
        let run = self.runs.get_mut(key);
        if let Some(reader) = run.and_then(|run| run.reader_mut(stream)) {
            reader.credit(link, chunks);
        }
        self.deliver(now, key, fx);
    }

    /// Goes on with a stream on a new link.
    pub(crate) fn resume(
        &mut self,
        now: Instant,
        link: LinkKey,
        (stream, offset, credit): (StreamId, u64, u32),
        fx: &mut Vec<CompanionEffect>,
    ) {
        let forgotten = Outcome::Unknown {
            reason: UnknownReason::AnswerForgotten,
        };
        let key = self.runs.of_stream(stream);
        let Some((key, run)) = key.and_then(|key| Some((key, self.runs.get_mut(key)?))) else {
            fx.push(end(link, stream, forgotten, 0));
            return;
        };
        let Some(index) = run.readers.iter().position(|r| r.stream == stream) else {
            return;
        };
        let resumed = run.readers[index].resume(link, &run.answer, offset, credit);
        self.runs.set_grace(stream, None);
        if resumed {
            self.deliver(now, key, fx);
        } else {
            fx.push(end(link, stream, forgotten, 0));
            self.drop_reader(now, stream, fx);
        }
    }

    /// Removes a reader; a call that nobody reads is broken off if it may be
    /// repeated or was not handed to the upstream.
    pub(crate) fn drop_reader(
        &mut self,
        now: Instant,
        stream: StreamId,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let Some(key) = self.runs.remove_reader(stream) else {
            return;
        };
        let Some(run) = self.runs.get(key).filter(|run| run.readers.is_empty()) else {
            self.deliver(now, key, fx);
            return;
        };
        match run.state {
            RunState::Waiting => {
                self.refuse_waiting(now, key, NotRunReason::CallerGone, fx);
                self.fill_slots(now, fx);
            }
            RunState::Running if run.start.repeatable => {
                fx.push(CompanionEffect::CancelUpstream(key));
                self.load.removed(now, run, false);
                self.runs.remove(key);
                self.fill_slots(now, fx);
            }
            RunState::Running | RunState::Ended(_) => self.deliver(now, key, fx),
        }
    }

    /// Forgets a call that has ended, has no reader and no remembered key.
    fn forget_if_unread(&mut self, key: RunKey) {
        let done =
            |run: &crate::runs::Run| run.has_ended() && run.readers.is_empty() && run.key.is_none();
        if self.runs.get(key).is_some_and(done) {
            self.runs.remove(key);
        }
    }

    /// Keeps the streams of a lost link for a while.
    pub(crate) fn link_down(&mut self, now: Instant, link: LinkKey) {
        self.links.remove(link);
        self.load.link_down(link);
        for stream in self.runs.on_link(link) {
            let key = self.runs.of_stream(stream);
            let run = key.and_then(|key| self.runs.get_mut(key));
            if let Some(reader) = run.and_then(|run| run.reader_mut(stream)) {
                reader.link = None;
            }
            self.runs.set_grace(stream, Some(now + RESUME_GRACE));
        }
    }

    /// Gives up what is due.
    pub(crate) fn expire(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(timer) = self.runs.take_timer(now) {
            match timer {
                Timer::Deadline(stream) => self.deadline(now, stream, fx),
                Timer::Grace(stream) => self.drop_reader(now, stream, fx),
                Timer::LatestStart(key) => self.latest_start(now, key, fx),
                Timer::Limit(key) => self.limit(now, key, fx),
            }
        }
        let forgotten = self.keyed.as_mut().map(|keyed| keyed.expire(now));
        for key in forgotten.into_iter().flatten() {
            if let Some(run) = self.runs.get_mut(key) {
                run.key = None;
                self.deliver(now, key, fx);
            }
        }
    }

    /// Refuses a call that waited too long to finish in time.
    fn latest_start(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        let waits = |run: &crate::runs::Run| run.state == RunState::Waiting;
        if self.runs.get(key).is_some_and(waits) {
            self.refuse_waiting(now, key, NotRunReason::DeadlineTooClose, fx);
        }
    }

    /// Ends a stream whose budget has passed.
    fn deadline(&mut self, now: Instant, stream: StreamId, fx: &mut Vec<CompanionEffect>) {
        let Some(key) = self.runs.of_stream(stream) else {
            return;
        };
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let line = self.line(&run.start, CallDecision::Expire);
        if run.state == RunState::Waiting && run.readers.len() == 1 {
            self.refuse_waiting(now, key, NotRunReason::DeadlinePassed, fx);
            self.fill_slots(now, fx);
            return;
        }
        let run = self.runs.get_mut(key).expect("the call was just found");
        let sent = run.answer.total_bytes();
        let Some(reader) = run.reader_mut(stream).filter(|reader| !reader.ended) else {
            return;
        };
        let outcome = Outcome::Unknown {
            reason: UnknownReason::DeadlinePassed,
        };
        reader.end(outcome, sent, fx);
        fx.push(line);
        self.drop_reader(now, stream, fx);
    }

    /// Gives up a call that lasts too long.
    fn limit(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        match self.runs.get(key).map(|run| &run.state) {
            Some(RunState::Waiting) => {
                self.refuse_waiting(now, key, NotRunReason::DeadlinePassed, fx);
            }
            Some(RunState::Running) => {
                fx.push(CompanionEffect::CancelUpstream(key));
                let outcome = Outcome::Unknown {
                    reason: UnknownReason::DeadlinePassed,
                };
                self.end_run(now, key, outcome, fx);
                self.fill_slots(now, fx);
            }
            _ => {}
        }
    }
}
