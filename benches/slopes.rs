//! What one more of each thing costs, in bytes and time.
fn main() {
    planner::print();
}
#[path = "slopes/planner.rs"]
mod planner;
