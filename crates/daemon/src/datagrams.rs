//! The UDP socket to other governors. Datagrams that arrive faster than they are processed, or that don't fit the
//! socket's buffer, are dropped; the protocol tolerates lost datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use wrenthread_membership::messages::MAX_DATAGRAM_BYTES;

/// Forwards received datagrams to the task that owns all state.
pub async fn receive(socket: Rc<UdpSocket>, received: mpsc::Sender<Vec<u8>>) {
    // One byte more than the limit, so that a datagram over the limit is recognized by its length.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => drop(received.try_send(buffer[..length].to_vec())),
            // The error may concern an earlier datagram that could not be delivered; receiving continues.
            Err(error) => tracing::debug!(%error, "error on the membership socket"),
        }
    }
}

/// Sends a datagram to another governor, if this one has a socket.
pub fn send(socket: Option<&Rc<UdpSocket>>, to: SocketAddr, datagram: &[u8]) {
    if let Some(socket) = socket
        && let Err(error) = socket.try_send_to(datagram, to)
    {
        tracing::debug!(%error, %to, "datagram not sent");
    }
}
