//! HTTP server that the stand-ins share.

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

/// A request with its complete body.
#[derive(Debug)]
pub struct StandInRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string; empty for none.
    pub query: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl StandInRequest {
    /// Returns the number in a query parameter.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Returns the text of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reply of a stand-in.
#[derive(Debug)]
pub enum Reply {
    /// A status with a JSON body.
    Json(u16, serde_json::Value),
    /// A stream of server-sent events, each flushed on its own.
    Events(Receiver<Bytes>),
    /// Closes the connection without an answer.
    CloseConnection,
}

impl Reply {
    /// Creates a reply with status 200 and a JSON body.
    ///
    /// # Panics
    ///
    /// Panics when the value can't be serialised to JSON.
    pub fn ok(value: &impl Serialize) -> Self {
        Self::Json(
            200,
            serde_json::to_value(value).expect("the value is serialisable to JSON"),
        )
    }

    /// Creates a reply with a status and a JSON body that holds an error text.
    #[must_use]
    pub fn error(status: u16, text: &str) -> Self {
        Self::Json(status, serde_json::json!({ "error": text }))
    }
}

/// Handles the requests of one stand-in.
pub trait StandInHandler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the client disconnects.
    fn answer(&self, request: StandInRequest) -> impl Future<Output = Reply> + Send;
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

/// Serves a handler on the current runtime and returns the bound address.
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
            let service = service_fn(move |req| handle_request(Arc::clone(&handler), req));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(tcp), service);
            tokio::spawn(async move {
                let _ = connection.await;
            });
        }
    });
    Ok(address)
}

/// Makes hyper close the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in closed the connection")]
struct ConnectionClosed;

async fn handle_request<H: StandInHandler>(
    handler: Arc<H>,
    req: Request<Incoming>,
) -> Result<Response<StandInBody>, ConnectionClosed> {
    let (parts, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let request = StandInRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    match handler.answer(request).await {
        Reply::Json(status, value) => {
            let body = Full::new(Bytes::from(value.to_string())).boxed_unsync();
            Ok(build_response(status, "application/json", body))
        }
        Reply::Events(rx) => Ok(build_response(
            200,
            "text/event-stream",
            EventBody(rx).boxed_unsync(),
        )),
        Reply::CloseConnection => Err(ConnectionClosed),
    }
}

fn build_response(
    status: u16,
    content_type: &'static str,
    body: StandInBody,
) -> Response<StandInBody> {
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let value = HeaderValue::from_static(content_type);
    resp.headers_mut().insert(CONTENT_TYPE, value);
    resp
}
