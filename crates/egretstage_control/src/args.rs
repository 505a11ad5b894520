//! The arguments of `egretctl`.

use crate::Selection;
use crate::settings::Endpoints;
use egretstage_config::suggest;
use egretstage_wire::{OrganisationName, RequestId, ServiceName};
use miette::Diagnostic;
use pico_args::Arguments;
use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;

/// The text of `--help`.
pub(crate) const HELP: &str = "\
egretctl: checks, publishes and shows egretstage's configuration

Usage:
  egretctl check FILE                    checks a file of records
  egretctl apply FILE                    publishes a file of records
  egretctl get [KIND [NAME]]             shows what is in force
  egretctl history [KIND [NAME]]         shows the records that the log holds
  egretctl diff FILE                     compares a file with what is in force
  egretctl upgrade [--dry-run]           rewrites records to the newest schema
  egretctl reset --yes                   starts from nothing on a log that has
                                         dropped records and has no checkpoint
  egretctl status                        shows instances, runners and offsets
  egretctl explain ORGANISATION SERVICE  shows which rule and runners apply
  egretctl story REQUEST [FILE...]       shows one request's log lines in order,
                                         from files or standard input
  egretctl zones [FILE...]               shows the evacuated zones, by the logs of
                                         all entries, from files or standard input

Options:
  --log URL        base URL of the platform's log service
  --list URL       base URL of the platform's instance list
  --node ADDRESS   admin address of a node; may be given more than once
  --settings FILE  TOML file with log_url, list_url and nodes; without it the
                   file that the variable EGRETCTL_SETTINGS names
  --json           prints JSON
  --help           prints this text
  --version        prints the version

Exit codes:
  0  done
  1  failed: the log or a file can't be used
  2  wrong usage
  3  conflict: another change came first; nothing of that record is in force
  4  a record is not valid; nothing was published
  5  unknown: the log did not answer; applying the file again does no harm
  6  status: a node does not answer, lags, or can't read all objects";

/// The names of the commands.
const COMMANDS: [&str; 11] = [
    "check", "apply", "get", "history", "diff", "upgrade", "reset", "status", "explain", "story",
    "zones",
];

/// A command of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Checks a file of records.
    Check(PathBuf),
    /// Publishes a file of records.
    Apply(PathBuf),
    /// Shows active objects.
    Get(Selection),
    /// Shows the records that the log holds.
    History(Selection),
    /// Compares a file of records with the active objects.
    Diff(PathBuf),
    /// Rewrites records to the newest schema.
    Upgrade {
        /// Whether the records are only shown and not published.
        dry_run: bool,
    },
    /// Starts an empty configuration on a log that has lost it.
    Reset,
    /// Shows instances, upstreams and offsets.
    Status,
    /// Shows which placement rule and upstreams apply to a request.
    Explain(OrganisationName, ServiceName),
    /// Shows the log lines of a request, from files or, without one, standard
    /// input.
    Story(RequestId, Vec<PathBuf>),
    /// Shows the evacuated zones, from log files or, without one, standard input.
    Zones(Vec<PathBuf>),
}

/// A command with its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invocation {
    /// The command.
    pub command: Command,
    /// Addresses of the platform and the nodes.
    pub endpoints: Endpoints,
    /// A settings file.
    pub settings: Option<PathBuf>,
    /// Whether JSON is printed.
    pub json: bool,
}

/// Arguments that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(help("see egretctl --help"))]
pub struct UsageError {
    message: String,
}

impl UsageError {
    pub(crate) fn new(message: &impl ToString) -> Self {
        Self {
            message: message.to_string(),
        }
    }
}

/// Parses the arguments.
pub(crate) fn parse(args: Vec<OsString>) -> Result<Invocation, UsageError> {
    let mut args = Arguments::from_vec(args);
    let help = args.contains("--help").then_some(Command::Help);
    let version = args.contains("--version").then_some(Command::Version);
    let json = args.contains("--json");
    let usage = |e: pico_args::Error| UsageError::new(&e);
    let endpoints = Endpoints {
        log_url: args.opt_value_from_str("--log").map_err(usage)?,
        list_url: args.opt_value_from_str("--list").map_err(usage)?,
        nodes: args.values_from_str("--node").map_err(usage)?,
    };
    let settings = args.opt_value_from_str("--settings").map_err(usage)?;
    let command = match help.or(version) {
        Some(command) => return Ok(invocation(command, endpoints, settings, json)),
        None => parse_command(&mut args)?,
    };
    match args.finish().first() {
        None => Ok(invocation(command, endpoints, settings, json)),
        Some(extra) => Err(UsageError::new(&format!(
            "unexpected argument {}",
            extra.display()
        ))),
    }
}

fn invocation(
    command: Command,
    endpoints: Endpoints,
    settings: Option<PathBuf>,
    json: bool,
) -> Invocation {
    Invocation {
        command,
        endpoints,
        settings,
        json,
    }
}

fn parse_command(args: &mut Arguments) -> Result<Command, UsageError> {
    let dry_run = args.contains("--dry-run");
    let name = args.subcommand().map_err(|e| UsageError::new(&e))?;
    let Some(name) = name else {
        return Err(UsageError::new(&"no command given"));
    };
    let confirmed = args.contains("--yes");
    match name.as_str() {
        "reset" if confirmed => return Ok(Command::Reset),
        "reset" => return Err(UsageError::new(&"reset needs --yes")),
        _ if confirmed => return Err(UsageError::new(&"--yes is only for reset")),
        "upgrade" => return Ok(Command::Upgrade { dry_run }),
        _ if dry_run => return Err(UsageError::new(&"--dry-run is only for upgrade")),
        _ => {}
    }
    Ok(match name.as_str() {
        "check" => Command::Check(free_argument(args, "FILE")?),
        "apply" => Command::Apply(free_argument(args, "FILE")?),
        "diff" => Command::Diff(free_argument(args, "FILE")?),
        "get" => Command::Get(parse_selection(args)?),
        "history" => Command::History(parse_selection(args)?),
        "status" => Command::Status,
        "explain" => Command::Explain(
            parse_name(&free_argument::<String>(args, "ORGANISATION")?)?,
            parse_name(&free_argument::<String>(args, "SERVICE")?)?,
        ),
        "story" => Command::Story(
            parse_name(&free_argument::<String>(args, "REQUEST")?)?,
            parse_files(args)?,
        ),
        "zones" => Command::Zones(parse_files(args)?),
        other => {
            let allowed = suggest::list_allowed(other, COMMANDS.into_iter());
            let message = format!("unknown command {other:?}, allowed are {allowed}");
            return Err(UsageError::new(&message));
        }
    })
}

fn parse_files(args: &mut Arguments) -> Result<Vec<PathBuf>, UsageError> {
    std::iter::from_fn(|| args.opt_free_from_str().transpose())
        .collect::<Result<_, pico_args::Error>>()
        .map_err(|e| UsageError::new(&e))
}

fn free_argument<T: FromStr>(args: &mut Arguments, name: &str) -> Result<T, UsageError>
where
    T::Err: std::fmt::Display,
{
    let invalid = |e| UsageError::new(&format!("{name}: {e}"));
    args.free_from_str().map_err(invalid)
}

fn parse_selection(args: &mut Arguments) -> Result<Selection, UsageError> {
    let mut next = || -> Result<Option<String>, UsageError> {
        args.opt_free_from_str().map_err(|e| UsageError::new(&e))
    };
    let (kind, name) = (next()?, next()?);
    Ok(Selection {
        kind: kind.map(|text| parse_name(&text)).transpose()?,
        name: name.map(|text| parse_name(&text)).transpose()?,
    })
}

fn parse_name<T>(text: &str) -> Result<T, UsageError>
where
    T: for<'a> TryFrom<&'a str, Error = egretstage_wire::InvalidName>,
{
    T::try_from(text).map_err(|e| UsageError::new(&e))
}
