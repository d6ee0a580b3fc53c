//! Settings of a daemon, read from one INI file and checked at start.
//!
//! Each section has a module with its struct and defaults. [`reader`] turns
//! entries into typed values and collects every mistake, so that one start
//! reports all of them.

use std::path::Path;

use kingcupbay_core::{config::model::Role, ini, ini::Mistake};

mod callers;
mod daemon;
mod listener;
mod platform;
mod reader;
mod registry;
mod tuning;

pub use callers::Callers;
pub use daemon::Daemon;
pub use listener::Listener;
pub use platform::Platform;
pub use registry::Registry;
pub use tuning::Tuning;

use reader::Reader;

/// All settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host, availability zone and role of this daemon.
    pub daemon: Daemon,
    /// Where callers connect; entries only.
    pub callers: Option<Callers>,
    /// Where other daemons connect.
    pub peers: Listener,
    /// Where operators and probes connect.
    pub operators: Listener,
    /// Where the configuration is stored.
    pub config_source: ConfigSource,
    /// Timeouts and bounds that seldom need a change.
    pub tuning: Tuning,
}

/// Where the configuration is stored, and who changes it.
#[derive(Clone, Debug)]
pub enum ConfigSource {
    /// In the table, as patches that operators send to the daemons.
    Patches(Platform),
    /// In the platform's store, where the operator writes it as a whole.
    Registry(Registry),
}

impl Settings {
    /// Reads and checks the file at `path`. Fails with all mistakes, or with one
    /// if the file cannot be read.
    pub fn load(path: &Path) -> Result<Settings, Vec<Mistake>> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(error) => Err(vec![Mistake {
                file,
                line: 0,
                section: String::new(),
                key: String::new(),
                found: error.to_string(),
                allowed: "a readable file".to_owned(),
            }]),
        }
    }

    /// Checks `text`, the content of `file`. Fails with all mistakes.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Mistake>> {
        let sections = ini::parse(file, text)?;
        let mut reader = Reader::new(file, sections);
        let daemon = Daemon::read(&mut reader);
        let entry = daemon.role == Role::Entry;
        let callers = entry.then(|| Callers::read(&mut reader));
        let config_source = match reader.has_section("registry") {
            true => ConfigSource::Registry(Registry::read(&mut reader, daemon.role)),
            false => ConfigSource::Patches(Platform::read(&mut reader)),
        };
        let settings = Settings {
            daemon,
            callers,
            peers: Listener::read(&mut reader, "peers"),
            operators: Listener::read(&mut reader, "operators"),
            config_source,
            tuning: Tuning::read(&mut reader),
        };
        reader.finish()?;
        Ok(settings)
    }
}
