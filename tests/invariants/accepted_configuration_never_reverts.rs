//! An accepted configuration is in force everywhere within seconds and never
//! reverts.
//!
//! Operators race on one object while the log loses answers, is slow, is down
//! and drops old records, and while nodes are killed, replaced, frozen and cut
//! off. A watcher reads each node's `/status` and probes which revision it
//! serves by.

mod watched;

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
use watched::Watched;

/// Bound on the time until an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(12);

/// Operators that race on one object in each round.
const OPERATORS: usize = 3;

/// Retention of the log.
const RETENTION: Duration = Duration::from_secs(3);

/// Entry settings: a checkpoint each second.
const TABLES: &str = "[configuration]\ncheckpoint_interval_s = 1\n";

/// What goes wrong during a round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    LostAnswers,
    SlowLog,
    LogDownAndReplacement,
    FrozenNode,
    ReaderCutOff,
    RetentionPasses,
    StaleReads,
}

#[test]
fn while_the_log_fails() {
    let faults = [
        Fault::LostAnswers,
        Fault::SlowLog,
        Fault::StaleReads,
        Fault::RetentionPasses,
    ];
    check("while_the_log_fails", 1, faults.to_vec());
}

#[test]
fn while_nodes_fail() {
    let faults = [
        Fault::LogDownAndReplacement,
        Fault::FrozenNode,
        Fault::ReaderCutOff,
        Fault::Nothing,
    ];
    check("while_nodes_fail", 2, faults.to_vec());
}

/// Runs the schedule of a seed, or of the one that `EGRET_SEED` names.
fn check(test: &str, seed: u64, faults: Vec<Fault>) {
    let chosen = std::env::var("EGRET_SEED").ok();
    let seed = chosen.and_then(|text| text.parse().ok()).unwrap_or(seed);
    let outcome = std::panic::catch_unwind(|| Trial::start(seed).run(faults));
    if let Err(panic) = outcome {
        eprintln!(
            "repeat with: EGRET_SEED={seed} cargo test --test invariants \
             accepted_configuration_never_reverts::{test}"
        );
        std::panic::resume_unwind(panic);
    }
}

struct Trial {
    fleet: Fleet,
    entries: Vec<Program>,
    companions: Vec<Program>,
    log_proxy: FaultProxy,
    watched: Arc<Watched>,
    watcher: Option<std::thread::JoinHandle<()>>,
    rng: ChaCha8Rng,
    started: usize,
    races: AtomicUsize,
}

impl Trial {
    fn start(seed: u64) -> Self {
        let options = AppendLogOptions {
            retention: RETENTION,
            ..AppendLogOptions::default()
        };
        let fleet = Fleet::with_options(programs!(), options, Duration::ZERO);
        let log_address = fleet.log_url.trim_start_matches("http://").parse();
        let log_proxy = fleet.proxy(log_address.expect("the log's address"), seed);
        let mut trial = Self {
            fleet,
            entries: Vec::new(),
            companions: Vec::new(),
            log_proxy,
            watched: Arc::default(),
            watcher: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            started: 0,
            races: AtomicUsize::new(0),
        };
        let (_, upstream) = trial.fleet.plain_service(PlainServiceOptions::default());
        for name in ["runner-1", "runner-2"] {
            let companion = trial.fleet.companion(&booking(name, "west", upstream));
            trial.companions.push(companion);
        }
        let proxied = format!("http://{}", trial.log_proxy.address());
        for log_url in [None, None, Some(proxied)] {
            let entry = trial.start_entry(log_url);
            entry.wait_until_ready(true);
            trial.entries.push(entry);
        }
        trial.update_watched();
        let (watched, watch_rng) = (Arc::clone(&trial.watched), ChaCha8Rng::seed_from_u64(seed));
        trial.watcher = Some(std::thread::spawn(move || watched.run(watch_rng)));
        trial
    }

    fn start_entry(&mut self, log_url: Option<String>) -> Program {
        self.started += 1;
        let options = EntryOptions {
            log_url,
            settings: TABLES.to_owned(),
        };
        let name = format!("entry-{}", self.started);
        self.fleet.entry_with_options(&name, "west", &options)
    }

    fn update_watched(&self) {
        let entries = self.entries.iter().map(|e| (e.admin, Some(e.address)));
        let companions = self.companions.iter().map(|c| (c.admin, None));
        *self.watched.nodes.lock().unwrap() = entries.chain(companions).collect();
    }

    fn run(mut self, mut faults: Vec<Fault>) {
        faults.shuffle(&mut self.rng);
        for fault in faults {
            eprintln!("round with {fault:?}");
            self.round_with(fault);
        }
        self.await_everywhere("the end");
        self.check_accepted_once();
        self.watched.done.store(true, Ordering::Relaxed);
        if let Some(watcher) = self.watcher.take() {
            watcher.join().expect("the watcher ends");
        }
        let wrong = self.watched.wrong.lock().unwrap();
        assert!(wrong.is_empty(), "{wrong:?}");
    }

    fn round_with(&mut self, fault: Fault) {
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
            Fault::RetentionPasses => self.start_entry_after_retention(),
        }
        self.await_everywhere(&format!("{fault:?}"));
    }

    fn race_with(&self, faults: AppendLogFaults) {
        self.fleet.log.set_faults(faults);
        self.race();
        self.fleet.log.set_faults(AppendLogFaults::default());
    }

    /// Lets operators replace one object's same revision at once; exactly one
    /// of them may succeed.
    fn race(&self) {
        let base = truth(&self.fleet).1;
        let race = self.races.fetch_add(1, Ordering::Relaxed);
        let results: Vec<OperatorTold> = std::thread::scope(|scope| {
            let operators: Vec<_> = (0..OPERATORS)
                .map(|operator| scope.spawn(move || self.apply(race, operator, base)))
                .collect();
            operators.into_iter().map(|o| o.join().unwrap()).collect()
        });
        let accepted: Vec<_> = results.iter().filter(|told| told.exit == 0).collect();
        let refused = results.iter().filter(|told| told.exit == 3).count();
        assert_eq!((accepted.len(), refused), (1, OPERATORS - 1), "{results:?}");
        self.check_told(&results);
        let mut tokens = self.watched.tokens.lock().unwrap();
        tokens.push(accepted[0].token.clone());
    }

    fn apply(&self, race: usize, operator: usize, base: u64) -> OperatorTold {
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
        OperatorTold {
            exit: output.status.code().unwrap_or(-1),
            id: serde_json::from_str::<Value>(&text).unwrap_or_default()["id"].clone(),
            text: format!("{text}{}", String::from_utf8_lossy(&output.stderr)),
            token,
        }
    }

    fn replace_entry_while_log_is_down(&mut self) {
        self.race();
        self.await_everywhere("a change before the outage");
        let last = truth(&self.fleet).0.offset();
        self.fleet.log.set_faults(AppendLogFaults {
            down: true,
            ..AppendLogFaults::default()
        });
        let victim = self.rng.random_range(0..2);
        self.entries[victim].kill();
        let fresh = self.start_entry(None);
        fresh.wait_until_ready(true);
        wait_for("the fresh entry's status", || {
            let offset = fresh.status()["configuration"]["offset"].as_u64()?;
            (offset > 0).then(|| assert_eq!(Offset(offset), last))
        });
        self.entries[victim] = fresh;
        self.update_watched();
        self.fleet.log.set_faults(AppendLogFaults::default());
    }

    fn race_while_a_node_is_frozen(&mut self) {
        let entry = self.rng.random_bool(0.5);
        let nodes = if entry {
            &self.entries
        } else {
            &self.companions
        };
        let node = &nodes[self.rng.random_range(0..2)];
        node.freeze();
        self.race();
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
        // The reader hears of the change from its peers.
        self.await_everywhere("a change while a reader is cut off");
        self.log_proxy.clear_faults();
        self.log_proxy.close_connections();
    }

    /// Lets the log show less than what the nodes hold.
    fn read_from_a_stale_replica(&self) {
        self.race();
        self.await_everywhere("a change before stale reads");
        self.fleet.log.set_faults(AppendLogFaults {
            stale_records: 2,
            ..AppendLogFaults::default()
        });
        // Longer than a read waits, so that each reader gets such a page.
        std::thread::sleep(Duration::from_millis(2_100));
        self.fleet.log.set_faults(AppendLogFaults::default());
        self.race();
    }

    fn start_entry_after_retention(&mut self) {
        self.race();
        std::thread::sleep(RETENTION + Duration::from_millis(500));
        let fresh = self.start_entry(None);
        fresh.wait_until_ready(true);
        self.entries.push(fresh);
        self.update_watched();
    }

    /// Waits until all nodes hold the log's last record with one digest.
    fn await_everywhere(&self, what: &str) {
        let start = Instant::now();
        let fold = truth(&self.fleet).0;
        let digest = format!("{:016x}", fold.digest().0);
        let nodes = || self.entries.iter().chain(&self.companions);
        wait_for(&format!("{what} everywhere"), || {
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
        eprintln!("{what} everywhere after {took:?}");
        assert!(took < IN_FORCE_LIMIT, "{what} took {took:?}");
        for entry in &self.entries {
            entry.wait_until_ready(true);
        }
    }

    /// Compares what operators were told with what the log holds.
    fn check_told(&self, results: &[OperatorTold]) {
        let fold = truth(&self.fleet).0;
        let in_force = fold.objects().next().expect("the object");
        for told in results {
            let own = told.id == in_force.envelope.id.as_str();
            assert_eq!(own, told.exit == 0, "{}", told.text);
        }
    }

    /// Checks that each change that an operator was told of was accepted once.
    fn check_accepted_once(&self) {
        let mut fold = ConfigurationFold::default();
        let mut accepted = HashSet::new();
        for (offset, data) in self.fleet.log.appended(CONFIGURATION_STREAM) {
            let record: Record = serde_json::from_value(data).expect("a record");
            if fold.apply(Offset(offset), &record) == Verdict::Accepted {
                assert!(accepted.insert(record.envelope.id), "accepted twice");
            }
        }
        assert_eq!(accepted.len(), self.watched.tokens.lock().unwrap().len());
    }
}

/// What an operator was told.
#[derive(Debug)]
struct OperatorTold {
    exit: i32,
    id: Value,
    text: String,
    token: String,
}

/// Folds all that was ever appended; returns the revision of the object too.
fn truth(fleet: &Fleet) -> (ConfigurationFold, u64) {
    let mut fold = ConfigurationFold::default();
    for (offset, data) in fleet.log.appended(CONFIGURATION_STREAM) {
        let record: Record = serde_json::from_value(data).expect("a record");
        fold.apply(Offset(offset), &record);
    }
    let object = fold.objects().next().map_or(0, |object| object.revision.0);
    (fold, object)
}
