//! Tests watches against a fake agent on loopback that closes connections, stops sending, and sends invalid events.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use wrenthread_discovery::{EventSender, WatchEvent, watch_endpoints};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Accepts a connection, and returns it with the path of its request.
async fn accept_request(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.unwrap());
    }
    let line = String::from_utf8(request).unwrap();
    (stream, line.split(' ').nth(1).unwrap().to_string())
}

async fn send(stream: &mut TcpStream, text: &str) {
    for chunk in text.as_bytes().chunks(3) {
        stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).await.unwrap();
        stream.write_all(chunk).await.unwrap();
        stream.write_all(b"\r\n").await.unwrap();
    }
}

/// Receives the next event, and answers it with this version.
async fn next_event(events: &mut mpsc::Receiver<WatchEvent>, version: Option<u64>) -> String {
    let received = tokio::time::timeout(Duration::from_secs(10), events.recv()).await;
    let event = received.expect("an event in time").expect("a running watch");
    event.known_version.send(version).unwrap();
    String::from_utf8(event.bytes).unwrap()
}

#[test]
fn a_watch_reconnects_from_the_version_it_had() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (sender, mut events) = mpsc::channel(4);
        let address = listener.local_addr().unwrap().to_string();
        tokio::task::spawn_local(watch_endpoints(
            address,
            Some(41),
            EventSender { watcher: 1, events: sender },
        ));
        // Events arrive in several chunks, with empty lines between them.
        let (mut stream, path) = accept_request(&listener).await;
        assert_eq!(path, "/registry/instances?watch=1&from=41");
        stream.write_all(HEAD.as_bytes()).await.unwrap();
        send(&mut stream, "\n{\"index\":42}\n\n{\"index\":43}\n").await;
        assert_eq!(next_event(&mut events, Some(42)).await, "{\"index\":42}");
        assert_eq!(next_event(&mut events, Some(43)).await, "{\"index\":43}");
        // The connection is closed; the next watch is refused; the one after it stays open but receives nothing.
        drop(stream);
        let (mut stream, path) = accept_request(&listener).await;
        assert_eq!(path, "/registry/instances?watch=1&from=43");
        stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        let (mut idle, _) = accept_request(&listener).await;
        idle.write_all(HEAD.as_bytes()).await.unwrap();
        let started = Instant::now();
        let (mut stream, path) = accept_request(&listener).await;
        assert!(
            started.elapsed() < Duration::from_secs(4),
            "the watch without data was closed too late: {:?}",
            started.elapsed()
        );
        assert_eq!(path, "/registry/instances?watch=1&from=43");
        // After an invalid event, a snapshot is fetched and the watch continues from its version.
        stream.write_all(HEAD.as_bytes()).await.unwrap();
        send(&mut stream, "{\"ind\n").await;
        assert_eq!(next_event(&mut events, None).await, "{\"ind");
        let (mut stream, path) = accept_request(&listener).await;
        assert_eq!(path, "/registry/instances");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"index\":50}").await.unwrap();
        assert_eq!(next_event(&mut events, Some(50)).await, "{\"index\":50}");
        assert_eq!(accept_request(&listener).await.1, "/registry/instances?watch=1&from=50");
    });
}
