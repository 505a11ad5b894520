//! State of one call.

use super::workload::Request;
use egretstage_routing::InFlightCall;
use std::time::Instant;

/// Index of a call in the simulation.
pub(crate) type CallId = usize;

/// Maximum number of sends of a request by the entry, per attempt of the caller.
const MAX_ATTEMPTS: u32 = 2;

/// The send of a call that is in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentTo {
    pub(crate) upstream: usize,
    pub(crate) in_flight: InFlightCall,
    /// Expected number of output tokens.
    pub(crate) output_tokens: u32,
}

/// A request and its state.
#[derive(Debug)]
pub(crate) struct SimCall {
    pub(crate) req: Request,
    pub(crate) entry: usize,
    /// Time of the caller's latest attempt.
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Number of attempts of the caller.
    pub(crate) caller_attempts: u32,
    /// Number of sends by the entry.
    pub(crate) attempts: u32,
    /// Number of sends that the entry may make.
    pub(crate) max_attempts: u32,
    pub(crate) sent: Option<SentTo>,
    pub(crate) first_token: Option<Instant>,
    /// Whether an upstream has started it since the caller's latest attempt.
    pub(crate) has_run: bool,
    /// Whether the caller has received the outcome of its latest attempt.
    pub(crate) closed: bool,
}

impl SimCall {
    pub(crate) fn new(req: Request, entry: usize, now: Instant) -> Self {
        Self {
            deadline: now + req.budget,
            req,
            entry,
            arrived: now,
            caller_attempts: 1,
            attempts: 0,
            max_attempts: MAX_ATTEMPTS,
            sent: None,
            first_token: None,
            has_run: false,
            closed: false,
        }
    }

    /// Starts another attempt of the caller, with a new budget.
    pub(crate) fn retry(&mut self, now: Instant) {
        self.arrived = now;
        self.deadline = now + self.req.budget;
        self.caller_attempts += 1;
        self.max_attempts = self.attempts + MAX_ATTEMPTS;
        self.first_token = None;
        self.has_run = false;
        self.closed = false;
    }
}
