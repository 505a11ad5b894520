//! A simulated companion: a key owner, its queue and its upstream.

use super::{Call, LIMITS, Mechanisms, Outcome, UpstreamRun, digest};
use egretstage_once::{
    Admission, CallFingerprint, FingerprintParts, KeyId, KeyName, KeyOwner, KeyOwnerLimits,
    KeyRefusal, KeyedCall, OwnersRecord,
};
use egretstage_wire::{InstanceId, KeyClaim, Member, OrganisationName};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Longest wait for the answer to a read of the log.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause between two reads of the log.
const READ_INTERVAL: Duration = Duration::from_millis(30);

/// Reply of a node to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Outcome(Outcome),
    AskFormerOwner(InstanceId),
}

/// State of a call that a node has admitted.
#[derive(Debug)]
enum RunState {
    Waiting {
        since: Instant,
    },
    Running {
        run_index: usize,
        until: Instant,
        answer_lost: bool,
    },
    Ended {
        run_index: usize,
        answer_lost: bool,
    },
}

/// A call that a node has admitted, and the calls that wait for its answer.
#[derive(Debug)]
struct Run {
    id: Option<KeyId>,
    call: Call,
    state: RunState,
    waiting_calls: Vec<usize>,
}

/// A simulated companion.
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) owner: KeyOwner<usize>,
    /// The node handles nothing until then.
    pub(crate) suspended_until: Instant,
    /// Replies to send, with the call that each answers.
    pub(crate) answers: Vec<(usize, Reply)>,
    mechanisms: Mechanisms,
    /// Admitted calls, by run number.
    runs: HashMap<usize, Run>,
    next_run_number: usize,
    /// Calls that have arrived, with whether they only ask for an answer.
    handled_calls: HashSet<(usize, bool)>,
    read_requested_at: Option<Instant>,
    read_done_at: Option<Instant>,
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
            suspended_until: Instant::now(),
            answers: Vec::new(),
            mechanisms,
            runs: HashMap::new(),
            next_run_number: 0,
            handled_calls: HashSet::new(),
            read_requested_at: None,
            read_done_at: None,
        }
    }

    /// Returns whether a read of the log is due, and marks it as in flight.
    pub(crate) fn take_due_read(&mut self, now: Instant) -> bool {
        let in_flight = self
            .read_requested_at
            .is_some_and(|at| now < at + READ_TIMEOUT);
        let too_soon = self.read_done_at.is_some_and(|at| now < at + READ_INTERVAL);
        if in_flight || too_soon {
            return false;
        }
        self.read_requested_at = Some(now);
        true
    }

    /// Folds the records that a read returned, and renews the lease.
    pub(crate) fn read_answered(
        &mut self,
        now: Instant,
        requested_at: Instant,
        records: &[(u64, OwnersRecord)],
    ) {
        self.read_done_at = Some(now);
        if self.read_requested_at == Some(requested_at) {
            self.read_requested_at = None;
        }
        for (offset, record) in records {
            self.owner.apply(now, *offset, Some(record));
        }
        self.owner.renew_lease(requested_at);
    }

    /// Handles a call; a duplicate has no effect.
    pub(crate) fn start(&mut self, now: Instant, call: Call) {
        if !self.handled_calls.insert((call.id, call.recall)) {
            return;
        }
        let keyed = keyed_call(&call, !self.mechanisms.lease);
        match self.owner.admit(now, &keyed) {
            Admission::New => {
                let run_number = self.next_run_number;
                self.next_run_number += 1;
                let id = self.owner.insert(keyed, run_number);
                let state = RunState::Waiting { since: now };
                let new_run = Run {
                    id: Some(id),
                    call,
                    state,
                    waiting_calls: vec![call.id],
                };
                self.runs.insert(run_number, new_run);
            }
            Admission::Join(run_number) => {
                let run = self.runs.get_mut(&run_number).expect("a known run");
                run.waiting_calls.push(call.id);
            }
            Admission::Refused(refusal) => {
                let reply = match refusal {
                    KeyRefusal::AskFormerOwner(instance) => Reply::AskFormerOwner(instance),
                    KeyRefusal::Embargo { .. } => Reply::Outcome(Outcome::Unknown),
                    _ => Reply::Outcome(Outcome::NotRun),
                };
                self.answers.push((call.id, reply));
            }
        }
    }

    /// Starts, ends and expires runs and answers the calls that wait for them.
    ///
    /// A run that starts now lasts `run_time`; its answer is lost if
    /// `answer_lost` is set.
    pub(crate) fn work(
        &mut self,
        now: Instant,
        upstream_runs: &mut Vec<UpstreamRun>,
        run_time: Duration,
        answer_lost: bool,
    ) {
        let mut refused_runs = Vec::new();
        for (run_number, run) in &mut self.runs {
            let id = run.id.expect("a remembered key");
            match run.state {
                RunState::Waiting { since } if since < now => {
                    let until = self.owner.may_start_until(now, id, run.call.deadline);
                    if until.is_some_and(|until| now < until) {
                        let end = (now + run_time).min(run.call.deadline);
                        upstream_runs.push(UpstreamRun {
                            key: run.call.key,
                            call: run.call.id,
                            start: now,
                            end,
                        });
                        let run_index = upstream_runs.len() - 1;
                        run.state = RunState::Running {
                            run_index,
                            until: end,
                            answer_lost,
                        };
                    } else {
                        refused_runs.push(*run_number);
                    }
                }
                RunState::Running {
                    run_index,
                    until,
                    answer_lost,
                } if until <= now => {
                    run.state = RunState::Ended {
                        run_index,
                        answer_lost,
                    };
                    self.owner.run_ended(now, id);
                }
                _ => {}
            }
            if let RunState::Ended {
                run_index,
                answer_lost,
            } = run.state
            {
                let outcome = if answer_lost {
                    Outcome::Unknown
                } else {
                    Outcome::Completed(run_index)
                };
                let answers = run
                    .waiting_calls
                    .drain(..)
                    .map(|call| (call, Reply::Outcome(outcome)));
                self.answers.extend(answers);
            }
        }
        for run_number in refused_runs {
            let run = self.runs.remove(&run_number).expect("a waiting run");
            self.owner.forget_not_run(run.id.expect("a remembered key"));
            let answers = run
                .waiting_calls
                .into_iter()
                .map(|call| (call, Reply::Outcome(Outcome::NotRun)));
            self.answers.extend(answers);
        }
        for run_number in self.owner.expire(now) {
            self.runs.remove(&run_number);
        }
    }
}

fn keyed_call(call: &Call, run_without_log: bool) -> KeyedCall {
    let parts = FingerprintParts {
        method: "POST",
        path: "/",
        body: &call.key.to_le_bytes(),
    };
    KeyedCall {
        name: KeyName {
            organisation: OrganisationName::try_from("desk").expect("a name"),
            key: call.key.to_string().into(),
        },
        digest: digest(call.key),
        fingerprint: CallFingerprint::from(parts),
        claim: KeyClaim {
            epoch: call.epoch,
            run_without_log,
            recall: call.recall,
        },
    }
}
