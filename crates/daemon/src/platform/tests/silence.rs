//! Streams of proxies that stop sending.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use tokio::net::TcpSocket;

use super::*;

#[test]
fn a_stream_with_unsent_messages_is_disconnected_for_silence() {
    run_paused(async || {
        let agent = Agent::start().await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_send_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut harness = Harness::on("stuck", &agent, |_| {}, socket.listen(16).unwrap());
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut stuck = Peer { stream: socket.connect(harness.address).await.unwrap(), unread: Vec::new() };
        stuck.send(&subscribe(1));
        let (mut second, mut third) = (harness.connect_proxy(2).await, harness.connect_proxy(3).await);
        // More than the socket buffers hold and less than the send queue's limit: the proxy reads nothing from here on.
        let handle = &harness.service.streams[&harness.service.governor.connection_of(1).unwrap()];
        assert!(handle.send([vec![b' '; 200 << 10], vec![b'\n']].concat()).is_ok());
        harness.wait_until("discovery is watched", |_| agent.request_count(&watch_from(1)) == 1).await;
        agent.answer_watch(&watch_from(1), &[event(2, false, &[("r3", "draining")])]).await;
        for _ in 0..30 {
            assert!(harness.serves(2) && harness.serves(3));
            for (proxy, peer) in [(2, &mut second), (3, &mut third)] {
                peer.read();
                peer.send(&rate(proxy, 1));
            }
            harness.run_for(Duration::from_millis(500)).await;
        }
        assert!(!harness.serves(1), "the proxy sent nothing for fifteen seconds");
    });
}
