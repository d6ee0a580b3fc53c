//! A daemon as a process of its own.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
};

use rustix::process::{Pid, Signal, kill_process};

/// Where daemons come from and leave their logs.
#[derive(Clone, Debug)]
pub struct Workshop {
    /// The daemon's program.
    pub program: PathBuf,
    /// Settings and logs of this run.
    pub folder: PathBuf,
}

/// A daemon and the process that it runs in; killed when dropped.
pub struct Daemon {
    host: String,
    workshop: Workshop,
    settings: PathBuf,
    process: Option<Process>,
    /// How often it was started.
    incarnation: u32,
    paused: bool,
}

struct Process {
    child: Child,
    /// Its line about listening, once it is there.
    listens: Receiver<String>,
    /// Addresses of that line, by name; empty until it is there.
    listening: BTreeMap<String, SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Only ever the child of this very handle; one that has ended already
        // makes both fail, which changes nothing.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// A daemon with `settings` that does not run yet.
    pub fn new(workshop: &Workshop, host: &str, settings: &str) -> io::Result<Daemon> {
        fs::create_dir_all(&workshop.folder)?;
        let path = workshop.folder.join(format!("{host}.ini"));
        fs::write(&path, settings)?;
        Ok(Daemon {
            host: host.to_owned(),
            workshop: workshop.clone(),
            settings: path,
            process: None,
            incarnation: 0,
            paused: false,
        })
    }

    /// Its host.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// How often it was started.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// An address from its line about listening.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.process.as_ref()?.listening.get(name).copied()
    }

    /// Starts a process; it listens some milliseconds later.
    pub fn start(&mut self) -> io::Result<()> {
        self.incarnation += 1;
        let log = format!("{}-{}.log", self.host, self.incarnation);
        let log = File::create(self.workshop.folder.join(log))?;
        let mut child = Command::new(&self.workshop.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let listens = keep_lines(&mut child, log);
        self.process = Some(Process { child, listens, listening: BTreeMap::new() });
        Ok(())
    }

    /// Whether it listens by now.
    pub fn listens(&mut self) -> bool {
        let Some(process) = &mut self.process else { return false };
        if let Ok(line) = process.listens.try_recv() {
            process.listening = addresses(&line);
        }
        !process.listening.is_empty()
    }

    /// Ends it without warning.
    pub fn kill(&mut self) {
        self.process = None;
        self.paused = false;
    }

    /// Stops the process where it is, until [`Daemon::resume`].
    pub fn pause(&mut self) -> io::Result<()> {
        self.paused = true;
        self.signal(Signal::STOP)
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self) -> io::Result<()> {
        if !std::mem::take(&mut self.paused) {
            return Ok(());
        }
        self.signal(Signal::CONT)
    }

    /// Tells it that its settings may have changed.
    pub fn reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Asks it to stop as planned.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Whether the process has ended by itself; it is forgotten then.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        let Some(process) = &mut self.process else { return Ok(true) };
        let ended = process.child.try_wait()?.is_some();
        if ended {
            self.process = None;
        }
        Ok(ended)
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(process) = &self.process else { return Ok(()) };
        let id = i32::try_from(process.child.id()).map_err(io::Error::other)?;
        let id = Pid::from_raw(id).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(id, signal)?)
    }
}

/// Copies the child's lines to `log`; the receiver gets the one on listening.
fn keep_lines(child: &mut Child, mut log: File) -> Receiver<String> {
    let (sender, receiver) = channel();
    let Some(output) = child.stdout.take() else { return receiver };
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if line.contains("event=listening") {
                // Nobody waits any more for a daemon that was given up.
                let _ = sender.send(line.clone());
            }
            if writeln!(log, "{line}").is_err() {
                break;
            }
        }
    });
    receiver
}

fn addresses(line: &str) -> BTreeMap<String, SocketAddr> {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_owned(), value.trim_matches('"').parse().ok()?)))
        .collect()
}

/// The daemon's program beside this one.
pub fn beside(own: &Path) -> PathBuf {
    own.with_file_name("kingcupbayd")
}
