//! A fake discovery agent.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

/// The events that an agent sends, in order, each with its version.
pub type Events = Arc<Mutex<Vec<(u64, Value)>>>;

pub fn event(version: u64, is_snapshot: bool, rows: &[(&str, &str)]) -> (u64, Value) {
    let row = |(name, status): &(&str, &str)| {
        json!({"name": name, "address": "10.0.0.1:80", "zone": "a", "type": "m", "group": 1, "status": status,
            "weight": 1.0, "since_ms": 0})
    };
    let rows: Vec<Value> = rows.iter().map(row).collect();
    (version, json!({"index": version, "snapshot": is_snapshot, "endpoints": rows}))
}

/// Answers a watch with the events after the requested version, in chunks of a few bytes, and any other request with
/// the latest snapshot.
pub fn serve_discovery(mut stream: TcpStream, events: &Events) -> std::io::Result<()> {
    let mut request = String::new();
    let mut reader = BufReader::new(stream.try_clone()?);
    while reader.read_line(&mut request)? > 2 {}
    if !request.contains("watch=1") {
        let events = events.lock().unwrap();
        let (_, snapshot) =
            events.iter().rfind(|(_, event)| event["snapshot"] == true).cloned().unwrap_or_default();
        let snapshot = snapshot.to_string();
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{snapshot}", snapshot.len());
    }
    let from = request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("0");
    let mut from: u64 = from.parse().unwrap_or(0);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for round in 0u32.. {
        let changes: Vec<(u64, Value)> = events
            .lock()
            .unwrap()
            .iter()
            .filter(|(version, event)| *version > from && event["snapshot"] == false)
            .cloned()
            .collect();
        let mut text = if round % 50 == 0 { "\n".to_string() } else { String::new() };
        for (version, event) in changes {
            (from, text) = (version, text + &format!("{event}\n"));
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

pub fn start_discovery(events: Events) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let events = events.clone();
            std::thread::spawn(move || serve_discovery(stream, &events));
        }
    });
    address
}
