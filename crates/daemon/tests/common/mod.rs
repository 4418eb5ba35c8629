//! Runs the real `wrenthread` program on loopback for tests.
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
    pub max_joined: u32,
}

/// The body of the answer on the governor's HTTP port.
fn get(port: u16, path: &str) -> Option<String> {
    let agent: ureq::Agent = ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let response = agent.get(format!("http://127.0.0.1:{port}{path}")).call();
    response.ok()?.body_mut().read_to_string().ok()
}

impl Drop for Governor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Reserves a free port below the system's ephemeral range, so that no outgoing connection takes it while the governor
/// is down. A locked file reserves it for the life of this process, also against tests of other checkouts. Each process
/// starts searching at a different port.
pub fn reserve_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let candidate = || {
        let offset = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        15_100 + (offset % 17_000) as u16
    };
    std::iter::repeat_with(candidate).take(1000).find(|port| reserve(*port)).expect("a free port on loopback")
}

/// Reserves a port if it is free and not reserved by another test. The check binds without listening: a listener would
/// be mistaken for the governor by a client that waits for it at this port.
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

pub async fn wait_until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(began.elapsed() < Duration::from_secs(20), "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Governor {
    /// Starts a governor with four replicas in its roster.
    pub async fn start(name: &str, max_joined: u32) -> Governor {
        let folder = std::env::temp_dir().join(format!("wrenthread-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (grpc, http, poll) = (reserve_port(), reserve_port(), reserve_port());
        // A placeholder process, until the settings are written and the governor is started.
        let child = Command::new("true").spawn().unwrap();
        let mut governor = Governor { child, folder, grpc, http, poll, max_joined };
        governor.write_settings(16);
        governor.write_roster(4, &[]);
        governor.spawn().await;
        governor
    }

    pub fn write_settings(&self, proxies: u32) {
        let Governor { grpc, http, poll, max_joined, .. } = self;
        let script = format!(
            "fleet(zones = [\"north\"], proxies = {proxies}, joined_most = {max_joined})
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

    /// Starts a governor whose roster is another governor's table of a group.
    pub async fn downstream(name: &str, upstream: &Governor) -> Governor {
        let folder = std::env::temp_dir().join(format!("wrenthread-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (grpc, http, poll) = (reserve_port(), reserve_port(), reserve_port());
        let child = Command::new("true").spawn().unwrap();
        let mut governor = Governor { child, folder, grpc, http, poll, max_joined: 4 };
        governor.write_settings(16);
        let path = governor.folder.join("settings.star");
        let roster = format!("upstream = \"http://127.0.0.1:{}\", clusters = [\"match\"]", upstream.grpc);
        let script = std::fs::read_to_string(&path).unwrap().replace("file = \"roster.json\"", &roster);
        std::fs::write(&path, script).unwrap();
        governor.spawn().await;
        governor
    }

    /// Starts the governor process, and waits until it is ready.
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
        wait_until("ready", || {
            let status = child.try_wait().unwrap();
            assert!(status.is_none(), "the governor ended before it was ready: {status:?}");
            get(http, "/readyz").filter(|text| text == "ready\n")
        })
        .await;
    }

    pub fn write_roster_text(&self, text: &str) {
        std::fs::write(self.folder.join("new"), text).unwrap();
        std::fs::rename(self.folder.join("new"), self.folder.join("roster.json")).unwrap();
    }

    pub fn write_roster(&self, workers: usize, draining: &[usize]) {
        let replica = |n: usize| {
            let phase = if draining.contains(&n) { "draining" } else { "ready" };
            format!(r#"{{"id": "w{n}", "address": "10.0.0.{n}:80", "zone": "north", "phase": "{phase}"}}"#)
        };
        let list: Vec<String> = (0..workers).map(replica).collect();
        self.write_roster_text(&format!("{{\"replicas\": [\n{}\n]}}", list.join(",\n")));
    }

    pub fn get(&self, path: &str) -> Option<String> {
        get(self.http, path)
    }

    /// Excludes a replica as an operator would.
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

/// The bit of a signal in the masks of `/proc/PID/status`.
fn signal_bit(signal: u32) -> u64 {
    1 << (signal - 1)
}

/// Waits until a process has installed handlers for SIGHUP and SIGTERM.
pub fn until_signals_are_handled(child: &mut Child) {
    const SIGHUP: u32 = 1;
    const SIGTERM: u32 = 15;
    let expected = signal_bit(SIGHUP) | signal_bit(SIGTERM);
    let began = Instant::now();
    loop {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap();
        if u64::from_str_radix(caught.trim(), 16).unwrap() & expected == expected {
            return;
        }
        assert!(child.try_wait().unwrap().is_none(), "the process ended");
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "the process installed no signal handlers in time"
        );
        std::thread::yield_now();
    }
}

/// Replaces a file with a named pipe: reading it blocks until [`write_pipe`].
pub fn make_pipe(path: &Path) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// Writes a text to the pipe, for one reader.
pub fn write_pipe(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
}
