//! Streams that fall silent.

use tokio::net::TcpSocket;

use super::*;

#[test]
fn a_stream_whose_orders_do_not_get_away_is_silent_all_the_same() {
    play(async || {
        let agent = Agent::start().await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_send_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut stage = Stage::on("stuck", &agent, |_| {}, socket.listen(16).unwrap());
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut stuck = Peer { stream: socket.connect(stage.address).await.unwrap(), unread: Vec::new() };
        stuck.say(&joining(1));
        let (mut second, mut third) = (stage.join(2).await, stage.join(3).await);
        // More than the sockets hold, and less than a party may leave unread: it reads nothing from here on.
        let handle = &stage.service.streams[&stage.service.governor.connection_of(1).unwrap()];
        assert!(handle.send([vec![b' '; 200 << 10], vec![b'\n']].concat()).is_ok());
        stage.until("it watches", |_| agent.heard(&watch_from(1)) == 1).await;
        agent.tell(&watch_from(1), &[object(2, false, &[("r3", "draining")])]).await;
        for _ in 0..30 {
            assert!(stage.serves(2) && stage.serves(3));
            for (proxy, peer) in [(2, &mut second), (3, &mut third)] {
                peer.read();
                peer.say(&rate(proxy, 1));
            }
            stage.pass(Duration::from_millis(500)).await;
        }
        assert!(!stage.serves(1), "it said nothing for fifteen seconds");
    });
}
