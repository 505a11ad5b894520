//! Every caller receives the complete answer to its own request, even when
//! answers arrive late or out of order.
//!
//! Repeat a seed with
//! `EGRET_SEED=N cargo test --test invariants whole_answer_to_own_caller`.

use crate::seeds::for_each_seed;
use egretstage_standins::engine::expected_stream;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, drafting, wait_for_route};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const DRAFT_TOKENS: u32 = 150;
const DRAFT_COUNT: usize = 8;

fn engine_options() -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(10),
        ..EngineOptions::default()
    }
}

/// A fleet of two engines, with a fault proxy on the link to each companion.
struct DraftingFleet {
    fleet: Fleet,
    entry: Program,
    companions: Vec<Program>,
    proxies: Vec<FaultProxy>,
    engines: Vec<Arc<EngineStandIn>>,
}

impl DraftingFleet {
    fn start(seed: u64) -> Self {
        let fleet = scenario::start_fleet(programs!());
        let (mut companions, mut proxies, mut engines) = (Vec::new(), Vec::new(), Vec::new());
        for (instance, zone) in [("draft-1", "west"), ("draft-2", "east")] {
            let (engine, upstream) = fleet.engine(engine_options());
            let placement = drafting(instance, zone, upstream);
            companions.push(fleet.companion_listed_at(&placement, "", |address| {
                proxies.push(fleet.proxy(address, seed));
                proxies[proxies.len() - 1].address()
            }));
            engines.push(engine);
        }
        let entry = fleet.entry("entry-1", "west");
        wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));
        Self {
            fleet,
            entry,
            companions,
            proxies,
            engines,
        }
    }

    /// Starts drafts, each with its own prompt, and waits until all run.
    fn start_drafts(&self) -> Vec<JoinHandle<(String, CallerResponse)>> {
        let address = self.entry.address;
        let draft = move |number: usize| {
            let prompt = format!("duct {number}");
            let answer = CallerRequest::chat("draft-1", &prompt, DRAFT_TOKENS, true).send(address);
            (prompt, answer)
        };
        let drafts = (0..DRAFT_COUNT)
            .map(|number| std::thread::spawn(move || draft(number)))
            .collect();
        wait_for("all drafts to run", || {
            let running: usize = self.engines.iter().map(|engine| engine.running()).sum();
            (running >= DRAFT_COUNT).then_some(())
        });
        drafts
    }

    /// Returns how many requests the engines have run.
    fn run_count(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.executed_streams().len())
            .sum()
    }
}

fn expected_answer(prompt: &str) -> String {
    expected_stream("draft-1", &chat_messages(prompt).to_string(), DRAFT_TOKENS)
}

/// Checks that each draft got its complete answer.
fn check_complete_answers(drafts: Vec<JoinHandle<(String, CallerResponse)>>) {
    for draft in drafts {
        let (prompt, answer) = draft.join().expect("a caller");
        let answer_bytes = answer.body.len();
        assert!(
            answer.is_completed(),
            "{prompt}: {:?} after {answer_bytes} bytes",
            answer.error
        );
        assert!(
            answer.body == expected_answer(&prompt),
            "{prompt}: {answer_bytes} bytes that differ from the expected answer"
        );
    }
}

/// Cuts random links and changes the jitter, four times.
fn cut_links(drafting: &DraftingFleet, rng: &mut ChaCha8Rng) {
    for _ in 0..4 {
        let pause = rng.random_range(50..300);
        std::thread::sleep(Duration::from_millis(pause));
        let jitter = Duration::from_millis(rng.random_range(0..40));
        for proxy in &drafting.proxies {
            proxy.set_faults(LinkFaults {
                jitter,
                ..LinkFaults::default()
            });
        }
        drafting.proxies[rng.random_range(0..2)].close_connections();
    }
}

#[test]
fn when_links_are_cut_and_answers_cross() {
    for_each_seed(0..3, |seed, rng| {
        let drafting = DraftingFleet::start(seed);
        let runs_before = drafting.run_count();
        let drafts = drafting.start_drafts();
        cut_links(&drafting, rng);
        check_complete_answers(drafts);
        assert_eq!(
            drafting.run_count(),
            runs_before + DRAFT_COUNT,
            "no draft may run again"
        );
    });
}

#[test]
fn when_a_link_stalls() {
    let drafting = DraftingFleet::start(0);
    let drafts = drafting.start_drafts();
    for proxy in &drafting.proxies {
        proxy.set_faults(LinkFaults {
            stalled: true,
            ..LinkFaults::default()
        });
    }
    // Longer than the idle timeout of a link, 2 s.
    std::thread::sleep(Duration::from_millis(2_300));
    for proxy in &drafting.proxies {
        proxy.clear_faults();
    }
    check_complete_answers(drafts);
}

#[test]
fn or_a_visible_cut_when_the_companion_is_killed() {
    let mut drafting = DraftingFleet::start(0);
    let drafts = drafting.start_drafts();
    std::thread::sleep(Duration::from_millis(200));
    for companion in &mut drafting.companions {
        companion.kill();
    }
    for draft in drafts {
        let (prompt, answer) = draft.join().expect("a caller");
        let is_complete = answer.body == expected_answer(&prompt);
        assert!(
            !answer.is_completed() || is_complete,
            "{prompt}: {answer:?}"
        );
        assert!(
            answer.error.is_some() || !answer.is_completed(),
            "{prompt}: {answer:?}"
        );
    }
    drop(drafting.fleet);
}

/// Requests a long draft and doesn't read the answer.
fn start_stalled_caller(entry: SocketAddr) -> TcpStream {
    let body = serde_json::json!({
        "model": "draft-1", "max_tokens": 50_000, "stream": true,
        "messages": chat_messages("a caller that doesn't read"),
    })
    .to_string();
    let mut tcp = TcpStream::connect(entry).expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer desk-token\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    tcp.write_all(head.as_bytes()).expect("a request");
    tcp.write_all(body.as_bytes()).expect("a request");
    tcp
}

#[test]
fn while_another_caller_does_not_read() {
    let drafting = DraftingFleet::start(0);
    let _stalled_callers: Vec<_> = (0..4)
        .map(|_| start_stalled_caller(drafting.entry.address))
        .collect();
    check_complete_answers(drafting.start_drafts());
}

#[test]
fn and_http_1_0_which_hides_cuts_is_refused() {
    let drafting = DraftingFleet::start(0);
    let mut tcp = TcpStream::connect(drafting.entry.address).expect("a connection");
    tcp.write_all(b"GET /services/booking/x HTTP/1.0\r\n\r\n")
        .expect("a request");
    let mut answer = String::new();
    tcp.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.0 505"), "{answer}");
    assert!(answer.contains("egret-outcome: not-run"), "{answer}");
}
