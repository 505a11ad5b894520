//! All decisions of a companion.

use crate::answer::Head;
use crate::keyed::{KeyOptions, Keyed};
use crate::links::EntryLinks;
use crate::load::LoadMeter;
use crate::runs::{Run, RunState, Runs};
use crate::{
    CompanionEffect, CompanionEvent, PlacementDecision, PlacementLine, RunKey, UpstreamFailure,
};
use compact_str::CompactString;
use egretstage_config::Configuration;
use egretstage_link::LinkKey;
use egretstage_observe::{StatusCadence, WorkStatus};
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
    /// Calls that the upstream may run at once.
    pub slots: u32,
}

/// Makes all decisions of a companion.
#[derive(Debug)]
pub struct CompanionReducer {
    pub(crate) limits: CompanionLimits,
    pub(crate) links: EntryLinks,
    pub(crate) runs: Runs,
    pub(crate) load: LoadMeter,
    pub(crate) keyed: Option<Keyed>,
    pub(crate) leaving: bool,
    exited: bool,
    configuration: Option<Arc<Configuration>>,
    status: StatusCadence,
}

impl CompanionReducer {
    /// Starts a companion without links.
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
            status: StatusCadence::default(),
        }
    }

    /// Returns the configuration in force, once an entry has passed it on.
    #[must_use]
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_deref()
    }

    /// Has the companion own keys of a plain service.
    #[must_use]
    pub fn with_keys(mut self, options: KeyOptions) -> Self {
        self.keyed = Some(Keyed::new(options));
        self
    }

    pub(crate) fn line(&self, start: &CallStart, decision: PlacementDecision) -> CompanionEffect {
        CompanionEffect::Log(Box::new(PlacementLine {
            request: start.request.clone(),
            stream: start.stream,
            decision,
            running: self.runs.running(),
            waiting: self.runs.waiting(),
            budget_ms: start.budget_ms,
        }))
    }

    fn frame(&mut self, now: Instant, link: LinkKey, frame: Frame, fx: &mut Vec<CompanionEffect>) {
        match frame {
            Frame::Start(start) => self.start(now, link, start, fx),
            Frame::Cancel(stream) => self.drop_reader(now, stream, fx),
            Frame::Credit { stream, chunks } => self.credit(now, link, (stream, chunks), fx),
            Frame::Resume {
                stream,
                offset,
                credit,
            } => self.resume(now, link, (stream, offset, credit), fx),
            Frame::LeavingNoted => self.links.note_leaving(link),
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

    /// Notes the status of an answer.
    fn head(
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

    fn failed(
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
        self.end_running(now, key, outcome, fx);
    }

    /// Ends a call that the upstream is done with.
    fn end_running(
        &mut self,
        now: Instant,
        key: RunKey,
        outcome: Outcome,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let running = |run: &Run| run.state == RunState::Running;
        if self.runs.get(key).is_some_and(running) {
            self.end_run(now, key, outcome, fx);
            self.fill_slots(now, fx);
        }
    }

    /// Keeps this companion's place among the owners of its service's keys.
    fn keep_ownership(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        let Some(keyed) = &mut self.keyed else {
            return;
        };
        if let Some(frame) = keyed.changed_owners() {
            for link in self.links.keys() {
                let frame = frame.clone();
                fx.push(CompanionEffect::Send { link, frame });
            }
        }
        fx.extend(keyed.next_append(now));
    }

    fn stop(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        if !std::mem::replace(&mut self.leaving, true) {
            if let Some(keyed) = &mut self.keyed {
                keyed.leave(now);
            }
            fx.push(CompanionEffect::Ready(false));
            for link in self.links.keys() {
                fx.push(CompanionEffect::Send {
                    link,
                    frame: Frame::Leaving,
                });
            }
        }
    }

    fn report(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        let received = self.links.received();
        let reports = self
            .load
            .reports(now, received, &self.runs, self.limits.slots);
        for (link, load) in reports {
            let frame = Frame::Load(load);
            fx.push(CompanionEffect::Send { link, frame });
        }
    }

    /// Shows the state of the companion to operators.
    fn show(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        if !self.status.take_due(now) {
            return;
        }
        let leaving = self.leaving;
        let status = WorkStatus {
            ready: !leaving,
            not_ready_because: leaving.then(|| "stopping".into()).into_iter().collect(),
            load: Some(self.load.load(&self.runs, self.limits.slots)),
            ..WorkStatus::default()
        };
        if let Some(status) = self.status.changed(status) {
            fx.push(CompanionEffect::Status(Box::new(status)));
        }
    }

    /// Ends a planned stop once nothing runs and no entry will send any more.
    fn settle(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        self.keep_ownership(now, fx);
        let gave_up_keys = self.keyed.as_ref().is_none_or(Keyed::may_exit);
        let left = self.leaving && self.links.all_noted_leaving() && gave_up_keys;
        if left && self.runs.is_empty() && !std::mem::replace(&mut self.exited, true) {
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
                    let owners = self.keyed.as_ref().and_then(Keyed::owners_frame);
                    fx.extend(owners.map(|frame| CompanionEffect::Send { link, frame }));
                    if self.leaving {
                        let frame = Frame::Leaving;
                        fx.push(CompanionEffect::Send { link, frame });
                    }
                } else {
                    fx.push(CompanionEffect::Close(link));
                }
            }
            CompanionEvent::Configured { configuration, .. } => {
                self.configuration = Some(configuration);
            }
            CompanionEvent::LinkDown { link } => self.link_down(now, link),
            CompanionEvent::Frame { link, frame } => self.frame(now, link, frame, fx),
            CompanionEvent::UpstreamHead {
                run,
                status,
                content_type,
            } => self.head(now, run, status, content_type, fx),
            CompanionEvent::UpstreamBytes { run, bytes } => {
                if let Some(held) = self.runs.get_mut(run) {
                    self.load.bytes(now, held);
                    held.answer.push(bytes);
                    self.deliver(now, run, fx);
                }
            }
            CompanionEvent::UpstreamEnded { run } => {
                self.end_running(now, run, Outcome::Completed, fx);
            }
            CompanionEvent::UpstreamFailed { run, failure } => self.failed(now, run, failure, fx),
            CompanionEvent::OwnersRead { asked, page } => {
                if let Some(keyed) = &mut self.keyed {
                    keyed.read(now, asked, &page);
                }
            }
            CompanionEvent::OwnersAppended { appended } => {
                if let Some(keyed) = &mut self.keyed {
                    keyed.append_answered(now, appended);
                }
            }
            CompanionEvent::Stop => self.stop(now, fx),
        }
        self.report(now, fx);
        self.show(now, fx);
        self.settle(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        self.expire(now, fx);
        self.report(now, fx);
        self.show(now, fx);
        self.settle(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let status = self.status.next_due();
        let keys = self.keyed.as_ref().and_then(Keyed::next_wake);
        [
            self.runs.next_timer(),
            self.load.next_report(),
            status,
            keys,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

pub(crate) fn end(
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

pub(crate) fn not_run(link: LinkKey, stream: StreamId, reason: NotRunReason) -> CompanionEffect {
    let outcome = Outcome::NotRun {
        reason,
        retry_after_ms: None,
    };
    end(link, stream, outcome, 0)
}

/// Refuses a call that can't finish in time, with the time to come back.
pub(crate) fn refuse(
    link: LinkKey,
    stream: StreamId,
    refused: AdmissionRefusal,
) -> CompanionEffect {
    let after = refused.retry_after.as_millis();
    let outcome = Outcome::NotRun {
        reason: refused.reason,
        retry_after_ms: Some(u64::try_from(after).unwrap_or(u64::MAX)),
    };
    end(link, stream, outcome, 0)
}
