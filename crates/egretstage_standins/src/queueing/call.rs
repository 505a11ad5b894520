//! A request on its way.

use super::workload::Request;
use egretstage_routing::InFlightCall;
use std::time::Instant;

/// Index of a call.
pub(crate) type CallId = usize;

/// Times that an entry sends a request at most.
const MAX_ATTEMPTS: u32 = 2;

/// Where a call was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentTo {
    pub(crate) upstream: usize,
    pub(crate) work: InFlightCall,
    /// Expected tokens of the answer.
    pub(crate) output_tokens: u32,
}

/// A request with what became of it.
#[derive(Debug)]
pub(crate) struct SimCall {
    pub(crate) req: Request,
    pub(crate) entry: usize,
    /// Time at which the caller asked last.
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Times that the caller has asked.
    pub(crate) asks: u32,
    /// Times that the entry has sent it.
    pub(crate) attempts: u32,
    /// Times that the entry may send it.
    pub(crate) max_attempts: u32,
    pub(crate) sent: Option<SentTo>,
    pub(crate) first_token: Option<Instant>,
    /// Whether a upstream has started it since the caller asked last.
    pub(crate) ran: bool,
    pub(crate) closed: bool,
}

impl SimCall {
    pub(crate) fn new(req: Request, entry: usize, now: Instant) -> Self {
        Self {
            deadline: now + req.budget,
            req,
            entry,
            arrived: now,
            asks: 1,
            attempts: 0,
            max_attempts: MAX_ATTEMPTS,
            sent: None,
            first_token: None,
            ran: false,
            closed: false,
        }
    }

    /// Notes that the caller asks again, with a new budget.
    pub(crate) fn ask_again(&mut self, now: Instant) {
        self.arrived = now;
        self.deadline = now + self.req.budget;
        self.asks += 1;
        self.max_attempts = self.attempts + MAX_ATTEMPTS;
        self.first_token = None;
        self.ran = false;
        self.closed = false;
    }
}
