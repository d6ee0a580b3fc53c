//! The project's daemons as separate processes, with settings rendered from the templates of the
//! deploy file.

use std::{
    collections::BTreeMap,
    fs,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::standin::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
}

/// Number of open descriptors, as `setrlimit` names it.
const RLIMIT_NOFILE: i32 = 7;

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Returns the loopback address of host `number`.
pub fn ip(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 44, 0, number).into()
}

/// Returns a port that is free on the addresses of all of `hosts`.
pub fn free_port(hosts: &[u8]) -> u16 {
    for _ in 0..100 {
        let first = TcpListener::bind(SocketAddr::new(ip(hosts[0]), 0)).expect("a port is free");
        let port = first.local_addr().expect("it is bound").port();
        let others = &hosts[1..];
        if others.iter().all(|&host| TcpListener::bind(SocketAddr::new(ip(host), port)).is_ok()) {
            return port;
        }
    }
    panic!("no port is free");
}

/// A daemon's process, killed on drop.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    descriptors: Option<u64>,
}

impl Daemon {
    /// Starts the program of the deploy file with `template` filled in.
    pub fn start(dir: &str, name: &str, template: &str, fields: &[(&str, String)]) -> Daemon {
        let fields: BTreeMap<&str, &String> = fields.iter().map(|(key, value)| (*key, value)).collect();
        let mut text = fs::read_to_string(template).expect("the template is there");
        while let Some(from) = text.find("{{") {
            let to = from + text[from..].find("}}").expect("a placeholder ends");
            let value = fields.get(&text[from + 2..to]).map_or("", |value| value.as_str());
            text = format!("{}{value}{}", &text[..from], &text[to + 2..]);
        }
        let settings = PathBuf::from(format!("{dir}/{name}.toml"));
        let log = PathBuf::from(format!("{dir}/{name}.log"));
        fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(&settings, &log, None);
        Daemon { child, settings, log, descriptors: None }
    }

    /// Starts the process again with the `maxFds` of its machine, as the platform enforces them.
    pub fn restart_with(&mut self, descriptors: u64) {
        self.descriptors = Some(descriptors);
        self.restart();
    }

    /// Returns the number of descriptors that are open.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log, self.descriptors);
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf, descriptors: Option<u64>) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("the log opens");
    let errors = log.try_clone().expect("the log opens twice");
    let mut command = Command::new("target/release/kingcupbayd");
    if let Some(count) = descriptors {
        let limit = move || match unsafe { setrlimit(RLIMIT_NOFILE, &[count, count]) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        // It only makes a system call between fork and exec.
        unsafe { command.pre_exec(limit) };
    }
    command
        .arg("--config")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon starts")
}

/// Waits until `ready` answers 200.
pub fn wait_ready(ready: SocketAddr, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        let asked = || -> io::Result<bool> {
            let mut conn = http::connect(ready, Duration::from_secs(1))?;
            conn.send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(conn.head()?.is_some_and(|head| head.first.contains(" 200 ")))
        };
        if asked().unwrap_or(false) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
