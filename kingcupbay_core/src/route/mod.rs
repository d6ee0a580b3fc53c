//! Which upstream takes a request.
