//! Bodies of answers, and answers of the entry's own.

use compact_str::CompactString;
use egretstage_dispatch::Refusal;
use egretstage_wire::RequestId;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Bytes, Frame};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::Receiver;

/// The answer ends before it is whole: the connection is aborted, so that the
/// caller can't take it for whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer is cut off")]
pub(crate) struct Cut;

/// Body of any answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Cut>;

/// A body whose parts come from a task.
pub(crate) struct TaskBody(pub(crate) Receiver<Result<Bytes, Cut>>);

impl Body for TaskBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.0
            .poll_recv(cx)
            .map(|part| part.map(|part| part.map(Frame::data)))
    }
}

/// Returns a body that is whole.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an answer of the entry's own.
pub(crate) fn own_answer(status: u16, text: &str) -> Response<AnswerBody> {
    let mut resp = Response::new(whole(Bytes::from(format!("{text}\n"))));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    resp.headers_mut().insert(CONTENT_TYPE, plain);
    resp
}

/// Returns the answer to a refused call.
pub(crate) fn refused(refusal: &Refusal, request: &RequestId, close: bool) -> Response<AnswerBody> {
    let reason: &'static str = refusal.kind.into();
    let text = format!("request {request}: {reason}");
    let mut resp = own_answer(refusal.kind.status(), &text);
    if let Some(delay) = refusal.retry_after {
        let seconds = CompactString::from(format!("{:.3}", delay.as_secs_f64()));
        if let Ok(value) = HeaderValue::try_from(seconds.as_str()) {
            resp.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    if close {
        let value = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, value);
    }
    resp
}
