//! The interface between an entry and its routing policy.

use crate::{Candidate, Choice, Demand};

/// Chooses a candidate for each request, or refuses the request.
pub trait RoutingPolicy: Send {
    /// Decides on one request.
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Choice;
}
