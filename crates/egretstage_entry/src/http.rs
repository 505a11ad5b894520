//! The callers' HTTP server.

use crate::answer::{AnswerBody, CallerGuard};
use crate::responses::{
    ResponseBody, closing_response, invalid_response, refusal_response, set_outcome_headers,
};
use crate::{
    AnswerPart, CallKey, CallRequest, EntryEvent, InvalidRequest, RawRequest, Refusal, RefusalKind,
    RequestLimits,
};
use egretstage_caller_io::{
    CallerBounds, GrowingBody, HeldBody, KeepingBody, OpenConnection, TurnedAway, UnreadBody,
    longest_body_time, read_body_discarding, run_until_closed, watch_caller,
};
use egretstage_runtime::EventSender;
use egretstage_wire::{Incarnation, RequestId};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::server::conn::http1::Connection;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

/// Maximum time to receive the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of bytes above the body limit that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// Maximum total size of the headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time without a new connection after which the listener's backlog is considered
/// empty during a stop.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// Time after the longest deadline that is left for writing the last bytes of
/// answers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

type SendersByCall = Arc<Mutex<HashMap<CallKey, UnboundedSender<AnswerPart>>>>;

/// Routes parts of answers to the callers' connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerRouter(SendersByCall);

impl AnswerRouter {
    /// Sends a part to a call's connection; drops it if the caller has
    /// disconnected.
    pub(crate) fn send(&self, call: CallKey, part: AnswerPart) {
        let last = matches!(
            part,
            AnswerPart::End | AnswerPart::Cut | AnswerPart::Refused(_)
        );
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = senders.get(&call) {
            let _ = tx.send(part);
        }
        if last {
            senders.remove(&call);
        }
    }

    fn register(&self, call: CallKey) -> UnboundedReceiver<AnswerPart> {
        let (tx, rx) = unbounded_channel();
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.insert(call, tx);
        rx
    }

    fn unregister(&self, call: CallKey) {
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.remove(&call);
    }
}

/// The callers' HTTP server: state shared by all its connections.
pub(crate) struct CallerServer {
    pub(crate) events: EventSender<EntryEvent>,
    pub(crate) answers: AnswerRouter,
    pub(crate) incarnation: Incarnation,
    pub(crate) limits: RequestLimits,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_connections: usize,
    bounds: Arc<CallerBounds>,
    next_call: AtomicU64,
}

impl CallerServer {
    pub(crate) fn new(
        events: EventSender<EntryEvent>,
        answers: AnswerRouter,
        incarnation: Incarnation,
        settings: &egretstage_config::settings::CallerSettings,
        bounds: Arc<CallerBounds>,
    ) -> Self {
        Self {
            events,
            answers,
            incarnation,
            limits: RequestLimits {
                default_budget: Duration::from_millis(settings.default_budget_ms),
                max_budget: Duration::from_millis(settings.max_budget_ms),
            },
            max_body_bytes: settings.max_body_bytes,
            max_connections: settings.max_connections,
            bounds,
            next_call: AtomicU64::new(0),
        }
    }

    /// Accepts connections until a stop is requested, then serves the open
    /// ones until they end.
    pub(crate) async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) {
        let all_permits = u32::try_from(self.max_connections + 1).unwrap_or(u32::MAX);
        let permits = Arc::new(Semaphore::new(self.max_connections + 1));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop_requested(&mut stop) => break,
            };
            match accepted {
                Ok((tcp, _)) => self.start_connection(tcp, &permits, &stop).await,
                Err(e) => {
                    log::warn!(error:display = e; "can't accept a caller's connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.accept_backlog(&listener, &permits, &stop).await;
        drop(listener);
        let drain_timeout = HEADER_TIMEOUT
            + longest_body_time(self.max_body_bytes)
            + self.limits.max_budget
            + FLUSH_TIMEOUT;
        if timeout(drain_timeout, permits.acquire_many(all_permits))
            .await
            .is_err()
        {
            log::warn!(
                "callers' connections are still open at the end of the drain time: closing them"
            );
        }
    }

    /// Accepts the connections in the kernel's backlog, which closing the
    /// listener would reset.
    async fn accept_backlog(
        self: &Arc<Self>,
        listener: &TcpListener,
        permits: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) {
        while let Ok(Ok((tcp, _))) = timeout(BACKLOG_WAIT, listener.accept()).await {
            self.start_connection(tcp, permits, stop).await;
        }
    }

    /// Serves a new connection; waits until the one that gives way to it is closed.
    async fn start_connection(
        self: &Arc<Self>,
        tcp: TcpStream,
        permits: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) {
        let Some(open) = self.bounds.open() else {
            return;
        };
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
            self.bounds.record(TurnedAway::NoRoomForConnection);
            return;
        };
        let server = Arc::clone(self);
        let stop = stop.clone();
        tokio::spawn(async move {
            server.serve_connection(tcp, stop, &open).await;
            drop((open, permit));
        });
        self.bounds.has_room().await;
    }

    async fn serve_connection(
        self: Arc<Self>,
        tcp: TcpStream,
        mut stop: watch::Receiver<bool>,
        open: &OpenConnection,
    ) {
        let _ = tcp.set_nodelay(true);
        let (stream, watch) = watch_caller(tcp);
        let marker = watch.marker();
        let service = service_fn(|req| {
            let (server, call) = (Arc::clone(&self), marker.begin());
            let (kept, growing) = open.begin().unzip();
            async move {
                let _call = call;
                let (resp, room) = server.handle_request(req, growing).await;
                let kept = (kept, room);
                Ok::<_, Infallible>(resp.map(|body| KeepingBody::new(body, kept)))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let stop = stop_requested(&mut stop);
        let run = run_until_closed(connection, &watch, stop, Connection::graceful_shutdown);
        let end = tokio::select! {
            biased;
            () = open.given_up() => {
                log::debug!("a caller's connection is closed for a new one");
                return;
            }
            end = run => end,
        };
        match end {
            Some(Ok(())) => {}
            Some(Err(e)) => log::debug!("a caller's connection failed: {e}"),
            None => log::debug!("a caller has closed its connection"),
        }
    }

    /// Answers a request; returns the room of its body, too, which may be in use until the
    /// answer has ended.
    async fn handle_request(
        &self,
        req: Request<Incoming>,
        growing: Option<GrowingBody>,
    ) -> (Response<ResponseBody>, Option<HeldBody>) {
        let sequence = self.next_call.fetch_add(1, Ordering::Relaxed);
        let id_text = format!("{:016x}-{sequence:x}", self.incarnation.0);
        let request =
            RequestId::try_from(id_text.as_str()).expect("hexadecimal digits are allowed");
        let call = CallKey(sequence);
        match self.read_request(req, growing, call, &request).await {
            Ok((parsed, room)) => (self.wait_for_answer(parsed, &request).await, Some(room)),
            Err(response) => (response, None),
        }
    }

    async fn read_request(
        &self,
        req: Request<Incoming>,
        growing: Option<GrowingBody>,
        call: CallKey,
        request: &RequestId,
    ) -> Result<(CallRequest, HeldBody), Response<ResponseBody>> {
        let (head, body) = req.into_parts();
        if head.version < Version::HTTP_11 {
            let message =
                "HTTP/1.1 is needed: older versions can't tell a cut answer from a whole one";
            return Err(invalid_response(505, "http_version", message, request));
        }
        let Some(growing) = growing else {
            let message = "there is no room for the connection";
            return Err(closing_response(503, "no_room", message, request));
        };
        let limit = self.max_body_bytes;
        let read = read_body_discarding(body, growing, limit, MAX_DISCARDED_BYTES, &self.bounds);
        let (body, room) = match read.await {
            Ok(read) => read,
            Err(e) => {
                let (status, code) = match e {
                    UnreadBody::TooLarge { .. } => (413, "body_too_large"),
                    UnreadBody::TooSlow => (408, "body_too_slow"),
                    UnreadBody::NoRoom => (503, "no_room"),
                    UnreadBody::Broken(_) => (400, "body_broken"),
                };
                let text = e.to_string();
                return Err(match e {
                    UnreadBody::TooLarge {
                        is_discarded: true, ..
                    } => invalid_response(status, code, &text, request),
                    _ => closing_response(status, code, &text, request),
                });
            }
        };
        let header_text = |name: &str| header_value(&head.headers, name);
        let raw = RawRequest {
            method: head.method.to_string(),
            path: head
                .uri
                .path_and_query()
                .map(ToString::to_string)
                .unwrap_or_default(),
            authorization: header_text("authorization"),
            budget_ms: header_text("egret-budget-ms"),
            priority: header_text("egret-priority"),
            key: header_text("idempotency-key"),
            content_type: header_text("content-type"),
            body,
        };
        let parsed = CallRequest::from_raw(raw, call, request.clone(), &self.limits);
        let parsed = parsed.map_err(|e| {
            let code = match e {
                InvalidRequest::Token => "no_token",
                _ => "invalid_request",
            };
            invalid_response(e.status(), code, &e.to_string(), request)
        })?;
        Ok((parsed, room))
    }

    async fn wait_for_answer(
        &self,
        req: CallRequest,
        request: &RequestId,
    ) -> Response<ResponseBody> {
        let call = req.call;
        let mut rx = self.answers.register(call);
        let mut guard = CallerGuard::new(call, self.events.clone());
        let unregister = scope_guard(|| self.answers.unregister(call));
        self.events.send(EntryEvent::RequestArrived(Box::new(req)));
        match rx.recv().await {
            Some(AnswerPart::Head {
                status,
                content_type,
            }) => {
                unregister.dismiss();
                let body = AnswerBody::new(rx, guard).boxed_unsync();
                let mut resp = Response::new(body);
                *resp.status_mut() =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                if let Some(value) = content_type.and_then(|t| HeaderValue::try_from(&*t).ok()) {
                    resp.headers_mut().insert(CONTENT_TYPE, value);
                }
                set_outcome_headers(&mut resp, request, "completed");
                resp
            }
            Some(AnswerPart::Refused(refusal)) => {
                guard.disarm();
                refusal_response(&refusal, request)
            }
            _ => {
                guard.disarm();
                let kind = RefusalKind::Unknown(egretstage_wire::UnknownReason::UpstreamCut);
                let retry_after = None;
                refusal_response(&Refusal { kind, retry_after }, request)
            }
        }
    }
}

/// Waits until a stop is requested.
async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await.is_ok();
}

fn header_value(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Runs a closure at the end of the scope, also when the future that holds it
/// is dropped.
struct ScopeGuard<F: FnMut()>(Option<F>);

fn scope_guard<F: FnMut()>(f: F) -> ScopeGuard<F> {
    ScopeGuard(Some(f))
}

impl<F: FnMut()> ScopeGuard<F> {
    fn dismiss(mut self) {
        self.0 = None;
    }
}

impl<F: FnMut()> Drop for ScopeGuard<F> {
    fn drop(&mut self) {
        if let Some(f) = &mut self.0 {
            f();
        }
    }
}
