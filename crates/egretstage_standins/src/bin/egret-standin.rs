//! Runs one stand-in as a process, for the demo and benchmarks.

use egretstage_standins::prelude::*;
use miette::{IntoDiagnostic, miette};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::time::Duration;

const HELP: &str = "\
egret-standin: stand-ins for the platform, the engines and the plain services

Usage:
  egret-standin log    --listen ADDRESS
  egret-standin list   --listen ADDRESS [--lag-ms N]
  egret-standin store  --listen ADDRESS
  egret-standin engine --listen ADDRESS [--slots N] [--token-ms N]
  egret-standin plain  --listen ADDRESS [--work-ms N]";

fn main() -> miette::Result<()> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        println!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("egret-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let _guard = runtime.enter();
    let kind = args.subcommand().into_diagnostic()?;
    start(kind.as_deref(), &mut args)?;
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .into_diagnostic()?;
    signals.forever().next();
    runtime.shutdown_background();
    Ok(())
}

fn start(kind: Option<&str>, args: &mut Arguments) -> miette::Result<()> {
    let listen: SocketAddr = args.value_from_str("--listen").into_diagnostic()?;
    match kind {
        Some("log") => AppendLogStandIn::start(listen, AppendLogOptions::default()).map(drop),
        Some("list") => {
            let lag = millis(args, "--lag-ms", 0)?;
            InstanceListStandIn::start(listen, lag).map(drop)
        }
        Some("store") => WeightStoreStandIn::start(listen, WeightStoreOptions::default()).map(drop),
        Some("engine") => {
            let defaults = EngineOptions::default();
            let slots = args.opt_value_from_str("--slots").into_diagnostic()?;
            let options = EngineOptions {
                slots: slots.unwrap_or(defaults.slots),
                token_interval: millis(args, "--token-ms", 35)?,
                ..defaults
            };
            EngineStandIn::start(listen, options).map(drop)
        }
        Some("plain") => {
            let work = millis(args, "--work-ms", 2)?;
            PlainServiceStandIn::start(listen, PlainServiceOptions { work }).map(drop)
        }
        other => return Err(miette!("unknown stand-in {other:?}; see --help")),
    }
    .into_diagnostic()
}

fn millis(args: &mut Arguments, name: &'static str, default: u64) -> miette::Result<Duration> {
    let value: Option<u64> = args.opt_value_from_str(name).into_diagnostic()?;
    Ok(Duration::from_millis(value.unwrap_or(default)))
}
