//! The platform's object store: `PUT /objects/KEY`, `GET /objects/KEY`.
//!
//! Bodies are plain bytes; a missing object answers 404.

/// Path prefix of every object.
pub const PATH: &str = "/objects/";
