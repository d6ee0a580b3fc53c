//! Whether this daemon may act on what it knows.
