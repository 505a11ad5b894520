//! The operator's command line, `egretctl`.
//!
//! [`run`] parses the arguments, executes the command through the platform's log
//! and the nodes' `/status`, and returns the process's exit code.

mod apply;
mod args;
mod explain;
mod log_view;
mod nodes;
mod objects;
mod records;
mod reset;
mod settings;
mod story;
mod table;
mod zones;

pub use apply::{ApplyError, ApplyOutcome, ApplyReport, RetryPolicy, publish};
pub use args::{Command, Invocation, UsageError};
pub use explain::{ExplainedUpstream, Explanation, explain};
pub use log_view::{FoldedRecord, LogView, ViewError, retained_records};
pub use nodes::{ListedNode, NodeReport, SystemStatus};
pub use objects::{Difference, Selection, diff, get, history, upgraded_records};
pub use records::{FileRecord, InvalidFile, Problem, parse_records, read_records};
pub use reset::{ResetError, reset};
pub use settings::{Endpoints, SETTINGS_VARIABLE};
pub use story::{RequestTimeline, TimelineEntry, TimelineReader};
pub use zones::{EvacuatedZone, ZoneAtEntry, ZoneReader};

use egretstage_platform::{AppendLog, HttpAppendLog};
use egretstage_wire::{OrganisationName, RequestId, ServiceName};
use miette::{Context, IntoDiagnostic};
use serde::Serialize;
use std::collections::BTreeSet;
use std::ffi::{OsStr, OsString};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use strum::FromRepr;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{ApplyOutcome, ApplyReport, Command, FileRecord, LogView, publish, run};
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, FromRepr)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The log or a file can't be used.
    Failed = 1,
    /// The arguments can't be used.
    Usage = 2,
    /// Another change of an object came first.
    Conflict = 3,
    /// A record is not valid.
    Invalid = 4,
    /// It isn't known whether a record takes effect.
    Unknown = 5,
    /// A node does not answer, lags, or can't read all objects.
    Unhealthy = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Runs `egretctl`: prints the results and returns the exit code.
#[must_use]
pub fn run(args: Vec<OsString>) -> ExitCode {
    match try_run(args) {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("{e:?}");
            exit_for_error(&e).into()
        }
    }
}

fn exit_for_error(error: &miette::Report) -> Exit {
    if error.is::<UsageError>() {
        Exit::Usage
    } else if error.is::<InvalidFile>() {
        Exit::Invalid
    } else {
        Exit::Failed
    }
}

fn try_run(args: Vec<OsString>) -> miette::Result<Exit> {
    let invocation = args::parse(args)?;
    let endpoints = match invocation.command {
        Command::Help | Command::Version | Command::Story(..) | Command::Zones(_) => {
            invocation.endpoints
        }
        _ => invocation.endpoints.fill_from_file(invocation.settings)?,
    };
    let context = CommandContext {
        endpoints,
        json: invocation.json,
    };
    match invocation.command {
        Command::Help => println!("{}", args::HELP),
        Command::Version => println!("egretctl {}", env!("CARGO_PKG_VERSION")),
        Command::Check(file) => {
            let records = read_records(&file)?;
            println!("{} records are valid", records.len());
        }
        Command::Apply(file) => return context.apply(&file),
        Command::Get(selection) => context.get(&selection)?,
        Command::History(selection) => context.history(&selection)?,
        Command::Diff(file) => context.diff(&file)?,
        Command::Upgrade { dry_run } => return context.upgrade(dry_run),
        Command::Reset => context.reset()?,
        Command::Status => return context.status(),
        Command::Explain(organisation, service) => context.explain(organisation, service)?,
        Command::Story(request, files) => return context.story(request, &files),
        Command::Zones(files) => context.zones(&files)?,
    }
    Ok(Exit::Done)
}

/// Addresses and output format, for the commands that need the platform.
struct CommandContext {
    endpoints: Endpoints,
    json: bool,
}

impl CommandContext {
    fn log(&self) -> Result<HttpAppendLog, UsageError> {
        let url = self.endpoints.log_url.as_deref();
        let missing = || UsageError::new(&"no log service given: use --log URL or a settings file");
        url.map(HttpAppendLog::new).ok_or_else(missing)
    }

    fn print<T: Serialize + ?Sized>(&self, value: &T, print_table: impl FnOnce(&T)) {
        if self.json {
            let text = serde_json::to_string_pretty(value).expect("a result can be serialised");
            println!("{text}");
        } else {
            print_table(value);
        }
    }

    fn apply(&self, file: &Path) -> miette::Result<Exit> {
        let records = read_records(file)?;
        let log = self.log()?;
        let mut view = LogView::open(&log).into_diagnostic()?;
        self.publish_all(&mut view, records)
    }

    fn publish_all(
        &self,
        view: &mut LogView<'_>,
        records: Vec<FileRecord>,
    ) -> miette::Result<Exit> {
        let mut exit = Exit::Done;
        for record in records {
            let report = publish(view, record, RetryPolicy::default()).into_diagnostic()?;
            self.print(&report, |report| println!("{report}"));
            exit = exit.max(match report.fate {
                ApplyOutcome::Accepted { .. } | ApplyOutcome::Unchanged { .. } => Exit::Done,
                ApplyOutcome::Conflict { .. } => Exit::Conflict,
                ApplyOutcome::Unknown => Exit::Unknown,
            });
        }
        Ok(exit)
    }

    fn get(&self, selection: &Selection) -> miette::Result<()> {
        let log = self.log()?;
        let view = LogView::open(&log).into_diagnostic()?;
        self.print(&*get(&view, selection), objects::print_objects);
        Ok(())
    }

    fn history(&self, selection: &Selection) -> miette::Result<()> {
        let log = self.log()?;
        let records = retained_records(&log).into_diagnostic()?;
        self.print(&*history(records, selection), objects::print_history);
        Ok(())
    }

    fn diff(&self, file: &Path) -> miette::Result<()> {
        let records = read_records(file)?;
        let log = self.log()?;
        let view = LogView::open(&log).into_diagnostic()?;
        self.print(&*diff(&view, &records), objects::print_differences);
        Ok(())
    }

    fn upgrade(&self, dry_run: bool) -> miette::Result<Exit> {
        let log = self.log()?;
        let mut view = LogView::open(&log).into_diagnostic()?;
        let records = upgraded_records(&view);
        if dry_run {
            let text = serde_json::to_string_pretty(&records).expect("a record can be serialised");
            println!("{text}");
            return Ok(Exit::Done);
        }
        if records.is_empty() && !self.json {
            println!("all records have the newest schema");
        }
        self.publish_all(&mut view, records)
    }

    fn reset(&self) -> miette::Result<()> {
        let log = self.log()?;
        let through = reset(&log).into_diagnostic()?;
        println!(
            "the configuration starts from nothing after offset {}",
            through.0
        );
        Ok(())
    }

    fn status(&self) -> miette::Result<Exit> {
        let system = self.system()?;
        self.print(&system, nodes::print_system);
        Ok(if system.is_healthy() {
            Exit::Done
        } else {
            Exit::Unhealthy
        })
    }

    fn system(&self) -> Result<SystemStatus, UsageError> {
        let listed = match &self.endpoints.list_url {
            None => Vec::new(),
            Some(url) => nodes::list_instances(url).unwrap_or_else(|e| {
                eprintln!("the instance list can't be read: {e}");
                Vec::new()
            }),
        };
        let list_addresses = listed.iter().filter_map(|node| node.admin);
        let addresses: BTreeSet<_> = self
            .endpoints
            .nodes
            .iter()
            .copied()
            .chain(list_addresses)
            .collect();
        if addresses.is_empty() && listed.is_empty() {
            let message = "no nodes given: use --node ADDRESS, --list URL or a settings file";
            return Err(UsageError::new(&message));
        }
        let addresses: Vec<_> = addresses.into_iter().collect();
        Ok(SystemStatus {
            log_offset: self.log_offset(),
            listed,
            nodes: nodes::query(&addresses),
        })
    }

    fn log_offset(&self) -> Option<u64> {
        let log = self.log().ok()?;
        let log_end = log.read(
            egretstage_config::CONFIGURATION_STREAM,
            u64::MAX,
            std::time::Duration::ZERO,
        );
        match log_end {
            Ok(page) => Some(page.next.saturating_sub(1)),
            Err(e) => {
                eprintln!("the log can't be read: {e}");
                None
            }
        }
    }

    fn story(&self, request: RequestId, files: &[PathBuf]) -> miette::Result<Exit> {
        let mut reader = TimelineReader::new(request);
        read_logs(files, |name, input| reader.read(name, input))?;
        let timeline = reader.finish();
        self.print(&timeline, story::print_timeline);
        if timeline.lines.is_empty() {
            eprintln!("no log line of the input is about the request");
            return Ok(Exit::Failed);
        }
        Ok(Exit::Done)
    }

    fn zones(&self, files: &[PathBuf]) -> miette::Result<()> {
        let mut reader = ZoneReader::default();
        read_logs(files, |name, input| reader.read(name, input))?;
        self.print(&*reader.finish(), zones::print_zones);
        Ok(())
    }

    fn explain(&self, organisation: OrganisationName, service: ServiceName) -> miette::Result<()> {
        let log = self.log()?;
        let view = LogView::open(&log).into_diagnostic()?;
        let nodes = nodes::query(&self.endpoints.nodes);
        let configuration = view.fold().configuration();
        let explanation = explain(configuration, &nodes, organisation, service);
        self.print(&explanation, explain::print_explanation);
        Ok(())
    }
}

/// Passes each log file with its name to `read`, or standard input if there is none.
fn read_logs(
    files: &[PathBuf],
    mut read: impl FnMut(&str, &mut dyn BufRead) -> io::Result<()>,
) -> miette::Result<()> {
    if files.is_empty() {
        read("-", &mut io::stdin().lock()).into_diagnostic()?;
    }
    for path in files {
        let displayed = path.display().to_string();
        let name = path
            .file_stem()
            .map_or_else(|| displayed.clone().into(), OsStr::to_string_lossy);
        let file = File::open(path)
            .into_diagnostic()
            .wrap_err(displayed.clone())?;
        let result = read(&name, &mut BufReader::new(file));
        result.into_diagnostic().wrap_err(displayed)?;
    }
    Ok(())
}
