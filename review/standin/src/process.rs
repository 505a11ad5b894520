//! The project's own programs as processes, with the settings of the deploy templates.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for an entry to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running entry.
pub struct Entry {
    process: Child,
    pub address: SocketAddr,
    admin: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns an address whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let (listener, address) = crate::http::listen();
        if UdpSocket::bind(address).is_ok() {
            drop(listener);
            return address;
        }
    }
}

/// Fills a template of the deploy folder; a field that isn't given is an error.
fn fill(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a field is missing: {text}");
    text
}

/// Returns the command of a role in the deploy file.
fn command_of(root: &Path, role: &str) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let (_, section) = text
        .split_once(&format!("[roles.{role}]"))
        .expect("the role");
    let mut lines = section.lines().filter_map(|l| l.strip_prefix("run = "));
    let run = lines.next().expect("its command").trim_matches('"');
    run.split(' ').map(str::to_owned).collect()
}

impl Entry {
    /// Starts an entry with the command of the deploy file.
    pub fn start(root: &Path, folder: &Path, name: &str, store: SocketAddr) -> Self {
        let (address, admin, peers) = (free_address(), free_address(), free_address());
        let template = std::fs::read_to_string(root.join("deploy/entry.toml"));
        let settings = fill(
            &template.expect("the template"),
            &[
                ("node-name", name.to_owned()),
                ("zone", "west".to_owned()),
                ("listen.frontend", address.to_string()),
                ("listen.readiness", admin.to_string()),
                ("ip", peers.ip().to_string()),
                ("internal-ports.0", peers.port().to_string()),
                ("platform.address", store.to_string()),
                ("bounds.config-apply-ms", "2000".to_owned()),
                ("bounds.drain-ms", "2000".to_owned()),
                ("bounds.grace-s", "8".to_owned()),
            ],
        );
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).expect("a log file");
        let command = command_of(root, "entry");
        let arguments = command[1..].iter().map(|word| {
            if word.ends_with("boot.toml") {
                path.to_string_lossy().into_owned()
            } else {
                word.clone()
            }
        });
        let process = Command::new(root.join(&command[0]))
            .args(arguments)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn()
            .expect("the entry can be started");
        let entry = Self {
            process,
            address,
            admin,
        };
        let started = Instant::now();
        while !entry.is_ready() {
            assert!(
                started.elapsed() < START_TIMEOUT,
                "the entry doesn't become ready"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        entry
    }

    /// Asks for the readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut tcp) = TcpStream::connect(self.admin) else {
            return false;
        };
        tcp.set_read_timeout(Some(Duration::from_secs(1)))
            .expect("a timeout");
        let req = "GET /readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        tcp.write_all(req.as_bytes()).is_ok()
            && tcp.read_to_string(&mut text).is_ok()
            && text.starts_with("HTTP/1.1 200")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(
            status.is_ok_and(|s| s.success()),
            "the signal can't be sent"
        );
    }

    /// Waits for the process to end by itself; returns whether it did.
    pub fn wait(&mut self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.process.try_wait().is_ok_and(|status| status.is_some()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
