//! The entry's reducer, which makes all its decisions.

use crate::calls::Calls;
use crate::owner_removal::SuspectOwners;
use crate::routing::Router;
use crate::status::{not_ready_reasons, upstream_status};
use crate::subset::SubsetSelector;
use crate::upstreams::Upstreams;
use crate::{AnswerPart, CallKey, EntryEffect, EntryEvent, Refusal, RefusalKind};
use egretstage_config::Configuration;
use egretstage_link::LinkKey;
use egretstage_observe::{StatusSchedule, WorkStatus};
use egretstage_once::OwnerSet;
use egretstage_routing::{CallResult, EjectionLimits, RetryLimits, RoutingPolicy};
use egretstage_runtime::Reducer;
use egretstage_wire::{
    Frame, Incarnation, NotRunReason, ServiceName, StreamIds, UnknownReason, ZoneName,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a caller should retry with the key of a call whose
/// deadline has passed.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of an entry's decisions.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Time from reporting not ready until the entry stops accepting connections,
    /// in which the platform's load balancer stops sending new ones.
    pub not_ready_grace: Duration,
    /// Retry budget of each service.
    pub retries: RetryLimits,
    /// Limits of outlier ejection.
    pub ejection: EjectionLimits,
    /// Time for which an owner of keys must be neither linked nor live on the
    /// instance list before it is removed.
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

/// The phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPhase {
    Running,
    NotReady { until: Instant },
    Draining,
}

/// Makes all decisions of an entry.
pub struct EntryReducer {
    pub(crate) clock_start: Instant,
    pub(crate) router: Router,
    pub(crate) streams: StreamIds,
    pub(crate) configuration: Option<Arc<Configuration>>,
    list_read: bool,
    ready: bool,
    stop_phase: StopPhase,
    status: StatusSchedule,
    pub(crate) upstreams: Upstreams,
    pub(crate) calls: Calls,
    pub(crate) owners: HashMap<ServiceName, OwnerSet>,
    pub(crate) suspects: SuspectOwners,
}

impl EntryReducer {
    /// Creates the reducer of an entry without configuration and instance
    /// list.
    #[must_use]
    pub fn new(
        now: Instant,
        zone: ZoneName,
        incarnation: Incarnation,
        limits: EntryLimits,
        policy: Box<dyn RoutingPolicy>,
    ) -> Self {
        let subset_selector = SubsetSelector::new(zone.clone(), incarnation);
        Self {
            clock_start: now,
            router: Router::new(zone, limits, policy),
            streams: StreamIds::new(incarnation),
            configuration: None,
            list_read: false,
            ready: false,
            stop_phase: StopPhase::Running,
            upstreams: Upstreams::new(subset_selector),
            calls: Calls::default(),
            status: StatusSchedule::default(),
            owners: HashMap::new(),
            suspects: SuspectOwners::new(incarnation, limits.remove_owner_after),
        }
    }

    fn handle_frame(
        &mut self,
        now: Instant,
        link: LinkKey,
        frame: Frame,
        fx: &mut Vec<EntryEffect>,
    ) {
        match frame {
            Frame::Head(head) => self.handle_head(link, head, fx),
            Frame::Chunk(chunk) => self.handle_chunk(link, chunk, fx),
            Frame::End(end) => self.handle_end(now, link, &end, fx),
            Frame::Load(load) => {
                if let Some(upstream) = self.upstream_on_link(link) {
                    upstream.tracker.record_report(now, load);
                }
            }
            Frame::Leaving => {
                if let Some(upstream) = self.upstream_on_link(link) {
                    upstream.leaving = true;
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
            Frame::Owners(view) => self.update_owners(view),
            Frame::AskFormerOwner { stream, instance } => {
                self.ask_former_owner(now, link, (stream, &instance), fx);
            }
        }
    }

    fn upstream_on_link(&mut self, link: LinkKey) -> Option<&mut crate::upstreams::Upstream> {
        let key = self.upstreams.find_by_link(link)?;
        self.upstreams.get_mut(key)
    }

    /// Finds the call of a stream, if it was sent on the link.
    pub(crate) fn find_call(
        &self,
        link: LinkKey,
        stream: egretstage_wire::StreamId,
    ) -> Option<CallKey> {
        let key = self.calls.find_by_stream(stream)?;
        let sent = self.calls.get(key)?.sent?;
        (sent.link == link).then_some(key)
    }

    fn cancel_at_upstream(&self, key: CallKey, fx: &mut Vec<EntryEffect>) {
        if let Some(sent) = self.calls.get(key).and_then(|call| call.sent) {
            fx.push(EntryEffect::Send {
                link: sent.link,
                frame: Frame::Cancel(sent.stream),
            });
        }
    }

    fn handle_caller_gone(&mut self, key: CallKey, fx: &mut Vec<EntryEffect>) {
        self.cancel_at_upstream(key, fx);
        self.end_attempt(key, CallResult::Neutral);
        self.calls.remove(key);
    }

    fn handle_caller_read(&mut self, key: CallKey, chunks: u32, fx: &mut Vec<EntryEffect>) {
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

    fn expire_calls(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        while let Some(key) = self.calls.next_expired(now) {
            self.cancel_at_upstream(key, fx);
            let call = self.calls.get(key).expect("an expired call is known");
            let part = if call.head_forwarded {
                AnswerPart::Cut
            } else {
                let kind = match call.sent {
                    Some(_) => RefusalKind::Unknown(UnknownReason::DeadlinePassed),
                    None => call.refusal_kind(NotRunReason::DeadlinePassed),
                };
                AnswerPart::Refused(Refusal {
                    kind,
                    retry_after: call.key_digest.map(|_| EXPIRED_RETRY_AFTER),
                })
            };
            self.end_attempt(key, CallResult::Failed);
            self.finish_call(key, part, fx);
        }
    }

    fn begin_stop(&mut self, now: Instant) {
        if self.stop_phase == StopPhase::Running {
            self.stop_phase = StopPhase::NotReady {
                until: now + self.router.limits().not_ready_grace,
            };
        }
    }

    fn work_status(&self) -> WorkStatus {
        let (configured, stopping) = (
            self.configuration.is_some(),
            self.stop_phase != StopPhase::Running,
        );
        WorkStatus {
            ready: self.ready,
            not_ready_because: not_ready_reasons(configured, self.list_read, stopping),
            runners: self
                .upstreams
                .iter_active()
                .map(|(_, u)| upstream_status(u))
                .collect(),
            ..WorkStatus::default()
        }
    }

    /// Updates what depends on any event: due dials, readiness, the status
    /// snapshot and the planned stop.
    fn update_after_event(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        for (instance, address) in self.upstreams.take_dials(now) {
            fx.push(EntryEffect::Dial { instance, address });
        }
        let ready =
            self.configuration.is_some() && self.list_read && self.stop_phase == StopPhase::Running;
        if ready != self.ready {
            self.ready = ready;
            fx.push(EntryEffect::SetReady(ready));
        }
        if self.status.take_due(now) {
            let status = self.work_status();
            let changed = self.status.take_changed(status).map(Box::new);
            fx.extend(changed.map(EntryEffect::PublishStatus));
        }
        if let StopPhase::NotReady { until } = self.stop_phase
            && until <= now
        {
            self.stop_phase = StopPhase::Draining;
            fx.push(EntryEffect::StopListening);
        }
    }
}

impl Reducer for EntryReducer {
    type Event = EntryEvent;
    type Effect = EntryEffect;

    fn reduce(&mut self, now: Instant, event: EntryEvent, fx: &mut Vec<EntryEffect>) {
        match event {
            EntryEvent::RequestArrived(req) => self.handle_arrival(now, req, fx),
            EntryEvent::CallerRead { call, chunks } => self.handle_caller_read(call, chunks, fx),
            EntryEvent::CallerGone(call) => self.handle_caller_gone(call, fx),
            EntryEvent::InstancesListed(listed) => {
                self.list_read = true;
                self.upstreams.apply_list(now, listed);
                let surplus = self.upstreams.surplus_links(now);
                fx.extend(surplus.into_iter().map(EntryEffect::Close));
                self.remove_failed_owners(now, fx);
            }
            EntryEvent::ConfigurationChanged { configuration, .. } => {
                self.configuration = Some(configuration);
            }
            EntryEvent::ConfigurationIncomplete => self.configuration = None,
            EntryEvent::LinkUp { link, hello } => {
                let incarnation = hello.incarnation;
                match self.upstreams.link_up(link, &hello.instance, incarnation) {
                    Some(upstream) => self.resume_calls(now, link, upstream, fx),
                    None => fx.push(EntryEffect::Close(link)),
                }
            }
            EntryEvent::LinkDown { link } => self.handle_link_down(now, link, fx),
            EntryEvent::DialFailed { instance } => self.upstreams.dial_failed(now, &instance),
            EntryEvent::Frame { link, frame } => self.handle_frame(now, link, frame, fx),
            EntryEvent::Stop => self.begin_stop(now),
        }
        self.update_after_event(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        self.expire_calls(now, fx);
        self.handle_elapsed_waits(now, fx);
        self.update_after_event(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let stop = match self.stop_phase {
            StopPhase::NotReady { until } => Some(until),
            _ => None,
        };
        [
            self.calls.next_deadline(),
            self.calls.next_wait_end(),
            self.upstreams.next_dial(),
            self.status.next_due(),
            stop,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
