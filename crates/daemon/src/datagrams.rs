//! The UDP socket to other governors. What comes faster than it is taken, or does not fit the socket's buffer, is lost,
//! as datagrams may be.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use wrenthread_membership::messages::MAX_DATAGRAM_BYTES;

/// Carries datagrams to the task that owns all state.
pub async fn receive(socket: Rc<UdpSocket>, received: mpsc::Sender<Vec<u8>>) {
    // One byte more than the largest: what fills it is too large.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => drop(received.try_send(buffer[..length].to_vec())),
            // An earlier datagram was undeliverable: that is not this one's fault.
            Err(error) => tracing::debug!(%error, "socket to other governors"),
        }
    }
}

/// Sends a datagram to another governor, if this one has a socket.
pub fn send(socket: Option<&Rc<UdpSocket>>, to: SocketAddr, datagram: &[u8]) {
    if let Some(socket) = socket
        && let Err(error) = socket.try_send_to(datagram, to)
    {
        tracing::debug!(%error, %to, "datagram lost");
    }
}
