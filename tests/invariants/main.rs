//! What must always hold, under failure, with real processes.
//!
//! One module for each point; each compares what the stand-ins really ran
//! with what callers were told.
