//! Command-line arguments that all daemons share.

use miette::{Diagnostic, IntoDiagnostic};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// What the arguments of a daemon request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Validates the settings file and exits.
    Check(PathBuf),
    /// Runs the daemon with the settings file.
    Run(PathBuf),
}

/// Missing or unexpected arguments.
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
            return Err(UsageError(format!(
                "unexpected argument {}",
                extra.display()
            )));
        }
        Ok(if check {
            Self::Check(settings)
        } else {
            Self::Run(settings)
        })
    }
}

/// Parses the arguments of a daemon, loads its settings, starts logging and runs
/// it.
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
    let result = match command {
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
    match result {
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
    validate_settings_on_signal::<S>(path.to_owned())?;
    let result = run(&settings);
    log::logger().flush();
    result
}

/// Validates the settings file again whenever the platform reports a change by
/// signal.
///
/// Changed settings apply at the next start: a planned stop interrupts no call,
/// so the settings of a running process needn't change.
fn validate_settings_on_signal<S>(path: PathBuf) -> miette::Result<()>
where
    S: egretstage_config::settings::SettingsFile,
{
    egretstage_runtime::on_settings_signal(move || {
        match egretstage_config::settings::load::<S>(&path) {
            Ok(_) => log::info!("the changed settings are valid; they apply at the next start"),
            Err(e) => {
                log::error!(
                    error:display = e;
                    "the changed settings are invalid; the next start will fail"
                );
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
