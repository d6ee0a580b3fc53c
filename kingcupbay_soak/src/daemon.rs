//! A daemon run as a separate process.

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

/// Program of the daemons and folder of their settings and logs.
#[derive(Clone, Debug)]
pub struct DaemonFiles {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Folder for the settings and logs of this run.
    pub folder: PathBuf,
}

/// A daemon and its process, which is killed on drop. Methods that return an
/// error fail when a file cannot be written or the process not be controlled.
pub struct Daemon {
    host: String,
    files: DaemonFiles,
    settings: PathBuf,
    process: Option<Process>,
    /// Number of starts.
    incarnation: u32,
    paused: bool,
}

struct Process {
    child: Child,
    /// Receives the log line with its listening addresses.
    listens: Receiver<String>,
    /// Addresses of that line, by name; empty until it has been received.
    listening: BTreeMap<String, SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls only concern the child of this handle; they fail harmlessly
        // if it has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Writes the `settings` of a daemon, which is not started yet.
    pub fn new(files: &DaemonFiles, host: &str, settings: &str) -> io::Result<Daemon> {
        fs::create_dir_all(&files.folder)?;
        let path = files.folder.join(format!("{host}.ini"));
        fs::write(&path, settings)?;
        Ok(Daemon {
            host: host.to_owned(),
            files: files.clone(),
            settings: path,
            process: None,
            incarnation: 0,
            paused: false,
        })
    }

    /// Name of its host.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Id of its process, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.process.as_ref().map(|process| process.child.id())
    }

    /// Number of starts so far.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Listening address called `name`, once the daemon has logged it.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.process.as_ref()?.listening.get(name).copied()
    }

    /// Starts a process; it listens some milliseconds later.
    pub fn start(&mut self) -> io::Result<()> {
        self.incarnation += 1;
        let log = format!("{}-{}.log", self.host, self.incarnation);
        let log = File::create(self.files.folder.join(log))?;
        let mut child = Command::new(&self.files.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let listens = copy_log(&mut child, log);
        self.process = Some(Process { child, listens, listening: BTreeMap::new() });
        Ok(())
    }

    /// Whether it already listens.
    pub fn listens(&mut self) -> bool {
        let Some(process) = &mut self.process else { return false };
        if let Ok(line) = process.listens.try_recv() {
            process.listening = addresses(&line);
        }
        !process.listening.is_empty()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
        self.paused = false;
    }

    /// Suspends the process until [`Daemon::resume`].
    pub fn pause(&mut self) -> io::Result<()> {
        self.paused = true;
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process.
    pub fn resume(&mut self) -> io::Result<()> {
        if !std::mem::take(&mut self.paused) {
            return Ok(());
        }
        self.signal(Signal::CONT)
    }

    /// Asks the daemon to reload its settings.
    pub fn reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Asks the daemon for a graceful stop.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Whether the process has ended; if so, its handle is dropped.
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

/// Copies the child's output to `log`; the receiver gets the line with the
/// listening addresses.
fn copy_log(child: &mut Child, mut log: File) -> Receiver<String> {
    let (sender, receiver) = channel();
    let Some(output) = child.stdout.take() else { return receiver };
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if line.contains("event=listening") {
                // The receiver is gone if the daemon has been killed meanwhile.
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

/// Path of the daemon's program, in the same folder as this one.
pub fn daemon_program(own: &Path) -> PathBuf {
    own.with_file_name("kingcupbayd")
}
