//! All decisions of an entry.

use crate::calls::Calls;
use crate::routing::Router;
use crate::runners::Runners;
use crate::selection::Selection;
use crate::status::{not_ready_because, runner_status};
use crate::suspects::Suspects;
use crate::{AnswerPart, CallKey, EntryEffect, EntryEvent, Refusal, RefusalKind};
use egretstage_config::Configuration;
use egretstage_link::LinkKey;
use egretstage_observe::{StatusCadence, WorkStatus};
use egretstage_once::OwnerSet;
use egretstage_routing::{CallResult, EjectionLimits, RetryLimits, RoutingPolicy};
use egretstage_runtime::Reducer;
use egretstage_wire::{
    Frame, Incarnation, NotRunReason, ServiceName, StreamIds, UnknownReason, ZoneName,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When to ask again with the key of a call whose budget has passed.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of an entry's decisions.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Most times that one request is sent.
    pub max_attempts: u32,
    /// Time between "not ready" and the end of accepting, for the platform's
    /// balancer to notice.
    pub not_ready_grace: Duration,
    /// Budget for retries of each service.
    pub retries: RetryLimits,
    /// Limits of the ejection of outliers.
    pub ejection: EjectionLimits,
    /// How long an owner of keys is neither linked nor live on the instance
    /// list before it is removed.
    pub remove_owner_after: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_attempts: 2,
            not_ready_grace: Duration::from_secs(1),
            retries: RetryLimits::default(),
            ejection: EjectionLimits::default(),
            remove_owner_after: Duration::from_secs(3),
        }
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    No,
    NotReady { until: Instant },
    Draining,
}

/// Makes all decisions of an entry.
pub struct EntryReducer {
    pub(crate) clock_start: Instant,
    pub(crate) router: Router,
    pub(crate) streams: StreamIds,
    pub(crate) configuration: Option<Arc<Configuration>>,
    listed: bool,
    ready: bool,
    stopping: Stopping,
    status: StatusCadence,
    pub(crate) runners: Runners,
    pub(crate) calls: Calls,
    pub(crate) owners: HashMap<ServiceName, OwnerSet>,
    pub(crate) suspects: Suspects,
}

impl EntryReducer {
    /// Starts an entry that knows nothing yet.
    #[must_use]
    pub fn new(
        now: Instant,
        zone: ZoneName,
        incarnation: Incarnation,
        limits: EntryLimits,
        policy: Box<dyn RoutingPolicy>,
    ) -> Self {
        let selection = Selection::new(zone.clone(), incarnation);
        Self {
            clock_start: now,
            router: Router::new(zone, limits, policy),
            streams: StreamIds::new(incarnation),
            configuration: None,
            listed: false,
            ready: false,
            stopping: Stopping::No,
            runners: Runners::new(selection),
            calls: Calls::default(),
            status: StatusCadence::default(),
            owners: HashMap::new(),
            suspects: Suspects::new(incarnation, limits.remove_owner_after),
        }
    }

    fn frame(&mut self, now: Instant, link: LinkKey, frame: Frame, fx: &mut Vec<EntryEffect>) {
        match frame {
            Frame::Head(head) => self.head(link, head, fx),
            Frame::Chunk(chunk) => self.chunk(link, chunk, fx),
            Frame::End(end) => self.end(now, link, &end, fx),
            Frame::Load(load) => {
                if let Some(runner) = self.runner_of_link(link) {
                    runner.tracker.record_report(now, load);
                }
            }
            Frame::Leaving => {
                if let Some(runner) = self.runner_of_link(link) {
                    runner.leaving = true;
                }
                let frame = Frame::LeavingNoted;
                fx.push(EntryEffect::Send { link, frame });
            }
            Frame::LeavingNoted
            | Frame::Hello(_)
            | Frame::Start(_)
            | Frame::Cancel(_)
            | Frame::Credit { .. }
            | Frame::Resume { .. }
            | Frame::Group(_) => fx.push(EntryEffect::Close(link)),
            Frame::Configuration(_) => {}
            Frame::Owners(view) => self.owners_read(view),
            Frame::AskFormerOwner { stream, instance } => {
                self.ask_former_owner(now, link, (stream, &instance), fx);
            }
        }
    }

    fn runner_of_link(&mut self, link: LinkKey) -> Option<&mut crate::runners::Runner> {
        let key = self.runners.of_link(link)?;
        self.runners.get_mut(key)
    }

    /// Finds the call of a stream, if the stream belongs to the link.
    pub(crate) fn call_on(
        &self,
        link: LinkKey,
        stream: egretstage_wire::StreamId,
    ) -> Option<CallKey> {
        let key = self.calls.of_stream(stream)?;
        let sent = self.calls.get(key)?.sent?;
        (sent.link == link).then_some(key)
    }

    fn cancel_upstream(&self, key: CallKey, fx: &mut Vec<EntryEffect>) {
        if let Some(sent) = self.calls.get(key).and_then(|call| call.sent) {
            fx.push(EntryEffect::Send {
                link: sent.link,
                frame: Frame::Cancel(sent.stream),
            });
        }
    }

    fn caller_gone(&mut self, key: CallKey, fx: &mut Vec<EntryEffect>) {
        self.cancel_upstream(key, fx);
        self.release(key, CallResult::Neutral);
        self.calls.remove(key);
    }

    fn caller_read(&mut self, key: CallKey, chunks: u32, fx: &mut Vec<EntryEffect>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.read_chunks += chunks;
        if let Some(sent) = call.sent {
            fx.push(EntryEffect::Send {
                link: sent.link,
                frame: Frame::Credit {
                    stream: sent.stream,
                    chunks,
                },
            });
        }
    }

    fn expire(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        while let Some(key) = self.calls.expired(now) {
            self.cancel_upstream(key, fx);
            let call = self.calls.get(key).expect("an expired call is known");
            let part = if call.head_passed {
                AnswerPart::Cut
            } else {
                let kind = match call.sent {
                    Some(_) => RefusalKind::Unknown(UnknownReason::DeadlinePassed),
                    None => call.refusal(NotRunReason::DeadlinePassed),
                };
                AnswerPart::Refused(Refusal {
                    kind,
                    retry_after: call.digest.map(|_| EXPIRED_RETRY_AFTER),
                })
            };
            self.release(key, CallResult::Failed);
            self.finish(key, part, fx);
        }
    }

    fn stop(&mut self, now: Instant) {
        if self.stopping == Stopping::No {
            self.stopping = Stopping::NotReady {
                until: now + self.router.limits().not_ready_grace,
            };
        }
    }

    fn work_status(&self) -> WorkStatus {
        let (configured, stopping) = (self.configuration.is_some(), self.stopping != Stopping::No);
        WorkStatus {
            ready: self.ready,
            not_ready_because: not_ready_because(configured, self.listed, stopping),
            runners: self.runners.iter().map(|(_, r)| runner_status(r)).collect(),
            ..WorkStatus::default()
        }
    }

    /// Does what follows every event: readiness, dials, the planned stop.
    fn settle(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        for (instance, address) in self.runners.take_dials(now) {
            fx.push(EntryEffect::Dial { instance, address });
        }
        let ready = self.configuration.is_some() && self.listed && self.stopping == Stopping::No;
        if ready != self.ready {
            self.ready = ready;
            fx.push(EntryEffect::Ready(ready));
        }
        if self.status.take_due(now) {
            let status = self.work_status();
            let changed = self.status.changed(status).map(Box::new);
            fx.extend(changed.map(EntryEffect::Status));
        }
        if let Stopping::NotReady { until } = self.stopping
            && until <= now
        {
            self.stopping = Stopping::Draining;
            fx.push(EntryEffect::StopListening);
        }
    }
}

impl Reducer for EntryReducer {
    type Event = EntryEvent;
    type Effect = EntryEffect;

    fn reduce(&mut self, now: Instant, event: EntryEvent, fx: &mut Vec<EntryEffect>) {
        match event {
            EntryEvent::Arrived(req) => self.arrived(now, req, fx),
            EntryEvent::CallerRead { call, chunks } => self.caller_read(call, chunks, fx),
            EntryEvent::CallerGone(call) => self.caller_gone(call, fx),
            EntryEvent::Listed(listed) => {
                self.listed = true;
                self.runners.update(now, listed);
                let surplus = self.runners.surplus_links(now);
                fx.extend(surplus.into_iter().map(EntryEffect::Close));
                self.check_owners(now, fx);
            }
            EntryEvent::Configured { configuration, .. } => {
                self.configuration = Some(configuration);
            }
            EntryEvent::ConfigurationIncomplete => self.configuration = None,
            EntryEvent::LinkUp { link, hello } => {
                let incarnation = hello.incarnation;
                match self.runners.link_up(link, &hello.instance, incarnation) {
                    Some(runner) => self.resume_calls(now, link, runner, fx),
                    None => fx.push(EntryEffect::Close(link)),
                }
            }
            EntryEvent::LinkDown { link } => self.link_down(now, link, fx),
            EntryEvent::DialFailed { instance } => self.runners.dial_failed(now, &instance),
            EntryEvent::Frame { link, frame } => self.frame(now, link, frame, fx),
            EntryEvent::Stop => self.stop(now),
        }
        self.settle(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        self.expire(now, fx);
        self.end_waits(now, fx);
        self.settle(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let stop = match self.stopping {
            Stopping::NotReady { until } => Some(until),
            _ => None,
        };
        [
            self.calls.next_deadline(),
            self.calls.next_wait(),
            self.runners.next_dial(),
            self.status.next_due(),
            stop,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
