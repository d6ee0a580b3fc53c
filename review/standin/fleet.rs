//! Daemons as separate processes, started with the settings of the deploy file's templates, and
//! the record of a run.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Longest run of a case.
const RUN_MAX: Duration = Duration::from_secs(110);

/// The processes that a case has started.
#[derive(Clone, Default)]
pub struct Processes {
    running: Arc<Mutex<Vec<(String, Child)>>>,
}

impl Processes {
    /// Kills the daemon on `host`, if it runs.
    pub fn kill(&self, host: &str) {
        let mut running = self.running.lock().unwrap();
        for (name, child) in running.iter_mut().filter(|(name, _)| name == host) {
            let _ = child.kill();
            let _ = child.wait();
            name.clear();
        }
    }

    pub fn kill_all(&self) {
        for (_, child) in self.running.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A run of a case: its folder, its processes and its record.
#[derive(Clone)]
pub struct Case {
    /// Whether the disruption happens.
    pub trouble: bool,
    pub processes: Processes,
    started: Instant,
    root: PathBuf,
    temporary: PathBuf,
    record: Arc<Mutex<File>>,
    /// Second and third byte of the loopback addresses of this run.
    network: (u8, u8),
}

impl Case {
    /// Begins the run of the case in the folder that is the first argument.
    pub fn start() -> Case {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let root = std::env::current_dir().expect("the repository");
        let number = std::process::id();
        let temporary = std::env::temp_dir().join(format!("kingcupbay-review-{number}"));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let record = File::create(folder.join("record.txt")).expect("the record");
        let case = Case {
            trouble: !std::env::var("TROUBLE").is_ok_and(|value| value == "0"),
            processes: Processes::default(),
            started: Instant::now(),
            root,
            temporary,
            record: Arc::new(Mutex::new(record)),
            network: (100 + (number >> 8 & 0x3f) as u8, (number & 0xff) as u8),
        };
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(RUN_MAX);
            watched.note("the run took too long");
            watched.end(NOT_RUN);
        });
        case
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:>7} ms  {line}", self.now());
    }

    /// Ends all processes and the run.
    pub fn end(&self, code: i32) -> ! {
        self.processes.kill_all();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => eprintln!("logs: {}", self.temporary.display()),
            Err(_) => drop(fs::remove_dir_all(&self.temporary)),
        }
        exit(code)
    }

    /// Returns the loopback address of the host with number `host`.
    pub fn ip(&self, host: u8) -> IpAddr {
        let (second, third) = self.network;
        Ipv4Addr::new(127, second, third, host).into()
    }

    /// Returns a port that is free at each of `hosts`.
    pub fn free_port(&self, hosts: &[u8]) -> u16 {
        loop {
            let any = TcpListener::bind((self.ip(hosts[0]), 0)).expect("a free port");
            let port = any.local_addr().expect("it is bound").port();
            let free = |host: &u8| TcpListener::bind((self.ip(*host), port)).is_ok();
            if hosts[1..].iter().all(free) {
                return port;
            }
        }
    }

    /// Starts a daemon with the template of its role, in which `fields` are filled in.
    pub fn start_daemon(&self, host: &str, template: &str, fields: &[(&str, String)]) {
        let mut text = fs::read_to_string(self.root.join(template)).expect("the template");
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        assert!(!text.contains("{{"), "a field is missing: {text}");
        let settings = self.temporary.join(format!("{host}.ini"));
        fs::write(&settings, text).expect("the settings");
        let log = self.temporary.join(format!("{host}.log"));
        let log = File::options().create(true).append(true).open(log).expect("the log");
        let child = Command::new(self.root.join("target/release/kingcupbayd"))
            .arg("--config")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            self.note("the daemon could not be started");
            self.end(NOT_RUN);
        };
        self.processes.running.lock().unwrap().push((host.to_owned(), child));
        self.note(&format!("{host} is started"));
    }

    /// Waits until the entry says at `ready` that it is ready.
    pub fn wait_until_ready(&self, ready: SocketAddr) {
        loop {
            let conn = crate::http::Conn::open(ready, Duration::from_secs(1));
            let answer =
                conn.and_then(|mut conn| conn.call("GET", "/ready", &[("Host", "x")], &[]));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return self.note("the entry is ready");
            }
            if self.now() > 20_000 {
                self.note("the entry is not ready");
                self.end(NOT_RUN);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}
