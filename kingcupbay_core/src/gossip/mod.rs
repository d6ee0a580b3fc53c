//! What daemons tell each other: vouches, numbers, loads, residency.
