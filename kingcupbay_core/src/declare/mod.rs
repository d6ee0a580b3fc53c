//! Declarations of operators and the changes that apply them.
//!
//! Operators keep INI files in version control. [`read()`] turns them into one
//! [`Declaration`], or reports every mistake at once; [`plan()`] lists the
//! changes that bring a configuration to the declared state; [`export`] writes
//! a configuration as such a file.
//!
//! A declaration is complete for organisations, adapters, versions, upstreams
//! and routes: rows that are not declared are removed. Keys are normally issued
//! and withdrawn by command, so they are managed by the files only if the files
//! declare at least one. Members join and leave on their own and are never
//! changed by a plan.

mod fields;
pub mod model;
pub mod plan;
pub mod read;
pub mod text;

pub use self::{model::Declaration, plan::plan, read::read};
use crate::config::model::Config;

/// Writes `config` as the text of a declaration file. Planning that
/// declaration against `config` yields no change.
pub fn export(config: &Config) -> String {
    text::write(&Declaration::of(config))
}
