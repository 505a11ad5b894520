//! Tests of the watch over callers' connections.

use egretstage_caller_io::{CallerStream, CallerWatch, watch_caller};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time in which the end of a connection must be noticed.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a connection is watched that stays open.
const WATCH_TIME: Duration = Duration::from_millis(100);

async fn connection() -> (TcpStream, CallerStream, CallerWatch) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let caller = TcpStream::connect(address).await.expect("a connection");
    let (tcp, _) = listener.accept().await.expect("a connection");
    let (stream, watch) = watch_caller(tcp);
    (caller, stream, watch)
}

/// Fault: a caller leaves after it has sent bytes that the server doesn't read yet.
#[tokio::test]
async fn an_end_behind_unread_bytes_is_noticed() {
    let (mut caller, _stream, watch) = connection().await;
    caller.write_all(&[b'a'; 5_000]).await.expect("sent");
    drop(caller);
    let closed = timeout(NOTICE_TIMEOUT, watch.closed()).await;
    assert!(closed.is_ok());
}

#[tokio::test]
async fn an_open_connection_is_not_reported() {
    let (mut caller, _stream, watch) = connection().await;
    caller.write_all(b"a request").await.expect("sent");
    assert!(timeout(WATCH_TIME, watch.closed()).await.is_err());
}

#[tokio::test]
async fn bytes_read_ahead_reach_the_server_unchanged() {
    let sent: Vec<u8> = (0..60_000_u32).map(|i| (i % 251) as u8).collect();
    let (mut caller, mut stream, watch) = connection().await;
    let bytes = sent.clone();
    let sending = tokio::spawn(async move {
        caller.write_all(&bytes).await.expect("sent");
        caller
    });
    assert!(timeout(WATCH_TIME, watch.closed()).await.is_err());
    let mut received = vec![0; sent.len()];
    let reading = async {
        tokio::select! {
            biased;
            read = stream.read_exact(&mut received) => read.map(drop),
            () = watch.closed() => panic!("the caller is still there"),
        }
    };
    let read = timeout(NOTICE_TIMEOUT, reading).await;
    read.expect("in time").expect("all bytes");
    assert_eq!(received, sent);
    drop(sending.await.expect("sent"));
}
