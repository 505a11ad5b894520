//! TCP proxy that injects faults into one link.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Size of the buffer for one read, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Faults that the proxy injects; a change applies to all connections at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Delay of each chunk of data, in both directions.
    pub delay: Duration,
    /// Maximum extra delay of a connection, drawn from the proxy's seed, so that
    /// messages on different connections overtake each other.
    pub jitter: Duration,
    /// Connections stay open, but no data is forwarded (half-open).
    pub stalled: bool,
    /// Data from the server is dropped and the connection closed, so that a
    /// request takes effect but its answer is lost.
    pub lose_answers: bool,
    /// New connections are closed immediately.
    pub refuse_connections: bool,
}

/// TCP proxy that injects faults into one link.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    close_requests: watch::Sender<u64>,
}

impl FaultProxy {
    /// Starts a proxy in front of a server on a runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no address is available.
    pub fn start(runtime: &Handle, server: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (faults, faults_rx) = watch::channel(LinkFaults::default());
        let (close_requests, close_requests_rx) = watch::channel(0);
        let _guard = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        runtime.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if faults_rx.borrow().refuse_connections {
                    continue;
                }
                let jitter_share = rng.lock().unwrap_or_else(PoisonError::into_inner).random();
                let link = Link {
                    faults: faults_rx.clone(),
                    jitter_share,
                };
                tokio::spawn(link.run(client, server, close_requests_rx.clone()));
            }
        });
        Ok(Self {
            address,
            faults,
            close_requests,
        })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.set_faults(LinkFaults::default());
    }

    /// Closes all connections that are open now.
    pub fn close_connections(&self) {
        self.close_requests.send_modify(|count| *count += 1);
    }
}

/// A connection through the proxy.
#[derive(Clone)]
struct Link {
    faults: watch::Receiver<LinkFaults>,
    /// Share of the jitter that the connection waits, from 0 to 1.
    jitter_share: f64,
}

impl Link {
    async fn run(
        self,
        client: TcpStream,
        server: SocketAddr,
        mut close_requests: watch::Receiver<u64>,
    ) {
        close_requests.mark_unchanged();
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::select! {
            () = self.clone().forward(client_rx, server_tx, false) => {}
            () = self.clone().forward(server_rx, client_tx, true) => {}
            _ = close_requests.changed() => {}
        }
    }

    async fn forward(mut self, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, from_server: bool) {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let Ok(count @ 1..) = rx.read(&mut buf).await else {
                return;
            };
            let faults = *self.faults.borrow();
            let delay = faults.delay + faults.jitter.mul_f64(self.jitter_share);
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let unstalled = self.faults.wait_for(|faults| !faults.stalled).await;
            let Ok(faults) = unstalled.map(|faults| *faults) else {
                return;
            };
            if from_server && faults.lose_answers {
                return;
            }
            if tx.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }
}
