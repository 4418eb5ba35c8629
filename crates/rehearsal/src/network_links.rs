//! The links between governors: each datagram goes through a socket of the kit's, which may drop it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use tokio::net::UdpSocket;

/// Links that are cut: from, to.
#[derive(Default)]
pub struct Links {
    cut: RefCell<BTreeSet<(usize, usize)>>,
}

impl Links {
    /// A link by which one governor reaches another, which is heard at `heard_at`; where the first is to
    /// send.
    pub async fn lay(self: &Rc<Self>, from: usize, to: usize, heard_at: SocketAddr) -> Result<SocketAddr> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let (at, this) = (socket.local_addr()?, self.clone());
        tokio::task::spawn_local(async move {
            let mut room = vec![0; 2048];
            loop {
                // A governor that is down answers by an error of the socket's: the link stands.
                let Ok((length, _)) = socket.recv_from(&mut room).await else { continue };
                if !this.cut.borrow().contains(&(from, to)) {
                    let _ = socket.send_to(&room[..length], heard_at).await;
                }
            }
        });
        Ok(at)
    }

    /// Cuts all links from a governor, and (unless one way) to it; or mends them.
    pub fn cut(&self, governor: usize, governors: usize, one_way: bool, cut: bool) {
        for other in (0..governors).filter(|other| *other != governor) {
            for link in [(governor, other), (other, governor)].into_iter().take(if one_way { 1 } else { 2 }) {
                match cut {
                    true => drop(self.cut.borrow_mut().insert(link)),
                    false => drop(self.cut.borrow_mut().remove(&link)),
                }
            }
        }
    }
}
