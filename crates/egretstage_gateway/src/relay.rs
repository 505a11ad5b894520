//! Passes a stream of events on, event by event, and goes on at another
//! upstream when one breaks off.

use crate::answers::{AnswerBody, Cut, TaskBody};
use crate::attempt::{Attempted, HeldRequest, OpenAnswer, send, strip_connection_headers};
use crate::driver::Command;
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::{CallGuard, Gateway};
use crate::upstream_pool::Connection;
use compact_str::CompactString;
use egretstage_dispatch::{Attempt, AttemptEnd, DispatchEvent, UnknownCause};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Bytes, Incoming};
use hyper::header::CONTENT_LENGTH;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, channel};

/// Events that wait for a caller who reads slowly, before the upstream is no
/// longer read.
const EVENTS_AHEAD: usize = 64;

/// Time without a whole event after which the dispatcher decides whether a
/// stream is taken from its upstream: longer than groups stand before their
/// engines cut streams off themselves, shorter than callers wait. Bytes that
/// make no event, and events without data, don't count.
const STREAM_SILENCE: Duration = Duration::from_millis(1_900);

/// Time after which it is asked again.
const STILL_SILENT: Duration = Duration::from_millis(250);

/// How a stream from one upstream ended.
enum StreamEnd {
    /// It was passed on to its end.
    Whole,
    /// The upstream broke off.
    Broken(UnknownCause),
    /// The caller is gone, or the time is up.
    Stopped,
}

/// A stream that is passed on.
struct Relay {
    gateway: Rc<Gateway>,
    guard: CallGuard,
    rx: UnboundedReceiver<Command>,
    held: HeldRequest,
    tx: Sender<Result<Bytes, Cut>>,
    last_id: Option<CompactString>,
    last_event_at: Option<Instant>,
}

/// Starts to pass a stream on and returns the answer to the caller.
pub(crate) fn start(
    gateway: Rc<Gateway>,
    guard: CallGuard,
    rx: UnboundedReceiver<Command>,
    held: HeldRequest,
    attempt: Attempt,
    open: OpenAnswer,
) -> Response<AnswerBody> {
    let (tx, parts) = channel(EVENTS_AHEAD);
    let OpenAnswer {
        mut head,
        body,
        connection,
    } = open;
    strip_connection_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let relay = Relay {
        gateway,
        guard,
        rx,
        held,
        tx,
        last_id: None,
        last_event_at: None,
    };
    tokio::task::spawn_local(relay.run(attempt, body, connection));
    Response::from_parts(head, TaskBody(parts).boxed_unsync())
}

impl Relay {
    async fn run(mut self, mut attempt: Attempt, mut body: Incoming, mut connection: Connection) {
        loop {
            match self.pass_on(&mut body, attempt.repeatable).await {
                StreamEnd::Whole => {
                    self.gateway.pool.keep(&attempt.instance, connection);
                    self.guard.completed();
                    return;
                }
                StreamEnd::Stopped => return self.cut().await,
                StreamEnd::Broken(cause) => {
                    drop((body, connection));
                    let end = AttemptEnd::Unknown { cause };
                    self.gateway.attempt_ended(self.guard.call, end);
                }
            }
            let Some(next) = self.resume().await else {
                return self.cut().await;
            };
            (attempt, body, connection) = next;
        }
    }

    /// Passes events on until the upstream ends or breaks off.
    async fn pass_on(&mut self, body: &mut Incoming, repeatable: bool) -> StreamEnd {
        let mut events = EventSplitter::default();
        let silence = tokio::time::sleep(STREAM_SILENCE);
        tokio::pin!(silence);
        loop {
            let frame = tokio::select! {
                biased;
                command = self.rx.recv() => match command {
                    Some(Command::Abandon) => return StreamEnd::Broken(UnknownCause::Silent),
                    _ => return self.stopped(),
                },
                () = self.tx.closed() => return StreamEnd::Stopped,
                frame = body.frame() => frame,
                () = silence.as_mut(), if repeatable => {
                    let again = tokio::time::Instant::now() + STILL_SILENT;
                    silence.as_mut().reset(again);
                    let call = self.guard.call;
                    self.gateway.driver.event(DispatchEvent::Silent { call });
                    continue;
                }
            };
            let data = match frame {
                None if events.has_partial_event() => {
                    return StreamEnd::Broken(UnknownCause::ConnectionLost);
                }
                None => return StreamEnd::Whole,
                Some(Err(_)) => return StreamEnd::Broken(UnknownCause::ConnectionLost),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let Ok(whole) = events.push(&data) else {
                return StreamEnd::Broken(UnknownCause::ForeignAnswer);
            };
            if whole.iter().any(StreamEvent::carries_data) {
                let again = tokio::time::Instant::now() + STREAM_SILENCE;
                silence.as_mut().reset(again);
            }
            for event in whole {
                self.note_event();
                self.last_id = event.id.or(self.last_id.take());
                if self.tx.send(Ok(Bytes::from(event.bytes))).await.is_err() {
                    return StreamEnd::Stopped;
                }
            }
        }
    }

    /// Tells the dispatcher of an event's time.
    fn note_event(&mut self) {
        let now = Instant::now();
        let call = self.guard.call;
        let driver = &self.gateway.driver;
        match self.last_event_at.replace(now) {
            None => driver.event(DispatchEvent::FirstByte { call }),
            Some(last) => driver.event(DispatchEvent::Pause {
                call,
                pause: now.saturating_duration_since(last),
            }),
        }
    }

    fn stopped(&mut self) -> StreamEnd {
        self.guard.refused();
        StreamEnd::Stopped
    }

    /// Goes on at another upstream, if the dispatcher says so.
    async fn resume(&mut self) -> Option<(Attempt, Incoming, Connection)> {
        loop {
            let attempt = match self.rx.recv().await {
                Some(Command::Send(attempt)) => attempt,
                // One that crossed the end of the attempt.
                Some(Command::Abandon) => continue,
                Some(Command::Refuse(_) | Command::PassOn) | None => {
                    self.guard.refused();
                    return None;
                }
            };
            let gateway = Rc::clone(&self.gateway);
            let resume_after = self.last_id.clone();
            let sending = send(&gateway, &self.held, &attempt, resume_after);
            let sent = tokio::select! {
                biased;
                _ = self.rx.recv() => {
                    self.guard.refused();
                    return None;
                }
                () = self.tx.closed() => return None,
                sent = sending => sent,
            };
            let end = match sent {
                Attempted::Open(open) => return Some((*attempt, open.body, open.connection)),
                Attempted::Failed(answer) => AttemptEnd::Failure {
                    status: answer.status().as_u16(),
                },
                Attempted::Ended(end) => end,
            };
            gateway.attempt_ended(self.guard.call, end);
        }
    }

    /// Aborts the caller's connection, so that the answer doesn't look whole.
    async fn cut(self) {
        // A caller who is gone needs no abort.
        drop(self.tx.send(Err(Cut)).await);
    }
}
