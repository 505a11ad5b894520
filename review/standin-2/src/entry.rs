//! The project's entry as a process, started as the deploy file says.

use crate::http::Connection;
use crate::record::Log;
use crate::store::Store;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Memory of an entry's machine in a small deployment, in megabytes.
pub const MEMORY_MB: u64 = 260;

/// An entry.
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    readiness: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    process: Child,
    /// Number of times that the process ended by itself or was killed for its memory.
    pub ends: u32,
}

impl Entry {
    /// Starts an entry with the deploy file's settings template, filled in.
    pub fn start(root: &Path, folder: &Path, name: &str, store: &Store) -> io::Result<Self> {
        let ports = free_ports::<3>()?;
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let template = std::fs::read_to_string(root.join("deploy/entry.toml"))?;
        let fields = [
            ("node-name", name.to_owned()),
            ("zone", "z1".to_owned()),
            ("listen.frontend", at(ports[0]).to_string()),
            ("listen.readiness", at(ports[1]).to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internal-ports.0", ports[2].to_string()),
            ("platform.address", store.address.to_string()),
            ("bounds.config-apply-ms", "2000".to_owned()),
            ("bounds.drain-ms", "2000".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
        ];
        let fill = |text: String, (key, value): &(&str, String)| {
            text.replace(&format!("{{{{{key}}}}}"), value)
        };
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, fields.iter().fold(template, fill))?;
        let output = folder.join(format!("{name}.log"));
        let process = spawn(root, &settings, &output)?;
        Ok(Self {
            name: name.to_owned(),
            address: at(ports[0]),
            readiness: at(ports[1]),
            root: root.to_owned(),
            settings,
            output,
            process,
            ends: 0,
        })
    }

    /// Returns the id of the process.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let head = "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n";
        let answer = Connection::open(self.readiness).and_then(|mut c| c.ask(head, &[]));
        matches!(answer, Ok(Some((head, _))) if head.status() == 200)
    }

    /// Does what the platform does: kills the process if it exceeds the machine's memory, and
    /// starts one that has ended again.
    pub fn watch(&mut self, log: &Log) -> io::Result<()> {
        if let Some(bytes) = resident_bytes(self.process.id())
            && bytes > MEMORY_MB << 20
        {
            log.line(&format!(
                "{}: {} MiB of memory, killed by the platform",
                self.name,
                bytes >> 20
            ));
            self.process.kill()?;
            self.process.wait()?;
            return self.restart(log);
        }
        if let Some(status) = self.process.try_wait()? {
            log.line(&format!(
                "{}: the process has ended by itself: {status}",
                self.name
            ));
            return self.restart(log);
        }
        Ok(())
    }

    fn restart(&mut self, log: &Log) -> io::Result<()> {
        self.ends += 1;
        std::thread::sleep(Duration::from_millis(300));
        self.process = spawn(&self.root, &self.settings, &self.output)?;
        let is_ready = self.wait_until_ready();
        log.line(&format!("{}: started again, ready: {is_ready}", self.name));
        Ok(())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

fn spawn(root: &Path, settings: &Path, output: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(output)?;
    Command::new(root.join("target/release/egret-platform-entry"))
        .arg("--settings")
        .arg(settings)
        .env("EGRET_MEMORY_MB", MEMORY_MB.to_string())
        .env("EGRET_MAX_FDS", "4100")
        .env("EGRET_EVACUATE_MS", "")
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Returns the resident memory of a process.
pub fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}

/// Range of ports that the system gives to no outgoing connection by itself.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

/// Number of ports that were tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns ports that are free for TCP and UDP. None is returned twice.
pub fn free_ports<const N: usize>() -> io::Result<[u16; N]> {
    let mut ports = [0; N];
    for port in &mut ports {
        *port = free_port()?;
    }
    Ok(ports)
}

fn free_port() -> io::Result<u16> {
    let start = std::process::id().wrapping_mul(61) % PORTS;
    for _ in 0..PORTS {
        let offset = (start + TRIED.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).map_err(io::Error::other)?;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}
