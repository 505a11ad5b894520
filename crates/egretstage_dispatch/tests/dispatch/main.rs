//! Decisions on calls, in virtual time.

mod admission;
mod at_most_once;
mod broken_groups;
mod notices;
mod peers;
mod standing;
mod support;
mod under_load;
