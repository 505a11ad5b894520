//! Opens links: WebSocket handshake, check of the shared key, exchange of `Hello`
//! frames.

use crate::pump::{self, IDLE_TIMEOUT, LinkSide};
use crate::{LinkObserver, LinkTable};
use egretstage_wire::{Frame, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode, encode};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::header::AUTHORIZATION;
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

/// Size of the read buffer of a link, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a link couldn't be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer can't be reached.
    #[error("can't connect: {0}")]
    Connect(std::io::Error),
    /// The handshake failed.
    #[error("handshake failed: {0}")]
    Handshake(Box<tungstenite::Error>),
    /// The connection or its handshake wasn't complete after [`IDLE_TIMEOUT`].
    #[error("no answer to the handshake")]
    Timeout,
    /// The peer uses another protocol version.
    #[error("peer has protocol version {0}, this release has {PROTOCOL_VERSION}")]
    UnsupportedVersion(u16),
    /// The peer's first message isn't a `Hello`.
    #[error("peer's first message is not a hello: {0}")]
    MissingHello(String),
    /// The peer doesn't have the shared key.
    #[error("wrong link key")]
    WrongKey,
    /// The shared key can't be sent in a header.
    #[error("the link key has a character that a header can't hold")]
    InvalidKey,
}

impl From<tungstenite::Error> for LinkError {
    fn from(e: tungstenite::Error) -> Self {
        match e {
            tungstenite::Error::Http(resp) if resp.status() == StatusCode::UNAUTHORIZED => {
                Self::WrongKey
            }
            e => Self::Handshake(Box::new(e)),
        }
    }
}

/// What a process presents to its peers: its `Hello` and the shared key.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Identity and role of this process.
    pub hello: Hello,
    /// The `Authorization` value that proves the shared key.
    authorization: HeaderValue,
}

impl LinkIdentity {
    /// Creates an identity from a process's `Hello` and the shared key.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::InvalidKey`] for a key that can't be sent in a header.
    pub fn new(hello: Hello, key: &str) -> Result<Self, LinkError> {
        let mut authorization =
            HeaderValue::try_from(format!("Bearer {key}")).map_err(|_| LinkError::InvalidKey)?;
        authorization.set_sensitive(true);
        Ok(Self {
            hello,
            authorization,
        })
    }
}

/// Opens a link to a peer and runs it until it ends.
///
/// # Errors
///
/// Returns an error when the link couldn't be opened; the end of an open link
/// is reported only to the observer.
pub async fn dial(
    address: SocketAddr,
    identity: Arc<LinkIdentity>,
    table: LinkTable,
    observer: Arc<dyn LinkObserver>,
) -> Result<(), LinkError> {
    let connect = async {
        let tcp = TcpStream::connect(address)
            .await
            .map_err(LinkError::Connect)?;
        tcp.set_nodelay(true).map_err(LinkError::Connect)?;
        let mut req = format!("ws://{address}/link").into_client_request()?;
        req.headers_mut()
            .insert(AUTHORIZATION, identity.authorization.clone());
        let (socket, _) =
            tokio_tungstenite::client_async_with_config(req, tcp, Some(websocket_config())).await?;
        exchange_hello(socket, &identity.hello).await
    };
    let (socket, hello) = timeout(IDLE_TIMEOUT, connect)
        .await
        .map_err(|_| LinkError::Timeout)??;
    run_link(socket, LinkSide::Dialler, hello, &table, observer.as_ref()).await;
    Ok(())
}

/// Accepts links until the listener fails.
///
/// # Errors
///
/// Returns the system's error when no more connections can be accepted.
pub async fn serve(
    listener: TcpListener,
    identity: Arc<LinkIdentity>,
    table: LinkTable,
    observer: Arc<dyn LinkObserver>,
) -> std::io::Result<()> {
    loop {
        let (tcp, peer) = listener.accept().await?;
        let identity = Arc::clone(&identity);
        let table = table.clone();
        let observer = Arc::clone(&observer);
        tokio::spawn(async move {
            let accepted = timeout(IDLE_TIMEOUT, accept(tcp, &identity)).await;
            match accepted.unwrap_or(Err(LinkError::Timeout)) {
                Ok((socket, hello)) => {
                    let side = LinkSide::Acceptor;
                    run_link(socket, side, hello, &table, observer.as_ref()).await;
                }
                Err(e) => log::warn!(peer:display = peer, reason:display = e; "link refused"),
            }
        });
    }
}

async fn accept(
    tcp: TcpStream,
    identity: &LinkIdentity,
) -> Result<(WebSocketStream<TcpStream>, Hello), LinkError> {
    tcp.set_nodelay(true).map_err(LinkError::Connect)?;
    #[expect(
        clippy::result_large_err,
        reason = "the signature that tungstenite requires"
    )]
    let check_key = |req: &Request, resp: Response| -> Result<Response, ErrorResponse> {
        if req.headers().get(AUTHORIZATION) == Some(&identity.authorization) {
            return Ok(resp);
        }
        let mut refusal = ErrorResponse::new(Some("wrong link key".to_owned()));
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refusal)
    };
    let socket =
        tokio_tungstenite::accept_hdr_async_with_config(tcp, check_key, Some(websocket_config()))
            .await?;
    exchange_hello(socket, &identity.hello).await
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn exchange_hello<S: AsyncRead + AsyncWrite + Unpin>(
    mut socket: WebSocketStream<S>,
    hello: &Hello,
) -> Result<(WebSocketStream<S>, Hello), LinkError> {
    let missing_hello = |e: &dyn std::fmt::Display| LinkError::MissingHello(e.to_string());
    let buf = encode(&Frame::Hello(hello.clone())).map_err(|e| missing_hello(&e))?;
    socket.send(Message::binary(buf)).await?;
    loop {
        let message = socket
            .next()
            .await
            .ok_or_else(|| missing_hello(&"the connection ended"))??;
        match message {
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Binary(buf) => match decode(&buf).map_err(|e| missing_hello(&e))? {
                Frame::Hello(peer) if peer.version == PROTOCOL_VERSION => {
                    return Ok((socket, peer));
                }
                Frame::Hello(peer) => return Err(LinkError::UnsupportedVersion(peer.version)),
                other => return Err(missing_hello(&<&str>::from(&other))),
            },
            _ => return Err(missing_hello(&"not a binary message")),
        }
    }
}

async fn run_link<S: AsyncRead + AsyncWrite + Unpin>(
    socket: WebSocketStream<S>,
    side: LinkSide,
    hello: Hello,
    table: &LinkTable,
    observer: &dyn LinkObserver,
) {
    let slot = table.acquire_slot().await;
    let (tx, rx) = unbounded_channel();
    let link = table.register(tx);
    observer.link_up(link, hello);
    let end = pump::run(socket, side, link, rx, observer).await;
    table.close(link);
    observer.link_down(link, end.to_string());
    drop(slot);
}
