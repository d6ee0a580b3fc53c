//! Calls that run at most once.
