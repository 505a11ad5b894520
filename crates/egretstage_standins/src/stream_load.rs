//! Many callers that open a streamed draft at one instant.

use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// One burst of streamed drafts.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Where the callers connect.
    pub address: SocketAddr,
    /// How many connect at once.
    pub streams: usize,
    /// Tokens of each draft.
    pub tokens: u32,
    /// Bearer token.
    pub token: &'static str,
}

/// What one caller saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamTimes {
    /// From the connect to the first byte of the body.
    pub first_token: Duration,
    /// From one piece of the body to the next.
    pub gaps: Vec<Duration>,
    /// Whether the answer ended with its terminal event.
    pub complete: bool,
}

/// Sends a burst and returns what each caller saw; a caller without an answer
/// is left out.
pub async fn send_burst(burst: Burst) -> Vec<StreamTimes> {
    let mut callers = JoinSet::new();
    for number in 0..burst.streams {
        callers.spawn(async move { stream(burst, number).await.ok() });
    }
    let seen = callers.join_all().await;
    seen.into_iter().flatten().collect()
}

/// A caller's connection failed.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

async fn stream(burst: Burst, number: usize) -> Result<StreamTimes, StreamError> {
    let start = Instant::now();
    let tcp = TcpStream::connect(burst.address).await?;
    tcp.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(tcp)).await?;
    tokio::spawn(connection);
    let resp = sender.send_request(request(burst, number)?).await?;
    read(start, resp.into_body()).await
}

fn request(burst: Burst, number: usize) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let body = serde_json::json!({
        "model": "draft-1", "stream": true, "max_tokens": burst.tokens,
        "messages": crate::caller::chat_messages(&format!("duct {number}")),
    });
    Request::post("/v1/chat/completions")
        .header("host", burst.address.to_string())
        .header("authorization", format!("Bearer {}", burst.token))
        .header("egret-budget-ms", 60_000)
        .body(Full::new(Bytes::from(body.to_string())))
}

async fn read(start: Instant, mut body: Incoming) -> Result<StreamTimes, StreamError> {
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
