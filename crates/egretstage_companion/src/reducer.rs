//! All decisions of a companion.

use crate::links::EntryLinks;
use crate::runs::{Run, RunState, Runs};
use crate::{
    CompanionEffect, CompanionEvent, PlacementDecision, PlacementLine, RunKey, UpstreamFailure,
    UpstreamRequest,
};
use egretstage_config::Configuration;
use egretstage_link::LinkKey;
use egretstage_observe::{StatusCadence, WorkStatus};
use egretstage_runtime::Reducer;
use egretstage_wire::{
    AnswerHead, CallStart, Chunk, Frame, LoadReport, NotRunReason, Outcome, Role, StreamEnd,
    StreamId, UnknownReason,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of prompt text that make about one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Time between two load reports on a link.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

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
    runs: Runs,
    next_report: Option<Instant>,
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
            runs: Runs::default(),
            next_report: None,
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
        let waits = self.runs.running() >= self.limits.slots as usize;
        if waits {
            fx.push(self.line(&start, PlacementDecision::Wait));
        }
        self.runs.enqueue(Run {
            link,
            deadline: now + budget,
            credit: start.credit,
            start,
            state: RunState::Waiting,
            unsent: VecDeque::new(),
            sent_bytes: 0,
            whole: false,
        });
        self.fill_slots(fx);
    }

    fn fill_slots(&mut self, fx: &mut Vec<CompanionEffect>) {
        while let Some(key) = self.runs.start_next(self.limits.slots) {
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
                    self.cancel(key, fx);
                }
            }
            Frame::Credit { stream, chunks } => {
                if let Some(key) = self.runs.of_stream(stream) {
                    let run = self.runs.get_mut(key).expect("the call was just found");
                    run.credit = run.credit.saturating_add(chunks);
                    self.pump(key, fx);
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
            | Frame::Group(_)
            | Frame::Owners(_)
            | Frame::AskFormerOwner { .. } => fx.push(CompanionEffect::Close(link)),
            Frame::Configuration(_) => {}
        }
    }

    /// Breaks a call off, also at the upstream.
    fn cancel(&mut self, key: RunKey, fx: &mut Vec<CompanionEffect>) {
        if let Some(run) = self.runs.remove(key) {
            if run.state == RunState::Running && !run.whole {
                fx.push(CompanionEffect::CancelUpstream(key));
            }
            self.fill_slots(fx);
        }
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
    fn pump(&mut self, key: RunKey, fx: &mut Vec<CompanionEffect>) {
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
            self.runs.remove(key);
            self.fill_slots(fx);
        } else if chunks > 0 {
            fx.push(CompanionEffect::ReadUpstream { run: key, chunks });
        }
    }

    fn failed(&mut self, key: RunKey, failure: UpstreamFailure, fx: &mut Vec<CompanionEffect>) {
        let Some(run) = self.runs.remove(key) else {
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
        self.fill_slots(fx);
    }

    fn expire(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(key) = self.runs.expired(now) {
            let run = self.runs.get(key).expect("an expired call is known");
            let (link, stream, sent) = (run.link, run.stream(), run.sent_bytes);
            let outcome = match run.state {
                RunState::Waiting => Outcome::NotRun {
                    reason: NotRunReason::DeadlinePassed,
                    retry_after_ms: None,
                },
                RunState::Running => Outcome::Unknown {
                    reason: UnknownReason::DeadlinePassed,
                },
            };
            fx.push(self.line(&run.start, PlacementDecision::Expire));
            self.cancel(key, fx);
            fx.push(end(link, stream, outcome, sent));
        }
    }

    fn link_down(&mut self, link: LinkKey, fx: &mut Vec<CompanionEffect>) {
        self.links.remove(link);
        for key in self.runs.on_link(link) {
            self.cancel(key, fx);
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
        if self.next_report.is_none_or(|at| at > now) {
            return;
        }
        self.next_report = Some(now + REPORT_INTERVAL);
        let load = self.load();
        for (link, received) in self.links.received() {
            let load = LoadReport {
                received_from_peer: received,
                ..load
            };
            fx.push(CompanionEffect::Send {
                link,
                frame: Frame::Load(load),
            });
        }
    }

    fn load(&self) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        LoadReport {
            running: count(self.runs.running()),
            waiting: count(self.runs.waiting()),
            slots: self.limits.slots,
            waiting_prompt_tokens: self.runs.waiting_body_bytes() / BYTES_PER_TOKEN,
            ..LoadReport::default()
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
            load: Some(self.load()),
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
                    self.next_report = Some(now);
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
            CompanionEvent::LinkDown { link } => self.link_down(link, fx),
            CompanionEvent::Frame { link, frame } => self.frame(now, link, frame, fx),
            CompanionEvent::UpstreamHead {
                run,
                status,
                content_type,
            } => self.head(run, status, content_type, fx),
            CompanionEvent::UpstreamBytes { run, bytes } => {
                if let Some(held) = self.runs.get_mut(run) {
                    held.unsent.push_back(bytes);
                    self.pump(run, fx);
                }
            }
            CompanionEvent::UpstreamEnded { run } => {
                if let Some(held) = self.runs.get_mut(run) {
                    held.whole = true;
                    self.pump(run, fx);
                }
            }
            CompanionEvent::UpstreamFailed { run, failure } => self.failed(run, failure, fx),
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
        let report = self.next_report.filter(|_| !self.links.is_empty());
        let status = self.status.next_due();
        [self.runs.next_deadline(), report, status]
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
