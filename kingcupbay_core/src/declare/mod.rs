//! Declarations of operators, and the changes that carry them out.
//!
//! Operators keep INI files in version control. [`read()`] turns them into one
//! [`Declaration`], or into every mistake at once; [`plan()`] lists the
//! changes that make a configuration what is declared; [`export`] writes a
//! configuration as such a file.
//!
//! The declaration is the whole truth for organisations, adapters, versions,
//! upstreams and routes: what is not declared is removed. Keys are issued and
//! withdrawn by command, so the files own them only if they declare at least
//! one. Members come and go by themselves and are never touched.

mod fields;
pub mod model;
pub mod plan;
pub mod read;
pub mod text;

pub use self::{model::Declaration, plan::plan, read::read};
use crate::config::model::Config;

/// `config` as a declaration; planning it against `config` changes nothing.
pub fn export(config: &Config) -> String {
    text::write(&Declaration::of(config))
}
