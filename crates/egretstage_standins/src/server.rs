//! The HTTP server that the stand-ins share.

use egretstage_runtime::bind_listener;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpListener;
use tokio::sync::mpsc::Receiver;

/// A request that has arrived whole.
#[derive(Debug)]
pub struct StandInRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty for none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl StandInRequest {
    /// Returns a number from the query.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Returns a header's text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// What a stand-in answers.
#[derive(Debug)]
pub enum Reply {
    /// A status with a JSON body.
    Json(u16, serde_json::Value),
    /// A stream of server-sent events, flushed one by one.
    Events(Receiver<Bytes>),
    /// The connection is closed without an answer.
    CloseConnection,
}

impl Reply {
    /// Answers with status 200 and a JSON body.
    ///
    /// # Panics
    ///
    /// Panics when the value can't be expressed in JSON.
    pub fn ok(value: &impl Serialize) -> Self {
        Self::Json(200, serde_json::to_value(value).expect("plain data"))
    }

    /// Answers with a status and an error text.
    #[must_use]
    pub fn error(status: u16, text: &str) -> Self {
        Self::Json(status, serde_json::json!({ "error": text }))
    }
}

/// Answers the requests of one stand-in.
pub trait StandInHandler: Send + Sync + 'static {
    /// Answers one request; dropped when the client hangs up.
    fn answer(&self, call: StandInRequest) -> impl Future<Output = Reply> + Send;
}

struct EventBody(Receiver<Bytes>);

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(cx)
            .map(|bytes| bytes.map(|bytes| Ok(hyper::body::Frame::data(bytes))))
    }
}

type StandInBody = UnsyncBoxBody<Bytes, Infallible>;

/// Serves a handler on the current runtime and returns the address in use.
///
/// # Errors
///
/// Returns the system's error when the address can't be used.
pub fn serve<H: StandInHandler>(address: SocketAddr, handler: Arc<H>) -> io::Result<SocketAddr> {
    let listener = TcpListener::from_std(bind_listener(address)?)?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                return;
            };
            let _ = tcp.set_nodelay(true);
            let handler = Arc::clone(&handler);
            let service = service_fn(move |req| respond(Arc::clone(&handler), req));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(tcp), service);
            tokio::spawn(async move {
                let _ = connection.await;
            });
        }
    });
    Ok(address)
}

/// The client gets no answer: its connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in closed the connection")]
struct ConnectionCut;

async fn respond<H: StandInHandler>(
    handler: Arc<H>,
    req: Request<Incoming>,
) -> Result<Response<StandInBody>, ConnectionCut> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionCut)?.to_bytes();
    let call = StandInRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    match handler.answer(call).await {
        Reply::Json(status, value) => {
            let body = Full::new(Bytes::from(value.to_string())).boxed_unsync();
            Ok(response(status, "application/json", body))
        }
        Reply::Events(rx) => Ok(response(
            200,
            "text/event-stream",
            EventBody(rx).boxed_unsync(),
        )),
        Reply::CloseConnection => Err(ConnectionCut),
    }
}

fn response(status: u16, content_type: &'static str, body: StandInBody) -> Response<StandInBody> {
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let value = HeaderValue::from_static(content_type);
    resp.headers_mut().insert(CONTENT_TYPE, value);
    resp
}
