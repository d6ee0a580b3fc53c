//! Request rates that upstreams announce in their answers.
//!
//! An upstream in need names the requests per second that it takes from all daemons
//! together. A [`LimitRecord`] is what one daemon knows of that, from an answer or from
//! another daemon.

mod record;

pub use record::LimitRecord;
