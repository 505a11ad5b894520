//! The border between an entry and its policy.

use crate::{Candidate, Choice, Demand};

/// Chooses one of the candidates, or refuses.
pub trait RoutingPolicy: Send {
    /// Decides on one request.
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Choice;
}
