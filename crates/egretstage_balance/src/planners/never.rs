//! Baseline that keeps the active map.

use crate::{Plan, PlanContext, Planner};

/// Keeps the active map with its shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct NeverMove;

impl Planner for NeverMove {
    fn plan(&mut self, cx: &PlanContext<'_>) -> Plan {
        Plan::without_moves(cx.map.clone())
    }
}
