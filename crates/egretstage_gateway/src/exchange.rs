//! Handles one request of a caller, from its head to its answer.

use crate::answers::{AnswerBody, closing_answer, full_body, own_answer, refusal_answer};
use crate::attempt::strip_connection_headers;
use crate::attempt::{BufferedRequest, CompleteAnswer, OpenAnswer, SendOutcome};
use crate::attempt::{lost_connection_cause, read_to_end, send};
use crate::dialect::HttpDialect;
use crate::driver::{Command, Driver};
use crate::relay;
use crate::upstream_pool::UpstreamPool;
use egretstage_caller_io::{CallerBounds, GrowingBody, HeldBody, UnreadBody, read_body};
use egretstage_dispatch::{
    Attempt, AttemptEnd, CallHead, CallKey, DispatchEvent, RequestHash, RoutingTable,
};
use hyper::body::{Bytes, Incoming};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

/// Largest body in bytes until a configuration sets the limit.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;

/// State that all requests share.
pub(crate) struct Gateway {
    pub(crate) driver: Rc<Driver>,
    pub(crate) pool: Rc<UpstreamPool>,
    pub(crate) bounds: Arc<CallerBounds>,
    pub(crate) dialect: Rc<dyn HttpDialect>,
    pub(crate) table: watch::Receiver<Option<Arc<RoutingTable>>>,
    pub(crate) closing: watch::Receiver<bool>,
    /// Whether the stop is complete but for requests that are being read and answers that are
    /// being written.
    pub(crate) ending: watch::Receiver<bool>,
}

/// Reports the end of a call to the dispatcher, even if the caller disconnects
/// and the call's task is dropped.
pub(crate) struct CallGuard {
    driver: Rc<Driver>,
    pub(crate) call: CallKey,
    open: bool,
}

impl CallGuard {
    fn new(driver: &Rc<Driver>, call: CallKey) -> Self {
        Self {
            driver: Rc::clone(driver),
            call,
            open: true,
        }
    }

    /// Ends the call after its complete answer was passed on.
    pub(crate) fn mark_completed(&mut self) {
        self.end(true);
    }

    /// Closes a call that the dispatcher has ended itself, without reporting
    /// its end.
    pub(crate) fn mark_refused(&mut self) {
        self.open = false;
        self.driver.close_call(self.call);
    }

    fn end(&mut self, whole: bool) {
        if std::mem::take(&mut self.open) {
            self.driver.close_call(self.call);
            let call = self.call;
            self.driver
                .handle_event(DispatchEvent::Ended { call, whole });
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Gateway {
    /// Answers a request.
    pub(crate) async fn serve(
        self: Rc<Self>,
        req: Request<Incoming>,
        growing: GrowingBody,
    ) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        let call_head = match self.dialect.parse_call_head(&head) {
            Ok(call_head) => call_head,
            Err(e) => return own_answer(400, &e.to_string()),
        };
        let (call, commands) = self.driver.open_call();
        let guard = CallGuard::new(&self.driver, call);
        self.driver
            .handle_event(DispatchEvent::HeadArrived { call });
        let (body, room) = match self.read_body(body, growing).await {
            Ok(body) => body,
            Err(resp) => return resp,
        };
        let request = call_head.request.clone();
        let content = request_hash(&call_head, &head, &body);
        let boxed_head = Box::new(call_head);
        self.driver.handle_event(DispatchEvent::Arrived {
            call,
            head: boxed_head,
            content,
        });
        let req = BufferedRequest {
            request,
            head,
            body,
            room,
        };
        self.run(guard, commands, req).await
    }

    async fn read_body(
        &self,
        body: Incoming,
        growing: GrowingBody,
    ) -> Result<(Bytes, HeldBody), Response<AnswerBody>> {
        let limit = self
            .table
            .borrow()
            .as_ref()
            .map_or(DEFAULT_MAX_BODY_BYTES, |table| {
                table.limits().max_body_bytes
            });
        match read_body(body, growing, limit, &self.bounds).await {
            Ok((body, room)) => Ok((Bytes::from(body), room)),
            Err(e) => {
                let status = match e {
                    UnreadBody::TooLarge { .. } => 413,
                    UnreadBody::TooSlow => 408,
                    UnreadBody::NoRoom => 503,
                    UnreadBody::Broken(_) => 400,
                };
                Err(closing_answer(status, &e.to_string()))
            }
        }
    }

    /// Carries out the dispatcher's commands for a call.
    async fn run(
        self: &Rc<Self>,
        mut guard: CallGuard,
        mut commands: UnboundedReceiver<Command>,
        req: BufferedRequest,
    ) -> Response<AnswerBody> {
        let mut failed_answer: Option<Box<CompleteAnswer>> = None;
        loop {
            match commands.recv().await {
                Some(Command::Send(attempt)) => {
                    let outcome = tokio::select! {
                        biased;
                        command = commands.recv() => match command {
                            Some(Command::Refuse(refusal)) => {
                                guard.mark_refused();
                                return refusal_answer(&refusal, &req.request, self.is_closing());
                            }
                            // A refusal is the only command that is valid
                            // during an attempt.
                            _ => return internal_error(),
                        },
                        outcome = self.attempt(&req, &attempt) => outcome,
                    };
                    match outcome {
                        AttemptOutcome::Complete(answer) => {
                            return self.pass_on(&mut guard, *answer);
                        }
                        AttemptOutcome::Streaming(open) => {
                            let gateway = Rc::clone(self);
                            return relay::start(gateway, guard, commands, req, *attempt, *open);
                        }
                        AttemptOutcome::Failed(answer) => {
                            let status = answer.status().as_u16();
                            failed_answer = Some(answer);
                            self.report_attempt_end(guard.call, AttemptEnd::Failure { status });
                        }
                        AttemptOutcome::Ended(end) => self.report_attempt_end(guard.call, end),
                    }
                }
                Some(Command::Refuse(refusal)) => {
                    guard.mark_refused();
                    return refusal_answer(&refusal, &req.request, self.is_closing());
                }
                Some(Command::PassOn) => match failed_answer.take() {
                    Some(answer) => return self.pass_on(&mut guard, *answer),
                    None => return internal_error(),
                },
                // Applies only to streams that have begun.
                Some(Command::Abandon(_)) => {}
                None => return internal_error(),
            }
        }
    }

    pub(crate) fn report_attempt_end(&self, call: CallKey, end: AttemptEnd) {
        self.driver
            .handle_event(DispatchEvent::AttemptEnded { call, end });
    }

    async fn attempt(&self, req: &BufferedRequest, attempt: &Attempt) -> AttemptOutcome {
        let sent = send(self, req, attempt, None).await;
        match sent {
            SendOutcome::Open(open) if attempt.is_stream => AttemptOutcome::Streaming(open),
            SendOutcome::Open(open) => match read_to_end(&self.pool, req, attempt, *open).await {
                Some(answer) => AttemptOutcome::Complete(Box::new(answer)),
                None => AttemptOutcome::Ended(AttemptEnd::Unknown {
                    cause: lost_connection_cause(&self.pool, attempt).await,
                }),
            },
            SendOutcome::Failed(answer) => AttemptOutcome::Failed(answer),
            SendOutcome::Ended(end) => AttemptOutcome::Ended(end),
        }
    }

    fn pass_on(&self, guard: &mut CallGuard, answer: CompleteAnswer) -> Response<AnswerBody> {
        let call = guard.call;
        self.driver.handle_event(DispatchEvent::FirstByte { call });
        guard.mark_completed();
        let (mut head, body) = answer.into_parts();
        strip_connection_headers(&mut head.headers);
        Response::from_parts(head, full_body(body))
    }

    fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }
}

/// Returns the hash of what a caller requests: the method, the host, the path with its query,
/// the caller's key and the whole body.
fn request_hash(call_head: &CallHead, head: &Parts, body: &Bytes) -> RequestHash {
    let path = head.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let key = call_head.api_key.as_deref().unwrap_or_default();
    RequestHash::of_fields(&[
        head.method.as_str().as_bytes(),
        call_head.host.as_bytes(),
        path.as_bytes(),
        key.as_bytes(),
        body,
    ])
}

/// Result of an attempt, with the whole answer unless it is a stream.
enum AttemptOutcome {
    Complete(Box<CompleteAnswer>),
    Streaming(Box<OpenAnswer>),
    Failed(Box<CompleteAnswer>),
    Ended(AttemptEnd),
}

/// Answers a call that received no command or an unexpected one; its request
/// may have run.
fn internal_error() -> Response<AnswerBody> {
    log::error!("a call received no command, or one that is invalid in its state");
    own_answer(502, "internal error")
}
