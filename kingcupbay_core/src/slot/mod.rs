//! Adapter slots of one engine: pins, loads, eviction.
