//! Runs the real program for benchmarks, with a roster of 24 replicas in three zones.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const ZONES: [&str; 3] = ["north", "south", "east"];
pub const GROUPS: [&str; 3] = ["match", "count", "charge"];
pub const REPLICAS: usize = 24;

pub struct Governor {
    pub child: Child,
    pub folder: std::path::PathBuf,
    pub uri: String,
    pub poll: String,
    pub http: u16,
}

impl Drop for Governor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn roster(folder: &Path, draining: Option<usize>) {
    let entry = |n: usize| {
        let phase = if draining == Some(n) { "draining" } else { "ready" };
        let zone = ZONES[n % 3];
        format!(r#"{{"id": "r{n:02}", "address": "10.0.0.{n}:80", "zone": "{zone}", "phase": "{phase}"}}"#)
    };
    let list: Vec<String> = (0..REPLICAS).map(entry).collect();
    std::fs::write(folder.join("new"), format!("{{\"replicas\": [{}]}}", list.join(",\n"))).unwrap();
    std::fs::rename(folder.join("new"), folder.join("roster.json")).unwrap();
}

impl Governor {
    pub async fn start(relays: usize) -> Governor {
        Governor::start_with(relays, "alone", "").await
    }

    /// Starts a governor with additional settings; `tag` distinguishes the governors of a run.
    pub async fn start_with(relays: usize, tag: &str, more: &str) -> Governor {
        let folder =
            std::env::temp_dir().join(format!("wrenthread-bench-{}-{relays}-{tag}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let port = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let (grpc, http, poll) = (port(), port(), port());
        let script = format!(
            "fleet(zones = {ZONES:?}, proxies = {relays})\n\
             roster(file = \"roster.json\", look_every = 0.02)\n\
             listen(grpc = \"127.0.0.1:{grpc}\", http = \"127.0.0.1:{http}\", poll = \"127.0.0.1:{poll}\")\n\
             channel(lines_per_s = 200000, waiting_most = 400000)\nreplicas(warm_after = 0.5)\n\
             for name in {GROUPS:?}:\n    \
                 group(name, latency_budget = 1, expiry = 3, prefix = \"/\" + name)\n{more}\n"
        );
        std::fs::write(folder.join("settings.star"), script).unwrap();
        roster(&folder, None);
        let (uri, poll) = (format!("http://127.0.0.1:{grpc}"), format!("http://127.0.0.1:{poll}"));
        let child = Command::new("true").spawn().unwrap();
        let mut governor = Governor { child, folder, uri, poll, http };
        governor.spawn().await;
        governor
    }

    /// Starts the process, and waits until it accepts connections.
    pub async fn spawn(&mut self) {
        self.child = Command::new(env!("CARGO_BIN_EXE_wrenthread"))
            .arg("run")
            .arg(self.folder.join("settings.star"))
            .env("RUST_LOG", "warn")
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        while tokio::net::TcpStream::connect(self.uri.trim_start_matches("http://")).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    /// CPU seconds used so far, and resident memory in MiB.
    pub fn resource_usage(&self) -> (f64, f64) {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap();
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        // Fields 14 and 15 of the line: user and system time in ticks of a hundredth of a second.
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        let status = read("status");
        let resident = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        let kib: f64 = resident.split_whitespace().nth(1).unwrap().parse().unwrap();
        (ticks / 100.0, kib / 1024.0)
    }
}
