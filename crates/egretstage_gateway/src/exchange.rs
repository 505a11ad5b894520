//! One request of a caller, from its head to its answer.

use crate::answers::{AnswerBody, own_answer, refused, whole};
use crate::attempt::strip_connection_headers;
use crate::attempt::{Attempted, HeldRequest, OpenAnswer, WholeAnswer, finish, send};
use crate::dialect::HttpDialect;
use crate::driver::{Command, Driver};
use crate::relay;
use crate::upstream_pool::UpstreamPool;
use egretstage_dispatch::{
    Attempt, AttemptEnd, CallKey, DispatchEvent, RoutingTable, UnknownCause,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

/// Largest body while no configuration says what is allowed, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What all requests share.
pub(crate) struct Gateway {
    pub(crate) driver: Rc<Driver>,
    pub(crate) pool: Rc<UpstreamPool>,
    pub(crate) dialect: Rc<dyn HttpDialect>,
    pub(crate) table: watch::Receiver<Option<Arc<RoutingTable>>>,
    pub(crate) closing: watch::Receiver<bool>,
}

/// Tells the dispatcher when a call's caller is gone.
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

    /// The answer was passed on whole.
    pub(crate) fn completed(&mut self) {
        self.end(true);
    }

    /// The dispatcher has ended the call itself.
    pub(crate) fn refused(&mut self) {
        self.open = false;
        self.driver.close(self.call);
    }

    fn end(&mut self, whole: bool) {
        if std::mem::take(&mut self.open) {
            self.driver.close(self.call);
            let call = self.call;
            self.driver.event(DispatchEvent::Ended { call, whole });
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
    pub(crate) async fn serve(self: Rc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        let call_head = match self.dialect.parse_call_head(&head) {
            Ok(call_head) => call_head,
            Err(e) => return own_answer(400, &e.to_string()),
        };
        let body = match self.read_body(body).await {
            Ok(body) => body,
            Err(resp) => return resp,
        };
        let request = call_head.request.clone();
        let (call, rx) = self.driver.open();
        let guard = CallGuard::new(&self.driver, call);
        let head_box = Box::new(call_head);
        self.driver.event(DispatchEvent::Arrived {
            call,
            head: head_box,
        });
        let req = HeldRequest {
            request,
            head,
            body,
        };
        self.run(guard, rx, req).await
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Response<AnswerBody>> {
        let limit = self
            .table
            .borrow()
            .as_ref()
            .map_or(DEFAULT_MAX_BODY_BYTES, |table| {
                table.limits().max_body_bytes
            });
        let collected = Limited::new(body, limit).collect();
        match tokio::time::timeout(BODY_TIMEOUT, collected).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.downcast_ref::<LengthLimitError>().is_some() => {
                Err(own_answer(413, &format!("the body is over {limit} bytes")))
            }
            Ok(Err(e)) => Err(own_answer(400, &format!("the body is broken: {e}"))),
            Err(_) => Err(own_answer(408, "the body did not arrive in time")),
        }
    }

    /// Carries out what the dispatcher decides on a call.
    async fn run(
        self: &Rc<Self>,
        mut guard: CallGuard,
        mut rx: UnboundedReceiver<Command>,
        held: HeldRequest,
    ) -> Response<AnswerBody> {
        let mut failed: Option<Box<WholeAnswer>> = None;
        loop {
            match rx.recv().await {
                Some(Command::Send(attempt)) => {
                    let attempted = tokio::select! {
                        biased;
                        command = rx.recv() => match command {
                            Some(Command::Refuse(refusal)) => {
                                guard.refused();
                                return refused(&refusal, &held.request, self.is_closing());
                            }
                            // While an attempt runs, it can only be ended.
                            _ => return broken(),
                        },
                        attempted = self.attempt(&held, &attempt) => attempted,
                    };
                    match attempted {
                        Finished::Whole(answer) => {
                            return self.pass_on(&mut guard, *answer);
                        }
                        Finished::Streams(open) => {
                            let gateway = Rc::clone(self);
                            return relay::start(gateway, guard, rx, held, *attempt, *open);
                        }
                        Finished::Failed(answer) => {
                            let status = answer.status().as_u16();
                            failed = Some(answer);
                            self.attempt_ended(guard.call, AttemptEnd::Failure { status });
                        }
                        Finished::Ended(end) => self.attempt_ended(guard.call, end),
                    }
                }
                Some(Command::Refuse(refusal)) => {
                    guard.refused();
                    return refused(&refusal, &held.request, self.is_closing());
                }
                Some(Command::PassOn) => match failed.take() {
                    Some(answer) => return self.pass_on(&mut guard, *answer),
                    None => return broken(),
                },
                // Only streams that have begun are abandoned.
                Some(Command::Abandon) => {}
                None => return broken(),
            }
        }
    }

    pub(crate) fn attempt_ended(&self, call: CallKey, end: AttemptEnd) {
        self.driver.event(DispatchEvent::AttemptEnded { call, end });
    }

    async fn attempt(&self, held: &HeldRequest, attempt: &Attempt) -> Finished {
        let sent = send(self, held, attempt, None).await;
        match sent {
            Attempted::Open(open) if attempt.streams => Finished::Streams(Box::new(open)),
            Attempted::Open(open) => match finish(&self.pool, attempt, open).await {
                Some(answer) => Finished::Whole(Box::new(answer)),
                None => Finished::Ended(AttemptEnd::Unknown {
                    cause: UnknownCause::ConnectionLost,
                }),
            },
            Attempted::Failed(answer) => Finished::Failed(answer),
            Attempted::Ended(end) => Finished::Ended(end),
        }
    }

    fn pass_on(&self, guard: &mut CallGuard, answer: WholeAnswer) -> Response<AnswerBody> {
        let call = guard.call;
        self.driver.event(DispatchEvent::FirstByte { call });
        guard.completed();
        let (mut head, body) = answer.into_parts();
        strip_connection_headers(&mut head.headers);
        Response::from_parts(head, whole(body))
    }

    fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }
}

/// How an attempt ended, with its whole answer.
enum Finished {
    Whole(Box<WholeAnswer>),
    Streams(Box<OpenAnswer>),
    Failed(Box<WholeAnswer>),
    Ended(AttemptEnd),
}

/// Answers a call whose state was lost: it may have run.
fn broken() -> Response<AnswerBody> {
    log::error!("a call was told something that doesn't fit its state");
    own_answer(502, "internal error")
}
