//! A TCP proxy that injects faults on one link.

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

/// Bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does to its connections; a change holds at once for all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Each piece of data waits this long, in both directions.
    pub delay: Duration,
    /// Each connection waits up to this much longer, drawn from the proxy's
    /// seed, so that messages on different connections overtake each other.
    pub jitter: Duration,
    /// Connections stay open, but no data passes (half-open).
    pub stalled: bool,
    /// Data from the server is dropped and its connection closed: the answer
    /// is lost after its effect.
    pub lose_answers: bool,
    /// New connections are closed at once.
    pub refuse_connections: bool,
}

/// A TCP proxy that injects faults on one link.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    cuts: watch::Sender<u64>,
}

impl FaultProxy {
    /// Starts a proxy in front of a server on a runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no address can be had.
    pub fn start(io: &Handle, server: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (faults, faults_rx) = watch::channel(LinkFaults::default());
        let (cuts, cuts_rx) = watch::channel(0);
        let _guard = io.enter();
        let listener = TcpListener::from_std(listener)?;
        let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        io.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if faults_rx.borrow().refuse_connections {
                    continue;
                }
                let share = rng.lock().unwrap_or_else(PoisonError::into_inner).random();
                let link = Link {
                    faults: faults_rx.clone(),
                    jitter_share: share,
                };
                tokio::spawn(link.run(client, server, cuts_rx.clone()));
            }
        });
        Ok(Self {
            address,
            faults,
            cuts,
        })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Lets everything pass again.
    pub fn clear_faults(&self) {
        self.set_faults(LinkFaults::default());
    }

    /// Cuts all connections that are open now.
    pub fn close_connections(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }
}

/// One proxied connection.
#[derive(Clone)]
struct Link {
    faults: watch::Receiver<LinkFaults>,
    jitter_share: f64,
}

impl Link {
    async fn run(self, client: TcpStream, server: SocketAddr, mut cuts: watch::Receiver<u64>) {
        cuts.mark_unchanged();
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
            _ = cuts.changed() => {}
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
            let passes = self.faults.wait_for(|faults| !faults.stalled).await;
            let Ok(faults) = passes.map(|faults| *faults) else {
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
