//! The real program on loopback, for tests that meet it from outside.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use socket2::{Domain, Socket, Type};

pub struct Governor {
    pub child: Child,
    pub folder: PathBuf,
    pub grpc: u16,
    pub http: u16,
    pub poll: u16,
    pub joined_most: u32,
}

/// What a governor answers on its HTTP port.
fn get(port: u16, path: &str) -> Option<String> {
    let agent: ureq::Agent = ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let answered = agent.get(format!("http://127.0.0.1:{port}{path}")).call();
    answered.ok()?.body_mut().read_to_string().ok()
}

impl Drop for Governor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A port below those that the system gives to outgoing connections: one of these must not sit on a governor's port while
/// the governor is down. It is this process's for as long as it runs, by a locked file: tests of other checkouts leave it
/// alone. Each process begins to look elsewhere.
pub fn port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port = || {
        let place = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        15_100 + (place % 17_000) as u16
    };
    std::iter::repeat_with(port).take(1000).find(|port| reserve(*port)).expect("a free port on loopback")
}

/// Whether the port is free, and no other test's. Looking does not listen there: whoever waits for a governor at this port
/// would take the look for it.
fn reserve(port: u16) -> bool {
    static RESERVED: Mutex<Vec<File>> = Mutex::new(Vec::new());
    let folder = std::env::temp_dir().join("wrenthread-test-ports");
    std::fs::create_dir_all(&folder).unwrap();
    let lock = File::options().create(true).append(true).open(folder.join(port.to_string())).unwrap();
    if lock.try_lock().is_err() {
        return false;
    }
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let is_free = socket.bind(&address.into()).is_ok();
    if is_free {
        RESERVED.lock().unwrap().push(lock);
    }
    is_free
}

pub async fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(began.elapsed() < Duration::from_secs(20), "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Governor {
    /// A governor with four workers on its list.
    pub async fn start(name: &str, joined_most: u32) -> Governor {
        let folder = std::env::temp_dir().join(format!("wrenthread-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (grpc, http, poll) = (port(), port(), port());
        // A program that ends at once stands in until the settings are there.
        let child = Command::new("true").spawn().unwrap();
        let mut governor = Governor { child, folder, grpc, http, poll, joined_most };
        governor.settings(16);
        governor.list(4, &[]);
        governor.spawn().await;
        governor
    }

    pub fn settings(&self, proxies: u32) {
        let Governor { grpc, http, poll, joined_most, .. } = self;
        let script = format!(
            "fleet(zones = [\"north\"], proxies = {proxies}, joined_most = {joined_most})
\
             roster(file = \"roster.json\", look_every = 0.02)
\
             listen(grpc = \"127.0.0.1:{grpc}\", http = \"127.0.0.1:{http}\", poll = \"127.0.0.1:{poll}\")
\
             for name in [\"match\", \"charge\"]:
    \
                 group(name, latency_budget = 1, expiry = 3, prefix = \"/\" + name)
"
        );
        std::fs::write(self.folder.join("settings.star"), script).unwrap();
    }

    /// A governor whose roster is another one's table of a group.
    pub async fn downstream(name: &str, of: &Governor) -> Governor {
        let folder = std::env::temp_dir().join(format!("wrenthread-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (grpc, http, poll) = (port(), port(), port());
        let child = Command::new("true").spawn().unwrap();
        let mut governor = Governor { child, folder, grpc, http, poll, joined_most: 4 };
        governor.settings(16);
        let path = governor.folder.join("settings.star");
        let upstream = format!("upstream = \"http://127.0.0.1:{}\", clusters = [\"match\"]", of.grpc);
        let script = std::fs::read_to_string(&path).unwrap().replace("file = \"roster.json\"", &upstream);
        std::fs::write(&path, script).unwrap();
        governor.spawn().await;
        governor
    }

    /// Starts it anew, and waits until it is ready.
    pub async fn spawn(&mut self) {
        let folder: &Path = &self.folder;
        let log = File::options().create(true).append(true).open(folder.join("log")).unwrap();
        self.child = Command::new(env!("CARGO_BIN_EXE_wrenthread"))
            .arg("run")
            .arg(folder.join("settings.star"))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let (child, http) = (&mut self.child, self.http);
        until("ready", || {
            let ended = child.try_wait().unwrap();
            assert!(ended.is_none(), "it ended before it was ready: {ended:?}");
            get(http, "/readyz").filter(|text| text == "ready\n")
        })
        .await;
    }

    pub fn roster(&self, text: &str) {
        std::fs::write(self.folder.join("new"), text).unwrap();
        std::fs::rename(self.folder.join("new"), self.folder.join("roster.json")).unwrap();
    }

    pub fn list(&self, workers: usize, draining: &[usize]) {
        let one = |n: usize| {
            let phase = if draining.contains(&n) { "draining" } else { "ready" };
            format!(r#"{{"id": "w{n}", "address": "10.0.0.{n}:80", "zone": "north", "phase": "{phase}"}}"#)
        };
        let list: Vec<String> = (0..workers).map(one).collect();
        self.roster(&format!("{{\"replicas\": [\n{}\n]}}", list.join(",\n")));
    }

    pub fn get(&self, path: &str) -> Option<String> {
        get(self.http, path)
    }

    /// Has an operator exclude a replica.
    pub fn exclude(&self, replica: &str, reason: &str) {
        let at = format!("127.0.0.1:{}", self.http);
        let mut program = Command::new(env!("CARGO_BIN_EXE_wrenthread"));
        program.args(["exclude", replica, "--why", reason, "--at", &at]).stdout(Stdio::null());
        assert!(program.status().unwrap().success());
    }

    pub fn status(&self) -> Value {
        serde_json::from_str(&self.get("/status").unwrap()).unwrap()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }
}

/// The bit of a signal in the masks that the system states of a process.
fn signal_bit(signal: u32) -> u64 {
    1 << (signal - 1)
}

/// Waits until a process handles SIGHUP and SIGTERM itself.
pub fn until_signals_are_handled(child: &mut Child) {
    const SIGHUP: u32 = 1;
    const SIGTERM: u32 = 15;
    let wanted = signal_bit(SIGHUP) | signal_bit(SIGTERM);
    let began = Instant::now();
    loop {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap();
        if u64::from_str_radix(caught.trim(), 16).unwrap() & wanted == wanted {
            return;
        }
        assert!(child.try_wait().unwrap().is_none(), "it ended");
        assert!(began.elapsed() < Duration::from_secs(10), "signals still have the system's own effect");
        std::thread::yield_now();
    }
}

/// Puts a pipe in a file's place: whoever reads the file waits for [`write_pipe`].
pub fn make_pipe(path: &Path) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// Hands a text to whoever reads the pipe, once.
pub fn write_pipe(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
}
