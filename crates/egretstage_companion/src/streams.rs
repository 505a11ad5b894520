//! Streams answers to entries: flow control, lost links, resumed streams and
//! timeouts.

use crate::reducer::{CompanionReducer, end_effect};
use crate::runs::RunState;
use crate::timers::Timer;
use crate::{CallDecision, CompanionEffect, RunKey};
use egretstage_link::LinkId;
use egretstage_wire::{NotRunReason, Outcome, StreamId, UnknownReason};
use std::time::{Duration, Instant};

/// How long a stream is kept after its link was lost or its terminal frame was
/// sent, so that the entry can resume it.
const RESUME_GRACE: Duration = Duration::from_secs(5);

impl CompanionReducer {
    /// Sends to all readers of a call what their credit allows, and allows the
    /// upstream to send more.
    pub(crate) fn deliver(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let mut ended = Vec::new();
        for reader in run.readers.iter_mut().filter(|reader| !reader.ended) {
            reader.send_available(&run.answer, &run.state, fx);
            if reader.ended {
                ended.push(reader.stream);
            }
        }
        let chunks = run.trim();
        if chunks > 0 && run.state == RunState::Running {
            fx.push(CompanionEffect::ReadUpstream { run: key, chunks });
        }
        for stream in ended {
            self.runs.set_grace_end(stream, Some(now + RESUME_GRACE));
        }
        self.remove_if_unneeded(key);
    }

    /// Handles a frame that adds credit to a stream.
    pub(crate) fn handle_credit(
        &mut self,
        now: Instant,
        link: LinkId,
        (stream, chunks): (StreamId, u32),
        fx: &mut Vec<CompanionEffect>,
    ) {
        let Some(key) = self.runs.find_by_stream(stream) else {
            return;
        };
        let run = self.runs.get_mut(key);
        if let Some(reader) = run.and_then(|run| run.reader_mut(stream)) {
            reader.add_credit(link, chunks);
        }
        self.deliver(now, key, fx);
    }

    /// Continues a stream on a new link.
    pub(crate) fn handle_resume(
        &mut self,
        now: Instant,
        link: LinkId,
        (stream, offset, credit): (StreamId, u64, u32),
        fx: &mut Vec<CompanionEffect>,
    ) {
        let forgotten = Outcome::Unknown {
            reason: UnknownReason::AnswerForgotten,
        };
        let key = self.runs.find_by_stream(stream);
        let Some((key, run)) = key.and_then(|key| Some((key, self.runs.get_mut(key)?))) else {
            fx.push(end_effect(link, stream, forgotten, 0));
            return;
        };
        let Some(index) = run.readers.iter().position(|r| r.stream == stream) else {
            return;
        };
        let resumed = run.readers[index].resume(link, &run.answer, offset, credit);
        self.runs.set_grace_end(stream, None);
        if resumed {
            self.deliver(now, key, fx);
        } else {
            fx.push(end_effect(link, stream, forgotten, 0));
            self.drop_reader(now, stream, fx);
        }
    }

    /// Removes a reader. A call without readers is cancelled if it still waits or
    /// is repeatable.
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
                self.end_unstarted(now, key, NotRunReason::CallerGone, fx);
                self.fill_slots(now, fx);
            }
            RunState::Running if run.start.repeatable => {
                fx.push(CompanionEffect::CancelUpstream(key));
                self.load.record_removal(now, run, false);
                self.runs.remove(key);
                self.fill_slots(now, fx);
            }
            RunState::Running | RunState::Ended(_) => self.deliver(now, key, fx),
        }
    }

    /// Removes a call that has ended and has neither readers nor a remembered key.
    fn remove_if_unneeded(&mut self, key: RunKey) {
        let unneeded = |run: &crate::runs::Run| {
            run.has_ended() && run.readers.is_empty() && run.key_id.is_none()
        };
        if self.runs.get(key).is_some_and(unneeded) {
            self.runs.remove(key);
        }
    }

    /// Handles the loss of a link; its streams are kept for [`RESUME_GRACE`].
    pub(crate) fn handle_link_down(&mut self, now: Instant, link: LinkId) {
        self.links.remove(link);
        self.load.link_down(link);
        for stream in self.runs.streams_on_link(link) {
            let key = self.runs.find_by_stream(stream);
            let run = key.and_then(|key| self.runs.get_mut(key));
            if let Some(reader) = run.and_then(|run| run.reader_mut(stream)) {
                reader.link = None;
            }
            self.runs.set_grace_end(stream, Some(now + RESUME_GRACE));
        }
    }

    /// Handles all timers that are due and forgets expired keys.
    pub(crate) fn run_due_timers(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(timer) = self.runs.pop_due_timer(now) {
            match timer {
                Timer::Deadline(stream) => self.handle_deadline(now, stream, fx),
                Timer::GraceEnd(stream) => self.drop_reader(now, stream, fx),
                Timer::LatestStart(key) => self.handle_latest_start(now, key, fx),
                Timer::Abort(key) => self.abort_run(now, key, fx),
            }
        }
        let forgotten = self.keyed.as_mut().map(|keyed| keyed.expire(now));
        for key in forgotten.into_iter().flatten() {
            if let Some(run) = self.runs.get_mut(key) {
                run.key_id = None;
                self.deliver(now, key, fx);
            }
        }
    }

    /// Ends a call that has waited so long that it can't finish in time.
    fn handle_latest_start(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        let is_waiting = |run: &crate::runs::Run| run.state == RunState::Waiting;
        if self.runs.get(key).is_some_and(is_waiting) {
            self.end_unstarted(now, key, NotRunReason::DeadlineTooClose, fx);
        }
    }

    /// Ends a stream whose budget has passed.
    fn handle_deadline(&mut self, now: Instant, stream: StreamId, fx: &mut Vec<CompanionEffect>) {
        let Some(key) = self.runs.find_by_stream(stream) else {
            return;
        };
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let line = self.log_effect(&run.start, CallDecision::Expire);
        if run.state == RunState::Waiting && run.readers.len() == 1 {
            self.end_unstarted(now, key, NotRunReason::DeadlinePassed, fx);
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
        reader.send_end(outcome, sent, fx);
        fx.push(line);
        self.drop_reader(now, stream, fx);
    }

    /// Aborts a call that has lasted too long.
    fn abort_run(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        match self.runs.get(key).map(|run| &run.state) {
            Some(RunState::Waiting) => {
                self.end_unstarted(now, key, NotRunReason::DeadlinePassed, fx);
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
