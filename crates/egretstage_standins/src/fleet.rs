//! Runs the product's programs against stand-ins, for tests and benchmarks.
//!
//! The stand-ins run inside the calling process, so that their records can be
//! read directly; the product's programs run as processes that can be killed,
//! frozen and stopped.

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

/// Paths of the product's programs.
#[derive(Clone, Copy, Debug)]
pub struct ProgramPaths {
    /// Path of `egret-entry`.
    pub entry: &'static str,
    /// Path of `egret-companion`.
    pub companion: &'static str,
    /// Path of `egretctl`.
    pub egretctl: &'static str,
}

/// Returns the paths of the programs that cargo built for the calling test or
/// benchmark.
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

/// The platform's stand-ins and a temporary folder for settings and logs.
#[derive(Debug)]
pub struct Fleet {
    programs: ProgramPaths,
    runtime: Option<Runtime>,
    work_dir: PathBuf,
    /// Stand-in for the log service.
    pub log: Arc<AppendLogStandIn>,
    /// Base URL of the log service.
    pub log_url: String,
    /// Stand-in for the instance list.
    pub list: Arc<InstanceListStandIn>,
    /// Base URL of the instance list.
    pub list_url: String,
    /// Stand-in for the weight store.
    pub store: Arc<WeightStoreStandIn>,
    /// Base URL of the weight store.
    pub store_url: String,
}

impl Fleet {
    /// Starts the platform's stand-ins.
    ///
    /// # Panics
    ///
    /// Panics when no port, thread or folder is available.
    #[must_use]
    pub fn start(programs: ProgramPaths) -> Self {
        Self::with_options(programs, AppendLogOptions::default(), Duration::ZERO)
    }

    /// Starts the platform's stand-ins with options of the log and the lag of the
    /// instance list.
    ///
    /// # Panics
    ///
    /// Panics when no port, thread or folder is available.
    #[must_use]
    pub fn with_options(
        programs: ProgramPaths,
        log_options: AppendLogOptions,
        list_lag: Duration,
    ) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let runtime = Runtime::new().expect("the runtime starts");
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let work_dir = std::env::temp_dir().join(format!("egret-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&work_dir).expect("the folder for settings and logs is created");
        let guard = runtime.enter();
        let ephemeral = ephemeral_address();
        let (log, log_address) =
            AppendLogStandIn::start(ephemeral, log_options).expect("the log stand-in starts");
        let (list, list_address) = InstanceListStandIn::start(ephemeral, list_lag)
            .expect("the instance list stand-in starts");
        let options = WeightStoreOptions::default();
        let (store, store_address) = WeightStoreStandIn::start(ephemeral, options)
            .expect("the weight store stand-in starts");
        drop(guard);
        Self {
            programs,
            runtime: Some(runtime),
            work_dir,
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
    /// Never: the runtime exists as long as the fleet.
    #[must_use]
    pub fn runtime_handle(&self) -> &Handle {
        self.runtime
            .as_ref()
            .expect("the runtime exists until the fleet is dropped")
            .handle()
    }

    /// Starts a fault-injecting proxy in front of a server.
    ///
    /// # Panics
    ///
    /// Panics when no port is available.
    #[must_use]
    pub fn proxy(&self, server: SocketAddr, seed: u64) -> FaultProxy {
        FaultProxy::start(self.runtime_handle(), server, seed).expect("the fault proxy starts")
    }

    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics when no port is available.
    #[must_use]
    pub fn engine(&self, options: EngineOptions) -> (Arc<EngineStandIn>, SocketAddr) {
        let _guard = self.runtime_handle().enter();
        EngineStandIn::start(ephemeral_address(), options).expect("the engine stand-in starts")
    }

    /// Starts a plain service.
    ///
    /// # Panics
    ///
    /// Panics when no port is available.
    #[must_use]
    pub fn plain_service(
        &self,
        options: PlainServiceOptions,
    ) -> (Arc<PlainServiceStandIn>, SocketAddr) {
        let _guard = self.runtime_handle().enter();
        PlainServiceStandIn::start(ephemeral_address(), options)
            .expect("the plain service stand-in starts")
    }

    /// Starts a companion, waits until it is ready and adds it to the instance
    /// list.
    #[must_use]
    pub fn companion(&self, placement: &Placement<'_>) -> Program {
        let address = free_address();
        let program = self.unlisted_companion(placement, address);
        program.wait_until_ready(true);
        self.list_companion(placement, program.address, "live");
        program
    }

    /// Starts a companion whose upstream has `slots` slots, waits until it is
    /// ready and adds it to the instance list.
    #[must_use]
    pub fn companion_with_slots(&self, placement: &Placement<'_>, slots: u32) -> Program {
        let address = free_address();
        let program = self.launch_companion(placement, address, &format!("slots = {slots}\n"));
        program.wait_until_ready(true);
        self.list_companion(placement, program.address, "live");
        program
    }

    /// Starts a companion at an address, without adding it to the instance list.
    #[must_use]
    pub fn unlisted_companion(&self, placement: &Placement<'_>, address: SocketAddr) -> Program {
        self.launch_companion(placement, address, "")
    }

    /// Starts a companion with extra settings, waits until it is ready and adds it
    /// to the instance list.
    ///
    /// `listed_address` turns the companion's address into the one that is listed,
    /// such as that of a proxy.
    #[must_use]
    pub fn companion_listed_at(
        &self,
        placement: &Placement<'_>,
        settings: &str,
        listed_address: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Program {
        let program = self.launch_companion(placement, free_address(), settings);
        program.wait_until_ready(true);
        self.list_companion(placement, listed_address(program.address), "live");
        program
    }

    /// Starts the companion of a rank at an address, without adding it to the
    /// instance list.
    #[must_use]
    pub fn rank_companion(
        &self,
        placement: &Placement<'_>,
        address: SocketAddr,
        rank: &RankPlacement,
    ) -> Program {
        self.launch_companion(placement, address, &rank.settings(placement.service))
    }

    /// Starts the companion of a rank whose group balances its expert load, with
    /// extra settings of the `[rank.balance]` table.
    #[must_use]
    pub fn balanced_rank_companion(
        &self,
        placement: &Placement<'_>,
        address: SocketAddr,
        rank: &RankPlacement,
        balance: &str,
    ) -> Program {
        let settings = rank.settings(placement.service);
        let store_url = &self.store_url;
        let balance_settings =
            format!("{settings}[rank.balance]\nstore_url = \"{store_url}\"\n{balance}");
        self.launch_companion(placement, address, &balance_settings)
    }

    fn launch_companion(
        &self,
        placement: &Placement<'_>,
        address: SocketAddr,
        extra_settings: &str,
    ) -> Program {
        let admin = free_address();
        let settings = format!(
            "listen = \"{address}\"\n{}\n[upstream]\nservice = \"{}\"\nkind = \"{}\"\naddress = \"{}\"\n{extra_settings}",
            self.process_table(placement.instance, placement.zone, admin),
            placement.service,
            placement.kind,
            placement.upstream,
        );
        self.launch(
            self.programs.companion,
            placement.instance,
            &settings,
            admin,
            address,
        )
    }

    /// Adds a companion to the instance list or changes its entry.
    pub fn list_companion(&self, placement: &Placement<'_>, address: SocketAddr, state: &str) {
        let entry = serde_json::json!({
            "instance": placement.instance, "role": "companion", "address": address,
            "zone": placement.zone, "service": placement.service, "state": state,
        });
        self.list.put(placement.instance, entry);
    }

    /// Starts an entry and waits until it is ready.
    #[must_use]
    pub fn entry(&self, instance: &str, zone: &str) -> Program {
        let program = self.entry_without_waiting(instance, zone);
        program.wait_until_ready(true);
        program
    }

    /// Starts an entry without waiting until it is ready.
    #[must_use]
    pub fn entry_without_waiting(&self, instance: &str, zone: &str) -> Program {
        self.entry_with_caller_settings(instance, zone, "")
    }

    /// Starts an entry with extra settings of the `[callers]` table, without
    /// waiting until it is ready.
    #[must_use]
    pub fn entry_with_caller_settings(
        &self,
        instance: &str,
        zone: &str,
        caller_settings: &str,
    ) -> Program {
        let options = EntryOptions {
            settings: caller_settings.to_owned(),
            ..EntryOptions::default()
        };
        self.entry_with_options(instance, zone, &options)
    }

    /// Starts an entry with the given options, without waiting until it is ready.
    #[must_use]
    pub fn entry_with_options(
        &self,
        instance: &str,
        zone: &str,
        options: &EntryOptions,
    ) -> Program {
        let (address, admin) = (free_address(), free_address());
        let process_settings = self.process_table(instance, zone, admin);
        let log_url = options.log_url.as_ref().unwrap_or(&self.log_url);
        let settings = format!(
            "{}\n[callers]\nlisten = \"{address}\"\n{}\n",
            process_settings.replace(&self.log_url, log_url),
            options.settings,
        );
        self.launch(self.programs.entry, instance, &settings, admin, address)
    }

    fn process_table(&self, instance: &str, zone: &str, admin: SocketAddr) -> String {
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
        let file = self.work_dir.join(format!("{name}.toml"));
        std::fs::write(&file, settings).expect("the settings file is written");
        let log = self.work_dir.join(format!("{name}-{}.log", address.port()));
        let stderr = self.work_dir.join(format!("{name}-{}.err", address.port()));
        let child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("the log file is created"))
            .stderr(File::create(stderr).expect("the error output file is created"))
            .spawn()
            .expect("the program starts");
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
        let file = self.work_dir.join("records.json");
        std::fs::write(&file, records.to_string()).expect("the file of records is written");
        let output = self.egretctl(&["apply", &path_string(&file), "--log", &self.log_url]);
        assert!(output.status.success(), "egretctl failed: {output:?}");
    }

    /// Writes a file to the fleet's folder and returns its path.
    ///
    /// # Panics
    ///
    /// Panics when the file can't be written.
    #[must_use]
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let file = self.work_dir.join(name);
        std::fs::write(&file, text).expect("the file is written");
        path_string(&file)
    }

    /// Runs `egretctl` and returns its output.
    ///
    /// # Panics
    ///
    /// Panics when the program can't be started.
    #[must_use]
    pub fn egretctl(&self, args: &[&str]) -> std::process::Output {
        let output = Command::new(self.programs.egretctl).args(args).output();
        output.expect("egretctl starts")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        let _ = std::fs::remove_dir_all(&self.work_dir);
    }
}

/// Returns a loopback address with port 0, for which the kernel chooses a port.
fn ephemeral_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn path_string(path: &Path) -> String {
    path.display().to_string()
}
