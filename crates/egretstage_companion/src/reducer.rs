//! The companion's reducer, which makes all its decisions.

use crate::answer::Head;
use crate::keyed::{KeyOptions, KeyedCalls};
use crate::links::EntryLinks;
use crate::load::LoadMeter;
use crate::runs::{Run, RunState, Runs};
use crate::{CallDecision, CompanionEffect, CompanionEvent, DecisionLine, RunKey, UpstreamFailure};
use compact_str::CompactString;
use egretstage_config::Configuration;
use egretstage_link::LinkKey;
use egretstage_observe::{StatusSchedule, WorkStatus};
use egretstage_routing::AdmissionRefusal;
use egretstage_runtime::Reducer;
use egretstage_wire::{
    CallStart, Frame, NotRunReason, Outcome, Role, StreamEnd, StreamId, UnknownReason,
};
use std::sync::Arc;
use std::time::Instant;

/// Limits of a companion's decisions.
#[derive(Clone, Copy, Debug)]
pub struct CompanionLimits {
    /// Maximum number of calls that the upstream runs at once.
    pub slots: u32,
}

/// Makes all decisions of a companion.
#[derive(Debug)]
pub struct CompanionReducer {
    pub(crate) limits: CompanionLimits,
    pub(crate) links: EntryLinks,
    pub(crate) runs: Runs,
    pub(crate) load: LoadMeter,
    pub(crate) keyed: Option<KeyedCalls>,
    pub(crate) leaving: bool,
    exited: bool,
    configuration: Option<Arc<Configuration>>,
    status: StatusSchedule,
}

impl CompanionReducer {
    /// Creates the reducer of a companion without links.
    #[must_use]
    pub fn new(now: Instant, limits: CompanionLimits) -> Self {
        Self {
            limits,
            links: EntryLinks::new(now),
            runs: Runs::default(),
            load: LoadMeter::default(),
            keyed: None,
            leaving: false,
            exited: false,
            configuration: None,
            status: StatusSchedule::default(),
        }
    }

    /// Returns the active configuration; none until an entry has sent it.
    #[must_use]
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_deref()
    }

    /// Lets the companion own idempotency keys of a plain service.
    #[must_use]
    pub fn with_keys(mut self, options: KeyOptions) -> Self {
        self.keyed = Some(KeyedCalls::new(options));
        self
    }

    /// Returns the effect that logs a decision on a call.
    pub(crate) fn log_effect(&self, start: &CallStart, decision: CallDecision) -> CompanionEffect {
        CompanionEffect::Log(Box::new(DecisionLine {
            request: start.request.clone(),
            stream: start.stream,
            decision,
            running: self.runs.running(),
            waiting: self.runs.waiting(),
            budget_ms: start.budget_ms,
        }))
    }

    fn handle_frame(
        &mut self,
        now: Instant,
        link: LinkKey,
        frame: Frame,
        fx: &mut Vec<CompanionEffect>,
    ) {
        match frame {
            Frame::Start(start) => self.handle_start(now, link, start, fx),
            Frame::Cancel(stream) => self.drop_reader(now, stream, fx),
            Frame::Credit { stream, chunks } => self.handle_credit(now, link, (stream, chunks), fx),
            Frame::Resume {
                stream,
                offset,
                credit,
            } => self.handle_resume(now, link, (stream, offset, credit), fx),
            Frame::LeavingNoted => self.links.record_leaving_noted(link),
            Frame::Hello(_)
            | Frame::Head(_)
            | Frame::Chunk(_)
            | Frame::End(_)
            | Frame::Load(_)
            | Frame::Leaving
            | Frame::Group(_)
            | Frame::Owners(_)
            | Frame::AskFormerOwner { .. } => fx.push(CompanionEffect::Close(link)),
            Frame::Configuration(_) => {}
        }
    }

    /// Handles the head of an answer.
    fn handle_head(
        &mut self,
        now: Instant,
        key: RunKey,
        status: u16,
        content_type: Option<CompactString>,
        fx: &mut Vec<CompanionEffect>,
    ) {
        if let Some(run) = self.runs.get_mut(key) {
            run.answer.head = Some(Head {
                status,
                content_type,
            });
            self.deliver(now, key, fx);
        }
    }

    fn handle_failure(
        &mut self,
        now: Instant,
        key: RunKey,
        failure: UpstreamFailure,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let not_run = |reason| Outcome::NotRun {
            reason,
            retry_after_ms: None,
        };
        let outcome = match failure {
            UpstreamFailure::NotSent => not_run(NotRunReason::UpstreamUnreachable),
            UpstreamFailure::TooLate => not_run(NotRunReason::DeadlinePassed),
            UpstreamFailure::Broken => Outcome::Unknown {
                reason: UnknownReason::UpstreamCut,
            },
        };
        self.end_if_running(now, key, outcome, fx);
    }

    /// Ends a call that the upstream runs, and starts the next ones.
    fn end_if_running(
        &mut self,
        now: Instant,
        key: RunKey,
        outcome: Outcome,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let is_running = |run: &Run| run.state == RunState::Running;
        if self.runs.get(key).is_some_and(is_running) {
            self.end_run(now, key, outcome, fx);
            self.fill_slots(now, fx);
        }
    }

    /// Sends changed owners to all entries and appends the next record of this
    /// companion to the owners stream if one is due.
    fn maintain_ownership(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        let Some(keyed) = &mut self.keyed else {
            return;
        };
        if let Some(frame) = keyed.take_changed_owners_frame() {
            for link in self.links.keys() {
                let frame = frame.clone();
                fx.push(CompanionEffect::Send { link, frame });
            }
        }
        fx.extend(keyed.next_append(now));
    }

    fn handle_stop(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        if !std::mem::replace(&mut self.leaving, true) {
            if let Some(keyed) = &mut self.keyed {
                keyed.leave(now);
            }
            fx.push(CompanionEffect::SetReady(false));
            for link in self.links.keys() {
                fx.push(CompanionEffect::Send {
                    link,
                    frame: Frame::Leaving,
                });
            }
        }
    }

    fn send_load_reports(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        let received = self.links.received_starts();
        let reports = self
            .load
            .take_due_reports(now, received, &self.runs, self.limits.slots);
        for (link, load) in reports {
            let frame = Frame::Load(load);
            fx.push(CompanionEffect::Send { link, frame });
        }
    }

    /// Publishes the companion's state on the status page if it has changed.
    fn publish_status(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        if !self.status.take_due(now) {
            return;
        }
        let leaving = self.leaving;
        let status = WorkStatus {
            ready: !leaving,
            not_ready_because: leaving.then(|| "stopping".into()).into_iter().collect(),
            load: Some(self.load.report(&self.runs, self.limits.slots)),
            ..WorkStatus::default()
        };
        if let Some(status) = self.status.take_changed(status) {
            fx.push(CompanionEffect::PublishStatus(Box::new(status)));
        }
    }

    /// Maintains key ownership, and ends a planned stop once all calls have ended,
    /// no entry will send more and the keys have been left.
    fn maintain_ownership_and_exit(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        self.maintain_ownership(now, fx);
        let keys_released = self.keyed.as_ref().is_none_or(KeyedCalls::may_exit);
        let may_exit = self.leaving && self.links.all_acknowledged_leaving() && keys_released;
        if may_exit && self.runs.all_delivered() && !std::mem::replace(&mut self.exited, true) {
            fx.push(CompanionEffect::Exit);
        }
    }
}

impl Reducer for CompanionReducer {
    type Event = CompanionEvent;
    type Effect = CompanionEffect;

    fn reduce(&mut self, now: Instant, event: CompanionEvent, fx: &mut Vec<CompanionEffect>) {
        match event {
            CompanionEvent::LinkUp { link, hello } => {
                if hello.role == Role::Entry {
                    self.links.insert(link);
                    self.load.link_up(now, link);
                    let owners = self.keyed.as_ref().and_then(KeyedCalls::owners_frame);
                    fx.extend(owners.map(|frame| CompanionEffect::Send { link, frame }));
                    if self.leaving {
                        let frame = Frame::Leaving;
                        fx.push(CompanionEffect::Send { link, frame });
                    }
                } else {
                    fx.push(CompanionEffect::Close(link));
                }
            }
            CompanionEvent::ConfigurationChanged { configuration, .. } => {
                self.configuration = Some(configuration);
            }
            CompanionEvent::LinkDown { link } => self.handle_link_down(now, link),
            CompanionEvent::Frame { link, frame } => self.handle_frame(now, link, frame, fx),
            CompanionEvent::UpstreamHead {
                run,
                status,
                content_type,
            } => self.handle_head(now, run, status, content_type, fx),
            CompanionEvent::UpstreamBytes { run, bytes } => {
                if let Some(found) = self.runs.get_mut(run) {
                    self.load.record_bytes(now, found);
                    found.answer.push(bytes);
                    self.deliver(now, run, fx);
                }
            }
            CompanionEvent::UpstreamEnded { run } => {
                self.end_if_running(now, run, Outcome::Completed, fx);
            }
            CompanionEvent::UpstreamFailed { run, failure } => {
                self.handle_failure(now, run, failure, fx);
            }
            CompanionEvent::OwnersRead { requested_at, page } => {
                if let Some(keyed) = &mut self.keyed {
                    keyed.apply_page(now, requested_at, &page);
                }
            }
            CompanionEvent::OwnersAppendEnded { appended } => {
                if let Some(keyed) = &mut self.keyed {
                    keyed.record_append_end(now, appended);
                }
            }
            CompanionEvent::Stop => self.handle_stop(now, fx),
        }
        self.send_load_reports(now, fx);
        self.publish_status(now, fx);
        self.maintain_ownership_and_exit(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        self.run_due_timers(now, fx);
        self.send_load_reports(now, fx);
        self.publish_status(now, fx);
        self.maintain_ownership_and_exit(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let status = self.status.next_due();
        let keys = self.keyed.as_ref().and_then(KeyedCalls::next_wake);
        [
            self.runs.next_timer_due(),
            self.load.next_report_due(),
            status,
            keys,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

/// Returns the effect that sends the terminal frame of a stream.
pub(crate) fn end_effect(
    link: LinkKey,
    stream: StreamId,
    outcome: Outcome,
    body_bytes: u64,
) -> CompanionEffect {
    CompanionEffect::Send {
        link,
        frame: Frame::End(StreamEnd {
            stream,
            outcome,
            body_bytes,
        }),
    }
}

/// Returns the effect that ends a stream whose call did not run.
pub(crate) fn not_run_effect(
    link: LinkKey,
    stream: StreamId,
    reason: NotRunReason,
) -> CompanionEffect {
    let outcome = Outcome::NotRun {
        reason,
        retry_after_ms: None,
    };
    end_effect(link, stream, outcome, 0)
}

/// Returns the effect that refuses a call which can't finish in time, with the
/// time after which the caller may retry.
pub(crate) fn refusal_effect(
    link: LinkKey,
    stream: StreamId,
    refusal: AdmissionRefusal,
) -> CompanionEffect {
    let retry_after_ms = refusal.retry_after.as_millis();
    let outcome = Outcome::NotRun {
        reason: refusal.reason,
        retry_after_ms: Some(u64::try_from(retry_after_ms).unwrap_or(u64::MAX)),
    };
    end_effect(link, stream, outcome, 0)
}
