//! The arguments that the daemons share.

use miette::{Diagnostic, IntoDiagnostic};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for arguments that can't be used.
const EXIT_USAGE: u8 = 2;

/// What a daemon was asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Checks the settings and exits.
    Check(PathBuf),
    /// Runs with the settings.
    Run(PathBuf),
}

/// Arguments that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{0}")]
#[diagnostic(help("see --help"))]
pub struct UsageError(String);

impl DaemonCommand {
    /// Parses a daemon's arguments.
    ///
    /// # Errors
    ///
    /// Returns an error for missing or unexpected arguments.
    pub fn parse(mut args: Arguments) -> Result<Self, UsageError> {
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let check = args.contains("--check");
        let settings: PathBuf = args
            .value_from_str("--settings")
            .map_err(|e| UsageError(e.to_string()))?;
        if let Some(extra) = args.finish().first() {
            return Err(UsageError(format!("unexpected {}", extra.display())));
        }
        Ok(if check {
            Self::Check(settings)
        } else {
            Self::Run(settings)
        })
    }
}

/// Runs a daemon: parses its arguments, loads its settings, starts logging.
pub fn daemon_main<S, F>(name: &str, about: &str, run: F) -> ExitCode
where
    S: egretstage_config::settings::SettingsFile,
    F: FnOnce(&S) -> miette::Result<()>,
{
    let command = match DaemonCommand::parse(Arguments::from_env()) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("{:?}", miette::Report::from(e));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let done = match command {
        DaemonCommand::Help => {
            println!("{}", help(name, about));
            Ok(())
        }
        DaemonCommand::Version => {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        DaemonCommand::Check(path) => egretstage_config::settings::load::<S>(&path)
            .map(|_| println!("{} is valid", path.display()))
            .map_err(Into::into),
        DaemonCommand::Run(path) => load_and_run(&path, run),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:?}");
            ExitCode::FAILURE
        }
    }
}

fn load_and_run<S, F>(path: &std::path::Path, run: F) -> miette::Result<()>
where
    S: egretstage_config::settings::SettingsFile,
    F: FnOnce(&S) -> miette::Result<()>,
{
    let settings = egretstage_config::settings::load::<S>(path)?;
    egretstage_observe::init_logging(log::LevelFilter::Info).into_diagnostic()?;
    watch_settings::<S>(path.to_owned())?;
    let done = run(&settings);
    log::logger().flush();
    done
}

/// Checks the settings again whenever the platform says that they have changed.
///
/// They apply at the next start: a process that is stopped as planned cuts off
/// no call, so nothing has to change underneath those that run.
fn watch_settings<S>(path: PathBuf) -> miette::Result<()>
where
    S: egretstage_config::settings::SettingsFile,
{
    egretstage_runtime::on_settings_signal(move || {
        match egretstage_config::settings::load::<S>(&path) {
            Ok(_) => log::info!("the settings were read again; they apply at the next start"),
            Err(e) => {
                log::error!(error:display = e; "the settings can't be used at the next start");
            }
        }
    })
    .into_diagnostic()
}

fn help(name: &str, about: &str) -> String {
    format!(
        "{name}: {about}\n\n\
         Usage: {name} --settings FILE [--check]\n\n\
         Options:\n  \
         --settings FILE  TOML file with the process's settings\n  \
         --check          checks the settings and exits\n  \
         --help           prints this text\n  \
         --version        prints the version\n\n\
         Exit codes: 0 stopped as planned or settings valid; 1 failed; 2 wrong usage."
    )
}
