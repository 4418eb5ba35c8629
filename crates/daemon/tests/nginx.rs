//! `wrenthread import nginx` and `wrenthread export nginx`, with a fake nginx that reads the generated file.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use common::{Governor, reserve_port, wait_until};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use wrenthread_client::poll::Session;
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{NoObserver, ProxyIdentity};
use wrenthread_nginx::blocks;

fn wrenthread(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_wrenthread")).args(arguments).output().unwrap();
    (output.status.code(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

/// nginx's smooth weighted round robin, as documented: of as many requests as the sum of the weights, each server
/// receives its weight, interleaved with the others.
fn smooth_weighted_round_robin(weights: &[(String, f64)], requests: usize) -> BTreeMap<String, usize> {
    let (mut credits, total) =
        (vec![0.0; weights.len()], weights.iter().map(|(_, weight)| weight).sum::<f64>());
    let mut counts = BTreeMap::new();
    for _ in 0..requests {
        credits.iter_mut().zip(weights).for_each(|(credit, (_, weight))| *credit += weight);
        let next = (0..credits.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b])).unwrap();
        credits[next] -= total;
        *counts.entry(weights[next].0.clone()).or_default() += 1;
    }
    counts
}

#[tokio::test]
async fn an_imported_fleet_distributes_requests_like_nginx() {
    let folder = std::env::temp_dir().join(format!("wrenthread-test-{}-import", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let conf = folder.join("nginx.conf");
    std::fs::write(
        &conf,
        "upstream gates { server 10.0.0.1:80 weight=5; server 10.0.0.2:80; server 10.0.0.3:80 weight=3;\n\
         server 10.0.0.4:80 down; server 10.0.0.5:80 backup; }\n\
         server { location /entry { proxy_pass http://gates; proxy_read_timeout 2s; } sticky on; }\n",
    )
    .unwrap();
    let (grpc, http, poll) = (reserve_port(), reserve_port(), reserve_port());
    let (file, output, ports) =
        (conf.to_str().unwrap(), folder.to_str().unwrap(), format!("{grpc},{http},{poll}"));
    let import =
        |arguments: &[&str]| wrenthread(&[&["import", "nginx", file, "--ports", &ports], arguments].concat());
    let (code, text) = import(&["--output", output]);
    assert!(code == Some(0) && text.contains("upstream gates") && text.contains("backup"), "{text}");
    assert!(text.contains("NOT CARRIED OVER"), "{text}");
    assert_eq!(import(&["--strict"]).0, Some(3));
    assert_eq!(import(&["--diff", output]), (Some(0), "nothing differs\n".to_string()));
    let report: serde_json::Value = serde_json::from_str(&import(&["--report", "json"]).1).unwrap();
    assert_eq!((&report["losses"], &report["fleets"][0]["name"]), (&1.into(), &"gates".into()));
    let mut governor = Governor {
        child: Command::new("true").spawn().unwrap(),
        folder: folder.join("gates"),
        grpc,
        http,
        poll,
        max_joined: 4,
    };
    let checked = governor.folder.join("settings.star");
    assert_eq!(wrenthread(&["check", checked.to_str().unwrap()]).0, Some(0));
    governor.spawn().await;
    let (code, text) = import(&["--diff", &format!("127.0.0.1:{http}")]);
    assert_eq!(
        (code, text.as_str()),
        (Some(0), "nothing differs\n"),
        "`down` servers and backups are not listed by the governor"
    );
    std::fs::write(&conf, std::fs::read_to_string(&conf).unwrap().replace("weight=5", "weight=4")).unwrap();
    let (code, text) = import(&["--diff", &format!("127.0.0.1:{http}")]);
    assert!(code == Some(3) && text.contains("10.0.0.1:80  weight"), "{text}");

    let cache = Rc::new(RefCell::new(TableCache::new(vec!["entry".into()], vec![], None)));
    let identity = ProxyIdentity { name: "relay".into(), zone: "all".into(), requests_per_second: 1.0 };
    let session = Session::join(&format!("http://127.0.0.1:{poll}"), &identity, &cache).await.unwrap();
    while cache.borrow().updated_tables().get("entry").is_none_or(|(lines, _)| lines.len() != 3) {
        session.poll(&cache, &NoObserver).await.unwrap();
    }
    let weights = [("10.0.0.1:80", 5.0), ("10.0.0.2:80", 1.0), ("10.0.0.3:80", 3.0)];
    let weights = weights.map(|(address, weight)| (address.to_string(), weight));
    let requests = 9 * 2000;
    let reference = smooth_weighted_round_robin(&weights, requests);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut random = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..requests {
        let address = cache.borrow_mut().pick(Duration::ZERO, 0, (0.0, random()), None).unwrap();
        *counts.entry(address.to_string()).or_default() += 1;
    }
    for (address, expected) in reference {
        let fraction = expected as f64 / requests as f64;
        // Four standard deviations: the proxies pick at random, and nginx in turn.
        let bound = 4.0 * (fraction * (1.0 - fraction) / requests as f64).sqrt();
        let measured = counts[&address] as f64 / requests as f64;
        assert!((measured - fraction).abs() < bound, "{address}: {measured} of {fraction}");
    }
}

/// A fake nginx: loads the file on reload, distributes requests by it, and writes an access log.
struct Nginx {
    folder: PathBuf,
    rng: ChaCha8Rng,
}

impl Nginx {
    fn new(folder: &Path) -> Self {
        // The reload command; it fails while the file `refuse` exists.
        let script = format!(
            "#!/bin/sh\ncd '{}'\nif [ -e refuse ]; then echo 'no such host in upstream' >&2; exit 1; fi\n\
             cp wrenthread.conf loaded.new && mv loaded.new loaded.conf\n",
            folder.display()
        );
        std::fs::write(folder.join("reload.sh"), script).unwrap();
        std::fs::write(folder.join("access.log"), "match|10.0.0.0:80|502|0.001\nhalf a li").unwrap();
        Nginx { folder: folder.to_path_buf(), rng: ChaCha8Rng::seed_from_u64(3) }
    }

    fn loaded_upstreams(&self) -> blocks::ParsedUpstreams {
        let text = std::fs::read_to_string(self.folder.join("loaded.conf")).unwrap_or_default();
        blocks::read(&text).unwrap()
    }

    fn servers(&self) -> Vec<String> {
        let upstreams = self.loaded_upstreams();
        upstreams
            .get(&blocks::upstream_name("match"))
            .map_or(vec![], |(lines, _)| lines.iter().map(|line| line.0.clone()).collect())
    }

    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Logs this many requests; those sent to the address `failing` fail.
    fn log_requests(&mut self, requests: usize, failing: &str) {
        let upstreams = self.loaded_upstreams();
        let (lines, rejected_fraction) = upstreams[&blocks::upstream_name("match")].clone();
        let total: f64 = lines.iter().map(|(_, weight)| weight).sum();
        let mut text = String::new();
        for _ in 0..requests {
            if self.random() < rejected_fraction {
                text += "match|-|-|-\n";
                continue;
            }
            let mut rest = self.random() * total;
            let line = lines.iter().find(|(_, weight)| {
                rest -= weight;
                rest < 0.0
            });
            let address = &line.or(lines.last()).unwrap().0;
            let _ = match address == failing {
                true => writeln!(text, "match|{address}|502|0.001"),
                false => writeln!(text, "match|{address}|200|0.020"),
            };
        }
        let mut log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("access.log")).unwrap();
        log.write_all(text.as_bytes()).unwrap();
    }
}

struct Agent(Child);

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn nginx_follows_the_exported_file_and_its_access_log_is_reported() {
    let mut governor = Governor::start("export", 4).await;
    let folder = governor.folder.clone();
    let mut nginx = Nginx::new(&folder);
    let settings = folder.join("settings.star");
    let script = std::fs::read_to_string(&settings).unwrap();
    let reload = folder.join("reload.sh");
    std::fs::write(
        &settings,
        format!(
            "{script}reports(every = 0.2)\n\
             nginx(reload = [\"sh\", {reload:?}], every = 0.4, drains_every = 0.1, \
             access_log = \"access.log\")\n"
        ),
    )
    .unwrap();
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
    governor.spawn().await;
    let log = std::fs::File::create(folder.join("agent.log")).unwrap();
    let mut agent = Agent(
        Command::new(env!("CARGO_BIN_EXE_wrenthread"))
            .args(["export", "nginx", settings.to_str().unwrap(), "--name", "nginx-1"])
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .unwrap(),
    );
    wait_until("four servers", || (nginx.servers().len() == 4).then_some(())).await;
    assert_eq!(nginx.loaded_upstreams()[&blocks::upstream_name("charge")].0.len(), 4);
    let (code, printed) = wrenthread(&["export", "nginx", settings.to_str().unwrap(), "--print", "nginx-1"]);
    assert!(code == Some(0) && blocks::read(&printed).unwrap() == nginx.loaded_upstreams(), "{printed}");

    // A drain reaches nginx, and a file that nginx rejects is replaced by the previous one.
    governor.write_roster(4, &[1]);
    wait_until("three servers", || (nginx.servers().len() == 3).then_some(())).await;
    assert!(!nginx.servers().contains(&"10.0.0.1:80".to_string()));
    std::fs::write(folder.join("refuse"), "").unwrap();
    governor.write_roster(4, &[1, 2]);
    let reload_failed = || {
        let text = std::fs::read_to_string(folder.join("agent.log")).unwrap();
        text.contains("no such host in upstream").then_some(())
    };
    wait_until("the reload fails", reload_failed).await;
    wait_until("the previous file is restored", || {
        let file = std::fs::read_to_string(folder.join("wrenthread.conf")).unwrap();
        (file == std::fs::read_to_string(folder.join("loaded.conf")).unwrap()).then_some(())
    })
    .await;
    assert_eq!(nginx.servers().len(), 3);
    std::fs::remove_file(folder.join("refuse")).unwrap();
    wait_until("two servers", || (nginx.servers().len() == 2).then_some(())).await;
    governor.write_roster(4, &[]);
    wait_until("all four again", || (nginx.servers().len() == 4).then_some(())).await;

    // The access log is reported: a replica that fails is ejected. Lines from before the start and partial lines don't
    // count.
    let failing = "10.0.0.3:80";
    let is_ejected = |nginx: &Nginx| !nginx.servers().contains(&failing.to_string());
    let began = std::time::Instant::now();
    let mut rotated = false;
    while !is_ejected(&nginx) {
        assert!(began.elapsed() < Duration::from_secs(30), "the failing replica is not ejected in time");
        nginx.log_requests(20, failing);
        if !rotated && began.elapsed() > Duration::from_millis(700) {
            rotated = true;
            std::fs::rename(folder.join("access.log"), folder.join("access.log.1")).unwrap();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let status = governor.status();
    let replica =
        status["replicas"].as_array().unwrap().iter().find(|replica| replica["id"] == "w3").unwrap().clone();
    assert_eq!(replica["state"], "withdrawn", "{replica}");
    assert!(governor.get("/metrics").unwrap().contains("wrenthread_reports_total"));

    // Without a governor, nginx keeps its file; the agent keeps running and ends on SIGTERM.
    let before = nginx.servers();
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(nginx.servers(), before);
    assert!(agent.0.try_wait().unwrap().is_none(), "the agent ended instead of waiting for the governor");
    let id = agent.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    let status = wait_until("the agent ends", || agent.0.try_wait().unwrap()).await;
    assert_eq!(status.code(), Some(0));
}
