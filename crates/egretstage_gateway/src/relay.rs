//! Relays a stream of events to the caller, event by event, and resumes it at
//! another upstream if it is interrupted.

use crate::answers::{AnswerAborted, AnswerBody, ChannelBody};
use crate::attempt::{BufferedRequest, OpenAnswer, SendOutcome};
use crate::attempt::{lost_connection_cause, send, strip_connection_headers};
use crate::driver::Command;
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::{CallGuard, Gateway};
use crate::upstream_pool::Connection;
use compact_str::CompactString;
use egretstage_dispatch::{Attempt, AttemptEnd, DispatchEvent, UnknownCause};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::response;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, channel};

/// Events queued for a slow caller before reads from the upstream pause.
const MAX_QUEUED_EVENTS: usize = 64;

/// Time without a complete event after which the dispatcher decides whether to
/// move a stream to another upstream. It is longer than the stall after which a
/// group's engines end their streams themselves, and shorter than callers wait.
/// Partial events and events without data don't count.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Time between two reports of a stream that stays silent.
const SILENCE_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How the relay of a stream from one upstream ended.
enum RelayEnd {
    /// The stream was passed on to its end.
    Complete,
    /// The upstream failed to complete the stream, or the dispatcher abandoned it.
    Broken(UnknownCause),
    /// The caller is gone, or the dispatcher ended the call.
    Stopped,
}

/// What became of an event for the caller.
enum PassedOn {
    /// It is queued.
    Queued,
    /// The caller is gone.
    CallerGone,
    /// The dispatcher has ended the call; the caller hasn't read in time.
    Ended,
}

/// State of one stream across all attempts.
struct StreamRelay {
    gateway: Rc<Gateway>,
    guard: CallGuard,
    commands: UnboundedReceiver<Command>,
    req: BufferedRequest,
    chunk_tx: Sender<Result<Bytes, AnswerAborted>>,
    /// Id of the last event that was passed on; another upstream resumes after
    /// it.
    last_id: Option<CompactString>,
    last_event_at: Option<Instant>,
    /// Media type of the first answer. An answer of another type doesn't continue it.
    media_type: Option<CompactString>,
    /// Whether the present answer ends with its connection.
    is_unframed: bool,
}

/// Starts the relay of a stream and returns the answer to the caller.
pub(crate) fn start(
    gateway: Rc<Gateway>,
    guard: CallGuard,
    commands: UnboundedReceiver<Command>,
    req: BufferedRequest,
    attempt: Attempt,
    open: OpenAnswer,
) -> Response<AnswerBody> {
    let (chunk_tx, chunk_rx) = channel(MAX_QUEUED_EVENTS);
    let OpenAnswer {
        mut head,
        body,
        connection,
    } = open;
    let (media_type, is_unframed) = (media_type(&head), is_unframed(&head));
    strip_connection_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let stream_relay = StreamRelay {
        gateway,
        guard,
        commands,
        req,
        chunk_tx,
        last_id: None,
        last_event_at: None,
        media_type,
        is_unframed,
    };
    tokio::task::spawn_local(stream_relay.run(attempt, body, connection));
    Response::from_parts(head, ChannelBody(chunk_rx).boxed_unsync())
}

/// Returns the media type of an answer, without parameters.
fn media_type(head: &response::Parts) -> Option<CompactString> {
    let value = head.headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let (media_type, _) = value.split_once(';').unwrap_or((value, ""));
    Some(media_type.trim().to_ascii_lowercase().into())
}

/// Returns whether an answer has neither a length nor chunks.
fn is_unframed(head: &response::Parts) -> bool {
    let headers = &head.headers;
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

impl StreamRelay {
    async fn run(mut self, mut attempt: Attempt, mut body: Incoming, mut connection: Connection) {
        loop {
            match self.relay_events(&mut body, attempt.repeatable).await {
                RelayEnd::Complete => {
                    self.gateway.pool.put_back(&attempt.instance, connection);
                    self.guard.mark_completed();
                    return;
                }
                RelayEnd::Stopped => {
                    // A caller that reads slowly may delay the abort.
                    drop((body, connection));
                    return self.abort().await;
                }
                RelayEnd::Broken(cause) => {
                    drop((body, connection));
                    let cause = match cause {
                        UnknownCause::ConnectionLost => {
                            lost_connection_cause(&self.gateway.pool, &attempt).await
                        }
                        cause => cause,
                    };
                    let end = AttemptEnd::Unknown { cause };
                    self.gateway.report_attempt_end(self.guard.call, end);
                }
            }
            let Some(next) = self.resume().await else {
                return self.abort().await;
            };
            (attempt, body, connection) = next;
        }
    }

    /// Relays events until the stream is complete or interrupted, or the call
    /// ends.
    async fn relay_events(&mut self, body: &mut Incoming, repeatable: bool) -> RelayEnd {
        let mut events = EventSplitter::default();
        let mut has_event = false;
        let mut abandoned = None;
        let silence = tokio::time::sleep(SILENCE_TIMEOUT);
        tokio::pin!(silence);
        loop {
            let frame = tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(Command::Abandon(cause)) => return RelayEnd::Broken(cause),
                    _ => return self.stop(),
                },
                () = self.chunk_tx.closed() => return RelayEnd::Stopped,
                frame = body.frame() => frame,
                () = silence.as_mut(), if repeatable => {
                    let next_check = tokio::time::Instant::now() + SILENCE_REPORT_INTERVAL;
                    silence.as_mut().reset(next_check);
                    let call = self.guard.call;
                    self.gateway.driver.handle_event(DispatchEvent::Silent { call });
                    continue;
                }
            };
            let data = match frame {
                // An upstream that ends before the first event leaves such an answer, too.
                None if events.has_partial_event() || (self.is_unframed && !has_event) => {
                    return RelayEnd::Broken(UnknownCause::ConnectionLost);
                }
                None => return RelayEnd::Complete,
                Some(Err(_)) => return RelayEnd::Broken(UnknownCause::ConnectionLost),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let Ok(complete_events) = events.push(&data) else {
                return RelayEnd::Broken(UnknownCause::ForeignAnswer);
            };
            if complete_events.iter().any(StreamEvent::carries_data) {
                let next_check = tokio::time::Instant::now() + SILENCE_TIMEOUT;
                silence.as_mut().reset(next_check);
            }
            for event in complete_events {
                if !event.is_valid() {
                    log::warn!(
                        request:display = self.req.request, bytes = event.bytes.len();
                        "an upstream's stream contains bytes that are no event"
                    );
                    return RelayEnd::Broken(UnknownCause::ForeignAnswer);
                }
                has_event = true;
                self.report_event();
                self.last_id = event.id.or(self.last_id.take());
                match self.pass_on(Bytes::from(event.bytes), &mut abandoned).await {
                    PassedOn::Queued => {}
                    PassedOn::CallerGone => return RelayEnd::Stopped,
                    PassedOn::Ended => return self.stop(),
                }
            }
            if let Some(cause) = abandoned {
                return RelayEnd::Broken(cause);
            }
        }
    }

    /// Queues an event for the caller, unless the dispatcher ends the call while the queue is
    /// full. The attempt may be `abandoned` meanwhile: the event still counts as passed on.
    async fn pass_on(&mut self, event: Bytes, abandoned: &mut Option<UnknownCause>) -> PassedOn {
        let queued = self.chunk_tx.send(Ok(event));
        tokio::pin!(queued);
        loop {
            tokio::select! {
                biased;
                sent = queued.as_mut() => {
                    return sent.map_or(PassedOn::CallerGone, |()| PassedOn::Queued);
                }
                command = self.commands.recv() => match command {
                    Some(Command::Abandon(cause)) => *abandoned = Some(cause),
                    _ => return PassedOn::Ended,
                }
            }
        }
    }

    /// Reports the arrival of an event to the dispatcher.
    fn report_event(&mut self) {
        let now = Instant::now();
        let call = self.guard.call;
        let driver = &self.gateway.driver;
        match self.last_event_at.replace(now) {
            None => driver.handle_event(DispatchEvent::FirstByte { call }),
            Some(previous) => driver.handle_event(DispatchEvent::Pause {
                call,
                pause: now.saturating_duration_since(previous),
            }),
        }
    }

    /// Closes the call, which the dispatcher has ended.
    fn stop(&mut self) -> RelayEnd {
        self.guard.mark_refused();
        RelayEnd::Stopped
    }

    /// Resumes the stream at another upstream if the dispatcher chooses one.
    async fn resume(&mut self) -> Option<(Attempt, Incoming, Connection)> {
        loop {
            let command = tokio::select! {
                biased;
                command = self.commands.recv() => command,
                () = self.chunk_tx.closed() => return None,
            };
            let attempt = match command {
                Some(Command::Send(attempt)) => attempt,
                // The dispatcher sent this before it received the end of the
                // attempt.
                Some(Command::Abandon(_)) => continue,
                Some(Command::Refuse(_) | Command::PassOn) | None => {
                    self.guard.mark_refused();
                    return None;
                }
            };
            let gateway = Rc::clone(&self.gateway);
            let resume_after = self.last_id.clone();
            let sending = send(&gateway, &self.req, &attempt, resume_after);
            let sent = tokio::select! {
                biased;
                _ = self.commands.recv() => {
                    self.guard.mark_refused();
                    return None;
                }
                () = self.chunk_tx.closed() => return None,
                sent = sending => sent,
            };
            let end = match sent {
                SendOutcome::Open(open) if media_type(&open.head) == self.media_type => {
                    self.is_unframed = is_unframed(&open.head);
                    let OpenAnswer {
                        body, connection, ..
                    } = *open;
                    return Some((*attempt, body, connection));
                }
                SendOutcome::Open(_) => {
                    let cause = UnknownCause::ForeignAnswer;
                    AttemptEnd::Unknown { cause }
                }
                SendOutcome::Failed(answer) => AttemptEnd::Failure {
                    status: answer.status().as_u16(),
                },
                SendOutcome::Ended(end) => end,
            };
            gateway.report_attempt_end(self.guard.call, end);
        }
    }

    /// Aborts the caller's connection, so that the answer doesn't look
    /// complete.
    async fn abort(self) {
        let Self {
            chunk_tx,
            guard,
            req,
            ..
        } = self;
        // A caller that doesn't read delays the abort without an end.
        drop((guard, req));
        // The send fails only if the caller is gone already.
        drop(chunk_tx.send(Err(AnswerAborted)).await);
    }
}
