//! Runs what may not be repeated at most once.
