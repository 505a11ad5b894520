//! Orders calls by the operator's priorities.
//!
//! Load pattern: calls of several routes, from organisations with priorities of their
//! own, wait for the same upstreams. The organisations' priorities order the calls first.
//! If they replaced the routes' priorities, the routes of one organisation would have no
//! order, and its most urgent calls would wait behind its least urgent ones.

/// Urgency of a call; the smallest is the most urgent.
///
/// The priority of an organisation takes precedence over that of the route, which orders
/// the calls within it.
///
/// ```
/// # use egretstage_dispatch::Urgency;
/// assert!(Urgency::new(Some(0), 9) < Urgency::new(None, 1));
/// assert!(Urgency::new(Some(1), 0) < Urgency::new(Some(1), 2));
/// assert!(Urgency::new(Some(1), 0) < Urgency::new(None, 1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the organisation, or of the route if the organisation has none.
    first: u8,
    /// Priority of the route.
    route: u8,
}

impl Urgency {
    /// Creates the urgency of a call from the priorities of its organisation, if that
    /// has one, and of its route; 0 is the most urgent.
    #[must_use]
    pub fn new(organisation: Option<u8>, route: u8) -> Self {
        Self {
            first: organisation.unwrap_or(route),
            route,
        }
    }
}
