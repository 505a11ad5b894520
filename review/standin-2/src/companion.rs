//! The project's companions as processes, started as the deploy file says.

use crate::entry::free_ports;
use crate::store::Store;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A companion.
pub struct Companion {
    pub name: String,
    root: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    process: Option<Child>,
}

impl Companion {
    /// Starts a companion beside an engine with the deploy file's settings template, filled in.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        engine: SocketAddr,
        store: &Store,
    ) -> io::Result<Self> {
        let ports = free_ports::<2>()?;
        let template = std::fs::read_to_string(root.join("deploy/companion.toml"))?;
        let fields = [
            ("node-name", name.to_owned()),
            ("zone", "z1".to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("internal-ports.0", ports[0].to_string()),
            ("internal-ports.1", ports[1].to_string()),
            ("service", "llm".to_owned()),
            ("app", engine.to_string()),
            ("platform.address", store.address.to_string()),
            ("limits.link-mbps", "20.0".to_owned()),
        ];
        let fill = |text: String, (key, value): &(&str, String)| {
            text.replace(&format!("{{{{{key}}}}}"), value)
        };
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, fields.iter().fold(template, fill))?;
        let mut companion = Self {
            name: name.to_owned(),
            root: root.to_owned(),
            settings,
            output: folder.join(format!("{name}.log")),
            process: None,
        };
        companion.restart()?;
        Ok(companion)
    }

    /// Starts the process again.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let process = Command::new(self.root.join("target/release/egret-platform-companion"))
            .arg("--settings")
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            drop(process.kill());
            drop(process.wait());
        }
    }

    /// Returns what the process has written.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Companion {
    fn drop(&mut self) {
        self.kill();
    }
}
