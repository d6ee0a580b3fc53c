//! Request rates that upstreams announce in their answers.
//!
//! An upstream in need names the requests per second that it takes from all daemons
//! together. A [`LimitRecord`] is what one daemon knows of that, from an answer or from
//! another daemon. Where one daemon grants all requests to an upstream, [`LimitGate`] keeps
//! the rate, and otherwise [`LimitShares`] divides it among the entries. Both pace the
//! requests evenly.

mod gate;
mod pace;
mod record;
mod shares;

pub use gate::{LimitGate, LimitSource};
pub use record::LimitRecord;
pub use shares::LimitShares;
