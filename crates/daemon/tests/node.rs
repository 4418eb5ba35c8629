//! The real program by the platform's protocol: an agent of discovery, proxies and
//! unidentified peers on loopback.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// What an agent tells, one object after the other; each begins with its version.
type Told = Arc<Mutex<Vec<(u64, Value)>>>;

fn listed(version: u64, whole: bool, rows: &[(&str, &str)]) -> (u64, Value) {
    let row = |(name, status): &(&str, &str)| {
        json!({"name": name, "address": "10.0.0.1:80", "zone": "a", "type": "m", "group": 1, "status": status,
            "weight": 1.0, "since_ms": 0})
    };
    let rows: Vec<Value> = rows.iter().map(row).collect();
    (version, json!({"index": version, "snapshot": whole, "endpoints": rows}))
}

/// Answers a watch with what is told beyond its version, in pieces of a few bytes, and whoever asks for all
/// with the last whole list.
fn watched(mut stream: TcpStream, told: &Told) -> std::io::Result<()> {
    let mut request = String::new();
    let mut reader = BufReader::new(stream.try_clone()?);
    while reader.read_line(&mut request)? > 2 {}
    if !request.contains("watch=1") {
        let told = told.lock().unwrap();
        let (_, whole) =
            told.iter().rfind(|(_, object)| object["snapshot"] == true).cloned().unwrap_or_default();
        let whole = whole.to_string();
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
    }
    let from = request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("0");
    let mut from: u64 = from.parse().unwrap_or(0);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for beat in 0u32.. {
        let news: Vec<(u64, Value)> = told
            .lock()
            .unwrap()
            .iter()
            .filter(|(at, one)| *at > from && one["snapshot"] == false)
            .cloned()
            .collect();
        let mut text = if beat % 50 == 0 { "\n".to_string() } else { String::new() };
        for (version, object) in news {
            (from, text) = (version, text + &format!("{object}\n"));
        }
        for piece in text.as_bytes().chunks(37) {
            write!(stream, "{:x}\r\n", piece.len())?;
            stream.write_all(piece)?;
            stream.write_all(b"\r\n")?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn agent(told: Told) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let told = told.clone();
            std::thread::spawn(move || watched(stream, &told));
        }
    });
    address
}

struct Node {
    child: Child,
    folder: PathBuf,
    listen: String,
    told: Told,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn config(discovery: SocketAddr) -> String {
    json!({"discovery": discovery.to_string(), "limits": {"memory_mb": 32, "sockets": 256},
    "known": listed(1, true, &[("r1", "up"), ("r2", "up"), ("r3", "up"), ("r4", "up")]).1,
    "settings": {
        "categories": [{"name": "find", "deadline_us": 5000000, "effect": "retryable",
            "objective_us": 2000000}],
        "extra": {"agents": 20, "bootstrap": 8, "channel_rate": 10000.0, "cycle_us": 500000,
            "level_kind": "ratio", "most_waiting": 20000.0, "per_message": 10.0,
            "worst_transit_us": 100000},
        "rules": {"cold_from": 0.3, "warm_after_us": 10000000}, "siblings": 1, "zones": ["a"],
    }})
    .to_string()
}

fn spawn(folder: &Path, listen: &str, discovery: SocketAddr) -> Child {
    Command::new(env!("CARGO_BIN_EXE_wrenthread"))
        .arg("node")
        .env("RELAY_NAME", "n0")
        .env("RELAY_LISTEN", listen)
        .env("RELAY_DISCOVERY", discovery.to_string())
        .env("RELAY_CONFIG", folder.join("config.json"))
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

impl Node {
    fn start(name: &str) -> Node {
        let folder =
            std::env::temp_dir().join(format!("wrenthread-platform-governor-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (told, listen) = (Told::default(), format!("127.0.0.1:{}", common::port()));
        let discovery = agent(told.clone());
        std::fs::write(folder.join("config.json"), config(discovery)).unwrap();
        let child = spawn(&folder, &listen, discovery);
        let node = Node { child, folder, listen, told };
        node.until_it_listens();
        node
    }

    fn until_it_listens(&self) {
        let began = Instant::now();
        while TcpStream::connect(&self.listen).is_err() {
            assert!(began.elapsed() < Duration::from_secs(20), "it never listened");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Starts again under the same name and address, with the list that it was first started with.
    fn again(&mut self) {
        self.child = spawn(&self.folder, &self.listen, agent(self.told.clone()));
        self.until_it_listens();
    }

    fn dial(&self) -> Party {
        let stream = TcpStream::connect(&self.listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Party { reader: BufReader::new(stream) }
    }

    fn join(&self, proxy: u16) -> Party {
        let mut party = self.dial();
        party.say(&json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 2.0, "cold": false}));
        party
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }
}

struct Party {
    reader: BufReader<TcpStream>,
}

impl Party {
    fn say(&mut self, message: &Value) {
        self.write(format!("{message}\n").as_bytes()).unwrap();
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// The next message; none once the stream has ended.
    fn hear(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("never: {error}"),
        }
    }

    /// Hears until something is ordered that fits.
    fn until(&mut self, fits: impl Fn(&Value) -> bool) -> Value {
        loop {
            let order = self.hear().expect("the stream stays");
            if fits(&order) {
                return order;
            }
        }
    }

    /// Whether it is told or ended within a span.
    fn ended_within(&mut self, span: Duration) -> bool {
        self.reader.get_mut().set_read_timeout(Some(span)).unwrap();
        let mut rest = [0; 256];
        loop {
            match self.reader.read(&mut rest) {
                Ok(0) => return true,
                Ok(count) if rest[..count].windows(4).any(|it| it == b"NACK") => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

fn names(order: &Value, field: &str) -> Vec<String> {
    let name = |row: &Value| row.as_str().or(row[0].as_str()).unwrap_or_default().to_string();
    order[field].as_array().map(|rows| rows.iter().map(name).collect()).unwrap_or_default()
}

#[test]
fn serves_a_proxy_until_the_governor_stops() {
    let mut node = Node::start("path");
    let mut source = node.dial();
    source.say(&json!({"@type": "SOURCE", "locality": "a"}));
    let mut proxy = node.join(17);
    let whole = proxy.until(|order| order["whole"] == true);
    assert_eq!(names(&whole, "lines"), ["r1", "r2", "r3", "r4"]);
    assert_eq!(names(&whole, "back"), ["r1", "r2", "r3", "r4"], "whoever shut them out is not heeded now");
    // Reports and answers, in pieces and with a spoilt one among them.
    let load =
        json!({"@type": "LOAD", "locality": "a", "endpoint": "r1", "total": 9, "errors": 1, "rtt": 41.5,
        "interval": 500.0})
        .to_string()
            + "\n{\"@type\":\"LOAD\",\"locality\":\"z\"}\n";
    for piece in load.as_bytes().chunks(11) {
        source.write(piece).unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    proxy.say(
        &json!({"@type": "RATE", "node": 17, "route": "find", "total": 9, "errors": 0, "interval": 500.0}),
    );
    node.told.lock().unwrap().push(listed(2, false, &[("r2", "draining")]));
    let drained = proxy.until(|order| names(order, "lines").contains(&"r2".into()));
    assert!(drained["lines"].as_array().unwrap().contains(&json!(["r2", 0.0])), "{drained}");
    let last = if drained["more"] == true { proxy.until(|order| order["more"] != true) } else { drained };
    proxy.say(&json!({"@type": "ACK", "node": 17, "nonce": last["ticket"], "latency": 3.5}));
    proxy.say(&json!({"@type": "PING"}));
    assert_eq!(proxy.until(|said| said["@type"] == "PONG")["@type"], "PONG");
    // A newer stream of the same proxy: the older one's end is no leaving.
    let mut newer = node.join(17);
    let whole = newer.until(|order| order["whole"] == true);
    assert_eq!(names(&whole, "lines"), ["r1", "r3", "r4"]);
    assert!(proxy.ended_within(Duration::from_secs(5)));
    // A drain that is spoilt as a change is had from the whole list.
    let whole = listed(3, true, &[("r1", "up"), ("r3", "draining"), ("r4", "up")]);
    node.told.lock().unwrap().extend([listed(3, false, &[("r3", "drained")]), whole]);
    newer.until(|order| names(order, "lines").contains(&"r3".into()));
    node.signal("-TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn unidentified_peers_are_disconnected_and_keep_no_proxy_out() {
    let node = Node::start("unidentified");
    let mut silent: Vec<Party> = (0..300).map(|_| node.dial()).collect();
    let mut proxy = node.join(3);
    proxy.until(|order| order["whole"] == true);
    let strange: [&[u8]; 8] = [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"{\"@type\":\"SUBSCRIBE\",\"node\":1,",
        b"\xff\xff\xff\xff\x00\x01",
        b"{\"@type\":\"SUBSCRIBE\",\"node\":20,\"locality\":\"a\",\"w\":1,\"cold\":true}\n",
        b"{\"@type\":\"SOURCE\",\"locality\":\"z\"}\n",
        b"{\"@type\":\"RATE\",\"node\":3,\"route\":\"find\",\"total\":1,\"errors\":0,\"interval\":500}\n",
        b"{\"@type\":\"CONFIG\",\"lines\":[]}\n",
        b"{\"@type\":\"PING\"}\n",
    ];
    for bytes in strange {
        let mut peer = node.dial();
        let _ = peer.write(bytes);
        assert!(peer.ended_within(Duration::from_secs(3)), "{}", String::from_utf8_lossy(bytes));
    }
    let mut endless = node.dial();
    let began = Instant::now();
    while endless.write(&[b'{'; 512]).is_ok() {
        assert!(began.elapsed() < Duration::from_secs(3), "it may go on for ever");
        std::thread::sleep(Duration::from_millis(5));
    }
    for peer in &mut silent {
        assert!(peer.ended_within(Duration::from_secs(3)));
    }
    proxy.say(&json!({"@type": "PING"}));
    proxy.until(|said| said["@type"] == "PONG");
}

#[test]
fn a_reload_moves_discovery_and_an_invalid_file_changes_nothing() {
    let node = Node::start("reload");
    let mut proxy = node.join(3);
    proxy.until(|order| order["whole"] == true);
    let path = node.folder.join("config.json");
    std::fs::write(&path, "{\"discovery\": \"127.0").unwrap();
    node.signal("-HUP");
    std::thread::sleep(Duration::from_millis(200));
    proxy.say(&json!({"@type": "PING"}));
    proxy.until(|said| said["@type"] == "PONG");
    // It is read again without another signal.
    let moved = Told::default();
    moved.lock().unwrap().push(listed(2, false, &[("r4", "removed")]));
    std::fs::write(&path, config(agent(moved))).unwrap();
    let order = proxy.until(|order| names(order, "lines").contains(&"r4".into()));
    assert!(order["lines"].as_array().unwrap().contains(&json!(["r4", 0.0])), "{order}");
}

#[test]
fn names_missing_and_invalid_variables_at_startup() {
    let start = |variables: &[(&str, &str)]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wrenthread"));
        command.arg("node").envs(variables.iter().copied());
        let ran = command.output().unwrap();
        (ran.status.code(), String::from_utf8(ran.stderr).unwrap())
    };
    let mut variables = vec![("RELAY_NAME", "n0")];
    for (name, wrong, right) in [
        ("RELAY_LISTEN", "here", "127.0.0.1:0"),
        ("RELAY_DISCOVERY", "127.0.0.1", "127.0.0.1:1"),
        ("RELAY_CONFIG", "/nowhere/at/all", ""),
    ] {
        let (code, said) = start(&variables);
        assert!(code == Some(2) && said.contains(name), "{said}");
        let (code, said) = start(&[variables.as_slice(), &[(name, wrong)]].concat());
        assert!(code == Some(2) && (said.contains(name) || said.contains(wrong)), "{said}");
        variables.push((name, right));
    }
}

#[test]
fn stops_with_connections_open_and_restarts_at_its_address() {
    let mut node = Node::start("again");
    for (signal, code) in [("-TERM", Some(0)), ("-KILL", None)] {
        let mut reading = node.join(17);
        reading.until(|order| order["whole"] == true);
        // One reads nothing, one is in the middle of its joining, one says nothing: all are open as it ends.
        let _deaf = node.join(3);
        let mut half = node.dial();
        half.write(b"{\"@type\":\"SUBSCRIBE\",").unwrap();
        let _mute = node.dial();
        node.signal(signal);
        assert_eq!(node.child.wait().unwrap().code(), code);
        assert!(reading.ended_within(Duration::from_secs(5)));
        node.told.lock().unwrap().push(listed(9, false, &[("r2", "draining")]));
        node.again();
    }
    // It starts from its old list, and hears of the drain that was meanwhile.
    let mut proxy = node.join(17);
    let order = proxy.until(|order| order["whole"] == true);
    if names(&order, "lines").contains(&"r2".into()) {
        proxy.until(|order| {
            order["lines"].as_array().is_some_and(|lines| lines.contains(&json!(["r2", 0.0])))
        });
    }
}
