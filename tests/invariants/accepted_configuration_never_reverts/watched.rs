//! Watches which configuration each node holds and serves by.

use egretstage_standins::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What the watcher looks at and what it has found wrong.
#[derive(Debug, Default)]
pub(super) struct Watched {
    /// Admin and caller addresses of the nodes; companions have no callers.
    pub(super) nodes: Mutex<Vec<(SocketAddr, Option<SocketAddr>)>>,
    /// Tokens by revision, in the order of acceptance.
    pub(super) tokens: Mutex<Vec<String>>,
    pub(super) done: AtomicBool,
    pub(super) wrong: Mutex<Vec<String>>,
}

impl Watched {
    pub(super) fn run(&self, mut rng: ChaCha8Rng) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(300)))
            .build()
            .into();
        let mut offsets: HashMap<String, u64> = HashMap::new();
        let mut served: HashMap<SocketAddr, usize> = HashMap::new();
        while !self.done.load(Ordering::Relaxed) {
            let nodes = self.nodes.lock().unwrap().clone();
            for (admin, callers) in nodes {
                self.look(&agent, admin, &mut offsets);
                if let Some(callers) = callers {
                    self.probe(callers, &mut served, &mut rng);
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Checks that a node's offset doesn't go back.
    fn look(&self, agent: &ureq::Agent, admin: SocketAddr, offsets: &mut HashMap<String, u64>) {
        let Ok(mut resp) = agent.get(format!("http://{admin}/status")).call() else {
            return;
        };
        let Ok(status) = resp.body_mut().read_json::<Value>() else {
            return;
        };
        let incarnation = status["incarnation"].to_string();
        let offset = status["configuration"]["offset"].as_u64().unwrap_or(0);
        let before = offsets.insert(incarnation, offset).unwrap_or(0);
        if offset < before {
            self.found(format!(
                "{admin} went back from offset {before} to {offset}"
            ));
        }
    }

    /// Checks that a node doesn't take a token of an older revision than one
    /// that it took before.
    fn probe(
        &self,
        callers: SocketAddr,
        served: &mut HashMap<SocketAddr, usize>,
        rng: &mut ChaCha8Rng,
    ) {
        let tokens = self.tokens.lock().unwrap().clone();
        if tokens.is_empty() {
            return;
        }
        let newest = served.get(&callers).copied().unwrap_or(0);
        let tried = [rng.random_range(0..tokens.len()), tokens.len() - 1];
        for index in tried {
            let ask = CallerRequest::plain("GET", "/services/nowhere/x", "").token(&tokens[index]);
            if !is_known(&ask.send_with_timeout(callers, Duration::from_millis(300))) {
                continue;
            }
            if index < newest {
                self.found(format!("{callers} took token {index} after token {newest}"));
            }
            served.insert(callers, index.max(newest));
        }
    }

    fn found(&self, wrong: String) {
        self.wrong.lock().unwrap().push(wrong);
    }
}

/// Tells whether an entry knew the token: it then misses only the service.
fn is_known(told: &CallerResponse) -> bool {
    told.status == 404
}
