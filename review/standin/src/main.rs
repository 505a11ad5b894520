//! Runs one case of the review: `review-cases CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod http;
mod process;
mod record;
mod restored_store;
mod runner;
mod silent_stream;
mod slow_upload;
mod store;
mod wire;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case uses.
pub struct Bench {
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Runs a case and returns whether the rule was broken.
fn run(case: &str, bench: &Bench) -> bool {
    match case {
        "slow-upload" => slow_upload::run(bench),
        "restored-store" => restored_store::run(bench),
        "silent-stream" => silent_stream::run(bench),
        _ => panic!("no such case: {case}"),
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("usage: review-cases CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let bench = Bench {
        root: PathBuf::from(root),
        folder: temporary.clone(),
        record: Record::new(),
        has_trouble,
    };
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(case, &bench)));
    let (code, verdict) = match outcome {
        Ok(true) => (1, "the rule was broken"),
        Ok(false) => (0, "the rule held"),
        Err(_) => (2, "the case couldn't run"),
    };
    bench.record.note(verdict);
    bench.record.write(&Path::new(folder).join("record.txt"));
    println!("{case}: {verdict} (trouble: {has_trouble})");
    if std::env::var("KEEP").is_err() {
        // The folder is temporary; a rest of it does no harm.
        let _ = std::fs::remove_dir_all(temporary);
    }
    ExitCode::from(code)
}
