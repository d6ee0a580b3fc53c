//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes one line and returns its time in seconds.
    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        writeln!(file, "{now:8.3} {}", text.as_ref()).expect("the record can be written");
        now
    }
}
