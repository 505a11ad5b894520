//! All decisions of a companion.

use crate::links::EntryLinks;
use crate::load::LoadMeter;
use crate::runs::{Run, RunState, Runs};
use crate::{
    CompanionEffect, CompanionEvent, PlacementDecision, PlacementLine, RunKey, UpstreamFailure,
    UpstreamRequest,
};
use egretstage_config::Configuration;
use egretstage_link::LinkKey;
use egretstage_observe::{StatusCadence, WorkStatus};
use egretstage_routing::Refused;
use egretstage_runtime::Reducer;
use egretstage_wire::{
    AnswerHead, CallStart, Chunk, Frame, NotRunReason, Outcome, Role, StreamEnd, StreamId,
    UnknownReason,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// Limits of a companion's decisions.
#[derive(Clone, Copy, Debug)]
pub struct CompanionLimits {
    /// Calls that the upstream may run at once.
    pub slots: u32,
}

/// Makes all decisions of a companion.
#[derive(Debug)]
pub struct CompanionReducer {
    limits: CompanionLimits,
    links: EntryLinks,
    load: LoadMeter,
    runs: Runs,
    leaving: bool,
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
            load: LoadMeter::default(),
            runs: Runs::default(),
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

    fn start(
        &mut self,
        now: Instant,
        link: LinkKey,
        start: Box<CallStart>,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let late = self.links.note_start(now, link, start.sent_ms);
        if self.runs.of_stream(start.stream).is_some() {
            return;
        }
        if self.leaving {
            fx.push(self.line(&start, PlacementDecision::RefuseLeaving));
            fx.push(not_run(link, start.stream, NotRunReason::Leaving));
            return;
        }
        let budget = Duration::from_millis(start.budget_ms).saturating_sub(late);
        if budget.is_zero() {
            fx.push(self.line(&start, PlacementDecision::Expire));
            fx.push(not_run(link, start.stream, NotRunReason::DeadlinePassed));
            return;
        }
        let slots = self.limits.slots;
        if let Err(refused) = self.load.admit(&self.runs, slots, &start, budget) {
            fx.push(self.line(&start, PlacementDecision::RefuseLate));
            fx.push(refuse(link, start.stream, refused));
            return;
        }
        let waits = self.runs.running() >= self.limits.slots as usize;
        if waits {
            fx.push(self.line(&start, PlacementDecision::Wait));
        }
        let deadline = now + budget;
        let cost = self.load.cost(&start);
        let latest_start = deadline.checked_sub(Duration::from_micros(cost));
        let run = Run {
            link,
            deadline,
            latest_start: latest_start.unwrap_or(now).max(now),
            cost,
            started: None,
            last_bytes: None,
            credit: start.credit,
            start,
            state: RunState::Waiting,
            unsent: VecDeque::new(),
            sent_bytes: 0,
            whole: false,
        };
        self.load.taken(now, &run);
        self.runs.enqueue(run);
        self.fill_slots(now, fx);
    }

    fn fill_slots(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(key) = self.runs.start_next(now, self.limits.slots) {
            self.load.started(now);
            let run = self.runs.get(key).expect("the call was just taken");
            fx.push(self.line(&run.start, PlacementDecision::Start));
            let req = UpstreamRequest {
                request: run.start.request.clone(),
                repeatable: run.start.repeatable,
                method: run.start.method.clone(),
                path: run.start.path.clone(),
                content_type: run.start.content_type.clone(),
                key: run.key().cloned(),
                priority: run.start.priority,
                body: run.start.body.clone(),
            };
            fx.push(CompanionEffect::StartUpstream {
                run: key,
                req: Box::new(req),
            });
        }
    }

    fn line(&self, start: &CallStart, decision: PlacementDecision) -> CompanionEffect {
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
            Frame::Cancel(stream) => {
                if let Some(key) = self.runs.of_stream(stream) {
                    self.cancel(now, key, fx);
                }
            }
            Frame::Credit { stream, chunks } => {
                if let Some(key) = self.runs.of_stream(stream) {
                    let run = self.runs.get_mut(key).expect("the call was just found");
                    run.credit = run.credit.saturating_add(chunks);
                    self.pump(now, key, fx);
                }
            }
            Frame::Resume { stream, .. } => {
                let outcome = Outcome::Unknown {
                    reason: UnknownReason::AnswerForgotten,
                };
                fx.push(end(link, stream, outcome, 0));
            }
            Frame::LeavingNoted => self.links.note_leaving(link),
            Frame::Hello(_)
            | Frame::Head(_)
            | Frame::Chunk(_)
            | Frame::End(_)
            | Frame::Load(_)
            | Frame::Leaving
            | Frame::Group(_) => fx.push(CompanionEffect::Close(link)),
            Frame::Configuration(_) => {}
        }
    }

    /// Breaks a call off, also at the upstream.
    fn cancel(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        if let Some(run) = self.remove(now, key) {
            if run.state == RunState::Running && !run.whole {
                fx.push(CompanionEffect::CancelUpstream(key));
            }
            self.fill_slots(now, fx);
        }
    }

    /// Takes a call out of the runs and the load.
    fn remove(&mut self, now: Instant, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.load.removed(now, &run);
        Some(run)
    }

    fn head(
        &mut self,
        key: RunKey,
        status: u16,
        content_type: Option<compact_str::CompactString>,
        fx: &mut Vec<CompanionEffect>,
    ) {
        if let Some(run) = self.runs.get(key) {
            fx.push(CompanionEffect::Send {
                link: run.link,
                frame: Frame::Head(AnswerHead {
                    stream: run.stream(),
                    status,
                    content_type,
                }),
            });
        }
    }

    /// Sends what the entry's credit allows, then the end if it is reached.
    fn pump(&mut self, now: Instant, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let mut chunks = 0;
        while run.credit > 0 {
            let Some(bytes) = run.unsent.pop_front() else {
                break;
            };
            run.credit -= 1;
            chunks += 1;
            let offset = run.sent_bytes;
            run.sent_bytes += bytes.len() as u64;
            let stream = run.stream();
            fx.push(CompanionEffect::Send {
                link: run.link,
                frame: Frame::Chunk(Chunk {
                    stream,
                    offset,
                    bytes,
                }),
            });
        }
        if run.whole && run.unsent.is_empty() {
            let (link, stream, sent) = (run.link, run.stream(), run.sent_bytes);
            fx.push(end(link, stream, Outcome::Completed, sent));
            self.remove(now, key);
            self.fill_slots(now, fx);
        } else if chunks > 0 {
            fx.push(CompanionEffect::ReadUpstream { run: key, chunks });
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        key: RunKey,
        failure: UpstreamFailure,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let Some(run) = self.remove(now, key) else {
            return;
        };
        let outcome = match failure {
            UpstreamFailure::NotSent => Outcome::NotRun {
                reason: NotRunReason::UpstreamUnreachable,
                retry_after_ms: None,
            },
            UpstreamFailure::Broken => Outcome::Unknown {
                reason: UnknownReason::UpstreamCut,
            },
        };
        fx.push(end(run.link, run.stream(), outcome, run.sent_bytes));
        self.fill_slots(now, fx);
    }

    fn expire(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(key) = self.runs.expired(now) {
            let run = self.runs.get(key).expect("an expired call is known");
            let (link, stream, sent) = (run.link, run.stream(), run.sent_bytes);
            let outcome = match run.state {
                RunState::Waiting => Outcome::NotRun {
                    reason: NotRunReason::DeadlineTooClose,
                    retry_after_ms: Some(run.cost / MICROS_PER_MILLI),
                },
                RunState::Running => Outcome::Unknown {
                    reason: UnknownReason::DeadlinePassed,
                },
            };
            fx.push(self.line(&run.start, PlacementDecision::Expire));
            self.cancel(now, key, fx);
            fx.push(end(link, stream, outcome, sent));
        }
    }

    fn link_down(&mut self, now: Instant, link: LinkKey, fx: &mut Vec<CompanionEffect>) {
        self.links.remove(link);
        self.load.link_down(link);
        for key in self.runs.on_link(link) {
            self.cancel(now, key, fx);
        }
    }

    fn stop(&mut self, fx: &mut Vec<CompanionEffect>) {
        if !std::mem::replace(&mut self.leaving, true) {
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
    fn settle(&mut self, fx: &mut Vec<CompanionEffect>) {
        let left = self.leaving && self.links.all_noted_leaving();
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
            CompanionEvent::LinkDown { link } => self.link_down(now, link, fx),
            CompanionEvent::Frame { link, frame } => self.frame(now, link, frame, fx),
            CompanionEvent::UpstreamHead {
                run,
                status,
                content_type,
            } => self.head(run, status, content_type, fx),
            CompanionEvent::UpstreamBytes { run, bytes } => {
                if let Some(held) = self.runs.get_mut(run) {
                    held.unsent.push_back(bytes);
                    self.load.bytes(now, held);
                    self.pump(now, run, fx);
                }
            }
            CompanionEvent::UpstreamEnded { run } => {
                if let Some(held) = self.runs.get_mut(run) {
                    held.whole = true;
                    self.pump(now, run, fx);
                }
            }
            CompanionEvent::UpstreamFailed { run, failure } => self.failed(now, run, failure, fx),
            CompanionEvent::Stop => self.stop(fx),
        }
        self.report(now, fx);
        self.show(now, fx);
        self.settle(fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        self.expire(now, fx);
        self.report(now, fx);
        self.show(now, fx);
        self.settle(fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let status = self.status.next_due();
        [self.runs.next_deadline(), self.load.next_report(), status]
            .into_iter()
            .flatten()
            .min()
    }
}

fn end(link: LinkKey, stream: StreamId, outcome: Outcome, body_bytes: u64) -> CompanionEffect {
    CompanionEffect::Send {
        link,
        frame: Frame::End(StreamEnd {
            stream,
            outcome,
            body_bytes,
        }),
    }
}

fn not_run(link: LinkKey, stream: StreamId, reason: NotRunReason) -> CompanionEffect {
    let outcome = Outcome::NotRun {
        reason,
        retry_after_ms: None,
    };
    end(link, stream, outcome, 0)
}

fn refuse(link: LinkKey, stream: StreamId, refused: Refused) -> CompanionEffect {
    let after = refused.retry_after.as_millis();
    let outcome = Outcome::NotRun {
        reason: refused.reason,
        retry_after_ms: Some(u64::try_from(after).unwrap_or(u64::MAX)),
    };
    end(link, stream, outcome, 0)
}
