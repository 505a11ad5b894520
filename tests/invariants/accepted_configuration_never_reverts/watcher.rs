//! Watches which configuration each node holds and which revision each entry serves.

use egretstage_standins::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Polls the nodes and records each return of a node to an older configuration.
#[derive(Debug, Default)]
pub(super) struct ConfigurationWatcher {
    /// Admin and caller addresses of the nodes; companions have no caller address.
    pub(super) nodes: Mutex<Vec<(SocketAddr, Option<SocketAddr>)>>,
    /// Caller tokens of the accepted revisions, in the order of acceptance.
    pub(super) tokens: Mutex<Vec<String>>,
    /// Whether the watcher has to stop.
    pub(super) stop: AtomicBool,
    /// Descriptions of the violations.
    pub(super) violations: Mutex<Vec<String>>,
}

impl ConfigurationWatcher {
    /// Polls all nodes until it has to stop.
    pub(super) fn run(&self, mut rng: ChaCha8Rng) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(300)))
            .build()
            .into();
        let mut offsets: HashMap<String, u64> = HashMap::new();
        let mut newest_accepted: HashMap<SocketAddr, usize> = HashMap::new();
        while !self.stop.load(Ordering::Relaxed) {
            let nodes = self.nodes.lock().unwrap().clone();
            for (admin, callers) in nodes {
                self.check_offset(&agent, admin, &mut offsets);
                if let Some(callers) = callers {
                    self.check_token(callers, &mut newest_accepted, &mut rng);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Checks that the offset of a node doesn't decrease during its incarnation.
    fn check_offset(
        &self,
        agent: &ureq::Agent,
        admin: SocketAddr,
        offsets: &mut HashMap<String, u64>,
    ) {
        let Ok(mut resp) = agent.get(format!("http://{admin}/status")).call() else {
            return;
        };
        let Ok(status) = resp.body_mut().read_json::<Value>() else {
            return;
        };
        let incarnation = status["incarnation"].to_string();
        let offset = status["configuration"]["offset"].as_u64().unwrap_or(0);
        let last_offset = offsets.insert(incarnation, offset).unwrap_or(0);
        if offset < last_offset {
            self.report_violation(format!(
                "{admin} went back from offset {last_offset} to {offset}"
            ));
        }
    }

    /// Checks that an entry doesn't accept the token of an older revision than
    /// one that it accepted before.
    fn check_token(
        &self,
        callers: SocketAddr,
        newest_accepted: &mut HashMap<SocketAddr, usize>,
        rng: &mut ChaCha8Rng,
    ) {
        let tokens = self.tokens.lock().unwrap().clone();
        if tokens.is_empty() {
            return;
        }
        let newest = newest_accepted.get(&callers).copied().unwrap_or(0);
        let tried_indices = [rng.random_range(0..tokens.len()), tokens.len() - 1];
        for index in tried_indices {
            let request =
                CallerRequest::plain("GET", "/services/nowhere/x", "").token(&tokens[index]);
            if !is_token_known(&request.send_with_timeout(callers, Duration::from_millis(300))) {
                continue;
            }
            if index < newest {
                self.report_violation(format!(
                    "{callers} accepted token {index} after token {newest}"
                ));
            }
            newest_accepted.insert(callers, index.max(newest));
        }
    }

    fn report_violation(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }
}

/// Returns whether an entry knew the token: it then answers 404, since only the
/// service is unknown.
fn is_token_known(answer: &CallerResponse) -> bool {
    answer.status == 404
}
