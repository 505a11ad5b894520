//! The callers' HTTP server.

use crate::answers::closing_answer;
use crate::exchange::Gateway;
use egretstage_caller_io::{KeepingBody, OpenConnection, run_until_closed, watch_caller};
use hyper::server::conn::http1::Connection;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Idle time of callers' connections until a configuration sets it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Idle time that callers get beyond the configured one, so that the entry
/// doesn't close a connection while a request is in transit.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Largest size of all headers, in bytes, until a configuration sets it; also
/// the smallest limit that the HTTP library accepts.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;

/// Marks a caller's connection as open. The channel closes when the last guard
/// is dropped.
pub(crate) type ConnectionGuard = Sender<()>;

/// Accepts callers' connections until the task is aborted.
pub(crate) async fn accept(listener: TcpListener, gateway: Rc<Gateway>, guard: ConnectionGuard) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let Some(open) = gateway.bounds.open() else {
                    continue;
                };
                let (serving, guard) = (Rc::clone(&gateway), guard.clone());
                tokio::task::spawn_local(async move {
                    serve_connection(tcp, serving, open).await;
                    drop(guard);
                });
                gateway.bounds.has_room().await;
            }
            Err(e) => {
                log::warn!(error:display = e; "a caller's connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(tcp: TcpStream, gateway: Rc<Gateway>, open: OpenConnection) {
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!(error:display = e; "TCP_NODELAY can't be set on a caller's connection");
    }
    let (idle_timeout, max_header_bytes) = {
        let table = gateway.table.borrow();
        let limits = table.as_ref().map(|table| *table.limits());
        (
            limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout) + IDLE_MARGIN,
            limits.map_or(DEFAULT_MAX_HEADER_BYTES, |l| l.max_header_bytes),
        )
    };
    let (stream, watch) = watch_caller(tcp);
    let open = &open;
    let (mut closing, mut ending) = (gateway.closing.clone(), gateway.ending.clone());
    // A graceful shutdown would close a connection on which nothing has been read yet.
    let is_closing = *closing.borrow();
    let marker = watch.marker();
    let service = service_fn(move |req| {
        let (gateway, call) = (Rc::clone(&gateway), marker.begin());
        let (kept, body) = open.begin().unzip();
        async move {
            let _call = call;
            let resp = match body {
                Some(body) => gateway.serve(req, body).await,
                None => closing_answer(503, "there is no room for the connection"),
            };
            Ok::<_, Infallible>(resp.map(|body| KeepingBody::new(body, kept)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_closing)
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_header_bytes.max(DEFAULT_MAX_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stop = async {
        if is_closing {
            std::future::pending::<()>().await;
        }
        // An error means that the process ends.
        drop(closing.wait_for(|closing| *closing).await);
    };
    let run = run_until_closed(connection, &watch, stop, Connection::graceful_shutdown);
    let ended_unread = async {
        // An error means that the process ends.
        drop(ending.wait_for(|ending| *ending).await);
        if watch.has_read() {
            std::future::pending::<()>().await;
        }
    };
    let end = tokio::select! {
        biased;
        () = open.given_up() => {
            log::debug!("a caller's connection is closed for a new one");
            return;
        }
        end = run => end,
        () = ended_unread => {
            log::debug!("a connection without a request is closed at the end of the stop");
            return;
        }
    };
    match end {
        Some(Ok(())) => {}
        Some(Err(e)) => {
            log::debug!(error:display = e; "a caller's connection ended with an error");
        }
        None => log::debug!("a caller has closed its connection"),
    }
}
