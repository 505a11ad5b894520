//! Lets all ranks of a group use one expert map in every step.
