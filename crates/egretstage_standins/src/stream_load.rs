//! Load of many callers that open a streamed chat completion at the same time.

use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// A burst of streamed chat completions.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Address that the callers connect to.
    pub address: SocketAddr,
    /// Number of callers.
    pub streams: usize,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Bearer token of the callers.
    pub token: &'static str,
}

/// Times at which one caller received its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamTimes {
    /// Time from connecting to the first frame of the body.
    pub first_token: Duration,
    /// Times between consecutive frames of the body.
    pub gaps: Vec<Duration>,
    /// Whether the answer ended with its final event.
    pub complete: bool,
}

/// Sends a burst and returns the times of each caller, leaving out callers
/// whose request failed.
pub async fn send_burst(burst: Burst) -> Vec<StreamTimes> {
    let mut callers = JoinSet::new();
    for index in 0..burst.streams {
        callers.spawn(async move { open_stream(burst, index).await.ok() });
    }
    let results = callers.join_all().await;
    results.into_iter().flatten().collect()
}

/// Error of a caller's request.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

async fn open_stream(burst: Burst, index: usize) -> Result<StreamTimes, StreamError> {
    let start = Instant::now();
    let tcp = TcpStream::connect(burst.address).await?;
    tcp.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(tcp)).await?;
    tokio::spawn(connection);
    let resp = sender.send_request(build_request(burst, index)?).await?;
    read_stream(start, resp.into_body()).await
}

fn build_request(burst: Burst, index: usize) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let body = serde_json::json!({
        "model": "draft-1", "stream": true, "max_tokens": burst.tokens,
        "messages": crate::caller::chat_messages(&format!("duct {index}")),
    });
    Request::post("/v1/chat/completions")
        .header("host", burst.address.to_string())
        .header("authorization", format!("Bearer {}", burst.token))
        .header("egret-budget-ms", 60_000)
        .body(Full::new(Bytes::from(body.to_string())))
}

async fn read_stream(start: Instant, mut body: Incoming) -> Result<StreamTimes, StreamError> {
    let mut first_token = None;
    let mut last = start;
    let mut gaps = Vec::new();
    let mut complete = false;
    while let Some(frame) = body.frame().await {
        let now = Instant::now();
        match first_token {
            None => first_token = Some(now - start),
            Some(_) => gaps.push(now - last),
        }
        last = now;
        complete = frame?
            .data_ref()
            .is_some_and(|data| data.ends_with(b"[DONE]\n\n"));
    }
    Ok(StreamTimes {
        first_token: first_token.unwrap_or_default(),
        gaps,
        complete,
    })
}
