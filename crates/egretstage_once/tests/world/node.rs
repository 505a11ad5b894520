//! One companion of the world: an owner, its queue and its upstream.

use super::{Ask, LIMITS, Mechanisms, Ran, Told, digest};
use egretstage_once::{
    Admission, CallFingerprint, FingerprintParts, KeyId, KeyName, KeyOwner, KeyOwnerLimits,
    KeyRefusal, KeyedCall, OwnersRecord,
};
use egretstage_wire::{InstanceId, KeyClaim, Member, OrganisationName};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

const READ_TIMEOUT: Duration = Duration::from_millis(200);
const READ_INTERVAL: Duration = Duration::from_millis(30);

/// What a node answers to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Told(Told),
    AskFormerOwner(InstanceId),
}

#[derive(Debug)]
enum State {
    Waiting {
        since: Instant,
    },
    Running {
        ran: usize,
        until: Instant,
        lost: bool,
    },
    Ended {
        ran: usize,
        lost: bool,
    },
}

#[derive(Debug)]
struct Run {
    id: Option<KeyId>,
    ask: Ask,
    state: State,
    readers: Vec<usize>,
}

pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) owner: KeyOwner<usize>,
    pub(crate) paused_until: Instant,
    pub(crate) answers: Vec<(usize, Verdict)>,
    mechanisms: Mechanisms,
    runs: HashMap<usize, Run>,
    next_run: usize,
    seen: HashSet<(usize, bool)>,
    read_asked: Option<Instant>,
    read_done: Option<Instant>,
}

impl Node {
    pub(crate) fn new(member: Member, mechanisms: Mechanisms) -> Self {
        let window = if mechanisms.embargo {
            LIMITS.window
        } else {
            Duration::ZERO
        };
        let longest_budget = if mechanisms.embargo {
            LIMITS.longest_budget
        } else {
            Duration::ZERO
        };
        let limits = KeyOwnerLimits {
            window,
            longest_budget,
            ..LIMITS
        };
        Self {
            owner: KeyOwner::new(member.clone(), limits),
            member,
            paused_until: Instant::now(),
            answers: Vec::new(),
            mechanisms,
            runs: HashMap::new(),
            next_run: 0,
            seen: HashSet::new(),
            read_asked: None,
            read_done: None,
        }
    }

    pub(crate) fn wants_read(&mut self, now: Instant) -> bool {
        let busy = self.read_asked.is_some_and(|at| now < at + READ_TIMEOUT);
        let early = self.read_done.is_some_and(|at| now < at + READ_INTERVAL);
        if busy || early {
            return false;
        }
        self.read_asked = Some(now);
        true
    }

    pub(crate) fn read(&mut self, now: Instant, asked: Instant, records: &[(u64, OwnersRecord)]) {
        self.read_done = Some(now);
        if self.read_asked == Some(asked) {
            self.read_asked = None;
        }
        for (offset, record) in records {
            self.owner.apply(now, *offset, Some(record));
        }
        self.owner.renew_lease(asked);
    }

    pub(crate) fn start(&mut self, now: Instant, ask: Ask) {
        if !self.seen.insert((ask.id, ask.recall)) {
            return;
        }
        let call = keyed_call(&ask, !self.mechanisms.lease);
        match self.owner.admit(now, &call) {
            Admission::New => {
                let run = self.next_run;
                self.next_run += 1;
                let id = self.owner.insert(call, run);
                let state = State::Waiting { since: now };
                let run_info = Run {
                    id: Some(id),
                    ask,
                    state,
                    readers: vec![ask.id],
                };
                self.runs.insert(run, run_info);
            }
            Admission::Join(run) => {
                let run = self.runs.get_mut(&run).expect("a known run");
                run.readers.push(ask.id);
            }
            Admission::Refused(refusal) => {
                let verdict = match refusal {
                    KeyRefusal::AskFormerOwner(instance) => Verdict::AskFormerOwner(instance),
                    KeyRefusal::FormerOwner { .. } => Verdict::Told(Told::Unknown),
                    _ => Verdict::Told(Told::NotRun),
                };
                self.answers.push((ask.id, verdict));
            }
        }
    }

    /// Starts, ends and forgets runs.
    pub(crate) fn work(&mut self, now: Instant, ran: &mut Vec<Ran>, work: Duration, lost: bool) {
        let mut refused = Vec::new();
        for (key, run) in &mut self.runs {
            let id = run.id.expect("a remembered key");
            match run.state {
                State::Waiting { since } if since < now => {
                    let until = self.owner.may_start_until(now, id, run.ask.deadline);
                    if until.is_some_and(|until| now < until) {
                        let end = (now + work).min(run.ask.deadline);
                        ran.push(Ran {
                            key: run.ask.key,
                            ask: run.ask.id,
                            start: now,
                            end,
                        });
                        let ran = ran.len() - 1;
                        run.state = State::Running {
                            ran,
                            until: end,
                            lost,
                        };
                    } else {
                        refused.push(*key);
                    }
                }
                State::Running { ran, until, lost } if until <= now => {
                    run.state = State::Ended { ran, lost };
                    self.owner.run_ended(now, id);
                }
                _ => {}
            }
            if let State::Ended { ran, lost } = run.state {
                let told = if lost {
                    Told::Unknown
                } else {
                    Told::Completed(ran)
                };
                let answers = run.readers.drain(..).map(|ask| (ask, Verdict::Told(told)));
                self.answers.extend(answers);
            }
        }
        for key in refused {
            let run = self.runs.remove(&key).expect("a waiting run");
            self.owner.forget_not_run(run.id.expect("a remembered key"));
            let told = run
                .readers
                .into_iter()
                .map(|ask| (ask, Verdict::Told(Told::NotRun)));
            self.answers.extend(told);
        }
        for run in self.owner.expire(now) {
            self.runs.remove(&run);
        }
    }
}

fn keyed_call(ask: &Ask, run_without_log: bool) -> KeyedCall {
    let parts = FingerprintParts {
        method: "POST",
        path: "/",
        body: &ask.key.to_le_bytes(),
    };
    KeyedCall {
        name: KeyName {
            organisation: OrganisationName::try_from("desk").expect("a name"),
            key: ask.key.to_string().into(),
        },
        digest: digest(ask.key),
        fingerprint: CallFingerprint::from(parts),
        claim: KeyClaim {
            epoch: ask.epoch,
            run_without_log,
            recall: ask.recall,
        },
    }
}
