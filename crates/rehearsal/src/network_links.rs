//! The links between governors: each datagram goes through a socket of the kit's, which may drop it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use tokio::net::UdpSocket;

/// Links that are cut: from, to.
#[derive(Default)]
pub struct GossipLinks {
    blocked: RefCell<BTreeSet<(usize, usize)>>,
}

impl GossipLinks {
    /// A link by which one governor reaches another, which is heard at `heard_at`; where the first is to
    /// send.
    pub async fn create_link(
        self: &Rc<Self>,
        from: usize,
        to: usize,
        target_address: SocketAddr,
    ) -> Result<SocketAddr> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let (link_address, this) = (socket.local_addr()?, self.clone());
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; 2048];
            loop {
                // A governor that is down answers by an error of the socket's: the link stands.
                let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
                if !this.blocked.borrow().contains(&(from, to)) {
                    let _ = socket.send_to(&buffer[..length], target_address).await;
                }
            }
        });
        Ok(link_address)
    }

    /// Cuts all links from a governor, and (unless one way) to it; or mends them.
    pub fn set_blocked(&self, governor: usize, governor_count: usize, one_way: bool, blocked: bool) {
        for other in (0..governor_count).filter(|other| *other != governor) {
            for link in [(governor, other), (other, governor)].into_iter().take(if one_way { 1 } else { 2 }) {
                match blocked {
                    true => drop(self.blocked.borrow_mut().insert(link)),
                    false => drop(self.blocked.borrow_mut().remove(&link)),
                }
            }
        }
    }
}
