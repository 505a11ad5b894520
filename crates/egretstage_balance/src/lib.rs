//! Plans where the experts of a model group run.
