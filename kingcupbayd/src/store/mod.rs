//! Clients of the platform's services.

pub(crate) mod object;
pub(crate) mod table;
