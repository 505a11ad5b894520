//! Runs the real programs against stand-ins, for tests and benchmarks.
//!
//! The platform's stand-ins run inside the calling process, so their records
//! can be read directly; the product's programs run as processes that can be
//! killed, frozen and stopped.

use crate::append_log::{AppendLogOptions, AppendLogStandIn};
use crate::engine::{EngineOptions, EngineStandIn};
use crate::fault_proxy::FaultProxy;
use crate::instance_list::InstanceListStandIn;
use crate::placement::{EntryOptions, Placement, RankPlacement};
use crate::plain_service::{PlainServiceOptions, PlainServiceStandIn};
use crate::ports::free_address;
use crate::program::Program;
use crate::weight_store::{WeightStoreOptions, WeightStoreStandIn};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::runtime::{Handle, Runtime};

/// Where the product's programs are.
#[derive(Clone, Copy, Debug)]
pub struct ProgramPaths {
    /// `egret-entry`.
    pub entry: &'static str,
    /// `egret-companion`.
    pub companion: &'static str,
    /// `egretctl`.
    pub egretctl: &'static str,
}

/// Names the programs that cargo built for the calling test or benchmark.
#[macro_export]
macro_rules! programs {
    () => {
        $crate::fleet::ProgramPaths {
            entry: env!("CARGO_BIN_EXE_egret-entry"),
            companion: env!("CARGO_BIN_EXE_egret-companion"),
            egretctl: env!("CARGO_BIN_EXE_egretctl"),
        }
    };
}

/// The platform's stand-ins and a folder for settings and logs.
#[derive(Debug)]
pub struct Fleet {
    programs: ProgramPaths,
    runtime: Option<Runtime>,
    work: PathBuf,
    /// The log service.
    pub log: Arc<AppendLogStandIn>,
    /// Base URL of the log service.
    pub log_url: String,
    /// The instance list.
    pub list: Arc<InstanceListStandIn>,
    /// Base URL of the instance list.
    pub list_url: String,
    /// The weight store.
    pub store: Arc<WeightStoreStandIn>,
    /// Base URL of the weight store.
    pub store_url: String,
}

impl Fleet {
    /// Starts the platform's stand-ins.
    ///
    /// # Panics
    ///
    /// Panics when the machine refuses a port, a thread or a folder.
    #[must_use]
    pub fn start(programs: ProgramPaths) -> Self {
        Self::with_options(programs, AppendLogOptions::default(), Duration::ZERO)
    }

    /// Starts the platform's stand-ins with a log and a list of choice.
    ///
    /// # Panics
    ///
    /// Panics when the machine refuses a port, a thread or a folder.
    #[must_use]
    pub fn with_options(programs: ProgramPaths, log: AppendLogOptions, list_lag: Duration) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let runtime = Runtime::new().expect("a runtime");
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let work = std::env::temp_dir().join(format!("egret-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&work).expect("a folder for settings and logs");
        let guard = runtime.enter();
        let any = any_address();
        let (log, log_address) = AppendLogStandIn::start(any, log).expect("a log");
        let (list, list_address) = InstanceListStandIn::start(any, list_lag).expect("a list");
        let options = WeightStoreOptions::default();
        let (store, store_address) = WeightStoreStandIn::start(any, options).expect("a store");
        drop(guard);
        Self {
            programs,
            runtime: Some(runtime),
            work,
            log,
            log_url: format!("http://{log_address}"),
            list,
            list_url: format!("http://{list_address}"),
            store,
            store_url: format!("http://{store_address}"),
        }
    }

    /// Returns the runtime that the stand-ins run on.
    ///
    /// # Panics
    ///
    /// Never; the runtime lives as long as the fleet.
    #[must_use]
    pub fn runtime_handle(&self) -> &Handle {
        self.runtime.as_ref().expect("a running fleet").handle()
    }

    /// Starts a fault-injecting proxy in front of a server.
    ///
    /// # Panics
    ///
    /// Panics when the machine refuses a port.
    #[must_use]
    pub fn proxy(&self, server: SocketAddr, seed: u64) -> FaultProxy {
        FaultProxy::start(self.runtime_handle(), server, seed).expect("a proxy")
    }

    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics when the machine refuses a port.
    #[must_use]
    pub fn engine(&self, options: EngineOptions) -> (Arc<EngineStandIn>, SocketAddr) {
        let _guard = self.runtime_handle().enter();
        EngineStandIn::start(any_address(), options).expect("an engine")
    }

    /// Starts a plain service.
    ///
    /// # Panics
    ///
    /// Panics when the machine refuses a port.
    #[must_use]
    pub fn plain_service(
        &self,
        options: PlainServiceOptions,
    ) -> (Arc<PlainServiceStandIn>, SocketAddr) {
        let _guard = self.runtime_handle().enter();
        PlainServiceStandIn::start(any_address(), options).expect("a plain service")
    }

    /// Starts a companion, waits until it is ready and lists it.
    #[must_use]
    pub fn companion(&self, place: &Placement<'_>) -> Program {
        let address = free_address();
        let program = self.unlisted_companion(place, address);
        program.wait_until_ready(true);
        self.list_companion(place, program.address, "live");
        program
    }

    /// Starts a companion whose upstream may run many calls at once, waits
    /// until it is ready and lists it.
    #[must_use]
    pub fn companion_with_slots(&self, place: &Placement<'_>, slots: u32) -> Program {
        let address = free_address();
        let program = self.launch_companion(place, address, &format!("slots = {slots}\n"));
        program.wait_until_ready(true);
        self.list_companion(place, program.address, "live");
        program
    }

    /// Starts a companion at an address without listing it.
    #[must_use]
    pub fn unlisted_companion(&self, place: &Placement<'_>, address: SocketAddr) -> Program {
        self.launch_companion(place, address, "")
    }

    /// Starts a companion with settings of choice, waits until it is ready and
    /// lists it under an address of choice, such as that of a proxy.
    #[must_use]
    pub fn companion_listed_at(
        &self,
        place: &Placement<'_>,
        settings: &str,
        listed: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Program {
        let program = self.launch_companion(place, free_address(), settings);
        program.wait_until_ready(true);
        self.list_companion(place, listed(program.address), "live");
        program
    }

    /// Starts the companion of a rank at an address without listing it.
    #[must_use]
    pub fn rank_companion(
        &self,
        place: &Placement<'_>,
        address: SocketAddr,
        rank: &RankPlacement,
    ) -> Program {
        self.launch_companion(place, address, &rank.settings(place.service))
    }

    /// Starts the companion of a rank whose group is kept evenly loaded, with
    /// more settings of the balance.
    #[must_use]
    pub fn balanced_rank_companion(
        &self,
        place: &Placement<'_>,
        address: SocketAddr,
        rank: &RankPlacement,
        balance: &str,
    ) -> Program {
        let settings = rank.settings(place.service);
        let store_url = &self.store_url;
        let more = format!("{settings}[rank.balance]\nstore_url = \"{store_url}\"\n{balance}");
        self.launch_companion(place, address, &more)
    }

    fn launch_companion(&self, place: &Placement<'_>, address: SocketAddr, more: &str) -> Program {
        let admin = free_address();
        let settings = format!(
            "listen = \"{address}\"\n{}\n[upstream]\nservice = \"{}\"\nkind = \"{}\"\naddress = \"{}\"\n{more}",
            self.process_settings(place.instance, place.zone, admin),
            place.service,
            place.kind,
            place.upstream,
        );
        self.launch(
            self.programs.companion,
            place.instance,
            &settings,
            admin,
            address,
        )
    }

    /// Puts a companion on the instance list.
    pub fn list_companion(&self, place: &Placement<'_>, address: SocketAddr, state: &str) {
        let entry = serde_json::json!({
            "instance": place.instance, "role": "companion", "address": address,
            "zone": place.zone, "service": place.service, "state": state,
        });
        self.list.put(place.instance, entry);
    }

    /// Starts an entry and waits until it is ready.
    #[must_use]
    pub fn entry(&self, instance: &str, zone: &str) -> Program {
        let program = self.entry_without_waiting(instance, zone);
        program.wait_until_ready(true);
        program
    }

    /// Starts an entry without waiting for it.
    #[must_use]
    pub fn entry_without_waiting(&self, instance: &str, zone: &str) -> Program {
        self.entry_with_caller_settings(instance, zone, "")
    }

    /// Starts an entry with callers' settings of choice without waiting for
    /// it.
    #[must_use]
    pub fn entry_with_caller_settings(&self, instance: &str, zone: &str, callers: &str) -> Program {
        let options = EntryOptions {
            settings: callers.to_owned(),
            ..EntryOptions::default()
        };
        self.entry_with_options(instance, zone, &options)
    }

    /// Starts an entry with settings of choice, without waiting for it.
    #[must_use]
    pub fn entry_with_options(
        &self,
        instance: &str,
        zone: &str,
        options: &EntryOptions,
    ) -> Program {
        let (address, admin) = (free_address(), free_address());
        let process = self.process_settings(instance, zone, admin);
        let log_url = options.log_url.as_ref().unwrap_or(&self.log_url);
        let settings = format!(
            "{}\n[callers]\nlisten = \"{address}\"\n{}\n",
            process.replace(&self.log_url, log_url),
            options.settings,
        );
        self.launch(self.programs.entry, instance, &settings, admin, address)
    }

    fn process_settings(&self, instance: &str, zone: &str, admin: SocketAddr) -> String {
        format!(
            "[process]\ninstance = \"{instance}\"\nzone = \"{zone}\"\nadmin_listen = \"{admin}\"\n\
             log_url = \"{}\"\nlist_url = \"{}\"\nlink_key = \"test-key\"\n",
            self.log_url, self.list_url
        )
    }

    fn launch(
        &self,
        program: &str,
        name: &str,
        settings: &str,
        admin: SocketAddr,
        address: SocketAddr,
    ) -> Program {
        let file = self.work.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("a settings file");
        let log = self.work.join(format!("{name}-{}.log", address.port()));
        let stderr = self.work.join(format!("{name}-{}.err", address.port()));
        let child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("a log file"))
            .stderr(File::create(stderr).expect("a file for errors"))
            .spawn()
            .expect("a process");
        Program {
            name: name.to_owned(),
            child,
            admin,
            address,
            log,
        }
    }

    /// Publishes records with `egretctl apply`.
    ///
    /// # Panics
    ///
    /// Panics when `egretctl` fails.
    pub fn publish(&self, records: &serde_json::Value) {
        let file = self.work.join("records.json");
        std::fs::write(&file, records.to_string()).expect("a file of records");
        let output = self.egretctl(&["apply", &path_text(&file), "--log", &self.log_url]);
        assert!(output.status.success(), "egretctl failed: {output:?}");
    }

    /// Writes a file into the fleet's folder and returns its path.
    ///
    /// # Panics
    ///
    /// Panics when the file can't be written.
    #[must_use]
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let file = self.work.join(name);
        std::fs::write(&file, text).expect("a file");
        path_text(&file)
    }

    /// Runs `egretctl` and returns what it printed.
    ///
    /// # Panics
    ///
    /// Panics when the program can't be started.
    #[must_use]
    pub fn egretctl(&self, args: &[&str]) -> std::process::Output {
        let output = Command::new(self.programs.egretctl).args(args).output();
        output.expect("egretctl runs")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        let _ = std::fs::remove_dir_all(&self.work);
    }
}

/// Lets the kernel choose a loopback port.
fn any_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}
