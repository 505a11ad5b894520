//! An accepted configuration becomes active on all nodes within seconds and
//! never reverts.
//!
//! Operators change one object at the same time while the log loses answers, is
//! slow, is down, returns stale pages and drops old records, and while nodes are
//! killed, replaced, frozen and cut off. A watcher reads each node's `/status` and
//! probes which revision each entry serves.

mod watcher;

use egretstage::config::{CONFIGURATION_STREAM, ConfigurationFold, Offset, Record, Verdict};
use egretstage_standins::append_log::AppendLogFaults;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::booking;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use watcher::ConfigurationWatcher;

/// Longest time until an accepted change is active on all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(12);

/// Operators that change one object at the same time in each round.
const OPERATOR_COUNT: usize = 3;

/// Time for which the log keeps a record.
const LOG_RETENTION: Duration = Duration::from_secs(3);

/// Entry settings for a checkpoint each second.
const CHECKPOINT_SETTINGS: &str = "[configuration]\ncheckpoint_interval_s = 1\n";

/// A fault during a round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    LostAnswers,
    SlowLog,
    LogDownAndReplacement,
    FrozenNode,
    ReaderCutOff,
    RetentionExpires,
    StaleReads,
}

#[test]
fn while_the_log_fails() {
    let faults = [
        Fault::LostAnswers,
        Fault::SlowLog,
        Fault::StaleReads,
        Fault::RetentionExpires,
    ];
    check_schedule("while_the_log_fails", 1, faults.to_vec());
}

#[test]
fn while_nodes_fail() {
    let faults = [
        Fault::LogDownAndReplacement,
        Fault::FrozenNode,
        Fault::ReaderCutOff,
        Fault::Nothing,
    ];
    check_schedule("while_nodes_fail", 2, faults.to_vec());
}

/// Runs the faults in the order that a seed gives; `EGRET_SEED` replaces the seed.
fn check_schedule(test: &str, seed: u64, faults: Vec<Fault>) {
    let selected_seed = std::env::var("EGRET_SEED").ok();
    let seed = selected_seed
        .and_then(|text| text.parse().ok())
        .unwrap_or(seed);
    let outcome = std::panic::catch_unwind(|| ConfigurationFleet::start(seed).run(faults));
    if let Err(panic) = outcome {
        eprintln!(
            "repeat with: EGRET_SEED={seed} cargo test --test invariants \
             accepted_configuration_never_reverts::{test}"
        );
        std::panic::resume_unwind(panic);
    }
}

/// Nodes, their log and the watcher of one schedule.
struct ConfigurationFleet {
    fleet: Fleet,
    entries: Vec<Program>,
    companions: Vec<Program>,
    log_proxy: FaultProxy,
    watcher: Arc<ConfigurationWatcher>,
    watcher_thread: Option<std::thread::JoinHandle<()>>,
    rng: ChaCha8Rng,
    entries_started: usize,
    race_count: AtomicUsize,
}

impl ConfigurationFleet {
    fn start(seed: u64) -> Self {
        let options = AppendLogOptions {
            retention: LOG_RETENTION,
            ..AppendLogOptions::default()
        };
        let fleet = Fleet::with_options(programs!(), options, Duration::ZERO);
        let log_address = fleet.log_url.trim_start_matches("http://").parse();
        let log_proxy = fleet.proxy(log_address.expect("the log's address"), seed);
        let mut nodes = Self {
            fleet,
            entries: Vec::new(),
            companions: Vec::new(),
            log_proxy,
            watcher: Arc::default(),
            watcher_thread: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries_started: 0,
            race_count: AtomicUsize::new(0),
        };
        let (_, upstream) = nodes.fleet.plain_service(PlainServiceOptions::default());
        for name in ["runner-1", "runner-2"] {
            let companion = nodes.fleet.companion(&booking(name, "west", upstream));
            nodes.companions.push(companion);
        }
        let proxied_log_url = format!("http://{}", nodes.log_proxy.address());
        for log_url in [None, None, Some(proxied_log_url)] {
            let entry = nodes.start_entry(log_url);
            entry.wait_until_ready(true);
            nodes.entries.push(entry);
        }
        nodes.update_watched_nodes();
        let (watcher, watcher_rng) = (Arc::clone(&nodes.watcher), ChaCha8Rng::seed_from_u64(seed));
        nodes.watcher_thread = Some(std::thread::spawn(move || watcher.run(watcher_rng)));
        nodes
    }

    fn start_entry(&mut self, log_url: Option<String>) -> Program {
        self.entries_started += 1;
        let options = EntryOptions {
            log_url,
            settings: CHECKPOINT_SETTINGS.to_owned(),
        };
        let name = format!("entry-{}", self.entries_started);
        self.fleet.entry_with_options(&name, "west", &options)
    }

    fn update_watched_nodes(&self) {
        let entries = self.entries.iter().map(|e| (e.admin, Some(e.address)));
        let companions = self.companions.iter().map(|c| (c.admin, None));
        *self.watcher.nodes.lock().unwrap() = entries.chain(companions).collect();
    }

    fn run(mut self, mut faults: Vec<Fault>) {
        faults.shuffle(&mut self.rng);
        for fault in faults {
            eprintln!("round with {fault:?}");
            self.run_round(fault);
        }
        self.wait_for_propagation("the last change");
        self.check_accepted_once();
        self.watcher.stop.store(true, Ordering::Relaxed);
        if let Some(watcher_thread) = self.watcher_thread.take() {
            watcher_thread.join().expect("the watcher ends");
        }
        let violations = self.watcher.violations.lock().unwrap();
        assert!(violations.is_empty(), "{violations:?}");
    }

    fn run_round(&mut self, fault: Fault) {
        let delay_ms = self.rng.random_range(50..300);
        match fault {
            Fault::Nothing => self.race(),
            Fault::LostAnswers => self.race_with(AppendLogFaults {
                lose_append_answers: true,
                ..AppendLogFaults::default()
            }),
            Fault::SlowLog => self.race_with(AppendLogFaults {
                delay_ms,
                ..AppendLogFaults::default()
            }),
            Fault::LogDownAndReplacement => self.replace_entry_while_log_is_down(),
            Fault::FrozenNode => self.race_while_a_node_is_frozen(),
            Fault::ReaderCutOff => self.race_while_a_reader_is_cut_off(),
            Fault::StaleReads => self.read_from_a_stale_replica(),
            Fault::RetentionExpires => self.start_entry_after_retention(),
        }
        self.wait_for_propagation(&format!("{fault:?}"));
    }

    fn race_with(&self, faults: AppendLogFaults) {
        self.fleet.log.set_faults(faults);
        self.race();
        self.fleet.log.set_faults(AppendLogFaults::default());
    }

    /// Lets operators replace the same revision of one object at the same time;
    /// exactly one of them may succeed.
    fn race(&self) {
        let base = fold_appended(&self.fleet).1;
        let race = self.race_count.fetch_add(1, Ordering::Relaxed);
        let results: Vec<ApplyResult> = std::thread::scope(|scope| {
            let operators: Vec<_> = (0..OPERATOR_COUNT)
                .map(|operator| scope.spawn(move || self.apply(race, operator, base)))
                .collect();
            operators.into_iter().map(|o| o.join().unwrap()).collect()
        });
        let accepted: Vec<_> = results
            .iter()
            .filter(|result| result.exit_code == 0)
            .collect();
        let refused = results
            .iter()
            .filter(|result| result.exit_code == 3)
            .count();
        assert_eq!(
            (accepted.len(), refused),
            (1, OPERATOR_COUNT - 1),
            "{results:?}"
        );
        self.check_results(&results);
        let mut tokens = self.watcher.tokens.lock().unwrap();
        tokens.push(accepted[0].token.clone());
    }

    fn apply(&self, race: usize, operator: usize, base: u64) -> ApplyResult {
        let token = format!("token-{race}-{operator}");
        let digest = egretstage::config::token_digest(&token);
        let records = json!([{
            "kind": "organisation", "name": "probe", "schema": 1, "base": base,
            "body": {"token_digests": [digest.as_str()]},
        }]);
        let name = format!("records-{race}-{operator}.json");
        let file = self.fleet.write_file(&name, &records.to_string());
        let output = self
            .fleet
            .egretctl(&["apply", &file, "--json", "--log", &self.fleet.log_url]);
        let text = String::from_utf8_lossy(&output.stdout);
        ApplyResult {
            exit_code: output.status.code().unwrap_or(-1),
            id: serde_json::from_str::<Value>(&text).unwrap_or_default()["id"].clone(),
            text: format!("{text}{}", String::from_utf8_lossy(&output.stderr)),
            token,
        }
    }

    fn replace_entry_while_log_is_down(&mut self) {
        self.race();
        self.wait_for_propagation("a change before the outage");
        let last_offset = fold_appended(&self.fleet).0.offset();
        self.fleet.log.set_faults(AppendLogFaults {
            down: true,
            ..AppendLogFaults::default()
        });
        let victim = self.rng.random_range(0..2);
        self.entries[victim].kill();
        let new_entry = self.start_entry(None);
        new_entry.wait_until_ready(true);
        wait_for("the new entry's status", || {
            let offset = new_entry.status()["configuration"]["offset"].as_u64()?;
            (offset > 0).then(|| assert_eq!(Offset(offset), last_offset))
        });
        self.entries[victim] = new_entry;
        self.update_watched_nodes();
        self.fleet.log.set_faults(AppendLogFaults::default());
    }

    fn race_while_a_node_is_frozen(&mut self) {
        let is_entry = self.rng.random_bool(0.5);
        let nodes = if is_entry {
            &self.entries
        } else {
            &self.companions
        };
        let node = &nodes[self.rng.random_range(0..2)];
        node.freeze();
        self.race();
        // Longer than the idle timeout of a link, 2 s.
        std::thread::sleep(Duration::from_millis(2_300));
        node.resume();
    }

    fn race_while_a_reader_is_cut_off(&mut self) {
        self.log_proxy.set_faults(LinkFaults {
            stalled: self.rng.random_bool(0.5),
            delay: Duration::from_millis(700),
            ..LinkFaults::default()
        });
        self.log_proxy.close_connections();
        self.race();
        // The reader receives the change from its peers.
        self.wait_for_propagation("a change while a reader is cut off");
        self.log_proxy.clear_faults();
        self.log_proxy.close_connections();
    }

    /// Has the log return fewer records than the nodes hold.
    fn read_from_a_stale_replica(&self) {
        self.race();
        self.wait_for_propagation("a change before stale reads");
        self.fleet.log.set_faults(AppendLogFaults {
            stale_records: 2,
            ..AppendLogFaults::default()
        });
        // Longer than a read waits, so that each reader gets a stale page.
        std::thread::sleep(Duration::from_millis(2_100));
        self.fleet.log.set_faults(AppendLogFaults::default());
        self.race();
    }

    fn start_entry_after_retention(&mut self) {
        self.race();
        std::thread::sleep(LOG_RETENTION + Duration::from_millis(500));
        let new_entry = self.start_entry(None);
        new_entry.wait_until_ready(true);
        self.entries.push(new_entry);
        self.update_watched_nodes();
    }

    /// Waits until all nodes have reached the log's last offset with the expected
    /// digest, and checks that this takes less than [`PROPAGATION_LIMIT`].
    fn wait_for_propagation(&self, what: &str) {
        let start = Instant::now();
        let fold = fold_appended(&self.fleet).0;
        let digest = format!("{:016x}", fold.digest().0);
        let nodes = || self.entries.iter().chain(&self.companions);
        wait_for(&format!("{what} on all nodes"), || {
            let holds = |node: &Program| {
                let status = node.status();
                let cfg = &status["configuration"];
                cfg["offset"] == fold.offset().0
                    && cfg["digest"] == digest.as_str()
                    && cfg["complete"] == true
            };
            nodes().all(holds).then_some(())
        });
        let took = start.elapsed();
        eprintln!("{what} on all nodes after {took:?}");
        assert!(took < PROPAGATION_LIMIT, "{what} took {took:?}");
        for entry in &self.entries {
            entry.wait_until_ready(true);
        }
    }

    /// Checks that `egretctl` reported success to the operator whose change is
    /// active, and failure to the others.
    fn check_results(&self, results: &[ApplyResult]) {
        let fold = fold_appended(&self.fleet).0;
        let active_object = fold.objects().next().expect("the object");
        for result in results {
            let is_own = result.id == active_object.envelope.id.as_str();
            assert_eq!(is_own, result.exit_code == 0, "{}", result.text);
        }
    }

    /// Checks that each change that `egretctl` reported as accepted was accepted
    /// once.
    fn check_accepted_once(&self) {
        let mut fold = ConfigurationFold::default();
        let mut accepted = HashSet::new();
        for (offset, data) in self.fleet.log.appended(CONFIGURATION_STREAM) {
            let record: Record = serde_json::from_value(data).expect("a record");
            if fold.apply(Offset(offset), &record) == Verdict::Accepted {
                assert!(accepted.insert(record.envelope.id), "accepted twice");
            }
        }
        assert_eq!(accepted.len(), self.watcher.tokens.lock().unwrap().len());
    }
}

/// What `egretctl apply` returned to an operator.
#[derive(Debug)]
struct ApplyResult {
    exit_code: i32,
    id: Value,
    text: String,
    token: String,
}

/// Folds all records ever appended to the log, and returns the fold and the
/// revision of the object.
fn fold_appended(fleet: &Fleet) -> (ConfigurationFold, u64) {
    let mut fold = ConfigurationFold::default();
    for (offset, data) in fleet.log.appended(CONFIGURATION_STREAM) {
        let record: Record = serde_json::from_value(data).expect("a record");
        fold.apply(Offset(offset), &record);
    }
    let revision = fold.objects().next().map_or(0, |object| object.revision.0);
    (fold, revision)
}
